//! Failures of an application call. Each case runs a script up to a state, then one more step, and
//! checks the actions of that step.

mod common;

use common::Driver;

const RUNNING: &str = "start; service s; permit 0 1";
const ASKED: &str = "start; service s; permit 0 1; lost 1";

/// An idempotent call must be retried after a failure, and must be reported as not run only with
/// proof.
#[yare::parameterized(
    lost = { "start; service s", "lost 0", "report s silent; retried silent; service? not[s]" },
    silent = { "start; service s", "wait 10000", "report s silent; retried silent; service? not[s]" },
    service_failed = {
        "start; service s", "failed 0 service",
        "report s engine_failed; retried engine_failed; service? not[s]"
    },
    no_proof = {
        "start; service s; lost 0; service t; noconn 1; service u", "noconn 2",
        "report u connect_failed; fail unknown outcome_unknown"
    },
    proof = {
        "start; service s; noconn 0; service t; noconn 1; service u", "noconn 2",
        "report u connect_failed; fail not_run no_server"
    },
    late_answer = { "start; service s; lost 0; service t", "done 0", "" },
    no_server = { "start", "noroute", "fail not_run no_server" },
)]
fn idempotent(before: &str, step: &str, expected: &str) {
    let mut driver = Driver::application(true, None);
    driver.run(before);
    assert_eq!(driver.run(step), expected);
}

/// A non-idempotent call must not run twice, and must not be reported as not run when it may have
/// run.
#[yare::parameterized(
    permit_lost = { "start; service s", "lost 0", "report s silent; retried silent; service? not[s]" },
    late_permit = { "start; service s; lost 0; service t", "permit 0 1", "" },
    run_lost = { RUNNING, "lost 1", "retried silent; ask_permit#2 s/1 fresh" },
    run_silent = { RUNNING, "wait 2000", "retried silent; ask_permit#2 s/1 fresh" },
    run_refused = {
        RUNNING, "failed 1 permit_invalid",
        "report s refused_not_run; retried refused_not_run; service? not[s]"
    },
    run_not_connected = {
        RUNNING, "noconn 1", "report s connect_failed; retried connect_failed; service? not[s]"
    },
    run_not_sent_on = { RUNNING, "voided 1", "retried voided; service? not[s]" },
    run_unknown = { RUNNING, "failed 1 unknown", "fail unknown outcome_unknown" },
    run_cancelled = { RUNNING, "failed 1 cancelled", "fail unknown outcome_unknown" },
    ask_done = { ASKED, "answered 2", "report s ok; respond" },
    ask_voided = { ASKED, "voided 2", "retried voided; service? not[s]" },
    ask_unknown = { ASKED, "unknown 2", "fail unknown outcome_unknown" },
    ask_running = { "start; service s; permit 0 1; lost 1; running 2", "wait 1000", "ask_permit#3 s/1" },
    ask_lost = { "start; service s; permit 0 1; lost 1; lost 2", "wait 500", "ask_permit#3 s/1 fresh" },
    ask_unreachable = { ASKED, "noconn 2", "report s connect_failed" },
    ask_too_long = { ASKED, "wait 100000", "fail unknown outcome_unknown" },
    late_run_answer = { "start; service s; permit 0 1; wait 2000", "done 1", "report s ok; respond" },
    late_run_failure = { "start; service s; permit 0 1; wait 2000", "failed 1 permit_invalid", "" },
    timed_out_before_run = { "start; service s", "wait 100000", "fail not_run timed_out" },
    gone_before_run = { "start; service s; gone", "permit 0 1", "" },
    gone_after_run = { "start; service s; permit 0 1; gone", "done 1", "" },
)]
fn non_idempotent(before: &str, step: &str, expected: &str) {
    let mut driver = Driver::application(false, None);
    driver.run(before);
    assert_eq!(driver.run(step), expected);
}

/// A call with an idempotency key must stay with the owner of its key, and an unknown outcome must
/// be reported as unknown.
#[yare::parameterized(
    running = { "start; service s; keyrunning 0", "wait 500", "issue_permit#1 s/1" },
    running_too_long = { "start; service s; keyrunning 0", "wait 100000", "fail unknown outcome_unknown" },
    free_again = { "start; service s; keyrunning 0; wait 500; permit 1 1", "wait 100000", "fail unknown outcome_unknown" },
    unknown = { "start; service s", "keyunknown 0", "fail unknown outcome_unknown" },
    permit_lost = { "start; service s", "lost 0", "retried silent; issue_permit#1 s/1 fresh" },
    owner_unreachable = { "start; service s", "noconn 0", "report s connect_failed; fail not_run no_server" },
    owner_leaving = { "start; service s", "failed 0 draining", "report s draining; fail not_run no_server" },
    voided = { "start; service s; permit 0 1; lost 1", "voided 2", "fail not_run backend_failed" },
    not_owner = { "start; service s; failed 0 not_owner", "wait 500", "service? not[]" },
    not_owner_thrice = {
        "start; service s; failed 0 not_owner; wait 500; service s; failed 1 not_owner; wait 500; service s",
        "failed 2 not_owner", "fail not_run no_server"
    },
)]
fn keyed(before: &str, step: &str, expected: &str) {
    let mut driver = Driver::application(false, Some("k"));
    driver.run(before);
    assert_eq!(driver.run(step), expected);
}
