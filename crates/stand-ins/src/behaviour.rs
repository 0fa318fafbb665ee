//! Faults that can be injected into a stand-in through its control path.
//!
//! `POST /control {"mode": "late", "late_ms": 500}` sets the mode for all later calls. Calls to
//! paths under `/control` are answered in every mode.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Longest time that a call on a silenced connection occupies a worker thread.
const SILENCED_CALL_MAX: Duration = Duration::from_secs(300);

/// Fault mode of a stand-in.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Mode {
    /// No fault.
    #[default]
    Normal,
    /// Makes no progress until the mode changes; calls then continue.
    Stall,
    /// Accepts calls without responding; their connections are closed when the mode changes.
    Silent,
    /// Connections that are open when the mode is set get no further response; new ones work.
    SilentOpen,
    /// Reads return the state as of the mode change.
    Stale,
    /// Serves calls after a delay of [`ControlRequest::late_ms`].
    Late,
    /// Responds with status 500 and aborts streams.
    Fail,
    /// Executes a call and closes the connection without a response.
    LoseAnswer,
}

/// Body of `POST /control`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRequest {
    /// Mode of all later calls.
    pub mode: Mode,
    /// Delay of mode `late`, in milliseconds; ignored in other modes.
    #[serde(default)]
    pub late_ms: u64,
}

/// What happens to a call in the current mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallDisposition {
    /// The call is executed.
    Proceed,
    /// The call gets an error response.
    Fail,
    /// The connection is closed without a response.
    Drop,
}

#[derive(Default)]
struct State {
    request: ControlRequest,
    known_peers: HashSet<SocketAddr>,
    silenced_peers: HashSet<SocketAddr>,
}

/// Current mode of a stand-in and the connections that it affects.
#[derive(Default)]
pub struct Behaviour {
    state: Mutex<State>,
    changed: Condvar,
}

impl Behaviour {
    /// Sets the mode and wakes all waiting calls.
    pub fn set(&self, request: ControlRequest) {
        let mut state = self.lock();
        if request.mode == Mode::SilentOpen {
            let known_peers = std::mem::take(&mut state.known_peers);
            state.silenced_peers.extend(known_peers);
        }
        state.request = request;
        self.changed.notify_all();
    }

    /// Current mode.
    pub fn mode(&self) -> Mode {
        self.lock().request.mode
    }

    /// Blocks a call from `peer` as the mode requires, then returns what happens to it.
    pub fn admit_call(&self, peer: SocketAddr) -> CallDisposition {
        let disposition = self.admit_without_delay(peer);
        let request = self.lock().request;
        if disposition == CallDisposition::Proceed && request.mode == Mode::Late {
            std::thread::sleep(Duration::from_millis(request.late_ms));
        }
        disposition
    }

    /// Like [`Self::admit_call`] without the delay of mode `late`: for a response that is ready and
    /// for each chunk of a stream.
    pub fn admit_without_delay(&self, peer: SocketAddr) -> CallDisposition {
        let mut state = self.lock();
        state.known_peers.insert(peer);
        let mut was_silent = false;
        loop {
            if state.silenced_peers.contains(&peer) {
                drop(self.changed.wait_timeout(state, SILENCED_CALL_MAX));
                return CallDisposition::Drop;
            }
            match state.request.mode {
                Mode::Silent => was_silent = true,
                Mode::Stall => {}
                _ if was_silent => return CallDisposition::Drop,
                Mode::Fail => return CallDisposition::Fail,
                _ => return CallDisposition::Proceed,
            }
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Blocks while the mode is `stall`.
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
