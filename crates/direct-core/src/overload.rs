//! Requests that wait while a plain service is overloaded.
//!
//! Designed for bursts in which callers send more than all servers of a plain service can run within
//! the latency target. Servers then reject what their queues do not hold, and callers that were
//! rejected come back late, when a response is of little use to them. Sent at once, these would take
//! the place of requests that can still be on time, which become late themselves: half of what an
//! overloaded service ran was late. A late request therefore waits while the servers reject requests
//! that are on time, as long as its deadline and the setting allow it.
//!
//! Each entry decides by the rejections that it has seen itself. In an overload it sees several in a
//! second, and outside of one a late request waits for one rejection at most. Alternatives: a
//! rejection with a later Retry-After, which callers honour up to a third of their time only; and a
//! queue for all entries, which plain services have no process for.

use std::collections::HashMap;

use cuminlead_types::{DurationUs, ServiceName, TimeUs};

/// Time after a rejection within which a service counts as overloaded.
const OVERLOAD_PERIOD: DurationUs = DurationUs::from_ms(250);
/// Pause between two looks at whether the overload is over.
pub(crate) const WAIT_INTERVAL: DurationUs = DurationUs::from_ms(100);
/// Time before the deadline, in latency targets, at which a late request is sent in any case: for the
/// queue of a full server and the run itself.
const RUN_TARGETS: u64 = 2;

/// Plain services whose servers lately rejected requests that were on time.
#[derive(Clone, Debug, Default)]
pub struct OverloadedServices {
    rejected_at: HashMap<ServiceName, TimeUs>,
}

/// Late request that could be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRequest {
    /// When the process received it.
    pub arrived_at: TimeUs,
    /// When its caller gives up.
    pub deadline: TimeUs,
    /// Time within which the response would have been of full use.
    pub latency_target: DurationUs,
}

impl OverloadedServices {
    /// Records that a server rejected a request that could still be on time.
    pub fn record_rejection(&mut self, now: TimeUs, service: &ServiceName) {
        self.rejected_at.insert(service.clone(), now);
    }

    /// Whether servers of a service lately rejected requests that were on time.
    pub fn is_overloaded(&self, now: TimeUs, service: &ServiceName) -> bool {
        let rejected_at = self.rejected_at.get(service);
        rejected_at.is_some_and(|at| now.since(*at) < OVERLOAD_PERIOD)
    }

    /// Whether a late request waits, for `wait_max` at most.
    pub fn must_wait(
        &self,
        now: TimeUs,
        service: &ServiceName,
        late: LateRequest,
        wait_max: DurationUs,
    ) -> bool {
        let run_time = DurationUs(late.latency_target.0.saturating_mul(RUN_TARGETS));
        let is_time_left = late.deadline.since(now) > run_time.saturating_add(WAIT_INTERVAL);
        let has_waited_less = now.since(late.arrived_at) < wait_max;
        is_time_left && has_waited_less && self.is_overloaded(now, service)
    }
}
