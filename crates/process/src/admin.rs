//! The HTTP address for metrics, health and status.
//!
//! It is read-only: operators change the system only by editing the two lists.

use std::net::SocketAddr;
use std::panic;
use std::sync::Arc;
use std::thread;

use astra::{Body, Request, Response, ResponseBuilder, Server};
use error_stack::{Report, ResultExt};

use crate::error::StartError;

/// Admin requests are rare and short.
const ADMIN_WORKERS: usize = 4;

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What the admin address reports.
pub trait AdminSource: Send + Sync + 'static {
    /// All metrics as text.
    fn metrics(&self) -> String;

    /// Whether the balancer may send requests here.
    fn is_ready(&self) -> bool;

    /// State as JSON.
    fn status(&self) -> String;
}

/// Serves the admin address on a thread of its own; returns the bound address.
pub fn serve(
    address: SocketAddr,
    source: Arc<dyn AdminSource>,
) -> Result<SocketAddr, Report<StartError>> {
    let server = bind(address)?.http1_only().max_workers(ADMIN_WORKERS);
    let bound = server.local_addr().change_context(StartError::Bind)?;
    thread::Builder::new()
        .name("admin".to_string())
        .spawn(move || server.serve(move |request: Request, _| answer(&*source, &request)))
        .change_context(StartError::Thread)?;
    Ok(bound)
}

/// Binds an astra server; its own `bind` panics when the address is taken.
pub fn bind(address: SocketAddr) -> Result<Server, Report<StartError>> {
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    let bound = panic::catch_unwind(|| Server::bind(address));
    panic::set_hook(hook);
    bound.map_err(|_| Report::new(StartError::Bind).attach(format!("address={address}")))
}

fn answer(source: &dyn AdminSource, request: &Request) -> Response {
    match request.uri().path() {
        "/metrics" => respond(200, OPEN_METRICS, source.metrics()),
        "/health" => respond(200, TEXT, "ok\n".to_string()),
        "/ready" if source.is_ready() => respond(200, TEXT, "ready\n".to_string()),
        "/ready" => respond(503, TEXT, "not ready\n".to_string()),
        "/status" => respond(200, JSON, source.status()),
        _ => respond(404, TEXT, "not found\n".to_string()),
    }
}

fn respond(status: u16, content_type: &str, body: String) -> Response {
    ResponseBuilder::new()
        .status(status)
        .header("content-type", content_type)
        .body(Body::new(body))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}
