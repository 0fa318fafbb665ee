//! Random replies, losses, late and repeated events against an application call.
//!
//! The world below keeps permits as agents do: a permit starts once, a question voids one that has
//! not started, and a restart forgets all. Every run of the service is counted.

mod common;

use std::collections::BTreeMap;

use common::{application_request, parse};
use cuminlead_entry_core::{
    ApplicationCall, Call, CallAction, CallConfig, CallEvent, CallOutcome, SendOutcome, SendRef,
};
use cuminlead_protocol::*;
use cuminlead_routing::{NoRoute, Route};
use cuminlead_types::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
struct Op {
    code: u8,
    pick: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Permit {
    Issued,
    Running(SendRef),
    Done,
    Unknown,
    Voided,
}

#[derive(Clone, Debug)]
struct Message {
    send: SendRef,
    request: AgentRequest,
}

/// A reply on its way, or one that waits for its service.
#[derive(Clone, Debug)]
struct Answer {
    send: SendRef,
    body: ReplyBody,
}

#[derive(Debug)]
struct World {
    call: ApplicationCall,
    is_idempotent: bool,
    now: TimeUs,
    ends_at: TimeUs,
    is_routing: bool,
    messages: Vec<Message>,
    answers: Vec<Answer>,
    answered: Vec<Answer>,
    permits: BTreeMap<u64, Permit>,
    run_count: u32,
    /// `RunCall`s whose fate the call was not told.
    unproven: BTreeMap<SendRef, Option<PermitId>>,
    ending_count: u32,
    was_not_run: bool,
    is_gone: bool,
}

impl World {
    fn new(is_idempotent: bool, key: Option<&str>) -> Self {
        let config = CallConfig::default();
        let now = TimeUs(1_000_000);
        let ends_at = now + config.request_max_us;
        let request = application_request(is_idempotent, key);
        Self {
            call: ApplicationCall::new(config, request),
            is_idempotent,
            now,
            ends_at,
            is_routing: false,
            messages: Vec::new(),
            answers: Vec::new(),
            answered: Vec::new(),
            permits: BTreeMap::new(),
            run_count: 0,
            unproven: BTreeMap::new(),
            ending_count: 0,
            was_not_run: false,
            is_gone: false,
        }
    }

    fn handle(&mut self, event: CallEvent) {
        let mut actions = Vec::new();
        self.call.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
        let next = self.call.next_deadline();
        assert!(next.is_none_or(|at| at > self.now), "deadline has passed");
    }

    fn act(&mut self, action: CallAction) {
        let is_over = self.ending_count > 0 || self.is_gone || self.now >= self.ends_at;
        match action {
            CallAction::Route(_) => {
                assert!(!is_over, "route after the end");
                self.is_routing = true;
            }
            CallAction::Send { send, request, .. } => {
                assert!(!is_over, "message after the end");
                if let AgentRequest::RunCall(run) = &request {
                    let may_run = self.is_idempotent || self.unproven.is_empty();
                    assert!(may_run, "second run without proof");
                    self.unproven.insert(send, run.permit);
                }
                self.messages.push(Message { send, request });
            }
            CallAction::Respond(_) => {
                assert!(!self.is_gone, "answer after the caller was gone");
                self.ending_count += 1;
            }
            CallAction::Fail(error) => {
                assert!(!self.is_gone, "error after the caller was gone");
                self.ending_count += 1;
                self.was_not_run = error.outcome == CallOutcome::NotRun;
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
            4..=7 => self.process(op.pick),
            8 => self.finish_run(op.pick),
            9..=11 => self.deliver(op.pick),
            12 | 13 => self.lose(op.pick),
            14 => self.repeat(op.pick),
            15 => self.expire_or_restart(op.pick),
            16 if op.pick.is_multiple_of(16) => {
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
        if !std::mem::take(&mut self.is_routing) {
            return;
        }
        let server = parse(["s", "t", "u"][pick % 3]);
        let result = match pick / 3 % 12 {
            0 => Err(NoRoute::NoServer),
            1 => Err(NoRoute::RetryBudget),
            _ => Ok(Route::Service(server)),
        };
        self.handle(CallEvent::Routed(result));
    }

    /// An agent handles a message; its reply is on the way.
    fn process(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(pick % self.messages.len());
        let body = match &message.request {
            AgentRequest::IssuePermit(_) => Some(self.issue(pick / 16)),
            AgentRequest::RunCall(run) => self.run(message.send, run, pick / 16),
            AgentRequest::AskPermit(ask) => Some(self.ask(ask.permit, pick / 16)),
            _ => None,
        };
        let send = message.send;
        self.answers.extend(body.map(|body| Answer { send, body }));
    }

    fn issue(&mut self, pick: usize) -> ReplyBody {
        match pick % 16 {
            0 => return refused(RefusalReason::Draining),
            1 => return refused(RefusalReason::NotOwner),
            2 => return ReplyBody::KeyRunning,
            3 => return ReplyBody::KeyUnknown,
            _ => {}
        }
        let number = self.permits.len() as u64;
        self.permits.insert(number, Permit::Issued);
        ReplyBody::PermitIssued(PermitIssued {
            permit: permit(number),
            expires_in_us: DurationUs::from_ms(2_000),
        })
    }

    /// Starts a call; its answer comes when the service is done.
    fn run(&mut self, send: SendRef, run: &RunCall, pick: usize) -> Option<ReplyBody> {
        let Some(permit) = run.permit else {
            assert!(self.is_idempotent, "run without a permit");
            self.run_count += 1;
            return Some(match pick % 3 {
                0 => ReplyBody::Failed(AgentFailure::ServiceFailed),
                _ => ReplyBody::CallDone(HttpResponse::default()),
            });
        };
        if self.permits[&permit.number] != Permit::Issued {
            return Some(refused(RefusalReason::PermitInvalid));
        }
        if pick.is_multiple_of(8) {
            // The agent could not connect to the service.
            self.permits.insert(permit.number, Permit::Voided);
            return Some(ReplyBody::PermitOutcome(PermitOutcome::Voided));
        }
        self.run_count += 1;
        self.permits.insert(permit.number, Permit::Running(send));
        None
    }

    fn ask(&mut self, permit: PermitId, pick: usize) -> ReplyBody {
        if pick.is_multiple_of(8) {
            return refused(RefusalReason::Draining);
        }
        let state = self.permits[&permit.number];
        if state == Permit::Issued {
            self.permits.insert(permit.number, Permit::Voided);
        }
        ReplyBody::PermitOutcome(match state {
            Permit::Issued | Permit::Voided => PermitOutcome::Voided,
            Permit::Running(_) => PermitOutcome::Running,
            Permit::Done => PermitOutcome::Done(HttpResponse::default()),
            Permit::Unknown => PermitOutcome::Unknown,
        })
    }

    fn finish_run(&mut self, pick: usize) {
        for state in self.permits.values_mut() {
            let Permit::Running(send) = *state else {
                continue;
            };
            let is_lost = pick.is_multiple_of(4);
            let body = if is_lost {
                ReplyBody::Failed(AgentFailure::OutcomeUnknown)
            } else {
                ReplyBody::CallDone(HttpResponse::default())
            };
            *state = if is_lost {
                Permit::Unknown
            } else {
                Permit::Done
            };
            self.answers.push(Answer { send, body });
        }
    }

    /// Unused permits expire, or the agent restarts and forgets what became of all.
    fn expire_or_restart(&mut self, pick: usize) {
        let is_restart = pick.is_multiple_of(4);
        for state in self.permits.values_mut() {
            match *state {
                _ if is_restart => *state = Permit::Unknown,
                Permit::Issued => *state = Permit::Voided,
                _ => {}
            }
        }
    }

    fn deliver(&mut self, pick: usize) {
        if self.answers.is_empty() {
            return;
        }
        let answer = self.answers.remove(pick % self.answers.len());
        self.answered.push(answer.clone());
        self.tell(answer);
    }

    fn tell(&mut self, answer: Answer) {
        match &answer.body {
            ReplyBody::Failed(AgentFailure::Refused(RefusalReason::PermitInvalid)) => {
                self.unproven.remove(&answer.send);
            }
            // The question has the number of its own; only one run can be unproven.
            ReplyBody::PermitOutcome(PermitOutcome::Voided) => self.unproven.clear(),
            _ => {}
        }
        let state = AgentState::default();
        let body = answer.body;
        let outcome = SendOutcome::Reply(Box::new(AgentReply { state, body }));
        self.reply(answer.send, outcome);
    }

    fn reply(&mut self, send: SendRef, outcome: SendOutcome) {
        self.handle(CallEvent::Reply { send, outcome });
    }

    /// A message does not reach its agent, or its reply does not come back.
    fn lose(&mut self, pick: usize) {
        if pick.is_multiple_of(2) && !self.answers.is_empty() {
            let answer = self.answers.remove(pick / 2 % self.answers.len());
            self.reply(answer.send, SendOutcome::Lost);
        } else if !self.messages.is_empty() {
            let index = pick / 2 % self.messages.len();
            let send = self.messages[index].send;
            match pick % 3 {
                // The connection ends, and the message reaches the agent late.
                0 => self.reply(send, SendOutcome::Lost),
                1 => {
                    self.messages.remove(index);
                    self.reply(send, SendOutcome::Lost);
                }
                _ => {
                    self.messages.remove(index);
                    self.unproven.remove(&send);
                    self.reply(send, SendOutcome::ConnectFailed);
                }
            }
        }
    }

    /// A reply that was delivered before comes a second time.
    fn repeat(&mut self, pick: usize) {
        if self.answered.is_empty() {
            return;
        }
        let answer = self.answered[pick % self.answered.len()].clone();
        let state = AgentState::default();
        let body = answer.body;
        let outcome = SendOutcome::Reply(Box::new(AgentReply { state, body }));
        self.reply(answer.send, outcome);
    }

    /// Lets the network work and time pass until the call has ended, and then whatever is on its way.
    fn drain(&mut self) {
        for _ in 0..2_000 {
            if self.is_routing {
                self.answer_route(6);
            } else if !self.messages.is_empty() {
                self.process(81);
            } else if !self.answers.is_empty() {
                self.deliver(0);
            } else if self.call.is_ended() {
                return;
            } else {
                let at = self.call.next_deadline();
                self.now = self.now.max(at.expect("a call that waits has a deadline"));
                self.handle(CallEvent::Deadline);
            }
        }
        panic!("the call does not end: {:?}", self.call);
    }

    fn check_end(&self) {
        assert_eq!(self.ending_count, u32::from(!self.is_gone));
        assert!(self.is_idempotent || self.run_count <= 1, "ran twice");
        assert!(
            !self.was_not_run || self.run_count == 0,
            "ran and reported as not run"
        );
    }
}

fn permit(number: u64) -> PermitId {
    PermitId {
        incarnation: Incarnation(7),
        number,
    }
}

fn refused(reason: RefusalReason) -> ReplyBody {
    ReplyBody::Failed(AgentFailure::Refused(reason))
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = (0_u8..17, any::<u16>()).prop_map(|(code, pick)| Op {
        code,
        pick: usize::from(pick),
    });
    proptest::collection::vec(op, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a booking that runs twice, a second run without proof about the first, a call
    /// that ran and is reported as not run, and a second ending.
    #[test]
    fn keeps_promises(ops in ops(), is_idempotent in any::<bool>(), has_key in any::<bool>()) {
        let mut world = World::new(is_idempotent, has_key.then_some("k"));
        world.handle(CallEvent::Start);
        for op in &ops {
            world.apply(op);
        }
        world.drain();
        world.check_end();
    }
}
