//! Random failures of requests, checked against what callers and servers are promised.
//!
//! The checker sees only what reached servers and what the caller was told; it knows nothing of the
//! state of the call. `broken_promises_are_found` shows that it finds what it is for.

mod support;

use std::collections::HashSet;

use cuminlead_direct_core::{
    Action, CacheRef, Call, Outcome, RequestKind, Reservation, ServerKey, Serving,
};
use cuminlead_types::TimeUs;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{model_spec, ms, plain_spec, publish, serving};

const KINDS: [RequestKind; 4] = [
    RequestKind::Idempotent,
    RequestKind::NonIdempotent,
    RequestKind::Stream { resumable: false },
    RequestKind::Stream { resumable: true },
];

const OUTCOMES: [Outcome; 8] = [
    Outcome::Unreachable,
    Outcome::TurnedAway,
    Outcome::OtherIncarnation,
    Outcome::CacheGone,
    Outcome::Failed,
    Outcome::Lost,
    Outcome::Garbled,
    Outcome::TimedOut,
];

/// Steps after which a call that goes on is taken for endless.
const STEPS_MAX: usize = 500;

/// What a request did, as servers and the caller saw it.
#[derive(Debug, Default)]
struct Trace {
    /// Sends to run, with whether the server may have run the request.
    sends: Vec<(ServerKey, bool)>,
    /// Whether the caller was told that the request never runs.
    told_not_run: bool,
    /// Whether the call ended before its steps ran out.
    has_ended: bool,
    /// Whether a prefill was asked for before a place was held, and of whom.
    early_prefill: bool,
    /// Names of caches that were offered to more than one run that may have taken them.
    reused_cache: bool,
}

/// Whether a server may have run a request after an outcome, worked out apart from the product.
fn may_run(outcome: Outcome) -> bool {
    use Outcome::{CacheGone, OtherIncarnation, TurnedAway, Unreachable};
    ![Unreachable, TurnedAway, OtherIncarnation, CacheGone].contains(&outcome)
}

fn findings(kind: RequestKind, attempts: u32, trace: &Trace) -> Vec<&'static str> {
    let mut findings = Vec::new();
    let runs = trace.sends.iter().filter(|(_, may_run)| *may_run).count();
    let is_repeatable = matches!(
        kind,
        RequestKind::Idempotent | RequestKind::Stream { resumable: true }
    );
    if !is_repeatable && runs > 1 {
        findings.push("runs twice");
    }
    if runs > attempts as usize {
        findings.push("runs on more servers than the route allows");
    }
    if trace.told_not_run && runs > 0 {
        findings.push("refused as not run though it may have run");
    }
    let servers: HashSet<_> = trace.sends.iter().map(|(server, _)| server).collect();
    let tries = trace.sends.iter().filter(|(_, may_run)| *may_run);
    if tries.count() > servers.len() {
        findings.push("runs twice at one server");
    }
    if trace.early_prefill {
        findings.push("prompt computed without a place");
    }
    if trace.reused_cache {
        findings.push("cache used twice");
    }
    if !trace.has_ended {
        findings.push("does not end");
    }
    findings
}

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

/// Plays one request; `outcomes` limits what may happen.
fn play(rng: &mut SmallRng, kind: RequestKind, attempts: u32, outcomes: &[Outcome]) -> Trace {
    let mut serving = random_serving(rng);
    let is_model = matches!(kind, RequestKind::Stream { .. });
    let spec = if is_model {
        model_spec(kind, attempts)
    } else {
        plain_spec(kind, attempts)
    };
    let mut call = Call::new(spec);
    let mut trace = Trace::default();
    let mut now = ms(0);
    let mut has_place = false;
    let mut used_caches = HashSet::new();
    for step in 0..STEPS_MAX {
        now = now + cuminlead_types::DurationUs::from_ms(rng.random_range(0..40));
        match call.next(now, &mut serving) {
            Action::Wait(pause) => now = now + pause,
            Action::Reserve { server, .. } => {
                has_place = rng.random_bool(0.6);
                if has_place {
                    call.reserved(Reservation::Agent);
                } else {
                    let outcome = if rng.random_bool(0.7) {
                        Outcome::TurnedAway
                    } else {
                        Outcome::Unreachable
                    };
                    call.reserve_failed(now, &mut serving, server, outcome);
                }
            }
            Action::Prefill { server, .. } => {
                trace.early_prefill |= !has_place;
                if rng.random_bool(0.5) {
                    let handle = format!("h{step}");
                    call.prefill_done(now, &mut serving, CacheRef { server, handle });
                } else {
                    let outcome = outcomes[rng.random_range(0..outcomes.len())];
                    call.prefill_failed(now, &mut serving, server, outcome);
                }
            }
            Action::Run { server, cache, .. } => {
                has_place = false;
                if rng.random_bool(0.2) {
                    trace.sends.push((server, true));
                    call.run_answered(now, &mut serving, server);
                    trace.has_ended = true;
                    return trace;
                }
                let mut outcome = outcomes[rng.random_range(0..outcomes.len())];
                if outcome == Outcome::CacheGone && cache.is_none() {
                    outcome = Outcome::TurnedAway;
                }
                if let Some(cache) = cache
                    && (may_run(outcome) || outcome == Outcome::CacheGone)
                {
                    trace.reused_cache |= !used_caches.insert(cache.handle);
                }
                trace.sends.push((server, may_run(outcome)));
                call.run_failed(now, &mut serving, server, outcome);
            }
            Action::Deliver => {
                trace.has_ended = true;
                return trace;
            }
            Action::Refuse(refusal) => {
                trace.told_not_run = refusal.is_not_run;
                trace.has_ended = true;
                return trace;
            }
        }
    }
    trace
}

/// Guards against any sequence of failures that breaks a promise: 20,000 requests with fixed seeds.
#[test]
fn random_failures_break_no_promise() {
    for seed in 0..20_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let attempts = rng.random_range(1..4);
        let trace = play(&mut rng, kind, attempts, &OUTCOMES);
        let found = findings(kind, attempts, &trace);
        assert!(
            found.is_empty(),
            "seed {seed} {kind:?} {attempts}: {found:?} {trace:?}"
        );
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
