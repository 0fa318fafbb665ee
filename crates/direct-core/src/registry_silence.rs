//! When an entry asks agents for the configuration.
//!
//! The registry may refuse one process, or not answer it, while it serves others. A watch without
//! changes is answered only at the end of its wait, so the silence begins there.

use cuminlead_types::{DurationUs, TimeUs};

/// Time without an answer after which agents are asked.
pub const SILENCE_MIN: DurationUs = DurationUs::from_ms(1_000);
/// Interval between rounds of questions to agents.
pub const ASK_INTERVAL: DurationUs = DurationUs::from_ms(1_000);

/// Time for which the registry has not answered.
#[derive(Clone, Debug, Default)]
pub struct RegistrySilence {
    /// When the registry last answered, or this process began to ask it.
    answered_at: TimeUs,
    /// When the answer to the query in flight is due; `None` after a failure.
    due_at: Option<TimeUs>,
    asked_at: Option<TimeUs>,
}

impl RegistrySilence {
    /// Records a query whose answer may take the given time.
    pub fn record_query(&mut self, now: TimeUs, wait: DurationUs) {
        self.due_at = self.due_at.map(|_| now + wait);
    }

    /// Records the result of a query.
    pub fn record_result(&mut self, now: TimeUs, is_answered: bool) {
        if is_answered {
            self.answered_at = now;
        }
        self.due_at = is_answered.then_some(now);
    }

    /// Whether agents are to be asked now, which is recorded. Rounds are [`ASK_INTERVAL`] apart.
    pub fn asks_agents(&mut self, now: TimeUs) -> bool {
        let since = self
            .due_at
            .map_or(self.answered_at, |due_at| due_at.max(self.answered_at));
        let is_silent = now.since(since) >= SILENCE_MIN;
        let is_due = self
            .asked_at
            .is_none_or(|asked_at| now.since(asked_at) >= ASK_INTERVAL);
        let asks = is_silent && is_due;
        if asks {
            self.asked_at = Some(now);
        }
        asks
    }
}
