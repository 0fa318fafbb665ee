//! HTTP listener shared by the stand-ins: axum in front of blocking handlers.
//!
//! astra 0.4 is unsuitable: it calls the handler in the connection task, so a request body beyond
//! the first read (8 KiB) is never received, and the lines of a streamed response stay in the write
//! buffer until it is full.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, to_bytes};
use axum::extract::{ConnectInfo, Request};
use axum::response::Response;
use axum::serve::ListenerExt;
use axum::{Router, body::Bytes};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::behaviour::{Behaviour, CallDisposition, ControlRequest, Mode};

/// Threads for handlers and streams; a call blocked by its mode occupies one.
const WORKERS_MAX: usize = 2_048;
const WORKER_KEEP_ALIVE: Duration = Duration::from_secs(5);
const BODY_MAX_BYTES: usize = 64 << 20;
/// Chunks buffered for a slow reader.
const STREAM_CHUNKS_MAX: usize = 2;
const CHUNK_BYTES: usize = 64 << 10;
const CONTROL_PATH: &str = "/control";

type Chunk = io::Result<Bytes>;

/// Request to a stand-in.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path without the query string.
    pub path: String,
    /// Query string without the question mark; empty without one.
    pub query: String,
    /// Complete request body.
    pub body: Vec<u8>,
    /// Socket address of the client.
    pub peer: SocketAddr,
}

impl Call {
    /// Value of a query parameter, not percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    /// Numeric query parameter; `default` when it is absent or not a number.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        self.parameter(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    }

    /// Body parsed as JSON; otherwise the response with status 400.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Answer::error(400, &format!("malformed: {error}")))
    }
}

/// Response of a stand-in.
pub enum Answer {
    /// JSON document.
    Json {
        /// HTTP status code.
        status: u16,
        /// Response body.
        body: Value,
    },
    /// Stream of JSON lines with status 200.
    Lines(Box<dyn LineSource>),
    /// Stream of bytes with status 200.
    Bytes(Box<dyn Read + Send>),
    /// The connection is closed without a response.
    Nothing,
}

impl Answer {
    /// Response with status 200; status 500 when `body` can't be serialised.
    pub fn ok(body: impl Serialize) -> Self {
        match serde_json::to_value(body) {
            Ok(body) => Self::Json { status: 200, body },
            Err(error) => Self::error(500, &error.to_string()),
        }
    }

    /// Error response with body `{"error": reason}`.
    pub fn error(status: u16, reason: &str) -> Self {
        let body = json!({ "error": reason });
        Self::Json { status, body }
    }
}

/// Source of a streamed response.
pub trait LineSource: Send {
    /// Blocks until the next line, without its terminator; `None` at the end of the stream. An
    /// error aborts the connection.
    fn next_line(&mut self) -> io::Result<Option<String>>;
}

/// Request handler of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; may block.
    fn handle(&self, call: &Call) -> Answer;

    /// Called before the fault mode changes.
    fn before_mode_change(&self, _request: ControlRequest) {}
}

/// Starts a listener on its own threads and returns the bound address.
///
/// Fails when the threads can't be started or the address can't be bound.
pub fn serve<H: Handler>(
    address: &str,
    behaviour: Arc<Behaviour>,
    handler: Arc<H>,
) -> io::Result<SocketAddr> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .max_blocking_threads(WORKERS_MAX)
        .thread_keep_alive(WORKER_KEEP_ALIVE)
        .enable_all()
        .build()?;
    let listener = runtime.block_on(TcpListener::bind(address))?;
    let bound = listener.local_addr()?;
    std::thread::spawn(move || run_listener(&runtime, listener, behaviour, handler));
    Ok(bound)
}

fn run_listener<H: Handler>(
    runtime: &Runtime,
    listener: TcpListener,
    behaviour: Arc<Behaviour>,
    handler: Arc<H>,
) {
    let listener = listener.tap_io(|stream| {
        // Nagle's algorithm would delay each line until the previous one is acknowledged.
        if let Err(error) = stream.set_nodelay(true) {
            eprintln!("level=warning event=no_delay_failed reason=\"{error}\"");
        }
    });
    let service = Router::new()
        .fallback(move |peer: ConnectInfo<SocketAddr>, request: Request| {
            serve_call(
                Arc::clone(&behaviour),
                Arc::clone(&handler),
                peer.0,
                request,
            )
        })
        .into_make_service_with_connect_info::<SocketAddr>();
    let served = runtime.block_on(async { axum::serve(listener, service).await });
    if let Err(error) = served {
        eprintln!("level=error event=listener_ended reason=\"{error}\"");
    }
}

/// Prints the bound address for the launcher on standard output and blocks forever.
pub fn announce_and_wait(address: SocketAddr) -> ! {
    println!("listening address={address}");
    loop {
        std::thread::park();
    }
}

async fn serve_call<H: Handler>(
    behaviour: Arc<Behaviour>,
    handler: Arc<H>,
    peer: SocketAddr,
    request: Request,
) -> Response {
    let Some(call) = read_call(request, peer).await else {
        return to_response(Answer::error(400, "malformed"));
    };
    let handled =
        tokio::task::spawn_blocking(move || handle_call(&behaviour, handler.as_ref(), &call));
    to_response(handled.await.unwrap_or(Answer::Nothing))
}

async fn read_call(request: Request, peer: SocketAddr) -> Option<Call> {
    let (head, body) = request.into_parts();
    Some(Call {
        method: head.method.to_string(),
        path: head.uri.path().to_string(),
        query: head.uri.query().unwrap_or_default().to_string(),
        body: to_bytes(body, BODY_MAX_BYTES).await.ok()?.to_vec(),
        peer,
    })
}

fn handle_call<H: Handler>(behaviour: &Behaviour, handler: &H, call: &Call) -> Answer {
    if call.path == CONTROL_PATH {
        return handle_control(behaviour, handler, call);
    }
    if call.path.starts_with(CONTROL_PATH) {
        return handler.handle(call);
    }
    let answer = match behaviour.admit_call(call.peer) {
        CallDisposition::Proceed => handler.handle(call),
        CallDisposition::Fail => Answer::error(500, "failing as told"),
        CallDisposition::Drop => Answer::Nothing,
    };
    // The mode or the connection may have become silent during the call.
    let is_dropped = behaviour.admit_without_delay(call.peer) == CallDisposition::Drop;
    if is_dropped || behaviour.mode() == Mode::LoseAnswer {
        return Answer::Nothing;
    }
    answer
}

fn handle_control<H: Handler>(behaviour: &Behaviour, handler: &H, call: &Call) -> Answer {
    if call.method != "POST" {
        return Answer::ok(json!({ "mode": behaviour.mode() }));
    }
    match call.json::<ControlRequest>() {
        Ok(request) => {
            handler.before_mode_change(request);
            behaviour.set(request);
            Answer::ok(json!({ "mode": request.mode }))
        }
        Err(rejection) => rejection,
    }
}

fn to_response(answer: Answer) -> Response {
    let (status, content_type, body) = match answer {
        Answer::Json { status, body } => (status, "application/json", Body::from(body.to_string())),
        Answer::Lines(source) => (
            200,
            "application/x-ndjson",
            stream_body(|to| send_lines(source, to)),
        ),
        Answer::Bytes(reader) => {
            let body = stream_body(|to| send_bytes(reader, to));
            (200, "application/octet-stream", body)
        }
        Answer::Nothing => (200, "application/octet-stream", aborted_body()),
    };
    let response = Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(body);
    response.unwrap_or_else(|error| Response::new(Body::from(error.to_string())))
}

/// Body that fails immediately, which closes the connection before the response head is flushed.
fn aborted_body() -> Body {
    let error: Chunk = Err(io::ErrorKind::ConnectionAborted.into());
    Body::from_stream(tokio_stream::once(error))
}

/// Body whose chunks `send` produces on a worker thread.
fn stream_body(send: impl FnOnce(mpsc::Sender<Chunk>) + Send + 'static) -> Body {
    let (sender, receiver) = mpsc::channel(STREAM_CHUNKS_MAX);
    tokio::task::spawn_blocking(move || send(sender));
    Body::from_stream(ReceiverStream::new(receiver))
}

fn send_lines(mut source: Box<dyn LineSource>, to: mpsc::Sender<Chunk>) {
    loop {
        let chunk = match source.next_line() {
            Ok(Some(line)) => Ok(Bytes::from(line + "\n")),
            Ok(None) => return,
            Err(error) => Err(error),
        };
        let is_last = chunk.is_err();
        if to.blocking_send(chunk).is_err() || is_last {
            return;
        }
    }
}

fn send_bytes(mut reader: Box<dyn Read + Send>, to: mpsc::Sender<Chunk>) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let chunk = match reader.read(&mut buffer) {
            Ok(0) => return,
            Ok(size) => Ok(Bytes::copy_from_slice(&buffer[..size])),
            Err(error) => Err(error),
        };
        let is_last = chunk.is_err();
        if to.blocking_send(chunk).is_err() || is_last {
            return;
        }
    }
}
