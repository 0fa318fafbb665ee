//! Failures of requests, random and enumerated. The verifier checks each record against the
//! guarantees to callers and servers, and each action is compared with a reference implementation
//! of the call.
//!
//! `disabled_guards_are_detected` shows that these checks detect violations.

mod support;

use cuminlead_direct_core::{Action, CacheRef, Call, RequestKind, Reservation, ServingState};
use cuminlead_types::TimeUs;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::scenario::{
    DisabledGuard, FaultChooser, KINDS, SERVER_CHANGES, Scenario, ScenarioResult, ServerChange,
    run_scenario,
};
use support::{model_spec, plain_spec, publish, serving};

fn random_serving(rng: &mut SmallRng) -> ServingState {
    let mut serving = serving();
    let zones = ["a1", "a2", "b1"];
    for index in 0..rng.random_range(0..5) {
        let zone = zones[rng.random_range(0..3)];
        publish(&mut serving, &[&format!("s{index} counter {zone} -")]);
    }
    for index in 0..rng.random_range(0..7) {
        let zone = zones[rng.random_range(0..3)];
        let stage = if rng.random_bool(0.4) {
            "prefill"
        } else {
            "decode"
        };
        publish(&mut serving, &[&format!("e{index} notes {zone} {stage}")]);
    }
    serving
}

fn check(result: &ScenarioResult, input: &str) {
    let text = result.findings.to_string();
    assert!(text.is_empty(), "{input}: {text}\n{}", result.record);
    let difference = result.difference.as_deref().unwrap_or_default();
    assert!(
        difference.is_empty(),
        "{input}: {difference}\n{}",
        result.record
    );
}

/// Guards against any sequence of failures that violates a guarantee or makes the call differ from
/// the reference implementation: 20,000 requests with fixed seeds, half of them while servers fail
/// other requests and change state.
#[test]
fn random_failures_violate_no_guarantee() {
    for seed in 0..20_000 {
        let result = run_random_scenario(seed, DisabledGuard::None);
        check(&result, &format!("seed {seed}"));
    }
}

fn run_random_scenario(seed: u64, disabled_guard: DisabledGuard) -> ScenarioResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let kind = KINDS[rng.random_range(0..KINDS.len())];
    let attempts_max_count = rng.random_range(1..4);
    let serving = random_serving(&mut rng);
    let mut chooser = Random {
        rng,
        has_changes: seed % 2 == 1,
    };
    let input = Scenario {
        serving,
        kind,
        attempts_max_count,
        disabled_guard,
    };
    run_scenario(&mut chooser, input)
}

/// Guards against checks that detect nothing: with each guard disabled, the guarantee that it keeps
/// must be reported as violated.
#[test]
fn disabled_guards_are_detected() {
    struct Case {
        disabled_guard: DisabledGuard,
        guarantee: &'static str,
    }
    let cases = [
        Case {
            disabled_guard: DisabledGuard::ProofOfNoRun,
            guarantee: "P5",
        },
        Case {
            disabled_guard: DisabledGuard::AccurateRefusals,
            guarantee: "P4",
        },
        Case {
            disabled_guard: DisabledGuard::AttemptsBound,
            guarantee: "Attempts",
        },
        Case {
            disabled_guard: DisabledGuard::Reservation,
            guarantee: "Places",
        },
        Case {
            disabled_guard: DisabledGuard::CacheState,
            guarantee: "Caches",
        },
    ];
    for case in cases {
        let is_found = (0..2_000).any(|seed| {
            let result = run_random_scenario(seed, case.disabled_guard);
            let mut findings = result.findings.iter();
            findings.any(|finding| finding.location.key.starts_with(case.guarantee))
        });
        assert!(is_found, "{:?}", case.disabled_guard);
    }
}

/// Fleet of the enumerated tests: two regions, each with servers of all kinds.
fn enumerated_serving() -> ServingState {
    let mut serving = serving();
    publish(
        &mut serving,
        &[
            "s1 counter a1 -",
            "s2 counter a2 -",
            "s3 counter b1 -",
            "p1 notes a1 prefill",
            "p2 notes b1 prefill",
            "d1 notes a1 decode",
            "d2 notes a2 decode",
            "d3 notes b1 decode",
        ],
    );
    serving
}

/// Guards against a fault, or several, at any step: each kind of request with each outcome at each
/// of its first six choices, and no further faults.
#[test]
fn every_fault_at_every_step_violates_no_guarantee() {
    let mut cases_count = 0;
    for kind in KINDS {
        for attempts_max_count in 1..4 {
            let mut script = Script::with_depth(6);
            loop {
                run_case(&mut script, kind, attempts_max_count);
                cases_count += 1;
                if !script.advance() {
                    break;
                }
            }
        }
    }
    // Guards against a test that passes because steps are missing from the enumerated paths.
    assert!(cases_count > 10_000, "only {cases_count} cases");
}

/// Guards against a server that changes state at any step, alone and with up to two faults: a slot
/// at a server that has been excluded since, a cache whose server is removed, a decode in another
/// region.
#[test]
fn every_change_of_a_server_at_every_step_violates_no_guarantee() {
    let mut cases_count = 0;
    for kind in KINDS {
        let servers_count = enumerated_serving().servers.iter().count();
        for change in SERVER_CHANGES {
            for server in 0..servers_count {
                for step in 0..6 {
                    let mut script = Script::with_depth(2);
                    script.scheduled_change = Some(ScheduledChange {
                        step,
                        server,
                        change,
                    });
                    loop {
                        run_case(&mut script, kind, 2);
                        cases_count += 1;
                        if !script.advance() {
                            break;
                        }
                    }
                }
            }
        }
    }
    assert!(cases_count > 10_000, "only {cases_count} cases");
}

fn run_case(script: &mut Script, kind: RequestKind, attempts_max_count: u32) {
    let input = Scenario {
        serving: enumerated_serving(),
        kind,
        attempts_max_count,
        disabled_guard: DisabledGuard::None,
    };
    let result = run_scenario(script, input);
    let (choices, scheduled_change) = (&script.choices, &script.scheduled_change);
    check(
        &result,
        &format!("{kind:?} {attempts_max_count} {choices:?} {scheduled_change:?}"),
    );
}

/// Change of one server before a step.
#[derive(Clone, Copy, Debug)]
struct ScheduledChange {
    step: usize,
    server: usize,
    change: ServerChange,
}

/// Enumerates all combinations of the first choices.
#[derive(Debug, Default)]
struct Script {
    /// Choice and number of possibilities.
    choices: Vec<(usize, usize)>,
    position: usize,
    /// Number of choices to enumerate.
    depth: usize,
    scheduled_change: Option<ScheduledChange>,
}

impl Script {
    fn with_depth(depth: usize) -> Self {
        Self {
            depth,
            ..Self::default()
        }
    }

    /// Moves to the next combination; false after the last one.
    fn advance(&mut self) -> bool {
        self.position = 0;
        while let Some((choice, count)) = self.choices.pop() {
            if choice + 1 < count {
                self.choices.push((choice + 1, count));
                return true;
            }
        }
        false
    }
}

impl FaultChooser for Script {
    fn choose(&mut self, count: usize) -> usize {
        if self.position >= self.depth {
            return 0;
        }
        if self.position == self.choices.len() {
            self.choices.push((0, count));
        }
        self.position += 1;
        self.choices[self.position - 1].0
    }

    fn choose_change(
        &mut self,
        step: usize,
        _servers_count: usize,
    ) -> Option<(usize, ServerChange)> {
        let scheduled_change = self
            .scheduled_change
            .filter(|scheduled_change| scheduled_change.step == step)?;
        Some((scheduled_change.server, scheduled_change.change))
    }
}

/// Chooses at random; about half of the steps go without a fault.
struct Random {
    rng: SmallRng,
    has_changes: bool,
}

impl FaultChooser for Random {
    fn choose(&mut self, count: usize) -> usize {
        if self.rng.random_bool(0.4) {
            0
        } else {
            self.rng.random_range(0..count)
        }
    }

    fn choose_change(
        &mut self,
        _step: usize,
        servers_count: usize,
    ) -> Option<(usize, ServerChange)> {
        if !self.has_changes || servers_count == 0 || !self.rng.random_bool(0.3) {
            return None;
        }
        let server = self.rng.random_range(0..servers_count);
        let change = SERVER_CHANGES[self.rng.random_range(0..SERVER_CHANGES.len())];
        Some((server, change))
    }
}

/// Guards against requests that are never attempted: while servers respond, each request ends with
/// a response.
#[test]
fn requests_are_served_when_nothing_fails() {
    for kind in KINDS {
        let mut serving = serving();
        publish(
            &mut serving,
            &[
                "s1 counter a1 -",
                "p1 notes a1 prefill",
                "d1 notes a1 decode",
            ],
        );
        let is_model = matches!(kind, RequestKind::Stream { .. });
        let mut call = Call::new(if is_model {
            model_spec(kind, 1)
        } else {
            plain_spec(kind, 1)
        });
        let mut runs = 0;
        for _ in 0..4 {
            match call.next(TimeUs::ZERO, &mut serving) {
                Action::Reserve { server, .. } => {
                    call.reserved(server, Reservation::Agent, false);
                }
                Action::Prefill { server, .. } => {
                    let cache = CacheRef {
                        server,
                        region: None,
                        handle: "h".to_string(),
                    };
                    call.prefill_done(TimeUs::ZERO, &mut serving, cache);
                }
                Action::Run { .. } => {
                    runs += 1;
                    break;
                }
                other => panic!("{kind:?}: {other:?}"),
            }
        }
        assert_eq!(runs, 1, "{kind:?}");
    }
}
