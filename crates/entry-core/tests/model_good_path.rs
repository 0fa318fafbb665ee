//! The good path of a model call.

mod common;

use common::Driver;
use cuminlead_entry_core::CallConfig;

/// Guards against steps in the wrong order: a prefill without a decode place, a prefill server that
/// keeps its KV cache after the import, an answer that is not acknowledged at its end.
#[yare::parameterized(
    begins = { "start", "pair? not[]" },
    reserves = { "start; pair d p", "reserve#0 d/1" },
    prefills = { "start; pair d p; reserved 0", "report d ok; prefill#1 p/1" },
    opens = { "start; pair d p; reserved 0; prefilled 1", "report p ok; start@0#0 d/1" },
    releases = { "start; pair d p; reserved 0; prefilled 1; imported 0", "release#2 p/1" },
    delivers = { "start; pair d p; reserved 0; prefilled 1; imported 0; chunk 0 1 0", "deliver 0" },
    finishes = {
        "start; pair d p; reserved 0; prefilled 1; imported 0; released 2; chunk 0 1 0; chunk 0 1 1 stop",
        "deliver 1 end; ack#0 2; close#0; report d ok"
    },
)]
fn step_by_step(script: &str, expected: &str) {
    let mut driver = Driver::model(CallConfig::default());
    assert_eq!(driver.run(script), expected);
}

/// Guards against a call that its driver keeps for ever, or drops before the release is confirmed.
#[yare::parameterized(
    waits_for_release = { "chunk 0 1 0 stop", false },
    released = { "released 2; chunk 0 1 0 stop", true },
)]
fn ends_when_released(script: &str, is_ended: bool) {
    let mut driver = Driver::model(CallConfig::default());
    driver.run("start; pair d p; reserved 0; prefilled 1; imported 0");
    driver.run(script);
    assert_eq!(driver.call.is_ended(), is_ended);
}
