//! Model calls at an agent: checks, inventory, drain and changes of the lists.

mod support;

use std::sync::Arc;

use cuminlead_agent_core::{AgentAction, AgentEvent, StreamRef};
use cuminlead_protocol::{
    AgentRequest, DecodeControl, DecodeEvent, DecodeMode, DecodeOpen, DecodeStart, EngineCommand,
    EngineEvent, EngineRole, FinishReason, GetState, RefusalReason, Release, ReplyBody,
};
use cuminlead_types::{SequenceNumber, TimeUs, Tokens};
use support::{Agent, envelope, inventory, lists, prefill, refused, replies, reserve};
use yare::parameterized;

const PREFILL: EngineRole = EngineRole::Prefill;
const DECODE: EngineRole = EngineRole::Decode;
const OUTSIDE_PLAN: Option<RefusalReason> = Some(RefusalReason::OutsidePlan);
const NOT_SERVED: Option<RefusalReason> = Some(RefusalReason::NotServed);

/// Guards against accepting new work that the active lists or the engine's inventory do not allow.
#[parameterized(
    inside_plan = { "decode-1", DECODE, reserve(1, "kiosks", "notes"), None },
    prefill_at_a_prefill_engine = { "prefill-1", PREFILL, prefill(1, "kiosks", "notes"), None },
    unknown_customer = { "decode-1", DECODE, reserve(1, "nobody", "notes"), OUTSIDE_PLAN },
    model_of_another_plan = { "decode-1", DECODE, reserve(1, "kiosks", "other"), OUTSIDE_PLAN },
    server_outside_plan = { "decode-2", DECODE, reserve(1, "kiosks", "notes"), OUTSIDE_PLAN },
    server_outside_lists = { "decode-9", DECODE, reserve(1, "kiosks", "notes"), OUTSIDE_PLAN },
    model_call_at_a_service = { "counter-1", DECODE, reserve(1, "kiosks", "notes"), OUTSIDE_PLAN },
    decode_at_a_prefill_engine = {
        "prefill-1", PREFILL, reserve(1, "kiosks", "notes"), NOT_SERVED
    },
    prefill_at_a_decode_engine = { "decode-1", DECODE, prefill(1, "kiosks", "notes"), NOT_SERVED },
    engine_not_yet_in_its_role = { "decode-1", PREFILL, reserve(1, "kiosks", "notes"), NOT_SERVED },
    model_outside_assignment = { "decode-1", DECODE, reserve(1, "kiosks", "unwanted"), NOT_SERVED },
)]
fn checks_the_plan(
    server: &str,
    role: EngineRole,
    request: AgentRequest,
    expected: Option<RefusalReason>,
) {
    let mut agent = Agent::for_service(server);
    // Orders are sent one at a time: the load of the missing model delays the unload of "unwanted".
    agent.start_engine(0, inventory(role, &["notes", "unwanted"]));
    let actions = agent.send(1, request);
    let bodies: Vec<ReplyBody> = replies(&actions).into_iter().map(|r| r.body).collect();
    match expected {
        Some(reason) => assert_eq!(bodies, [refused(reason)]),
        None => assert!(
            !bodies
                .iter()
                .any(|body| matches!(body, ReplyBody::Failed(_)))
        ),
    }
    let command = |action: &AgentAction| matches!(action, AgentAction::Engine(_));
    assert!(expected.is_none() || !actions.iter().any(command));
}

/// Guards against work that is accepted before the first lists and inventory, and against relying
/// on the last inventory of an engine that is unreachable.
#[test]
fn refuses_until_lists_and_inventory_are_known() {
    let mut agent = Agent::starting("decode-1");
    let starting = refused(RefusalReason::Starting);
    assert_eq!(
        agent.request(0, reserve(1, "kiosks", "notes")).body,
        starting
    );
    let actions = agent.handle(1, AgentEvent::Lists(Arc::new(lists(5))));
    assert!(actions.contains(&AgentAction::Engine(EngineCommand::ReadInventory)));
    assert_eq!(
        agent.request(2, reserve(1, "kiosks", "notes")).body,
        starting
    );
    agent.start_engine(3, inventory(DECODE, &["notes"]));
    let body = agent.request(4, reserve(1, "kiosks", "notes")).body;
    assert!(matches!(body, ReplyBody::Reserved(_)));
    agent.handle(5, AgentEvent::Engine(EngineEvent::Unreachable));
    assert_eq!(
        agent.request(6, reserve(2, "kiosks", "notes")).body,
        starting
    );
    let body = agent.request(7, reserve(1, "kiosks", "notes")).body;
    assert!(
        matches!(body, ReplyBody::Reserved(_)),
        "an attempt survives one failed inventory request"
    );
    agent.handle(8, AgentEvent::Engine(EngineEvent::Unreachable));
    assert_eq!(
        agent.request(9, reserve(1, "kiosks", "notes")).body,
        starting
    );
}

/// Guards against replacing the active lists by an earlier revision.
#[test]
fn older_lists_are_ignored() {
    let mut agent = Agent::for_engine("decode-1", DECODE);
    agent.handle(1, AgentEvent::Lists(Arc::new(lists(4))));
    let state = agent
        .request(2, AgentRequest::GetState(GetState::default()))
        .state;
    assert_eq!(state.lists_revision.0, 5);
}

/// Guards against replies whose load report is from before the decision.
#[test]
fn reply_carries_the_state_after_the_decision() {
    let mut agent = Agent::for_engine("decode-1", DECODE);
    let reply = agent.request(1, reserve(1, "kiosks", "notes"));
    assert_eq!(reply.state.load.free_slots.0, 19);
    assert_eq!(reply.state.load.free_pieces.0, 99);
    assert_eq!(reply.state.load.running_count, 1);
}

/// Guards against an inventory that is polled late, too often or only once.
#[test]
fn inventory_is_read_at_its_interval() {
    let mut agent = Agent::for_engine("decode-1", DECODE);
    let mut read_at = Vec::new();
    for _ in 0..3 {
        let deadline = agent
            .context
            .next_deadline()
            .expect("time of the next poll");
        let actions = agent.handle(deadline.0 / 1_000, AgentEvent::Tick);
        assert_eq!(actions, [AgentAction::Engine(EngineCommand::ReadInventory)]);
        read_at.push(deadline);
    }
    assert_eq!(read_at, [2_000_000, 4_000_000, 6_000_000].map(TimeUs));
}

fn decode_start(number: u128) -> AgentEvent {
    AgentEvent::StreamOpened {
        stream: StreamRef(1),
        open: DecodeOpen {
            envelope: envelope(number, "kiosks"),
            mode: DecodeMode::Start(DecodeStart {
                output_max_tokens: Tokens(10),
                ..DecodeStart::default()
            }),
        },
    }
}

/// Guards against a drain that accepts new work, cancels an in-flight request, or reports its
/// completion early, never or twice.
#[test]
fn drain_completes_requests_in_flight() {
    let mut agent = Agent::for_engine("decode-1", DECODE);
    agent.send(1, reserve(1, "kiosks", "notes"));
    let actions = agent.handle(2, AgentEvent::Drain);
    assert!(!actions.contains(&AgentAction::Drained));
    let reply = agent.request(3, reserve(2, "kiosks", "notes"));
    assert_eq!(reply.body, refused(RefusalReason::Draining));
    assert!(reply.state.draining);
    agent.handle(4, decode_start(1));
    let id = envelope(1, "kiosks").id;
    agent.handle(5, AgentEvent::Engine(EngineEvent::Imported { id }));
    let last = EngineEvent::Generated {
        id,
        first_token: 0,
        text: "answer".to_string(),
        tokens: Tokens(1),
        finish: Some(FinishReason::Stop),
    };
    let actions = agent.handle(6, AgentEvent::Engine(last));
    let chunk = |action: &AgentAction| {
        matches!(
            action,
            AgentAction::Send {
                event: DecodeEvent::Chunk(_),
                ..
            }
        )
    };
    assert!(actions.iter().any(chunk));
    assert!(!actions.contains(&AgentAction::Drained));
    let control = DecodeControl::Acknowledge(SequenceNumber(1));
    let stream = StreamRef(1);
    let actions = agent.handle(7, AgentEvent::StreamControl { stream, control });
    assert_eq!(actions.last(), Some(&AgentAction::Drained));
    let again = agent.handle(8, AgentEvent::Drain);
    assert!(!again.contains(&AgentAction::Drained));
}

/// Guards against a queued request that is granted although new lists removed its plan.
#[test]
fn queued_request_is_checked_against_new_lists() {
    let mut agent = Agent::for_engine("decode-1", DECODE);
    for number in 0..20 {
        agent.send(1, reserve(number, "kiosks", "notes"));
    }
    assert!(replies(&agent.send(2, reserve(20, "kiosks", "notes"))).is_empty());
    let mut changed = lists(6);
    Arc::make_mut(&mut changed.allowances).clear();
    let actions = agent.handle(3, AgentEvent::Lists(Arc::new(changed)));
    assert_eq!(
        replies(&actions)[0].body,
        refused(RefusalReason::OutsidePlan)
    );
}

/// Guards against a repeated message that is refused because the plan changed after its attempt was
/// accepted.
#[test]
fn repeated_message_is_answered_after_the_plan_ended() {
    let mut agent = Agent::for_engine("decode-1", DECODE);
    agent.send(1, reserve(1, "kiosks", "notes"));
    let mut changed = lists(6);
    Arc::make_mut(&mut changed.allowances).clear();
    agent.handle(2, AgentEvent::Lists(Arc::new(changed)));
    let body = agent.request(3, reserve(1, "kiosks", "notes")).body;
    assert!(matches!(body, ReplyBody::Reserved(_)));
    let body = agent.request(4, reserve(2, "kiosks", "notes")).body;
    assert_eq!(body, refused(RefusalReason::OutsidePlan));
    let message = Release {
        envelope: envelope(1, "kiosks"),
    };
    let body = agent.request(5, AgentRequest::Release(message)).body;
    assert_eq!(body, ReplyBody::Released);
}

/// Guards against KV memory that an earlier incarnation of the agent left in the engine and that,
/// after its release, stays allocated until two inventories have shown it.
#[test]
fn release_of_an_unknown_attempt_reaches_the_engine() {
    let mut agent = Agent::starting("prefill-1");
    let envelope = envelope(1, "kiosks");
    let id = envelope.id;
    let actions = agent.send(1, AgentRequest::Release(Release { envelope }));
    let cancel = EngineCommand::Cancel { id };
    assert!(actions.contains(&AgentAction::Engine(cancel)));
    let bodies: Vec<ReplyBody> = replies(&actions).into_iter().map(|r| r.body).collect();
    assert_eq!(bodies, [ReplyBody::Released]);
}
