//! Next action of a call after each failure.

mod support;

use cuminlead_direct_core::{
    Action, CacheRef, Call, Refusal, RefusalReason, RegistryUpdate, RequestKind, Reservation,
    ServerState, ServingState, Stage, StepOutcome,
};
use cuminlead_types::DurationUs;
use support::{id, key, model_spec, ms, plain_spec, publish, serving};
use yare::parameterized;

const NON_IDEMPOTENT: RequestKind = RequestKind::NonIdempotent;
const IDEMPOTENT: RequestKind = RequestKind::Idempotent;
const STREAM: RequestKind = RequestKind::Stream { resumable: false };
const RESUMABLE_STREAM: RequestKind = RequestKind::Stream { resumable: true };

fn plain_serving() -> ServingState {
    let mut serving = serving();
    publish(
        &mut serving,
        &["s1 counter a1 -", "s2 counter a2 -", "s3 counter b1 -"],
    );
    serving
}

fn describe(serving: &ServingState, action: &Action) -> String {
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
        Action::ForwardFailure => "deliver".to_string(),
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

/// Guards against a second run of a request that may run only once, against reporting "not run" for
/// a request that may have run, and against passing on a failure that a retry could avoid.
#[parameterized(
    non_idempotent_unreachable = { NON_IDEMPOTENT, 1, StepOutcome::Unreachable, "run s2" },
    non_idempotent_rejected = { NON_IDEMPOTENT, 1, StepOutcome::Rejected, "run s2" },
    non_idempotent_other_incarnation = { NON_IDEMPOTENT, 1, StepOutcome::OtherIncarnation, "run s2" },
    non_idempotent_failed = { NON_IDEMPOTENT, 2, StepOutcome::Failed, "deliver" },
    non_idempotent_lost = { NON_IDEMPOTENT, 2, StepOutcome::Lost, "refuse unknown outcome_unknown" },
    non_idempotent_garbled = { NON_IDEMPOTENT, 2, StepOutcome::Malformed, "refuse unknown outcome_unknown" },
    non_idempotent_timed_out = { NON_IDEMPOTENT, 2, StepOutcome::TimedOut, "refuse unknown timed_out" },
    idempotent_unreachable = { IDEMPOTENT, 1, StepOutcome::Unreachable, "run s2" },
    idempotent_failed = { IDEMPOTENT, 2, StepOutcome::Failed, "run s2" },
    idempotent_lost = { IDEMPOTENT, 2, StepOutcome::Lost, "run s2" },
    idempotent_garbled = { IDEMPOTENT, 2, StepOutcome::Malformed, "run s2" },
    idempotent_timed_out = { IDEMPOTENT, 2, StepOutcome::TimedOut, "run s2" },
    single_attempt_failed = { IDEMPOTENT, 1, StepOutcome::Failed, "deliver" },
    single_attempt_lost = { IDEMPOTENT, 1, StepOutcome::Lost, "refuse unknown outcome_unknown" },
)]
fn next_action_after_failed_run(
    kind: RequestKind,
    attempts: u32,
    outcome: StepOutcome,
    expected: &str,
) {
    let mut serving = plain_serving();
    let mut call = Call::new(plain_spec(kind, attempts));
    let first = call.next(ms(0), &mut serving);
    assert_eq!(describe(&serving, &first), "run s1");
    let server = key(&serving, "s1");
    call.run_failed(ms(10), &mut serving, server, outcome);
    let next = call.next(ms(10), &mut serving);
    assert_eq!(describe(&serving, &next), expected);
}

/// Guards against running a request on more servers than its route allows.
#[test]
fn runs_are_bounded_by_the_attempts_of_the_route() {
    let mut serving = plain_serving();
    let mut call = Call::new(plain_spec(IDEMPOTENT, 2));
    for _ in 0..2 {
        let Action::Run { server, .. } = call.next(ms(0), &mut serving) else {
            panic!("two servers may run the request");
        };
        call.run_failed(ms(0), &mut serving, server, StepOutcome::Lost);
    }
    let end = call.next(ms(0), &mut serving);
    assert_eq!(describe(&serving, &end), "refuse unknown outcome_unknown");
}

/// Guards against retries that multiply the load of a failing service.
#[test]
fn retries_stay_within_the_budget() {
    let mut serving = plain_serving();
    let mut retries = 0;
    for _ in 0..60 {
        let mut call = Call::new(plain_spec(IDEMPOTENT, 2));
        let Action::Run { server, .. } = call.next(ms(0), &mut serving) else {
            panic!("a server accepts the first attempt");
        };
        call.run_failed(ms(0), &mut serving, server, StepOutcome::Failed);
        if let Action::Run { .. } = call.next(ms(0), &mut serving) {
            retries += 1;
        }
    }
    // A sixth of the requests.
    assert_eq!(retries, 10);
}

/// Guards against retries that are few in each process and too many in the fleet: with many
/// servers, a process has no retries beyond the share of its requests.
#[test]
fn extra_retries_shrink_with_the_fleet() {
    let service = "counter".parse().expect("a valid fixture");
    let mut serving = plain_serving();
    let mut count = 0;
    while serving.budget(&service).try_retry(ms(0)) {
        count += 1;
    }
    assert_eq!(
        count, 9,
        "54 extra retries over three servers, and half of a server's share"
    );
    for index in 0..60 {
        publish(&mut serving, &[&format!("more{index} counter a1 -")]);
    }
    assert!(!serving.budget(&service).allows(ms(20_000)));
}

/// Guards against a refusal by the entry in place of a failure response that a server has sent.
#[test]
fn failure_response_is_forwarded_when_the_budget_is_exhausted() {
    let mut serving = plain_serving();
    let service = "counter".parse().expect("a valid fixture");
    while serving.budget(&service).try_retry(ms(0)) {}
    let mut call = Call::new(plain_spec(IDEMPOTENT, 2));
    call.next(ms(0), &mut serving);
    let server = key(&serving, "s1");
    call.run_failed(ms(0), &mut serving, server, StepOutcome::Failed);
    assert_eq!(call.next(ms(0), &mut serving), Action::ForwardFailure);
}

/// Guards against sending further requests to a server that accepts requests and does not respond.
#[test]
fn unresponsive_server_is_paused() {
    let mut serving = plain_serving();
    let mut call = Call::new(plain_spec(IDEMPOTENT, 2));
    call.next(ms(0), &mut serving);
    let server = key(&serving, "s1");
    call.run_failed(ms(360), &mut serving, server, StepOutcome::TimedOut);
    let mut other = Call::new(plain_spec(NON_IDEMPOTENT, 1));
    let action = other.next(ms(361), &mut serving);
    assert_eq!(describe(&serving, &action), "run s2");
}

/// Guards against a first attempt whose timeout leaves no time for a second.
#[test]
fn attempt_leaves_time_for_the_next() {
    let mut serving = plain_serving();
    let mut call = Call::new(plain_spec(IDEMPOTENT, 2));
    let Action::Run {
        timeout, server, ..
    } = call.next(ms(0), &mut serving)
    else {
        panic!("a server accepts the first attempt");
    };
    assert_eq!(timeout, Some(DurationUs::from_ms(360)));
    call.run_failed(ms(360), &mut serving, server, StepOutcome::TimedOut);
    let Action::Run { timeout, .. } = call.next(ms(360), &mut serving) else {
        panic!("a second server accepts the second attempt");
    };
    assert_eq!(timeout, None);
}

fn model_serving() -> ServingState {
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

/// Model call that is ready to run at `d1`, with a KV cache at the prefill server.
fn reserved_and_prefilled(serving: &mut ServingState, kind: RequestKind, attempts: u32) -> Call {
    let mut call = Call::new(model_spec(kind, attempts));
    let first = call.next(ms(0), serving);
    assert_eq!(describe(serving, &first), "reserve d1");
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

/// Guards against computing a prompt before a decode slot is reserved for the request.
#[test]
fn slot_is_reserved_before_the_prefill() {
    let mut serving = model_serving();
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

/// Guards against a KV cache that crosses regions, and against a prefill outside the region of its
/// decode server.
#[test]
fn prefill_is_in_the_region_of_the_decode_server() {
    let mut serving = serving();
    publish(&mut serving, &["p1 notes a1 prefill", "d3 notes b1 decode"]);
    let mut call = Call::new(model_spec(STREAM, 1));
    let first = call.next(ms(0), &mut serving);
    assert_eq!(describe(&serving, &first), "reserve d3 computes");
    call.reserved(key(&serving, "d3"), Reservation::Agent, true);
    // No prefill server in region b, so the decode server computes the prompt.
    let next = call.next(ms(0), &mut serving);
    assert_eq!(describe(&serving, &next), "run d3");
}

/// Guards against waiting for a slot when a response would no longer be of use, and against
/// refusing while a slot may become free in time.
#[test]
fn full_engines_are_polled_while_a_response_is_of_use() {
    let mut serving = model_serving();
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
            _ => panic!("no engine has a free slot"),
        }
        texts.push(describe(&serving, &action));
    }
    assert_eq!(
        &texts[3], "wait 60",
        "all engines are tried before the pause"
    );
    assert!(texts.contains(&"wait 250".to_string()));
    assert!((1_800..2_100).contains(&now), "refused after {now} ms");
}

/// Guards against a prefill at a second server after one that a server may have accepted: the
/// second server would count as another attempt, which a route with one attempt does not allow.
#[parameterized(
    rejected = { StepOutcome::Rejected, "prefill" },
    unreachable = { StepOutcome::Unreachable, "prefill" },
    lost = { StepOutcome::Lost, "reserve d1 computes" },
    timed_out = { StepOutcome::TimedOut, "reserve d1 computes" },
    failed = { StepOutcome::Failed, "reserve d1 computes" },
)]
fn next_action_after_failed_prefill(outcome: StepOutcome, expected: &str) {
    let mut serving = model_serving();
    let mut call = Call::new(model_spec(STREAM, 1));
    call.next(ms(0), &mut serving);
    call.reserved(key(&serving, "d1"), Reservation::Agent, false);
    let Action::Prefill { server, .. } = call.next(ms(0), &mut serving) else {
        panic!("a prefill follows the reservation");
    };
    call.prefill_failed(ms(50), &mut serving, server, outcome);
    let next = call.next(ms(50), &mut serving);
    assert!(describe(&serving, &next).starts_with(expected), "{next:?}");
    if let Action::Reserve { server, .. } = next {
        call.reserved(server, Reservation::Agent, true);
        let next = call.next(ms(52), &mut serving);
        assert_eq!(describe(&serving, &next), "run d1");
    }
}

/// Guards against prefills that fail at every server of a fleet and bypass the retry budget: the
/// run after a prefill that reached a server counts as a retry.
#[test]
fn failed_prefills_stay_within_the_retry_budget() {
    let mut serving = model_serving();
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
    assert_eq!(describe(&serving, &end), "refuse not_run retry_budget");
}

/// Guards against discarding a KV cache that another server can still import, and against using one
/// that no longer exists.
#[parameterized(
    rejected = { StepOutcome::Rejected, true },
    unreachable = { StepOutcome::Unreachable, true },
    cache_gone = { StepOutcome::CacheUnavailable, false },
)]
fn cache_is_retained_after(outcome: StepOutcome, is_retained: bool) {
    let mut serving = model_serving();
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
        panic!("the next server needs a reservation");
    };
    assert_eq!(computes_prompt, !is_retained);
    call.reserved(server, Reservation::Agent, computes_prompt);
    let Action::Run { cache, .. } = call.next(ms(112), &mut serving) else {
        panic!("the prompt is not prefilled again");
    };
    assert_eq!(cache.is_some(), is_retained);
}

/// Guards against joining the output of two runs of a stream that is not resumable.
#[parameterized(
    plain_stream = { STREAM, 2, "refuse unknown outcome_unknown" },
    resumable_stream = { RESUMABLE_STREAM, 2, "reserve" },
    resumable_single_attempt = { RESUMABLE_STREAM, 1, "refuse unknown outcome_unknown" },
)]
fn next_action_after_lost_stream(kind: RequestKind, attempts: u32, expected: &str) {
    let mut serving = model_serving();
    let mut call = reserved_and_prefilled(&mut serving, kind, attempts);
    let Action::Run { server, .. } = call.next(ms(100), &mut serving) else {
        panic!("the run follows the prefill");
    };
    call.run_failed(ms(500), &mut serving, server, StepOutcome::Lost);
    let next = call.next(ms(500), &mut serving);
    assert!(describe(&serving, &next).starts_with(expected), "{next:?}");
}

/// Guards against keeping a request past its deadline, and against reporting "not run" for a
/// request that may have run.
#[test]
fn deadline_is_enforced() {
    let mut serving = plain_serving();
    let mut call = Call::new(plain_spec(NON_IDEMPOTENT, 1));
    let expected = Refusal {
        is_not_run: true,
        reason: RefusalReason::TimedOut,
        retry_after: DurationUs::from_ms(1_000),
    };
    assert_eq!(call.next(ms(800), &mut serving), Action::Refuse(expected));
}

/// Guards against a run at an engine without a reservation. While the prompt is computed, another
/// request finds the engine with the reservation unresponsive, so another engine is chosen.
#[test]
fn slot_is_reserved_where_the_request_runs() {
    let mut serving = model_serving();
    let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
    let reserved_server = key(&serving, "d1");
    let server = serving
        .servers
        .get_mut(reserved_server)
        .expect("a valid fixture");
    server.health.record_unreachable(ms(90));
    let next = call.next(ms(100), &mut serving);
    assert_eq!(describe(&serving, &next), "reserve d2");
}

/// Guards against a KV cache that crosses regions because its server is dropped from the table
/// before the cache is used.
#[test]
fn cache_of_a_dropped_server_stays_in_its_region() {
    let mut serving = model_serving();
    let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
    for id in ["p1", "p2", "d1"] {
        let key = key(&serving, id);
        serving.servers.drop_server(ms(90), key);
    }
    let server = key(&serving, "d2");
    let server = serving.servers.get_mut(server).expect("a valid fixture");
    server.health.record_unreachable(ms(90));
    let Action::Reserve { server, .. } = call.next(ms(100), &mut serving) else {
        panic!("another engine needs a reservation");
    };
    assert_eq!(id(&serving, server), "d3");
    call.reserved(server, Reservation::Agent, true);
    let Action::Run { cache, .. } = call.next(ms(102), &mut serving) else {
        panic!("region b has no prefill server");
    };
    assert_eq!(cache, None);
}

/// Guards against a refusal while slots are about to become free: one engine is paused after a
/// failure, and the others are full.
#[test]
fn call_waits_for_full_engines_beside_a_paused_one() {
    let mut serving = model_serving();
    let paused = key(&serving, "d3");
    let server = serving.servers.get_mut(paused).expect("a valid fixture");
    server.health.record_unreachable(ms(0));
    let mut call = Call::new(model_spec(STREAM, 1));
    for _ in 0..2 {
        let Action::Reserve { server, .. } = call.next(ms(1), &mut serving) else {
            panic!("two engines can be tried");
        };
        call.reserve_failed(ms(1), &mut serving, server, StepOutcome::Rejected);
    }
    let next = call.next(ms(1), &mut serving);
    assert_eq!(describe(&serving, &next), "wait 60");
}

/// Guards against giving up a prefill that waits behind others in a burst. The decode server would
/// compute the prompt instead and delay all outputs that it generates.
#[test]
fn prefill_timeout_covers_the_latency_target() {
    let mut serving = model_serving();
    let mut call = Call::new(model_spec(STREAM, 1));
    call.next(ms(0), &mut serving);
    call.reserved(key(&serving, "d1"), Reservation::Agent, false);
    let Action::Prefill { timeout, .. } = call.next(ms(0), &mut serving) else {
        panic!("a prefill follows the reservation");
    };
    // Six prompts of this length at 55 tokens per ms, and a latency target of 900 ms.
    assert!(timeout >= DurationUs::from_ms(550), "{timeout}");
    assert!(timeout >= call.spec().latency_target, "{timeout}");
}

/// Guards against discarding a KV cache, and computing its prompt again at a decode server, when
/// the engines of its region have no free slot for a moment; and against offering a cache after its
/// TTL.
#[test]
fn cache_is_retained_until_a_slot_in_its_region_is_free() {
    let mut serving = model_serving();
    let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
    let Action::Run { server, .. } = call.next(ms(100), &mut serving) else {
        panic!("the run follows the prefill");
    };
    call.run_failed(ms(110), &mut serving, server, StepOutcome::Unreachable);
    let Action::Reserve { server, .. } = call.next(ms(110), &mut serving) else {
        panic!("the next server needs a reservation");
    };
    assert_eq!(id(&serving, server), "d2");
    call.reserve_failed(ms(112), &mut serving, server, StepOutcome::Rejected);
    let next = call.next(ms(112), &mut serving);
    assert_eq!(
        describe(&serving, &next),
        "wait 60",
        "d3 is in another region"
    );
    let Action::Reserve { server, .. } = call.next(ms(172), &mut serving) else {
        panic!("the engine is tried again");
    };
    call.reserved(server, Reservation::Agent, false);
    let mut late = call.clone();
    let Action::Run { cache, .. } = call.next(ms(599), &mut serving) else {
        panic!("the run follows the reservation");
    };
    assert!(cache.is_some());
    let next = late.next(ms(600), &mut serving);
    let expected = "reserve d2 computes";
    assert_eq!(
        describe(&serving, &next),
        expected,
        "caches are retained for 500 ms"
    );
}

/// Guards against a run at a draining server long after it published that state, because the
/// request has a slot reserved there: the server must get no work 2.5 s after the publication.
#[test]
fn prepared_request_leaves_a_draining_server() {
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
        let mut serving = model_serving();
        let mut call = reserved_and_prefilled(&mut serving, STREAM, 1);
        let mut draining = support::record("d1", "notes", "a1", Some(Stage::Decode));
        draining.state = ServerState::Draining;
        serving.apply(ms(0), RegistryUpdate::Server(draining));
        let next = call.next(ms(case.run_ms), &mut serving);
        assert!(
            describe(&serving, &next).starts_with(case.expected),
            "{next:?}"
        );
    }
}
