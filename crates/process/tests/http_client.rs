//! HTTP client for back ends and the platform.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use cuminlead_process::http_client;
use ureq::Agent;
use yare::parameterized;

/// Guards against a client that sends the request to an address other than that of the URL, or
/// drops the query.
#[parameterized(
    v4 = { "127.0.0.1:0" },
    v6 = { "[::1]:0" },
)]
fn request_is_sent_to_the_url_address(address: &str) {
    let listener = TcpListener::bind(address).expect("a loopback address");
    let url = format!(
        "http://{}/stock?item=1",
        listener.local_addr().expect("bound")
    );
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a request");
            head.push(byte[0]);
        }
        let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(reply).expect("an open connection");
        String::from_utf8(head).expect("a request in ASCII")
    });
    let agent = http_client::agent(Agent::config_builder().proxy(None).build());
    let mut response = agent.get(&url).call().expect("an answer");
    let text = response.body_mut().read_to_string().expect("a body");
    let head = server.join().expect("a request");
    assert_eq!(text, "ok");
    assert!(head.starts_with("GET /stock?item=1 HTTP/1.1\r\n"), "{head}");
}

/// Guards against name resolution, which would block on DNS servers outside the system.
#[parameterized(
    name = { "http://localhost:1/" },
    no_port = { "http://127.0.0.1/" },
)]
fn url_without_ip_and_port_is_rejected(url: &str) {
    let agent = http_client::agent(Agent::config_builder().proxy(None).build());
    let result = agent.get(url).call();
    assert!(
        matches!(result, Err(ureq::Error::HostNotFound)),
        "{result:?}"
    );
}
