//! Faults that a stand-in can be told to show through its control address.
//!
//! `POST /control {"mode": "late", "late_ms": 500}` sets the mode of all later calls. Calls under
//! `/control` themselves are always answered.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Longest time that a call on a muted connection occupies a worker.
const MUTED_MAX: Duration = Duration::from_secs(300);

/// How a stand-in treats calls.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Mode {
    /// Works.
    #[default]
    Normal,
    /// Makes no progress until the mode changes; calls then go on.
    Stall,
    /// Accepts calls and never answers them; they are dropped when the mode changes.
    Silent,
    /// Connections that are open now are never answered again; new ones work.
    SilentOpen,
    /// Reads answer with the state at the time of the switch.
    Stale,
    /// Answers after a delay.
    Late,
    /// Answers 500 and breaks streams.
    Fail,
    /// Serves a call and closes the connection without the answer.
    LoseAnswer,
}

/// Body of `POST /control`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRequest {
    /// New mode.
    pub mode: Mode,
    /// Delay of mode `late`.
    #[serde(default)]
    pub late_ms: u64,
}

/// What a call does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// The call is served.
    Proceed,
    /// The call is answered with an error.
    Fail,
    /// The connection ends without an answer.
    Drop,
}

#[derive(Default)]
struct State {
    request: ControlRequest,
    seen: HashSet<SocketAddr>,
    muted: HashSet<SocketAddr>,
}

/// Present mode of a stand-in and the connections that it affects.
#[derive(Default)]
pub struct Behaviour {
    state: Mutex<State>,
    changed: Condvar,
}

impl Behaviour {
    /// Sets the mode.
    pub fn set(&self, request: ControlRequest) {
        let mut state = self.lock();
        if request.mode == Mode::SilentOpen {
            let seen = std::mem::take(&mut state.seen);
            state.muted.extend(seen);
        }
        state.request = request;
        self.changed.notify_all();
    }

    /// Present mode.
    pub fn mode(&self) -> Mode {
        self.lock().request.mode
    }

    /// Waits as the mode asks and says whether the call from `peer` is served.
    pub fn enter(&self, peer: SocketAddr) -> Passage {
        let passage = self.pass(peer);
        let request = self.lock().request;
        if passage == Passage::Proceed && request.mode == Mode::Late {
            std::thread::sleep(Duration::from_millis(request.late_ms));
        }
        passage
    }

    /// Like [`Self::enter`] for the next part of a stream, without the delay of mode `late`.
    pub fn pass(&self, peer: SocketAddr) -> Passage {
        let mut state = self.lock();
        state.seen.insert(peer);
        let mut is_silent = false;
        loop {
            if state.muted.contains(&peer) {
                drop(self.changed.wait_timeout(state, MUTED_MAX));
                return Passage::Drop;
            }
            match state.request.mode {
                Mode::Silent => is_silent = true,
                Mode::Stall => {}
                _ if is_silent => return Passage::Drop,
                Mode::Fail => return Passage::Fail,
                _ => return Passage::Proceed,
            }
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits while the mode is `stall`.
    pub fn wait_while_stalled(&self) {
        let state = self.lock();
        let waited = self
            .changed
            .wait_while(state, |state| state.request.mode == Mode::Stall);
        drop(waited);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
