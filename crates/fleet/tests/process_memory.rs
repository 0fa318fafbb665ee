//! Engine memory and responses when processes die or callers disconnect, with separate processes.

use std::time::Duration;

use cuminlead_fleet::requests::{FleetGuard, Question};
use cuminlead_fleet::small_deployment::{ServerCounts, small_deployment};
use cuminlead_fleet::{Fleet, FleetConfig};

/// P1: the engine memory of a request that ended or was abandoned is free within this time.
const MEMORY_FREED_MAX: Duration = Duration::from_secs(30);
/// Limit of the design for one request, with a margin for a busy machine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// At [`VERY_SLOW_STEP_US`], an output of this many tokens takes longer than [`MEMORY_FREED_MAX`], so
/// memory that is free within that time was freed by a cancellation.
const LONG_OUTPUT_TOKENS: usize = 55;
const VERY_SLOW_STEP_US: &str = "800000";
/// The output takes several times as long as the restart of an agent and two inventories.
const SLOW_STEP_US: &str = "250000";
const FAST_STEP_US: &str = "60000";
/// Requests that fail before the agent is restarted; more than the number that starts a back-off.
const FAILURES_COUNT: usize = 6;
/// Longest time for which an entry does not use a failed server.
const BACKOFF_MAX: Duration = Duration::from_secs(30);

fn engines(decodes: usize, step_us: &str) -> FleetConfig {
    let counts = ServerCounts {
        prefills: 1,
        decodes,
        services: 0,
    };
    let mut config = FleetConfig::new(small_deployment(counts));
    config.engine_arguments = vec!["--step-us".to_string(), step_us.to_string()];
    config
}

/// Guards against engine memory that stays allocated after the entry of its request died.
#[test]
fn memory_is_freed_after_an_entry_dies() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(engines(1, VERY_SLOW_STEP_US)).expect("start");
    let lost = Question::with_long_answer("of a dead entry", LONG_OUTPUT_TOKENS);
    let pending = fleet.ask_in_background("entry-1", &lost, REQUEST_TIMEOUT);
    let pending = pending.expect("request started");
    fleet
        .wait_until_decoding(STEP_TIMEOUT)
        .expect("decode started");
    fleet.process("entry-1").expect("entry").kill();
    fleet
        .wait_until_memory_is_free(MEMORY_FREED_MAX)
        .expect("free engine memory");
    let ended = pending.join().expect("request thread");
    assert!(
        ended.is_err(),
        "the killed entry returned a response: {ended:?}"
    );
    let next = Question::new("after the death of an entry", 2);
    let received = fleet
        .ask("entry-2", &next, REQUEST_TIMEOUT)
        .expect("response");
    next.check(&received).expect("complete output");
}

/// Guards against an output that is lost, duplicated or mixed with another one when the decode agent
/// dies, and against a sequence that the restarted agent does not cancel in its engine.
#[test]
fn response_continues_and_old_sequence_is_cancelled_after_a_decode_agent_dies() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(engines(2, SLOW_STEP_US)).expect("start");
    let question = Question::with_long_answer("of a dead agent", LONG_OUTPUT_TOKENS);
    let pending = fleet.ask_in_background("entry-1", &question, REQUEST_TIMEOUT);
    let pending = pending.expect("request started");
    let engine = fleet
        .wait_until_decoding(STEP_TIMEOUT)
        .expect("decode started");
    let agent = format!("agent-{engine}");
    fleet.process(&agent).expect("agent").kill();
    fleet.restart(&agent).expect("restart");
    fleet.publish_hosts().expect("publish");
    fleet
        .wait_for(
            "the restarted agent frees the old sequence",
            MEMORY_FREED_MAX,
            |fleet| Ok(fleet.sequences(&engine)?.is_empty()),
        )
        .expect("cancel");
    // The sequence was cancelled before it had generated all its tokens.
    let generated = fleet.count(&engine, "generated_tokens").expect("count");
    assert!(generated < LONG_OUTPUT_TOKENS as u64, "{generated} tokens");
    let received = pending.join().expect("request thread").expect("response");
    question.check(&received).expect("complete output");
    fleet.stop().expect("clean exit");
}

/// Guards against an output that is lost, duplicated or mixed with another one when the decode
/// engine dies.
#[test]
fn response_continues_after_a_decode_engine_dies() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(engines(2, FAST_STEP_US)).expect("start");
    let question = Question::with_long_answer("of a dead engine", LONG_OUTPUT_TOKENS);
    let pending = fleet.ask_in_background("entry-1", &question, REQUEST_TIMEOUT);
    let pending = pending.expect("request started");
    let engine = fleet
        .wait_until_decoding(STEP_TIMEOUT)
        .expect("decode started");
    fleet.process(&engine).expect("engine").kill();
    let received = pending.join().expect("request thread").expect("response");
    question.check(&received).expect("complete output");
    fleet.stop().expect("clean exit");
}

/// Guards against engine memory that stays allocated after the caller disconnected during decode.
#[test]
fn memory_is_freed_after_a_caller_disconnects_mid_stream() {
    let _guard = FleetGuard::wait();
    let fleet = Fleet::start(engines(1, VERY_SLOW_STEP_US)).expect("start");
    let question = Question::with_long_answer("of a caller that leaves", LONG_OUTPUT_TOKENS);
    let mut stream = fleet.open_stream("entry-1", &question).expect("open");
    stream
        .read_until("-1\"", STEP_TIMEOUT)
        .expect("second token");
    drop(stream);
    fleet
        .wait_until_memory_is_free(MEMORY_FREED_MAX)
        .expect("free engine memory");
    fleet.stop().expect("clean exit");
}

/// Guards against engine memory that stays allocated after the caller disconnected during prefill.
#[test]
fn memory_is_freed_after_a_caller_disconnects_during_prefill() {
    let _guard = FleetGuard::wait();
    let mut config = engines(1, FAST_STEP_US);
    let slow_prefill = ["--prefill-rate", "100"].map(str::to_string);
    config.engine_arguments.extend(slow_prefill);
    config.first_token_ms = 60_000;
    let fleet = Fleet::start(config).expect("start");
    // At 100 tokens/s the prefill takes longer than [`MEMORY_FREED_MAX`].
    let question = Question::with_document("of a caller that leaves", 8_000, 8);
    let stream = fleet.open_stream("entry-1", &question).expect("open");
    fleet
        .wait_for("prefill", STEP_TIMEOUT, |fleet| {
            Ok(!fleet.sequences("prefill-1")?.is_empty())
        })
        .expect("prefill started");
    drop(stream);
    fleet
        .wait_until_memory_is_free(MEMORY_FREED_MAX)
        .expect("free engine memory");
    assert_eq!(fleet.count("prefill-1", "prefills").expect("counts"), 0);
    fleet.stop().expect("clean exit");
}

/// Guards against a server that receives no requests any more after its agent was down and came
/// back.
#[test]
fn server_is_used_again_after_its_agent_returns() {
    let _guard = FleetGuard::wait();
    let mut fleet = Fleet::start(engines(1, FAST_STEP_US)).expect("start");
    fleet.process("agent-decode-1").expect("agent").kill();
    let question = Question::new("while the agent is away", 2);
    for _ in 0..FAILURES_COUNT {
        let received = fleet.ask("entry-1", &question, REQUEST_TIMEOUT);
        assert!(question.check(&received.expect("response")).is_err());
    }
    fleet.restart("agent-decode-1").expect("restart");
    fleet
        .wait_for("the server is used again", BACKOFF_MAX * 2, |fleet| {
            let received = fleet.ask("entry-1", &question, REQUEST_TIMEOUT)?;
            question.check(&received).map(|()| true)
        })
        .expect("response");
    fleet.stop().expect("clean exit");
}
