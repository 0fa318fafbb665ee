//! Driver of a plain service.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, unbounded};
use cuminlead_agent::backend::{self, Backend, BackendContext, BackendEvent};
use cuminlead_kernel::WorkerPool;
use cuminlead_protocol::{HttpRequest, ServiceCallRef, ServiceCommand, ServiceEvent};
use socket2::SockRef;
use yare::parameterized;

const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-01";

fn start_driver(address: SocketAddr) -> (Box<dyn Backend>, Receiver<BackendEvent>) {
    let (events, reported) = unbounded();
    let context = BackendContext {
        address: address.to_string(),
        pool: WorkerPool::new("backend", 1),
        events: Box::new(move |event| events.send(event).expect("receiver")),
    };
    let driver = backend::build("service", context).expect("driver");
    (driver, reported)
}

/// Guards against a lost trace context, without which spans of the service are not part of the
/// caller's trace, and against an empty `traceparent` header.
#[parameterized(
    traced = { TRACEPARENT, 1 },
    untraced = { "", 0 },
)]
fn trace_context_reaches_the_service(traceparent: &str, headers_count: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let (driver, reported) = start_driver(listener.local_addr().expect("address"));
    let command = ServiceCommand {
        run: ServiceCallRef::Message(1),
        http: HttpRequest {
            method: "GET".to_string(),
            path: "/stock".to_string(),
            ..HttpRequest::default()
        },
    };
    driver.command_service(command, traceparent.to_string());
    let (mut connection, _) = listener.accept().expect("connection");
    let mut head = String::new();
    while !head.contains("\r\n\r\n") {
        let mut buffer = [0; 1_024];
        let size = connection.read(&mut buffer).expect("request");
        assert!(size > 0, "the request ended early: {head}");
        head += &String::from_utf8_lossy(&buffer[..size]);
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    connection.write_all(answer).expect("answer");
    let event = reported.recv().expect("event");
    assert!(
        matches!(&event, BackendEvent::Service(ServiceEvent::Answered { http, .. }) if http.body == b"ok"),
        "{event:?}"
    );
    let headers = head.lines().filter(|line| line.starts_with("traceparent:"));
    assert_eq!(headers.clone().count(), headers_count, "{head}");
    assert!(headers.clone().all(|line| line.ends_with(traceparent)));
}

/// Long enough that a server which does not read leaves part of it unsent.
const LONG_BODY_BYTES: usize = 400_000;

/// How a service ends the connection after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    CloseSendingFirst,
}

/// Responds to one request; an early response is sent before the body of the request is read.
fn respond(stream: &TcpStream, response: &str, end: End, is_early: bool) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while reader.read_line(&mut line).expect("request") > 2 {
        line.clear();
    }
    if !is_early {
        let mut body = vec![0; LONG_BODY_BYTES];
        reader.read_exact(&mut body).expect("body");
    }
    let mut writer = stream;
    writer.write_all(response.as_bytes()).expect("response");
    match end {
        End::Close => {}
        End::Reset => {
            // Lets the response arrive before the reset.
            thread::sleep(Duration::from_millis(30));
            let linger = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            linger.expect("option");
        }
        End::CloseSendingFirst => {
            stream.shutdown(Shutdown::Write).expect("connection");
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Guards against a response that breaks off, or has no valid head, and is reported as the answer to
/// a call.
#[test]
fn broken_response_is_reported_as_lost() {
    const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\nok";
    const UNTIL_CLOSE_10: &str = "HTTP/1.0 200 OK\r\n\r\nok";
    const ANNOUNCED: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nok";
    let cases = [
        ("early, reset", UNTIL_CLOSE, End::Reset, true, false),
        (
            "early, HTTP/1.0, reset",
            UNTIL_CLOSE_10,
            End::Reset,
            true,
            false,
        ),
        ("early, unread bytes", UNTIL_CLOSE, End::Close, true, false),
        (
            "early, no data",
            "HTTP/1.1 200 OK\r\n\r\n",
            End::Close,
            true,
            false,
        ),
        (
            "early, sending first",
            UNTIL_CLOSE,
            End::CloseSendingFirst,
            true,
            false,
        ),
        ("reset at the end", UNTIL_CLOSE, End::Reset, false, false),
        (
            "HTTP/1.0, reset at the end",
            UNTIL_CLOSE_10,
            End::Reset,
            false,
            false,
        ),
        ("regular end", UNTIL_CLOSE, End::Close, false, true),
        (
            "HTTP/1.0, regular end",
            UNTIL_CLOSE_10,
            End::Close,
            false,
            true,
        ),
        ("announced, regular end", ANNOUNCED, End::Close, false, true),
        (
            "status 000",
            "HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\nok",
            End::Close,
            false,
            false,
        ),
        (
            "two digits",
            "HTTP/1.1 20 X\r\ncontent-length: 2\r\n\r\nok",
            End::Close,
            false,
            false,
        ),
        (
            "four digits",
            "HTTP/1.1 2000 X\r\ncontent-length: 2\r\n\r\nok",
            End::Close,
            false,
            false,
        ),
        (
            "below 100",
            "HTTP/1.1 099 X\r\ncontent-length: 2\r\n\r\nok",
            End::Close,
            false,
            false,
        ),
        (
            "above 599",
            "HTTP/1.1 700 X\r\ncontent-length: 2\r\n\r\nok",
            End::Close,
            false,
            false,
        ),
        (
            "protocol switch",
            "HTTP/1.1 101 X\r\nupgrade: x\r\n\r\nok",
            End::Close,
            false,
            false,
        ),
        (
            "informational only",
            "HTTP/1.1 103 X\r\n\r\n",
            End::Close,
            false,
            false,
        ),
        (
            "204 with a body",
            "HTTP/1.1 204 X\r\ncontent-length: 2\r\n\r\nok",
            End::Close,
            false,
            false,
        ),
        (
            "short of its length",
            "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nok",
            End::Close,
            false,
            false,
        ),
        (
            "no last chunk",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            End::Close,
            false,
            false,
        ),
    ];
    let mut findings = Vec::new();
    for (name, response, end, is_early, is_answer) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let (driver, reported) = start_driver(listener.local_addr().expect("address"));
        let http = HttpRequest {
            method: "POST".to_string(),
            path: "/charges".to_string(),
            body: vec![b'b'; LONG_BODY_BYTES],
            ..HttpRequest::default()
        };
        let run = ServiceCallRef::Message(1);
        driver.command_service(ServiceCommand { run, http }, String::new());
        let (connection, _) = listener.accept().expect("connection");
        respond(&connection, response, end, is_early);
        drop(connection);
        let event = reported.recv().expect("event");
        let is_expected = match &event {
            BackendEvent::Service(ServiceEvent::Answered { http, .. }) => {
                is_answer && http.body == b"ok"
            }
            BackendEvent::Service(ServiceEvent::Lost { .. }) => !is_answer,
            _ => false,
        };
        if !is_expected {
            findings.push(format!("{name}: {event:?}"));
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}
