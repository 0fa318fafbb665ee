//! Drives a call with a script and renders its actions as text.
//!
//! A script is a list of steps separated by `;`. Each step delivers one event:
//!
//! | step | event |
//! |---|---|
//! | `start` | the request was accepted |
//! | `wait MS` | the clock advances by MS ms, then `Deadline` |
//! | `disconnect` | the caller disconnected |
//! | `pair DECODE PREFILL [REGION]`, `prefill SERVER`, `service SERVER` | servers were chosen |
//! | `noroute`, `nobudget` | no usable server; the retry budget is used up |
//! | `imported STREAM`, `heartbeat STREAM` | the KV cache was imported; heartbeat |
//! | `chunk STREAM ATTEMPT SEQUENCE [stop]` | output; `stop` marks the last chunk |
//! | `stream_failed STREAM FAILURE` | the agent reported a failure on the stream |
//! | `stream_lost STREAM EVIDENCE` | the stream was lost |
//! | `lost SEND`, `noconn SEND` | the connection ended after sending; no connection was made |
//! | any other word with a `SEND` | the agent's reply to that message |
//!
//! `SEND` and `STREAM` are the numbers that the call gave to its messages and streams. `inc=N` sets
//! the agent's incarnation. `expired` on `reserved` grants a lease with no time left.
//!
//! Rendered messages read `NAME#SEND SERVER/ATTEMPT`, opened streams `start@SEQUENCE#STREAM
//! SERVER/ATTEMPT` or `resume@..`, each followed by `fresh` when a new connection is required.
//! Route requests read `pair?`, `prefill?` or `service?`, followed by `not[EXCLUDED]`.
// Each test executable uses only a part of this module.
#![allow(dead_code)]

use std::fmt::Debug;
use std::str::FromStr;

use cuminlead_entry_core::{
    ApplicationCall, ApplicationRequest, Call, CallAction, CallConfig, CallEvent, CallStreamRef,
    ModelCall, ModelRequest, SendOutcome, SendRef,
};
use cuminlead_protocol::*;
use cuminlead_retry::Evidence;
use cuminlead_routing::{NoRoute, Route, RouteKind};
use cuminlead_types::*;

/// Incarnation of agents unless a step sets another with `inc=N`.
pub(crate) const INCARNATION: Incarnation = Incarnation(7);

pub(crate) fn parse<T: FromStr>(text: &str) -> T
where
    T::Err: Debug,
{
    text.parse().expect("valid text in a script")
}

pub(crate) fn model_request() -> ModelRequest {
    ModelRequest {
        id: RequestId(1),
        prompt: "p".repeat(400),
        output_max_tokens: Tokens(10),
        first_token_us: DurationUs::from_ms(2_000),
        ..ModelRequest::default()
    }
}

pub(crate) fn application_request(is_idempotent: bool, key: Option<&str>) -> ApplicationRequest {
    ApplicationRequest {
        id: RequestId(2),
        is_idempotent,
        key: key.map(parse),
        ..ApplicationRequest::default()
    }
}

/// A call and its simulated clock.
pub(crate) struct Driver {
    pub(crate) call: Box<dyn Call>,
    pub(crate) now: TimeUs,
}

impl Driver {
    pub(crate) fn new(call: Box<dyn Call>) -> Self {
        let now = TimeUs(1_000_000);
        Self { call, now }
    }

    pub(crate) fn model(config: CallConfig) -> Self {
        Self::new(Box::new(ModelCall::new(config, model_request())))
    }

    pub(crate) fn application(is_idempotent: bool, key: Option<&str>) -> Self {
        let request = application_request(is_idempotent, key);
        Self::new(Box::new(ApplicationCall::new(
            CallConfig::default(),
            request,
        )))
    }

    pub(crate) fn handle(&mut self, event: CallEvent) -> Vec<CallAction> {
        let mut actions = Vec::new();
        self.call.handle(self.now, event, &mut actions);
        actions
    }

    /// Runs all steps and returns the rendered actions of the last one.
    pub(crate) fn run(&mut self, script: &str) -> String {
        let mut last = Vec::new();
        for step in script.split(';') {
            let words: Vec<&str> = step.split_whitespace().collect();
            if words[0] == "wait" {
                self.now = self.now + DurationUs::from_ms(parse(words[1]));
            }
            last = self.handle(event(&words));
        }
        render(&last)
    }
}

fn state(words: &[&str]) -> AgentState {
    let incarnation = words
        .iter()
        .find_map(|word| word.strip_prefix("inc="))
        .map_or(INCARNATION, parse);
    AgentState {
        incarnation,
        ..AgentState::default()
    }
}

pub(crate) fn event(words: &[&str]) -> CallEvent {
    match words[0] {
        "start" => CallEvent::Start,
        "wait" => CallEvent::Deadline,
        "disconnect" => CallEvent::CallerDisconnected,
        "pair" => CallEvent::Routed(Ok(Route::Pair {
            region: parse(words.get(3).unwrap_or(&"r")),
            decode: parse(words[1]),
            prefill: parse(words[2]),
        })),
        "prefill" => CallEvent::Routed(Ok(Route::Prefill(parse(words[1])))),
        "service" => CallEvent::Routed(Ok(Route::Service(parse(words[1])))),
        "noroute" => CallEvent::Routed(Err(NoRoute::NoServer)),
        "nobudget" => CallEvent::Routed(Err(NoRoute::RetryBudget)),
        "quarantined" => CallEvent::Routed(Err(NoRoute::Quarantined)),
        "imported" | "chunk" | "heartbeat" | "stream_failed" => CallEvent::Stream {
            stream: CallStreamRef(parse(words[1])),
            event: stream_event(words),
        },
        "stream_lost" => CallEvent::StreamLost {
            stream: CallStreamRef(parse(words[1])),
            evidence: parse(words[2]),
        },
        _ => CallEvent::Reply {
            send: SendRef(parse(words[1])),
            outcome: outcome(words),
        },
    }
}

fn stream_event(words: &[&str]) -> DecodeEvent {
    match words[0] {
        "imported" => DecodeEvent::Imported(state(words)),
        "heartbeat" => DecodeEvent::Heartbeat(state(words)),
        "stream_failed" => DecodeEvent::Failed {
            state: state(words),
            failure: failure(words[2]),
        },
        _ => DecodeEvent::Chunk(Chunk {
            id: AttemptId {
                request: RequestId(1),
                attempt: parse(words[2]),
            },
            incarnation: state(words).incarnation,
            sequence: parse(words[3]),
            text: "word".to_string(),
            tokens: Tokens(1),
            finish: words.contains(&"stop").then_some(FinishReason::Stop),
        }),
    }
}

fn failure(word: &str) -> AgentFailure {
    match word {
        "engine" => AgentFailure::EngineFailed,
        "transfer" => AgentFailure::TransferFailed,
        "cancelled" => AgentFailure::Cancelled,
        "unknown" => AgentFailure::OutcomeUnknown,
        "service" => AgentFailure::ServiceFailed,
        reason => AgentFailure::Refused(parse(reason)),
    }
}

fn outcome(words: &[&str]) -> SendOutcome {
    let body = match words[0] {
        "lost" => return SendOutcome::Lost,
        "noconn" => return SendOutcome::ConnectFailed,
        "reserved" => ReplyBody::Reserved(Reserved {
            expires_in_us: DurationUs::from_ms(if words.contains(&"expired") { 0 } else { 8_000 }),
        }),
        "prefilled" => ReplyBody::Prefilled(Prefilled {
            prompt_tokens: Tokens(100),
            retained_for_us: DurationUs::from_ms(10_000),
            ..Prefilled::default()
        }),
        "released" => ReplyBody::Released,
        "failed" => ReplyBody::Failed(failure(words[2])),
        "permit" => ReplyBody::PermitIssued(PermitIssued {
            permit: PermitId {
                incarnation: INCARNATION,
                number: parse(words[2]),
            },
            expires_in_us: DurationUs::from_ms(2_000),
        }),
        "replayed" => ReplyBody::KeyReplayed(HttpResponse::default()),
        "keyrunning" => ReplyBody::KeyRunning,
        "keyunknown" => ReplyBody::KeyUnknown,
        "done" => ReplyBody::CallDone(HttpResponse::default()),
        "voided" => ReplyBody::PermitOutcome(PermitOutcome::Voided),
        "running" => ReplyBody::PermitOutcome(PermitOutcome::Running),
        "answered" => ReplyBody::PermitOutcome(PermitOutcome::Done(HttpResponse::default())),
        "unknown" => ReplyBody::PermitOutcome(PermitOutcome::Unknown),
        other => panic!("unknown step {other}"),
    };
    SendOutcome::Reply(Box::new(AgentReply {
        state: state(words),
        body,
    }))
}

/// Renders actions as text, separated by `; `.
pub(crate) fn render(actions: &[CallAction]) -> String {
    let texts: Vec<String> = actions.iter().map(render_action).collect();
    texts.join("; ")
}

fn render_action(action: &CallAction) -> String {
    match action {
        CallAction::Route(route) => render_route(&route.kind, &route.excluded),
        CallAction::Send {
            send,
            server,
            request,
            use_new_connection,
        } => {
            let attempt = request.envelope().id.attempt;
            format!(
                "{request}#{} {server}/{attempt}{}",
                send.0,
                mark(*use_new_connection)
            )
        }
        CallAction::OpenStream {
            stream,
            server,
            open,
            use_new_connection,
        } => format!(
            "{}#{} {server}/{}{}",
            render_mode(&open.mode),
            stream.0,
            open.envelope.id.attempt,
            mark(*use_new_connection)
        ),
        CallAction::Control { stream, control } => match control {
            DecodeControl::Acknowledge(next) => format!("ack#{} {next}", stream.0),
            DecodeControl::Cancel => format!("cancel#{}", stream.0),
        },
        CallAction::CloseStream { stream } => format!("close#{}", stream.0),
        CallAction::Stalled { server, since, .. } => format!("stalled {server} {since:?}"),
        CallAction::Deliver(delivery) => {
            let end = if delivery.finish.is_some() {
                " end"
            } else {
                ""
            };
            format!("deliver {}{end}", delivery.sequence)
        }
        CallAction::Respond(_) => "respond".to_string(),
        CallAction::Fail(error) => format!("fail {} {}", error.outcome, error.code),
        CallAction::Report { server, evidence } => {
            let text = evidence.map_or("ok".to_string(), |e: Evidence| e.to_string());
            format!("report {server} {text}")
        }
        CallAction::OutputGenerated { .. } => "generated".to_string(),
        CallAction::WastedPrefill { tokens, cause } => format!("wasted {tokens} {cause}"),
        CallAction::Retried { evidence, .. } => format!("retried {evidence}"),
    }
}

fn render_route(kind: &RouteKind, excluded: &[BackendServerId]) -> String {
    let name = match kind {
        RouteKind::Pair(_) => "pair?",
        RouteKind::Prefill { .. } => "prefill?",
        RouteKind::Service { .. } => "service?",
    };
    let excluded: Vec<&str> = excluded.iter().map(BackendServerId::as_str).collect();
    format!("{name} not[{}]", excluded.join(","))
}

fn render_mode(mode: &DecodeMode) -> String {
    match mode {
        DecodeMode::Start(start) => format!("start@{}", start.first_sequence),
        DecodeMode::Resume(resume) => format!("resume@{}", resume.next_sequence),
    }
}

fn mark(use_new_connection: bool) -> &'static str {
    if use_new_connection { " fresh" } else { "" }
}
