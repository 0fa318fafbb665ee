//! TCP relay on loopback that cuts connections as a network does.
//!
//! Data that arrives while its direction is cut is held and delivered after the cut ends, as TCP
//! retransmits it. A relay that discarded it would corrupt the byte stream.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

const BUFFER_BYTES: usize = 64 << 10;

/// Directions that carry nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// Both directions work.
    #[default]
    None,
    /// Neither direction works.
    Both,
    /// Data from callers does not reach the target.
    ToTarget,
    /// Data from the target does not reach callers.
    FromTarget,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Cut {
    fn stops(self, direction: Direction) -> bool {
        match self {
            Self::None => false,
            Self::Both => true,
            Self::ToTarget => direction == Direction::ToTarget,
            Self::FromTarget => direction == Direction::FromTarget,
        }
    }
}

#[derive(Default)]
struct State {
    target: String,
    cut: Cut,
    /// Number of the last connection made.
    made: u64,
    /// Connections up to this number are silent.
    silent_up_to: u64,
    /// Open sockets by the number of their connection.
    sockets: Vec<Socket>,
    is_closed: bool,
}

struct Socket {
    connection: u64,
    stream: TcpStream,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// Waits until data may pass; false when the relay has closed.
    fn wait_until_open(&self, connection: u64, direction: Direction) -> bool {
        let is_held = |state: &mut State| {
            let is_silent = connection <= state.silent_up_to;
            !state.is_closed && (is_silent || state.cut.stops(direction))
        };
        let waited = self.changed.wait_while(self.lock(), is_held);
        !waited.unwrap_or_else(PoisonError::into_inner).is_closed
    }
}

/// Relay to one target. Dropping it ends all of its connections.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay on a free port.
    pub fn start(target: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        shared.lock().target = target.to_string();
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, &accepting));
        Ok(Self { address, shared })
    }

    /// Address to which callers connect.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sends later connections to another target and ends the present ones.
    pub fn retarget(&self, target: &str) {
        self.shared.change(|state| {
            state.target = target.to_string();
            for socket in state.sockets.drain(..) {
                // A socket that is closed already needs no shutdown.
                let _ = socket.stream.shutdown(Shutdown::Both);
            }
        });
    }

    /// Cuts directions of all present and later connections.
    pub fn cut(&self, cut: Cut) {
        self.shared.change(|state| state.cut = cut);
    }

    /// Makes the present connections silent for good; new ones work.
    pub fn silence_open(&self) {
        self.shared.change(|state| state.silent_up_to = state.made);
    }

    /// Connections made so far.
    pub fn connections_count(&self) -> u64 {
        self.shared.lock().made
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.change(|state| state.is_closed = true);
        self.retarget("");
        // Wakes the accepting thread, which ends when the relay is closed.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for caller in listener.incoming() {
        let target = {
            let mut state = shared.lock();
            if state.is_closed {
                return;
            }
            state.made += 1;
            state.target.clone()
        };
        let connection = shared.lock().made;
        if let Ok(caller) = caller {
            let shared = Arc::clone(shared);
            thread::spawn(move || carry(&shared, connection, caller, &target));
        }
    }
}

/// Carries one connection; a target that cannot be reached ends it.
fn carry(shared: &Arc<Shared>, connection: u64, caller: TcpStream, target: &str) {
    if !shared.wait_until_open(connection, Direction::ToTarget) {
        return;
    }
    let Ok(reached) = TcpStream::connect(target) else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = reached.set_nodelay(true);
    let copies = (caller.try_clone(), reached.try_clone());
    let (Ok(caller_copy), Ok(reached_copy)) = copies else {
        return;
    };
    let clones = [caller.try_clone(), reached.try_clone()];
    for stream in clones.into_iter().flatten() {
        let socket = Socket { connection, stream };
        shared.lock().sockets.push(socket);
    }
    let back = Arc::clone(shared);
    let returning = thread::spawn(move || {
        pump(
            &back,
            connection,
            Direction::FromTarget,
            reached_copy,
            caller_copy,
        );
    });
    pump(shared, connection, Direction::ToTarget, caller, reached);
    // A panicking copy has nothing left to carry.
    let _ = returning.join();
    let mut state = shared.lock();
    state
        .sockets
        .retain(|socket| socket.connection != connection);
}

fn pump(
    shared: &Shared,
    connection: u64,
    direction: Direction,
    mut from: TcpStream,
    mut to: TcpStream,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let size = from.read(&mut buffer).unwrap_or_default();
        if !shared.wait_until_open(connection, direction) {
            return;
        }
        if size == 0 || to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    // The end of one direction is passed on; the other may go on.
    let _ = to.shutdown(Shutdown::Write);
}
