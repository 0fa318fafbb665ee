//! Reservations of decode slots by a forecast of the engine's memory.

use cuminlead_direct_core::{EngineReport, OutputReport, ReservationRequest, ReservationTable};
use cuminlead_types::{DurationUs, Slots, TimeUs, Tokens, UnixMs};

fn ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

fn request(id: &str, prompt: u64, output: u64) -> ReservationRequest {
    ReservationRequest {
        request: id.to_string(),
        prompt_tokens: Tokens(prompt),
        answer_tokens: Some(Tokens(output)),
        ttl: DurationUs::from_ms(1_000),
        slots: Slots(64),
        is_late: false,
        computes_prompt: false,
        engine_started_at_ms: UnixMs(0),
        limit: None,
        claim: None,
    }
}

fn report(total: u64, runs: &[(&str, u64)]) -> EngineReport {
    EngineReport {
        total_tokens: Tokens(total),
        used_tokens: Tokens(runs.iter().map(|run| run.1).sum()),
        outputs: runs
            .iter()
            .map(|(request, tokens)| OutputReport {
                request: (*request).to_string(),
                memory_tokens: Tokens(*tokens),
            })
            .collect(),
        waiting_count: 0,
        started_at_ms: UnixMs(1),
        is_leaving: false,
    }
}

fn table(total: u64) -> ReservationTable {
    let mut table = ReservationTable::new();
    table.apply_report(ms(0), report(total, &[]));
    table
}

fn reserved_count(
    table: &mut ReservationTable,
    requested_count: u64,
    prompt: u64,
    output: u64,
) -> usize {
    let ids = (0..requested_count).map(|index| format!("r{index}"));
    ids.filter(|id| {
        table
            .reserve_slot(ms(0), &request(id, prompt, output))
            .is_held
    })
    .count()
}

/// Guards against an engine that runs out of memory as its outputs grow, and against one that is
/// left half empty.
#[test]
fn slots_are_bounded_by_the_highest_use() {
    // All outputs grow together, so the highest use is the sum of the final sizes.
    assert_eq!(reserved_count(&mut table(100_000), 50, 5_000, 4_800), 9);
}

/// Guards against counting the final size of outputs that end sooner: eleven outputs need 114,000
/// tokens at their ends, but never more than 95,000 at once.
#[test]
fn memory_of_outputs_that_end_sooner_is_reused() {
    let mut table = table(100_000);
    let old = ["old0", "old1", "old2", "old3", "old4"];
    for id in old {
        assert!(
            table
                .reserve_slot(ms(0), &request(id, 5_000, 4_800))
                .is_held
        );
    }
    table.apply_report(ms(1_000), report(100_000, &old.map(|id| (id, 9_000))));
    assert_eq!(reserved_count(&mut table, 6, 5_000, 4_800), 6);
}

/// Guards against a batch that outgrows the memory because outputs that reach their estimates are
/// assumed to have ended.
#[test]
fn outputs_beyond_their_estimates_are_expected_to_continue() {
    let mut table = table(100_000);
    let old = [
        "old0", "old1", "old2", "old3", "old4", "old5", "old6", "old7",
    ];
    for id in old {
        assert!(
            table
                .reserve_slot(ms(0), &request(id, 5_000, 4_800))
                .is_held
        );
    }
    // All outputs exceed their estimates and use 88,000 tokens. Another 5,000 would fit now, but
    // not for long.
    table.apply_report(ms(1_000), report(100_000, &old.map(|id| (id, 11_000))));
    assert!(
        !table
            .reserve_slot(ms(1_000), &request("new", 5_000, 4_800))
            .is_held
    );
}

/// Guards against reservations that are kept although their requests never use them.
#[test]
fn unused_reservations_expire() {
    let mut table = table(10_000);
    assert!(
        table
            .reserve_slot(ms(0), &request("a", 5_000, 4_000))
            .is_held
    );
    assert!(
        !table
            .reserve_slot(ms(0), &request("b", 5_000, 4_000))
            .is_held
    );
    table.apply_report(ms(1_299), report(10_000, &[]));
    assert!(
        !table
            .reserve_slot(ms(1_299), &request("b", 5_000, 4_000))
            .is_held
    );
    table.apply_report(ms(1_300), report(10_000, &[]));
    assert!(
        table
            .reserve_slot(ms(1_300), &request("b", 5_000, 4_000))
            .is_held
    );
}

/// Guards against a released slot that no other request can reserve.
#[test]
fn released_slot_can_be_reserved_again() {
    let mut table = table(10_000);
    assert!(
        table
            .reserve_slot(ms(0), &request("a", 5_000, 4_000))
            .is_held
    );
    table.release_slot("a");
    assert!(
        table
            .reserve_slot(ms(0), &request("b", 5_000, 4_000))
            .is_held
    );
}

/// Guards against ending a reservation that is missing in a report because its run began after the
/// report was requested.
#[test]
fn earlier_report_does_not_end_a_reservation() {
    let mut table = table(10_000);
    table.reserve_slot(ms(10), &request("a", 5_000, 4_000));
    table.apply_report(ms(9), report(10_000, &[]));
    assert!(
        !table
            .reserve_slot(ms(11), &request("b", 5_000, 4_000))
            .is_held
    );
}

/// Guards against treating a restarted engine as full.
#[test]
fn restart_of_the_engine_ends_its_reservations() {
    let mut table = table(10_000);
    table.reserve_slot(ms(0), &request("a", 5_000, 4_000));
    let mut restarted = report(10_000, &[]);
    restarted.started_at_ms = UnixMs(2);
    table.apply_report(ms(1), restarted);
    assert!(
        table
            .reserve_slot(ms(1), &request("b", 5_000, 4_000))
            .is_held
    );
}

/// Guards against slots that are reserved at an engine that has crashed while its agent lives: each
/// costs a request its prefill.
#[test]
fn engine_that_sends_no_reports_gets_no_reservations() {
    let mut table = table(10_000);
    table.report_failed();
    assert!(
        table
            .reserve_slot(ms(100), &request("a", 5_000, 4_000))
            .is_held,
        "one report may fail with its connection"
    );
    table.release_slot("a");
    table.report_failed();
    let reply = table.reserve_slot(ms(200), &request("b", 5_000, 4_000));
    assert!(!reply.is_held && reply.is_unavailable, "{reply:?}");
    table.apply_report(ms(300), report(10_000, &[]));
    let reply = table.reserve_slot(ms(300), &request("b", 5_000, 4_000));
    assert!(reply.is_held && !reply.is_unavailable, "{reply:?}");
}

/// Guards against a slot at an engine that has restarted under another id: the entry still knows the
/// old one, computes a prompt for it, and the run is rejected.
#[test]
fn restarted_engine_gets_no_reservations_for_its_old_incarnation() {
    struct Case {
        name: &'static str,
        reported_ms: u64,
        requested_ms: u64,
        is_other_incarnation: bool,
    }
    let case = |name, reported_ms, requested_ms, is_other_incarnation| Case {
        name,
        reported_ms,
        requested_ms,
        is_other_incarnation,
    };
    let cases = [
        case("same incarnation", 5, 5, false),
        case("restarted since", 6, 5, true),
        case("restart not reported yet", 4, 5, false),
        case("unknown to the entry", 6, 0, false),
    ];
    for case in cases {
        let mut table = ReservationTable::new();
        let mut restarted = report(10_000, &[]);
        restarted.started_at_ms = UnixMs(case.reported_ms);
        table.apply_report(ms(0), restarted);
        let request = ReservationRequest {
            engine_started_at_ms: UnixMs(case.requested_ms),
            ..request("a", 5_000, 4_000)
        };
        let reply = table.reserve_slot(ms(1), &request);
        let is_other = case.is_other_incarnation;
        assert_eq!(reply.is_other_incarnation, is_other, "{}", case.name);
        assert_eq!(reply.is_held, !is_other, "{}", case.name);
    }
}

/// Guards against two owners of one count: entries that know of a change of the engine choose another
/// owner, and those that do not must be sent away.
#[test]
fn agent_owns_counts_only_beside_a_steady_engine() {
    struct Case {
        name: &'static str,
        change: fn(&mut EngineReport),
        failed_count: u32,
        known_ms: u64,
        is_owner: bool,
    }
    let case = |name, change, failed_count, known_ms, is_owner| Case {
        name,
        change,
        failed_count,
        known_ms,
        is_owner,
    };
    let cases = [
        case("steady", |_| {}, 0, 5, true),
        case("one report missing", |_| {}, 1, 5, true),
        case("does not respond", |_| {}, 2, 5, false),
        case("leaving", |report| report.is_leaving = true, 0, 5, false),
        case(
            "started again, not known to the entry",
            |report| report.started_at_ms = UnixMs(6),
            0,
            5,
            false,
        ),
        case(
            "started again, known to the entry",
            |report| report.started_at_ms = UnixMs(6),
            0,
            6,
            true,
        ),
        case("start unknown to the entry", |_| {}, 0, 0, true),
    ];
    for case in cases {
        let mut table = ReservationTable::new();
        let mut engine = report(10_000, &[]);
        engine.started_at_ms = UnixMs(5);
        (case.change)(&mut engine);
        table.apply_report(ms(0), engine);
        for _ in 0..case.failed_count {
            table.report_failed();
        }
        let is_owner = table.owns_counts(UnixMs(case.known_ms));
        assert_eq!(is_owner, case.is_owner, "{}", case.name);
    }
}

/// Guards against an agent that restarts beside a busy engine and treats it as empty.
#[test]
fn unknown_outputs_count() {
    let mut table = ReservationTable::new();
    assert!(
        !table.reserve_slot(ms(0), &request("a", 1, 1)).is_held,
        "no report has arrived"
    );
    table.apply_report(ms(0), report(10_000, &[("unknown", 7_000)]));
    assert!(
        !table
            .reserve_slot(ms(0), &request("a", 5_000, 4_000))
            .is_held
    );
}

/// Guards against reserving more slots than the engine's batch has.
#[test]
fn reservations_are_bounded_by_slots() {
    let mut table = ReservationTable::new();
    table.apply_report(ms(0), report(1_000_000, &[]));
    let reserve = |table: &mut ReservationTable, id: &str| {
        let mut request = request(id, 100, 100);
        request.slots = Slots(3);
        table.reserve_slot(ms(0), &request).is_held
    };
    let are_reserved = ["a", "b", "c", "d"].map(|id| reserve(&mut table, id));
    assert_eq!(are_reserved, [true, true, true, false]);
}

/// Guards against reserving the memory of a preempted output for another one: the engine resumes
/// the preempted output with all tokens that it had.
#[test]
fn preempted_output_keeps_its_reservation() {
    let mut table = table(10_000);
    table.reserve_slot(ms(0), &request("a", 5_000, 4_000));
    table.apply_report(ms(100), report(10_000, &[("a", 6_000)]));
    let mut preempted = report(10_000, &[]);
    preempted.waiting_count = 1;
    table.apply_report(ms(200), preempted);
    assert!(
        !table
            .reserve_slot(ms(200), &request("b", 5_000, 4_000))
            .is_held
    );
    table.apply_report(ms(300), report(10_000, &[("a", 6_100)]));
    table.apply_report(ms(400), report(10_000, &[]));
    assert!(
        table
            .reserve_slot(ms(400), &request("b", 5_000, 4_000))
            .is_held,
        "the output has ended"
    );
}

/// Guards against late requests that reserve slots while others could still meet their latency
/// targets: in lasting overload all requests would then be late.
#[test]
fn late_requests_yield_to_those_on_time() {
    let mut table = table(10_000);
    let late = |id: &str| ReservationRequest {
        is_late: true,
        ..request(id, 5_000, 4_000)
    };
    assert!(
        table.reserve_slot(ms(0), &late("a")).is_held,
        "no other request waits"
    );
    assert!(
        !table
            .reserve_slot(ms(10), &request("b", 5_000, 4_000))
            .is_held
    );
    table.release_slot("a");
    assert!(
        !table.reserve_slot(ms(20), &late("c")).is_held,
        "b is expected to retry soon"
    );
    assert!(
        table
            .reserve_slot(ms(70), &request("b", 5_000, 4_000))
            .is_held
    );
    table.release_slot("b");
    assert!(
        table.reserve_slot(ms(200), &late("c")).is_held,
        "no request on time was refused since"
    );
}

/// Guards against an engine that computes several prompts at once beside its outputs, after the
/// prefill engines of its region have become unavailable: every output would then pause for longer
/// than is allowed.
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
        // 5,000 tokens at 25 tokens per ms, and the interval for the other outputs.
        case(259, "second", true, false),
        case(260, "second", true, true),
        case(261, "third", true, false),
    ];
    let mut table = table(100_000);
    for case in cases {
        let request_of_case = ReservationRequest {
            computes_prompt: case.computes_prompt,
            ..request(case.id, 5_000, 4_800)
        };
        let reply = table.reserve_slot(ms(case.at_ms), &request_of_case);
        assert_eq!(reply.is_held, case.is_held, "{} at {}", case.id, case.at_ms);
    }
}

/// Guards against two reservations for one request, one of which is never released.
#[test]
fn reservation_replaces_an_earlier_one_of_its_request() {
    let mut table = table(12_000);
    assert!(
        table
            .reserve_slot(ms(0), &request("a", 5_000, 4_800))
            .is_held
    );
    assert!(
        table
            .reserve_slot(ms(1), &request("a", 5_000, 4_800))
            .is_held
    );
    table.release_slot("a");
    assert!(
        table
            .reserve_slot(ms(2), &request("b", 5_000, 4_800))
            .is_held
    );
}
