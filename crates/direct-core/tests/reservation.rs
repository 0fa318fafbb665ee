//! Decode places by a forecast of an engine's memory.

use cuminlead_direct_core::{EngineReport, ReservationRequest, ReservationTable, RunReport};
use cuminlead_types::{DurationUs, Slots, TimeUs, Tokens, UnixMs};

fn ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

fn request(id: &str, prompt: u64, answer: u64) -> ReservationRequest {
    ReservationRequest {
        request: id.to_string(),
        prompt_tokens: Tokens(prompt),
        answer_tokens: Some(Tokens(answer)),
        ttl: DurationUs::from_ms(1_000),
        slots: Slots(64),
        is_late: false,
        computes_prompt: false,
    }
}

fn report(total: u64, runs: &[(&str, u64)]) -> EngineReport {
    EngineReport {
        total_tokens: Tokens(total),
        used_tokens: Tokens(runs.iter().map(|run| run.1).sum()),
        runs: runs
            .iter()
            .map(|(request, tokens)| RunReport {
                request: (*request).to_string(),
                memory_tokens: Tokens(*tokens),
            })
            .collect(),
        waiting_count: 0,
        started_at_ms: UnixMs(1),
    }
}

fn ledger(total: u64) -> ReservationTable {
    let mut ledger = ReservationTable::new();
    ledger.observe(ms(0), report(total, &[]));
    ledger
}

fn held_count(ledger: &mut ReservationTable, offered: u64, prompt: u64, answer: u64) -> usize {
    let ids = (0..offered).map(|index| format!("r{index}"));
    ids.filter(|id| {
        ledger
            .reserve_slot(ms(0), &request(id, prompt, answer))
            .is_held
    })
    .count()
}

/// Guards against an engine that runs out of memory as its answers grow, and against one that is
/// left half empty.
#[test]
fn places_are_bounded_by_the_highest_use() {
    // All grow together, so the highest use is the sum of the final sizes.
    assert_eq!(held_count(&mut ledger(100_000), 50, 5_000, 4_800), 9);
}

/// Guards against counting the final size of answers that have ended by then: eleven answers need
/// 114,000 tokens at their ends, but never more than 95,000 at once.
#[test]
fn memory_of_answers_that_end_sooner_is_given_again() {
    let mut ledger = ledger(100_000);
    let old = ["old0", "old1", "old2", "old3", "old4"];
    for id in old {
        assert!(
            ledger
                .reserve_slot(ms(0), &request(id, 5_000, 4_800))
                .is_held
        );
    }
    ledger.observe(ms(1_000), report(100_000, &old.map(|id| (id, 9_000))));
    assert_eq!(held_count(&mut ledger, 6, 5_000, 4_800), 6);
}

/// Guards against a batch that grows past the memory because answers that reach their estimates
/// are taken for ended.
#[test]
fn answers_that_outgrow_their_estimates_are_expected_to_go_on() {
    let mut ledger = ledger(100_000);
    let old = [
        "old0", "old1", "old2", "old3", "old4", "old5", "old6", "old7",
    ];
    for id in old {
        assert!(
            ledger
                .reserve_slot(ms(0), &request(id, 5_000, 4_800))
                .is_held
        );
    }
    // All are over their estimates and use 88,000; another 5,000 would fit now, but not for long.
    ledger.observe(ms(1_000), report(100_000, &old.map(|id| (id, 11_000))));
    assert!(
        !ledger
            .reserve_slot(ms(1_000), &request("new", 5_000, 4_800))
            .is_held
    );
}

/// Guards against places that stay held for requests that are gone.
#[test]
fn unused_places_expire() {
    let mut ledger = ledger(10_000);
    assert!(
        ledger
            .reserve_slot(ms(0), &request("a", 5_000, 4_000))
            .is_held
    );
    assert!(
        !ledger
            .reserve_slot(ms(0), &request("b", 5_000, 4_000))
            .is_held
    );
    ledger.observe(ms(1_299), report(10_000, &[]));
    assert!(
        !ledger
            .reserve_slot(ms(1_299), &request("b", 5_000, 4_000))
            .is_held
    );
    ledger.observe(ms(1_300), report(10_000, &[]));
    assert!(
        ledger
            .reserve_slot(ms(1_300), &request("b", 5_000, 4_000))
            .is_held
    );
}

/// Guards against places that a request gave back and nobody else gets.
#[test]
fn place_is_given_back() {
    let mut ledger = ledger(10_000);
    assert!(
        ledger
            .reserve_slot(ms(0), &request("a", 5_000, 4_000))
            .is_held
    );
    ledger.release_slot("a");
    assert!(
        ledger
            .reserve_slot(ms(0), &request("b", 5_000, 4_000))
            .is_held
    );
}

/// Guards against a place that counts as ended because its run began after the report was asked
/// for.
#[test]
fn late_report_does_not_end_a_place() {
    let mut ledger = ledger(10_000);
    ledger.reserve_slot(ms(10), &request("a", 5_000, 4_000));
    ledger.observe(ms(9), report(10_000, &[]));
    assert!(
        !ledger
            .reserve_slot(ms(11), &request("b", 5_000, 4_000))
            .is_held
    );
}

/// Guards against an engine that restarts and is taken for full.
#[test]
fn restart_of_the_engine_frees_its_places() {
    let mut ledger = ledger(10_000);
    ledger.reserve_slot(ms(0), &request("a", 5_000, 4_000));
    let mut restarted = report(10_000, &[]);
    restarted.started_at_ms = UnixMs(2);
    ledger.observe(ms(1), restarted);
    assert!(
        ledger
            .reserve_slot(ms(1), &request("b", 5_000, 4_000))
            .is_held
    );
}

/// Guards against an agent that starts anew beside a busy engine and takes it for empty.
#[test]
fn unknown_answers_count() {
    let mut ledger = ReservationTable::new();
    assert!(
        !ledger.reserve_slot(ms(0), &request("a", 1, 1)).is_held,
        "no report yet"
    );
    ledger.observe(ms(0), report(10_000, &[("unknown", 7_000)]));
    assert!(
        !ledger
            .reserve_slot(ms(0), &request("a", 5_000, 4_000))
            .is_held
    );
}

/// Guards against more answers than the batch holds.
#[test]
fn places_are_bounded_by_slots() {
    let mut ledger = ReservationTable::new();
    ledger.observe(ms(0), report(1_000_000, &[]));
    let reserve = |ledger: &mut ReservationTable, id: &str| {
        let mut request = request(id, 100, 100);
        request.slots = Slots(3);
        ledger.reserve_slot(ms(0), &request).is_held
    };
    let held = ["a", "b", "c", "d"].map(|id| reserve(&mut ledger, id));
    assert_eq!(held, [true, true, true, false]);
}

/// Guards against giving the memory of a preempted answer to another one: the engine resumes the
/// preempted answer with all that it had.
#[test]
fn preempted_answer_keeps_its_place() {
    let mut ledger = ledger(10_000);
    ledger.reserve_slot(ms(0), &request("a", 5_000, 4_000));
    ledger.observe(ms(100), report(10_000, &[("a", 6_000)]));
    let mut preempted = report(10_000, &[]);
    preempted.waiting_count = 1;
    ledger.observe(ms(200), preempted);
    assert!(
        !ledger
            .reserve_slot(ms(200), &request("b", 5_000, 4_000))
            .is_held
    );
    ledger.observe(ms(300), report(10_000, &[("a", 6_100)]));
    ledger.observe(ms(400), report(10_000, &[]));
    assert!(
        ledger
            .reserve_slot(ms(400), &request("b", 5_000, 4_000))
            .is_held,
        "it has ended"
    );
}

/// Guards against places that late requests take while others could still meet their goals: in
/// lasting overload all would be late then.
#[test]
fn late_requests_yield_to_those_in_time() {
    let mut ledger = ledger(10_000);
    let late = |id: &str| ReservationRequest {
        is_late: true,
        ..request(id, 5_000, 4_000)
    };
    assert!(
        ledger.reserve_slot(ms(0), &late("a")).is_held,
        "nobody else waits"
    );
    assert!(
        !ledger
            .reserve_slot(ms(10), &request("b", 5_000, 4_000))
            .is_held
    );
    ledger.release_slot("a");
    assert!(
        !ledger.reserve_slot(ms(20), &late("c")).is_held,
        "b asks again soon"
    );
    assert!(
        ledger
            .reserve_slot(ms(70), &request("b", 5_000, 4_000))
            .is_held
    );
    ledger.release_slot("b");
    assert!(
        ledger.reserve_slot(ms(200), &late("c")).is_held,
        "nobody in time has asked since"
    );
}

/// Guards against an engine that computes several prompts beside its answers at once, after the
/// prefill engines of its region are gone: every answer then pauses for longer than is allowed.
#[test]
fn engine_computes_prompts_one_after_the_other() {
    struct Case {
        at_ms: u64,
        id: &'static str,
        computes_prompt: bool,
        is_held: bool,
    }
    let case = |at_ms, id, computes_prompt, is_held| Case {
        at_ms,
        id,
        computes_prompt,
        is_held,
    };
    let cases = [
        case(0, "first", true, true),
        case(100, "second", true, false),
        case(100, "with cache", false, true),
        // 5,000 tokens at 25 tokens a ms, and a pause for the answers.
        case(259, "second", true, false),
        case(260, "second", true, true),
        case(261, "third", true, false),
    ];
    let mut ledger = ledger(100_000);
    for case in cases {
        let asked = ReservationRequest {
            computes_prompt: case.computes_prompt,
            ..request(case.id, 5_000, 4_800)
        };
        let reply = ledger.reserve_slot(ms(case.at_ms), &asked);
        assert_eq!(reply.is_held, case.is_held, "{} at {}", case.id, case.at_ms);
    }
}

/// Guards against two places for one request, one of which nobody gives back.
#[test]
fn place_replaces_an_earlier_one_of_its_request() {
    let mut ledger = ledger(12_000);
    assert!(
        ledger
            .reserve_slot(ms(0), &request("a", 5_000, 4_800))
            .is_held
    );
    assert!(
        ledger
            .reserve_slot(ms(1), &request("a", 5_000, 4_800))
            .is_held
    );
    ledger.release_slot("a");
    assert!(
        ledger
            .reserve_slot(ms(2), &request("b", 5_000, 4_800))
            .is_held
    );
}
