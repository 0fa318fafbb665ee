//! Random replies, losses, and late or repeated events against an application call.
//!
//! The simulation treats permits as agents do: a permit starts one run, a query voids a permit that
//! has not started, and a restart forgets the state of all permits. It counts every run of the
//! service.

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
enum PermitState {
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

/// Reply that has not been delivered.
#[derive(Clone, Debug)]
struct PendingReply {
    send: SendRef,
    body: ReplyBody,
}

#[derive(Debug)]
struct Simulation {
    call: ApplicationCall,
    is_idempotent: bool,
    now: TimeUs,
    deadline: TimeUs,
    is_routing: bool,
    messages: Vec<Message>,
    pending_replies: Vec<PendingReply>,
    delivered_replies: Vec<PendingReply>,
    permits: BTreeMap<u64, PermitState>,
    run_count: u32,
    /// `RunCall`s that may have run as far as the call was told.
    unresolved_runs: BTreeMap<SendRef, Option<PermitId>>,
    completion_count: u32,
    was_reported_not_run: bool,
    is_disconnected: bool,
}

impl Simulation {
    fn new(is_idempotent: bool, key: Option<&str>) -> Self {
        let config = CallConfig::default();
        let now = TimeUs(1_000_000);
        let deadline = now + config.request_max_us;
        let request = application_request(is_idempotent, key);
        Self {
            call: ApplicationCall::new(config, request),
            is_idempotent,
            now,
            deadline,
            is_routing: false,
            messages: Vec::new(),
            pending_replies: Vec::new(),
            delivered_replies: Vec::new(),
            permits: BTreeMap::new(),
            run_count: 0,
            unresolved_runs: BTreeMap::new(),
            completion_count: 0,
            was_reported_not_run: false,
            is_disconnected: false,
        }
    }

    fn handle(&mut self, event: CallEvent) {
        let mut actions = Vec::new();
        self.call.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(action);
        }
        let next = self.call.next_deadline();
        assert!(
            next.is_none_or(|at| at > self.now),
            "deadline is in the past"
        );
    }

    fn execute(&mut self, action: CallAction) {
        let has_ended =
            self.completion_count > 0 || self.is_disconnected || self.now >= self.deadline;
        match action {
            CallAction::Route(_) => {
                assert!(!has_ended, "route after the end");
                self.is_routing = true;
            }
            CallAction::Send { send, request, .. } => {
                assert!(!has_ended, "message after the end");
                if let AgentRequest::RunCall(run) = &request {
                    let may_run = self.is_idempotent || self.unresolved_runs.is_empty();
                    assert!(may_run, "second RunCall without proof about the first");
                    self.unresolved_runs.insert(send, run.permit);
                }
                self.messages.push(Message { send, request });
            }
            CallAction::Respond(_) => {
                assert!(
                    !self.is_disconnected,
                    "response after the caller disconnected"
                );
                self.completion_count += 1;
            }
            CallAction::Fail(error) => {
                assert!(!self.is_disconnected, "error after the caller disconnected");
                self.completion_count += 1;
                self.was_reported_not_run = error.outcome == CallOutcome::NotRun;
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
            4..=7 => self.process(op.pick),
            8 => self.finish_run(op.pick),
            9..=11 => self.deliver(op.pick),
            12 | 13 => self.lose_message(op.pick),
            14 => self.repeat_reply(op.pick),
            15 => self.expire_or_restart(op.pick),
            16 if op.pick.is_multiple_of(16) => {
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

    /// Lets an agent handle a message; its reply is delivered later.
    fn process(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(pick % self.messages.len());
        let body = match &message.request {
            AgentRequest::IssuePermit(_) => Some(self.issue(pick / 16)),
            AgentRequest::RunCall(run) => self.run(message.send, run, pick / 16),
            AgentRequest::QueryPermit(query) => Some(self.query(query.permit, pick / 16)),
            _ => None,
        };
        let send = message.send;
        self.pending_replies
            .extend(body.map(|body| PendingReply { send, body }));
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
        self.permits.insert(number, PermitState::Issued);
        ReplyBody::PermitIssued(PermitIssued {
            permit: permit(number),
            expires_in_us: DurationUs::from_ms(2_000),
        })
    }

    /// Starts a call; its reply is sent when the service has finished.
    fn run(&mut self, send: SendRef, run: &RunCall, pick: usize) -> Option<ReplyBody> {
        let Some(permit) = run.permit else {
            assert!(self.is_idempotent, "run without a permit");
            self.run_count += 1;
            return Some(match pick % 3 {
                0 => ReplyBody::Failed(AgentFailure::ServiceFailed),
                _ => ReplyBody::CallDone(HttpResponse::default()),
            });
        };
        if self.permits[&permit.number] != PermitState::Issued {
            return Some(refused(RefusalReason::PermitInvalid));
        }
        if pick.is_multiple_of(8) {
            // The agent could not connect to the service.
            self.permits.insert(permit.number, PermitState::Voided);
            return Some(ReplyBody::PermitOutcome(PermitOutcome::Voided));
        }
        self.run_count += 1;
        self.permits
            .insert(permit.number, PermitState::Running(send));
        None
    }

    fn query(&mut self, permit: PermitId, pick: usize) -> ReplyBody {
        if pick.is_multiple_of(8) {
            return refused(RefusalReason::Draining);
        }
        let state = self.permits[&permit.number];
        if state == PermitState::Issued {
            self.permits.insert(permit.number, PermitState::Voided);
        }
        ReplyBody::PermitOutcome(match state {
            PermitState::Issued | PermitState::Voided => PermitOutcome::Voided,
            PermitState::Running(_) => PermitOutcome::Running,
            PermitState::Done => PermitOutcome::Done(HttpResponse::default()),
            PermitState::Unknown => PermitOutcome::Unknown,
        })
    }

    fn finish_run(&mut self, pick: usize) {
        for state in self.permits.values_mut() {
            let PermitState::Running(send) = *state else {
                continue;
            };
            let is_lost = pick.is_multiple_of(4);
            let body = if is_lost {
                ReplyBody::Failed(AgentFailure::OutcomeUnknown)
            } else {
                ReplyBody::CallDone(HttpResponse::default())
            };
            *state = if is_lost {
                PermitState::Unknown
            } else {
                PermitState::Done
            };
            self.pending_replies.push(PendingReply { send, body });
        }
    }

    /// Expires the unused permits, or restarts the agent, which forgets the state of all permits.
    fn expire_or_restart(&mut self, pick: usize) {
        let is_restart = pick.is_multiple_of(4);
        for state in self.permits.values_mut() {
            match *state {
                _ if is_restart => *state = PermitState::Unknown,
                PermitState::Issued => *state = PermitState::Voided,
                _ => {}
            }
        }
    }

    fn deliver(&mut self, pick: usize) {
        if self.pending_replies.is_empty() {
            return;
        }
        let pending = self
            .pending_replies
            .remove(pick % self.pending_replies.len());
        self.delivered_replies.push(pending.clone());
        self.deliver_reply(pending);
    }

    fn deliver_reply(&mut self, pending: PendingReply) {
        match &pending.body {
            ReplyBody::Failed(AgentFailure::Refused(RefusalReason::PermitInvalid)) => {
                self.unresolved_runs.remove(&pending.send);
            }
            // The reply to `QueryPermit` carries the number of that message, not of the `RunCall`.
            // At most one run can be unresolved.
            ReplyBody::PermitOutcome(PermitOutcome::Voided) => self.unresolved_runs.clear(),
            _ => {}
        }
        let state = AgentState::default();
        let body = pending.body;
        let outcome = SendOutcome::Reply(Box::new(AgentReply { state, body }));
        self.reply(pending.send, outcome);
    }

    fn reply(&mut self, send: SendRef, outcome: SendOutcome) {
        self.handle(CallEvent::Reply { send, outcome });
    }

    /// Loses a message on its way to the agent, or its reply.
    fn lose_message(&mut self, pick: usize) {
        if pick.is_multiple_of(2) && !self.pending_replies.is_empty() {
            let pending = self
                .pending_replies
                .remove(pick / 2 % self.pending_replies.len());
            self.reply(pending.send, SendOutcome::Lost);
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
                    self.unresolved_runs.remove(&send);
                    self.reply(send, SendOutcome::ConnectFailed);
                }
            }
        }
    }

    /// Delivers a reply a second time.
    fn repeat_reply(&mut self, pick: usize) {
        if self.delivered_replies.is_empty() {
            return;
        }
        let pending = self.delivered_replies[pick % self.delivered_replies.len()].clone();
        let state = AgentState::default();
        let body = pending.body;
        let outcome = SendOutcome::Reply(Box::new(AgentReply { state, body }));
        self.reply(pending.send, outcome);
    }

    /// Delivers every message and advances the clock until the call has ended, and then delivers
    /// the remaining messages.
    fn drain(&mut self) {
        for _ in 0..2_000 {
            if self.is_routing {
                self.deliver_route(6);
            } else if !self.messages.is_empty() {
                self.process(81);
            } else if !self.pending_replies.is_empty() {
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

    fn check_final_state(&self) {
        assert_eq!(self.completion_count, u32::from(!self.is_disconnected));
        assert!(
            self.is_idempotent || self.run_count <= 1,
            "the service ran the call twice"
        );
        assert!(
            !self.was_reported_not_run || self.run_count == 0,
            "the service ran a call that was reported as not run"
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

    /// Whatever the order of replies, losses and pauses: a non-idempotent call must not run twice,
    /// a second `RunCall` needs proof about the first, a call that ran must not be reported as not
    /// run, and a call must end once.
    #[test]
    fn upholds_invariants(ops in ops(), is_idempotent in any::<bool>(), has_key in any::<bool>()) {
        let mut simulation = Simulation::new(is_idempotent, has_key.then_some("k"));
        simulation.handle(CallEvent::Start);
        for op in &ops {
            simulation.run_op(op);
        }
        simulation.drain();
        simulation.check_final_state();
    }
}
