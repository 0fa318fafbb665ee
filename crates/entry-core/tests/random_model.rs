//! Random replies, losses, late and crossed events against a model call.
//!
//! The world below answers messages as agents do: it grants, refuses and releases, and it remembers
//! released attempts. Replies may come in any order, late or twice.

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
type Place = (BackendServerId, Attempt);

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
struct World {
    call: ModelCall,
    now: TimeUs,
    ends_at: TimeUs,
    route: Option<RouteKind>,
    messages: Vec<Message>,
    replies: Vec<(Message, ReplyBody)>,
    answered: Vec<(Message, ReplyBody)>,
    released: BTreeSet<Place>,
    /// Number of the step that last told the call of a grant, or that sent its release.
    granted_at: BTreeMap<Place, usize>,
    released_at: BTreeMap<Place, usize>,
    step: usize,
    streams: Vec<(CallStreamRef, Place)>,
    open: Option<CallStreamRef>,
    next: SequenceNumber,
    ending_count: u32,
    finished_at: Option<Place>,
    is_gone: bool,
}

impl World {
    fn new(config: CallConfig) -> Self {
        let now = TimeUs(1_000_000);
        let ends_at = now + config.request_max_us;
        Self {
            call: ModelCall::new(config, model_request()),
            now,
            ends_at,
            route: None,
            messages: Vec::new(),
            replies: Vec::new(),
            answered: Vec::new(),
            released: BTreeSet::new(),
            granted_at: BTreeMap::new(),
            released_at: BTreeMap::new(),
            step: 0,
            streams: Vec::new(),
            open: None,
            next: SequenceNumber::ZERO,
            ending_count: 0,
            finished_at: None,
            is_gone: false,
        }
    }

    fn handle(&mut self, event: CallEvent) {
        let mut actions = Vec::new();
        let is_deadline = matches!(event, CallEvent::Deadline);
        self.step += 1;
        self.call.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
        if is_deadline {
            let next = self.call.next_deadline();
            assert!(next.is_none_or(|at| at > self.now), "deadline has passed");
        }
    }

    fn act(&mut self, action: CallAction) {
        let is_over = self.ending_count > 0 || self.is_gone || self.now >= self.ends_at;
        match action {
            CallAction::Route(need) => {
                assert!(!is_over, "route after the end");
                self.route = Some(need.kind);
            }
            CallAction::Send {
                send,
                server,
                request,
                ..
            } => {
                let place = (server.clone(), request.envelope().id.attempt);
                if let AgentRequest::Release(_) = request {
                    self.released_at.insert(place, self.step);
                } else {
                    assert!(!is_over, "work after the end");
                    assert!(
                        !self.released_at.contains_key(&place),
                        "work in a released place"
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
                    !is_over && self.open.is_none(),
                    "stream after the end or beside another"
                );
                self.open = Some(stream);
                self.streams
                    .push((stream, (server, open.envelope.id.attempt)));
            }
            CallAction::Control { stream, .. } => assert_eq!(self.open, Some(stream)),
            CallAction::CloseStream { stream } => assert_eq!(self.open.take(), Some(stream)),
            CallAction::Deliver(delivery) => {
                assert!(
                    self.ending_count == 0 && !self.is_gone,
                    "delivery after the end"
                );
                assert_eq!(delivery.sequence, self.next);
                assert_ne!(delivery.text, "wrong");
                self.next = self.next.next();
                if delivery.finish.is_some() {
                    self.ending_count += 1;
                    self.finished_at = self.streams.last().map(|(_, place)| place.clone());
                }
            }
            CallAction::Fail(_) => {
                assert!(!self.is_gone, "error after the caller was gone");
                self.ending_count += 1;
            }
            _ => {}
        }
        assert!(self.ending_count <= 1, "two endings");
    }

    fn apply(&mut self, op: &Op) {
        match op.code {
            0 => self.pause(op.pick % 3_000),
            1 if op.pick.is_multiple_of(8) => self.pause(op.pick * 2),
            2 | 3 => self.answer_route(op.pick),
            4..=6 => self.process(op.pick),
            7..=9 => self.deliver(op.pick),
            10 => self.lose(op.pick),
            11 => self.repeat(op.pick),
            12..=17 => self.stream_event(op.pick),
            18 => self.cut_stream(op.pick),
            19 if op.pick.is_multiple_of(16) => {
                self.is_gone |= self.ending_count == 0;
                self.handle(CallEvent::CallerGone);
            }
            _ => {}
        }
    }

    fn pause(&mut self, ms: usize) {
        self.now = self.now + DurationUs::from_ms(ms as u64);
        if self.call.next_deadline().is_some_and(|at| at <= self.now) {
            self.handle(CallEvent::Deadline);
        }
    }

    fn answer_route(&mut self, pick: usize) {
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

    /// An agent handles a message; its reply is on the way.
    fn process(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(pick % self.messages.len());
        let place = place(&message);
        let is_refused = (pick / 16).is_multiple_of(5);
        let body = match &message.request {
            AgentRequest::Release(_) => {
                self.released.insert(place);
                ReplyBody::Released
            }
            _ if self.released.contains(&place) => ReplyBody::Failed(AgentFailure::Cancelled),
            _ if is_refused => ReplyBody::Failed(AgentFailure::Refused(RefusalReason::QueueFull)),
            AgentRequest::Reserve(_) => ReplyBody::Reserved(Reserved {
                expires_in_us: DurationUs::from_ms(if pick.is_multiple_of(3) { 0 } else { 8_000 }),
            }),
            _ => ReplyBody::Prefilled(Prefilled {
                prompt_tokens: Tokens(100),
                held_for_us: DurationUs::from_ms(10_000),
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
            self.granted_at.insert(place(&message), self.step);
        }
        self.answered.push((message.clone(), body.clone()));
        self.reply(message.send, reply(body));
    }

    fn reply(&mut self, send: SendRef, outcome: SendOutcome) {
        self.handle(CallEvent::Reply { send, outcome });
    }

    /// A message does not reach its agent, or its reply does not come back.
    fn lose(&mut self, pick: usize) {
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

    /// A reply that was delivered before comes a second time.
    fn repeat(&mut self, pick: usize) {
        if self.answered.is_empty() {
            return;
        }
        let (message, body) = self.answered[pick % self.answered.len()].clone();
        self.reply(message.send, reply(body));
    }

    /// Mostly what the present stream would bring next, sometimes anything on any stream.
    fn stream_event(&mut self, pick: usize) {
        if self.streams.is_empty() {
            return;
        }
        let is_wild = pick.is_multiple_of(7);
        let index = if is_wild {
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
        let skip = if is_wild { (pick / 7 % 4) as u64 } else { 1 };
        let is_crossed = pick.is_multiple_of(14);
        let attempt = if is_crossed { attempt.next() } else { attempt };
        let text = if is_crossed { "wrong" } else { "word" };
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
                sequence: SequenceNumber((self.next.get() + skip).saturating_sub(1)),
                text: text.to_string(),
                tokens: Tokens(1),
                finish: (pick / 36).is_multiple_of(6).then_some(FinishReason::Stop),
            }),
        };
        self.handle(CallEvent::Stream { stream, event });
    }

    fn cut_stream(&mut self, pick: usize) {
        if self.streams.is_empty() {
            return;
        }
        let (stream, _) = self.streams[pick % self.streams.len()];
        let evidence = if pick.is_multiple_of(3) {
            Evidence::ConnectFailed
        } else {
            Evidence::Silent
        };
        self.handle(CallEvent::StreamLost { stream, evidence });
    }

    /// Lets the network work and time pass until the call has ended.
    fn drain(&mut self) {
        for _ in 0..2_000 {
            if self.call.is_ended() {
                return;
            }
            if self.route.is_some() {
                self.answer_route(18);
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

    fn check_end(&self) {
        assert_eq!(self.ending_count, u32::from(!self.is_gone));
        assert_eq!(self.open, None);
        for (place, granted_at) in &self.granted_at {
            let released_at = self.released_at.get(place);
            let is_released = released_at.is_some_and(|at| at > granted_at);
            let is_finished = self.finished_at.as_ref() == Some(place);
            assert!(is_released || is_finished, "{place:?} stays held");
        }
    }
}

fn place(message: &Message) -> Place {
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

    /// Guards against a second ending, a gap or repeat in the answer, work after the end, and a
    /// grant that no release follows, whatever the order of replies, losses and pauses.
    #[test]
    fn keeps_promises(ops in ops(), prefill_first in any::<bool>()) {
        let config = CallConfig { prefill_first, ..CallConfig::default() };
        let mut world = World::new(config);
        world.handle(CallEvent::Start);
        for op in &ops {
            world.apply(op);
        }
        world.drain();
        world.check_end();
    }
}
