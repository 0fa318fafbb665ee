//! Model calls without failures.

mod common;

use common::{Driver, model_request};
use cuminlead_entry_core::{CallAction, CallConfig, CallEvent, ModelCall, ModelRequest};
use cuminlead_routing::{ModelRequirements, RouteKind};

/// The steps must keep their order: no prefill without a decode slot, release of the prefill
/// server's KV cache after the import, and an acknowledgement at the end of the output.
#[yare::parameterized(
    begins = { "start", "pair? not[]" },
    reserves = { "start; pair d p", "reserve#0 d/1" },
    prefills = { "start; pair d p; reserved 0", "prefill#1 p/1" },
    opens = { "start; pair d p; reserved 0; prefilled 1", "report p ok; start@0#0 d/1" },
    releases = { "start; pair d p; reserved 0; prefilled 1; imported 0", "release#2 p/1" },
    delivers = { "start; pair d p; reserved 0; prefilled 1; imported 0; chunk 0 1 0", "deliver 0" },
    finishes = {
        "start; pair d p; reserved 0; prefilled 1; imported 0; released 2; chunk 0 1 0; chunk 0 1 1 stop",
        "generated; deliver 1 end; ack#0 2; close#0; report d ok"
    },
)]
fn step_by_step(script: &str, expected: &str) {
    let mut driver = Driver::model(CallConfig::default());
    assert_eq!(driver.run(script), expected);
}

/// A call must not end before its releases are confirmed, and must end then; its driver would drop
/// it too early or keep it forever.
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

/// Prompts with a common prefix must have common leading hashes, and prompts that differ in a block
/// must differ from that block on.
#[yare::parameterized(
    same = { "a", "a", 2 },
    differs_in_last_block = { "a", "b", 1 },
)]
fn prefix_hashes_share_leading_blocks(one: &str, other: &str, common_count: usize) {
    let one = prefix_hashes(one);
    let other = prefix_hashes(other);
    let common = one.iter().zip(&other).take_while(|(a, b)| a == b);
    assert_eq!(common.count(), common_count);
    assert_eq!(one.len(), 2);
}

fn prefix_hashes(last_block: &str) -> Vec<u64> {
    let prompt = format!("{}{}rest", "p".repeat(1_024), last_block.repeat(1_024));
    requirements(prompt).prefix_hashes
}

/// What the router gets for a call with this prompt.
fn requirements(prompt: String) -> ModelRequirements {
    let request = ModelRequest {
        prompt,
        ..model_request()
    };
    let mut driver = Driver::new(Box::new(ModelCall::new(CallConfig::default(), request)));
    let actions = driver.handle(CallEvent::Start);
    match actions.as_slice() {
        [CallAction::Route(route)] => match &route.kind {
            RouteKind::Pair(requirements) => requirements.clone(),
            kind => panic!("unexpected kind of route {kind:?}"),
        },
        actions => panic!("unexpected actions {actions:?}"),
    }
}

struct PartsCase {
    name: &'static str,
    /// Blocks of the two prompts, one letter each; the rest of the prompts differs.
    one: &'static str,
    other: &'static str,
    parts_count: usize,
    common_count: usize,
}

const PARTS_CASES: &[PartsCase] = &[
    PartsCase {
        name: "a prompt without a full block is its only part",
        one: "",
        other: "",
        parts_count: 1,
        common_count: 0,
    },
    PartsCase {
        name: "prefixes of different blocks",
        one: "ggab",
        other: "ggcb",
        parts_count: 5,
        common_count: 2,
    },
    PartsCase {
        name: "long prompts have parts at powers of two blocks only",
        one: "gggggggggggggggggggga",
        other: "ggggggggggggggggggggc",
        parts_count: 10,
        common_count: 9,
    },
];

/// Guards against blaming a crash on parts that other prompts do not have, and against parts that
/// grow with the length of the prompt.
#[test]
fn prompt_parts_are_the_prefixes_that_prompts_share() {
    for case in PARTS_CASES {
        let parts = |blocks: &str, rest: &str| {
            let blocks = blocks.chars().map(|block| block.to_string().repeat(1_024));
            requirements(blocks.collect::<String>() + rest).prompt_parts
        };
        let one = parts(case.one, "one");
        let other = parts(case.other, "other");
        assert_eq!(one.len(), case.parts_count, "{}", case.name);
        let common = one.iter().zip(&other).take_while(|(a, b)| a == b);
        assert_eq!(common.count(), case.common_count, "{}", case.name);
        assert_ne!(one.last(), other.last(), "{}", case.name);
    }
}

/// Guards against clearing a prompt on the first token of an output that crashes the engine soon
/// after, and against reporting each chunk.
#[yare::parameterized(
    first_chunk = { "chunk 0 1 0", "deliver 0" },
    soon_after = { "chunk 0 1 0; wait 200; chunk 0 1 1", "deliver 1" },
    long_after = { "chunk 0 1 0; wait 300; chunk 0 1 1", "generated; deliver 1" },
    only_once = { "chunk 0 1 0; wait 300; chunk 0 1 1; chunk 0 1 2", "deliver 2" },
)]
fn output_is_reported_once_it_lasts(script: &str, expected: &str) {
    let mut driver = Driver::model(CallConfig::default());
    driver.run("start; pair d p; reserved 0; prefilled 1; imported 0; released 2");
    assert_eq!(driver.run(script), expected);
}
