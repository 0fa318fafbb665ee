//! Failures of a model call. Each case runs a script up to a state, then one more step, and checks
//! the actions of that step.

mod common;

use common::Driver;
use cuminlead_entry_core::{CallAction, CallConfig};
use cuminlead_protocol::AgentRequest;
use cuminlead_types::DurationUs;

const RESERVED: &str = "start; pair d p; reserved 0";
const OPEN: &str = "start; pair d p; reserved 0; prefilled 1";
const DELIVERED: &str =
    "start; pair d p; reserved 0; prefilled 1; imported 0; released 2; chunk 0 1 0";

fn actions_of(before: &str, step: &str) -> String {
    let mut driver = Driver::model(CallConfig::default());
    driver.run(before);
    driver.run(step)
}

/// A lost or refused reservation must not end the call, leave a slot reserved, or be retried at the
/// same server without bound.
#[yare::parameterized(
    unresponsive = { "start; pair d p", "wait 2000", "retried silent; reserve#1 d/1 fresh" },
    connection_lost = { "start; pair d p", "lost 0", "retried silent; reserve#1 d/1 fresh" },
    unresponsive_three_times = {
        "start; pair d p; wait 2000; wait 2000", "wait 2000",
        "report d silent; release#3 d/1 fresh; retried silent; pair? not[d]"
    },
    refused = {
        "start; pair d p", "failed 0 queue_full",
        "report d refused_not_run; retried refused_not_run; pair? not[d]"
    },
    connect_failed = {
        "start; pair d p", "noconn 0",
        "report d connect_failed; retried connect_failed; pair? not[d]"
    },
    draining = { "start; pair d p", "failed 0 draining", "report d draining; retried draining; pair? not[d]" },
    attempts_exhausted = {
        "start; pair d p; noconn 0; pair e p; noconn 1; pair f p", "noconn 2",
        "report f connect_failed; fail not_run no_server"
    },
    no_other_server = { "start; pair d p; noconn 0", "noroute", "pair? not[]" },
    retry_budget_exhausted = { "start; pair d p; failed 0 queue_full", "nobudget", "fail not_run overloaded" },
    no_server = { "start", "noroute", "fail not_run no_server" },
)]
fn reserve(before: &str, step: &str, expected: &str) {
    assert_eq!(actions_of(before, step), expected);
}

/// A failed prefill must keep the decode slot while its lease lasts, and must not rely on the slot
/// of an expired lease.
#[yare::parameterized(
    unresponsive = { RESERVED, "wait 2005", "retried silent; prefill#2 p/1 fresh" },
    engine_failed = {
        RESERVED, "failed 1 engine",
        "report p engine_failed; release#2 p/1; retried engine_failed; prefill? not[p]"
    },
    other_server = { "start; pair d p; reserved 0; noconn 1; prefill q", "prefilled 2", "report q ok; start@0#0 d/1" },
    lease_expired = {
        "start; pair d p; reserved 0; wait 2005; wait 2005", "wait 3990",
        "report p silent; release#4 d/1 fresh; release#5 p/1 fresh; retried silent; pair? not[p]"
    },
    abandoned_server_chosen_again = {
        "start; pair d p; reserved 0; failed 1 engine", "prefill p",
        "release#3 d/1; retried refused_not_run; pair? not[p]"
    },
    no_other_server = {
        "start; pair d p; reserved 0; noconn 1", "noroute",
        "release#2 d/1; retried refused_not_run; pair? not[p]"
    },
)]
fn prefill(before: &str, step: &str, expected: &str) {
    assert_eq!(actions_of(before, step), expected);
}

/// A failed or stalled KV transfer must be imported again before it costs another prefill, and must
/// not be repeated without bound.
#[yare::parameterized(
    imports_again = { OPEN, "stream_failed 0 transfer", "retried timed_out; close#0; start@0#1 d/1" },
    prefills_again = {
        "start; pair d p; reserved 0; prefilled 1; stream_failed 0 transfer", "stream_failed 1 transfer",
        "report p timed_out; close#1; wasted 100 timed_out; release#2 p/1 fresh; retried timed_out; prefill? not[p]"
    },
    unresponsive = { OPEN, "wait 2000", "retried silent; close#0; start@0#1 d/1 fresh" },
)]
fn transfer(before: &str, step: &str, expected: &str) {
    assert_eq!(actions_of(before, step), expected);
}

/// A finished prefill must survive the loss of its decode slot. It must not be used after its
/// retention period or in another region, and nothing must be computed for a lost slot.
#[yare::parameterized(
    agent_restarted = {
        OPEN, "heartbeat 0 inc=8",
        "report d new_incarnation; close#0; retried new_incarnation; pair? not[d]"
    },
    other_decode_server = {
        "start; pair d p; reserved 0; prefilled 1; heartbeat 0 inc=8", "pair e q",
        "release#2 d/1 fresh; reserve#3 e/1"
    },
    imports_at_other_server = {
        "start; pair d p; reserved 0; prefilled 1; heartbeat 0 inc=8; pair e q", "reserved 3", "start@0#1 e/1"
    },
    same_decode_server = {
        "start; pair d p; reserved 0; prefilled 1; stream_failed 0 no_such_lease", "pair d q", "reserve#2 d/1"
    },
    other_region = {
        "start; pair d p; reserved 0; prefilled 1; heartbeat 0 inc=8", "pair e q r2",
        "wasted 100 new_incarnation; release#2 d/1; release#3 p/1; reserve#4 e/2"
    },
    retention_expired = {
        "start; pair d p; reserved 0; prefilled 1; heartbeat 0 inc=8; wait 10000", "pair e q",
        "wasted 100 new_incarnation; release#2 d/1; release#3 p/1; reserve#4 e/2"
    },
    caller_disconnected = {
        "start; pair d p; reserved 0; prefilled 1; heartbeat 0 inc=8", "disconnect",
        "wasted 100 cancelled; release#2 d/1; release#3 p/1"
    },
    lease_expired = { RESERVED, "wait 9000", "retried silent; reserve#2 d/1 fresh" },
    lease_expired_at_grant = { "start; pair d p", "reserved 0 expired", "prefill#1 p/1" },
    lease_expired_before_import = { "start; pair d p; reserved 0 expired", "prefilled 1", "report p ok; reserve#2 d/1" },
    already_decoding = { "start; pair d p; reserved 0 expired; prefilled 1", "reserved 2 expired", "start@0#0 d/1" },
    lease_renewed = { "start; pair d p; reserved 0; wait 9000", "reserved 2", "prefill#3 p/1" },
)]
fn reuse(before: &str, step: &str, expected: &str) {
    assert_eq!(actions_of(before, step), expected);
}

/// A lost decode stream must be resumed rather than computed again, and the failure of a decode
/// server must not end the call.
#[yare::parameterized(
    unresponsive = { DELIVERED, "wait 2000", "retried silent; close#0; resume@1#1 d/1 fresh" },
    stream_lost = { DELIVERED, "stream_lost 0 silent", "retried silent; close#0; resume@1#1 d/1 fresh" },
    sequence_gap = { DELIVERED, "chunk 0 1 2", "retried silent; close#0; resume@1#1 d/1 fresh" },
    unresponsive_three_times = {
        "start; pair d p; reserved 0; prefilled 1; imported 0; released 2; wait 2000; wait 2000", "wait 2000",
        "report d silent; cancel#2; close#2; wasted 100 silent; release#3 d/1 fresh; retried silent; pair? not[d]"
    },
    transfer_failed_after_import = {
        DELIVERED, "stream_failed 0 transfer",
        "report d engine_failed; cancel#0; close#0; wasted 100 engine_failed; release#3 d/1; retried engine_failed; pair? not[d]"
    },
    acknowledges = { DELIVERED, "wait 1000", "ack#0 1" },
    lease_lost = {
        "start; pair d p; reserved 0; prefilled 1; imported 0; released 2; chunk 0 1 0; wait 2000",
        "stream_failed 1 no_such_lease",
        "report d refused_not_run; cancel#1; close#1; wasted 100 refused_not_run; release#3 d/1; retried refused_not_run; pair? not[]"
    },
    server_failed = {
        DELIVERED, "stream_lost 0 connect_failed",
        "report d connect_failed; cancel#0; close#0; wasted 100 connect_failed; release#3 d/1; retried connect_failed; pair? not[d]"
    },
)]
fn decode(before: &str, step: &str, expected: &str) {
    assert_eq!(actions_of(before, step), expected);
}

/// Late or mismatched messages must not reach the caller, and resources granted late to an
/// abandoned attempt must be released.
#[yare::parameterized(
    repeated_chunk = { DELIVERED, "chunk 0 1 0", "" },
    chunk_of_other_attempt = { DELIVERED, "chunk 0 2 1", "" },
    chunk_of_other_incarnation = { DELIVERED, "chunk 0 1 1 inc=6", "" },
    chunk_of_old_stream = {
        "start; pair d p; reserved 0; prefilled 1; imported 0; released 2; wait 2000", "chunk 0 1 0", ""
    },
    reply_of_repeated_message = { "start; pair d p; wait 2000", "reserved 0", "" },
    second_reply = { RESERVED, "reserved 0", "" },
    late_reserved = {
        "start; pair d p; wait 2000; wait 2000; wait 2000; released 3", "reserved 0", "release#4 d/1"
    },
    late_prefilled = {
        "start; pair d p; reserved 0; wait 2005; failed 2 engine; released 3", "prefilled 1",
        "wasted 100 timed_out; release#4 p/1"
    },
)]
fn late_messages(before: &str, step: &str, expected: &str) {
    assert_eq!(actions_of(before, step), expected);
}

/// Engine memory must be released when the caller disconnects or the request's deadline has passed,
/// and no work must start beyond `request_max_us`.
#[yare::parameterized(
    disconnected_before_reserve = { "start", "disconnect", "" },
    disconnected_in_reserve = { "start; pair d p", "disconnect", "release#1 d/1" },
    disconnected_in_prefill = { RESERVED, "disconnect", "release#2 d/1; release#3 p/1" },
    disconnected_in_decode = { DELIVERED, "disconnect", "cancel#0; close#0; release#3 d/1" },
    routed_after_disconnect = { "start; disconnect", "pair d p", "" },
    late_timer = { "start; pair d p", "wait 100000", "release#1 d/1 fresh; fail not_run timed_out" },
    late_timer_in_decode = {
        DELIVERED, "wait 100000",
        "cancel#0; close#0; wasted 100 timed_out; release#3 d/1 fresh; fail incomplete timed_out"
    },
    release_repeated = { "start; pair d p; disconnect; wait 2000", "wait 500", "release#2 d/1 fresh" },
)]
fn completion(before: &str, step: &str, expected: &str) {
    assert_eq!(actions_of(before, step), expected);
}

/// An unconfirmed release must be repeated, but not without bound.
#[test]
fn release_is_repeated_twice() {
    let mut driver = Driver::model(CallConfig::default());
    driver.run("start; pair d p; disconnect");
    for send in 1..=2 {
        driver.run(&format!("lost {send}"));
        assert!(!driver.call.is_ended());
        driver.run("wait 500");
    }
    driver.run("lost 3; wait 2000");
    assert!(driver.call.is_ended());
}

/// A new attempt must continue after the delivered text, without repeating any of it or leaving a
/// gap in the sequence numbers.
#[test]
fn continues_after_delivered_text() {
    let mut driver = Driver::model(CallConfig::default());
    driver.run(DELIVERED);
    driver.run("stream_lost 0 connect_failed; pair e q; reserved 4; prefilled 5");
    let delivered = driver.run("chunk 1 2 1 stop");
    let expected = "release#6 q/2; generated; deliver 1 end; ack#1 2; close#1; report e ok";
    assert_eq!(delivered, expected);
}

/// An output of full length that only lacks its last chunk must not start a new attempt.
#[test]
fn full_length_ends_without_new_attempt() {
    let mut driver = Driver::model(CallConfig::default());
    driver.run(OPEN);
    for sequence in 0..10 {
        driver.run(&format!("chunk 0 1 {sequence}"));
    }
    let actions = driver.run("stream_lost 0 connect_failed");
    assert!(actions.ends_with("deliver 10 end"), "{actions}");
}

/// The `prefill_first` baseline must not reserve a decode slot before the prefill; it would not be
/// the baseline that the comparison needs.
#[yare::parameterized(
    prefills = { "start; pair d p", "prefill#0 p/1" },
    reserves = { "start; pair d p; prefilled 0", "report p ok; reserve#1 d/1" },
    opens = { "start; pair d p; prefilled 0; reserved 1", "start@0#0 d/1" },
    wastes = {
        "start; pair d p; prefilled 0; failed 1 queue_full",
        "report d refused_not_run; wasted 100 refused_not_run; release#2 p/1; retried refused_not_run; pair? not[d]"
    },
)]
fn prefill_first(script: &str, expected: &str) {
    let config = CallConfig {
        prefill_first: true,
        ..CallConfig::default()
    };
    assert_eq!(Driver::model(config).run(script), expected);
}

/// A request that waited long for its decode slot, or whose entry process paused, must not be
/// refused by every prefill server because no time is left. A prefill is due 100 ms before the
/// first token.
#[yare::parameterized(
    in_time = { 500, 1_400 },
    no_time_after_the_prefill = { 1_950, 0 },
    missed = { 2_500, 1_900 },
)]
fn missed_target_is_renewed(waited_ms: u64, due_ms: u64) {
    let mut driver = Driver::model(CallConfig::default());
    driver.run("start; pair d p");
    driver.now = driver.now + DurationUs::from_ms(waited_ms);
    let actions = driver.handle(common::event(&["reserved", "0"]));
    match actions.as_slice() {
        [
            CallAction::Send {
                request: AgentRequest::Prefill(prefill),
                ..
            },
        ] => {
            assert_eq!(prefill.due_us, DurationUs::from_ms(due_ms));
        }
        actions => panic!("unexpected actions {actions:?}"),
    }
}

/// A decode stream that delivers nothing must not be reopened without bound: after two resumptions
/// in a row the attempt moves to another server.
#[test]
fn lost_stream_is_resumed_twice_without_a_chunk() {
    let mut driver = Driver::model(CallConfig::default());
    driver.run(DELIVERED);
    assert_eq!(
        driver.run("stream_lost 0 silent"),
        "retried silent; close#0; resume@1#1 d/1 fresh"
    );
    assert_eq!(
        driver.run("stream_lost 1 silent"),
        "retried silent; close#1; resume@1#2 d/1 fresh"
    );
    let given_up = driver.run("stream_lost 2 silent");
    assert!(given_up.starts_with("report d silent"), "{given_up}");
    assert!(!given_up.contains("resume"), "{given_up}");
}

/// Guards against sending a call with a quarantined prompt part to another engine, and against an
/// error that does not tell the caller why.
#[yare::parameterized(
    new_call = { "start; quarantined", "fail not_run quarantined" },
    retry = {
        "start; pair d p; reserved 0; prefilled 1; imported 0; stream_failed 0 engine; quarantined",
        "fail not_run quarantined"
    },
)]
fn quarantined_call_fails_at_once(script: &str, expected: &str) {
    let mut driver = Driver::model(CallConfig::default());
    assert_eq!(driver.run(script), expected);
}
