//! Driver of a model engine.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, unbounded};
use cuminlead_agent::backend::{self, Backend, BackendContext, BackendEvent};
use cuminlead_kernel::WorkerPool;
use cuminlead_protocol::{EngineCommand, EngineEvent, ModelTarget};
use cuminlead_types::{Attempt, AttemptId, Priority, RequestId};
use serde_json::{Value, json};
use socket2::SockRef;

/// Engine that answers prefills with a handle named after their sequence, and sends each response a
/// second time when the next request arrives on its connection.
fn start_repeating_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            thread::spawn(move || serve(&connection));
        }
    });
    address
}

fn serve(mut connection: &TcpStream) {
    let mut reader = BufReader::new(connection);
    let mut repeated = String::new();
    while let Some(body) = read_request(&mut reader) {
        let id = body["id"].as_str().unwrap_or_default();
        let response = json!({"handle": handle_of(id), "prompt_tokens": 1, "cached_tokens": 0});
        let response = response.to_string();
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{response}",
            response.len()
        );
        // The driver may have closed the connection after the first response.
        if connection
            .write_all(format!("{repeated}{response}").as_bytes())
            .is_err()
        {
            return;
        }
        repeated = response;
    }
}

/// Reads a request with a JSON body; `None` at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> Option<Value> {
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(length) = line.strip_prefix("content-length:") {
            body_bytes = length.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; body_bytes];
    reader.read_exact(&mut body).ok()?;
    serde_json::from_slice(&body).ok()
}

fn handle_of(id: &str) -> String {
    format!("kv-{id}")
}

fn start_driver(address: SocketAddr) -> (Box<dyn Backend>, Receiver<BackendEvent>) {
    let (events, reported) = unbounded();
    let context = BackendContext {
        address: address.to_string(),
        pool: WorkerPool::new("backend", 1),
        events: Box::new(move |event| events.send(event).expect("receiver")),
    };
    let driver = backend::build("engine", context).expect("driver");
    (driver, reported)
}

/// Guards against a decode from the KV cache of another sequence: responses of engines name no
/// sequence, and the second copy of one is taken as the response to the next command on the
/// connection.
#[test]
fn prefill_does_not_take_the_handle_of_another_sequence() {
    let (driver, reported) = start_driver(start_repeating_engine());
    for number in 1..=4 {
        let id = AttemptId {
            request: RequestId(number),
            attempt: Attempt(1),
        };
        driver.command_engine(EngineCommand::Prefill {
            id,
            target: ModelTarget::default(),
            priority: Priority(0),
            prompt: "prompt".to_string(),
        });
        let event = reported.recv().expect("event");
        assert!(
            matches!(&event, BackendEvent::Engine(EngineEvent::PrefillDone { kv, .. })
                if kv.handle == handle_of(&id.to_string())),
            "{id}: {event:?}"
        );
    }
}

/// Guards against a KV cache that is used although the response which names it broke off or has no
/// valid head.
#[test]
fn broken_response_to_a_prefill_names_no_cache() {
    const BODY: &str = "{\"handle\": \"h\", \"prompt_tokens\": 1, \"cached_tokens\": 0}";
    let cases = [
        ("regular end", "HTTP/1.1 200 OK\r\n\r\n", false, true),
        (
            "HTTP/1.0, regular end",
            "HTTP/1.0 200 OK\r\n\r\n",
            false,
            true,
        ),
        ("reset", "HTTP/1.1 200 OK\r\n\r\n", true, false),
        ("HTTP/1.0, reset", "HTTP/1.0 200 OK\r\n\r\n", true, false),
        ("status 000", "HTTP/1.1 000 X\r\n\r\n", false, false),
        ("protocol switch", "HTTP/1.1 101 X\r\n\r\n", false, false),
    ];
    for (name, head, is_reset, is_done) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let (driver, reported) = start_driver(listener.local_addr().expect("address"));
        driver.command_engine(EngineCommand::Prefill {
            id: AttemptId {
                request: RequestId(1),
                attempt: Attempt(1),
            },
            target: ModelTarget::default(),
            priority: Priority(0),
            prompt: "prompt".to_string(),
        });
        let (mut connection, _) = listener.accept().expect("connection");
        read_request(&mut BufReader::new(&connection)).expect("request");
        connection
            .write_all(format!("{head}{BODY}").as_bytes())
            .expect("response");
        if is_reset {
            // Lets the response arrive before the reset.
            thread::sleep(Duration::from_millis(30));
            let linger = SockRef::from(&connection).set_linger(Some(Duration::ZERO));
            linger.expect("option");
        }
        drop(connection);
        let event = reported.recv().expect("event");
        let is_expected = match &event {
            BackendEvent::Engine(EngineEvent::PrefillDone { .. }) => is_done,
            BackendEvent::Engine(EngineEvent::SequenceFailed { .. }) => !is_done,
            _ => false,
        };
        assert!(is_expected, "{name}: {event:?}");
    }
}
