//! Failures of requests, at random and by a matrix, checked by the verifier against what callers and
//! servers are promised and compared with a naive version of the call.
//!
//! `removed_guards_are_noticed` shows that the checks find what they are for.

mod support;

use cuminlead_direct_core::{Action, CacheRef, Call, RequestKind, Reservation, ServingState};
use cuminlead_types::TimeUs;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::play::{Chooser, DISTURBANCES, Disturbance, KINDS, Play, Played, Removed, play};
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

fn check(played: &Played, input: &str) {
    let text = played.findings.to_string();
    assert!(text.is_empty(), "{input}: {text}\n{}", played.record);
    let difference = played.difference.as_deref().unwrap_or_default();
    assert!(
        difference.is_empty(),
        "{input}: {difference}\n{}",
        played.record
    );
}

/// Guards against any sequence of failures that breaks a promise or differs from the naive version:
/// 20,000 requests with fixed seeds, half of them while servers fail other requests and change.
#[test]
fn random_failures_break_no_promise() {
    for seed in 0..20_000 {
        let played = play_at_random(seed, Removed::None);
        check(&played, &format!("seed {seed}"));
    }
}

fn play_at_random(seed: u64, removed: Removed) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let kind = KINDS[rng.random_range(0..KINDS.len())];
    let attempts_max_count = rng.random_range(1..4);
    let serving = random_serving(&mut rng);
    let mut chooser = Random {
        rng,
        is_disturbed: seed % 2 == 1,
    };
    let input = Play {
        serving,
        kind,
        attempts_max_count,
        removed,
    };
    play(&mut chooser, input)
}

/// Guards against checks that notice nothing: with each guard removed, the promise that it keeps is
/// found broken.
#[test]
fn removed_guards_are_noticed() {
    struct Case {
        removed: Removed,
        promise: &'static str,
    }
    let cases = [
        Case {
            removed: Removed::ProofOfNoRun,
            promise: "P5",
        },
        Case {
            removed: Removed::TruthOfRefusals,
            promise: "P4",
        },
        Case {
            removed: Removed::AttemptsBound,
            promise: "Attempts",
        },
        Case {
            removed: Removed::Reservation,
            promise: "Places",
        },
        Case {
            removed: Removed::CacheState,
            promise: "Caches",
        },
    ];
    for case in cases {
        let is_found = (0..2_000).any(|seed| {
            let played = play_at_random(seed, case.removed);
            let mut findings = played.findings.iter();
            findings.any(|finding| finding.location.key.starts_with(case.promise))
        });
        assert!(is_found, "{:?}", case.removed);
    }
}

/// Fleet of the matrix: two regions, each with servers of all kinds.
fn matrix_serving() -> ServingState {
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

/// Guards against a fault, or faults together, at any step: each kind of request with each outcome
/// at each of its first six choices, and no further faults.
#[test]
fn every_fault_at_every_step_breaks_no_promise() {
    let mut cells = 0;
    for kind in KINDS {
        for attempts_max_count in 1..4 {
            let mut script = Script::with_depth(6);
            loop {
                play_cell(&mut script, kind, attempts_max_count);
                cells += 1;
                if !script.advance() {
                    break;
                }
            }
        }
    }
    // The verdict means nothing when steps have disappeared from the paths.
    assert!(cells > 10_000, "only {cells} cells");
}

/// Guards against a server that changes at any step, alone and with up to two faults: a place at a
/// server that is left out since, a cache whose server is gone, a decode in another region.
#[test]
fn every_change_of_a_server_at_every_step_breaks_no_promise() {
    let mut cells = 0;
    for kind in KINDS {
        let servers_count = matrix_serving().servers.iter().count();
        for disturbance in DISTURBANCES {
            for server in 0..servers_count {
                for step in 0..6 {
                    let mut script = Script::with_depth(2);
                    script.disturbed = Some(Disturbed {
                        step,
                        server,
                        disturbance,
                    });
                    loop {
                        play_cell(&mut script, kind, 2);
                        cells += 1;
                        if !script.advance() {
                            break;
                        }
                    }
                }
            }
        }
    }
    assert!(cells > 10_000, "only {cells} cells");
}

fn play_cell(script: &mut Script, kind: RequestKind, attempts_max_count: u32) {
    let input = Play {
        serving: matrix_serving(),
        kind,
        attempts_max_count,
        removed: Removed::None,
    };
    let played = play(script, input);
    let (choices, disturbed) = (&script.choices, &script.disturbed);
    check(
        &played,
        &format!("{kind:?} {attempts_max_count} {choices:?} {disturbed:?}"),
    );
}

/// Change of one server before a step.
#[derive(Clone, Copy, Debug)]
struct Disturbed {
    step: usize,
    server: usize,
    disturbance: Disturbance,
}

/// Chooses by a list that counts through all possibilities of the first choices.
#[derive(Debug, Default)]
struct Script {
    /// Choice and number of possibilities.
    choices: Vec<(usize, usize)>,
    position: usize,
    /// Choices that the matrix goes through.
    depth: usize,
    disturbed: Option<Disturbed>,
}

impl Script {
    fn with_depth(depth: usize) -> Self {
        Self {
            depth,
            ..Self::default()
        }
    }

    /// Next combination; false after the last one.
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

impl Chooser for Script {
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

    fn disturb(&mut self, step: usize, _servers_count: usize) -> Option<(usize, Disturbance)> {
        let disturbed = self.disturbed.filter(|disturbed| disturbed.step == step)?;
        Some((disturbed.server, disturbed.disturbance))
    }
}

/// Chooses at random; half of the steps go well.
struct Random {
    rng: SmallRng,
    is_disturbed: bool,
}

impl Chooser for Random {
    fn choose(&mut self, count: usize) -> usize {
        if self.rng.random_bool(0.4) {
            0
        } else {
            self.rng.random_range(0..count)
        }
    }

    fn disturb(&mut self, _step: usize, servers_count: usize) -> Option<(usize, Disturbance)> {
        if !self.is_disturbed || servers_count == 0 || !self.rng.random_bool(0.3) {
            return None;
        }
        let server = self.rng.random_range(0..servers_count);
        let disturbance = DISTURBANCES[self.rng.random_range(0..DISTURBANCES.len())];
        Some((server, disturbance))
    }
}

/// Guards against requests that are never tried: with servers that answer, each one ends with an
/// answer.
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
