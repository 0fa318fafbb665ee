//! Resources that agents may hold for a call, and their release.
//!
//! A resource is recorded before the message that may allocate it is sent, because that message can
//! take effect even when its reply is lost. A resource needs no release only when every such
//! message is proven to have had no effect.

use cuminlead_types::{Attempt, BackendServerId, TimeUs};

/// Something that an agent may hold for one attempt.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    pub(super) server: BackendServerId,
    pub(super) attempt: Attempt,
    /// Messages that may have had an effect.
    unproven_count: u32,
    state: HoldState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldState {
    /// The current attempt uses it.
    InUse,
    /// A release was sent this many times.
    Releasing(u32),
    /// A release is repeated at this time.
    Repeat(u32, TimeUs),
    /// Released, or left to the end of its lease.
    Done,
}

/// All holds of one call.
#[derive(Debug, Default)]
pub(super) struct Holds(Vec<Hold>);

impl Holds {
    /// Notes that a message that may create a hold is about to be sent.
    pub(super) fn note(&mut self, server: &BackendServerId, attempt: Attempt) {
        if let Some(hold) = self.find(server, attempt) {
            hold.unproven_count += 1;
            hold.state = HoldState::InUse;
            return;
        }
        self.0.push(Hold {
            server: server.clone(),
            attempt,
            unproven_count: 1,
            state: HoldState::InUse,
        });
    }

    /// Notes that one message is proven to have had no effect.
    pub(super) fn disprove(&mut self, server: &BackendServerId, attempt: Attempt) {
        if let Some(hold) = self.find(server, attempt) {
            hold.unproven_count = hold.unproven_count.saturating_sub(1);
        }
    }

    /// Whether the current attempt uses the hold.
    pub(super) fn is_in_use(&self, server: &BackendServerId, attempt: Attempt) -> bool {
        let mut holds = self.0.iter();
        holds.any(|h| h.is_of(server, attempt) && h.state == HoldState::InUse)
    }

    /// Whether this server was given up in this attempt.
    pub(super) fn is_given_up(&self, server: &BackendServerId, attempt: Attempt) -> bool {
        let mut holds = self.0.iter();
        holds.any(|h| h.is_of(server, attempt) && h.state != HoldState::InUse)
    }

    /// Holds in use.
    pub(super) fn in_use(&self) -> Vec<Hold> {
        let holds = self.0.iter();
        holds
            .filter(|h| h.state == HoldState::InUse)
            .cloned()
            .collect()
    }

    /// Ends a hold that its agent frees by itself.
    pub(super) fn settle(&mut self, server: &BackendServerId, attempt: Attempt) {
        if let Some(hold) = self.find(server, attempt) {
            hold.state = HoldState::Done;
        }
    }

    /// Begins the release of a hold; false when nothing can be held.
    pub(super) fn begin_release(&mut self, server: &BackendServerId, attempt: Attempt) -> bool {
        let Some(hold) = self.find(server, attempt) else {
            return false;
        };
        if hold.unproven_count == 0 {
            hold.state = HoldState::Done;
            return false;
        }
        hold.state = HoldState::Releasing(1);
        true
    }

    /// Plans a repeat of a lost release, at most `max_count` in all.
    pub(super) fn plan_repeat(
        &mut self,
        server: &BackendServerId,
        attempt: Attempt,
        at: TimeUs,
        max_count: u32,
    ) {
        let Some(hold) = self.find(server, attempt) else {
            return;
        };
        if let HoldState::Releasing(count) = hold.state {
            hold.state = if count > max_count {
                HoldState::Done
            } else {
                HoldState::Repeat(count, at)
            };
        }
    }

    /// Holds whose release is to be repeated now.
    pub(super) fn take_repeats(&mut self, now: TimeUs) -> Vec<Hold> {
        let mut due = Vec::new();
        for hold in &mut self.0 {
            if let HoldState::Repeat(count, at) = hold.state
                && at <= now
            {
                hold.state = HoldState::Releasing(count + 1);
                due.push(hold.clone());
            }
        }
        due
    }

    /// Earliest time of a planned repeat.
    pub(super) fn next_deadline(&self) -> Option<TimeUs> {
        let holds = self.0.iter();
        let times = holds.filter_map(|h| match h.state {
            HoldState::Repeat(_, at) => Some(at),
            _ => None,
        });
        times.min()
    }

    fn find(&mut self, server: &BackendServerId, attempt: Attempt) -> Option<&mut Hold> {
        self.0.iter_mut().find(|h| h.is_of(server, attempt))
    }
}

impl Hold {
    fn is_of(&self, server: &BackendServerId, attempt: Attempt) -> bool {
        self.attempt == attempt && self.server == *server
    }
}
