//! Engine memory and answers when processes die or callers leave, with separate processes.

use std::time::Duration;

use cuminlead_fleet::requests::{FleetGuard, Question};
use cuminlead_fleet::small::{Sizes, small};
use cuminlead_fleet::{Fleet, FleetConfig};

/// P1: memory of a request that is gone is free within this time.
const MEMORY_BOUND: Duration = Duration::from_secs(30);
/// Longest time of one request in the design, and some more for a busy machine.
const REQUEST_LIMIT: Duration = Duration::from_secs(120);
const STEP_LIMIT: Duration = Duration::from_secs(30);
/// Answers of this many tokens take longer than [`MEMORY_BOUND`] at [`CRAWL_STEP_US`], so memory
/// that is free within the bound was freed by a cancel.
const LONG_TOKENS: usize = 55;
const CRAWL_STEP_US: &str = "800000";
/// The answer takes several times as long as the restart of an agent and two inventories.
const SLOW_STEP_US: &str = "250000";
const BRISK_STEP_US: &str = "60000";
/// Requests that fail before the agent returns; more than lead to a back-off.
const FAILURES_COUNT: usize = 6;
/// Longest back-off of a server.
const BACKOFF_MAX: Duration = Duration::from_secs(30);

fn engines(decodes: usize, step_us: &str) -> FleetConfig {
    let sizes = Sizes {
        prefills: 1,
        decodes,
        services: 0,
    };
    let mut config = FleetConfig::new(small(sizes));
    config.engine_arguments = vec!["--step-us".to_string(), step_us.to_string()];
    config
}

/// Guards against engine memory that stays held after the entry of its request died.
#[test]
fn memory_is_freed_after_an_entry_dies() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(engines(1, CRAWL_STEP_US)).expect("start");
    let lost = Question::long("of a dead entry", LONG_TOKENS);
    let asked = fleet.ask_in_background("entry-1", &lost, REQUEST_LIMIT);
    let asked = asked.expect("ask");
    fleet.wait_until_decoding(STEP_LIMIT).expect("decode");
    fleet.process("entry-1").expect("entry").kill();
    fleet
        .wait_until_memory_is_free(MEMORY_BOUND)
        .expect("free memory");
    let ended = asked.join().expect("asking thread");
    assert!(ended.is_err(), "a dead entry answered: {ended:?}");
    let next = Question::new("after the death of an entry", 2);
    let received = fleet.ask("entry-2", &next, REQUEST_LIMIT).expect("answer");
    next.check(&received).expect("whole answer");
}

/// Guards against an answer that is lost, doubled or mixed when the decode agent dies, and against
/// a sequence that the restarted agent leaves in its engine.
#[test]
fn answer_continues_and_old_sequence_is_cancelled_after_a_decode_agent_dies() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(engines(2, SLOW_STEP_US)).expect("start");
    let question = Question::long("of a dead agent", LONG_TOKENS);
    let asked = fleet.ask_in_background("entry-1", &question, REQUEST_LIMIT);
    let asked = asked.expect("ask");
    let engine = fleet.wait_until_decoding(STEP_LIMIT).expect("decode");
    let agent = format!("agent-{engine}");
    fleet.process(&agent).expect("agent").kill();
    fleet.restart(&agent).expect("restart");
    fleet.publish_hosts().expect("publish");
    fleet
        .wait_for("old sequence freed", MEMORY_BOUND, |fleet| {
            Ok(fleet.sequences(&engine)?.is_empty())
        })
        .expect("cancel");
    // The sequence was cancelled and did not just come to its end.
    let generated = fleet.count(&engine, "generated_tokens").expect("count");
    assert!(generated < LONG_TOKENS as u64, "{generated} tokens");
    let received = asked.join().expect("asking thread").expect("answer");
    question.check(&received).expect("whole answer");
    fleet.stop().expect("clean end");
}

/// Guards against an answer that is lost, doubled or mixed when the decode engine dies.
#[test]
fn answer_continues_after_a_decode_engine_dies() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(engines(2, BRISK_STEP_US)).expect("start");
    let question = Question::long("of a dead engine", LONG_TOKENS);
    let asked = fleet.ask_in_background("entry-1", &question, REQUEST_LIMIT);
    let asked = asked.expect("ask");
    let engine = fleet.wait_until_decoding(STEP_LIMIT).expect("decode");
    fleet.process(&engine).expect("engine").kill();
    let received = asked.join().expect("asking thread").expect("answer");
    question.check(&received).expect("whole answer");
    fleet.stop().expect("clean end");
}

/// Guards against engine memory that stays held for a caller that hung up while it was answered.
#[test]
fn memory_is_freed_after_a_caller_hangs_up_mid_stream() {
    let _guard = FleetGuard::wait();
    let fleet = Fleet::start(engines(1, CRAWL_STEP_US)).expect("start");
    let question = Question::long("of a caller that leaves", LONG_TOKENS);
    let mut stream = fleet.open_stream("entry-1", &question).expect("open");
    stream.read_until("-1\"", STEP_LIMIT).expect("second token");
    drop(stream);
    fleet
        .wait_until_memory_is_free(MEMORY_BOUND)
        .expect("free memory");
    fleet.stop().expect("clean end");
}

/// Guards against engine memory that stays held for a caller that hung up during the prefill.
#[test]
fn memory_is_freed_after_a_caller_hangs_up_during_prefill() {
    let _guard = FleetGuard::wait();
    let mut config = engines(1, BRISK_STEP_US);
    let slow_prefill = ["--prefill-rate", "100"].map(str::to_string);
    config.engine_arguments.extend(slow_prefill);
    config.first_token_ms = 60_000;
    let fleet = Fleet::start(config).expect("start");
    // At 100 tokens a second the prefill takes longer than the bound.
    let question = Question::with_document("of a caller that leaves", 8_000, 8);
    let stream = fleet.open_stream("entry-1", &question).expect("open");
    fleet
        .wait_for("prefill", STEP_LIMIT, |fleet| {
            Ok(!fleet.sequences("prefill-1")?.is_empty())
        })
        .expect("prefill");
    drop(stream);
    fleet
        .wait_until_memory_is_free(MEMORY_BOUND)
        .expect("free memory");
    assert_eq!(fleet.count("prefill-1", "prefills").expect("counts"), 0);
    fleet.stop().expect("clean end");
}

/// Guards against a server that gets no work any more after its agent was away for a while.
#[test]
fn server_is_used_again_after_its_agent_returns() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(engines(1, BRISK_STEP_US)).expect("start");
    fleet.process("agent-decode-1").expect("agent").kill();
    let question = Question::new("while the agent is away", 2);
    for _ in 0..FAILURES_COUNT {
        let received = fleet.ask("entry-1", &question, REQUEST_LIMIT);
        assert!(question.check(&received.expect("refusal")).is_err());
    }
    fleet.restart("agent-decode-1").expect("restart");
    fleet
        .wait_for("the server is used", BACKOFF_MAX * 2, |fleet| {
            let received = fleet.ask("entry-1", &question, REQUEST_LIMIT)?;
            question.check(&received).map(|()| true)
        })
        .expect("answer");
    fleet.stop().expect("clean end");
}
