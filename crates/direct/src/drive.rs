//! Carries out the actions of a call until there is an answer for the caller.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminlead_direct_core::{Action, CacheRef, Call, Refusal, Reservation, ServerKey, StepOutcome};
use cuminlead_types::{DurationUs, TimeUs, Tokens};
use slog::{debug, info};
use tokio::time::{sleep, timeout};

use crate::app::App;
use crate::command;
use crate::exchange::{self, Answer, CallerExchange, HeldAnswer, PartialAnswer, RunInput};

/// How a call ended, or its stream began.
pub enum Driven {
    /// Whole answer of a server.
    Answered(HeldAnswer),
    /// First part of an answer.
    Streaming(Box<PartialAnswer>),
    /// No answer of a server.
    Refused(Refusal),
}

/// KV cache that waits for its decode; freed when it is dropped unused.
struct HeldCache {
    app: Rc<App>,
    cache: CacheRef,
    address: SocketAddr,
    prompt_tokens: Tokens,
    is_used: bool,
}

impl Drop for HeldCache {
    fn drop(&mut self) {
        if !self.is_used {
            self.app
                .metrics
                .count_wasted_prefill("unused", self.prompt_tokens);
            let (server, handle) = (self.cache.server, self.cache.handle.clone());
            tokio::task::spawn_local(command::release(Rc::clone(&self.app), server, handle));
        }
    }
}

/// Place that is held for a decode; given back when it is dropped unused.
struct HeldPlace {
    app: Rc<App>,
    request: String,
    server: ServerKey,
    reservation: Reservation,
    is_used: bool,
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        if !self.is_used {
            let request = std::mem::take(&mut self.request);
            let reservation = self.reservation.clone();
            let app = Rc::clone(&self.app);
            tokio::task::spawn_local(command::unreserve(app, request, self.server, reservation));
        }
    }
}

/// Drives a call; `resume_after` is the last event that the caller has of an interrupted stream.
pub async fn drive(
    app: &Rc<App>,
    call: &mut Call,
    exchange: &CallerExchange,
    resume_after: Option<&str>,
) -> Driven {
    let mut failure: Option<HeldAnswer> = None;
    let mut held: Option<HeldCache> = None;
    let mut place: Option<HeldPlace> = None;
    let mut last_failure: Option<StepOutcome> = None;
    loop {
        let action = call.next(app.now(), &mut app.serving.borrow_mut());
        match action {
            Action::Refuse(refusal) => return Driven::Refused(refusal),
            Action::Deliver => {
                if let Some(failure) = failure {
                    return Driven::Answered(failure);
                }
                return Driven::Refused(call.timed_out());
            }
            Action::Wait(pause) => {
                if call.waits_count() == 1 {
                    log_wait(app, call, exchange);
                }
                // The call has given up a place that it held.
                place = None;
                sleep(pause.into()).await;
            }
            Action::Reserve {
                server,
                model,
                ttl,
                is_late,
                computes_prompt,
            } => {
                let need = command::PlaceNeed {
                    model,
                    ttl,
                    is_late,
                    computes_prompt,
                };
                // A place at another server is given back before a new one is asked for; one at the
                // same server is replaced by the new one.
                if let Some(held) = &mut place {
                    held.is_used |= held.server == server && held.reservation == Reservation::Agent;
                }
                drop(place.take());
                place = reserve(app, call, exchange, server, need).await;
            }
            Action::Prefill {
                server,
                timeout: time_max,
            } => held = prefill(app, call, exchange, server, time_max).await,
            Action::Run {
                server,
                cache,
                reservation,
                timeout: time_max,
            } => {
                if let Some(outcome) = last_failure {
                    app.metrics.count_retry(outcome);
                }
                let held = held.as_mut().filter(|_| cache.is_some());
                let input = RunInput {
                    cache: held
                        .as_ref()
                        .map(|held| (held.address, held.cache.handle.as_str())),
                    reservation: reservation.as_ref().and_then(Reservation::engine_name),
                    resume_after,
                };
                let began = app.now();
                let ran = within(time_max, exchange::run(app, exchange, server, input)).await;
                last_failure = ran.as_ref().err().copied();
                settle(&ran, held, place.take());
                match take_run(app, call, exchange, server, began, ran) {
                    RunEnd::Driven(driven) => return driven,
                    RunEnd::Failure(answer) => failure = Some(answer),
                    RunEnd::Nothing => {}
                }
            }
        }
    }
}

/// What a run leaves for the call.
enum RunEnd {
    /// The call has ended, or its stream begins.
    Driven(Driven),
    /// Failure of a server that can be passed on.
    Failure(HeldAnswer),
    /// Nothing that can be passed on.
    Nothing,
}

/// Notes whether a run has used the cache and the place that were held for it.
fn settle(
    ran: &Result<Answer, StepOutcome>,
    held: Option<&mut HeldCache>,
    mut place: Option<HeldPlace>,
) {
    if let Some(held) = held {
        if matches!(ran, Err(StepOutcome::CacheGone)) {
            held.app
                .metrics
                .count_wasted_prefill("lapsed", held.prompt_tokens);
        }
        held.is_used |= matches!(ran, Ok(_) | Err(StepOutcome::CacheGone));
    }
    if let Some(place) = &mut place {
        // A run that was sent has used the place, or the server has dropped it.
        place.is_used |= !matches!(ran, Err(StepOutcome::Unreachable | StepOutcome::CacheGone));
    }
}

/// Tells the call what became of a run.
fn take_run(
    app: &App,
    call: &mut Call,
    exchange: &CallerExchange,
    server: ServerKey,
    began: TimeUs,
    ran: Result<Answer, StepOutcome>,
) -> RunEnd {
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    match ran {
        Ok(Answer::Whole(answer)) if !answer.is_failure => {
            log_step(app, exchange, &serving, server, "run", began);
            call.run_answered(now, &mut serving, server);
            RunEnd::Driven(Driven::Answered(answer))
        }
        Ok(Answer::Whole(answer)) => {
            log_failure(app, exchange, &serving, server, "run", StepOutcome::Failed);
            call.run_failed(now, &mut serving, server, StepOutcome::Failed);
            RunEnd::Failure(answer)
        }
        Ok(Answer::Parts(answer)) => {
            log_step(app, exchange, &serving, server, "run", began);
            RunEnd::Driven(Driven::Streaming(Box::new(answer)))
        }
        Err(outcome) => {
            log_failure(app, exchange, &serving, server, "run", outcome);
            call.run_failed(now, &mut serving, server, outcome);
            drop(serving);
            after_failure(app, server, outcome);
            RunEnd::Nothing
        }
    }
}

async fn reserve(
    app: &Rc<App>,
    call: &mut Call,
    exchange: &CallerExchange,
    server: ServerKey,
    need: command::PlaceNeed,
) -> Option<HeldPlace> {
    let reserved = command::reserve(app, exchange, server, need).await;
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    match reserved {
        Ok(reservation) => {
            call.reserved(server, reservation.clone(), need.computes_prompt);
            Some(HeldPlace {
                app: Rc::clone(app),
                request: exchange.request.id.clone(),
                server,
                reservation,
                is_used: false,
            })
        }
        Err(outcome) => {
            // A full engine is asked again every few ten ms; the wait has one line for all.
            if outcome == StepOutcome::Rejected {
                app.metrics.count_step_failure("reserve", outcome);
            } else {
                log_failure(app, exchange, &serving, server, "reserve", outcome);
            }
            call.reserve_failed(now, &mut serving, server, outcome);
            drop(serving);
            after_failure(app, server, outcome);
            None
        }
    }
}

async fn prefill(
    app: &Rc<App>,
    call: &mut Call,
    exchange: &CallerExchange,
    server: ServerKey,
    time_max: DurationUs,
) -> Option<HeldCache> {
    let began = app.now();
    let computed = within(Some(time_max), exchange::prefill(app, exchange, server)).await;
    let now = app.now();
    let mut serving = app.serving.borrow_mut();
    let place = serving
        .servers
        .get(server)
        .map(|server| (server.record.address, server.region.clone()));
    match (computed, place) {
        (Ok(handle), Some((address, region))) => {
            let cache = CacheRef {
                server,
                region,
                handle,
            };
            call.prefill_done(now, &mut serving, cache.clone());
            log_step(app, exchange, &serving, server, "prefill", began);
            Some(HeldCache {
                app: Rc::clone(app),
                cache,
                address,
                prompt_tokens: prompt_tokens(call),
                is_used: false,
            })
        }
        (computed, _) => {
            let outcome = computed.err().unwrap_or(StepOutcome::Lost);
            log_failure(app, exchange, &serving, server, "prefill", outcome);
            let is_refused = matches!(
                outcome,
                StepOutcome::Unreachable | StepOutcome::Rejected | StepOutcome::OtherIncarnation
            );
            if !is_refused {
                let tokens = prompt_tokens(call);
                app.metrics.count_wasted_prefill(outcome.into(), tokens);
            }
            call.prefill_failed(now, &mut serving, server, outcome);
            drop(serving);
            after_failure(app, server, outcome);
            None
        }
    }
}

fn prompt_tokens(call: &Call) -> Tokens {
    call.spec()
        .model
        .map_or(Tokens::ZERO, |model| model.prompt_tokens)
}

/// Runs a step for at most `time_max`; dropping it closes its connection, which cancels it at the
/// server.
async fn within<T>(
    time_max: Option<DurationUs>,
    step: impl Future<Output = Result<T, StepOutcome>>,
) -> Result<T, StepOutcome> {
    let Some(time_max) = time_max else {
        return step.await;
    };
    let ended = timeout(Duration::from(time_max), step).await;
    ended.unwrap_or(Err(StepOutcome::TimedOut))
}

/// A server that did not answer may have lost track of all its connections.
fn after_failure(app: &App, server: ServerKey, outcome: StepOutcome) {
    if matches!(outcome, StepOutcome::TimedOut | StepOutcome::Unreachable) {
        app.pool.borrow_mut().forget(server);
    }
}

/// One line for all engines that have no room, with what the fullest and the emptiest said.
fn log_wait(app: &App, call: &Call, exchange: &CallerExchange) {
    let now = app.now();
    let serving = app.serving.borrow();
    let service = &call.spec().service;
    let memories = serving
        .servers
        .of_service(service)
        .filter_map(|(_, server)| server.memory);
    let newest = memories.max_by_key(|memory| memory.free_tokens);
    let counts = serving.server_counts(now, service);
    info!(app.log, "waits for a place"; "request" => &exchange.request.id, "service" => %service,
        "full" => counts.full_count, "paused" => counts.paused_count,
        "usable" => counts.usable_count,
        "prompt_tokens" => call.spec().model.map(|model| model.prompt_tokens.0),
        "most_free_tokens" => newest.map(|memory| memory.free_tokens.0),
        "known_for_ms" => newest.map(|memory| now.since(memory.known_at).as_ms()));
}

fn log_step(
    app: &App,
    exchange: &CallerExchange,
    serving: &cuminlead_direct_core::ServingState,
    server: ServerKey,
    step: &'static str,
    began: TimeUs,
) {
    let Some(server) = serving.servers.get(server) else {
        return;
    };
    info!(app.log, "step done"; "request" => &exchange.request.id, "step" => step,
        "server" => %server.record.id, "in_flight" => server.in_flight_count,
        "took_ms" => app.now().since(began).as_ms());
}

/// One line for a step that failed, with what was known of its server.
pub(crate) fn log_failure(
    app: &App,
    exchange: &CallerExchange,
    serving: &cuminlead_direct_core::ServingState,
    server: ServerKey,
    step: &'static str,
    outcome: StepOutcome,
) {
    app.metrics.count_step_failure(step, outcome);
    let Some(server) = serving.servers.get(server) else {
        debug!(app.log, "step failed"; "request" => &exchange.request.id, "step" => step,
            "outcome" => %outcome);
        return;
    };
    info!(app.log, "step failed"; "request" => &exchange.request.id, "step" => step,
        "outcome" => %outcome, "server" => %server.record.id,
        "in_flight" => server.in_flight_count,
        "left_ms" => exchange.deadline.since(app.now()).as_ms());
}
