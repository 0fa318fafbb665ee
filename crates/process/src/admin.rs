//! HTTP endpoint for metrics, health and status.
//!
//! It is read-only: operators change the system only by editing the two lists.
//!
//! It uses axum because astra 0.4 misses a request that arrives while its connection is being
//! accepted; about 3 in 100 connections never got a response.

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

const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";
const JSON_CONTENT_TYPE: &str = "application/json";
const OPEN_METRICS_CONTENT_TYPE: &str =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Data that the admin endpoint reports. Called from the endpoint's own thread.
pub trait AdminSource: Send + Sync + 'static {
    /// All metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;

    /// Whether the load balancer may send requests to this process.
    fn is_ready(&self) -> bool;

    /// Process state as JSON.
    fn status(&self) -> String;
}

/// Serves the admin endpoint on a dedicated thread, so that it responds while the traffic threads
/// are busy. Returns the bound address.
pub fn serve(
    address: SocketAddr,
    source: Arc<dyn AdminSource>,
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
    let router = Router::new().fallback(move |request: Request| {
        let source = Arc::clone(&source);
        async move { route_request(&*source, &request) }
    });
    let server = axum::serve(listener, router).into_future();
    thread::Builder::new()
        .name("admin".to_string())
        .spawn(move || runtime.block_on(server))
        .change_context(StartError::Thread)?;
    Ok(bound_address)
}

fn route_request(source: &dyn AdminSource, request: &Request) -> Response {
    match request.uri().path() {
        "/metrics" => respond(200, OPEN_METRICS_CONTENT_TYPE, source.metrics()),
        "/health" => respond(200, TEXT_CONTENT_TYPE, "ok\n".to_string()),
        "/ready" if source.is_ready() => respond(200, TEXT_CONTENT_TYPE, "ready\n".to_string()),
        "/ready" => respond(503, TEXT_CONTENT_TYPE, "not ready\n".to_string()),
        "/status" => respond(200, JSON_CONTENT_TYPE, source.status()),
        _ => respond(404, TEXT_CONTENT_TYPE, "not found\n".to_string()),
    }
}

fn respond(status: u16, content_type: &str, body: String) -> Response {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Body::from(body))
        .unwrap_or_default()
}
