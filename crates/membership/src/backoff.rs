//! Back-off and probes of one server.
//!
//! Only a failed probe lengthens a back-off. Failures of calls that were in flight when it began do
//! not: many calls fail at the same time when a server dies, and each of them would double the
//! delay. Likewise only a successful probe ends a back-off, because the late success of a call may
//! be older than the failures.

use cuminlead_types::{DurationUs, TimeUs};

/// Number of consecutive failures after which a back-off starts.
pub const BACKOFF_FAILURES: u32 = 3;
/// Delay before the first probe.
pub const BACKOFF_INITIAL: DurationUs = DurationUs::from_ms(1_000);
/// Maximum delay between probes.
pub const BACKOFF_MAX: DurationUs = DurationUs::from_ms(30_000);
/// Timeout after which a probe without a result counts as failed. It exceeds the time that a short
/// message may take.
pub const PROBE_TIMEOUT: DurationUs = DurationUs::from_ms(5_000);

/// Back-off of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failure_count: u32,
    active: Option<ActiveBackoff>,
}

/// Back-off in progress, during which the server receives only probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ActiveBackoff {
    delay: DurationUs,
    probe_at: TimeUs,
    probe_sent_at: Option<TimeUs>,
}

impl Backoff {
    /// Whether a back-off is in progress, so that the server must not receive new requests.
    pub fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// Records a successful call. It resets the count of failures but does not end a back-off.
    pub fn record_success(&mut self) {
        self.failure_count = 0;
    }

    /// Records a failed call, which starts a back-off after [`BACKOFF_FAILURES`] consecutive ones.
    /// Ignored during a back-off.
    pub fn record_failure(&mut self, now: TimeUs) {
        if self.is_active() {
            return;
        }
        self.failure_count += 1;
        if self.failure_count >= BACKOFF_FAILURES {
            self.start(now, BACKOFF_INITIAL);
        }
    }

    /// Records the result of the probe in flight; ignored if there is none. Success ends the
    /// back-off, failure doubles its delay.
    pub fn record_probe(&mut self, now: TimeUs, is_success: bool) {
        let Some(active) = self.active.filter(|active| active.probe_sent_at.is_some()) else {
            return;
        };
        if is_success {
            *self = Self::default();
        } else {
            let doubled = active.delay.saturating_add(active.delay);
            self.start(now, doubled.min(BACKOFF_MAX));
        }
    }

    fn start(&mut self, now: TimeUs, delay: DurationUs) {
        self.active = Some(ActiveBackoff {
            delay,
            probe_at: now + delay,
            probe_sent_at: None,
        });
    }

    /// Time at which the next probe is due or the probe in flight times out; absent without a
    /// back-off.
    pub fn next_probe_at(&self) -> Option<TimeUs> {
        self.active.map(|active| match active.probe_sent_at {
            Some(sent_at) => sent_at + PROBE_TIMEOUT,
            None => active.probe_at,
        })
    }

    /// Returns whether a probe is due now. If so, the caller must send it, and it counts as in
    /// flight.
    pub fn take_due_probe(&mut self, now: TimeUs) -> bool {
        self.expire_probe(now);
        let Some(active) = &mut self.active else {
            return false;
        };
        if active.probe_sent_at.is_some() || now < active.probe_at {
            return false;
        }
        active.probe_sent_at = Some(now);
        true
    }

    fn expire_probe(&mut self, now: TimeUs) {
        let sent_at = self.active.and_then(|active| active.probe_sent_at);
        if sent_at.is_some_and(|sent_at| now >= sent_at + PROBE_TIMEOUT) {
            self.record_probe(now, false);
        }
    }
}
