//! Ordering of the commands for one sequence.
//!
//! Commands block on pool threads, where they could overtake each other. The decision code of the
//! agent relies on two guarantees: a start that follows a cancel of the same sequence reaches the
//! engine after that cancel, and a cancelled sequence reports no further events.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cuminlead_types::AttemptId;

/// Time that a start waits for earlier cancels, which normally take less. After it, the start is
/// sent anyway.
const CANCEL_WAIT_TIMEOUT: Duration = Duration::from_secs(4);

/// Commands in flight, by sequence.
#[derive(Debug, Default)]
pub struct SequenceCommands {
    states: Mutex<HashMap<AttemptId, State>>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// Number of cancels so far. A start has the generation at which it was registered.
    generation: u64,
    /// Generations of the starts that are queued or in flight.
    starts: Vec<u64>,
    /// Cancels that are queued or in flight.
    cancels_count: u32,
}

/// Position of a start or cancel in the order of the commands for its sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Attempt that the sequence is named after.
    pub id: AttemptId,
    generation: u64,
}

impl SequenceCommands {
    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, State>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a start, which must end with [`Self::end_start`].
    pub fn register_start(&self, id: AttemptId) -> Ticket {
        let mut states = self.lock();
        let state = states.entry(id).or_default();
        state.starts.push(state.generation);
        Ticket {
            id,
            generation: state.generation,
        }
    }

    /// Registers a cancel, which must end with [`Self::end_cancel`]. Earlier starts are no longer
    /// current.
    pub fn register_cancel(&self, id: AttemptId) -> Ticket {
        let mut states = self.lock();
        let state = states.entry(id).or_default();
        state.generation += 1;
        state.cancels_count += 1;
        Ticket {
            id,
            generation: state.generation,
        }
    }

    /// Whether no cancel was registered after the start.
    pub fn is_current(&self, ticket: Ticket) -> bool {
        self.lock()
            .get(&ticket.id)
            .is_some_and(|state| state.generation == ticket.generation)
    }

    /// Whether a start that was registered before the cancel is still queued or in flight.
    pub fn has_earlier_start(&self, cancel: Ticket) -> bool {
        let states = self.lock();
        let starts = states.get(&cancel.id).map(|state| state.starts.as_slice());
        starts
            .unwrap_or_default()
            .iter()
            .any(|start| *start < cancel.generation)
    }

    /// Blocks until the cancels before a start have ended or the wait times out. Returns false if
    /// the start was cancelled in the meantime.
    pub fn wait_for_earlier_cancels(&self, start: Ticket) -> bool {
        let until = Instant::now() + CANCEL_WAIT_TIMEOUT;
        let mut states = self.lock();
        loop {
            let Some(state) = states.get(&start.id) else {
                return false;
            };
            if state.generation != start.generation {
                return false;
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if state.cancels_count == 0 || remaining.is_zero() {
                return true;
            }
            let waited = self.changed.wait_timeout(states, remaining);
            states = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Removes a start that has ended.
    pub fn end_start(&self, start: Ticket) {
        self.finish(start.id, |state| {
            if let Some(index) = state.starts.iter().position(|s| *s == start.generation) {
                state.starts.swap_remove(index);
            }
        });
    }

    /// Removes a cancel that has ended and wakes the starts that wait for it.
    pub fn end_cancel(&self, cancel: Ticket) {
        self.finish(cancel.id, |state| {
            state.cancels_count = state.cancels_count.saturating_sub(1)
        });
    }

    fn finish(&self, id: AttemptId, change: impl FnOnce(&mut State)) {
        let mut states = self.lock();
        if let Some(state) = states.get_mut(&id) {
            change(state);
            if state.starts.is_empty() && state.cancels_count == 0 {
                states.remove(&id);
            }
        }
        self.changed.notify_all();
    }
}
