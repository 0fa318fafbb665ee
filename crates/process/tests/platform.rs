//! The client of the platform against a listener that records the calls.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use cuminlead_distribution::Answer;
use cuminlead_process::platform::PlatformClient;
use cuminlead_types::Revision;
use yare::parameterized;

/// Longest wait of a watch, by the limits of the distribution.
const WAIT: Duration = Duration::from_secs(1);
const HOST: &str = r#"{"host":"h","region":"r","availability_zone":"z","state":"live","process":"entry","address":"127.0.0.1:1"}"#;

/// Listener that answers calls by the start of their path.
struct Listener {
    address: SocketAddr,
    paths: Arc<Mutex<Vec<String>>>,
}

impl Listener {
    fn start(answers: &'static [(&'static str, &'static str)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let address = listener.local_addr().expect("address");
        let paths = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&paths);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("stream");
                let lines = BufReader::new(stream.try_clone().expect("stream")).lines();
                let head: Vec<String> = lines
                    .map_while(Result::ok)
                    .take_while(|line| !line.is_empty())
                    .collect();
                let path = head[0].split(' ').nth(1).expect("path").to_string();
                let known = answers.iter().find(|known| path.starts_with(known.0));
                let body = known.expect("known path").1;
                seen.lock().expect("lock").push(path);
                let length = body.len();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
                );
                stream
                    .write_all((head + body).as_bytes())
                    .expect("answered");
            }
        });
        Self { address, paths }
    }

    fn platform(&self) -> PlatformClient {
        PlatformClient::new(&self.address.to_string())
    }

    fn paths(&self) -> Vec<String> {
        self.paths.lock().expect("lock").clone()
    }
}

/// Guards against a reading that waits, so that a host list is confirmed late, and against one that
/// is repeated within one call; the distribution keeps the interval between the calls.
#[test]
fn hosts_are_read_once_for_each_call() {
    let unchanged = r#"{"revision":7,"since":7,"hosts":[]}"#;
    let listener = Listener::start(Box::leak(Box::new([("/v1/hosts", unchanged)])));
    let answer = listener.platform().hosts(Revision(7)).expect("answer");
    assert!(matches!(
        answer,
        Answer::Unchanged {
            revision: Revision(7)
        }
    ));
    assert_eq!(listener.paths(), ["/v1/hosts?since=7"]);
}

/// Guards against changes that are taken as the whole list, a whole list that is taken as changes,
/// and an older revision that is taken at all.
#[parameterized(
    changes = { r#"{"revision":7,"since":6,"hosts":[HOST],"removed":["g"]}"#, "changes" },
    only_removed = { r#"{"revision":7,"since":6,"hosts":[],"removed":["g"]}"#, "changes" },
    whole = { r#"{"revision":7,"hosts":[HOST]}"#, "whole" },
    whole_unchanged = { r#"{"revision":6,"hosts":[HOST]}"#, "unchanged" },
    older = { r#"{"revision":5,"since":6,"hosts":[]}"#, "unchanged" },
    older_whole = { r#"{"revision":5,"hosts":[HOST]}"#, "unchanged" },
    other_base = { r#"{"revision":7,"since":5,"hosts":[]}"#, "failed" },
    malformed = { r#"{"revision":7,"since":"x","hosts":[]}"#, "unreadable" },
)]
fn hosts_answer(body: &str, expected: &str) {
    let body: &'static str = Box::leak(body.replace("HOST", HOST).into_boxed_str());
    let listener = Listener::start(Box::leak(Box::new([("/v1/hosts", body)])));
    let kind = match listener.platform().hosts(Revision(6)) {
        Ok(Answer::HostChanges(delta)) => {
            assert_eq!(delta.removed.len(), 1);
            "changes"
        }
        Ok(Answer::Hosts(list)) => {
            assert_eq!(list.hosts.len(), 1);
            "whole"
        }
        Ok(Answer::Unchanged { .. }) => "unchanged",
        Ok(Answer::Unreadable(_)) => "unreadable",
        Ok(_) => "lists",
        Err(_) => "failed",
    };
    assert_eq!(kind, expected);
}

/// Guards against a second call for changes that the watch has answered already, and against
/// changes since a refused revision that are applied to the one in force.
#[parameterized(
    in_force = { Revision(6), &["/v1/watch?since=6&wait_ms=1000"] },
    newer_refused = { Revision(4), &["/v1/watch?since=6&wait_ms=1000", "/v1/config?since=4"] },
)]
fn watch_reads_changes_since_the_revision_in_force(held: Revision, paths: &[&str]) {
    let listener = Listener::start(&[
        ("/v1/watch", r#"{"revision":8,"since":6,"parts":[]}"#),
        (
            "/v1/config",
            r#"{"revision":8,"since":4,"parts":[],"removed":["plans/a"]}"#,
        ),
    ]);
    let answer = listener.platform().lists(Revision(6), held, WAIT);
    let Ok(Answer::ListChanges(delta)) = answer else {
        panic!("expected changes");
    };
    assert_eq!(delta.from_revision, held);
    assert_eq!(delta.revision, Revision(8));
    assert_eq!(listener.paths(), paths);
}
