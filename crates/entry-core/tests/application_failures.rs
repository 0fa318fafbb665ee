//! Failures of an application call. Each case runs a script up to a state, then one more step, and
//! checks the actions of that step.

mod common;

use common::Driver;

const RUNNING: &str = "start; service s; permit 0 1";
const QUERIED: &str = "start; service s; permit 0 1; lost 1";

/// An idempotent call must be retried after a failure, and must be reported as not run only with
/// proof.
#[yare::parameterized(
    lost = { "start; service s", "lost 0", "report s silent; retried silent; service? not[s]" },
    unresponsive = { "start; service s", "wait 10000", "report s silent; retried silent; service? not[s]" },
    service_failed = {
        "start; service s", "failed 0 service",
        "report s engine_failed; retried engine_failed; service? not[s]"
    },
    not_proven = {
        "start; service s; lost 0; service t; noconn 1; service u", "noconn 2",
        "report u connect_failed; fail unknown outcome_unknown"
    },
    proven_not_run = {
        "start; service s; noconn 0; service t; noconn 1; service u", "noconn 2",
        "report u connect_failed; fail not_run no_server"
    },
    late_reply = { "start; service s; lost 0; service t", "done 0", "" },
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
    run_unresponsive = { RUNNING, "wait 2000", "retried silent; ask_permit#2 s/1 fresh" },
    run_refused = {
        RUNNING, "failed 1 permit_invalid",
        "report s refused_not_run; retried refused_not_run; service? not[s]"
    },
    run_connect_failed = {
        RUNNING, "noconn 1", "report s connect_failed; retried connect_failed; service? not[s]"
    },
    run_not_forwarded = { RUNNING, "voided 1", "retried voided; service? not[s]" },
    run_unknown = { RUNNING, "failed 1 unknown", "fail unknown outcome_unknown" },
    run_cancelled = { RUNNING, "failed 1 cancelled", "fail unknown outcome_unknown" },
    query_done = { QUERIED, "answered 2", "report s ok; respond" },
    query_voided = { QUERIED, "voided 2", "retried voided; service? not[s]" },
    query_unknown = { QUERIED, "unknown 2", "fail unknown outcome_unknown" },
    query_running = { "start; service s; permit 0 1; lost 1; running 2", "wait 1000", "ask_permit#3 s/1" },
    query_lost = { "start; service s; permit 0 1; lost 1; lost 2", "wait 500", "ask_permit#3 s/1 fresh" },
    query_connect_failed = { QUERIED, "noconn 2", "report s connect_failed" },
    query_past_deadline = { QUERIED, "wait 100000", "fail unknown outcome_unknown" },
    late_run_reply = { "start; service s; permit 0 1; wait 2000", "done 1", "report s ok; respond" },
    late_run_failure = { "start; service s; permit 0 1; wait 2000", "failed 1 permit_invalid", "" },
    timed_out_before_run = { "start; service s", "wait 100000", "fail not_run timed_out" },
    disconnected_before_run = { "start; service s; disconnect", "permit 0 1", "" },
    disconnected_after_run = { "start; service s; permit 0 1; disconnect", "done 1", "" },
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
    running_past_deadline = { "start; service s; keyrunning 0", "wait 100000", "fail unknown outcome_unknown" },
    permit_after_running = { "start; service s; keyrunning 0; wait 500; permit 1 1", "wait 100000", "fail unknown outcome_unknown" },
    unknown = { "start; service s", "keyunknown 0", "fail unknown outcome_unknown" },
    permit_lost = { "start; service s", "lost 0", "retried silent; issue_permit#1 s/1 fresh" },
    owner_unreachable = { "start; service s", "noconn 0", "report s connect_failed; fail not_run no_server" },
    owner_draining = { "start; service s", "failed 0 draining", "report s draining; fail not_run no_server" },
    voided = { "start; service s; permit 0 1; lost 1", "voided 2", "fail not_run backend_failed" },
    not_owner = { "start; service s; failed 0 not_owner", "wait 500", "service? not[]" },
    not_owner_three_times = {
        "start; service s; failed 0 not_owner; wait 500; service s; failed 1 not_owner; wait 500; service s",
        "failed 2 not_owner", "fail not_run no_server"
    },
)]
fn keyed(before: &str, step: &str, expected: &str) {
    let mut driver = Driver::application(false, Some("k"));
    driver.run(before);
    assert_eq!(driver.run(step), expected);
}
