//! Prompts that crash each engine that generates output for them.

use cuminlead_entry_core::CallOutcome;
use cuminlead_matrix::guard_hooks::NoGuardHooks;
use cuminlead_matrix::{Ending, PathKind, RequestSpec, Simulation, SimulationConfig, TimedFault};
use cuminlead_types::{DurationUs, RequestId, TimeUs, Tokens};
use cuminlead_verifier::Observation;

const START: TimeUs = TimeUs(10_000_000);
const INTERVAL: DurationUs = DurationUs::from_ms(250);
const REQUESTS_COUNT: u64 = 160;
/// Time after the fifth crash from which on the bound holds.
const STABLE: DurationUs = DurationUs::from_ms(4_000);
/// Most crashes after that time.
const LATE_CRASHES_MAX: usize = 3;
/// Bytes of a block of the routing settings: 256 tokens of 4 bytes.
const BLOCK_BYTES: usize = 1_024;
const CRASHING_TEXT: &str = "crash";

struct Case {
    name: &'static str,
    /// Texts of the parts that the crashing requests have in common, one block each.
    crashing: &'static [&'static str],
    /// Texts of the parts that the sound requests have in common.
    sound: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "the part after one that sound requests share",
        crashing: &["guide", CRASHING_TEXT],
        sound: &["guide", "notes"],
    },
    Case {
        name: "the first part",
        crashing: &[CRASHING_TEXT, "notes"],
        sound: &["guide", "notes"],
    },
    Case {
        name: "a part far behind the beginning",
        crashing: &["guide", "a", "b", "c", "d", CRASHING_TEXT],
        sound: &["guide", "a", "b", "c", "d", "notes"],
    },
];

fn prompt(parts: &[&str], number: u64) -> String {
    let mut prompt = String::new();
    for part in parts {
        prompt.extend(part.chars().cycle().take(BLOCK_BYTES));
    }
    prompt + &format!("request {number} ").repeat(BLOCK_BYTES / 10)
}

fn sent_at(number: u64) -> TimeUs {
    START + DurationUs(INTERVAL.get() * number)
}

/// Every second request crashes engines; both kinds arrive at both entries.
fn is_crashing(number: u64) -> bool {
    number % 4 < 2
}

fn run(case: &Case) -> Simulation {
    let config = SimulationConfig {
        decodes_count: 6,
        crashing_text: Some(CRASHING_TEXT.to_string()),
        ..SimulationConfig::default()
    };
    let mut simulation = Simulation::new(config, Box::new(NoGuardHooks));
    let entries = simulation.entry_nodes();
    for number in 1..=REQUESTS_COUNT {
        let entry = entries[usize::from(number % 2 == 0)];
        let parts = if is_crashing(number) {
            case.crashing
        } else {
            case.sound
        };
        let spec = RequestSpec {
            prompt: prompt(parts, number),
            ..RequestSpec::new(number, PathKind::Model, entry, Tokens::ZERO)
        };
        simulation.send_at(sent_at(number), spec);
    }
    simulation.run_until(sent_at(REQUESTS_COUNT) + DurationUs::from_ms(30_000));
    simulation
}

fn crashed_at(simulation: &Simulation) -> Vec<TimeUs> {
    let crashes = simulation
        .record()
        .iter()
        .filter(|observed| matches!(observed.what, Observation::EngineRestarted { .. }));
    crashes.map(|observed| observed.at).collect()
}

/// Guards against sending requests with one prompt part to engine after engine, each of which
/// crashes on it.
#[test]
fn crashing_prompt_part_reaches_no_more_engines() {
    for case in CASES {
        let simulation = run(case);
        let crashes = crashed_at(&simulation);
        println!("{}: crashes at {crashes:?}", case.name);
        let late_from = crashes.get(4).map(|fifth| *fifth + STABLE);
        let late = crashes
            .iter()
            .filter(|at| late_from.is_some_and(|from| **at > from));
        assert!(
            late.count() <= LATE_CRASHES_MAX,
            "{}: crashes at {crashes:?}",
            case.name
        );
        // The last fourth of the requests is sent long after the detection.
        for number in REQUESTS_COUNT * 3 / 4..=REQUESTS_COUNT {
            let result = &simulation.results()[&RequestId(u128::from(number))];
            let expected = if is_crashing(number) {
                Ending::Failed(CallOutcome::NotRun)
            } else {
                Ending::Answered
            };
            assert_eq!(
                result.ending,
                Some(expected),
                "{}: request {number}: {}",
                case.name,
                result.error
            );
        }
    }
}

/// Guards against refusing sound prompts because engines crash again and again while they run
/// there.
#[test]
fn prompts_are_not_blamed_for_crashes_that_they_do_not_cause() {
    const DECODES_COUNT: usize = 6;
    const SOUND_COUNT: u64 = 800;
    const SOUND_INTERVAL: DurationUs = DurationUs::from_ms(50);
    const CRASH_INTERVAL: DurationUs = DurationUs::from_ms(400);
    let sent_at = |number: u64| START + DurationUs(SOUND_INTERVAL.get() * number);
    let config = SimulationConfig {
        decodes_count: DECODES_COUNT,
        ..SimulationConfig::default()
    };
    let mut simulation = Simulation::new(config, Box::new(NoGuardHooks));
    let entries = simulation.entry_nodes();
    for number in 1..=SOUND_COUNT {
        let spec = RequestSpec {
            prompt: prompt(&["guide", "notes"], number),
            ..RequestSpec::new(number, PathKind::Model, entries[0], Tokens::ZERO)
        };
        simulation.send_at(sent_at(number), spec);
    }
    for number in 0..80 {
        let server = format!("decode-{}", number % DECODES_COUNT);
        let server = server.parse().expect("a valid name");
        let node = simulation.host_of(&server).expect("a host of the layout");
        let at = START + DurationUs(CRASH_INTERVAL.get() * number as u64);
        simulation.inject_at(at, TimedFault::EngineLost(node));
    }
    simulation.run_until(sent_at(SOUND_COUNT) + DurationUs::from_ms(30_000));
    assert!(crashed_at(&simulation).len() >= 60);
    for (request, result) in simulation.results() {
        assert!(
            !result.error.contains("part of the prompt"),
            "{request}: {}",
            result.error
        );
    }
    let last = &simulation.results()[&RequestId(u128::from(SOUND_COUNT))];
    assert_eq!(last.ending, Some(Ending::Answered), "{}", last.error);
}
