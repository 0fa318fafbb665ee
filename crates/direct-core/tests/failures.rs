//! Failures of requests, at random and by a matrix, checked against what callers and servers are
//! promised. `broken_promises_are_found` shows that the checker finds what it is for.

mod support;

use cuminlead_direct_core::{Action, CacheRef, Call, RequestKind, Reservation, ServerKey, Serving};
use cuminlead_types::TimeUs;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::promises::{Chooser, KINDS, Trace, findings, play};
use support::{model_spec, plain_spec, publish, serving};

fn random_serving(rng: &mut SmallRng) -> Serving {
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

/// Guards against any sequence of failures that breaks a promise: 20,000 requests with fixed seeds.
#[test]
fn random_failures_break_no_promise() {
    for seed in 0..20_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let attempts = rng.random_range(1..4);
        let serving = random_serving(&mut rng);
        let trace = play(&mut Random(rng), serving, kind, attempts);
        let found = findings(kind, attempts, &trace);
        assert!(
            found.is_empty(),
            "seed {seed} {kind:?} {attempts}: {found:?} {trace:?}"
        );
    }
}

/// Fleet of the matrix: two regions, each with servers of all kinds.
fn matrix_serving() -> Serving {
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
/// at each of its first five choices, and no further faults.
#[test]
fn every_fault_at_every_step_breaks_no_promise() {
    let mut cells = 0;
    for kind in KINDS {
        for attempts in 1..4 {
            let mut script = Script::default();
            loop {
                let trace = play(&mut script, matrix_serving(), kind, attempts);
                let found = findings(kind, attempts, &trace);
                let choices = &script.choices;
                assert!(
                    found.is_empty(),
                    "{kind:?} {attempts} {choices:?}: {found:?} {trace:?}"
                );
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

/// Chooses by a list that counts through all possibilities of the first choices.
#[derive(Debug, Default)]
struct Script {
    /// Choice and number of possibilities.
    choices: Vec<(usize, usize)>,
    position: usize,
}

/// Choices that the matrix goes through.
const DEPTH: usize = 5;

impl Script {
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
        if self.position >= DEPTH {
            return 0;
        }
        if self.position == self.choices.len() {
            self.choices.push((0, count));
        }
        self.position += 1;
        self.choices[self.position - 1].0
    }
}

/// Chooses at random; half of the steps go well.
struct Random(SmallRng);

impl Chooser for Random {
    fn choose(&mut self, count: usize) -> usize {
        if self.0.random_bool(0.4) {
            0
        } else {
            self.0.random_range(0..count)
        }
    }
}

/// Guards against a checker that finds nothing: each trace breaks one promise.
#[test]
fn broken_promises_are_found() {
    struct Case {
        kind: RequestKind,
        attempts: u32,
        change: fn(&mut Trace, [ServerKey; 2]),
        finding: &'static str,
    }
    let cases = [
        Case {
            kind: RequestKind::NonIdempotent,
            attempts: 3,
            change: |trace, [a, b]| trace.sends = vec![(a, true), (b, true)],
            finding: "runs twice",
        },
        Case {
            kind: RequestKind::Idempotent,
            attempts: 1,
            change: |trace, [a, b]| trace.sends = vec![(a, true), (b, true)],
            finding: "runs on more servers than the route allows",
        },
        Case {
            kind: RequestKind::Idempotent,
            attempts: 3,
            change: |trace, [a, _]| trace.sends = vec![(a, true), (a, true)],
            finding: "runs twice at one server",
        },
        Case {
            kind: RequestKind::NonIdempotent,
            attempts: 1,
            change: |trace, [a, _]| {
                trace.sends = vec![(a, true)];
                trace.told_not_run = true;
            },
            finding: "refused as not run though it may have run",
        },
        Case {
            kind: RequestKind::Stream { resumable: false },
            attempts: 1,
            change: |trace, _| trace.early_prefill = true,
            finding: "prompt computed without a place",
        },
        Case {
            kind: RequestKind::Stream { resumable: true },
            attempts: 2,
            change: |trace, _| trace.reused_cache = true,
            finding: "cache used twice",
        },
        Case {
            kind: RequestKind::Idempotent,
            attempts: 1,
            change: |trace, _| trace.has_ended = false,
            finding: "does not end",
        },
    ];
    let mut serving = serving();
    publish(&mut serving, &["s1 counter a1 -", "s2 counter a1 -"]);
    let servers = ["s1", "s2"].map(|id| support::key(&serving, id));
    for case in cases {
        let mut trace = Trace {
            has_ended: true,
            ..Trace::default()
        };
        (case.change)(&mut trace, servers);
        let found = findings(case.kind, case.attempts, &trace);
        assert_eq!(found, [case.finding]);
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
                Action::Reserve { .. } => call.reserved(Reservation::Agent),
                Action::Prefill { server, .. } => {
                    let handle = "h".to_string();
                    call.prefill_done(TimeUs::ZERO, &mut serving, CacheRef { server, handle });
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
