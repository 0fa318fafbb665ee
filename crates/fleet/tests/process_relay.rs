//! Interrupted and unresponsive connections between entry and agents, with separate processes.

use std::time::Duration;

use cuminlead_fleet::requests::{FleetGuard, Question};
use cuminlead_fleet::small_deployment::{ServerCounts, small_deployment};
use cuminlead_fleet::{Fleet, FleetConfig, call_reports};
use cuminlead_stand_ins::relay::{Cut, Relay};
use yare::parameterized;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than `silence_ms` (2 s), so that the entry detects the unresponsive connection, and
/// shorter than `orphan_ms` (5 s), so that the agent still retains the output.
const CUT_DURATION: Duration = Duration::from_secs(3);
const PERMIT_TTL: Duration = Duration::from_secs(2);
const LONG_OUTPUT_TOKENS: usize = 55;
/// Decode step time at which the output takes longer than [`CUT_DURATION`].
const STEP_US: &str = "100000";

/// Starts a fleet whose entries reach the agent of `server` through a relay.
fn start_relayed(counts: ServerCounts, server: &str, service_arguments: &[&str]) -> (Fleet, Relay) {
    let mut config = FleetConfig::new(small_deployment(counts));
    let step = ["--step-us", STEP_US].map(str::to_string);
    config.engine_arguments.extend(step);
    let service_arguments = service_arguments.iter().map(ToString::to_string);
    config.service_arguments.extend(service_arguments);
    let mut fleet = Fleet::start(config).expect("start");
    let agent = format!("agent-{server}");
    let address = fleet.address(&agent, "peer").expect("address");
    let relay = Relay::start(&address).expect("relay");
    fleet.override_address(&agent, &relay.address());
    fleet.publish_hosts().expect("publish");
    wait_for_hosts(&fleet, 2);
    (fleet, relay)
}

fn wait_for_hosts(fleet: &Fleet, revision: u64) {
    for name in fleet.agent_and_entry_names() {
        fleet
            .wait_for(
                "every process has the new host list",
                STEP_TIMEOUT,
                |fleet| Ok(fleet.status(&name)?["hosts_revision"] == revision),
            )
            .expect("host list");
    }
}

fn one_of_each() -> ServerCounts {
    ServerCounts {
        prefills: 1,
        decodes: 1,
        services: 0,
    }
}

fn cut_temporarily(relay: &Relay, cut: Cut) {
    relay.cut(cut);
    std::thread::sleep(CUT_DURATION);
    relay.cut(Cut::None);
}

/// Guards against a stream that is lost, duplicated or recomputed when its connection is interrupted
/// for 3 s in one or both directions, or becomes unresponsive permanently.
#[parameterized(
    both_ways = { |relay: &Relay| cut_temporarily(relay, Cut::Both) },
    towards_the_agent = { |relay: &Relay| cut_temporarily(relay, Cut::ToTarget) },
    towards_the_entry = { |relay: &Relay| cut_temporarily(relay, Cut::FromTarget) },
    open_connections_silent = { |relay: &Relay| relay.silence_open() },
)]
fn stream_resumes_without_recomputation(inject_fault: fn(&Relay)) {
    let _guard = FleetGuard::wait();
    let (fleet, relay) = start_relayed(one_of_each(), "decode-1", &[]);
    let question = Question::with_long_answer("over a bad connection", LONG_OUTPUT_TOKENS);
    let pending = fleet.ask_in_background("entry-1", &question, REQUEST_TIMEOUT);
    let pending = pending.expect("request started");
    fleet
        .wait_until_decoding(STEP_TIMEOUT)
        .expect("decode started");
    assert!(relay.connections_count() > 0, "the relay is not used");
    inject_fault(&relay);
    let received = pending.join().expect("request thread").expect("response");
    question.check(&received).expect("complete output");
    assert_eq!(fleet.count("prefill-1", "prefills").expect("counts"), 1);
    assert_eq!(fleet.count("decode-1", "decodes").expect("counts"), 1);
    fleet
        .wait_until_memory_is_free(STEP_TIMEOUT)
        .expect("free engine memory");
    fleet.stop().expect("clean exit");
}

/// Guards against a prefill that runs a second time because the connection to its agent fails while
/// it runs; the entry must attach to the running prefill over a new connection.
#[parameterized(
    both_ways = { |relay: &Relay| cut_temporarily(relay, Cut::Both) },
    open_connections_silent = { |relay: &Relay| relay.silence_open() },
)]
fn prefill_is_attached_to_over_a_new_connection(inject_fault: fn(&Relay)) {
    let _guard = FleetGuard::wait();
    let mut config = FleetConfig::new(small_deployment(one_of_each()));
    let slow_prefill = ["--prefill-rate", "1000"].map(str::to_string);
    config.engine_arguments.extend(slow_prefill);
    config.first_token_ms = 60_000;
    let mut fleet = Fleet::start(config).expect("start");
    let address = fleet.address("agent-prefill-1", "peer").expect("address");
    let relay = Relay::start(&address).expect("relay");
    fleet.override_address("agent-prefill-1", &relay.address());
    fleet.publish_hosts().expect("publish");
    wait_for_hosts(&fleet, 2);
    // At 1,000 tokens/s the prefill takes longer than the interruption.
    let question = Question::with_document("over a bad connection", 6_000, 8);
    let pending = fleet.ask_in_background("entry-1", &question, REQUEST_TIMEOUT);
    let pending = pending.expect("request started");
    fleet
        .wait_for("prefill", STEP_TIMEOUT, |fleet| {
            Ok(!fleet.sequences("prefill-1")?.is_empty())
        })
        .expect("prefill started");
    inject_fault(&relay);
    let received = pending.join().expect("request thread").expect("response");
    question.check(&received).expect("complete output");
    assert_eq!(fleet.count("prefill-1", "prefills").expect("counts"), 1);
    fleet.stop().expect("clean exit");
}

/// Guards against a non-idempotent call that runs twice, or runs after it was reported as not run,
/// because messages between its entry and agent are lost, delayed or reordered.
#[parameterized(
    both_ways = { |relay: &Relay| cut_temporarily(relay, Cut::Both) },
    towards_the_agent = { |relay: &Relay| cut_temporarily(relay, Cut::ToTarget) },
    towards_the_entry = { |relay: &Relay| cut_temporarily(relay, Cut::FromTarget) },
    open_connections_silent = { |relay: &Relay| relay.silence_open() },
)]
fn non_idempotent_calls_run_at_most_once(inject_fault: fn(&Relay)) {
    let _guard = FleetGuard::wait();
    let counts = ServerCounts {
        services: 2,
        ..ServerCounts::default()
    };
    let (fleet, relay) = start_relayed(counts, "counter-1", &["--work-ms", "50"]);
    let entries = ["entry-1", "entry-2"];
    let charges = fleet
        .start_charges(&entries, 4, REQUEST_TIMEOUT)
        .expect("charges");
    let wait_for_more = |more: usize| {
        let count_min = charges.count() + more;
        let is_met = |_: &Fleet| Ok(charges.count() >= count_min);
        fleet
            .wait_for("further calls have ended", STEP_TIMEOUT, is_met)
            .expect("calls ended");
    };
    wait_for_more(16);
    assert!(relay.connections_count() > 0, "the relay is not used");
    inject_fault(&relay);
    wait_for_more(16);
    let call_reports = charges.stop();
    std::thread::sleep(PERMIT_TTL);
    let effects = fleet.effects().expect("effects");
    call_reports::check(&call_reports, &effects).expect("reported outcomes match the effects");
    fleet.stop().expect("clean exit");
}
