//! TCP relay on loopback that blocks traffic as a network partition does.
//!
//! Data that arrives while its direction is cut is buffered and delivered after the cut ends, as
//! TCP retransmits it. Discarding it would corrupt the byte stream.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

const BUFFER_BYTES: usize = 64 << 10;

/// Directions in which traffic is blocked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// Traffic passes in both directions.
    #[default]
    None,
    /// Traffic is blocked in both directions.
    Both,
    /// Traffic from clients to the target is blocked.
    ToTarget,
    /// Traffic from the target to clients is blocked.
    FromTarget,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Cut {
    fn blocks(self, direction: Direction) -> bool {
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
    /// Number of the last accepted connection, counted from 1.
    last_connection: u64,
    /// Connections up to this number are blocked for good.
    silenced_up_to: u64,
    /// Open sockets of both sides of all connections.
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

    /// Blocks until the direction is open; returns false when the relay has closed.
    fn wait_until_open(&self, connection: u64, direction: Direction) -> bool {
        let is_blocked = |state: &mut State| {
            let is_silenced = connection <= state.silenced_up_to;
            !state.is_closed && (is_silenced || state.cut.blocks(direction))
        };
        let waited = self.changed.wait_while(self.lock(), is_blocked);
        !waited.unwrap_or_else(PoisonError::into_inner).is_closed
    }
}

/// Relay to one target. Dropping it closes all of its connections.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    pub fn start(target: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        shared.lock().target = target.to_string();
        let acceptor_shared = Arc::clone(&shared);
        thread::spawn(move || run_acceptor(&listener, &acceptor_shared));
        Ok(Self { address, shared })
    }

    /// Address that clients connect to.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Closes the open connections and connects later ones to another target.
    pub fn retarget(&self, target: &str) {
        self.shared.change(|state| {
            state.target = target.to_string();
            for socket in state.sockets.drain(..) {
                // Fails only when the peer has closed the socket already.
                let _ = socket.stream.shutdown(Shutdown::Both);
            }
        });
    }

    /// Blocks directions of all open and later connections, until the next call.
    pub fn cut(&self, cut: Cut) {
        self.shared.change(|state| state.cut = cut);
    }

    /// Blocks both directions of the open connections for good; new connections work.
    pub fn silence_open(&self) {
        self.shared
            .change(|state| state.silenced_up_to = state.last_connection);
    }

    /// Number of connections accepted so far.
    pub fn connections_count(&self) -> u64 {
        self.shared.lock().last_connection
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.change(|state| state.is_closed = true);
        self.retarget("");
        // Unblocks the acceptor thread, which exits once the relay is closed.
        let _ = TcpStream::connect(self.address);
    }
}

fn run_acceptor(listener: &TcpListener, shared: &Arc<Shared>) {
    for caller in listener.incoming() {
        let target = {
            let mut state = shared.lock();
            if state.is_closed {
                return;
            }
            state.last_connection += 1;
            state.target.clone()
        };
        let connection = shared.lock().last_connection;
        if let Ok(caller) = caller {
            let shared = Arc::clone(shared);
            thread::spawn(move || relay_connection(&shared, connection, caller, &target));
        }
    }
}

/// Relays one connection; closes it when the target is unreachable.
fn relay_connection(shared: &Arc<Shared>, connection: u64, caller: TcpStream, target: &str) {
    if !shared.wait_until_open(connection, Direction::ToTarget) {
        return;
    }
    let Ok(target_stream) = TcpStream::connect(target) else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target_stream.set_nodelay(true);
    let copies = (caller.try_clone(), target_stream.try_clone());
    let (Ok(caller_copy), Ok(target_copy)) = copies else {
        return;
    };
    let clones = [caller.try_clone(), target_stream.try_clone()];
    for stream in clones.into_iter().flatten() {
        let socket = Socket { connection, stream };
        shared.lock().sockets.push(socket);
    }
    let return_shared = Arc::clone(shared);
    let return_thread = thread::spawn(move || {
        copy_direction(
            &return_shared,
            connection,
            Direction::FromTarget,
            target_copy,
            caller_copy,
        );
    });
    copy_direction(
        shared,
        connection,
        Direction::ToTarget,
        caller,
        target_stream,
    );
    // A copying thread that panicked leaves nothing to relay.
    let _ = return_thread.join();
    let mut state = shared.lock();
    state
        .sockets
        .retain(|socket| socket.connection != connection);
}

fn copy_direction(
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
    // Relays the end of this direction; the other direction may continue.
    let _ = to.shutdown(Shutdown::Write);
}
