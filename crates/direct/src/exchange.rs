//! Sends one request to one server and reads the head of its answer.
//!
//! A short answer is held until it is whole, so that one that breaks off is never passed on as if
//! it were complete, and so that the request can go to another server where that is allowed.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use cuminlead_direct_core::placement::Distance;
use cuminlead_direct_core::{RequestKind, ServerKey, StepOutcome};
use cuminlead_telemetry::HopSpan;
use cuminlead_types::{BackendServerId, DurationUs, TimeUs};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use slog::info;

use crate::adapter::{CallerRequest, ResponseClass, RunHeaders};
use crate::app::{App, InFlight};
use crate::channel::{Channel, SendError};
use crate::pool::{IDLE_MAX_ONCE, idle_max};
use crate::status::Direction;

/// Longest answer that is held until it is whole. Answers of plain services are a few KB; a longer
/// one is passed on as it comes.
pub(crate) const HELD_MAX_BYTES: usize = 256 * 1024;
/// Header of the W3C trace context.
pub(crate) const TRACEPARENT: &str = "traceparent";
/// Goals without the head of an answer after which a server counts as silent.
pub(crate) const SILENCE_GOALS: u64 = 2;

/// Request of a caller, read whole.
#[derive(Debug)]
pub struct CallerExchange {
    /// What it says of itself.
    pub request: CallerRequest,
    /// Method.
    pub method: Method,
    /// Path and query, as they came.
    pub path: String,
    /// Headers that go to servers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Time within which an answer is of full use.
    pub latency_target: DurationUs,
    /// When it arrived.
    pub arrived_at: TimeUs,
    /// Time at which the caller or the route gives up.
    pub deadline: TimeUs,
    /// Whether the caller comes back after a refusal.
    pub is_caller_retry: bool,
    /// Trace context of the request's span.
    pub traceparent: String,
}

impl CallerExchange {
    fn request(&self, headers: HeaderMap) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(Full::new(self.body.clone()))
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Starts the span of a hop; its context goes with the headers when the caller's or a collector
    /// gives one.
    fn hop(&self, app: &App, name: &'static str, headers: &mut HeaderMap) -> HopSpan {
        let span = app.tracing.hop(name, &self.traceparent);
        if let Ok(context) = HeaderValue::from_str(span.traceparent())
            && !context.is_empty()
        {
            headers.insert(TRACEPARENT, context);
        }
        span
    }

    fn may_repeat(&self) -> bool {
        matches!(
            self.kind,
            RequestKind::Idempotent | RequestKind::Stream { resumable: true }
        )
    }
}

/// Answer of a server.
pub enum Answer {
    /// Whole answer.
    Whole(HeldAnswer),
    /// Answer that arrives in parts.
    Parts(PartialAnswer),
}

/// Answer that is whole in memory.
#[derive(Clone, Debug)]
pub struct HeldAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the server says that it failed.
    pub is_failure: bool,
}

/// Answer of which more parts are to come.
pub struct PartialAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// First part.
    pub first: Bytes,
    /// Rest.
    pub rest: Incoming,
    /// Connection and place of the request.
    pub lease: ServerLease,
}

/// Connection to a server with the request's place there; dropping it cancels the request.
pub struct ServerLease {
    app: Rc<App>,
    /// Server.
    pub server: ServerKey,
    channel: Option<Channel>,
    pub(crate) idle_max: DurationUs,
    distance: Distance,
    _in_flight: InFlight,
}

impl ServerLease {
    /// Counts bytes of the answer.
    pub(crate) fn count_received(&self, bytes_count: usize) {
        let bytes_count = u64::try_from(bytes_count).unwrap_or(u64::MAX);
        self.app
            .metrics
            .count_bytes(Direction::Received, self.distance, bytes_count);
    }

    /// Keeps the connection for other requests; the answer was read to its end.
    pub fn finish(mut self) {
        if let Some(channel) = self.channel.take() {
            let mut pool = self.app.pool.borrow_mut();
            pool.put(self.app.now(), self.server, channel, self.idle_max);
        }
    }
}

/// Answer that is awaited. Dropping it after a long silence, as when the caller has left, records
/// that the server does not answer: otherwise each next request would wait as long.
struct Awaited {
    app: Rc<App>,
    server: ServerKey,
    sent_at: TimeUs,
    /// Time after which a silence counts.
    patience: DurationUs,
    is_answered: bool,
}

impl Drop for Awaited {
    fn drop(&mut self) {
        let silence = self.app.now().since(self.sent_at);
        if !self.is_answered && silence >= self.patience {
            note_silence(&self.app, self.server, silence);
        }
    }
}

/// Leaves a silent server out for a while, and its kept connections for good: whatever keeps track
/// of connections may have lost them all.
pub(crate) fn note_silence(app: &App, server: ServerKey, silence: DurationUs) {
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    let Some(known) = serving.servers.get_mut(server) else {
        return;
    };
    known.health.record_unreachable(now);
    info!(app.log, "server is silent"; "server" => %known.record.id,
        "silence_ms" => silence.as_ms());
    app.pool.borrow_mut().forget(server);
}

/// What a run is given beside the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunInput<'a> {
    /// Address and name of a KV cache.
    pub cache: Option<(SocketAddr, &'a str)>,
    /// Name of the place that is held for it.
    pub reservation: Option<&'a str>,
    /// Id of the last event that the caller has.
    pub resume_after: Option<&'a str>,
}

/// Runs the request at a server until its answer is whole or its first part is there.
pub async fn run(
    app: &Rc<App>,
    exchange: &CallerExchange,
    server: ServerKey,
    input: RunInput<'_>,
) -> Result<Answer, StepOutcome> {
    let (id, address) = identity(app, server).ok_or(StepOutcome::Unreachable)?;
    let mut headers = exchange.headers.clone();
    let order = RunHeaders {
        server: &id,
        time_left: exchange.deadline.since(app.now()),
        cache: input.cache,
        reservation: input.reservation,
        resume_after: input.resume_after,
    };
    app.dialect.write_run_headers(&mut headers, &order);
    let mut span = exchange.hop(app, "run", &mut headers);
    span.attribute("server", id.as_str());
    let request = exchange.request(headers).ok_or(StepOutcome::Unreachable)?;
    let kept_idle_max = (!exchange.may_repeat()).then_some(IDLE_MAX_ONCE);
    let mut awaited = Awaited {
        app: Rc::clone(app),
        server,
        sent_at: app.now(),
        patience: DurationUs(exchange.latency_target.0.saturating_mul(SILENCE_GOALS)),
        is_answered: false,
    };
    let sent = send(app, server, address, request, kept_idle_max).await;
    // A failure to send is recorded by its outcome.
    awaited.is_answered = true;
    let (mut lease, response) = sent?;
    let (parts, rest) = response.into_parts();
    lease.idle_max = idle_max(&parts.headers);
    let meaning = app
        .dialect
        .read_answer(&exchange.request, parts.status, &parts.headers);
    let is_failure = match meaning {
        ResponseClass::Success => false,
        ResponseClass::Failure => true,
        ResponseClass::Rejected | ResponseClass::OtherIncarnation => {
            drain(lease, rest).await;
            return Err(match meaning {
                ResponseClass::OtherIncarnation => StepOutcome::OtherIncarnation,
                _ if input.cache.is_some() => StepOutcome::CacheGone,
                _ => StepOutcome::Rejected,
            });
        }
        ResponseClass::Unusable => return Err(StepOutcome::Garbled),
    };
    let headers = app.dialect.answered(&parts.headers);
    let is_stream = matches!(exchange.kind, RequestKind::Stream { .. }) && !is_failure;
    let hold_max_bytes = if is_stream { 0 } else { HELD_MAX_BYTES };
    match collect(&lease, rest, hold_max_bytes).await? {
        Collected::Whole(body) => {
            lease.finish();
            Ok(Answer::Whole(HeldAnswer {
                status: parts.status,
                headers,
                body,
                is_failure,
            }))
        }
        Collected::Partial(first, rest) => Ok(Answer::Parts(PartialAnswer {
            status: parts.status,
            headers,
            first,
            rest,
            lease,
        })),
    }
}

/// Has the prompt computed; returns the name of the KV cache.
pub async fn prefill(
    app: &Rc<App>,
    exchange: &CallerExchange,
    server: ServerKey,
) -> Result<String, StepOutcome> {
    let (id, address) = identity(app, server).ok_or(StepOutcome::Unreachable)?;
    let mut headers = exchange.headers.clone();
    let order = RunHeaders {
        server: &id,
        time_left: exchange.deadline.since(app.now()),
        cache: None,
        reservation: None,
        resume_after: None,
    };
    app.dialect.write_prefill_headers(&mut headers, &order);
    let mut span = exchange.hop(app, "prefill", &mut headers);
    span.attribute("server", id.as_str());
    let request = exchange.request(headers).ok_or(StepOutcome::Unreachable)?;
    let (mut lease, response) = send(app, server, address, request, None).await?;
    let (parts, rest) = response.into_parts();
    lease.idle_max = idle_max(&parts.headers);
    let meaning = app
        .dialect
        .read_answer(&exchange.request, parts.status, &parts.headers);
    match meaning {
        ResponseClass::Rejected => {
            drain(lease, rest).await;
            return Err(StepOutcome::Rejected);
        }
        ResponseClass::OtherIncarnation => return Err(StepOutcome::OtherIncarnation),
        _ if parts.status != StatusCode::OK => return Err(StepOutcome::Failed),
        // The answer is for this process and carries no signature.
        _ => {}
    }
    let Collected::Whole(body) = collect(&lease, rest, HELD_MAX_BYTES).await? else {
        return Err(StepOutcome::Garbled);
    };
    lease.finish();
    app.dialect
        .read_prefill(&body)
        .map_err(|_| StepOutcome::Garbled)
}

fn distance_of(app: &App, server: ServerKey) -> Distance {
    let serving = app.serving.borrow();
    let known = serving.servers.get(server);
    known.map_or(Distance::OtherRegion, |server| serving.distance(server))
}

pub(crate) fn identity(app: &App, server: ServerKey) -> Option<(BackendServerId, SocketAddr)> {
    let serving = app.serving.borrow();
    let server = serving.servers.get(server)?;
    Some((server.record.id.clone(), server.record.address))
}

/// Sends on a kept connection, or on a new one when none can take the request.
pub(crate) async fn send(
    app: &Rc<App>,
    server: ServerKey,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    kept_idle_max: Option<DurationUs>,
) -> Result<(ServerLease, Response<Incoming>), StepOutcome> {
    let in_flight = InFlight::begin(app, server);
    let distance = distance_of(app, server);
    let body_bytes = request.body().size_hint().exact().unwrap_or(0);
    app.metrics
        .count_bytes(Direction::Sent, distance, body_bytes);
    loop {
        let kept = take_usable(app, server, kept_idle_max).await;
        let is_kept = kept.is_some();
        let mut channel = match kept {
            Some(channel) => channel,
            None => {
                app.metrics.channels_opened.inc();
                Channel::connect(address)
                    .await
                    .ok_or(StepOutcome::Unreachable)?
            }
        };
        match channel.send(request).await {
            Ok(response) => {
                let lease = ServerLease {
                    app: Rc::clone(app),
                    server,
                    channel: Some(channel),
                    idle_max: DurationUs::ZERO,
                    distance,
                    _in_flight: in_flight,
                };
                return Ok((lease, response));
            }
            Err(SendError::NotSent(unsent)) if is_kept => request = *unsent,
            Err(SendError::NotSent(_)) => return Err(StepOutcome::Unreachable),
            Err(SendError::Lost(_)) => return Err(StepOutcome::Lost),
        }
    }
}

async fn take_usable(
    app: &Rc<App>,
    server: ServerKey,
    idle_max: Option<DurationUs>,
) -> Option<Channel> {
    loop {
        let taken = app.pool.borrow_mut().take(app.now(), server, idle_max);
        let mut channel = taken?;
        if channel.is_usable().await {
            return Some(channel);
        }
    }
}

/// Reads a short answer to its end, so that its connection can be kept.
async fn drain(lease: ServerLease, rest: Incoming) {
    if let Ok(Collected::Whole(_)) = collect(&lease, rest, HELD_MAX_BYTES).await {
        lease.finish();
    }
}

pub(crate) enum Collected {
    Whole(Bytes),
    /// More than was to be held.
    Partial(Bytes, Incoming),
}

/// Reads a body until it is whole or longer than `hold_max_bytes`.
pub(crate) async fn collect(
    lease: &ServerLease,
    mut rest: Incoming,
    hold_max_bytes: usize,
) -> Result<Collected, StepOutcome> {
    let mut held = BytesMut::new();
    loop {
        let Some(frame) = rest.frame().await else {
            return Ok(Collected::Whole(held.freeze()));
        };
        let frame = frame.map_err(|_| StepOutcome::Lost)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        lease.count_received(data.len());
        held.extend_from_slice(&data);
        if held.len() > hold_max_bytes {
            return Ok(Collected::Partial(held.freeze(), rest));
        }
    }
}
