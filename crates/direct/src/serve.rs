//! Accepts connections and requests of callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminlead_direct_core::connection_budget::NoRoom;
use cuminlead_direct_core::{
    Call, CallSpec, EngineSpec, ModelRequirements, OperatorConfig, Refusal, RefusalReason, Route,
    RouteId, RouteMatch, Team, UnknownKey,
};
use cuminlead_process::response_head::UNSENT_MAX_BYTES;
use cuminlead_telemetry::HopSpan;
use cuminlead_types::{Bytes, DurationUs, Revision, TimeUs, Tokens};
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use slog::{debug, info};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::adapter::{CallerRequest, Identity};
use crate::app::{App, StopPhase};
use crate::body::{CallerBody, TrackedBody};
use crate::caller_buffer::CallerConnection;
use crate::connections::{BodyLease, ConnectionLease};
use crate::correlation::SentTo;
use crate::drive::{CallResult, drive};
use crate::exchange::{CallerExchange, TRACEPARENT};
use crate::head_timer::{HeadTimer, TimedStream};
use crate::relay::{Relay, RelayedResponse};
use crate::request_body::{BodyError, read_body};
use crate::server_response::{BufferedResponse, FailureResponse};
use crate::team_usage::{self, UsedUnits};

/// Time after which a caller may retry at a process that has not read the configuration yet.
const STARTING_RETRY_AFTER: DurationUs = DurationUs::from_ms(500);
/// Time after which a caller may retry whose body finds no memory. Most requests end within it.
const NO_MEMORY_RETRY_AFTER: DurationUs = DurationUs::from_ms(1_000);
/// Pause after a failed accept, which means that file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Divisor that estimates the prompt of a model call that does not state its size: about four bytes
/// of body per token.
const BODY_BYTES_PER_TOKEN: u64 = 4;
/// Share of the route's timeout, in percent, below which a caller's timeout marks a retry. The
/// timeouts that callers set vary by 15 %.
const FIRST_ATTEMPT_MIN_PERCENT: u64 = 82;
/// Smallest read buffer that hyper accepts.
const BUFFER_MIN_BYTES: usize = 8_192;

/// Accepts connections until the process ends.
pub async fn accept(app: Rc<App>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(lease) = app.connections.open() else {
            app.metrics.connections_refused.inc();
            continue;
        };
        tokio::task::spawn_local(serve_connection(Rc::clone(&app), stream, lease));
    }
}

struct ConnectionCount(Rc<App>);

impl ConnectionCount {
    fn new(app: &Rc<App>) -> Self {
        app.status.connections_count.fetch_add(1, Ordering::Relaxed);
        Self(Rc::clone(app))
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        let count = &self.0.status.connections_count;
        count.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(app: Rc<App>, stream: TcpStream, lease: Rc<ConnectionLease>) {
    let _count = ConnectionCount::new(&app);
    // Send each event of a stream at once. If the option can't be set, events are only delayed.
    let _ = stream.set_nodelay(true);
    let limits = app
        .serving
        .borrow()
        .operator_config()
        .map(|operator_config| *operator_config.limits())
        .unwrap_or_default();
    let head_max = usize::try_from(limits.head_max_bytes.0).unwrap_or(usize::MAX);
    let mut stop = app.stop.clone();
    // The balancer had no other process to choose, so this connection gets its response before it
    // is closed.
    let is_accepted_while_closing = *stop.borrow() >= StopPhase::Closing;
    // Bounds what the system holds for a caller that does not read.
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_MAX_BYTES);
    let timer = HeadTimer::default();
    let caller = CallerConnection::default();
    let service = {
        let (app, timer, caller) = (Rc::clone(&app), timer.clone(), caller.clone());
        let lease = Rc::clone(&lease);
        service_fn(move |request| {
            let (app, timer, caller) = (Rc::clone(&app), timer.clone(), caller.clone());
            let lease = Rc::clone(&lease);
            let is_last = timer.complete() && lease.count_pipelined();
            lease.begin_body();
            // An idle connection does not hold the memory of a request's state.
            Box::pin(async move {
                let head_max = limits.head_max_bytes;
                let mut response = handle_request(app, caller, request, &lease, head_max).await;
                if is_last {
                    close_after(&mut response);
                }
                timer.reset();
                Ok::<_, Infallible>(response.map(|body| {
                    lease.begin_response(body.buffered_size(), limits.head_max_bytes);
                    TrackedBody::new(body, lease)
                }))
            })
        })
    };
    let stream = TimedStream::new(
        stream,
        timer.clone(),
        Rc::clone(&lease),
        limits.head_max_bytes,
    );
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts the idle time before a request as part of reading its head.
        .header_read_timeout(Duration::from(limits.idle_timeout))
        .max_buf_size(head_max.max(BUFFER_MIN_BYTES))
        .serve_connection(stream, service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = timer.expired(limits.head_timeout.into()) => {
            debug!(app.log, "caller did not send the request head in time; connection closed");
            return;
        }
        () = lease.closing() => {
            return;
        }
        () = caller.closing() => {
            info!(app.log, "caller reads too slowly; connection closed");
            return;
        }
        _ = stop.wait_for(|phase| *phase >= StopPhase::Closing),
            if !is_accepted_while_closing => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = caller.closing() => return,
                () = lease.closing() => return,
            }
        }
    };
    if let Err(error) = ended {
        debug!(app.log, "caller connection failed"; "error" => %error);
    }
}

async fn handle_request(
    app: Rc<App>,
    caller: CallerConnection,
    request: Request<Incoming>,
    lease: &Rc<ConnectionLease>,
    head_max: Bytes,
) -> Response<CallerBody> {
    let arrived_at = app.now();
    let mut response = match admit(&app, request, arrived_at, lease, head_max).await {
        Ok(admitted) => run(&app, caller, admitted, arrived_at).await,
        Err(response) => response,
    };
    if app.is_stopping() {
        close_after(&mut response);
    }
    response
}

fn close_after(response: &mut Response<CallerBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

struct Admitted {
    exchange: CallerExchange,
    call: Call,
    route: String,
    config_version: u64,
    /// Units that the request uses of its team's limit; `None` if it has none.
    used_units: Option<UsedUnits>,
    /// Ends with the response or its first chunk.
    span: HopSpan,
}

/// Validates a request, reads its complete body and finds its route.
async fn admit(
    app: &Rc<App>,
    request: Request<Incoming>,
    arrived_at: TimeUs,
    lease: &Rc<ConnectionLease>,
    head_max: Bytes,
) -> Result<Admitted, Response<CallerBody>> {
    let (parts, body) = request.into_parts();
    let caller = app.protocol_mapping.read_request(&parts.headers);
    let caller = caller.map_err(|reason| error_response(app, StatusCode::BAD_REQUEST, &reason))?;
    let operator_config = ready_operator_config(app).ok_or_else(|| {
        info!(app.log, "request refused"; "request" => &caller.id, "reason" => "starting");
        refusal_response(app, &starting_refusal())
    })?;
    let authority = parts
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.authority().map(|authority| authority.as_str()))
        .unwrap_or_default();
    let RouteMatch::Found(route) = operator_config.route(authority, parts.uri.path()) else {
        info!(app.log, "request refused"; "request" => &caller.id, "reason" => "no_route",
            "config_version" => operator_config.version().0);
        return Err(error_response(app, StatusCode::NOT_FOUND, "no route"));
    };
    let team = identify(app, &operator_config, route, &caller);
    let team =
        team.map_err(|UnknownKey| error_response(app, StatusCode::UNAUTHORIZED, "unknown key"))?;
    let body_max = operator_config.limits().body_max_bytes.0;
    let declared = parts.headers.get(CONTENT_LENGTH);
    let declared = declared.and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
    if declared.is_some_and(|length| length > body_max) {
        return Err(error_response(
            app,
            StatusCode::PAYLOAD_TOO_LARGE,
            "body too large",
        ));
    }
    let body_deadline = Instant::from_std(app.clock.instant(arrived_at + route.timeout));
    let body_lease = BodyLease::new(Rc::clone(lease));
    let body = read_body(body, Bytes(body_max), &body_lease);
    let body = timeout_at(body_deadline, body).await;
    let body = body.unwrap_or(Err(BodyError::TimedOut));
    let body = body.and_then(|body| {
        let admitted = lease.begin_serving(head_max);
        admitted
            .map(|()| body)
            .map_err(|NoRoom| BodyError::NoMemory)
    });
    let body = body.map_err(|error| body_error_response(app, &caller.id, error))?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let caller_timeout = caller
        .caller_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = arrived_at + caller_timeout;
    if let Some(refusal) = shutdown_refusal(app, &caller.id, route, deadline) {
        return Err(refusal_response(app, &refusal));
    }
    let parent_context = parts.headers.get(TRACEPARENT);
    let parent_context = parent_context.and_then(|context| context.to_str().ok());
    let span = app
        .tracing
        .hop("request", parent_context.unwrap_or_default());
    let priority = operator_config.teams().map(|_| {
        let of_team = team.as_ref().and_then(|team| team.priority);
        of_team.unwrap_or(route.priority)
    });
    let identity = match priority {
        Some(priority) => Identity::Checked {
            team: team.as_ref().map(|team| &team.name),
            priority,
        },
        None => Identity::Unchecked,
    };
    let exchange = CallerExchange {
        traceparent: span.traceparent().to_string(),
        headers: app
            .protocol_mapping
            .request_headers(&parts.headers, &identity),
        team,
        priority,
        request: caller,
        method: parts.method,
        path: path.to_string(),
        body,
        body_lease,
        kind: route.kind,
        latency_target: route.latency_target,
        arrived_at,
        deadline,
        is_caller_retry: is_caller_retry(caller_timeout, route.timeout),
        sent_to: SentTo::default(),
    };
    let call = new_call(app, &operator_config, route, &exchange);
    let call = call.ok_or_else(|| refusal_response(app, &starting_refusal()))?;
    let used_units = admit_usage(app, &exchange, operator_config.version()).await?;
    Ok(Admitted {
        exchange,
        call,
        route: route.name.clone(),
        config_version: operator_config.version().0,
        used_units,
        span,
    })
}

/// Admits a request by the limit of its team. Fails with the response to one that is over it.
async fn admit_usage(
    app: &Rc<App>,
    exchange: &CallerExchange,
    version: Revision,
) -> Result<Option<UsedUnits>, Response<CallerBody>> {
    let Some(team) = &exchange.team else {
        return Ok(None);
    };
    let (tokens, is_late) = (exchange.request.stated_tokens, exchange.is_caller_retry);
    let admitted = team_usage::admit(app, team, version, tokens, is_late).await;
    admitted.map_err(|retry_after| {
        let refusal = Refusal {
            is_not_run: true,
            reason: RefusalReason::UsageLimit,
            retry_after,
        };
        info!(app.log, "request refused"; "request" => &exchange.request.id,
            "reason" => %refusal.reason, "not_run" => true, "team" => %team.name,
            "retry_after_ms" => retry_after.as_ms());
        refusal_response(app, &refusal)
    })
}

/// Team of a request by its key. Fails for a request that needs a key and has no valid one.
fn identify(
    app: &App,
    operator_config: &OperatorConfig,
    route: &Route,
    caller: &CallerRequest,
) -> Result<Option<Arc<Team>>, UnknownKey> {
    let Some(teams) = operator_config.teams() else {
        return Ok(None);
    };
    let team = teams.identify(route, caller.key);
    if team.is_err() {
        app.metrics.unknown_keys.inc();
        info!(app.log, "request refused"; "request" => &caller.id, "reason" => "unknown_key",
            "has_key" => caller.key.is_some(), "config_version" => operator_config.version().0);
    }
    team
}

/// Whether a caller repeats a refused request. Each attempt states the rest of the caller's
/// timeout, which for a first attempt is nearly all of the route's timeout.
fn is_caller_retry(caller_timeout: DurationUs, route_timeout: DurationUs) -> bool {
    caller_timeout.0 < route_timeout.0 / 100 * FIRST_ATTEMPT_MIN_PERCENT
}

/// Completes when a process in shutdown answers its open requests.
async fn wait_for_answering(mut stop: watch::Receiver<StopPhase>) {
    if stop
        .wait_for(|phase| *phase == StopPhase::Answering)
        .await
        .is_err()
    {
        // The sender lives as long as the process.
        std::future::pending::<()>().await;
    }
}

/// Refusal of a request that a process in shutdown can't finish in time.
fn shutdown_refusal(app: &App, request: &str, route: &Route, deadline: TimeUs) -> Option<Refusal> {
    let (now, schedule) = (app.now(), app.shutdown.get()?);
    if schedule.admits(now, route.kind, deadline) {
        return None;
    }
    let refusal = schedule.refusal(now);
    info!(app.log, "request refused"; "request" => request, "reason" => "stopping",
        "not_run" => true, "retry_after_ms" => refusal.retry_after.as_ms());
    Some(refusal)
}

fn ready_operator_config(app: &App) -> Option<Arc<OperatorConfig>> {
    let serving = app.serving.borrow();
    serving
        .is_ready()
        .then(|| serving.operator_config().cloned())?
}

fn new_call(
    app: &App,
    operator_config: &OperatorConfig,
    route: &Route,
    exchange: &CallerExchange,
) -> Option<Call> {
    let service = app.serving.borrow_mut().pick_service(route)?;
    let engine = operator_config
        .service(&service)
        .and_then(|spec| spec.engine);
    let route_id = match engine {
        Some(_) => RouteId::of_runs(&service),
        None => RouteId::of(&route.name),
    };
    Some(Call::new(CallSpec {
        route: route_id,
        service,
        kind: route.kind,
        model: engine.map(|engine| model_requirements(engine, exchange)),
        prompt_parts: exchange.request.prompt_parts.clone(),
        attempts_max_count: route.attempts_max_count,
        latency_target: route.latency_target,
        arrived_at: exchange.arrived_at,
        deadline: exchange.deadline,
        is_caller_retry: exchange.is_caller_retry,
        spreads_retries: exchange.priority.is_some(),
    }))
}

fn model_requirements(engine: EngineSpec, exchange: &CallerExchange) -> ModelRequirements {
    let estimate = Tokens(exchange.body.len() as u64 / BODY_BYTES_PER_TOKEN + 1);
    let prompt_tokens = exchange.request.prompt_tokens.unwrap_or(estimate);
    ModelRequirements {
        prompt_tokens,
        answer_tokens: exchange.request.answer_tokens,
        reservation_max: engine.reservation_max,
        cache_ttl: engine.cache_ttl,
    }
}

async fn run(
    app: &Rc<App>,
    connection: CallerConnection,
    admitted: Admitted,
    arrived_at: TimeUs,
) -> Response<CallerBody> {
    let Admitted {
        exchange,
        mut call,
        route,
        config_version,
        used_units,
        mut span,
    } = admitted;
    let exchange = Rc::new(exchange);
    let deadline = Instant::from_std(app.clock.instant(exchange.deadline));
    let result = tokio::select! {
        result = timeout_at(deadline, drive(app, &mut call, &exchange, None)) => result.ok(),
        () = wait_for_answering(app.stop.clone()) => None,
    };
    let result = result.unwrap_or_else(|| {
        CallResult::Refused(Refusal {
            // A request that was sent to a server may have run.
            is_not_run: call.sends_count() == 0,
            ..call.timed_out()
        })
    });
    let elapsed = app.now().since(arrived_at);
    let (outcome, sends) = (outcome_name(&result), call.sends_count());
    span.attribute("outcome", outcome);
    app.metrics.count_request(&route, outcome, elapsed);
    info!(app.log, "request answered"; "request" => &exchange.request.id, "route" => &route,
        "service" => %call.spec().service, "config_version" => config_version,
        "outcome" => outcome, "sends" => sends, "waits" => call.waits_count(),
        "took_ms" => elapsed.as_ms());
    if let CallResult::Refused(refusal) = &result {
        log_refusal(app, &call, &exchange, refusal);
        if let Some(used_units) = used_units.filter(|_| refusal.is_not_run) {
            team_usage::refund(app, used_units);
        }
    }
    let relayed = match result {
        CallResult::Answered(response)
        | CallResult::Failed(FailureResponse::Buffered(response)) => {
            return buffered_response(response);
        }
        CallResult::Refused(refusal) => return refusal_response(app, &refusal),
        CallResult::Streaming(response) => RelayedResponse::Stream(response),
        CallResult::Failed(FailureResponse::Arriving(response)) => {
            RelayedResponse::Failure(response)
        }
    };
    let (status, headers) = relayed.head();
    let relay = Relay {
        app: Rc::clone(app),
        connection,
        exchange,
        call,
        route,
        arrived_at,
        bytes_count: 0,
        last_chunk: None,
        gap_max: DurationUs::ZERO,
    };
    let mut response = Response::new(CallerBody::Relayed(relay.start(relayed)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Logs a refusal with the local view of the service's servers.
fn log_refusal(app: &App, call: &Call, exchange: &CallerExchange, refusal: &Refusal) {
    let service = &call.spec().service;
    let counts = app.serving.borrow().server_counts(app.now(), service);
    let reason: &'static str = refusal.reason.into();
    info!(app.log, "request refused"; "request" => &exchange.request.id, "reason" => reason,
        "not_run" => refusal.is_not_run, "retry_after_ms" => refusal.retry_after.as_ms(),
        "service" => %service, "usable" => counts.usable_count, "paused" => counts.paused_count,
        "limited" => counts.limited_count, "full" => counts.full_count,
        "leaving" => counts.draining_count);
}

fn outcome_name(result: &CallResult) -> &'static str {
    match result {
        CallResult::Failed(_) => "failed",
        CallResult::Answered(_) => "answered",
        CallResult::Streaming(_) => "streaming",
        CallResult::Refused(refusal) => refusal.reason.into(),
    }
}

fn body_error_response(app: &App, request: &str, error: BodyError) -> Response<CallerBody> {
    let status = match error {
        BodyError::Malformed => StatusCode::BAD_REQUEST,
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        BodyError::NoMemory => {
            let refusal = Refusal {
                is_not_run: true,
                reason: RefusalReason::NoMemory,
                retry_after: NO_MEMORY_RETRY_AFTER,
            };
            info!(app.log, "request refused"; "request" => request, "reason" => %refusal.reason,
                "body_memory_used_bytes" => app.connections.used_by_bodies().0);
            return refusal_response(app, &refusal);
        }
    };
    error_response(app, status, "body cannot be read")
}

fn buffered_response(buffered: BufferedResponse) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::buffered(buffered.body));
    *response.status_mut() = buffered.status;
    *response.headers_mut() = buffered.headers;
    response
}

fn starting_refusal() -> Refusal {
    Refusal {
        is_not_run: true,
        reason: RefusalReason::NoServer,
        retry_after: STARTING_RETRY_AFTER,
    }
}

/// Builds the response of a refusal. Statuses 503 and 429 promise that the request never runs; 502
/// and 504 do not.
fn refusal_response(app: &App, refusal: &Refusal) -> Response<CallerBody> {
    let status = match (refusal.is_not_run, refusal.reason) {
        (true, RefusalReason::UsageLimit) => StatusCode::TOO_MANY_REQUESTS,
        (true, _) => StatusCode::SERVICE_UNAVAILABLE,
        (false, RefusalReason::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
        (false, _) => StatusCode::BAD_GATEWAY,
    };
    let reason: &'static str = refusal.reason.into();
    let mut response = error_response(app, status, reason);
    if refusal.is_not_run {
        let seconds = format!("{:.3}", Duration::from(refusal.retry_after).as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
    response
}

fn error_response(app: &App, status: StatusCode, reason: &str) -> Response<CallerBody> {
    app.metrics.count_status(status);
    let mut response = Response::new(CallerBody::buffered(format!("{reason}\n")));
    *response.status_mut() = status;
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}
