//! Permits for requests to servers that have named a limit.

mod support;

use cuminlead_direct_core::rate_limit::{batch_count, owners};
use cuminlead_direct_core::{
    Action, Call, RateLimiter, RefusalReason, RequestKind, ServerKey, ServingState, StepOutcome,
};
use cuminlead_types::{BackendServerId, DurationUs, MillirequestsPerSecond, TimeUs};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{id, key, model_spec, ms, plain_spec, publish, serving};

fn server() -> BackendServerId {
    "s1".parse().expect("a valid fixture")
}

/// Load of several processes on one server.
struct LoadCase {
    name: &'static str,
    /// Limit that the server names, in thousandths of a request per second.
    limit: u64,
    processes_count: u32,
    /// Requests that arrive in 100 s at all processes together.
    requests_count: u32,
    /// Least share of the limit that the processes use, in percent.
    used_min_percent: u64,
}

const LOAD_CASES: &[LoadCase] = &[
    LoadCase {
        name: "engine of a small site",
        limit: 1_000,
        processes_count: 4,
        requests_count: 300,
        used_min_percent: 90,
    },
    LoadCase {
        name: "engine of a large site",
        limit: 1_300,
        processes_count: 68,
        requests_count: 400,
        used_min_percent: 90,
    },
    LoadCase {
        name: "plain service",
        limit: 16_400,
        processes_count: 4,
        requests_count: 3_000,
        used_min_percent: 90,
    },
    LoadCase {
        name: "large plain service",
        limit: 200_000,
        processes_count: 30,
        requests_count: 60_000,
        used_min_percent: 90,
    },
    LoadCase {
        name: "zero stands for the lowest rate",
        limit: 0,
        processes_count: 4,
        requests_count: 300,
        used_min_percent: 0,
    },
];

/// Length of the window in which the users count requests.
const WINDOW: DurationUs = DurationUs::from_ms(4_000);

/// Checks that no window has more requests than one and a half times the limit and five.
fn check_windows(name: &str, limit: u64, sent: &[TimeUs]) {
    let allowed_count = limit * 4 * 3 / 2 / 1_000 + 5;
    for (first, at) in sent.iter().enumerate() {
        let in_window = sent[first..]
            .iter()
            .take_while(|later| later.since(*at) < WINDOW);
        let count = in_window.count() as u64;
        assert!(
            count <= allowed_count,
            "{name}: {count} requests in 4 s, {allowed_count} are allowed"
        );
    }
}

/// Guards against more requests than a server accepts from all processes together, and against a
/// limit of which most remains unused while requests are held back.
///
/// Target: in any 4 s no more than one and a half times the limit and five requests, which is what
/// the users allow.
#[test]
fn processes_stay_within_a_limit_together_and_use_it() {
    for case in LOAD_CASES {
        let mut rng = SmallRng::seed_from_u64(7);
        let rate = MillirequestsPerSecond(case.limit);
        let mut limiter = RateLimiter::default();
        let mut arrivals: Vec<u64> = (0..case.requests_count)
            .map(|_| rng.random_range(0..100_000_000))
            .collect();
        arrivals.sort_unstable();
        let mut unused = vec![(0_u32, TimeUs::ZERO); case.processes_count as usize];
        let mut sent = Vec::new();
        for at in arrivals {
            let now = TimeUs(at);
            let process = rng.random_range(0..unused.len());
            let (count, expires_at) = &mut unused[process];
            if now >= *expires_at {
                *count = 0;
            }
            if *count == 0 {
                *count = limiter
                    .take(now, &server(), rate, batch_count(rate))
                    .granted_count;
                *expires_at = now + DurationUs::from_ms(500);
            }
            if *count > 0 {
                *count -= 1;
                sent.push(now);
            }
        }
        check_windows(case.name, case.limit, &sent);
        let least_count = case.limit * 100 / 1_000 * case.used_min_percent / 100;
        assert!(
            sent.len() as u64 >= least_count,
            "{}: {} requests sent, {least_count} expected",
            case.name,
            sent.len()
        );
    }
}

/// Owners that are asked one after the other, each from the given time (ms).
struct OwnerCase {
    name: &'static str,
    limit: u64,
    owners: &'static [(u64, usize)],
}

const OWNER_CASES: &[OwnerCase] = &[
    OwnerCase {
        name: "restarts of agents",
        limit: 1_000,
        owners: &[(0, 0), (6_000, 1), (7_500, 2)],
    },
    OwnerCase {
        name: "two agents are lost, and the first one is back",
        limit: 1_100,
        owners: &[(0, 0), (6_000, 1), (6_200, 2), (9_500, 0)],
    },
    OwnerCase {
        name: "plain service",
        limit: 20_000,
        owners: &[(0, 0), (6_000, 1), (7_000, 2), (8_000, 3)],
    },
];

/// Guards against owners of a server's permits that follow each other and each grant a burst, while
/// agents end or are not reached.
///
/// Target: as for [`processes_stay_within_a_limit_together_and_use_it`].
#[test]
fn owners_that_follow_each_other_stay_within_a_limit() {
    for case in OWNER_CASES {
        let rate = MillirequestsPerSecond(case.limit);
        let mut limiters = vec![RateLimiter::default(); 4];
        let mut sent = Vec::new();
        // Requests that begin at 4 s find all permits that have accrued.
        let asked_ms = [0].into_iter().chain((4_000..16_000).step_by(10));
        for at in asked_ms {
            let begun = case.owners.iter().rev().find(|(from, _)| at >= *from);
            let (_, owner) = begun.expect("the first owner is asked from 0");
            let reply = limiters[*owner].take(ms(at), &server(), rate, 1);
            sent.extend((0..reply.granted_count).map(|_| ms(at)));
        }
        check_windows(case.name, case.limit, &sent);
    }
}

/// Guards against processes that ask too early, and against waiting longer than necessary.
#[test]
fn refused_processes_learn_when_the_next_permit_is_there() {
    let mut limiter = RateLimiter::default();
    let rate = MillirequestsPerSecond(2_000);
    assert_eq!(limiter.take(ms(0), &server(), rate, 9).granted_count, 1);
    let after_pause = limiter.take(ms(9_000), &server(), rate, 9);
    assert_eq!(after_pause.granted_count, 3);
    let refused = limiter.take(ms(9_100), &server(), rate, 1);
    assert_eq!(refused.granted_count, 0);
    assert_eq!(refused.retry_after, DurationUs::from_ms(400));
    let next = limiter.take(ms(9_200), &server(), rate, 1);
    assert_eq!(
        next.retry_after,
        DurationUs::from_ms(300),
        "no sooner than the next permit, whatever the turn"
    );
    let granted = limiter.take(ms(9_500), &server(), rate, 1);
    assert_eq!(granted.granted_count, 1);
}

/// Guards against processes that all come back for the same permit.
#[test]
fn refused_processes_come_back_one_after_the_other() {
    let mut limiter = RateLimiter::default();
    let rate = MillirequestsPerSecond(20_000);
    assert_eq!(limiter.take(ms(0), &server(), rate, 9).granted_count, 1);
    assert_eq!(limiter.take(ms(9_000), &server(), rate, 9).granted_count, 5);
    let take = |_| limiter.take(ms(9_000), &server(), rate, 1);
    let turns: Vec<_> = (0..8).map(take).map(|r| r.retry_after.as_ms()).collect();
    assert_eq!(turns, [50, 100, 150, 200, 250, 250, 250, 250]);
}

/// Guards against permits of one server that several agents grant, because processes list the
/// agents in different orders.
#[test]
fn owners_do_not_depend_on_the_order_of_agents() {
    let agents: Vec<std::net::SocketAddr> = (1..9)
        .map(|last| std::net::SocketAddr::from(([10, 0, 0, last], 7_000)))
        .collect();
    let reversed: Vec<_> = agents.iter().rev().copied().collect();
    let first = owners(&server(), agents.clone());
    assert_eq!(first, owners(&server(), reversed));
    assert_eq!(first.len(), 8);
    let without_first: Vec<_> = agents
        .into_iter()
        .filter(|agent| *agent != first[0])
        .collect();
    assert_eq!(owners(&server(), without_first)[0], first[1]);
}

fn hold_back(serving: &mut ServingState, server: &str, pause_ms: u64) {
    let server = key(serving, server);
    let server = serving.servers.get_mut(server).expect("a valid fixture");
    server.record_limit(ms(0), ms(0), Some(MillirequestsPerSecond(1_000)));
    server.hold_back(ms(0), DurationUs::from_ms(pause_ms));
}

fn run_server(action: &Action) -> Option<ServerKey> {
    match action {
        Action::Run { server, .. } => Some(*server),
        _ => None,
    }
}

/// Guards against requests that wait for a limited server, or fail, although another has room.
#[test]
fn request_without_a_permit_goes_to_another_server() {
    let mut serving = serving();
    publish(&mut serving, &["s1 counter a1 -", "s2 counter a2 -"]);
    let mut call = Call::new(plain_spec(RequestKind::NonIdempotent, 1));
    let first = run_server(&call.next(ms(0), &mut serving)).expect("a run");
    assert_eq!(id(&serving, first), "s1");
    hold_back(&mut serving, "s1", 300);
    call.run_failed(ms(0), &mut serving, first, StepOutcome::Limited);
    let second = run_server(&call.next(ms(0), &mut serving)).expect("a run");
    assert_eq!(id(&serving, second), "s2");
    assert!(!call.may_have_run());
}

/// Guards against a refusal of a request that could still meet its latency target, and against
/// holding one that can't.
#[test]
fn request_waits_for_a_permit_only_while_it_can_be_on_time() {
    struct Case {
        pause_ms: u64,
        expected: &'static str,
    }
    let cases = [
        Case {
            pause_ms: 100,
            expected: "wait 100",
        },
        Case {
            pause_ms: 200,
            expected: "refuse 200",
        },
        Case {
            pause_ms: 900,
            expected: "refuse 900",
        },
    ];
    for case in cases {
        let mut serving = serving();
        publish(&mut serving, &["s1 counter a1 -", "s2 counter a2 -"]);
        hold_back(&mut serving, "s1", case.pause_ms);
        hold_back(&mut serving, "s2", case.pause_ms + 50);
        let mut call = Call::new(plain_spec(RequestKind::Idempotent, 2));
        let action = match call.next(ms(0), &mut serving) {
            Action::Wait(pause) => format!("wait {}", pause.as_ms()),
            Action::Refuse(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Limited);
                assert!(refusal.is_not_run);
                format!("refuse {}", refusal.retry_after.as_ms())
            }
            other => format!("{other:?}"),
        };
        assert_eq!(action, case.expected);
    }
}

/// Guards against a model call that fails because its prefill servers have reached their limits.
#[test]
fn decode_server_computes_the_prompt_while_prefill_servers_are_limited() {
    let mut serving = serving();
    publish(&mut serving, &["p1 notes a1 prefill", "d1 notes a1 decode"]);
    let mut spec = model_spec(RequestKind::Stream { resumable: false }, 1);
    spec.model
        .as_mut()
        .expect("a valid fixture")
        .reservation_max = None;
    let mut call = Call::new(spec);
    let Action::Prefill { server, .. } = call.next(ms(0), &mut serving) else {
        panic!("no prefill");
    };
    hold_back(&mut serving, "p1", 800);
    call.prefill_failed(ms(0), &mut serving, server, StepOutcome::Limited);
    let run = call.next(ms(0), &mut serving);
    let server = run_server(&run).expect("a run");
    assert_eq!(id(&serving, server), "d1");
}

/// Guards against a limit that stays in effect after the server has lifted it, and against one that
/// an overtaken response lifts.
#[test]
fn limit_is_lifted_by_a_later_response_only() {
    let mut serving = serving();
    publish(&mut serving, &["s1 counter a1 -"]);
    let server = key(&serving, "s1");
    let server = serving.servers.get_mut(server).expect("a valid fixture");
    let rate = MillirequestsPerSecond(1_000);
    assert!(server.record_limit(ms(100), ms(50), Some(rate)));
    server.hold_back(ms(100), DurationUs::from_ms(5_000));
    assert!(!server.record_limit(ms(120), ms(60), None));
    assert_eq!(server.held_back_until(ms(120)), Some(ms(5_100)));
    assert!(server.record_limit(ms(200), ms(150), None));
    assert_eq!(server.held_back_until(ms(200)), None);
}

/// Guards against a retry budget that grows with each server that has no permit for a request.
#[test]
fn request_counts_once_for_the_retry_budget() {
    let mut serving = serving();
    publish(&mut serving, &["s1 counter a1 -", "s2 counter a2 -"]);
    let service = "counter".parse().expect("a valid fixture");
    let before = serving.budget(&service).left(ms(0));
    for _ in 0..3 {
        let mut call = Call::new(plain_spec(RequestKind::NonIdempotent, 1));
        for _ in 0..40 {
            let run = call.next(ms(0), &mut serving);
            let server = run_server(&run).expect("a run");
            call.run_failed(ms(0), &mut serving, server, StepOutcome::Limited);
        }
    }
    assert_eq!(serving.budget(&service).left(ms(0)), before);
}

/// Guards against a retry that uses the budget once for each server that has no permit for it.
#[test]
fn retry_uses_the_budget_once() {
    let mut serving = serving();
    publish(&mut serving, &["s1 counter a1 -", "s2 counter a2 -"]);
    let service = "counter".parse().expect("a valid fixture");
    let mut call = Call::new(plain_spec(RequestKind::NonIdempotent, 1));
    let first = run_server(&call.next(ms(0), &mut serving)).expect("a run");
    call.run_failed(ms(0), &mut serving, first, StepOutcome::Rejected);
    let before = serving.budget(&service).left(ms(0));
    for _ in 0..5 {
        let server = run_server(&call.next(ms(0), &mut serving)).expect("a run");
        call.run_failed(ms(0), &mut serving, server, StepOutcome::Limited);
    }
    assert_eq!(serving.budget(&service).left(ms(0)), before - 1);
}
