//! Checks that come before any work.
//!
//! Order of the checks: the process is not stopping, the address is known, the customer key is
//! right, the body is within its limit and well formed, the plan allows the request, the customer
//! is within the rate. The first that fails ends the request with `not_run`.

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
use crate::http::answer::{self, refusal};
use crate::http::chat::Shape;
use crate::http::service::ServiceTarget;
use crate::http::{model, service};

/// Longest time that a caller may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Most bytes of a refused body that are read and dropped.
const DISCARD_MAX_BYTES: usize = 16 * 1024 * 1024;

const SERVICES_PREFIX: &str = "/v1/services/";

/// What the traffic threads of an entry share.
#[derive(Clone, Debug)]
pub struct HttpContext {
    /// This entry.
    pub entry: EntryId,
    /// What drivers share.
    pub driver: DriverContext,
    /// Lists, keys and hosts.
    pub view: Arc<ArcSwap<FeedView>>,
    /// State shared with the control thread.
    pub flags: Arc<EntryFlags>,
    /// Limits of calls.
    pub calls: CallConfig,
    /// Largest body.
    pub body_max: Bytes,
    /// Most requests that are served at once.
    pub open_max_count: u64,
    /// Logger.
    pub log: Logger,
}

/// A request past authentication.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Request.
    pub request: RequestId,
    /// Customer.
    pub customer: CustomerId,
    /// W3C trace context, or empty.
    pub traceparent: String,
}

/// Counts a request as open until its answer is done.
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

enum Address {
    Model(Shape),
    Service(ServiceName, String),
}

impl HttpContext {
    /// Answers a request; never panics on input.
    pub async fn serve(self, request: axum::extract::Request) -> Response {
        let id = RequestId(rand::random());
        // Counted before the checks, so that a stopping entry cannot miss a request.
        let open = OpenRequest::new(&self.flags);
        let (head, mut body) = request.into_parts();
        match self.answer(id, &head, &mut body, open).await {
            Ok(response) => response,
            Err(error) => {
                discard(&head, body).await;
                self.refuse(id, &error)
            }
        }
    }

    fn refuse(&self, id: RequestId, error: &CallerError) -> Response {
        info!(self.log, "request refused"; "request" => %id, "code" => %error.code,
            "outcome" => %error.outcome, "reason" => &error.message);
        self.driver.metrics.count_error(error.code);
        answer::error(id, error)
    }

    async fn answer(
        &self,
        id: RequestId,
        head: &Parts,
        body: &mut Body,
        open: OpenRequest,
    ) -> Result<Response, CallerError> {
        self.check_capacity()?;
        let address = address_of(head)?;
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
        match address {
            Address::Model(shape) => model::answer(self, &view, caller, shape, &body, open).await,
            Address::Service(name, path) => {
                let target = ServiceTarget {
                    service: name,
                    path,
                };
                service::answer(self, &view, caller, target, head, &body, open).await
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

    /// Refuses a request over the rate of its plan.
    pub async fn check_rate(&self, customer: &CustomerId, plan: &Plan) -> Result<(), CallerError> {
        let (reply, answered) = oneshot::channel();
        let event = ControlEvent::Admit {
            customer: customer.clone(),
            rate: plan.rate,
            burst_requests: plan.burst_requests,
            reply,
        };
        let is_sent = self.driver.control.send(event).is_ok();
        if is_sent && answered.await.unwrap_or(false) {
            Ok(())
        } else {
            Err(refusal(
                ErrorCode::RateLimited,
                "the customer is over the rate of its plan",
            ))
        }
    }
}

/// Error for a request that the plan does not allow.
pub fn denied(denial: Denial) -> CallerError {
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

/// Text of a header, if it is there and readable.
pub fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn address_of(head: &Parts) -> Result<Address, CallerError> {
    let path = head.uri.path();
    let shape = match path {
        "/v1/chat/completions" => Some(Shape::Chat),
        "/v1/completions" => Some(Shape::Text),
        _ => None,
    };
    if let Some(shape) = shape {
        if head.method != "POST" {
            return Err(refusal(ErrorCode::NotFound, "model calls use POST"));
        }
        return Ok(Address::Model(shape));
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
    Ok(Address::Service(name, format!("/{service_path}{query}")))
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

/// Reads the rest of a refused body. Closing a connection with unread data resets it, and the
/// caller then sees a broken pipe in place of the answer.
async fn discard(head: &Parts, mut body: Body) {
    // Reading would ask a caller that waits for permission to send its body.
    if head.headers.contains_key("expect") {
        return;
    }
    let discarding = async {
        let mut left = DISCARD_MAX_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let size = frame.data_ref().map_or(0, BodyBytes::len);
            let Some(rest) = left.checked_sub(size) else {
                return;
            };
            left = rest;
        }
    };
    // A caller that is slower loses the answer.
    let _ = tokio::time::timeout(BODY_TIMEOUT, discarding).await;
}
