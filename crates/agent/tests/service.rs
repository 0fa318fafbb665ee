//! Driver of a plain service.

use std::io::{Read, Write};
use std::net::TcpListener;

use crossbeam::channel::unbounded;
use cuminlead_agent::backend::{self, BackendContext, BackendEvent};
use cuminlead_kernel::WorkerPool;
use cuminlead_protocol::{HttpRequest, ServiceCallRef, ServiceCommand, ServiceEvent};
use yare::parameterized;

const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-01";

/// Guards against a lost trace context, without which spans of the service are not part of the
/// caller's trace, and against an empty `traceparent` header.
#[parameterized(
    traced = { TRACEPARENT, 1 },
    untraced = { "", 0 },
)]
fn trace_context_reaches_the_service(traceparent: &str, headers_count: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let (events, reported) = unbounded();
    let context = BackendContext {
        address: listener.local_addr().expect("address").to_string(),
        pool: WorkerPool::new("backend", 1),
        events: Box::new(move |event| events.send(event).expect("receiver")),
    };
    let driver = backend::build("service", context).expect("driver");
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
