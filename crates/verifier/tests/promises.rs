//! Records that keep the promises and records that break one of them.

use cuminlead_types::{Findings, TimeUs};
use cuminlead_verifier::{Bounds, Record, verify};

const END: TimeUs = TimeUs(200_000_000);

/// Parses a script of observations separated by semicolons, with times in milliseconds. `R1` and
/// `R2` stand for requests; `M1`, `I1` and `N1` stand for the acceptance of `R1` by the entry `e1`
/// as a model call, an idempotent call and a non-idempotent call.
fn record(script: &str) -> Record {
    let lines: Vec<String> = script.split(';').map(line).collect();
    lines.join("\n").parse().expect("valid record")
}

fn line(text: &str) -> String {
    let (ms, what) = text.trim().split_once(' ').expect("time and observation");
    let end = "customer=c service= key= answer=";
    let text = what
        .replace(
            "M1",
            &format!("request_accepted request=R1 process=e1 kind=model {end}"),
        )
        .replace(
            "I1",
            &format!("request_accepted request=R1 process=e1 kind=idempotent {end}"),
        )
        .replace(
            "N1",
            &format!("request_accepted request=R1 process=e1 kind=non_idempotent {end}"),
        )
        .replace("R1", &format!("{:032x}", 1))
        .replace("R2", &format!("{:032x}", 2));
    format!("{ms}000 {text}")
}

fn findings(script: &str) -> Findings {
    verify(&record(script), END, &Bounds::default())
}

/// Guards against findings about a record that keeps every promise, in part just within its limit.
#[yare::parameterized(
    p1_freed = { "0 M1; 1 sequence_started server=d id=R1/1; 5 answer_ended request=R1 answer=; 30005 sequence_freed server=d id=R1/1" },
    p1_engine_restarted = { "0 M1; 1 sequence_started server=d id=R1/1; 5 caller_gone request=R1; 9 engine_restarted server=d" },
    p1_cancelled = { "0 M1; 1 sequence_started server=d id=R1/1; 2 caller_gone request=R1; 3 cancel_received server=d id=R1/1; 1003 sequence_freed server=d id=R1/1" },
    p2_chunks_once = { "0 M1; 1 chunk_delivered request=R1 sequence=0; 2 chunk_delivered request=R1 sequence=1; 3 answer_ended request=R1 answer=" },
    p3_own_answer = { "0 request_accepted request=R1 process=e1 kind=model customer=c service= key= answer=0a; 1 answer_ended request=R1 answer=0a" },
    p3_caller_disconnected = { "0 M1; 1 caller_gone request=R1" },
    p3_entry_killed = { "0 M1; 1 caller_cut_off request=R1; 2 process_killed process=e1" },
    p3_still_in_time = { "100000 M1" },
    p3_incomplete = { "0 M1; 1 chunk_delivered request=R1 sequence=0; 2 request_failed request=R1 outcome=incomplete" },
    p4_not_run = { "0 N1; 1 request_failed request=R1 outcome=not_run" },
    p4_unknown = { "0 N1; 1 service_ran server=s request=R1; 2 request_failed request=R1 outcome=unknown" },
    p5_once = { "0 N1; 1 permit_started server=s permit=7.1 request=R1; 2 service_ran server=s request=R1; 3 answer_ended request=R1 answer=" },
    p5_idempotent_twice = { "0 I1; 1 service_ran server=s request=R1; 2 service_ran server=t request=R1; 3 answer_ended request=R1 answer=" },
    p6_in_time = { "0 leaving_reported server=s source=agent; 5000 work_accepted server=s id=R1/1" },
    p6_returned = { "0 leaving_reported server=s source=published; 9000 server_returned server=s; 9001 work_accepted server=s id=R1/1" },
    p7_drained = { "0 M1; 1 answer_ended request=R1 answer=; 2 process_stopped process=e1 open_count=0" },
    p8_in_time = { "0 process_started process=e1; 1 lists_published revision=5; 9001 lists_in_force process=e1 revision=5" },
    p8_newer = { "0 process_started process=e1; 1 lists_published revision=5; 2 lists_published revision=6; 3 lists_in_force process=e1 revision=6" },
    p8_isolated = { "0 process_started process=e1; 1 isolation_began process=e1; 2 lists_published revision=5; 60000 isolation_ended process=e1; 69000 lists_in_force process=e1 revision=5" },
    orders_increase = { "0 order_carried_out server=d fencing=5.1 is_checked=true; 1 order_carried_out server=d fencing=7.1 is_checked=true" },
    orders_after_engine_restart = { "0 order_carried_out server=d fencing=7.1 is_checked=true; 1 engine_restarted server=d; 2 order_carried_out server=d fencing=5.1 is_checked=true" },
    orders_late_and_unfenced = { "0 M1; 1 order_carried_out server=d fencing=7.1 is_checked=false; 2 order_carried_out server=d fencing=5.9 is_checked=false; 2 sequence_cut_off server=d id=R1/1 fencing=5.9; 3 answer_ended request=R1 answer=" },
    orders_after_request_ended = { "0 M1; 1 answer_ended request=R1 answer=; 2 order_carried_out server=d fencing=7.1 is_checked=true; 2 sequence_cut_off server=d id=R1/1 fencing=7.1" },
    orders_assignment_reached = { "0 duty_published server=d duty=decode:a; 1 duty_served server=d duty=prefill:a; 2 duty_served server=d duty=decode:a" },
    orders_not_yet_due = { "79000 duty_published server=d duty=decode:a" },
    attempts_within_limit = { "0 I1; 0 attempts_bounded request=R1 attempts_max_count=2; 1 service_ran server=s request=R1; 2 service_ran server=t request=R1; 3 answer_ended request=R1 answer=" },
    attempts_without_limit = { "0 I1; 1 service_ran server=s request=R1; 2 service_ran server=s request=R1; 3 answer_ended request=R1 answer=" },
    reservation_before_work = { "0 M1; 1 place_held server=d request=R1; 2 prefill_sent server=p request=R1; 3 decode_sent server=d request=R1 cache=h1; 4 cache_consumed request=R1 cache=h1; 4 place_released server=d request=R1; 5 answer_ended request=R1 answer=" },
    cache_offered_again = { "0 M1; 1 place_held server=d request=R1; 2 decode_sent server=d request=R1 cache=h1; 3 place_held server=e request=R1; 4 decode_sent server=e request=R1 cache=h1; 5 answer_ended request=R1 answer=" },
    p8_killed = { "0 process_started process=e1; 1 lists_published revision=5; 9000 process_killed process=e1" },
)]
fn record_without_violation_has_no_findings(script: &str) {
    assert_eq!(findings(script).to_string(), "");
}

/// Guards against a violation that is missed, or reported at the wrong observation or with the
/// wrong subject.
#[yare::parameterized(
    p1_late = {
        "0 M1; 1 sequence_started server=d id=R1/1; 5 answer_ended request=R1 answer=; 30006 sequence_freed server=d id=R1/1",
        "record:2: P1 d R1/1"
    },
    p1_never_freed = { "0 M1; 1 sequence_started server=d id=R1/1; 5 caller_gone request=R1", "record:2: P1 d R1/1" },
    p1_unknown_request = { "0 sequence_started server=d id=R1/1", "record:1: P1 d R1/1" },
    p1_entry_killed = { "0 M1; 1 sequence_started server=d id=R1/1; 2 process_killed process=e1", "record:2: P1 d R1/1" },
    p1_cancelled = {
        "0 M1; 1 sequence_started server=d id=R1/1; 2 caller_gone request=R1; 3 cancel_received server=d id=R1/1; 1004 sequence_freed server=d id=R1/1",
        "record:2: P1 d R1/1"
    },
    p2_two_endings = { "0 M1; 1 answer_ended request=R1 answer=; 2 request_failed request=R1 outcome=incomplete", "record:3: P2 R1" },
    p2_chunk_twice = {
        "0 M1; 1 chunk_delivered request=R1 sequence=0; 2 chunk_delivered request=R1 sequence=0; 3 answer_ended request=R1 answer=",
        "record:3: P2 R1"
    },
    p2_chunk_after_end = { "0 M1; 1 answer_ended request=R1 answer=; 2 chunk_delivered request=R1 sequence=0", "record:3: P2 R1" },
    p3_never = { "0 M1", "record:1: P3 R1" },
    p3_gap = {
        "0 M1; 1 chunk_delivered request=R1 sequence=1; 2 answer_ended request=R1 answer=",
        "record:2: P3 R1"
    },
    p3_other_answer = {
        "0 request_accepted request=R1 process=e1 kind=model customer=c service= key= answer=0a; 1 answer_ended request=R1 answer=0b",
        "record:2: P3 R1"
    },
    p3_unknown_request = { "0 answer_ended request=R1 answer=", "record:1: P3 R1" },
    p3_disconnected_by_entry = { "0 M1; 1 caller_cut_off request=R1", "record:2: P3 R1" },
    p4_ran_before = {
        "0 N1; 1 service_ran server=s request=R1; 2 request_failed request=R1 outcome=not_run", "record:2: P4 R1"
    },
    p4_ran_after = {
        "0 I1; 1 request_failed request=R1 outcome=not_run; 2 service_ran server=s request=R1", "record:3: P4 R1"
    },
    p4_delivered = {
        "0 M1; 1 chunk_delivered request=R1 sequence=0; 2 request_failed request=R1 outcome=not_run", "record:2: P4 R1"
    },
    p5_twice = {
        "0 N1; 1 service_ran server=s request=R1; 2 service_ran server=t request=R1; 3 answer_ended request=R1 answer=",
        "record:3: P5 R1"
    },
    p5_key_twice = {
        "0 request_accepted request=R1 process=e1 kind=non_idempotent customer=c service=b key=k answer=; \
         1 service_ran server=s request=R1; 2 answer_ended request=R1 answer=; \
         3 request_accepted request=R2 process=e1 kind=non_idempotent customer=c service=b key=k answer=; \
         4 service_ran server=s request=R2; 5 answer_ended request=R2 answer=",
        "record:5: P5 R2"
    },
    p5_permit_twice = {
        "0 N1; 1 permit_started server=s permit=7.1 request=R1; 2 permit_started server=s permit=7.1 request=R1; 3 answer_ended request=R1 answer=",
        "record:3: P5 R1"
    },
    p6_late = { "0 leaving_reported server=s source=agent; 4000 leaving_reported server=s source=published; 5001 work_accepted server=s id=R1/1", "record:3: P6 s" },
    p7_request_open = { "0 M1; 1 process_stopped process=e1 open_count=0; 2 answer_ended request=R1 answer=", "record:2: P7 R1" },
    p7_lease_open = { "0 process_stopped process=a1 open_count=2", "record:1: P7 a1" },
    attempts_beyond_limit = {
        "0 I1; 0 attempts_bounded request=R1 attempts_max_count=1; 1 service_ran server=s request=R1; 2 service_ran server=t request=R1; 3 answer_ended request=R1 answer=",
        "record:4: Attempts R1"
    },
    attempts_twice_at_one_server = {
        "0 I1; 0 attempts_bounded request=R1 attempts_max_count=3; 1 service_ran server=s request=R1; 2 service_ran server=s request=R1; 3 answer_ended request=R1 answer=",
        "record:4: Attempts R1"
    },
    reservation_missing_for_prefill = { "0 M1; 1 prefill_sent server=p request=R1; 2 answer_ended request=R1 answer=", "record:2: Places R1" },
    reservation_at_another_server = {
        "0 M1; 1 place_held server=d request=R1; 2 decode_sent server=e request=R1 cache=; 3 answer_ended request=R1 answer=",
        "record:3: Places R1"
    },
    reservation_released = {
        "0 M1; 1 place_held server=d request=R1; 2 place_released server=d request=R1; 3 prefill_sent server=p request=R1; 4 answer_ended request=R1 answer=",
        "record:4: Places R1"
    },
    cache_offered_after_consumption = {
        "0 M1; 1 place_held server=d request=R1; 2 cache_consumed request=R1 cache=h1; 3 decode_sent server=d request=R1 cache=h1; 4 answer_ended request=R1 answer=",
        "record:4: Caches R1"
    },
    orders_late = {
        "0 order_carried_out server=d fencing=7.1 is_checked=true; 1 order_carried_out server=d fencing=5.9 is_checked=true",
        "record:2: Orders d"
    },
    orders_twice_in_one_incarnation = {
        "0 order_carried_out server=d fencing=7.2 is_checked=false; 1 order_carried_out server=d fencing=7.1 is_checked=false",
        "record:2: Orders d"
    },
    orders_abort_request = {
        "0 M1; 1 order_carried_out server=d fencing=7.1 is_checked=false; 1 sequence_cut_off server=d id=R1/1 fencing=7.1; 2 answer_ended request=R1 answer=",
        "record:3: Orders d"
    },
    orders_assignment_not_reached = {
        "0 duty_published server=d duty=decode:a; 1 duty_served server=d duty=decode:a,b; 2 duty_published server=d duty=decode:a",
        "record:1: Orders d"
    },
    p8_late = { "0 process_started process=e1; 1 lists_published revision=5; 9002 lists_in_force process=e1 revision=5", "record:2: P8 e1" },
    p8_reverts = {
        "0 process_started process=e1; 1 lists_in_force process=e1 revision=5; 2 lists_in_force process=e1 revision=4",
        "record:3: P8 e1"
    },
    p8_stale_after_isolation = {
        "0 process_started process=e1; 1 isolation_began process=e1; 2 lists_published revision=5; 3 isolation_ended process=e1",
        "record:3: P8 e1"
    },
    p8_stale_after_restart = {
        "0 lists_published revision=5; 1 process_started process=e1; 2 lists_in_force process=e1 revision=4",
        "record:1: P8 e1"
    },
)]
fn violation_is_found(script: &str, location: &str) {
    let locations: Vec<String> = findings(script)
        .iter()
        .map(|f| f.location.to_string())
        .collect();
    let expected = location
        .replace("R1", &format!("{:032x}", 1))
        .replace("R2", &format!("{:032x}", 2));
    assert_eq!(locations, [expected]);
}

/// Guards against a printed record that does not parse back: records of failed runs are stored as
/// test files.
#[test]
fn printed_record_parses_back() {
    let record = record(
        "0 M1; 1 chunk_delivered request=R1 sequence=0; 2 permit_started server=s permit=7.1 request=R1; \
         3 request_accepted request=R2 process=e kind=idempotent customer=c service=s key=a=b answer=0a; \
         4 leaving_reported server=s source=published",
    );
    let parsed: Record = record.to_string().parse().expect("printed record");
    assert_eq!(parsed, record);
}

/// Guards against a malformed line that is skipped without a finding.
#[yare::parameterized(
    no_time = { "caller_gone request=1" },
    unknown_name = { "0 caller_went" },
    missing_field = { "0 engine_restarted" },
    unknown_field = { "0 engine_restarted server=d port=1" },
    repeated_field = { "0 engine_restarted server=d server=e" },
    bad_value = { "0 lists_published revision=x" },
)]
fn malformed_line_is_reported(line: &str) {
    let text = format!("0 engine_restarted server=d\n{line}\n");
    let error = text.parse::<Record>().expect_err("damaged record");
    let lines: Vec<u32> = error.iter().map(|finding| finding.location.line).collect();
    assert_eq!(lines, [2]);
}
