//! Crashes of the engine that an agent states in its replies.

mod support;

use cuminlead_agent_core::{AgentAction, AgentEvent, StreamRef};
use cuminlead_protocol::{
    AgentRequest, DecodeMode, DecodeOpen, DecodeStart, EngineCommand, EngineEvent, EngineRole,
    GetState,
};
use cuminlead_types::{AttemptId, DurationUs, PromptPartId, Tokens};
use support::{Agent, envelope, inventory, parse, reserve};

/// What happens at the agent; numbers are those of requests.
enum Step {
    /// A decode is started, and the engine imports its KV cache.
    Import(u128),
    /// The engine generates a token.
    Generate(u128),
    /// A decode is started and not imported yet.
    Start(u128),
    /// The engine fails the sequence.
    Fail(u128),
    /// The engine does not answer an inventory query.
    Unreachable,
    /// The engine answers an inventory query.
    Reachable,
}

use Step::{Fail, Generate, Import, Reachable, Start, Unreachable};

struct Case {
    name: &'static str,
    /// Steps with their times in ms.
    steps: &'static [(u64, Step)],
    /// Time of the query in ms.
    queried_at_ms: u64,
    /// Requests whose sequences may have caused a crash.
    crashed: &'static [u128],
}

const CASES: &[Case] = &[
    Case {
        name: "the engine is gone after the failure",
        steps: &[(100, Import(1)), (110, Fail(1)), (120, Unreachable)],
        queried_at_ms: 200,
        crashed: &[1],
    },
    Case {
        name: "the engine was found to be gone before the failure",
        steps: &[(100, Import(1)), (110, Unreachable), (120, Fail(1))],
        queried_at_ms: 200,
        crashed: &[1],
    },
    Case {
        name: "the first tokens do not clear the sequence",
        steps: &[
            (100, Import(1)),
            (110, Generate(1)),
            (120, Fail(1)),
            (130, Unreachable),
        ],
        queried_at_ms: 200,
        crashed: &[1],
    },
    Case {
        name: "an output that has lasted is not to blame",
        steps: &[
            (100, Import(1)),
            (110, Generate(1)),
            (410, Fail(1)),
            (420, Unreachable),
        ],
        queried_at_ms: 500,
        crashed: &[],
    },
    Case {
        name: "all sequences that had just begun",
        steps: &[
            (100, Import(1)),
            (110, Import(2)),
            (120, Fail(1)),
            (130, Unreachable),
            (140, Fail(2)),
        ],
        queried_at_ms: 200,
        crashed: &[1, 2],
    },
    Case {
        name: "an engine that rejects a sequence has not crashed",
        steps: &[(100, Import(1)), (110, Fail(1)), (120, Reachable)],
        queried_at_ms: 200,
        crashed: &[],
    },
    Case {
        name: "an engine that is gone much later crashed on something else",
        steps: &[
            (100, Import(1)),
            (110, Fail(1)),
            (120, Reachable),
            (1_110, Unreachable),
        ],
        queried_at_ms: 1_200,
        crashed: &[],
    },
    Case {
        name: "an engine that hangs does not fail its sequences",
        steps: &[(100, Import(1)), (2_200, Unreachable), (4_200, Unreachable)],
        queried_at_ms: 4_300,
        crashed: &[],
    },
    Case {
        name: "a sequence that reached no running engine",
        steps: &[(100, Start(1)), (110, Unreachable), (120, Fail(1))],
        queried_at_ms: 200,
        crashed: &[],
    },
    Case {
        name: "crashes are stated for 30 s",
        steps: &[(100, Import(1)), (110, Fail(1)), (120, Unreachable)],
        queried_at_ms: 30_110,
        crashed: &[],
    },
];

fn id(number: u128) -> AttemptId {
    envelope(number, "kiosks").id
}

fn prompt_parts() -> Vec<PromptPartId> {
    vec![parse("guide"), parse("guide-notes")]
}

fn start(agent: &mut Agent, ms: u64, number: u128) {
    let mut request = reserve(number, "kiosks", "notes");
    if let AgentRequest::Reserve(message) = &mut request {
        message.prompt_parts = prompt_parts();
    }
    agent.request(ms, request);
    let open = DecodeOpen {
        envelope: envelope(number, "kiosks"),
        mode: DecodeMode::Start(DecodeStart {
            output_max_tokens: Tokens(100),
            ..DecodeStart::default()
        }),
    };
    let stream = StreamRef(u64::try_from(number).expect("a small number"));
    agent.handle(ms, AgentEvent::StreamOpened { stream, open });
}

fn engine_event(agent: &mut Agent, ms: u64, event: EngineEvent) {
    agent.handle(ms, AgentEvent::Engine(event));
}

fn play(agent: &mut Agent, ms: u64, step: &Step) {
    match step {
        Start(number) => start(agent, ms, *number),
        Import(number) => {
            start(agent, ms, *number);
            engine_event(agent, ms, EngineEvent::Imported { id: id(*number) });
        }
        Generate(number) => {
            let event = EngineEvent::Generated {
                id: id(*number),
                first_token: 0,
                text: "word".to_string(),
                tokens: Tokens(1),
                finish: None,
            };
            engine_event(agent, ms, event);
        }
        Fail(number) => engine_event(agent, ms, EngineEvent::SequenceFailed { id: id(*number) }),
        Unreachable => engine_event(agent, ms, EngineEvent::Unreachable),
        Reachable => {
            agent.handle(ms, inventory(EngineRole::Decode, &["notes", "other"]));
        }
    }
}

/// Guards against crashes that entries do not learn of, and against blaming a prompt for an engine
/// that hangs, rejects a sequence or was gone before.
#[test]
fn crashes_are_stated_with_the_prompts_that_may_have_caused_them() {
    for case in CASES {
        let mut agent = Agent::for_engine("decode-1", EngineRole::Decode);
        for (ms, step) in case.steps {
            play(&mut agent, *ms, step);
        }
        let query = AgentRequest::GetState(GetState::default());
        let crashes = agent.request(case.queried_at_ms, query).state.crashes;
        let crashed: Vec<u128> = crashes.iter().map(|crash| crash.id.request.0).collect();
        assert_eq!(crashed, case.crashed, "{}", case.name);
        for crash in crashes {
            assert_eq!(crash.prompt_parts, prompt_parts(), "{}", case.name);
            assert!(crash.age_us < DurationUs::from_ms(case.queried_at_ms));
        }
    }
}

/// Guards against an agent that finds out too late that its engine has crashed, when the engine may
/// run again.
#[test]
fn failure_of_a_begun_output_asks_for_the_inventory_at_once() {
    let mut agent = Agent::for_engine("decode-1", EngineRole::Decode);
    play(&mut agent, 100, &Import(1));
    let event = AgentEvent::Engine(EngineEvent::SequenceFailed { id: id(1) });
    let actions = agent.handle(110, event);
    let query = AgentAction::Engine(EngineCommand::ReadInventory);
    assert!(actions.contains(&query), "{actions:?}");
}
