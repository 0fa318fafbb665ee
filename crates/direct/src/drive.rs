//! Executes the actions of a call until there is a response for the caller.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminlead_direct_core::{Action, CacheRef, Call, Refusal, Reservation, ServerKey, StepOutcome};
use cuminlead_types::{DurationUs, PromptPartId, TimeUs, Tokens};
use http::StatusCode;
use slog::{debug, info};
use tokio::time::{sleep, timeout};

use crate::app::App;
use crate::crash_reports::report_if_crashed;
use crate::engine_resources;
use crate::exchange::{self, CallerExchange, RunInput};
use crate::permits;
use crate::server_response::{ArrivingResponse, BufferedResponse, FailureResponse, ServerResponse};

/// Result of a call, or the start of its stream.
pub enum CallResult {
    /// Complete response to a successful run.
    Answered(BufferedResponse),
    /// Start of the output of a run.
    Streaming(Box<ArrivingResponse>),
    /// Response to a failed run; does not continue a stream.
    Failed(FailureResponse),
    /// Refusal by this process.
    Refused(Refusal),
}

/// KV cache at a prefill server; released if dropped before a run has used it.
struct CacheGuard {
    app: Rc<App>,
    cache: CacheRef,
    address: SocketAddr,
    prompt_tokens: Tokens,
    is_used: bool,
}

impl Drop for CacheGuard {
    fn drop(&mut self) {
        if !self.is_used {
            self.app
                .metrics
                .count_discarded_prefill("unused", self.prompt_tokens);
            let (server, handle) = (self.cache.server, self.cache.handle.clone());
            tokio::task::spawn_local(engine_resources::release_cache(
                Rc::clone(&self.app),
                server,
                handle,
            ));
        }
    }
}

/// Slot reserved for a decode; released if dropped before a run has used it.
struct SlotGuard {
    app: Rc<App>,
    request: String,
    server: ServerKey,
    reservation: Reservation,
    is_used: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.is_used {
            let request = std::mem::take(&mut self.request);
            let reservation = self.reservation.clone();
            let app = Rc::clone(&self.app);
            tokio::task::spawn_local(engine_resources::release_slot(
                app,
                request,
                self.server,
                reservation,
            ));
        }
    }
}

/// Stream that a call continues at another server.
pub struct InterruptedStream<'a> {
    /// Id of the last event that the caller received.
    pub last_event_id: Option<&'a str>,
    /// Response of a server that has gone silent. It is closed when another server has a slot for
    /// the stream, before that server gets the request.
    pub silent_response: &'a mut Option<ArrivingResponse>,
}

/// Executes a call, from the start or from the interruption of its stream.
pub async fn drive(
    app: &Rc<App>,
    call: &mut Call,
    exchange: &CallerExchange,
    mut interrupted: Option<InterruptedStream<'_>>,
) -> CallResult {
    let mut failure: Option<FailureResponse> = None;
    let mut cache_guard: Option<CacheGuard> = None;
    let mut slot_guard: Option<SlotGuard> = None;
    let mut last_failure: Option<StepOutcome> = None;
    loop {
        let action = call.next(app.now(), &mut app.serving.borrow_mut());
        if let Some(interrupted) = &mut interrupted
            && matches!(action, Action::Prefill { .. } | Action::Run { .. })
        {
            drop(interrupted.silent_response.take());
        }
        if action != Action::ForwardFailure {
            // A failure that is still arriving would occupy its connection, unread, until the next
            // attempt ends.
            failure = failure.filter(|failure| matches!(failure, FailureResponse::Buffered(_)));
        }
        match action {
            Action::Refuse(refusal) => return CallResult::Refused(refusal),
            Action::ForwardFailure => {
                return match failure {
                    Some(failure) => CallResult::Failed(failure),
                    None => CallResult::Refused(call.outcome_unknown()),
                };
            }
            Action::Wait(pause) => {
                if call.waits_count() == 1 {
                    log_wait(app, call, exchange);
                }
                // The call has abandoned its reservation.
                slot_guard = None;
                sleep(pause.into()).await;
            }
            Action::Reserve {
                server,
                model,
                ttl,
                is_late,
                computes_prompt,
            } => {
                let requirements = engine_resources::SlotRequirements {
                    model,
                    ttl,
                    is_late,
                    computes_prompt,
                };
                // A slot at another server is released before a new one is requested. A new
                // reservation at the same agent replaces the old one.
                if let Some(slot) = &mut slot_guard {
                    slot.is_used |= slot.server == server && slot.reservation == Reservation::Agent;
                }
                drop(slot_guard.take());
                slot_guard = reserve(app, call, exchange, server, requirements).await;
            }
            Action::Prefill {
                server,
                timeout: step_timeout,
            } => cache_guard = prefill(app, call, exchange, server, step_timeout).await,
            Action::Run {
                server,
                cache,
                reservation,
                timeout: step_timeout,
            } => {
                if let Some(outcome) = last_failure {
                    app.metrics.count_retry(outcome);
                }
                let cache_guard = cache_guard.as_mut().filter(|_| cache.is_some());
                let input = RunInput {
                    work: call.spec().run_work(cache.is_some()),
                    cache: cache_guard
                        .as_ref()
                        .map(|guard| (guard.address, guard.cache.handle.as_str())),
                    reservation: reservation.as_ref().and_then(Reservation::engine_name),
                    continues_stream: interrupted.is_some(),
                    resume_after: interrupted.as_ref().and_then(|stream| stream.last_event_id),
                };
                let started_at = app.now();
                // The permit is part of a reservation that an agent made.
                let permit = match reservation {
                    Some(Reservation::Agent) => Ok(()),
                    Some(Reservation::Engine(_)) | None => permits::acquire(app, server).await,
                };
                let run_result = match permit {
                    Ok(()) => {
                        let run = exchange::run(app, exchange, server, input);
                        with_timeout(step_timeout, run).await
                    }
                    Err(outcome) => Err(outcome),
                };
                last_failure = run_result.as_ref().err().copied();
                mark_used(&run_result, cache_guard, slot_guard.take());
                match record_run(app, call, exchange, server, started_at, run_result) {
                    RunEnd::Finished(result) => return result,
                    RunEnd::ServerFailed(response) => failure = Some(response),
                    RunEnd::NoResponse => {}
                }
            }
        }
    }
}

/// What a run leaves to do for the call.
enum RunEnd {
    /// The call is finished, or its stream begins.
    Finished(CallResult),
    /// The server failed; its response can be forwarded if no retry succeeds.
    ServerFailed(FailureResponse),
    /// There is no response that could be forwarded.
    NoResponse,
}

/// Marks the KV cache and the slot as used if the run has used them.
fn mark_used(
    run_result: &Result<ServerResponse, StepOutcome>,
    cache_guard: Option<&mut CacheGuard>,
    mut slot_guard: Option<SlotGuard>,
) {
    if let Some(cache) = cache_guard {
        if matches!(run_result, Err(StepOutcome::CacheUnavailable)) {
            cache
                .app
                .metrics
                .count_discarded_prefill("lapsed", cache.prompt_tokens);
        }
        cache.is_used |= matches!(
            run_result,
            Ok(_) | Err(StepOutcome::CacheUnavailable | StepOutcome::Failed)
        );
    }
    if let Some(slot) = &mut slot_guard {
        // A run that was sent has used the slot, or the server has released it.
        slot.is_used |= !matches!(
            run_result,
            Err(StepOutcome::Unreachable | StepOutcome::Limited | StepOutcome::CacheUnavailable)
        );
    }
}

/// Records the result of a run in the call.
fn record_run(
    app: &Rc<App>,
    call: &mut Call,
    exchange: &CallerExchange,
    server: ServerKey,
    started_at: TimeUs,
    run_result: Result<ServerResponse, StepOutcome>,
) -> RunEnd {
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    match run_result {
        Ok(ServerResponse::Buffered(response)) => {
            let status = Some(response.status);
            log_step(app, exchange, &serving, server, "run", status, started_at);
            call.run_answered(now, &mut serving, server);
            RunEnd::Finished(CallResult::Answered(response))
        }
        Ok(ServerResponse::Failed(response)) => {
            log_failure(app, exchange, &serving, server, "run", StepOutcome::Failed);
            call.run_failed(now, &mut serving, server, StepOutcome::Failed);
            RunEnd::ServerFailed(response)
        }
        Ok(ServerResponse::Streaming(response)) => {
            let status = Some(response.status);
            log_step(app, exchange, &serving, server, "run", status, started_at);
            RunEnd::Finished(CallResult::Streaming(response))
        }
        Err(outcome) => {
            log_failure(app, exchange, &serving, server, "run", outcome);
            call.run_failed(now, &mut serving, server, outcome);
            drop(serving);
            close_idle_if_unresponsive(app, server, outcome);
            if outcome == StepOutcome::Lost {
                let spec = call.spec();
                report_if_crashed(app, &spec.service, server, &spec.prompt_parts);
            }
            RunEnd::NoResponse
        }
    }
}

async fn reserve(
    app: &Rc<App>,
    call: &mut Call,
    exchange: &CallerExchange,
    server: ServerKey,
    requirements: engine_resources::SlotRequirements,
) -> Option<SlotGuard> {
    let reserved = engine_resources::reserve_slot(app, exchange, server, requirements).await;
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    match reserved {
        Ok(reservation) => {
            call.reserved(server, reservation.clone(), requirements.computes_prompt);
            Some(SlotGuard {
                app: Rc::clone(app),
                request: exchange.request.id.clone(),
                server,
                reservation,
                is_used: false,
            })
        }
        Err(outcome) => {
            // A full engine is queried again every few tens of ms; `log_wait` logs one line for all
            // these attempts.
            if outcome == StepOutcome::Rejected {
                app.metrics.count_step_failure("reserve", outcome);
            } else {
                log_failure(app, exchange, &serving, server, "reserve", outcome);
            }
            call.reserve_failed(now, &mut serving, server, outcome);
            drop(serving);
            close_idle_if_unresponsive(app, server, outcome);
            None
        }
    }
}

async fn prefill(
    app: &Rc<App>,
    call: &mut Call,
    exchange: &CallerExchange,
    server: ServerKey,
    step_timeout: DurationUs,
) -> Option<CacheGuard> {
    let started_at = app.now();
    let prefill_result = match permits::acquire(app, server).await {
        Ok(()) => {
            let prefill = exchange::prefill(app, exchange, server, call.spec().prefill_work());
            with_timeout(Some(step_timeout), prefill).await
        }
        Err(outcome) => Err(outcome),
    };
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    let location = serving
        .servers
        .get(server)
        .map(|server| (server.record.address, server.region.clone()));
    match (prefill_result, location) {
        (Ok(handle), Some((address, region))) => {
            let cache = CacheRef {
                server,
                region,
                handle,
            };
            call.prefill_done(now, &mut serving, cache.clone());
            log_step(app, exchange, &serving, server, "prefill", None, started_at);
            Some(CacheGuard {
                app: Rc::clone(app),
                cache,
                address,
                prompt_tokens: prompt_tokens(call),
                is_used: false,
            })
        }
        (prefill_result, _) => {
            let outcome = prefill_result.err().unwrap_or(StepOutcome::Lost);
            log_failure(app, exchange, &serving, server, "prefill", outcome);
            let is_refused = matches!(
                outcome,
                StepOutcome::Unreachable
                    | StepOutcome::Limited
                    | StepOutcome::Rejected
                    | StepOutcome::OtherIncarnation
            );
            if !is_refused {
                let tokens = prompt_tokens(call);
                app.metrics.count_discarded_prefill(outcome.into(), tokens);
            }
            call.prefill_failed(now, &mut serving, server, outcome);
            drop(serving);
            close_idle_if_unresponsive(app, server, outcome);
            None
        }
    }
}

fn prompt_tokens(call: &Call) -> Tokens {
    call.spec()
        .model
        .map_or(Tokens::ZERO, |model| model.prompt_tokens)
}

/// Limits a step to `step_timeout`. Dropping the step closes its connection, which cancels it at
/// the server.
async fn with_timeout<T>(
    step_timeout: Option<DurationUs>,
    step: impl Future<Output = Result<T, StepOutcome>>,
) -> Result<T, StepOutcome> {
    let Some(step_timeout) = step_timeout else {
        return step.await;
    };
    let ended = timeout(Duration::from(step_timeout), step).await;
    ended.unwrap_or(Err(StepOutcome::TimedOut))
}

/// Closes the idle connections to a server that could not be reached or did not respond in time,
/// since the state of all of them may be lost.
fn close_idle_if_unresponsive(app: &App, server: ServerKey, outcome: StepOutcome) {
    if matches!(outcome, StepOutcome::TimedOut | StepOutcome::Unreachable) {
        app.pool.borrow_mut().close_all(server);
    }
}

/// Logs one line for all engines without a free slot, with the most free memory that any of them
/// last reported.
fn log_wait(app: &App, call: &Call, exchange: &CallerExchange) {
    let now = app.now();
    let serving = app.serving.borrow();
    let service = &call.spec().service;
    let memories = serving
        .servers
        .of_service(service)
        .filter_map(|(_, server)| server.memory);
    let most_free = memories.max_by_key(|memory| memory.free_tokens);
    let counts = serving.server_counts(now, service);
    info!(app.log, "waiting for a free decode slot"; "request" => &exchange.request.id,
        "service" => %service, "full" => counts.full_count, "paused" => counts.paused_count,
        "usable" => counts.usable_count,
        "prompt_tokens" => call.spec().model.map(|model| model.prompt_tokens.0),
        "most_free_tokens" => most_free.map(|memory| memory.free_tokens.0),
        "known_for_ms" => most_free.map(|memory| now.since(memory.reported_at).as_ms()));
}

fn log_step(
    app: &App,
    exchange: &CallerExchange,
    serving: &cuminlead_direct_core::ServingState,
    server: ServerKey,
    step: &'static str,
    status: Option<StatusCode>,
    started_at: TimeUs,
) {
    let Some(server) = serving.servers.get(server) else {
        return;
    };
    info!(app.log, "step completed"; "request" => &exchange.request.id, "step" => step,
        "status" => status.map(|status| status.as_u16()), "server" => %server.record.id, "in_flight" => server.in_flight_count,
        "took_ms" => app.now().since(started_at).as_ms());
}

/// Counts a failed step and logs it with the local view of its server.
pub(crate) fn log_failure(
    app: &App,
    exchange: &CallerExchange,
    serving: &cuminlead_direct_core::ServingState,
    server: ServerKey,
    step: &'static str,
    outcome: StepOutcome,
) {
    app.metrics.count_step_failure(step, outcome);
    if outcome == StepOutcome::Limited {
        // Under load, each request may meet several servers without a permit.
        return;
    }
    let Some(server) = serving.servers.get(server) else {
        debug!(app.log, "step failed"; "request" => &exchange.request.id, "step" => step,
            "outcome" => %outcome);
        return;
    };
    info!(app.log, "step failed"; "request" => &exchange.request.id, "step" => step,
        "outcome" => %outcome, "server" => %server.record.id,
        "in_flight" => server.in_flight_count,
        "left_ms" => exchange.deadline.since(app.now()).as_ms(),
        "prompt_parts" => prompt_parts_field(exchange, outcome));
}

/// Prompt parts of a request whose connection was lost, which relate crashes of engines to the
/// requests that they were processing; `None` for other outcomes.
fn prompt_parts_field(exchange: &CallerExchange, outcome: StepOutcome) -> Option<String> {
    let parts = &exchange.request.prompt_parts;
    if outcome != StepOutcome::Lost || parts.is_empty() {
        return None;
    }
    let parts: Vec<_> = parts.iter().map(PromptPartId::as_str).collect();
    Some(parts.join(","))
}
