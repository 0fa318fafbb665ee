//! Order of the commands for one sequence.
//!
//! Commands block on pool threads and could overtake each other there. The decisions of the agent
//! rely on two things: a start that follows a cancel of the same sequence reaches the engine after
//! it, and a cancelled sequence reports nothing more.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cuminlead_types::AttemptId;

/// Longest wait of a start for the cancel before it; a cancel is short.
const CANCEL_WAIT_MAX: Duration = Duration::from_secs(4);

/// Commands under way, by sequence.
#[derive(Debug, Default)]
pub struct Sequences {
    states: Mutex<HashMap<AttemptId, State>>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// Number of cancels so far; a start belongs to the number that it found.
    generation: u64,
    /// Generations of starts that are queued or run.
    starts: Vec<u64>,
    cancels_count: u32,
}

/// Start or cancel of a sequence, taken in the order of the commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Sequence.
    pub id: AttemptId,
    generation: u64,
}

impl Sequences {
    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, State>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a start.
    pub fn begin(&self, id: AttemptId) -> Ticket {
        let mut states = self.lock();
        let state = states.entry(id).or_default();
        state.starts.push(state.generation);
        Ticket {
            id,
            generation: state.generation,
        }
    }

    /// Notes a cancel; starts before it report nothing more.
    pub fn cancel(&self, id: AttemptId) -> Ticket {
        let mut states = self.lock();
        let state = states.entry(id).or_default();
        state.generation += 1;
        state.cancels_count += 1;
        Ticket {
            id,
            generation: state.generation,
        }
    }

    /// Whether no cancel followed the start.
    pub fn is_current(&self, ticket: Ticket) -> bool {
        self.lock()
            .get(&ticket.id)
            .is_some_and(|state| state.generation == ticket.generation)
    }

    /// Whether a start before the cancel is still under way.
    pub fn has_earlier_start(&self, cancel: Ticket) -> bool {
        let states = self.lock();
        let starts = states.get(&cancel.id).map(|state| state.starts.as_slice());
        starts
            .unwrap_or_default()
            .iter()
            .any(|start| *start < cancel.generation)
    }

    /// Waits until the cancels before a start have ended; whether the start is still wanted.
    pub fn wait_for_turn(&self, start: Ticket) -> bool {
        let until = Instant::now() + CANCEL_WAIT_MAX;
        let mut states = self.lock();
        loop {
            let Some(state) = states.get(&start.id) else {
                return false;
            };
            if state.generation != start.generation {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if state.cancels_count == 0 || left.is_zero() {
                return true;
            }
            let waited = self.changed.wait_timeout(states, left);
            states = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Notes the end of a start.
    pub fn end_start(&self, start: Ticket) {
        self.end(start.id, |state| {
            if let Some(index) = state.starts.iter().position(|s| *s == start.generation) {
                state.starts.swap_remove(index);
            }
        });
    }

    /// Notes the end of a cancel.
    pub fn end_cancel(&self, cancel: Ticket) {
        self.end(cancel.id, |state| {
            state.cancels_count = state.cancels_count.saturating_sub(1)
        });
    }

    fn end(&self, id: AttemptId, change: impl FnOnce(&mut State)) {
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
