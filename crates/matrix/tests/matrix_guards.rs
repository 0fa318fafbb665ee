//! Disabled guards: without the guard of a promise, the fault matrix must find that the promise is
//! broken.
//!
//! A wrapper in the simulation or around a call disables each guard; the product has no switch for
//! it.

use cuminlead_agent_core::{AgentAction, AgentEvent};
use cuminlead_entry_core::{
    Call, CallAction, CallEvent, CallOutcome, CallerError, Delivery, SendOutcome,
};
use cuminlead_lists::{HostList, HostState};
use cuminlead_matrix::fault_case::{EXACT_SEED, run_case, singles};
use cuminlead_matrix::{FaultCase, GuardHooks};
use cuminlead_protocol::{DecodeEvent, EngineCommand, FinishReason, PermitOutcome, ReplyBody};
use cuminlead_types::{SequenceNumber, TimeUs, Tokens};
use yare::parameterized;

/// P1: engines get no cancel for sequences that nobody needs any more.
#[derive(Debug)]
struct NoCancel;

impl GuardHooks for NoCancel {
    fn passes_command(&self, command: &EngineCommand) -> bool {
        !matches!(command, EngineCommand::Cancel { .. })
    }
}

/// P2: a call delivers every response of a service, even after it has ended.
#[derive(Debug)]
struct AnswerEveryReply;

impl GuardHooks for AnswerEveryReply {
    fn wrap_call(&self, call: Box<dyn Call>) -> Box<dyn Call> {
        Box::new(AnsweringCall { call })
    }
}

struct AnsweringCall {
    call: Box<dyn Call>,
}

impl Call for AnsweringCall {
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>) {
        let response = match &event {
            CallEvent::Reply {
                outcome: SendOutcome::Reply(reply),
                ..
            } => match &reply.body {
                ReplyBody::CallDone(http) => Some(http.clone()),
                _ => None,
            },
            _ => None,
        };
        self.call.handle(now, event, actions);
        let is_answered = |action: &CallAction| matches!(action, CallAction::Respond(_));
        if !actions.iter().any(is_answered) {
            actions.extend(response.map(CallAction::Respond));
        }
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        self.call.next_deadline()
    }

    fn is_ended(&self) -> bool {
        false
    }
}

/// P3: a call treats the failure of a decode as the end of the output.
#[derive(Debug)]
struct EndOnFailure;

impl GuardHooks for EndOnFailure {
    fn wrap_call(&self, call: Box<dyn Call>) -> Box<dyn Call> {
        Box::new(EndingCall {
            call,
            next: SequenceNumber::ZERO,
        })
    }
}

struct EndingCall {
    call: Box<dyn Call>,
    next: SequenceNumber,
}

impl EndingCall {
    fn end(&mut self, now: TimeUs, actions: &mut Vec<CallAction>) {
        self.call
            .handle(now, CallEvent::CallerDisconnected, actions);
        actions.push(CallAction::Deliver(Delivery {
            sequence: self.next,
            text: String::new(),
            tokens: Tokens::ZERO,
            finish: Some(FinishReason::Stop),
        }));
    }
}

impl Call for EndingCall {
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>) {
        let is_failure = matches!(
            event,
            CallEvent::StreamLost { .. }
                | CallEvent::Stream {
                    event: DecodeEvent::Failed { .. },
                    ..
                }
        );
        if is_failure && self.next > SequenceNumber::ZERO && !self.call.is_ended() {
            self.end(now, actions);
            return;
        }
        self.call.handle(now, event, actions);
        for action in actions.iter() {
            if let CallAction::Deliver(delivery) = action {
                self.next = delivery.sequence.next();
            }
        }
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        self.call.next_deadline()
    }

    fn is_ended(&self) -> bool {
        self.call.is_ended()
    }
}

/// P4: a call with an unknown outcome is reported as not run.
#[derive(Debug)]
struct UnknownAsNotRun;

impl GuardHooks for UnknownAsNotRun {
    fn wrap_call(&self, call: Box<dyn Call>) -> Box<dyn Call> {
        Box::new(DenyingCall { call })
    }
}

struct DenyingCall {
    call: Box<dyn Call>,
}

impl Call for DenyingCall {
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>) {
        self.call.handle(now, event, actions);
        for action in actions {
            if let CallAction::Fail(CallerError { outcome, .. }) = action
                && *outcome == CallOutcome::Unknown
            {
                *outcome = CallOutcome::NotRun;
            }
        }
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        self.call.next_deadline()
    }

    fn is_ended(&self) -> bool {
        self.call.is_ended()
    }
}

/// P5: an agent reports a running call as not started, so that it is executed elsewhere too.
#[derive(Debug)]
struct RunningAsVoided;

impl GuardHooks for RunningAsVoided {
    fn change_actions(&self, actions: &mut Vec<AgentAction>) {
        for action in actions {
            if let AgentAction::Reply { reply, .. } = action
                && reply.body == ReplyBody::PermitOutcome(PermitOutcome::Running)
            {
                reply.body = ReplyBody::PermitOutcome(PermitOutcome::Voided);
            }
        }
    }
}

/// P6: agents do not drain, and entries do not see that a host is leaving.
#[derive(Debug)]
struct NoLeaving;

impl GuardHooks for NoLeaving {
    fn passes_agent_event(&self, event: &AgentEvent) -> bool {
        !matches!(event, AgentEvent::Drain)
    }

    fn passes_hosts(&self, hosts: &HostList) -> bool {
        let is_live = |host: &cuminlead_lists::HostEntry| host.state == HostState::Live;
        hosts.hosts.iter().all(is_live)
    }
}

/// P7: a process that is asked to shut down stops with its requests in flight.
#[derive(Debug)]
struct StopAtOnce;

impl GuardHooks for StopAtOnce {
    fn stops_immediately(&self) -> bool {
        true
    }
}

/// P8: a process puts a revision in effect that is older than its own.
#[derive(Debug)]
struct TakeOlderLists;

impl GuardHooks for TakeOlderLists {
    fn accepts_older_lists(&self) -> bool {
        true
    }
}

/// Orders: engines do not receive the orders of their agents.
#[derive(Debug)]
struct NoOrders;

impl GuardHooks for NoOrders {
    fn passes_command(&self, command: &EngineCommand) -> bool {
        !matches!(command, EngineCommand::Order { .. })
    }
}

/// Orders: an agent does not present its fencing number to the engine before it accepts work.
#[derive(Debug)]
struct NoFirstOrder;

impl GuardHooks for NoFirstOrder {
    fn passes_command(&self, command: &EngineCommand) -> bool {
        let EngineCommand::Order { fencing, .. } = command else {
            return true;
        };
        fencing.order > 1
    }
}

/// Guards against checks that miss a broken promise: some case with one fault must break this
/// promise and no other one.
#[parameterized(
    p1_no_cancel = { "P1", || Box::new(NoCancel) },
    p2_answer_every_reply = { "P2", || Box::new(AnswerEveryReply) },
    p3_end_on_failure = { "P3", || Box::new(EndOnFailure) },
    p4_unknown_as_not_run = { "P4", || Box::new(UnknownAsNotRun) },
    p5_running_as_voided = { "P5", || Box::new(RunningAsVoided) },
    p6_no_leaving = { "P6", || Box::new(NoLeaving) },
    p7_stop_at_once = { "P7", || Box::new(StopAtOnce) },
    p8_take_older_lists = { "P8", || Box::new(TakeOlderLists) },
)]
fn removed_guard_is_noticed(promise: &str, guard_hooks: fn() -> Box<dyn GuardHooks>) {
    let found = first_broken(singles(), promise, guard_hooks);
    println!("{promise}: {found:?}");
    assert!(found.is_some(), "no case breaks {promise} alone");
}

/// Like `removed_guard_is_noticed` for the rules for orders, with the cases in which the lists
/// change assignments.
#[parameterized(
    no_orders = { || Box::new(NoOrders) },
    no_first_order = { || Box::new(NoFirstOrder) },
)]
fn removed_guard_of_orders_is_noticed(guard_hooks: fn() -> Box<dyn GuardHooks>) {
    let mut cases = singles();
    cases.retain(|case| case.path.change().is_some());
    let found = first_broken(cases, "Orders", guard_hooks);
    println!("Orders: {found:?}");
    assert!(found.is_some(), "no case breaks the rules for orders alone");
}

/// First case that breaks a promise and no other one.
fn first_broken(
    cases: Vec<FaultCase>,
    promise: &str,
    guard_hooks: fn() -> Box<dyn GuardHooks>,
) -> Option<String> {
    cases.into_iter().find_map(|case| {
        let report = run_case(&case, EXACT_SEED, guard_hooks());
        let broken: Vec<String> = report.broken.into_iter().collect();
        (broken == [promise]).then(|| format!("{case}: {}", report.findings.join("; ")))
    })
}
