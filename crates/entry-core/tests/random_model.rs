//! Random replies, losses, and late or mismatched events against a model call.
//!
//! The simulation answers messages as agents do: it grants, refuses and releases resources, and it
//! remembers released attempts. Replies may arrive in any order, late or twice.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{INCARNATION, model_request, parse};
use cuminlead_entry_core::{
    Call, CallAction, CallConfig, CallEvent, CallStreamRef, ModelCall, SendOutcome, SendRef,
};
use cuminlead_protocol::*;
use cuminlead_retry::Evidence;
use cuminlead_routing::{NoRoute, Route, RouteKind};
use cuminlead_types::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Server and attempt that a grant or release is about.
type AttemptAtServer = (BackendServerId, Attempt);

#[derive(Clone, Debug)]
struct Op {
    code: u8,
    pick: usize,
}

#[derive(Clone, Debug)]
struct Message {
    send: SendRef,
    server: BackendServerId,
    request: AgentRequest,
}

#[derive(Debug)]
struct Simulation {
    call: ModelCall,
    now: TimeUs,
    deadline: TimeUs,
    route: Option<RouteKind>,
    messages: Vec<Message>,
    replies: Vec<(Message, ReplyBody)>,
    delivered_replies: Vec<(Message, ReplyBody)>,
    released: BTreeSet<AttemptAtServer>,
    /// Number of the event that last delivered the grant to the call.
    granted_at: BTreeMap<AttemptAtServer, usize>,
    /// Number of the event on which the call last sent the release.
    released_at: BTreeMap<AttemptAtServer, usize>,
    step: usize,
    streams: Vec<(CallStreamRef, AttemptAtServer)>,
    open: Option<CallStreamRef>,
    next_sequence: SequenceNumber,
    completion_count: u32,
    finished_by: Option<AttemptAtServer>,
    is_disconnected: bool,
}

impl Simulation {
    fn new(config: CallConfig) -> Self {
        let now = TimeUs(1_000_000);
        let deadline = now + config.request_max_us;
        Self {
            call: ModelCall::new(config, model_request()),
            now,
            deadline,
            route: None,
            messages: Vec::new(),
            replies: Vec::new(),
            delivered_replies: Vec::new(),
            released: BTreeSet::new(),
            granted_at: BTreeMap::new(),
            released_at: BTreeMap::new(),
            step: 0,
            streams: Vec::new(),
            open: None,
            next_sequence: SequenceNumber::ZERO,
            completion_count: 0,
            finished_by: None,
            is_disconnected: false,
        }
    }

    fn handle(&mut self, event: CallEvent) {
        let mut actions = Vec::new();
        let is_deadline = matches!(event, CallEvent::Deadline);
        self.step += 1;
        self.call.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(action);
        }
        if is_deadline {
            let next = self.call.next_deadline();
            assert!(
                next.is_none_or(|at| at > self.now),
                "deadline is in the past"
            );
        }
    }

    fn execute(&mut self, action: CallAction) {
        let has_ended =
            self.completion_count > 0 || self.is_disconnected || self.now >= self.deadline;
        match action {
            CallAction::Route(route) => {
                assert!(!has_ended, "route after the end");
                self.route = Some(route.kind);
            }
            CallAction::Send {
                send,
                server,
                request,
                ..
            } => {
                let attempt_at_server = (server.clone(), request.envelope().id.attempt);
                if let AgentRequest::Release(_) = request {
                    self.released_at.insert(attempt_at_server, self.step);
                } else {
                    assert!(!has_ended, "message after the end");
                    assert!(
                        !self.released_at.contains_key(&attempt_at_server),
                        "message for a released attempt"
                    );
                }
                self.messages.push(Message {
                    send,
                    server,
                    request,
                });
            }
            CallAction::OpenStream {
                stream,
                server,
                open,
                ..
            } => {
                assert!(
                    !has_ended && self.open.is_none(),
                    "stream opened after the end or beside an open one"
                );
                self.open = Some(stream);
                self.streams
                    .push((stream, (server, open.envelope.id.attempt)));
            }
            CallAction::Control { stream, .. } => assert_eq!(self.open, Some(stream)),
            CallAction::CloseStream { stream } => assert_eq!(self.open.take(), Some(stream)),
            CallAction::Deliver(delivery) => {
                assert!(
                    self.completion_count == 0 && !self.is_disconnected,
                    "delivery after the end"
                );
                assert_eq!(delivery.sequence, self.next_sequence);
                assert_ne!(delivery.text, "wrong");
                self.next_sequence = self.next_sequence.next();
                if delivery.finish.is_some() {
                    self.completion_count += 1;
                    self.finished_by = self
                        .streams
                        .last()
                        .map(|(_, attempt_at_server)| attempt_at_server.clone());
                }
            }
            CallAction::Fail(_) => {
                assert!(!self.is_disconnected, "error after the caller disconnected");
                self.completion_count += 1;
            }
            _ => {}
        }
        assert!(self.completion_count <= 1, "the call ended twice");
    }

    fn run_op(&mut self, op: &Op) {
        match op.code {
            0 => self.advance_clock(op.pick % 3_000),
            1 if op.pick.is_multiple_of(8) => self.advance_clock(op.pick * 2),
            2 | 3 => self.deliver_route(op.pick),
            4..=6 => self.process(op.pick),
            7..=9 => self.deliver(op.pick),
            10 => self.lose_message(op.pick),
            11 => self.repeat_reply(op.pick),
            12..=17 => self.stream_event(op.pick),
            18 => self.lose_stream(op.pick),
            19 if op.pick.is_multiple_of(16) => {
                self.is_disconnected |= self.completion_count == 0;
                self.handle(CallEvent::CallerDisconnected);
            }
            _ => {}
        }
    }

    fn advance_clock(&mut self, ms: usize) {
        self.now = self.now + DurationUs::from_ms(ms as u64);
        if self.call.next_deadline().is_some_and(|at| at <= self.now) {
            self.handle(CallEvent::Deadline);
        }
    }

    fn deliver_route(&mut self, pick: usize) {
        let Some(kind) = self.route.take() else {
            return;
        };
        let decode = parse(["d", "e", "f"][pick % 3]);
        let prefill = parse(["p", "q", "r"][pick / 3 % 3]);
        let region = parse(if pick.is_multiple_of(5) { "r2" } else { "r" });
        let result = match (pick / 9 % 8, kind) {
            (0, _) => Err(NoRoute::NoServer),
            (1, _) => Err(NoRoute::RetryBudget),
            (_, RouteKind::Pair(_)) => Ok(Route::Pair {
                region,
                decode,
                prefill,
            }),
            _ => Ok(Route::Prefill(prefill)),
        };
        self.handle(CallEvent::Routed(result));
    }

    /// Lets an agent handle a message; its reply is delivered later.
    fn process(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(pick % self.messages.len());
        let attempt_at_server = attempt_at_server(&message);
        let is_refused = (pick / 16).is_multiple_of(5);
        let body = match &message.request {
            AgentRequest::Release(_) => {
                self.released.insert(attempt_at_server);
                ReplyBody::Released
            }
            _ if self.released.contains(&attempt_at_server) => {
                ReplyBody::Failed(AgentFailure::Cancelled)
            }
            _ if is_refused => ReplyBody::Failed(AgentFailure::Refused(RefusalReason::QueueFull)),
            AgentRequest::Reserve(_) => ReplyBody::Reserved(Reserved {
                expires_in_us: DurationUs::from_ms(if pick.is_multiple_of(3) { 0 } else { 8_000 }),
            }),
            _ => ReplyBody::Prefilled(Prefilled {
                prompt_tokens: Tokens(100),
                retained_for_us: DurationUs::from_ms(10_000),
                ..Prefilled::default()
            }),
        };
        self.replies.push((message, body));
    }

    fn deliver(&mut self, pick: usize) {
        if self.replies.is_empty() {
            return;
        }
        let (message, body) = self.replies.remove(pick % self.replies.len());
        if matches!(body, ReplyBody::Reserved(_) | ReplyBody::Prefilled(_)) {
            self.granted_at
                .insert(attempt_at_server(&message), self.step);
        }
        self.delivered_replies.push((message.clone(), body.clone()));
        self.reply(message.send, reply(body));
    }

    fn reply(&mut self, send: SendRef, outcome: SendOutcome) {
        self.handle(CallEvent::Reply { send, outcome });
    }

    /// Loses a message on its way to the agent, or its reply.
    fn lose_message(&mut self, pick: usize) {
        if pick.is_multiple_of(2) && !self.replies.is_empty() {
            let (message, _) = self.replies.remove(pick / 2 % self.replies.len());
            self.reply(message.send, SendOutcome::Lost);
        } else if !self.messages.is_empty() {
            let message = self.messages.remove(pick / 2 % self.messages.len());
            let outcome = if pick.is_multiple_of(3) {
                SendOutcome::Lost
            } else {
                SendOutcome::ConnectFailed
            };
            self.reply(message.send, outcome);
        }
    }

    /// Delivers a reply a second time.
    fn repeat_reply(&mut self, pick: usize) {
        if self.delivered_replies.is_empty() {
            return;
        }
        let (message, body) = self.delivered_replies[pick % self.delivered_replies.len()].clone();
        self.reply(message.send, reply(body));
    }

    /// Delivers mostly what the current stream would send next, and sometimes an arbitrary event on
    /// any stream.
    fn stream_event(&mut self, pick: usize) {
        if self.streams.is_empty() {
            return;
        }
        let is_arbitrary = pick.is_multiple_of(7);
        let index = if is_arbitrary {
            pick % self.streams.len()
        } else {
            self.streams.len() - 1
        };
        let (stream, (_, attempt)) = self.streams[index].clone();
        let incarnation = if pick.is_multiple_of(29) {
            Incarnation(8)
        } else {
            INCARNATION
        };
        let state = AgentState {
            incarnation,
            ..AgentState::default()
        };
        let skip = if is_arbitrary {
            (pick / 7 % 4) as u64
        } else {
            1
        };
        let is_mismatched = pick.is_multiple_of(14);
        let attempt = if is_mismatched {
            attempt.next()
        } else {
            attempt
        };
        let text = if is_mismatched { "wrong" } else { "word" };
        let event = match pick / 3 % 12 {
            0 => DecodeEvent::Imported(state),
            1 => DecodeEvent::Heartbeat(state),
            2 => DecodeEvent::Failed {
                state,
                failure: failure(pick / 36),
            },
            _ => DecodeEvent::Chunk(Chunk {
                id: AttemptId {
                    request: RequestId(1),
                    attempt,
                },
                incarnation,
                sequence: SequenceNumber((self.next_sequence.get() + skip).saturating_sub(1)),
                text: text.to_string(),
                tokens: Tokens(1),
                finish: (pick / 36).is_multiple_of(6).then_some(FinishReason::Stop),
            }),
        };
        self.handle(CallEvent::Stream { stream, event });
    }

    fn lose_stream(&mut self, pick: usize) {
        if self.streams.is_empty() {
            return;
        }
        let (stream, _) = self.streams[pick % self.streams.len()];
        let evidence = if pick.is_multiple_of(3) {
            Evidence::ConnectFailed
        } else {
            Evidence::Unresponsive
        };
        self.handle(CallEvent::StreamLost { stream, evidence });
    }

    /// Delivers every message and advances the clock until the call has ended.
    fn drain(&mut self) {
        for _ in 0..2_000 {
            if self.call.is_ended() {
                return;
            }
            if self.route.is_some() {
                self.deliver_route(18);
            } else if !self.messages.is_empty() {
                self.process(18);
            } else if !self.replies.is_empty() {
                self.deliver(0);
            } else {
                let at = self
                    .call
                    .next_deadline()
                    .expect("a call that waits has a deadline");
                self.now = self.now.max(at);
                self.handle(CallEvent::Deadline);
            }
        }
        panic!("the call does not end: {:?}", self.call);
    }

    fn check_final_state(&self) {
        assert_eq!(self.completion_count, u32::from(!self.is_disconnected));
        assert_eq!(self.open, None);
        for (attempt_at_server, granted_at) in &self.granted_at {
            let released_at = self.released_at.get(attempt_at_server);
            let is_released = released_at.is_some_and(|at| at > granted_at);
            let is_finished = self.finished_by.as_ref() == Some(attempt_at_server);
            assert!(
                is_released || is_finished,
                "{attempt_at_server:?} was not released"
            );
        }
    }
}

fn attempt_at_server(message: &Message) -> AttemptAtServer {
    (
        message.server.clone(),
        message.request.envelope().id.attempt,
    )
}

fn reply(body: ReplyBody) -> SendOutcome {
    let state = AgentState {
        incarnation: INCARNATION,
        ..AgentState::default()
    };
    SendOutcome::Reply(Box::new(AgentReply { state, body }))
}

fn failure(pick: usize) -> AgentFailure {
    match pick % 4 {
        0 => AgentFailure::EngineFailed,
        1 => AgentFailure::TransferFailed,
        2 => AgentFailure::Refused(RefusalReason::NoSuchLease),
        _ => AgentFailure::Cancelled,
    }
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = (0_u8..20, any::<u16>()).prop_map(|(code, pick)| Op {
        code,
        pick: usize::from(pick),
    });
    proptest::collection::vec(op, 0..400)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever the order of replies, losses and pauses: a call must end once, the output must have
    /// no gap or repeat, no work must start after the end, and every grant must be released.
    #[test]
    fn upholds_invariants(ops in ops(), prefill_first in any::<bool>()) {
        let config = CallConfig { prefill_first, ..CallConfig::default() };
        let mut simulation = Simulation::new(config);
        simulation.handle(CallEvent::Start);
        for op in &ops {
            simulation.run_op(op);
        }
        simulation.drain();
        simulation.check_final_state();
    }
}
