//! Engine orders of an agent, and their effect on new work.

mod support;

use std::sync::Arc;

use cuminlead_agent_core::AgentEvent;
use cuminlead_lists::{AssignedRole, Lists, ServerAssignment};
use cuminlead_protocol::{
    AgentRequest, EngineEvent, EngineOrder, EngineRole, RefusalReason, Release, ReplyBody,
};
use cuminlead_types::{FencingNumber, TimeUs};
use support::{Agent, engine_order, envelope, inventory, lists, parse, refused, reserve};
use yare::parameterized;

const SET_PREFILL: EngineOrder = EngineOrder::SetRole {
    role: EngineRole::Prefill,
};

/// Lists that assign `decode-1` the given role and, if asked, the additional model "new".
fn changed(revision: u64, role: AssignedRole, has_new_model: bool) -> AgentEvent {
    let mut lists: Lists = lists(revision);
    let server = Arc::make_mut(&mut lists.servers)
        .get_mut(&parse("decode-1"))
        .expect("listed");
    if let ServerAssignment::Engine(assignment) = &mut server.assignment {
        assignment.role = role;
        let mut model = assignment.models[0].clone();
        model.model = parse("new");
        assignment.models.extend(has_new_model.then_some(model));
    }
    AgentEvent::Lists(Arc::new(lists))
}

fn release(number: u128) -> AgentRequest {
    AgentRequest::Release(Release {
        envelope: envelope(number, "kiosks"),
    })
}

/// Guards against an assigned model that is never loaded or is used before it is loaded, and
/// against a draining agent that still loads weights.
#[test]
fn assigned_model_is_loaded_unless_draining() {
    let mut agent = Agent::for_engine("decode-1", EngineRole::Decode);
    let actions = agent.handle(1, changed(6, AssignedRole::Decode, true));
    let (fencing, load) = engine_order(&actions).expect("an order");
    assert!(matches!(load, EngineOrder::LoadModel { .. }));
    let body = agent.request(1, reserve(1, "kiosks", "new")).body;
    assert_eq!(body, refused(RefusalReason::NotServed));
    agent.handle(2, AgentEvent::Engine(EngineEvent::OrderFailed { fencing }));
    agent.handle(3, AgentEvent::Drain);
    assert_eq!(engine_order(&agent.handle(60_000, AgentEvent::Tick)), None);
}

/// Whether a new request gets a decode slot.
fn is_served(agent: &mut Agent, ms: u64, number: u128) -> bool {
    let body = agent.request(ms, reserve(number, "kiosks", "notes")).body;
    assert!(matches!(body, ReplyBody::Reserved(_)) || body == refused(RefusalReason::NotServed));
    matches!(body, ReplyBody::Reserved(_))
}

/// Guards against a role change while a lease is held or before the assignment has been stable long
/// enough, against a missed deadline for the change, and against new work in a role that the engine
/// is about to leave, even if the lists assign that role again in the meantime.
#[test]
fn role_changes_after_its_leases_have_ended() {
    let still_decode = || inventory(EngineRole::Decode, &["notes", "other"]);
    let mut agent = Agent::for_engine("decode-1", EngineRole::Decode);
    assert!(is_served(&mut agent, 1, 1));
    agent.handle(1_000, changed(6, AssignedRole::Prefill, false));
    agent.handle(8_000, still_decode());
    assert!(!is_served(&mut agent, 9_000, 2));
    agent.handle(10_500, AgentEvent::Tick);
    let deadline = agent.context.next_deadline();
    assert_eq!(deadline, Some(TimeUs(11_000_000)));
    assert_eq!(engine_order(&agent.handle(11_000, AgentEvent::Tick)), None);
    let (fencing, set_role) = engine_order(&agent.send(11_050, release(1))).expect("an order");
    assert_eq!(set_role, SET_PREFILL);
    agent.handle(11_100, changed(7, AssignedRole::Decode, false));
    assert!(!is_served(&mut agent, 11_200, 3));
    let order_failed = EngineEvent::OrderFailed { fencing };
    agent.handle(11_300, AgentEvent::Engine(order_failed));
    agent.handle(11_400, still_decode());
    assert!(!is_served(&mut agent, 11_500, 4));
    agent.handle(12_500, AgentEvent::Tick);
    agent.handle(12_600, still_decode());
    assert!(is_served(&mut agent, 12_700, 5));
}

/// Guards against work that a late order of an earlier incarnation interrupts: the engine must
/// first have seen a fencing number of this incarnation. An engine that does not answer the first
/// order is used after its timeout.
#[parameterized(
    done = { 10, |fencing| EngineEvent::OrderDone { fencing }, true },
    failed = { 10, |fencing| EngineEvent::OrderFailed { fencing }, true },
    other_order = { 10, |_| EngineEvent::OrderDone { fencing: FencingNumber::default() }, false },
    unreachable = { 10, |_| EngineEvent::Unreachable, false },
    not_answered = { 2_000, |_| EngineEvent::OrderDone { fencing: FencingNumber::default() }, true },
)]
fn work_waits_for_the_first_order(ms: u64, answer: fn(FencingNumber) -> EngineEvent, served: bool) {
    let mut agent = Agent::for_service("decode-1");
    let actions = agent.handle(0, inventory(EngineRole::Decode, &["notes", "other"]));
    let (fencing, repeated) = engine_order(&actions).expect("an order");
    let role = EngineRole::Decode;
    assert_eq!(repeated, EngineOrder::SetRole { role });
    let body = agent.request(1, reserve(1, "kiosks", "notes")).body;
    assert_eq!(body, refused(RefusalReason::Starting));
    agent.handle(ms, AgentEvent::Engine(answer(fencing)));
    let body = agent.request(ms, reserve(2, "kiosks", "notes")).body;
    assert_eq!(matches!(body, ReplyBody::Reserved(_)), served, "{body:?}");
}

/// Guards against an engine that was unreachable for the first order and never receives a fencing
/// number of this incarnation.
#[test]
fn first_order_is_repeated_after_an_unreachable_engine() {
    let mut agent = Agent::for_service("decode-1");
    agent.handle(0, inventory(EngineRole::Decode, &["notes", "other"]));
    agent.handle(1, AgentEvent::Engine(EngineEvent::Unreachable));
    let actions = agent.handle(2_000, inventory(EngineRole::Decode, &["notes", "other"]));
    assert!(engine_order(&actions).is_some());
}
