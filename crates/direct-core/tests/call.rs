//! What a request does after each failure.

mod support;

use cuminlead_direct_core::{
    Action, CacheRef, Call, Refusal, RefusalReason, RegistryUpdate, RequestKind, Reservation,
    ServerState, ServingState, Stage, StepOutcome,
};
use cuminlead_types::DurationUs;
use support::{id, key, model_spec, ms, plain_spec, publish, serving};
use yare::parameterized;

const ONCE: RequestKind = RequestKind::NonIdempotent;
const REPEATABLE: RequestKind = RequestKind::Idempotent;
const STREAM: RequestKind = RequestKind::Stream { resumable: false };
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };

fn counter() -> ServingState {
    let mut serving = serving();
    publish(
        &mut serving,
        &["s1 counter a1 -", "s2 counter a2 -", "s3 counter b1 -"],
    );
    serving
}

fn text(serving: &ServingState, action: &Action) -> String {
    match action {
        Action::Run { server, .. } => format!("run {}", id(serving, *server)),
        Action::Prefill { server, .. } => format!("prefill {}", id(serving, *server)),
        Action::Reserve {
            server,
            computes_prompt,
            ..
        } => {
            let computes = if *computes_prompt { " computes" } else { "" };
            format!("reserve {}{computes}", id(serving, *server))
        }
        Action::Wait(pause) => format!("wait {}", pause.as_ms()),
        Action::Deliver => "deliver".to_string(),
        Action::Refuse(refusal) => {
            let run = if refusal.is_not_run {
                "not_run"
            } else {
                "unknown"
            };
            format!("refuse {run} {}", refusal.reason)
        }
    }
}

/// Guards against a second run of a request that may run once, against refusals as "not run" of
/// requests that may have run, and against failures that need not reach the caller.
#[parameterized(
    once_unreachable = { ONCE, 1, StepOutcome::Unreachable, "run s2" },
    once_turned_away = { ONCE, 1, StepOutcome::Rejected, "run s2" },
    once_other_incarnation = { ONCE, 1, StepOutcome::OtherIncarnation, "run s2" },
    once_failed = { ONCE, 2, StepOutcome::Failed, "deliver" },
    once_lost = { ONCE, 2, StepOutcome::Lost, "refuse unknown outcome_unknown" },
    once_garbled = { ONCE, 2, StepOutcome::Garbled, "refuse unknown outcome_unknown" },
    once_timed_out = { ONCE, 2, StepOutcome::TimedOut, "refuse unknown timed_out" },
    repeatable_unreachable = { REPEATABLE, 1, StepOutcome::Unreachable, "run s2" },
    repeatable_failed = { REPEATABLE, 2, StepOutcome::Failed, "run s2" },
    repeatable_lost = { REPEATABLE, 2, StepOutcome::Lost, "run s2" },
    repeatable_garbled = { REPEATABLE, 2, StepOutcome::Garbled, "run s2" },
    repeatable_timed_out = { REPEATABLE, 2, StepOutcome::TimedOut, "run s2" },
    single_failed = { REPEATABLE, 1, StepOutcome::Failed, "deliver" },
    single_lost = { REPEATABLE, 1, StepOutcome::Lost, "refuse unknown outcome_unknown" },
)]
fn failure_leads_to(kind: RequestKind, attempts: u32, outcome: StepOutcome, expected: &str) {
    let mut serving = counter();
    let mut call = Call::new(plain_spec(kind, attempts));
    let first = call.next(ms(0), &mut serving);
    assert_eq!(text(&serving, &first), "run s1");
    let server = key(&serving, "s1");
    call.run_failed(ms(10), &mut serving, server, outcome);
    let next = call.next(ms(10), &mut serving);
    assert_eq!(text(&serving, &next), expected);
}

/// Guards against a request that runs on more servers than its route allows.
#[test]
fn runs_are_bounded_by_the_attempts_of_the_route() {
    let mut serving = counter();
    let mut call = Call::new(plain_spec(REPEATABLE, 2));
    for _ in 0..2 {
        let Action::Run { server, .. } = call.next(ms(0), &mut serving) else {
            panic!("two servers may run it");
        };
        call.run_failed(ms(0), &mut serving, server, StepOutcome::Lost);
    }
    let end = call.next(ms(0), &mut serving);
    assert_eq!(text(&serving, &end), "refuse unknown outcome_unknown");
}

/// Guards against repeats that multiply the load of a failing service.
#[test]
fn repeats_stay_in_the_budget() {
    let mut serving = counter();
    let mut repeats = 0;
    for _ in 0..60 {
        let mut call = Call::new(plain_spec(REPEATABLE, 2));
        let Action::Run { server, .. } = call.next(ms(0), &mut serving) else {
            panic!("a server takes the first attempt");
        };
        call.run_failed(ms(0), &mut serving, server, StepOutcome::Failed);
        if let Action::Run { .. } = call.next(ms(0), &mut serving) {
            repeats += 1;
        }
    }
    // A sixth of the requests.
    assert_eq!(repeats, 10);
}

/// Guards against fleets whose processes each repeat a little and together too much: a process of a
/// fleet with many servers has no repeats beyond the share of its requests.
#[test]
fn extra_repeats_shrink_with_the_fleet() {
    let service = "counter".parse().expect("a valid fixture");
    let mut serving = counter();
    let mut count = 0;
    while serving.budget(&service).try_retry(ms(0)) {
        count += 1;
    }
    assert_eq!(
        count, 9,
        "54 extra repeats, three servers, half of the share"
    );
    for index in 0..60 {
        publish(&mut serving, &[&format!("more{index} counter a1 -")]);
    }
    assert!(!serving.budget(&service).allows(ms(20_000)));
}

/// Guards against an own failure in place of the answer that a server has given.
#[test]
fn failure_is_delivered_when_the_budget_is_used_up() {
    let mut serving = counter();
    let service = "counter".parse().expect("a valid fixture");
    while serving.budget(&service).try_retry(ms(0)) {}
    let mut call = Call::new(plain_spec(REPEATABLE, 2));
    call.next(ms(0), &mut serving);
    let server = key(&serving, "s1");
    call.run_failed(ms(0), &mut serving, server, StepOutcome::Failed);
    assert_eq!(call.next(ms(0), &mut serving), Action::Deliver);
}

/// Guards against requests that follow each other to a server that keeps them without an answer.
#[test]
fn server_without_an_answer_is_left_out() {
    let mut serving = counter();
    let mut call = Call::new(plain_spec(REPEATABLE, 2));
    call.next(ms(0), &mut serving);
    let server = key(&serving, "s1");
    call.run_failed(ms(360), &mut serving, server, StepOutcome::TimedOut);
    let mut other = Call::new(plain_spec(ONCE, 1));
    let action = other.next(ms(361), &mut serving);
    assert_eq!(text(&serving, &action), "run s2");
}

/// Guards against a first attempt that leaves no time for the second.
#[test]
fn attempt_leaves_time_for_the_next() {
    let mut serving = counter();
    let mut call = Call::new(plain_spec(REPEATABLE, 2));
    let Action::Run {
        timeout, server, ..
    } = call.next(ms(0), &mut serving)
    else {
        panic!("a server takes it");
    };
    assert_eq!(timeout, Some(DurationUs::from_ms(360)));
    call.run_failed(ms(360), &mut serving, server, StepOutcome::TimedOut);
    let Action::Run { timeout, .. } = call.next(ms(360), &mut serving) else {
        panic!("a second server takes it");
    };
    assert_eq!(timeout, None);
}

fn notes() -> ServingState {
    let mut serving = serving();
    publish(
        &mut serving,
        &[
            "p1 notes a1 prefill",
            "p2 notes a2 prefill",
            "d1 notes a1 decode",
            "d2 notes a2 decode",
            "d3 notes b1 decode",
        ],
    );
    serving
}

/// Brings a model call to its run at `d1`, with a cache at the prefill server.
fn reserved_and_prefilled(serving: &mut ServingState, kind: RequestKind, attempts: u32) -> Call {
    let mut call = Call::new(model_spec(kind, attempts));
    let first = call.next(ms(0), serving);
    assert_eq!(text(serving, &first), "reserve d1");
    call.reserved(key(serving, "d1"), Reservation::Agent, false);
    let Action::Prefill { server, .. } = call.next(ms(2), serving) else {
        panic!("a prefill follows the reservation");
    };
    let cache = CacheRef {
        server,
        region: Some("a".parse().expect("a valid fixture")),
        handle: "h".to_string(),
    };
    call.prefill_done(ms(100), serving, cache);
    call
}

/// Guards against prompts that are computed before there is a place for their decode.
#[test]
fn decode_place_comes_before_the_prefill() {
    let mut serving = notes();
    let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
    let Action::Run {
        cache, reservation, ..
    } = call.next(ms(100), &mut serving)
    else {
        panic!("the run follows the prefill");
    };
    assert!(cache.is_some());
    assert_eq!(reservation, Some(Reservation::Agent));
}

/// Guards against a cache that crosses regions and against a prefill far from its decode.
#[test]
fn prefill_is_in_the_region_of_the_decode() {
    let mut serving = serving();
    publish(&mut serving, &["p1 notes a1 prefill", "d3 notes b1 decode"]);
    let mut call = Call::new(model_spec(STREAM, 1));
    let first = call.next(ms(0), &mut serving);
    assert_eq!(text(&serving, &first), "reserve d3 computes");
    call.reserved(key(&serving, "d3"), Reservation::Agent, true);
    // No prefill server in region b, so the decode server computes the prompt.
    let next = call.next(ms(0), &mut serving);
    assert_eq!(text(&serving, &next), "run d3");
}

/// Guards against waiting in vain, and against refusing while a place may fall free in time.
#[test]
fn full_engines_are_asked_again_while_an_answer_is_of_use() {
    let mut serving = notes();
    let mut call = Call::new(model_spec(STREAM, 1));
    let mut texts = Vec::new();
    let mut now = 0;
    loop {
        let action = call.next(ms(now), &mut serving);
        match action {
            Action::Reserve { server, .. } => {
                call.reserve_failed(ms(now), &mut serving, server, StepOutcome::Rejected);
            }
            Action::Wait(pause) => now += pause.as_ms(),
            Action::Refuse(refusal) => {
                assert!(refusal.is_not_run);
                assert_eq!(refusal.reason, RefusalReason::NoSlot);
                break;
            }
            _ => panic!("no engine has a place"),
        }
        texts.push(text(&serving, &action));
    }
    assert_eq!(
        &texts[3], "wait 60",
        "all engines are asked before the pause"
    );
    assert!(texts.contains(&"wait 250".to_string()));
    assert!((1_800..2_100).contains(&now), "refused after {now} ms");
}

/// Guards against a prefill at a second server after one that may have been accepted, which would
/// count as a second server for a route that allows one.
#[parameterized(
    turned_away = { StepOutcome::Rejected, "prefill" },
    unreachable = { StepOutcome::Unreachable, "prefill" },
    lost = { StepOutcome::Lost, "reserve d1 computes" },
    timed_out = { StepOutcome::TimedOut, "reserve d1 computes" },
    failed = { StepOutcome::Failed, "reserve d1 computes" },
)]
fn failed_prefill_leads_to(outcome: StepOutcome, expected: &str) {
    let mut serving = notes();
    let mut call = Call::new(model_spec(STREAM, 1));
    call.next(ms(0), &mut serving);
    call.reserved(key(&serving, "d1"), Reservation::Agent, false);
    let Action::Prefill { server, .. } = call.next(ms(0), &mut serving) else {
        panic!("a prefill follows the reservation");
    };
    call.prefill_failed(ms(50), &mut serving, server, outcome);
    let next = call.next(ms(50), &mut serving);
    assert!(text(&serving, &next).starts_with(expected), "{next:?}");
    if let Action::Reserve { server, .. } = next {
        call.reserved(server, Reservation::Agent, true);
        let next = call.next(ms(52), &mut serving);
        assert_eq!(text(&serving, &next), "run d1");
    }
}

/// Guards against prefills that fail at every server of a fleet and use up the budget of repeats
/// without asking: the run after a prefill that reached a server is a repeat.
#[test]
fn failed_prefills_stay_in_the_budget() {
    let mut serving = notes();
    let service = "notes".parse().expect("a valid fixture");
    while serving.budget(&service).try_retry(ms(0)) {}
    let mut call = Call::new(model_spec(STREAM, 1));
    call.next(ms(0), &mut serving);
    call.reserved(key(&serving, "d1"), Reservation::Agent, false);
    let Action::Prefill { server, .. } = call.next(ms(0), &mut serving) else {
        panic!("a prefill follows the reservation");
    };
    call.prefill_failed(ms(5), &mut serving, server, StepOutcome::Rejected);
    let end = call.next(ms(5), &mut serving);
    assert_eq!(text(&serving, &end), "refuse not_run retry_budget");
}

/// Guards against a cache that is thrown away though another server can take it, and against one
/// that is used after it is gone.
#[parameterized(
    turned_away = { StepOutcome::Rejected, true },
    unreachable = { StepOutcome::Unreachable, true },
    cache_gone = { StepOutcome::CacheGone, false },
)]
fn cache_is_kept_after(outcome: StepOutcome, is_kept: bool) {
    let mut serving = notes();
    let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
    let Action::Run { server, .. } = call.next(ms(100), &mut serving) else {
        panic!("the run follows the prefill");
    };
    call.run_failed(ms(110), &mut serving, server, outcome);
    let Action::Reserve {
        server,
        computes_prompt,
        ..
    } = call.next(ms(110), &mut serving)
    else {
        panic!("the next server needs a place");
    };
    assert_eq!(computes_prompt, !is_kept);
    call.reserved(server, Reservation::Agent, computes_prompt);
    let Action::Run { cache, .. } = call.next(ms(112), &mut serving) else {
        panic!("no second prefill");
    };
    assert_eq!(cache.is_some(), is_kept);
}

/// Guards against joining two runs of a stream that may not be resumed.
#[parameterized(
    plain_stream = { STREAM, 2, "refuse unknown outcome_unknown" },
    resumable = { RESUMABLE, 2, "reserve" },
    resumable_once = { RESUMABLE, 1, "refuse unknown outcome_unknown" },
)]
fn lost_stream_leads_to(kind: RequestKind, attempts: u32, expected: &str) {
    let mut serving = notes();
    let mut call = reserved_and_prefilled(&mut serving, kind, attempts);
    let Action::Run { server, .. } = call.next(ms(100), &mut serving) else {
        panic!("the run follows the prefill");
    };
    call.run_failed(ms(500), &mut serving, server, StepOutcome::Lost);
    let next = call.next(ms(500), &mut serving);
    assert!(text(&serving, &next).starts_with(expected), "{next:?}");
}

/// Guards against a request that is kept after its time, and against the promise that it did not
/// run when it may have.
#[test]
fn time_is_bounded() {
    let mut serving = counter();
    let mut call = Call::new(plain_spec(ONCE, 1));
    let expected = Refusal {
        is_not_run: true,
        reason: RefusalReason::TimedOut,
        retry_after: DurationUs::from_ms(1_000),
    };
    assert_eq!(call.next(ms(800), &mut serving), Action::Refuse(expected));
}

/// Guards against an answer at an engine that holds no place for it, after the engine that held one
/// was found silent by another request during the prefill.
#[test]
fn place_is_held_where_the_answer_is_asked_for() {
    let mut serving = notes();
    let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
    let held = key(&serving, "d1");
    let server = serving.servers.get_mut(held).expect("a valid fixture");
    server.health.record_unreachable(ms(90));
    let next = call.next(ms(100), &mut serving);
    assert_eq!(text(&serving, &next), "reserve d2");
}

/// Guards against a cache that crosses regions because its server is forgotten while it waits.
#[test]
fn cache_of_a_forgotten_server_stays_in_its_region() {
    let mut serving = notes();
    let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
    for id in ["p1", "p2", "d1"] {
        let key = key(&serving, id);
        serving.servers.forget(key);
    }
    let server = key(&serving, "d2");
    let server = serving.servers.get_mut(server).expect("a valid fixture");
    server.health.record_unreachable(ms(90));
    let Action::Reserve { server, .. } = call.next(ms(100), &mut serving) else {
        panic!("another engine has to hold a place");
    };
    assert_eq!(id(&serving, server), "d3");
    call.reserved(server, Reservation::Agent, true);
    let Action::Run { cache, .. } = call.next(ms(102), &mut serving) else {
        panic!("region b has no prefill server");
    };
    assert_eq!(cache, None);
}

/// Guards against a refusal while places fall free: one engine is left out after a failure and the
/// others have no place at this moment.
#[test]
fn full_engines_are_waited_for_beside_a_paused_one() {
    let mut serving = notes();
    let paused = key(&serving, "d3");
    let server = serving.servers.get_mut(paused).expect("a valid fixture");
    server.health.record_unreachable(ms(0));
    let mut call = Call::new(model_spec(STREAM, 1));
    for _ in 0..2 {
        let Action::Reserve { server, .. } = call.next(ms(1), &mut serving) else {
            panic!("two engines can be asked");
        };
        call.reserve_failed(ms(1), &mut serving, server, StepOutcome::Rejected);
    }
    let next = call.next(ms(1), &mut serving);
    assert_eq!(text(&serving, &next), "wait 60");
}

/// Guards against a prompt that is given up while it waits behind others in a burst. The decode
/// server computes it then, and delays all answers that it generates.
#[test]
fn prefill_is_waited_for_while_the_goal_can_be_met() {
    let mut serving = notes();
    let mut call = Call::new(model_spec(STREAM, 1));
    call.next(ms(0), &mut serving);
    call.reserved(key(&serving, "d1"), Reservation::Agent, false);
    let Action::Prefill { timeout, .. } = call.next(ms(0), &mut serving) else {
        panic!("a prefill follows the reservation");
    };
    // Six prompts of this length at 55 tokens a ms, and a goal of 900 ms.
    assert!(timeout >= DurationUs::from_ms(550), "{timeout}");
    assert!(timeout >= call.spec().latency_target, "{timeout}");
}

/// Guards against a cache that is given up, and its prompt computed again by a decode server, when
/// the engines of its region have no place at this moment; and against one that is offered after its
/// life.
#[test]
fn cache_waits_for_a_place_in_its_region() {
    let mut serving = notes();
    let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
    let Action::Run { server, .. } = call.next(ms(100), &mut serving) else {
        panic!("the run follows the prefill");
    };
    call.run_failed(ms(110), &mut serving, server, StepOutcome::Unreachable);
    let Action::Reserve { server, .. } = call.next(ms(110), &mut serving) else {
        panic!("the next server needs a place");
    };
    assert_eq!(id(&serving, server), "d2");
    call.reserve_failed(ms(112), &mut serving, server, StepOutcome::Rejected);
    let next = call.next(ms(112), &mut serving);
    assert_eq!(text(&serving, &next), "wait 60", "d3 is in another region");
    let Action::Reserve { server, .. } = call.next(ms(172), &mut serving) else {
        panic!("the engine is asked again");
    };
    call.reserved(server, Reservation::Agent, false);
    let mut late = call.clone();
    let Action::Run { cache, .. } = call.next(ms(599), &mut serving) else {
        panic!("the run follows the place");
    };
    assert!(cache.is_some());
    let next = late.next(ms(600), &mut serving);
    let expected = "reserve d2 computes";
    assert_eq!(
        text(&serving, &next),
        expected,
        "caches are kept for 500 ms"
    );
}

/// Guards against an answer that is asked for at a leaving server long after it has said so, because
/// it was prepared there: the server must get no work 2.5 s after its word.
#[test]
fn prepared_answer_moves_on_from_a_leaving_server() {
    struct Case {
        run_ms: u64,
        expected: &'static str,
    }
    let cases = [
        Case {
            run_ms: 1_199,
            expected: "reserve d1",
        },
        Case {
            run_ms: 1_200,
            expected: "reserve d2",
        },
    ];
    for case in cases {
        let mut serving = notes();
        let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
        let mut leaving = support::record("d1", "notes", "a1", Some(Stage::Decode));
        leaving.state = ServerState::Draining;
        serving.apply(ms(0), RegistryUpdate::Server(leaving));
        let next = call.next(ms(case.run_ms), &mut serving);
        assert!(text(&serving, &next).starts_with(case.expected), "{next:?}");
    }
}
