//! Client of the platform against a listener that records the paths of requests.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use cuminlead_distribution::PlatformResponse;
use cuminlead_process::platform::PlatformClient;
use cuminlead_types::Revision;
use yare::parameterized;

/// Longest wait of a watch that the distribution requests.
const WAIT: Duration = Duration::from_secs(1);
const HOST: &str = r#"{"host":"h","region":"r","availability_zone":"z","state":"live","process":"entry","address":"127.0.0.1:1"}"#;

/// HTTP listener that selects the response by the prefix of the request path.
struct Listener {
    address: SocketAddr,
    paths: Arc<Mutex<Vec<String>>>,
}

impl Listener {
    fn start(responses: &'static [(&'static str, &'static str)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let address = listener.local_addr().expect("address");
        let paths = Arc::new(Mutex::new(Vec::new()));
        let recorded_paths = Arc::clone(&paths);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("stream");
                let lines = BufReader::new(stream.try_clone().expect("stream")).lines();
                let head: Vec<String> = lines
                    .map_while(Result::ok)
                    .take_while(|line| !line.is_empty())
                    .collect();
                let path = head[0].split(' ').nth(1).expect("path").to_string();
                let response = responses
                    .iter()
                    .find(|response| path.starts_with(response.0));
                let body = response.expect("known path").1;
                recorded_paths.lock().expect("lock").push(path);
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

/// Guards against a host query that waits, so that the host list is confirmed late, and against
/// more than one request for each call; the distribution spaces the calls.
#[test]
fn hosts_call_sends_one_request() {
    let unchanged = r#"{"revision":7,"since":7,"hosts":[]}"#;
    let listener = Listener::start(Box::leak(Box::new([("/v1/hosts", unchanged)])));
    let answer = listener.platform().hosts(Revision(7)).expect("answer");
    assert!(matches!(
        answer,
        PlatformResponse::Unchanged {
            revision: Revision(7)
        }
    ));
    assert_eq!(listener.paths(), ["/v1/hosts?since=7"]);
}

/// Guards against changes that are treated as the full list, a full list that is treated as
/// changes, and an older revision that is accepted.
#[parameterized(
    changes = { r#"{"revision":7,"since":6,"hosts":[HOST],"removed":["g"]}"#, "changes" },
    only_removed = { r#"{"revision":7,"since":6,"hosts":[],"removed":["g"]}"#, "changes" },
    full = { r#"{"revision":7,"hosts":[HOST]}"#, "full" },
    full_unchanged = { r#"{"revision":6,"hosts":[HOST]}"#, "unchanged" },
    older = { r#"{"revision":5,"since":6,"hosts":[]}"#, "unchanged" },
    older_full = { r#"{"revision":5,"hosts":[HOST]}"#, "unchanged" },
    other_base = { r#"{"revision":7,"since":5,"hosts":[]}"#, "failed" },
    malformed = { r#"{"revision":7,"since":"x","hosts":[]}"#, "unreadable" },
)]
fn hosts_response_is_classified(body: &str, expected: &str) {
    let body: &'static str = Box::leak(body.replace("HOST", HOST).into_boxed_str());
    let listener = Listener::start(Box::leak(Box::new([("/v1/hosts", body)])));
    let kind = match listener.platform().hosts(Revision(6)) {
        Ok(PlatformResponse::HostChanges(delta)) => {
            assert_eq!(delta.removed.len(), 1);
            "changes"
        }
        Ok(PlatformResponse::Hosts(list)) => {
            assert_eq!(list.hosts.len(), 1);
            "full"
        }
        Ok(PlatformResponse::Unchanged { .. }) => "unchanged",
        Ok(PlatformResponse::Unreadable(_)) => "unreadable",
        Ok(_) => "lists",
        Err(_) => "failed",
    };
    assert_eq!(kind, expected);
}

/// Guards against a second request for changes that the watch has already returned, and against
/// changes since an invalid revision that are applied to the active one.
#[parameterized(
    active = { Revision(6), &["/v1/watch?since=6&wait_ms=1000"] },
    newer_invalid = { Revision(4), &["/v1/watch?since=6&wait_ms=1000", "/v1/config?since=4"] },
)]
fn watch_returns_changes_since_active_revision(active_revision: Revision, paths: &[&str]) {
    let listener = Listener::start(&[
        ("/v1/watch", r#"{"revision":8,"since":6,"parts":[]}"#),
        (
            "/v1/config",
            r#"{"revision":8,"since":4,"parts":[],"removed":["plans/a"]}"#,
        ),
    ]);
    let answer = listener
        .platform()
        .lists(Revision(6), active_revision, WAIT);
    let Ok(PlatformResponse::ListChanges(delta)) = answer else {
        panic!("expected changes");
    };
    assert_eq!(delta.from_revision, active_revision);
    assert_eq!(delta.revision, Revision(8));
    assert_eq!(listener.paths(), paths);
}
