//! Admission of requests while a process shuts down.
//!
//! Designed for a fleet whose processes are all stopped within a few seconds: the balancer then has
//! no other process to send requests to, and sends them until a process has ended. A stream takes
//! seconds, so one that is admitted late would be cut off when the process ends. It is refused
//! instead, with the time after which the process has restarted. Plain requests are admitted until
//! shortly before the end; those still open at that time get a response and are never cut off.

use cuminlead_types::{DurationUs, TimeUs};

use crate::action::{Refusal, RefusalReason};
use crate::operator_config::RequestKind;

/// Time between the responses to open requests and the end of the process, in which these responses
/// reach their callers.
pub const RESPONSE_MARGIN: DurationUs = DurationUs::from_ms(300);
/// Time from the end of a process until its successor accepts requests.
const RESTART_TIME: DurationUs = DurationUs::from_ms(1_000);

/// Times at which a process that shuts down stops admitting requests and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When the balancer has had time to stop sending requests to this process.
    pub balancer_drained_at: TimeUs,
    /// When the process ends, whatever requests are open.
    pub ends_at: TimeUs,
}

impl ShutdownSchedule {
    /// Whether a request that arrives now can get a complete response.
    pub fn admits(&self, now: TimeUs, kind: RequestKind, deadline: TimeUs) -> bool {
        match kind {
            RequestKind::Stream { .. } => {
                now < self.balancer_drained_at || deadline <= self.responds_at()
            }
            RequestKind::Idempotent | RequestKind::NonIdempotent => now < self.responds_at(),
        }
    }

    /// When the process itself responds to the requests that are still open.
    pub fn responds_at(&self) -> TimeUs {
        TimeUs(self.ends_at.0.saturating_sub(RESPONSE_MARGIN.0))
    }

    /// Refusal of a request that is not admitted; its retry-after ends when the successor accepts
    /// requests.
    pub fn refusal(&self, now: TimeUs) -> Refusal {
        Refusal {
            is_not_run: true,
            reason: RefusalReason::Stopping,
            retry_after: self.ends_at.since(now).saturating_add(RESTART_TIME),
        }
    }
}
