//! Application calls.

use std::time::Duration;

use astra::{Request, Response};
use cuminlead_entry_core::{ApplicationCall, ApplicationRequest, CallerError, ErrorCode, Outcome};
use cuminlead_process::feed::FeedView;
use cuminlead_protocol::HttpRequest;
use cuminlead_types::{IdempotencyKey, ServiceName, UnixMs};
use slog::info;

use crate::driver::{CallDriver, Output};
use crate::http::answer::{self, refusal};
use crate::http::handler::{Caller, HttpContext, denied, header};

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the Unix time in milliseconds at which the caller made the key.
const KEY_ISSUED_HEADER: &str = "idempotency-issued-at-ms";

/// Longest wait for the answer; calls end on their own before.
const ANSWER_WAIT: Duration = Duration::from_secs(120);

/// Answers an application call.
pub fn answer(
    context: &HttpContext,
    view: &FeedView,
    caller: Caller,
    service: ServiceName,
    path: String,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, CallerError> {
    let grant = view
        .lists
        .check_service(&caller.customer, &service)
        .map_err(denied)?;
    let key = key_of(request)?;
    context.check_rate(&caller.customer, grant.plan)?;
    let mut span = context
        .driver
        .tracing
        .hop("application_call", &caller.traceparent);
    span.attribute("cuminlead.request", caller.request.to_string());
    let method = request.method().as_str().to_string();
    let application = ApplicationRequest {
        id: caller.request,
        entry: context.entry.clone(),
        customer: caller.customer.clone(),
        servers: grant.allowance.servers.clone(),
        is_idempotent: view.lists.is_idempotent(&service, &method, &path),
        service,
        key,
        key_issued_at_ms: issued_at(request)?,
        http: HttpRequest {
            method,
            path,
            content_type: header(request, "content-type")
                .unwrap_or_default()
                .to_string(),
            body,
        },
        lists_revision: view.lists.revision,
        hosts_revision: view.hosts.revision,
        traceparent: span.traceparent().to_string(),
    };
    let call = ApplicationCall::new(context.calls.clone(), application);
    let mut driver = CallDriver::start(context.driver.clone(), Box::new(call));
    let output = driver.next_output(ANSWER_WAIT);
    let servers = driver.servers().to_vec();
    driver.close(false);
    match output {
        Some(Output::Response(http)) => {
            context.driver.metrics.count_application();
            info!(context.log, "request answered"; "request" => %caller.request,
                "customer" => %caller.customer, "servers" => answer::server_names(&servers),
                "status" => http.status);
            let (status, content_type) = (http.status, http.content_type);
            Ok(answer::passed_on(
                caller.request,
                &servers,
                status,
                &content_type,
                http.body,
            ))
        }
        Some(Output::Error(error)) => Err(error),
        Some(Output::Delivery(_)) | None => Err(CallerError {
            code: ErrorCode::OutcomeUnknown,
            outcome: Outcome::Unknown,
            message: "no answer in time".to_string(),
        }),
    }
}

fn key_of(request: &Request) -> Result<Option<IdempotencyKey>, CallerError> {
    let key = header(request, KEY_HEADER).map(str::parse).transpose();
    key.map_err(|_| {
        refusal(
            ErrorCode::Malformed,
            "the header Idempotency-Key is not valid",
        )
    })
}

fn issued_at(request: &Request) -> Result<Option<UnixMs>, CallerError> {
    let time = header(request, KEY_ISSUED_HEADER)
        .map(str::parse)
        .transpose();
    time.map_err(|_| {
        refusal(
            ErrorCode::Malformed,
            "the header Idempotency-Issued-At-Ms is not a number",
        )
    })
}
