//! Drain state and stalled calls of one server.

use cuminlead_protocol::AgentState;
use cuminlead_types::{DurationUs, Incarnation, TimeUs};

/// Age of the oldest call without progress from which a server is not preferred.
pub const STALL_LIMIT: DurationUs = DurationUs::from_ms(3_000);
/// Time after which a stall is forgotten: a server that is not preferred gets no calls whose
/// replies could tell that it makes progress again.
pub const STALL_MEMORY: DurationUs = DurationUs::from_ms(5_000);

/// What the agent of a server said about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentNotice {
    incarnation: Incarnation,
    is_draining: bool,
}

impl AgentNotice {
    /// Takes a report; returns whether it is of the newest incarnation seen.
    ///
    /// Replies overtake each other, so a reply without the drain flag does not undo the notice of
    /// the same incarnation.
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

    /// Newest incarnation seen.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether the newest incarnation takes no new work.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }
}

/// Age of the oldest call without progress, as last seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stall {
    age: DurationUs,
    seen_at: TimeUs,
}

impl Stall {
    /// Takes a newer age.
    pub fn record(&mut self, now: TimeUs, age: DurationUs) {
        self.age = age;
        self.seen_at = now;
    }

    /// Whether a call has made no progress for too long.
    pub fn is_over_limit(&self, now: TimeUs) -> bool {
        self.age >= STALL_LIMIT && now.since(self.seen_at) < STALL_MEMORY
    }
}
