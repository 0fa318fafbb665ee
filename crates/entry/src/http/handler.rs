//! Authentication and other checks before a call starts.
//!
//! The checks run in this order: the process is not shutting down and has capacity, the path is
//! known, the customer key is valid, the body is within its size limit and well formed, the plan
//! allows the request, the customer is within its rate. The first check that fails ends the request
//! with the outcome `not_run`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use axum::body::{Body, Bytes as BodyBytes};
use axum::http::request::Parts;
use axum::response::Response;
use cuminlead_entry_core::{CallConfig, CallerError, ErrorCode};
use cuminlead_lists::{Denial, Plan};
use cuminlead_process::feed::FeedView;
use cuminlead_types::{Bytes, CustomerId, EntryId, RequestId, ServiceName};
use http_body_util::{BodyExt, Limited};
use slog::{Logger, info};
use tokio::sync::oneshot;

use crate::controller::{ControlEvent, EntryFlags};
use crate::driver::DriverContext;
use crate::http::completion::CompletionApi;
use crate::http::response::{self, refusal};
use crate::http::service::ServiceTarget;
use crate::http::{model, service};

/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Upper bound of the bytes that are read from the body of a refused request.
const DISCARD_MAX_BYTES: usize = 16 * 1024 * 1024;

const SERVICES_PREFIX: &str = "/v1/services/";

/// State that the request handlers of an entry share.
#[derive(Clone, Debug)]
pub struct HttpContext {
    /// Name of this entry.
    pub entry: EntryId,
    /// Resources of the drivers.
    pub driver: DriverContext,
    /// Lists, customer keys and hosts in effect.
    pub view: Arc<ArcSwap<FeedView>>,
    /// State shared with the control thread.
    pub flags: Arc<EntryFlags>,
    /// Timeouts and retry limits of calls.
    pub calls: CallConfig,
    /// Size limit of a request body.
    pub body_max: Bytes,
    /// Upper bound of open requests.
    pub open_max_count: u64,
    /// Logger of this process; not bound to a request.
    pub log: Logger,
}

/// An authenticated request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Request id, assigned by this entry.
    pub request: RequestId,
    /// Customer that the key belongs to.
    pub customer: CustomerId,
    /// W3C trace context that the caller sent, or empty.
    pub traceparent: String,
}

/// Guard that counts a request as open until it is dropped, which is after the response is sent.
#[derive(Debug)]
pub struct OpenRequest(Arc<EntryFlags>);

impl OpenRequest {
    fn new(flags: &Arc<EntryFlags>) -> Self {
        flags.open_requests.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(flags))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

enum Endpoint {
    Model(CompletionApi),
    Service(ServiceName, String),
}

impl HttpContext {
    /// Serves a request. No input from the caller makes it panic.
    pub async fn serve(self, request: axum::extract::Request) -> Response {
        let id = RequestId(rand::random());
        // Counted before the checks. Otherwise, the control thread could end the process between
        // the shutdown check of this request and its counting.
        let open = OpenRequest::new(&self.flags);
        let (head, mut body) = request.into_parts();
        match self.handle(id, &head, &mut body, open).await {
            Ok(response) => response,
            Err(error) => {
                discard_body(&head, body).await;
                self.refuse(id, &error)
            }
        }
    }

    fn refuse(&self, id: RequestId, error: &CallerError) -> Response {
        info!(self.log, "request refused"; "request" => %id, "code" => %error.code,
            "outcome" => %error.outcome, "reason" => &error.message);
        self.driver.metrics.count_error(error.code);
        response::error(id, error)
    }

    async fn handle(
        &self,
        id: RequestId,
        head: &Parts,
        body: &mut Body,
        open: OpenRequest,
    ) -> Result<Response, CallerError> {
        self.check_capacity()?;
        let endpoint = endpoint_of(head)?;
        let view = self.view.load_full();
        if !view.is_ready {
            return Err(refusal(ErrorCode::NoServer, "this entry has no lists yet"));
        }
        let caller = Caller {
            request: id,
            customer: authenticate(&view, head)?,
            traceparent: header(head, "traceparent").unwrap_or_default().to_string(),
        };
        let body = read_body(head, body, self.body_max).await?;
        match endpoint {
            Endpoint::Model(api) => model::handle(self, &view, caller, api, &body, open).await,
            Endpoint::Service(name, path) => {
                let target = ServiceTarget {
                    service: name,
                    path,
                };
                service::handle(self, &view, caller, target, head, &body, open).await
            }
        }
    }

    fn check_capacity(&self) -> Result<(), CallerError> {
        if self.flags.is_refusing.load(Ordering::SeqCst) {
            return Err(refusal(ErrorCode::Stopping, "this entry is stopping"));
        }
        if self.flags.open_requests.load(Ordering::SeqCst) > self.open_max_count {
            return Err(refusal(
                ErrorCode::Overloaded,
                "this entry serves too many requests",
            ));
        }
        Ok(())
    }

    /// Refuses a request that exceeds the customer's rate.
    pub async fn check_rate(&self, customer: &CustomerId, plan: &Plan) -> Result<(), CallerError> {
        let (reply, admitted) = oneshot::channel();
        let event = ControlEvent::Admit {
            customer: customer.clone(),
            rate: plan.rate,
            burst_requests: plan.burst_requests,
            reply,
        };
        let is_sent = self.driver.control.send(event).is_ok();
        if is_sent && admitted.await.unwrap_or(false) {
            Ok(())
        } else {
            Err(refusal(
                ErrorCode::RateLimited,
                "the customer is over the rate of its plan",
            ))
        }
    }
}

/// Converts a denial by the lists to the error for the caller.
pub fn denial_error(denial: Denial) -> CallerError {
    let (code, message) = match denial {
        Denial::UnknownCustomer => (ErrorCode::Unauthenticated, "unknown customer"),
        Denial::UnknownModel => (ErrorCode::NotFound, "no such model"),
        Denial::UnknownService => (ErrorCode::NotFound, "no such service"),
        Denial::ModelOutsidePlan => (
            ErrorCode::OutsidePlan,
            "the customer's plan does not allow this model, adapter or version",
        ),
        Denial::ServiceOutsidePlan => (
            ErrorCode::OutsidePlan,
            "the customer's plan does not allow this service",
        ),
    };
    refusal(code, message)
}

/// Value of a header; `None` if it is absent or not visible ASCII.
pub fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn endpoint_of(head: &Parts) -> Result<Endpoint, CallerError> {
    let path = head.uri.path();
    let api = match path {
        "/v1/chat/completions" => Some(CompletionApi::Chat),
        "/v1/completions" => Some(CompletionApi::Text),
        _ => None,
    };
    if let Some(api) = api {
        if head.method != "POST" {
            return Err(refusal(ErrorCode::NotFound, "model calls use POST"));
        }
        return Ok(Endpoint::Model(api));
    }
    let not_found = || refusal(ErrorCode::NotFound, "no such address");
    let rest = path.strip_prefix(SERVICES_PREFIX).ok_or_else(not_found)?;
    let (name, service_path) = rest.split_once('/').ok_or_else(not_found)?;
    let name = name.parse().map_err(|_| not_found())?;
    let query = head
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok(Endpoint::Service(name, format!("/{service_path}{query}")))
}

fn authenticate(view: &FeedView, head: &Parts) -> Result<CustomerId, CallerError> {
    let key = header(head, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| {
        refusal(
            ErrorCode::Unauthenticated,
            "the header Authorization has no Bearer key",
        )
    })?;
    let customer = view.keys.find(key.trim().as_bytes());
    customer
        .cloned()
        .ok_or_else(|| refusal(ErrorCode::Unauthenticated, "wrong customer key"))
}

async fn read_body(
    head: &Parts,
    body: &mut Body,
    body_max: Bytes,
) -> Result<BodyBytes, CallerError> {
    let too_large = || {
        refusal(
            ErrorCode::BodyTooLarge,
            format!("the body is over the limit of {body_max} bytes"),
        )
    };
    let declared: Option<u64> =
        header(head, "content-length").and_then(|length| length.parse().ok());
    if declared.is_some_and(|length| length > body_max.0) {
        return Err(too_large());
    }
    let limit = usize::try_from(body_max.0).unwrap_or(usize::MAX);
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(refusal(ErrorCode::Malformed, "the body ended early")),
        Err(_) => Err(refusal(
            ErrorCode::Malformed,
            "the body took too long to arrive",
        )),
    }
}

/// Reads and drops the rest of a refused body. Closing a connection with unread data resets it, and
/// the caller then sees a broken pipe instead of the response.
async fn discard_body(head: &Parts, mut body: Body) {
    // The caller waits for `100 Continue`, which the first read of the body would send.
    if head.headers.contains_key("expect") {
        return;
    }
    let discarding = async {
        let mut remaining = DISCARD_MAX_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let size = frame.data_ref().map_or(0, BodyBytes::len);
            let Some(rest) = remaining.checked_sub(size) else {
                return;
            };
            remaining = rest;
        }
    };
    // A caller that sends more slowly does not get the response.
    let _ = tokio::time::timeout(BODY_TIMEOUT, discarding).await;
}
