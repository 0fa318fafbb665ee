//! Detection of engine crashes that a sequence may have caused.
//!
//! A sequence also fails when the engine rejects it or when only its connection is lost. The engine
//! has crashed if it can't be reached at the same time. An engine that hangs is not reached either,
//! but its sequences do not fail.

use std::collections::VecDeque;

use cuminlead_protocol::SequenceCrash;
use cuminlead_types::{AttemptId, DurationUs, PromptPartId, TimeUs};

/// Time after the failure of a sequence in which the engine must be found unreachable. The
/// inventory is requested immediately, and a refused connection is reported without delay.
const CONFIRMATION_PERIOD: DurationUs = DurationUs::from_ms(1_000);
/// Time for which replies state a crash, so that entries that seldom use the server learn of it.
const REPORT_PERIOD: DurationUs = DurationUs::from_ms(30_000);
/// Most sequences that replies state; older ones are dropped.
const REPORT_MAX_COUNT: usize = 8;

/// Sequence that failed while its output had just begun or was to begin.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FailedSequence {
    id: AttemptId,
    failed_at: TimeUs,
    prompt_parts: Vec<PromptPartId>,
}

/// Failed sequences of an engine, and those of them that may have crashed it.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    is_engine_unreachable: bool,
    failed: Vec<FailedSequence>,
    crashed: VecDeque<FailedSequence>,
}

impl CrashDetector {
    /// Records a sequence that failed while its output had just begun or was to begin. Returns
    /// whether the engine has crashed on it, as far as is known.
    pub fn record_failure(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        prompt_parts: Vec<PromptPartId>,
    ) -> bool {
        self.failed
            .retain(|failed| now.since(failed.failed_at) < CONFIRMATION_PERIOD);
        let failed = FailedSequence {
            id,
            failed_at: now,
            prompt_parts,
        };
        if self.is_engine_unreachable {
            self.push(failed);
        } else {
            self.failed.push(failed);
        }
        self.is_engine_unreachable
    }

    /// Records that the engine did not reply. Returns the sequences on which it has crashed.
    pub fn record_unreachable(&mut self, now: TimeUs) -> Vec<AttemptId> {
        self.is_engine_unreachable = true;
        let failed = std::mem::take(&mut self.failed);
        let mut crashed = Vec::new();
        for failed in failed {
            if now.since(failed.failed_at) < CONFIRMATION_PERIOD {
                crashed.push(failed.id);
                self.push(failed);
            }
        }
        crashed
    }

    /// Records that the engine replied.
    pub fn record_reachable(&mut self) {
        self.is_engine_unreachable = false;
    }

    /// Sequences that may have caused a recent crash.
    pub fn recent(&self, now: TimeUs) -> Vec<SequenceCrash> {
        let recent = self
            .crashed
            .iter()
            .filter(|crashed| now.since(crashed.failed_at) < REPORT_PERIOD);
        recent
            .map(|crashed| SequenceCrash {
                id: crashed.id,
                age_us: now.since(crashed.failed_at),
                prompt_parts: crashed.prompt_parts.clone(),
            })
            .collect()
    }

    fn push(&mut self, crashed: FailedSequence) {
        if self.crashed.len() >= REPORT_MAX_COUNT {
            self.crashed.pop_front();
        }
        self.crashed.push_back(crashed);
    }
}
