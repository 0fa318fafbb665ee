//! Ports that tests and launchers choose for processes before they start them.
//!
//! A process whose address is published before its start can't let the system choose its port. A
//! port that is only checked to be free may be chosen again, for another process of the same fleet
//! or by another test executable, before the first process binds it. Each chosen port is therefore
//! claimed: the executable that chose it listens on it, on an address of its own, until it ends.

use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

/// First of the ports that are chosen. The range lies below the ephemeral ports of the system: an
/// outgoing connection or a listener on port 0 could otherwise take a port after it was chosen and
/// before the process binds it.
const FIRST_PORT: u16 = 10_000;
const PORTS_COUNT: u32 = 22_000;

/// Address of the listeners that claim ports. No other process listens on it.
const CLAIM_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 77, 0, 1);

static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Port that is free on all addresses and that no other call, of this or another executable,
/// returns before this executable ends.
pub fn free_port() -> io::Result<u16> {
    for _ in 0..PORTS_COUNT {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        // Executables that run in parallel start at different offsets.
        let offset = std::process::id().wrapping_mul(97).wrapping_add(number) % PORTS_COUNT;
        let port = FIRST_PORT + u16::try_from(offset).map_err(io::Error::other)?;
        if claim_port(port) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no port is free"))
}

/// Claims a port; false if it is in use on any address or claimed already.
pub fn claim_port(port: u16) -> bool {
    if TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_err() {
        return false;
    }
    let Ok(claim) = TcpListener::bind((CLAIM_ADDRESS, port)) else {
        return false;
    };
    let mut claims = CLAIMS.lock().unwrap_or_else(PoisonError::into_inner);
    claims.push(claim);
    true
}
