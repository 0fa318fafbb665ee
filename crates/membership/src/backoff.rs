//! Back-off and probes of one server.
//!
//! Only a failed probe lengthens a back-off. Failures of calls that were in flight when it began do
//! not: many calls fail at the same time when a server dies, and each of them would double the
//! delay. Likewise only a successful probe ends a back-off, because the late success of a call may
//! be older than the failures.

use cuminlead_types::{DurationUs, TimeUs};

/// Consecutive failures after which back-off starts.
pub const BACKOFF_FAILURES: u32 = 3;
/// First back-off.
pub const BACKOFF_FIRST: DurationUs = DurationUs::from_ms(1_000);
/// Longest back-off.
pub const BACKOFF_LONGEST: DurationUs = DurationUs::from_ms(30_000);
/// Time after which a probe without an outcome counts as failed; more than the time that a short
/// message may take.
pub const PROBE_TIMEOUT: DurationUs = DurationUs::from_ms(5_000);

/// Back-off of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failures_count: u32,
    pause: Option<Pause>,
}

/// Time during which a server gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pause {
    delay: DurationUs,
    probe_at: TimeUs,
    probe_sent_at: Option<TimeUs>,
}

impl Backoff {
    /// Whether the server gets no new work.
    pub fn is_active(&self) -> bool {
        self.pause.is_some()
    }

    /// A call succeeded.
    pub fn record_success(&mut self) {
        self.failures_count = 0;
    }

    /// A call failed.
    pub fn record_failure(&mut self, now: TimeUs) {
        if self.is_active() {
            return;
        }
        self.failures_count += 1;
        if self.failures_count >= BACKOFF_FAILURES {
            self.pause_for(now, BACKOFF_FIRST);
        }
    }

    /// The probe under way succeeded or failed; without one, nothing changes.
    pub fn record_probe(&mut self, now: TimeUs, is_success: bool) {
        let Some(pause) = self.pause.filter(|pause| pause.probe_sent_at.is_some()) else {
            return;
        };
        if is_success {
            *self = Self::default();
        } else {
            let doubled = pause.delay.saturating_add(pause.delay);
            self.pause_for(now, doubled.min(BACKOFF_LONGEST));
        }
    }

    fn pause_for(&mut self, now: TimeUs, delay: DurationUs) {
        self.pause = Some(Pause {
            delay,
            probe_at: now + delay,
            probe_sent_at: None,
        });
    }

    /// Time of the next probe, or at which the one under way counts as failed.
    pub fn next_probe_at(&self) -> Option<TimeUs> {
        self.pause.map(|pause| match pause.probe_sent_at {
            Some(sent_at) => sent_at + PROBE_TIMEOUT,
            None => pause.probe_at,
        })
    }

    /// Whether a probe is to be sent now; if so, it counts as under way.
    pub fn take_probe(&mut self, now: TimeUs) -> bool {
        self.expire_probe(now);
        let Some(pause) = &mut self.pause else {
            return false;
        };
        if pause.probe_sent_at.is_some() || now < pause.probe_at {
            return false;
        }
        pause.probe_sent_at = Some(now);
        true
    }

    fn expire_probe(&mut self, now: TimeUs) {
        let sent_at = self.pause.and_then(|pause| pause.probe_sent_at);
        if sent_at.is_some_and(|sent_at| now >= sent_at + PROBE_TIMEOUT) {
            self.record_probe(now, false);
        }
    }
}
