//! Reuse of connections to backend servers, over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use bytes::Bytes;
use cuminlead_direct::connection::Connection;
use http::Request;
use http_body_util::BodyExt;

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer";

/// Server that answers one request, and then does `after` once it is told to.
struct Server {
    address: SocketAddr,
    go: Sender<()>,
    done: Receiver<()>,
}

impl Server {
    fn start(after: fn(TcpStream)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("a bound port");
        let (go, told) = channel();
        let (finished, done) = channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut head = [0; 1_024];
            let read_bytes = stream.read(&mut head).expect("a request");
            assert!(read_bytes > 0, "the request has a head");
            stream
                .write_all(RESPONSE.as_bytes())
                .expect("an open connection");
            told.recv().expect("the test tells the server to go on");
            after(stream);
            finished.send(()).expect("the test waits");
        });
        Self { address, go, done }
    }
}

/// Guards against a response that is taken for that of the next request: a server sends a second
/// copy of it after the first one, and the event loop has not noticed before it sends the request.
#[test]
fn connection_with_unread_bytes_is_not_reused() {
    struct Case {
        name: &'static str,
        after: fn(TcpStream),
        is_usable: bool,
    }
    let cases = [
        Case {
            name: "second copy of the response",
            after: |mut stream| {
                stream
                    .write_all(RESPONSE.as_bytes())
                    .expect("an open connection");
                // Keeps the connection open, so that only the bytes tell.
                std::mem::forget(stream);
            },
            is_usable: false,
        },
        Case {
            name: "single byte",
            after: |mut stream| {
                stream.write_all(b"\n").expect("an open connection");
                std::mem::forget(stream);
            },
            is_usable: false,
        },
        Case {
            name: "closed by the server",
            after: drop,
            is_usable: false,
        },
        Case {
            name: "quiet",
            after: |stream| std::mem::forget(stream),
            is_usable: true,
        },
    ];
    for case in cases {
        let server = Server::start(case.after);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let is_usable = tokio::task::LocalSet::new().block_on(&runtime, async {
            let mut connection = Connection::connect(server.address)
                .await
                .expect("the server listens");
            let request = Request::get("/").body(Bytes::new());
            let response = connection.send(request.expect("a valid request")).await;
            let body = response.expect("a response").into_body().collect().await;
            assert_eq!(body.expect("a whole body").to_bytes(), "answer");
            assert!(connection.is_usable().await, "{}: still quiet", case.name);
            // Blocks the event loop until the bytes are in the socket, as a busy process would.
            server.go.send(()).expect("the server runs");
            server.done.recv().expect("the server goes on");
            connection.is_usable().await
        });
        assert_eq!(is_usable, case.is_usable, "{}", case.name);
    }
}
