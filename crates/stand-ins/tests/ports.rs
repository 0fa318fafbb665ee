//! Ports that are chosen for processes.

use std::collections::BTreeSet;
use std::net::TcpListener;

use cuminlead_stand_ins::ports::{claim_port, free_port};

/// Guards against a port that is chosen for two processes, so that one of them can't bind it and
/// never starts.
#[test]
fn ports_are_chosen_once() {
    const PORTS_COUNT: usize = 1_000;
    let ports = (0..PORTS_COUNT).map(|_| free_port().expect("a free port"));
    let distinct: BTreeSet<u16> = ports.collect();
    assert_eq!(distinct.len(), PORTS_COUNT);
}

/// Guards against two test executables that choose the same port, so that a process of one of them
/// can't bind it and never becomes ready.
#[test]
fn chosen_port_is_not_chosen_again() {
    let port = free_port().expect("a free port");
    assert!(!claim_port(port));
    // The process under test can still bind it.
    assert!(TcpListener::bind(("127.0.0.1", port)).is_ok());
}
