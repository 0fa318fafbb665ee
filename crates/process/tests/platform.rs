//! The client of the platform against a listener that counts the calls.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use cuminlead_distribution::Answer;
use cuminlead_process::platform::Platform;
use cuminlead_types::Revision;

const HOSTS: &str = r#"{"revision":7,"hosts":[]}"#;
/// Longest wait of a watch, by the limits of the distribution.
const WAIT: Duration = Duration::from_secs(1);

/// Listener that answers every call with the same host list.
fn serve(calls: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("stream");
            let mut lines = BufReader::new(stream.try_clone().expect("stream")).lines();
            while lines
                .next()
                .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
            {}
            calls.fetch_add(1, Ordering::SeqCst);
            let length = HOSTS.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
            stream
                .write_all((head + HOSTS).as_bytes())
                .expect("answered");
        }
    });
    address
}

/// Guards against a watch of an unchanged host list that ends early: it is repeated at once, so
/// that each reader fetches the whole list several times a second.
#[test]
fn watch_of_unchanged_hosts_waits_and_reads_once() {
    let calls = Arc::new(AtomicU64::new(0));
    let address = serve(Arc::clone(&calls));
    let platform = Platform::new(&address.to_string());
    let start = Instant::now();
    let answer = platform.hosts(Revision(7), WAIT).expect("answer");
    assert!(matches!(
        answer,
        Answer::Unchanged {
            revision: Revision(7)
        }
    ));
    assert!(start.elapsed() >= WAIT);
    assert_eq!(calls.load(Ordering::SeqCst), 1);
}

/// Guards against a question that waits although it must be answered at once, or a changed list
/// that is held back until the wait ends.
#[test]
fn question_and_changed_hosts_are_answered_at_once() {
    let calls = Arc::new(AtomicU64::new(0));
    let address = serve(Arc::clone(&calls));
    let platform = Platform::new(&address.to_string());
    let question = platform.hosts(Revision(7), Duration::ZERO).expect("answer");
    assert!(matches!(question, Answer::Unchanged { .. }));
    let changed = platform.hosts(Revision(6), WAIT).expect("answer");
    assert!(matches!(changed, Answer::Hosts(_)));
    assert_eq!(calls.load(Ordering::SeqCst), 2);
}
