//! Drain state and stalled calls of one server.

use cuminlead_protocol::AgentState;
use cuminlead_types::{DurationUs, Incarnation, TimeUs};

/// Age of the oldest call without progress from which a server is no longer preferred.
pub const STALL_THRESHOLD: DurationUs = DurationUs::from_ms(3_000);
/// Retention period of a stall. It is finite because a server that is not preferred may receive no
/// calls, whose replies would show that it makes progress again.
pub const STALL_RETENTION: DurationUs = DurationUs::from_ms(5_000);

/// Newest incarnation of a server's agent, and whether it is draining.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainState {
    incarnation: Incarnation,
    is_draining: bool,
}

impl DrainState {
    /// Records a report; returns false if it is of an earlier incarnation and was ignored.
    ///
    /// Replies can arrive out of order, so a reply without the drain flag does not clear the drain
    /// state of the same incarnation.
    pub fn record(&mut self, state: &AgentState) -> bool {
        if state.incarnation < self.incarnation {
            return false;
        }
        if state.incarnation > self.incarnation {
            self.incarnation = state.incarnation;
            self.is_draining = false;
        }
        self.is_draining |= state.draining;
        true
    }

    /// Newest reported incarnation; zero before the first report.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether the newest incarnation is draining and accepts no new requests.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }
}

/// Age of the oldest call without progress, as last reported or observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stall {
    age: DurationUs,
    recorded_at: TimeUs,
}

impl Stall {
    /// Records the present age.
    pub fn record(&mut self, now: TimeUs, age: DurationUs) {
        self.age = age;
        self.recorded_at = now;
    }

    /// Whether a recently recorded call has made no progress for [`STALL_THRESHOLD`] or longer.
    pub fn exceeds_threshold(&self, now: TimeUs) -> bool {
        self.age >= STALL_THRESHOLD && now.since(self.recorded_at) < STALL_RETENTION
    }
}
