//! What the placement by expected cost learns from requests, and what it must not learn.

mod support;

use cuminlead_direct_core::placement::{ClientLocality, LearnedServer};
use cuminlead_direct_core::{
    Action, Call, ExpectedCost, RegistryUpdate, RequestKind, RouteId, ServingState, Stage,
    StepOutcome, Work,
};
use cuminlead_types::{DurationUs, TimeUs, Tokens, UnixMs};
use support::{ENGINES, PLAIN, id, key, ms, plain_spec, publish, record, serving_with};

const PLAIN_WORK: fn() -> Work = || Work::Plain {
    route: RouteId::of("r"),
};

fn prefill_work(tokens: u64) -> Work {
    Work::Prefill {
        prompt_tokens: Tokens(tokens),
    }
}

fn expected_serving(servers: &[&str]) -> ServingState {
    let locality = ClientLocality {
        availability_zone: "a1".parse().expect("a valid fixture"),
        region: "a".parse().expect("a valid fixture"),
    };
    let policy = ExpectedCost::new(locality.clone());
    let mut serving = serving_with(locality, 7, Box::new(policy));
    publish(&mut serving, servers);
    serving
}

/// Sends work that the server completes after `took_ms`; `is_complete` is whether it succeeds.
fn send(
    serving: &mut ServingState,
    server: &str,
    at: u64,
    took_ms: u64,
    work: Work,
    is_complete: bool,
) {
    let key = key(serving, server);
    let id = serving.begin_work(ms(at), key, work);
    let took = is_complete.then_some(DurationUs::from_ms(took_ms));
    serving.end_work(ms(at + took_ms), key, id, took);
}

fn learned(serving: &ServingState, now: TimeUs, server: &str) -> LearnedServer {
    let found = serving.learned_servers(now).into_iter();
    let mut of_server = found.filter(|learned| learned.server.as_str() == server);
    of_server.next().expect("a server that got work")
}

fn rate(serving: &ServingState, now: TimeUs, server: &str) -> f64 {
    let rate = learned(serving, now, server).prefill_tokens_per_ms;
    rate.expect("a server that has computed a prompt")
}

/// Guards against speeds that are learned from responses that broke off or report a failure: a
/// server that fails fast would look fast.
#[test]
fn nothing_is_learned_from_incomplete_responses() {
    let mut serving = expected_serving(&["s1 counter a1 -", "p1 notes a1 prefill"]);
    for at in 0..10 {
        send(&mut serving, "s1", at * 10, 1, PLAIN_WORK(), false);
        send(&mut serving, "p1", at * 10, 1, prefill_work(5_000), false);
    }
    assert_eq!(learned(&serving, ms(200), "s1").slowness, None);
    assert_eq!(learned(&serving, ms(200), "p1").prefill_tokens_per_ms, None);
}

/// Guards against a prompt's time that includes the prompts of this entry before it.
#[test]
fn own_queue_does_not_make_a_server_slow() {
    let mut serving = expected_serving(&["p1 notes a1 prefill"]);
    let key = key(&serving, "p1");
    let ids: Vec<_> = (0..4)
        .map(|_| serving.begin_work(ms(0), key, prefill_work(5_500)))
        .collect();
    assert!(learned(&serving, ms(0), "p1").work_in_progress_ms > 390.0);
    for (index, id) in (1..).zip(ids) {
        let at = 100 * index;
        serving.end_work(ms(at), key, id, Some(DurationUs::from_ms(at)));
    }
    let rate = rate(&serving, ms(400), "p1");
    assert!((50.0..60.0).contains(&rate), "{rate} tokens per ms");
}

/// Guards against a slow server that is found to be slow only after many requests, and against one
/// that is never tried again.
#[test]
fn speed_follows_the_server_and_is_forgotten() {
    let servers = ["p1 notes a1 prefill", "p2 notes a1 prefill"];
    let mut serving = expected_serving(&servers);
    for at in 0..20 {
        send(
            &mut serving,
            "p1",
            at * 1_000,
            100,
            prefill_work(5_500),
            true,
        );
        send(
            &mut serving,
            "p2",
            at * 1_000,
            100,
            prefill_work(5_500),
            true,
        );
    }
    for at in 20..23 {
        send(
            &mut serving,
            "p1",
            at * 1_000,
            500,
            prefill_work(5_500),
            true,
        );
    }
    let slow = learned(&serving, ms(23_000), "p1")
        .slowness
        .expect("observed");
    assert!(slow > 2.0, "{slow}");
    let later = learned(&serving, ms(120_000), "p1")
        .slowness
        .expect("observed");
    assert!(later < 1.5, "{later}");
}

/// Guards against an implausible response time that gives a server all requests, or none for good.
#[test]
fn estimates_are_bounded() {
    let mut serving = expected_serving(&["p1 notes a1 prefill", "s1 counter a1 -"]);
    for at in 0..50 {
        send(&mut serving, "p1", at, 0, prefill_work(1_000_000_000), true);
        send(&mut serving, "s1", at, 0, PLAIN_WORK(), true);
    }
    assert!(rate(&serving, ms(100), "p1") <= 500.0);
    let slowness = learned(&serving, ms(100), "s1").slowness.expect("observed");
    assert!((0.05..=20.0).contains(&slowness), "{slowness}");
}

/// Guards against estimates that outlive the incarnation that they describe.
#[test]
fn new_incarnation_starts_without_estimates() {
    let mut serving = expected_serving(&["p1 notes a1 prefill"]);
    send(&mut serving, "p1", 0, 900, prefill_work(5_500), true);
    let mut restarted = record("p1", ENGINES, "a1", Some(Stage::Prefill));
    restarted.started_at_ms = UnixMs(2);
    serving.apply(ms(1_000), RegistryUpdate::Server(restarted));
    assert_eq!(serving.learned_servers(ms(1_000)), Vec::new());
}

/// Guards against speeds from before an outage that are applied after the recovery.
#[test]
fn unreachable_server_loses_its_speed() {
    let mut serving = expected_serving(&["s1 counter a1 -"]);
    send(&mut serving, "s1", 0, 400, PLAIN_WORK(), true);
    assert!(learned(&serving, ms(400), "s1").slowness.is_some());
    let mut call = Call::new(plain_spec(RequestKind::Idempotent, 2));
    let Action::Run { server, .. } = call.next(ms(401), &mut serving) else {
        panic!("a run at the only server");
    };
    assert_eq!(id(&serving, server), "s1");
    call.run_failed(ms(402), &mut serving, server, StepOutcome::Unreachable);
    let learned = learned(&serving, ms(402), "s1");
    assert_eq!(learned.slowness, None);
    assert!(learned.failure_rate > 0.0);
}

/// Guards against work of abandoned requests that is counted for ever.
#[test]
fn work_in_progress_ends_with_its_request() {
    let mut serving = expected_serving(&["s1 counter a1 -", "d1 notes a1 decode"]);
    let (plain, decode) = (key(&serving, "s1"), key(&serving, "d1"));
    let ids = [
        (plain, serving.begin_work(ms(0), plain, PLAIN_WORK())),
        (plain, serving.begin_work(ms(0), plain, Work::Command)),
    ];
    assert!(learned(&serving, ms(0), "s1").work_in_progress_ms > 0.0);
    for (key, id) in ids {
        serving.end_work(ms(5), key, id, None);
    }
    assert!(learned(&serving, ms(5), "s1").work_in_progress_ms.abs() < f64::EPSILON);
    // Ended twice, or at another server: no effect.
    serving.end_work(ms(6), decode, ids[0].1, Some(DurationUs::from_ms(1)));
    assert_eq!(learned(&serving, ms(6), "s1").slowness, None);
    assert_eq!(
        serving
            .servers
            .of_service(&PLAIN.parse().expect("a valid fixture"))
            .count(),
        1
    );
}
