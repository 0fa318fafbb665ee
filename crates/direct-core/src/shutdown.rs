//! What a process still takes after it was asked to stop.
//!
//! Answers the load of a fleet whose processes are all stopped within a few seconds: the balancer
//! then has nobody to turn to, and sends requests until a process is gone. A stream takes seconds,
//! so one that is taken late would be cut when the process ends. It is refused instead, with the
//! time at which the process is back. Plain requests are taken until shortly before the end, and
//! those that are still open then are answered, never cut.

use cuminlead_types::{DurationUs, TimeUs};

use crate::action::{Refusal, RefusalReason};
use crate::operator_config::RequestKind;

/// Time between the answers to open requests and the end of the process, for these answers to reach
/// their callers.
pub const ANSWERS_MARGIN: DurationUs = DurationUs::from_ms(300);
/// Time from the end of a process until its successor takes requests.
const RESTART: DurationUs = DurationUs::from_ms(1_000);

/// Times of a process that was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When the balancer has had the time to turn away.
    pub turned_away_at: TimeUs,
    /// When the process ends, whatever is open.
    pub ends_at: TimeUs,
}

impl ShutdownSchedule {
    /// Whether a request that arrives now can be answered whole.
    pub fn admits(&self, now: TimeUs, kind: RequestKind, deadline: TimeUs) -> bool {
        match kind {
            RequestKind::Stream { .. } => {
                now < self.turned_away_at || deadline <= self.answers_at()
            }
            RequestKind::Idempotent | RequestKind::NonIdempotent => now < self.answers_at(),
        }
    }

    /// When requests without an answer are answered by the process itself.
    pub fn answers_at(&self) -> TimeUs {
        TimeUs(self.ends_at.0.saturating_sub(ANSWERS_MARGIN.0))
    }

    /// Refusal of a request that is not admitted.
    pub fn refusal(&self, now: TimeUs) -> Refusal {
        Refusal {
            is_not_run: true,
            reason: RefusalReason::Stopping,
            retry_after: self.ends_at.since(now).saturating_add(RESTART),
        }
    }
}
