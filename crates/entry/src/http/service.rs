//! Application calls: requests that are relayed to plain services.
//!
//! A traffic thread runs the call while the request's task waits for its result. The response is
//! returned in one piece, not streamed.

use std::sync::Arc;
use std::time::Duration;

use axum::http::request::Parts;
use axum::response::Response;
use cuminlead_entry_core::{
    ApplicationCall, ApplicationRequest, CallOutcome, CallerError, ErrorCode, MonitoredCall,
};
use cuminlead_process::feed::FeedView;
use cuminlead_protocol::HttpRequest;
use cuminlead_types::{BackendServerId, IdempotencyKey, ServiceName, UnixMs};
use slog::info;
use tokio::sync::oneshot;

use crate::driver::{CallDriver, Output};
use crate::http::handler::{Caller, HttpContext, OpenRequest, denial_error, header};
use crate::http::model::keep_request_open;
use crate::http::response::{self, refusal};

/// Request header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Request header with the time at which the caller created the key, in Unix milliseconds.
const KEY_ISSUED_HEADER: &str = "idempotency-issued-at-ms";

/// Interval at which a traffic thread checks whether its caller is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Service and path that a request addresses.
#[derive(Clone, Debug)]
pub struct ServiceTarget {
    /// Name of the service in the lists.
    pub service: ServiceName,
    /// Path and query at the service.
    pub path: String,
}

/// Final output of a call and the servers that the call used.
struct CallResult {
    output: Output,
    servers: Vec<BackendServerId>,
}

/// Runs an application call and returns its response.
pub async fn handle(
    context: &HttpContext,
    view: &Arc<FeedView>,
    caller: Caller,
    target: ServiceTarget,
    head: &Parts,
    body: &[u8],
    open: OpenRequest,
) -> Result<Response, CallerError> {
    let grant = view
        .lists
        .check_service(&caller.customer, &target.service)
        .map_err(denial_error)?;
    let key = key_of(head)?;
    let key_issued_at_ms = issued_at(head)?;
    context.check_rate(&caller.customer, grant.plan).await?;
    let mut span = context
        .driver
        .tracing
        .hop("application_call", &caller.traceparent);
    span.attribute("cuminlead.request", caller.request.to_string());
    let method = head.method.as_str().to_string();
    let application = ApplicationRequest {
        id: caller.request,
        entry: context.entry.clone(),
        customer: caller.customer.clone(),
        servers: grant.allowance.servers.clone(),
        is_idempotent: view
            .lists
            .is_idempotent(&target.service, &method, &target.path),
        service: target.service,
        key,
        key_issued_at_ms,
        http: HttpRequest {
            method,
            path: target.path,
            content_type: header(head, "content-type").unwrap_or_default().to_string(),
            body: body.to_vec(),
        },
        lists_revision: view.lists.revision,
        hosts_revision: view.hosts.revision,
        traceparent: span.traceparent().to_string(),
    };
    let request_id = application.id;
    let call = ApplicationCall::new(context.calls.clone(), application);
    let call = MonitoredCall::new(request_id, Box::new(call));
    let driver = CallDriver::new(context.driver.clone(), Box::new(call));
    let (sender, result) = oneshot::channel();
    tokio::task::spawn_blocking(move || run_call(driver, sender));
    let result = result.await.map_err(|_| outcome_unknown())?;
    drop(span);
    respond(context, &caller, result, open)
}

/// Work that an application call does in its traffic thread.
fn run_call(mut driver: CallDriver, sender: oneshot::Sender<CallResult>) {
    driver.start();
    loop {
        let output = driver.next_output(CALLER_CHECK_INTERVAL);
        if sender.is_closed() {
            return driver.close(true);
        }
        if let Some(output) = output {
            let servers = driver.servers().to_vec();
            // Fails only when the caller has disconnected.
            let _ = sender.send(CallResult { output, servers });
            return driver.close(false);
        }
    }
}

fn respond(
    context: &HttpContext,
    caller: &Caller,
    result: CallResult,
    open: OpenRequest,
) -> Result<Response, CallerError> {
    match result.output {
        Output::Response(http) => {
            context.driver.metrics.count_application();
            info!(context.log, "request answered"; "request" => %caller.request,
                "customer" => %caller.customer,
                "servers" => response::server_names(&result.servers), "status" => http.status);
            let response = response::relayed(caller.request, &result.servers, http);
            Ok(response.map(|body| keep_request_open(body, open)))
        }
        Output::Error(error) => Err(error),
        Output::Delivery(_) => Err(outcome_unknown()),
    }
}

fn outcome_unknown() -> CallerError {
    CallerError {
        code: ErrorCode::OutcomeUnknown,
        outcome: CallOutcome::Unknown,
        message: "the entry failed".to_string(),
    }
}

fn key_of(head: &Parts) -> Result<Option<IdempotencyKey>, CallerError> {
    let key = header(head, KEY_HEADER).map(str::parse).transpose();
    key.map_err(|_| {
        refusal(
            ErrorCode::Malformed,
            "the header Idempotency-Key is not valid",
        )
    })
}

fn issued_at(head: &Parts) -> Result<Option<UnixMs>, CallerError> {
    let time = header(head, KEY_ISSUED_HEADER).map(str::parse).transpose();
    time.map_err(|_| {
        refusal(
            ErrorCode::Malformed,
            "the header Idempotency-Issued-At-Ms is not a number",
        )
    })
}
