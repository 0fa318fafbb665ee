//! Application calls at an agent: permits, forwarding, outcomes and drain.

mod support;

use std::sync::Arc;

use cuminlead_agent_core::{AgentAction, AgentEvent, AgentRecord, CallRef};
use cuminlead_protocol::{
    AgentFailure, AgentRequest, HttpResponse, PermitOutcome, QueryPermit, RefusalReason, ReplyBody,
    ServiceCallRef, ServiceCommand, ServiceEvent,
};
use cuminlead_types::{PermitId, TimeUs};
use support::{Agent, envelope, issue_permit, lists, refused, replies, run_call};
use yare::parameterized;

fn permit(agent: &mut Agent, ms: u64) -> PermitId {
    match agent.request(ms, issue_permit(1, "kiosks")).body {
        ReplyBody::PermitIssued(issued) => issued.permit,
        body => panic!("no permit: {body:?}"),
    }
}

fn query_permit(permit: PermitId) -> AgentRequest {
    AgentRequest::QueryPermit(QueryPermit {
        envelope: envelope(1, "kiosks"),
        permit,
    })
}

fn forwarded_calls(actions: &[AgentAction]) -> Vec<ServiceCommand> {
    let commands = actions.iter().filter_map(|action| match action {
        AgentAction::Service(command) => Some(command.clone()),
        _ => None,
    });
    commands.collect()
}

fn response() -> HttpResponse {
    HttpResponse {
        status: 200,
        ..HttpResponse::default()
    }
}

/// Guards against a non-idempotent call that is executed without a permit, and against calls that
/// the agent's active lists do not allow.
#[parameterized(
    idempotent = { "counter-1", run_call(1, None, "GET"), None },
    without_permit = { "counter-1", run_call(1, None, "POST"), Some(RefusalReason::PermitMissing) },
    permit_of_another_incarnation = {
        "counter-1", run_call(1, Some(PermitId::default()), "POST"), Some(RefusalReason::PermitInvalid)
    },
    server_outside_plan = { "counter-2", run_call(1, None, "GET"), Some(RefusalReason::OutsidePlan) },
    permit_outside_plan = { "counter-2", issue_permit(1, "kiosks"), Some(RefusalReason::OutsidePlan) },
    permit_for_unknown_customer = { "counter-1", issue_permit(1, "nobody"), Some(RefusalReason::OutsidePlan) },
)]
fn checks_permit_and_plan(server: &str, request: AgentRequest, expected: Option<RefusalReason>) {
    let mut agent = Agent::for_service(server);
    let actions = agent.send(1, request);
    let bodies: Vec<ReplyBody> = replies(&actions).into_iter().map(|r| r.body).collect();
    let expected_bodies: Vec<ReplyBody> = expected.map(refused).into_iter().collect();
    assert_eq!(bodies, expected_bodies);
    assert_eq!(forwarded_calls(&actions).is_empty(), expected.is_some());
}

/// Guards against a reply that reports a call as not run although it may have run, or the reverse.
#[parameterized(
    answered = { true, |run| ServiceEvent::Answered { run, http: response() }, ReplyBody::CallDone(response()) },
    not_sent = { true, |run| ServiceEvent::NotSent { run }, ReplyBody::PermitOutcome(PermitOutcome::Voided) },
    lost = { true, |run| ServiceEvent::Lost { run }, ReplyBody::Failed(AgentFailure::OutcomeUnknown) },
    idempotent_answered = { false, |run| ServiceEvent::Answered { run, http: response() }, ReplyBody::CallDone(response()) },
    idempotent_lost = { false, |run| ServiceEvent::Lost { run }, ReplyBody::Failed(AgentFailure::ServiceFailed) },
)]
fn reports_outcome_of_a_call(
    has_permit: bool,
    event: fn(ServiceCallRef) -> ServiceEvent,
    expected: ReplyBody,
) {
    let mut agent = Agent::for_service("counter-1");
    let used = has_permit.then(|| permit(&mut agent, 1));
    let method = if has_permit { "POST" } else { "GET" };
    let actions = agent.send(2, run_call(1, used, method));
    let command = forwarded_calls(&actions)
        .pop()
        .expect("the call is forwarded");
    let actions = agent.handle(3, AgentEvent::Service(event(command.run)));
    let bodies: Vec<ReplyBody> = replies(&actions).into_iter().map(|r| r.body).collect();
    assert_eq!(bodies, [expected]);
    let again = agent.handle(4, AgentEvent::Service(event(command.run)));
    assert!(replies(&again).is_empty(), "second reply to a call");
}

/// Guards against a call that is executed after its permit was reported as voided, and against a
/// permit that starts two calls.
#[test]
fn permit_starts_one_call_at_most() {
    let mut agent = Agent::for_service("counter-1");
    let voided = permit(&mut agent, 1);
    let actions = agent.send(2, query_permit(voided));
    let record = AgentRecord::PermitVoided { permit: voided };
    assert!(actions.contains(&AgentAction::Record(record)));
    let invalid = refused(RefusalReason::PermitInvalid);
    assert_eq!(
        agent.request(3, run_call(1, Some(voided), "POST")).body,
        invalid
    );
    let used = permit(&mut agent, 4);
    assert_eq!(
        forwarded_calls(&agent.send(5, run_call(1, Some(used), "POST"))).len(),
        1
    );
    assert_eq!(
        agent.request(6, run_call(1, Some(used), "POST")).body,
        invalid
    );
    let running = ReplyBody::PermitOutcome(PermitOutcome::Running);
    assert_eq!(agent.request(7, query_permit(used)).body, running);
}

/// Guards against a permit that can be used after its expiry because the tick came late, and
/// against an unused permit that blocks a drain.
#[test]
fn late_tick_does_not_prolong_a_permit() {
    let mut agent = Agent::for_service("counter-1");
    let late = permit(&mut agent, 0);
    let body = agent.request(2_000, run_call(1, Some(late), "POST")).body;
    assert_eq!(body, refused(RefusalReason::PermitInvalid));
    permit(&mut agent, 3_000);
    agent.handle(3_001, AgentEvent::Drain);
    let actions = agent.handle(5_000, AgentEvent::Tick);
    assert_eq!(actions.last(), Some(&AgentAction::Drained));
}

/// Guards against an agent of a service that waits for an engine's inventory, and against one that
/// accepts work before its first lists.
#[test]
fn service_agent_needs_only_lists() {
    let mut agent = Agent::starting("counter-1");
    let starting = refused(RefusalReason::Starting);
    assert_eq!(agent.request(0, run_call(1, None, "GET")).body, starting);
    assert_eq!(agent.request(0, issue_permit(1, "kiosks")).body, starting);
    agent.handle(1, AgentEvent::Lists(Arc::new(lists(5))));
    assert_eq!(
        forwarded_calls(&agent.send(2, run_call(1, None, "GET"))).len(),
        1
    );
    assert_eq!(agent.context.next_deadline(), None);
}

/// Guards against a drain that completes while a permit can still start a call or a call is in
/// progress.
#[test]
fn drain_waits_for_permits_and_calls() {
    let mut agent = Agent::for_service("counter-1");
    let used = permit(&mut agent, 1);
    let idempotent = forwarded_calls(&agent.send(1, run_call(2, None, "GET")));
    assert!(
        !agent
            .handle(2, AgentEvent::Drain)
            .contains(&AgentAction::Drained)
    );
    assert_eq!(
        agent.request(3, issue_permit(2, "kiosks")).body,
        refused(RefusalReason::Draining)
    );
    let actions = agent.send(4, run_call(1, Some(used), "POST"));
    let command = forwarded_calls(&actions)
        .pop()
        .expect("a permit issued before the drain starts its call");
    // The entry has disconnected; the call still counts until the service has answered.
    agent.handle(5, AgentEvent::CallDropped { call: CallRef(4) });
    let answered = ServiceEvent::Answered {
        run: command.run,
        http: response(),
    };
    assert_eq!(agent.handle(6, AgentEvent::Service(answered)), []);
    let run = idempotent[0].run;
    let lost = AgentEvent::Service(ServiceEvent::Lost { run });
    assert!(!agent.handle(7, lost).contains(&AgentAction::Drained));
    // The outcome of the second call is retained for 5 s in case its reply is lost.
    assert_eq!(agent.handle(5_006, AgentEvent::Tick), []);
    let actions = agent.handle(5_007, AgentEvent::Tick);
    assert_eq!(actions, [AgentAction::Drained]);
}

/// Guards against a drain that completes while the reply with the outcome of a call is in transit,
/// or before an entry that did not receive it can query the outcome.
#[test]
fn drain_retains_the_outcome_of_a_call() {
    let mut agent = Agent::for_service("counter-1");
    let used = permit(&mut agent, 1);
    let command = forwarded_calls(&agent.send(2, run_call(1, Some(used), "POST")))
        .pop()
        .expect("the call is forwarded");
    agent.handle(3, AgentEvent::Drain);
    let answered = ServiceEvent::Answered {
        run: command.run,
        http: response(),
    };
    let actions = agent.handle(4, AgentEvent::Service(answered));
    assert!(!actions.contains(&AgentAction::Drained));
    let done = ReplyBody::PermitOutcome(PermitOutcome::Done(response()));
    assert_eq!(agent.request(4_000, query_permit(used)).body, done);
    let deadline = agent.context.next_deadline();
    assert_eq!(deadline, Some(TimeUs(5_004_000)));
    let actions = agent.handle(5_004, AgentEvent::Tick);
    assert_eq!(actions, [AgentAction::Drained]);
}
