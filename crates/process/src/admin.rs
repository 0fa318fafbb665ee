//! HTTP endpoint for metrics, health and status.
//!
//! It is read-only: operators change the system only by editing the two lists.
//!
//! Untrusted clients may connect to it, so heads, connections, unread pages and the time for each
//! of them are bounded. A new connection always finds a place, so that the balancer's readiness
//! checks are answered while such clients are connected.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use cuminlead_telemetry::Metrics;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::metrics::counter::Counter;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::error::StartError;

const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";
const JSON_CONTENT_TYPE: &str = "application/json";
const OPEN_METRICS_CONTENT_TYPE: &str =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Largest head of a request, as at the callers' port.
const HEAD_MAX_BYTES: usize = 16 * 1024;
/// Longest time for the next head, the wait for it included. Metrics are read every 15 s by custom.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time from a request until its connection has the next one or ends. A page that is not
/// read ends with it.
const REQUEST_INTERVAL_MAX: Duration = Duration::from_secs(30);
/// Pages of metrics or status in memory at once; a page of metrics may have some megabytes.
const PAGES_MAX_COUNT: usize = 4;
/// Pause after a failed accept, which means that descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Data that the admin endpoint reports. Called from the endpoint's own thread.
pub trait AdminSource: Send + Sync + 'static {
    /// All metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;

    /// Whether the load balancer may send requests to this process.
    fn is_ready(&self) -> bool;

    /// Process state as JSON.
    fn status(&self) -> String;
}

/// Bounds of the admin endpoint.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Open connections.
    pub connections_max_count: usize,
    /// Counts connections that were closed for a new one.
    pub connections_closed: Counter,
}

impl AdminLimits {
    /// Registers the metric. `connections_max_count` applies unless a tenth of the descriptors is
    /// less.
    pub fn new(
        metrics: &mut Metrics,
        connections_max_count: u32,
        descriptors_max_count: u32,
    ) -> Self {
        let count = connections_max_count.min(descriptors_max_count / 10).max(2);
        Self {
            connections_max_count: usize::try_from(count).unwrap_or(usize::MAX),
            connections_closed: metrics.counter(
                "admin_connections_closed",
                "Connections to the admin address closed for newer ones",
            ),
        }
    }
}

/// Serves the admin endpoint on a dedicated thread, so that it responds while the traffic threads
/// are busy. Returns the bound address.
pub fn serve(
    address: SocketAddr,
    source: Arc<dyn AdminSource>,
    limits: AdminLimits,
) -> Result<SocketAddr, Report<StartError>> {
    let listener = TcpListener::bind(address)
        .change_context(StartError::Bind)
        .attach_with(|| format!("address={address}"))?;
    let bound_address = listener.local_addr().change_context(StartError::Bind)?;
    listener
        .set_nonblocking(true)
        .change_context(StartError::Bind)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Thread)?;
    let listener = {
        let _context = runtime.enter();
        tokio::net::TcpListener::from_std(listener).change_context(StartError::Bind)?
    };
    thread::Builder::new()
        .name("admin".to_string())
        .spawn(move || {
            let endpoint = Rc::new(Endpoint {
                source,
                limits,
                connections: RefCell::default(),
                pages: Arc::default(),
            });
            LocalSet::new().block_on(&runtime, accept(endpoint, listener));
        })
        .change_context(StartError::Thread)?;
    Ok(bound_address)
}

struct Endpoint {
    source: Arc<dyn AdminSource>,
    limits: AdminLimits,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// Pages of metrics or status in memory; one more reference than there are pages.
    pages: Arc<()>,
}

struct Connection {
    /// Time of the last complete head, or of the start.
    active_at: Cell<Instant>,
    closing: Notify,
}

async fn accept(endpoint: Rc<Endpoint>, listener: tokio::net::TcpListener) {
    let mut next_id = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        endpoint.make_room();
        let connection = Rc::new(Connection {
            active_at: Cell::new(Instant::now()),
            closing: Notify::new(),
        });
        endpoint
            .connections
            .borrow_mut()
            .insert(next_id, Rc::clone(&connection));
        let endpoint = Rc::clone(&endpoint);
        tokio::task::spawn_local(async move {
            serve_connection(&endpoint, &connection, stream).await;
            endpoint.connections.borrow_mut().remove(&next_id);
        });
        next_id += 1;
    }
}

impl Endpoint {
    /// Closes the connection that has been without a request for the longest time if no more may be
    /// open.
    fn make_room(&self) {
        let mut connections = self.connections.borrow_mut();
        if connections.len() < self.limits.connections_max_count {
            return;
        }
        let oldest = connections
            .iter()
            .min_by_key(|(_, connection)| connection.active_at.get());
        let oldest = oldest.map(|(id, _)| *id);
        if let Some(connection) = oldest.and_then(|id| connections.remove(&id)) {
            connection.closing.notify_one();
            self.limits.connections_closed.inc();
        }
    }

    fn respond(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/health" => respond(200, TEXT_CONTENT_TYPE, "ok\n"),
            "/ready" if self.source.is_ready() => respond(200, TEXT_CONTENT_TYPE, "ready\n"),
            "/ready" => respond(503, TEXT_CONTENT_TYPE, "not ready\n"),
            "/metrics" | "/status" if Arc::strong_count(&self.pages) > PAGES_MAX_COUNT => {
                respond(503, TEXT_CONTENT_TYPE, "too many pages are unread\n")
            }
            "/metrics" => self.page(OPEN_METRICS_CONTENT_TYPE, self.source.metrics()),
            "/status" => self.page(JSON_CONTENT_TYPE, self.source.status()),
            _ => respond(404, TEXT_CONTENT_TYPE, "not found\n"),
        }
    }

    /// Response that counts as a page in memory until its bytes are sent.
    fn page(&self, content_type: &'static str, text: String) -> Response<Full<Bytes>> {
        let page = Page {
            text,
            _count: Arc::clone(&self.pages),
        };
        respond(200, content_type, Bytes::from_owner(page))
    }
}

struct Page {
    text: String,
    _count: Arc<()>,
}

impl AsRef<[u8]> for Page {
    fn as_ref(&self) -> &[u8] {
        self.text.as_bytes()
    }
}

async fn serve_connection(endpoint: &Rc<Endpoint>, connection: &Rc<Connection>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        connection.active_at.set(Instant::now());
        let response = endpoint.respond(request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A failed connection concerns its client only.
        _ = serving => {}
        () = connection.closing.notified() => {}
        () = inactive(connection) => {}
    }
}

/// Completes once a connection has been without a request for too long.
async fn inactive(connection: &Connection) {
    loop {
        let deadline = connection.active_at.get() + REQUEST_INTERVAL_MAX;
        if Instant::now() >= deadline {
            return;
        }
        sleep_until(deadline).await;
    }
}

fn respond(
    status: u16,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Full::new(body.into()))
        .unwrap_or_default()
}
