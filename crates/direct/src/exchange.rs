//! Sends one request to one server and reads the head of its response.
//!
//! All responses of servers pass through [`send`], which discards those that do not belong to the
//! request ([`crate::correlation`]) and those that are invalid or not complete
//! ([`crate::response_validity`]).
//!
//! A short response is buffered until it is complete. This way a truncated response is never
//! forwarded as if it were complete, and the request can be retried at another server where that is
//! allowed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminlead_direct_core::placement::Distance;
use cuminlead_direct_core::{
    Claim, Incarnation, RequestKind, RequestPriority, ServerKey, StepOutcome, Team, Work,
};
use cuminlead_process::response_head::InvalidResponse;
use cuminlead_telemetry::HopSpan;
use cuminlead_types::{BackendServerId, DurationUs, TimeUs};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::info;
use tokio::time::timeout;

use crate::adapter::{CallerRequest, ResponseClass, RunHeaders};
use crate::app::{App, InFlight};
use crate::connection::{Connection, SendError};
use crate::connections::BodyLease;
use crate::correlation::{SentTo, is_response_to};
use crate::pool::{IDLE_MAX_NOT_REPEATABLE, idle_max};
use crate::response_validity::{Answered, InformationalHeads, Reporter, ResponseBody};
use crate::server_response::{
    ArrivingResponse, BufferedResponse, FailureResponse, ServerLease, ServerResponse,
};
use crate::status::{Direction, HeldCount};

/// Size beyond which a response is read to its end only while few others are.
const LARGE_RESPONSE_BYTES: usize = 16 * 1024;
/// Longest response that is buffered until it is complete. Responses of plain services are a few
/// KB; a longer one is streamed.
pub(crate) const BUFFERED_MAX_BYTES: usize = 256 * 1024;
/// Time in which the body of a response may arrive of which only the head matters. A new connection
/// takes one round trip, which is at most 40 ms between two regions.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);
/// Header of the W3C trace context.
pub(crate) const TRACEPARENT: &str = "traceparent";
/// Multiple of the latency target after which a server without a response head, or without a
/// further chunk of a stream, counts as unresponsive.
pub(crate) const UNRESPONSIVE_AFTER_TARGETS: u64 = 2;

/// Request of a caller, with its complete body.
#[derive(Debug)]
pub struct CallerExchange {
    /// Properties stated by its headers.
    pub request: CallerRequest,
    /// Team of the caller; `None` if callers need no key, or this one has no known key.
    pub team: Option<Arc<Team>>,
    /// Urgency of the request; `None` in deployments without teams.
    pub priority: Option<RequestPriority>,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: String,
    /// Headers that are forwarded to servers.
    pub headers: HeaderMap,
    /// Request body, buffered before the first attempt.
    pub body: Bytes,
    /// Memory of the body.
    pub body_lease: BodyLease,
    /// Whether the request may be repeated or resumed.
    pub kind: RequestKind,
    /// Time within which the response is of full use.
    pub latency_target: DurationUs,
    /// Monotonic time of arrival.
    pub arrived_at: TimeUs,
    /// Time at which the caller's or the route's timeout ends.
    pub deadline: TimeUs,
    /// Whether the request is assumed to repeat a refused one.
    pub is_caller_retry: bool,
    /// Trace context of the request's span.
    pub traceparent: String,
    /// Servers to which runs and prefills of the request were sent.
    pub sent_to: SentTo,
}

impl CallerExchange {
    fn request(&self, headers: HeaderMap) -> Option<Request<Bytes>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(self.body.clone())
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Starts the span of a step. Its context is added to the headers if the caller sent a context
    /// or a collector is configured.
    fn start_span(&self, app: &App, name: &'static str, headers: &mut HeaderMap) -> HopSpan {
        let span = app.tracing.hop(name, &self.traceparent);
        if let Ok(context) = HeaderValue::from_str(span.traceparent())
            && !context.is_empty()
        {
            headers.insert(TRACEPARENT, context);
        }
        span
    }

    /// Whose request it is, and how urgent; `None` in deployments without teams.
    pub(crate) fn claim(&self) -> Option<Claim> {
        Some(Claim {
            team: self.team.as_ref().map(|team| team.name.clone()),
            priority: self.priority?,
        })
    }

    fn is_repeatable(&self) -> bool {
        matches!(
            self.kind,
            RequestKind::Idempotent | RequestKind::Stream { resumable: true }
        )
    }

    /// Connections that may carry a run or prefill of the request to a server.
    fn connection_choice(
        &self,
        server: ServerKey,
        idle_max: Option<DurationUs>,
    ) -> ConnectionChoice {
        if self.sent_to.is_first(server) {
            ConnectionChoice::Pooled { idle_max }
        } else {
            ConnectionChoice::New
        }
    }
}

/// Connections that may carry a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ConnectionChoice {
    /// An idle connection, unless it was idle for longer than `idle_max`, or a new one.
    Pooled { idle_max: Option<DurationUs> },
    /// A connection that has carried no request before.
    New,
}

/// Response whose head has not arrived. If it is dropped after a long wait, for example because the
/// caller disconnected, the server is recorded as unresponsive; otherwise every further request
/// would wait as long.
struct PendingResponse {
    app: Rc<App>,
    server: ServerKey,
    sent_at: TimeUs,
    /// Time without a response head after which the server counts as unresponsive.
    unresponsive_after: DurationUs,
    is_answered: bool,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        let silence = self.app.now().since(self.sent_at);
        if !self.is_answered && silence >= self.unresponsive_after {
            mark_unresponsive(&self.app, self.server, silence);
        }
    }
}

/// Excludes an unresponsive server for a while and closes its idle connections: a device on the
/// path that tracks connections, or the server itself, may have lost the state of all of them.
pub(crate) fn mark_unresponsive(app: &App, server: ServerKey, silence: DurationUs) {
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    let Some(known) = serving.servers.get(server) else {
        return;
    };
    let id = known.record.id.clone();
    serving.record_unresponsive(now, server);
    info!(app.log, "server sent no data for too long; paused, and its idle connections closed";
        "server" => %id, "silence_ms" => silence.as_ms());
    app.pool.borrow_mut().close_all(server);
}

/// Input of a run beside the request.
#[derive(Clone, Copy, Debug)]
pub struct RunInput<'a> {
    /// Work of the run, for the placement of further requests.
    pub work: Work,
    /// Address of the prefill server and name of the KV cache.
    pub cache: Option<(SocketAddr, &'a str)>,
    /// Name of the slot reservation at the engine.
    pub reservation: Option<&'a str>,
    /// Whether the run continues a stream of which the caller has the head and perhaps events.
    pub continues_stream: bool,
    /// Id of the last event that the caller received.
    pub resume_after: Option<&'a str>,
}

/// Runs the request at a server until the response is complete or its first bytes have arrived.
pub async fn run(
    app: &Rc<App>,
    exchange: &CallerExchange,
    server: ServerKey,
    input: RunInput<'_>,
) -> Result<ServerResponse, StepOutcome> {
    let (server_id, address) = id_and_address(app, server).ok_or(StepOutcome::Unreachable)?;
    let mut headers = exchange.headers.clone();
    let run_headers = RunHeaders {
        server: &server_id,
        time_left: exchange.deadline.since(app.now()),
        cache: input.cache,
        reservation: input.reservation,
        resume_after: input.resume_after,
    };
    app.protocol_mapping
        .write_run_headers(&mut headers, &run_headers);
    let mut span = exchange.start_span(app, "run", &mut headers);
    span.attribute("server", server_id.as_str());
    let request = exchange.request(headers).ok_or(StepOutcome::Unreachable)?;
    let reuse_idle_max = (!exchange.is_repeatable()).then_some(IDLE_MAX_NOT_REPEATABLE);
    let mut pending = PendingResponse {
        app: Rc::clone(app),
        server,
        sent_at: app.now(),
        unresponsive_after: DurationUs(
            exchange
                .latency_target
                .0
                .saturating_mul(UNRESPONSIVE_AFTER_TARGETS),
        ),
        is_answered: false,
    };
    let id = Some(exchange.request.id.as_str());
    let connection = exchange.connection_choice(server, reuse_idle_max);
    let sent = send(app, id, server, address, request, connection, input.work).await;
    // If sending failed, the outcome records the failure.
    pending.is_answered = true;
    let (mut lease, response) = sent?;
    let (parts, rest) = response.into_parts();
    lease.idle_max = idle_max(&parts.headers);
    let class = app
        .protocol_mapping
        .classify_response(parts.status, &parts.headers);
    let is_failure = match class {
        ResponseClass::Success => false,
        ResponseClass::Failure => true,
        ResponseClass::Rejected | ResponseClass::OtherIncarnation => {
            discard(lease, rest).await;
            return Err(match class {
                ResponseClass::OtherIncarnation => StepOutcome::OtherIncarnation,
                _ if input.cache.is_some() => StepOutcome::CacheUnavailable,
                _ => StepOutcome::Rejected,
            });
        }
        ResponseClass::Unusable => return Err(StepOutcome::Malformed),
    };
    if is_failure && input.continues_stream {
        // The caller has a part of a stream, which no byte of a failure continues.
        discard(lease, rest).await;
        return Err(StepOutcome::Failed);
    }
    let headers = app.protocol_mapping.response_headers(&parts.headers);
    let is_stream = matches!(exchange.kind, RequestKind::Stream { .. }) && !is_failure;
    let buffered_max_bytes = if is_stream { 0 } else { BUFFERED_MAX_BYTES };
    let status = parts.status;
    match collect(&lease, rest, buffered_max_bytes).await? {
        Collected::Complete(body) => {
            if status.is_success() {
                lease.record_complete();
            }
            lease.finish();
            let buffered = BufferedResponse {
                status,
                headers,
                body,
            };
            Ok(if is_failure {
                ServerResponse::Failed(FailureResponse::Buffered(buffered))
            } else {
                ServerResponse::Buffered(buffered)
            })
        }
        Collected::OverLimit(first, rest) => {
            if !is_failure {
                lease.record_first_event();
            }
            let arriving = Box::new(ArrivingResponse {
                status,
                headers,
                first,
                rest,
                lease,
            });
            Ok(if is_failure {
                ServerResponse::Failed(FailureResponse::Arriving(arriving))
            } else {
                ServerResponse::Streaming(arriving)
            })
        }
    }
}

/// Has a prefill server compute the prompt; returns the name of the KV cache.
pub async fn prefill(
    app: &Rc<App>,
    exchange: &CallerExchange,
    server: ServerKey,
    work: Work,
) -> Result<String, StepOutcome> {
    let (server_id, address) = id_and_address(app, server).ok_or(StepOutcome::Unreachable)?;
    let mut headers = exchange.headers.clone();
    let run_headers = RunHeaders {
        server: &server_id,
        time_left: exchange.deadline.since(app.now()),
        cache: None,
        reservation: None,
        resume_after: None,
    };
    app.protocol_mapping
        .write_prefill_headers(&mut headers, &run_headers);
    let mut span = exchange.start_span(app, "prefill", &mut headers);
    span.attribute("server", server_id.as_str());
    let request = exchange.request(headers).ok_or(StepOutcome::Unreachable)?;
    let id = Some(exchange.request.id.as_str());
    let connection = exchange.connection_choice(server, None);
    let (mut lease, response) = send(app, id, server, address, request, connection, work).await?;
    let (parts, rest) = response.into_parts();
    lease.idle_max = idle_max(&parts.headers);
    let class = app
        .protocol_mapping
        .classify_response(parts.status, &parts.headers);
    match class {
        ResponseClass::Rejected => {
            discard(lease, rest).await;
            return Err(StepOutcome::Rejected);
        }
        ResponseClass::OtherIncarnation => return Err(StepOutcome::OtherIncarnation),
        _ if parts.status != StatusCode::OK => return Err(StepOutcome::Failed),
        // The response is for this process and carries no signature.
        _ => {}
    }
    let Collected::Complete(body) = collect(&lease, rest, BUFFERED_MAX_BYTES).await? else {
        return Err(StepOutcome::Malformed);
    };
    let handle = app.protocol_mapping.read_prefill(&body);
    if handle.is_ok() {
        lease.record_complete();
    }
    lease.finish();
    handle.map_err(|_| StepOutcome::Malformed)
}

fn distance_of(app: &App, server: ServerKey) -> Distance {
    let serving = app.serving.borrow();
    let known = serving.servers.get(server);
    known.map_or(Distance::OtherRegion, |server| serving.distance(server))
}

pub(crate) fn id_and_address(
    app: &App,
    server: ServerKey,
) -> Option<(BackendServerId, SocketAddr)> {
    let serving = app.serving.borrow();
    let server = serving.servers.get(server)?;
    Some((server.record.id.clone(), server.record.address))
}

/// Sends a request and waits for the head of its response.
///
/// A response that does not belong to the request is discarded with its connection, because the
/// request's own response may still arrive on it. `request_id` is `None` for a request of this
/// process.
pub(crate) async fn send(
    app: &Rc<App>,
    request_id: Option<&str>,
    server: ServerKey,
    address: SocketAddr,
    mut request: Request<Bytes>,
    choice: ConnectionChoice,
    work: Work,
) -> Result<(ServerLease, Response<ResponseBody>), StepOutcome> {
    let incarnation = app.serving.borrow().servers.incarnation(server);
    let incarnation = incarnation.ok_or(StepOutcome::Unreachable)?;
    let in_flight = InFlight::begin(app, server, work);
    let distance = distance_of(app, server);
    let (method, body_bytes) = (request.method().clone(), request.body().len());
    let body_bytes_count = u64::try_from(body_bytes).unwrap_or(u64::MAX);
    app.metrics
        .count_bytes(Direction::Sent, distance, body_bytes_count);
    let reporter = Reporter {
        app: Rc::clone(app),
        server: incarnation.id.clone(),
        request: request_id.map(ToString::to_string),
    };
    loop {
        let reused = match choice {
            ConnectionChoice::Pooled { idle_max } => take_usable(app, server, idle_max).await,
            ConnectionChoice::New => None,
        };
        let is_reused = reused.is_some();
        let mut connection = match reused {
            Some(connection) => connection,
            None => {
                app.metrics.connections_opened.inc();
                Connection::connect(address)
                    .await
                    .ok_or(StepOutcome::Unreachable)?
            }
        };
        let sent_at = app.now();
        let informational =
            InformationalHeads::observe(&mut request, request_id, &app.protocol_mapping);
        let held = HeldCount::server(&app.metrics, body_bytes);
        connection.stream().progress().hold(held);
        let sent = tokio::select! {
            sent = connection.send(request) => sent,
            reason = informational.wait_until_invalid() => return Err(reporter.report(reason)),
        };
        match sent {
            Ok(response) => {
                let response_id = app.protocol_mapping.response_id(response.headers());
                if !is_response_to(request_id, response_id, !is_reused) {
                    log_foreign_response(app, &incarnation, request_id, response_id, &response);
                    return Err(StepOutcome::Malformed);
                }
                let answered = Answered {
                    method: &method,
                    body_bytes,
                    informational: &informational,
                };
                let stream = connection.stream();
                let response =
                    ResponseBody::check_head(&answered, response, stream, reporter.clone())
                        .map_err(|reason| reporter.report(reason))?;
                apply_notice(app, &incarnation, sent_at, &response);
                let lease = ServerLease::new(app, server, connection, distance, in_flight);
                return Ok((lease, response));
            }
            Err(SendError::NotSent(unsent)) if is_reused => request = *unsent,
            Err(SendError::NotSent(_)) => return Err(StepOutcome::Unreachable),
            Err(SendError::Lost(error)) if error.is_parse() => {
                return Err(reporter.report(InvalidResponse::Head));
            }
            Err(SendError::Lost(_)) => return Err(StepOutcome::Lost),
        }
    }
}

fn log_foreign_response(
    app: &App,
    incarnation: &Incarnation,
    request_id: Option<&str>,
    response_id: Option<&str>,
    response: &Response<Incoming>,
) {
    app.metrics.foreign_responses.inc();
    info!(app.log, "server sent a response that does not belong to the request";
        "request" => request_id, "response_request" => response_id,
        "status" => response.status().as_u16(), "server" => %incarnation.id);
}

/// Records what a server says about itself in the head of a response.
fn apply_notice(
    app: &App,
    incarnation: &Incarnation,
    sent_at: TimeUs,
    response: &Response<ResponseBody>,
) {
    let notice = app
        .protocol_mapping
        .read_notice(response.status(), response.headers());
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    let changes = serving
        .servers
        .record_notice(now, sent_at, incarnation, &notice);
    let id = &incarnation.id;
    if changes.is_limit_changed {
        info!(app.log, "server changed its limit"; "server" => %id,
            "millirequests_per_s" => notice.limit.map(|limit| limit.0));
    }
    if let Some(pause) = notice.pause {
        info!(app.log, "server asked for a pause"; "server" => %id, "pause_ms" => pause.as_ms());
    }
    if changes.is_leaving_new {
        info!(app.log, "server is leaving by its own account"; "server" => %id);
    }
}

async fn take_usable(
    app: &Rc<App>,
    server: ServerKey,
    idle_max: Option<DurationUs>,
) -> Option<Connection> {
    loop {
        let taken = app.pool.borrow_mut().take(app.now(), server, idle_max);
        let mut connection = taken?;
        if connection.is_usable().await {
            return Some(connection);
        }
    }
}

/// Reads a response of which only the head matters to its end, so that its connection can be
/// reused. A response that is long or does not end in time ends with its connection, which leaves
/// what its head says as it is.
async fn discard(lease: ServerLease, rest: ResponseBody) {
    let collected = timeout(DISCARD_TIMEOUT, collect(&lease, rest, BUFFERED_MAX_BYTES)).await;
    if let Ok(Ok(Collected::Complete(_))) = collected {
        lease.finish();
    }
}

pub(crate) enum Collected {
    Complete(Bytes),
    /// The bytes read so far, and the rest of a body that exceeds the limit.
    OverLimit(Bytes, ResponseBody),
}

/// Reads a body until it is complete or exceeds `buffered_max_bytes`.
pub(crate) async fn collect(
    lease: &ServerLease,
    mut rest: ResponseBody,
    buffered_max_bytes: usize,
) -> Result<Collected, StepOutcome> {
    let mut buffered = BytesMut::new();
    let mut permit = None;
    loop {
        // A response that states a large size waits before its first part is read, which would
        // otherwise be held uncharged while it waits.
        let rest_bytes = usize::try_from(rest.least_size()).unwrap_or(usize::MAX);
        let size = (buffered.len().saturating_add(rest_bytes)).min(buffered_max_bytes);
        if size > LARGE_RESPONSE_BYTES && permit.is_none() {
            permit = lease.app.large_responses.acquire().await.ok();
            buffered.reserve(rest_bytes.min(buffered_max_bytes));
        }
        let Some(data) = rest.next().await? else {
            return Ok(Collected::Complete(buffered.freeze()));
        };
        lease.count_received(data.len());
        buffered.extend_from_slice(&data);
        if buffered.len() > buffered_max_bytes {
            return Ok(Collected::OverLimit(buffered.freeze(), rest));
        }
    }
}
