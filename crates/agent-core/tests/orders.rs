//! Orders to the engine, and what they mean for new work.

mod support;

use std::sync::Arc;

use cuminlead_agent_core::{AgentAction, AgentEvent};
use cuminlead_lists::{Lists, ServerDuty, WantedRole};
use cuminlead_protocol::{
    AgentRequest, EngineCommand, EngineEvent, EngineOrder, EngineRole, RefusalReason, Release,
    ReplyBody,
};
use cuminlead_types::{FencingNumber, TimeUs};
use support::{Agent, envelope, inventory, lists, name, refused, reserve};

const SET_PREFILL: EngineOrder = EngineOrder::SetRole {
    role: EngineRole::Prefill,
};

fn order(actions: &[AgentAction]) -> Option<(FencingNumber, EngineOrder)> {
    actions.iter().find_map(|action| match action {
        AgentAction::Engine(EngineCommand::Order { fencing, order }) => {
            Some((*fencing, order.clone()))
        }
        _ => None,
    })
}

/// Lists that want another role and one more model of the decode engine.
fn changed(revision: u64, role: WantedRole, has_new_model: bool) -> AgentEvent {
    let mut lists: Lists = lists(revision);
    let server = Arc::make_mut(&mut lists.servers)
        .get_mut(&name("decode-1"))
        .expect("listed");
    if let ServerDuty::Engine(duty) = &mut server.duty {
        duty.role = role;
        let mut model = duty.models[0].clone();
        model.model = name("new");
        duty.models.extend(has_new_model.then_some(model));
    }
    AgentEvent::Lists(Arc::new(lists))
}

fn release(number: u128) -> AgentRequest {
    AgentRequest::Release(Release {
        envelope: envelope(number, "kiosks"),
    })
}

/// Guards against a wanted model that is never loaded or is used before it is loaded, and against a draining agent that still
/// draws from the weight store.
#[test]
fn wanted_model_is_ordered_unless_draining() {
    let mut agent = Agent::of_engine("decode-1", EngineRole::Decode);
    let actions = agent.handle(1, changed(6, WantedRole::Decode, true));
    let (fencing, load) = order(&actions).expect("an order");
    assert!(matches!(load, EngineOrder::LoadModel { .. }));
    let body = agent.ask(1, reserve(1, "kiosks", "new")).body;
    assert_eq!(body, refused(RefusalReason::NotServed));
    agent.handle(2, AgentEvent::Engine(EngineEvent::OrderFailed { fencing }));
    agent.handle(3, AgentEvent::Drain);
    assert_eq!(order(&agent.handle(60_000, AgentEvent::Tick)), None);
}

/// Whether a new request gets a place.
fn is_served(agent: &mut Agent, ms: u64, number: u128) -> bool {
    let body = agent.ask(ms, reserve(number, "kiosks", "notes")).body;
    assert!(matches!(body, ReplyBody::Reserved(_)) || body == refused(RefusalReason::NotServed));
    matches!(body, ReplyBody::Reserved(_))
}

/// Guards against a role that changes under a lease or before it is settled, against a missed
/// deadline of the change, and against new work of a role that the engine is about to leave, even
/// when the lists want the role back meanwhile.
#[test]
fn role_changes_after_its_leases_have_ended() {
    let still_decode = || inventory(EngineRole::Decode, &["notes", "other"]);
    let mut agent = Agent::of_engine("decode-1", EngineRole::Decode);
    assert!(is_served(&mut agent, 1, 1));
    agent.handle(1_000, changed(6, WantedRole::Prefill, false));
    agent.handle(8_000, still_decode());
    assert!(!is_served(&mut agent, 9_000, 2));
    agent.handle(10_500, AgentEvent::Tick);
    let deadline = agent.context.next_deadline();
    assert_eq!(deadline, Some(TimeUs(11_000_000)));
    assert_eq!(order(&agent.handle(11_000, AgentEvent::Tick)), None);
    let (fencing, set_role) = order(&agent.send(11_050, release(1))).expect("an order");
    assert_eq!(set_role, SET_PREFILL);
    agent.handle(11_100, changed(7, WantedRole::Decode, false));
    assert!(!is_served(&mut agent, 11_200, 3));
    let order_failed = EngineEvent::OrderFailed { fencing };
    agent.handle(11_300, AgentEvent::Engine(order_failed));
    agent.handle(11_400, still_decode());
    assert!(!is_served(&mut agent, 11_500, 4));
    agent.handle(12_500, AgentEvent::Tick);
    agent.handle(12_600, still_decode());
    assert!(is_served(&mut agent, 12_700, 5));
}
