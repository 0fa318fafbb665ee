//! The HTTP listener that all stand-ins share: axum in front of blocking handlers.
//!
//! astra 0.4 does not serve here. It calls the handler inside the task of the connection, so a
//! request body that does not arrive with the first read (8 KiB) is never read, and the lines of a
//! response stay in the write buffer until it is full.

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

use crate::behaviour::{Behaviour, ControlRequest, Mode, Passage};

/// Threads for handlers and streams; each silent call holds one.
const WORKERS_MAX: usize = 2_048;
const WORKER_IDLE: Duration = Duration::from_secs(5);
const BODY_MAX_BYTES: usize = 64 << 20;
/// Parts of a stream that may wait for a slow reader.
const STREAM_PARTS: usize = 2;
const PART_BYTES: usize = 64 << 10;
const CONTROL_PATH: &str = "/control";

type Part = io::Result<Bytes>;

/// One call to a stand-in.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method, such as `GET`.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Query, or empty.
    pub query: String,
    /// Body.
    pub body: Vec<u8>,
    /// Address of the caller.
    pub peer: SocketAddr,
}

impl Call {
    /// Value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    /// Number in a query parameter, or `default`.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        self.parameter(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    }

    /// Body as JSON, or the answer that refuses it.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Answer::error(400, &format!("malformed: {error}")))
    }
}

/// Answer of a stand-in.
pub enum Answer {
    /// JSON value.
    Json {
        /// Status code.
        status: u16,
        /// Body.
        body: Value,
    },
    /// Lines of a stream.
    Lines(Box<dyn LineSource>),
    /// Bytes of a stream.
    Bytes(Box<dyn Read + Send>),
    /// The connection ends without an answer.
    Nothing,
}

impl Answer {
    /// Status 200 with a JSON body.
    pub fn ok(body: impl Serialize) -> Self {
        match serde_json::to_value(body) {
            Ok(body) => Self::Json { status: 200, body },
            Err(error) => Self::error(500, &error.to_string()),
        }
    }

    /// Error with a reason.
    pub fn error(status: u16, reason: &str) -> Self {
        let body = json!({ "error": reason });
        Self::Json { status, body }
    }
}

/// Source of the lines of a stream.
pub trait LineSource: Send {
    /// Next line without its end; `None` at the end of the stream.
    fn next_line(&mut self) -> io::Result<Option<String>>;
}

/// What a stand-in does with calls.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call; may block.
    fn handle(&self, call: &Call) -> Answer;

    /// Told before the mode changes.
    fn before_mode(&self, _request: ControlRequest) {}
}

/// Starts a listener on its own threads and returns the bound address.
pub fn serve<H: Handler>(
    address: &str,
    behaviour: Arc<Behaviour>,
    handler: Arc<H>,
) -> io::Result<SocketAddr> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .max_blocking_threads(WORKERS_MAX)
        .thread_keep_alive(WORKER_IDLE)
        .enable_all()
        .build()?;
    let listener = runtime.block_on(TcpListener::bind(address))?;
    let bound = listener.local_addr()?;
    std::thread::spawn(move || run(&runtime, listener, behaviour, handler));
    Ok(bound)
}

fn run<H: Handler>(
    runtime: &Runtime,
    listener: TcpListener,
    behaviour: Arc<Behaviour>,
    handler: Arc<H>,
) {
    let listener = listener.tap_io(|stream| {
        // Without this, a line would wait for the acknowledgement of the one before it.
        if let Err(error) = stream.set_nodelay(true) {
            eprintln!("level=warning event=no_delay_failed reason=\"{error}\"");
        }
    });
    let service = Router::new()
        .fallback(move |peer: ConnectInfo<SocketAddr>, request: Request| {
            respond(
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

/// Prints the bound address for the launcher and keeps the process alive.
pub fn announce_and_wait(address: SocketAddr) -> ! {
    println!("listening address={address}");
    loop {
        std::thread::park();
    }
}

async fn respond<H: Handler>(
    behaviour: Arc<Behaviour>,
    handler: Arc<H>,
    peer: SocketAddr,
    request: Request,
) -> Response {
    let Some(call) = read_call(request, peer).await else {
        return to_response(Answer::error(400, "malformed"));
    };
    let answered = tokio::task::spawn_blocking(move || answer(&behaviour, handler.as_ref(), &call));
    to_response(answered.await.unwrap_or(Answer::Nothing))
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

fn answer<H: Handler>(behaviour: &Behaviour, handler: &H, call: &Call) -> Answer {
    if call.path == CONTROL_PATH {
        return control(behaviour, handler, call);
    }
    if call.path.starts_with(CONTROL_PATH) {
        return handler.handle(call);
    }
    let answer = match behaviour.enter(call.peer) {
        Passage::Proceed => handler.handle(call),
        Passage::Fail => Answer::error(500, "failing as told"),
        Passage::Drop => Answer::Nothing,
    };
    // The call may have been silenced while it was served.
    let is_dropped = behaviour.pass(call.peer) == Passage::Drop;
    if is_dropped || behaviour.mode() == Mode::LoseAnswer {
        return Answer::Nothing;
    }
    answer
}

fn control<H: Handler>(behaviour: &Behaviour, handler: &H, call: &Call) -> Answer {
    if call.method != "POST" {
        return Answer::ok(json!({ "mode": behaviour.mode() }));
    }
    match call.json::<ControlRequest>() {
        Ok(request) => {
            handler.before_mode(request);
            behaviour.set(request);
            Answer::ok(json!({ "mode": request.mode }))
        }
        Err(refusal) => refusal,
    }
}

fn to_response(answer: Answer) -> Response {
    let (status, content_type, body) = match answer {
        Answer::Json { status, body } => (status, "application/json", Body::from(body.to_string())),
        Answer::Lines(source) => (
            200,
            "application/x-ndjson",
            stream(|to| send_lines(source, to)),
        ),
        Answer::Bytes(reader) => {
            let body = stream(|to| send_bytes(reader, to));
            (200, "application/octet-stream", body)
        }
        Answer::Nothing => (200, "application/octet-stream", broken()),
    };
    let response = Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(body);
    response.unwrap_or_else(|error| Response::new(Body::from(error.to_string())))
}

/// Body that fails at once, so that the connection is closed before the head is flushed.
fn broken() -> Body {
    let error: Part = Err(io::ErrorKind::ConnectionAborted.into());
    Body::from_stream(tokio_stream::once(error))
}

/// Body whose parts a worker sends.
fn stream(send: impl FnOnce(mpsc::Sender<Part>) + Send + 'static) -> Body {
    let (sender, receiver) = mpsc::channel(STREAM_PARTS);
    tokio::task::spawn_blocking(move || send(sender));
    Body::from_stream(ReceiverStream::new(receiver))
}

fn send_lines(mut source: Box<dyn LineSource>, to: mpsc::Sender<Part>) {
    loop {
        let part = match source.next_line() {
            Ok(Some(line)) => Ok(Bytes::from(line + "\n")),
            Ok(None) => return,
            Err(error) => Err(error),
        };
        let is_last = part.is_err();
        if to.blocking_send(part).is_err() || is_last {
            return;
        }
    }
}

fn send_bytes(mut reader: Box<dyn Read + Send>, to: mpsc::Sender<Part>) {
    let mut buffer = vec![0; PART_BYTES];
    loop {
        let part = match reader.read(&mut buffer) {
            Ok(0) => return,
            Ok(size) => Ok(Bytes::copy_from_slice(&buffer[..size])),
            Err(error) => Err(error),
        };
        let is_last = part.is_err();
        if to.blocking_send(part).is_err() || is_last {
            return;
        }
    }
}
