//! HTTP responses: complete, streamed, errors.

use axum::body::Body;
use axum::response::Response;
use cuminlead_entry_core::{CallOutcome, CallerError, ErrorCode};
use cuminlead_protocol::HttpResponse;
use cuminlead_types::{BackendServerId, RequestId};
use serde_json::json;

/// Response header with the request id, as in logs and traces.
pub const REQUEST_HEADER: &str = "x-cuminlead-request";

/// Response header with the servers that the request used, separated by commas.
pub const SERVERS_HEADER: &str = "x-cuminlead-servers";

const JSON: &str = "application/json";
const EVENT_STREAM: &str = "text/event-stream";

/// Error of a request that was refused before any message was sent to a server.
pub fn refusal(code: ErrorCode, message: impl Into<String>) -> CallerError {
    CallerError {
        code,
        outcome: CallOutcome::NotRun,
        message: message.into(),
    }
}

/// JSON body of an error.
pub fn error_json(request: RequestId, error: &CallerError) -> String {
    json!({
        "error": {
            "code": error.code.to_string(),
            "message": error.message,
            "outcome": error.outcome.to_string(),
            "request_id": request.to_string(),
        }
    })
    .to_string()
}

/// Error response, with the HTTP status of its code.
pub fn error(request: RequestId, error: &CallerError) -> Response {
    let body = error_json(request, error);
    build(
        error.code.http_status(),
        JSON,
        request,
        &[],
        Body::from(body),
    )
}

/// Response with a complete JSON body.
pub fn complete(request: RequestId, servers: &[BackendServerId], body: String) -> Response {
    build(200, JSON, request, servers, Body::from(body))
}

/// Response with a stream of server-sent events.
pub fn stream(request: RequestId, body: Body) -> Response {
    build(200, EVENT_STREAM, request, &[], body)
}

/// Relays the response of a service. If its status or content type is invalid, the caller gets
/// status 502.
pub fn relayed(request: RequestId, servers: &[BackendServerId], http: HttpResponse) -> Response {
    build(
        http.status,
        &http.content_type,
        request,
        servers,
        Body::from(http.body),
    )
}

/// Value of [`SERVERS_HEADER`].
pub fn server_names(servers: &[BackendServerId]) -> String {
    let names: Vec<_> = servers.iter().map(BackendServerId::as_str).collect();
    names.join(",")
}

fn build(
    status: u16,
    content_type: &str,
    request: RequestId,
    servers: &[BackendServerId],
    body: Body,
) -> Response {
    let mut response = Response::builder()
        .status(status)
        .header(REQUEST_HEADER, request.to_string())
        .header("cache-control", "no-store");
    if !content_type.is_empty() {
        response = response.header("content-type", content_type);
    }
    if !servers.is_empty() {
        response = response.header(SERVERS_HEADER, server_names(servers));
    }
    // Fails only if the status or content type of a service is invalid.
    response.body(body).unwrap_or_else(|_| bad_gateway())
}

fn bad_gateway() -> Response {
    Response::builder()
        .status(502)
        .body(Body::empty())
        .unwrap_or_default()
}
