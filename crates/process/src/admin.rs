//! The HTTP address for metrics, health and status.
//!
//! It is read-only: operators change the system only by editing the two lists.
//!
//! astra 0.4 does not serve here: it does not notice a request that arrives while the connection is
//! accepted, and about 3 in 100 connections were never answered.

use std::future::IntoFuture;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::response::Response;
use error_stack::{Report, ResultExt};

use crate::error::StartError;

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

/// Serves the admin address on a thread of its own, so that it answers while the traffic threads
/// are busy; returns the bound address.
pub fn serve(
    address: SocketAddr,
    source: Arc<dyn AdminSource>,
) -> Result<SocketAddr, Report<StartError>> {
    let listener = TcpListener::bind(address)
        .change_context(StartError::Bind)
        .attach_with(|| format!("address={address}"))?;
    let bound = listener.local_addr().change_context(StartError::Bind)?;
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
    let router = Router::new().fallback(move |request: Request| {
        let source = Arc::clone(&source);
        async move { answer(&*source, &request) }
    });
    let serving = axum::serve(listener, router).into_future();
    thread::Builder::new()
        .name("admin".to_string())
        .spawn(move || runtime.block_on(serving))
        .change_context(StartError::Thread)?;
    Ok(bound)
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
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Body::from(body))
        .unwrap_or_default()
}
