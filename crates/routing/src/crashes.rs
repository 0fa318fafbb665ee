//! Prompt parts that crash engines, from the crashes that agents state in their replies.

use std::collections::HashMap;

use cuminlead_protocol::AgentState;
use cuminlead_quarantine::{CrashReport, PromptQuarantine};
use cuminlead_types::{AttemptId, DurationUs, PromptPartId, TimeUs};

/// Time for which a crash is remembered, longer than agents state it.
const RETENTION: DurationUs = DurationUs::from_ms(60_000);

/// Quarantine of prompt parts, with the crashes that it already includes.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    quarantine: PromptQuarantine,
    recorded_at: HashMap<AttemptId, TimeUs>,
}

impl Crashes {
    /// Records the crashes that an agent states; returns the parts that they put into quarantine.
    pub fn record(&mut self, now: TimeUs, state: &AgentState) -> Vec<PromptPartId> {
        if state.crashes.is_empty() {
            return Vec::new();
        }
        self.recorded_at.retain(|_, at| now.since(*at) < RETENTION);
        let mut quarantined = Vec::new();
        for crash in &state.crashes {
            if self.recorded_at.insert(crash.id, now).is_some() {
                continue;
            }
            let report = CrashReport {
                server: state.server.clone(),
                request: Some(crash.id.request),
                parts: self.quarantine.suspects(now, &crash.prompt_parts),
            };
            let crashed_at = now - crash.age_us;
            quarantined.extend(self.quarantine.record_crash(crashed_at, &report));
        }
        quarantined
    }

    /// Records that an engine generates output for a prompt; returns the parts that this clears.
    pub fn record_sound(&mut self, now: TimeUs, parts: &[PromptPartId]) -> Vec<PromptPartId> {
        self.quarantine.record_sound(now, parts)
    }

    /// Whether a part of the prompt is in quarantine.
    pub fn is_quarantined(&self, now: TimeUs, parts: &[PromptPartId]) -> bool {
        self.quarantine.find_quarantined(now, parts).is_some()
    }
}
