//! Application calls without failures.

mod common;

use common::Driver;

/// A non-idempotent call must not run without a permit, and an idempotent call must not spend a
/// round trip on a permit that it does not need.
#[yare::parameterized(
    idempotent_runs = { true, None, "start; service s", "run_call#0 s/1" },
    idempotent_ends = { true, None, "start; service s; done 0", "report s ok; respond" },
    asks_permit = { false, None, "start; service s", "issue_permit#0 s/1" },
    runs_with_permit = { false, None, "start; service s; permit 0 1", "run_call#1 s/1" },
    ends = { false, None, "start; service s; permit 0 1; done 1", "report s ok; respond" },
    key_replayed = { false, Some("k"), "start; service s; replayed 0", "report s ok; respond" },
)]
fn step_by_step(is_idempotent: bool, key: Option<&str>, script: &str, expected: &str) {
    let mut driver = Driver::application(is_idempotent, key);
    assert_eq!(driver.run(script), expected);
}
