//! Application calls.

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
use crate::http::answer::{self, refusal};
use crate::http::handler::{Caller, HttpContext, OpenRequest, denied, header};
use crate::http::model::hold_open;

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the Unix time in milliseconds at which the caller made the key.
const KEY_ISSUED_HEADER: &str = "idempotency-issued-at-ms";

/// Interval at which a traffic thread looks whether its caller is still there.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Service and path that a call came to.
#[derive(Clone, Debug)]
pub struct ServiceTarget {
    /// Service.
    pub service: ServiceName,
    /// Path at the service, with query.
    pub path: String,
}

/// End of a call and the servers that worked on it.
struct Ending {
    output: Output,
    servers: Vec<BackendServerId>,
}

/// Answers an application call.
pub async fn answer(
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
        .map_err(denied)?;
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
    let (sender, ending) = oneshot::channel();
    tokio::task::spawn_blocking(move || drive(driver, sender));
    let ending = ending.await.map_err(|_| unknown())?;
    drop(span);
    respond(context, &caller, ending, open)
}

/// Work of the traffic thread of an application call.
fn drive(mut driver: CallDriver, sender: oneshot::Sender<Ending>) {
    driver.start();
    loop {
        let output = driver.next_output(CALLER_CHECK_INTERVAL);
        if sender.is_closed() {
            return driver.close(true);
        }
        if let Some(output) = output {
            let servers = driver.servers().to_vec();
            // A caller that is gone needs no answer.
            let _ = sender.send(Ending { output, servers });
            return driver.close(false);
        }
    }
}

fn respond(
    context: &HttpContext,
    caller: &Caller,
    ending: Ending,
    open: OpenRequest,
) -> Result<Response, CallerError> {
    match ending.output {
        Output::Response(http) => {
            context.driver.metrics.count_application();
            info!(context.log, "request answered"; "request" => %caller.request,
                "customer" => %caller.customer,
                "servers" => answer::server_names(&ending.servers), "status" => http.status);
            let response = answer::passed_on(caller.request, &ending.servers, http);
            Ok(response.map(|body| hold_open(body, open)))
        }
        Output::Error(error) => Err(error),
        Output::Delivery(_) => Err(unknown()),
    }
}

fn unknown() -> CallerError {
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
