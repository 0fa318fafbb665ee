//! Cut and silent connections between entry and agents, with separate processes.

use std::time::Duration;

use cuminlead_fleet::requests::{FleetGuard, Question};
use cuminlead_fleet::small::{Sizes, small};
use cuminlead_fleet::{Fleet, FleetConfig, claims};
use cuminlead_stand_ins::relay::{Cut, Relay};
use yare::parameterized;

const REQUEST_LIMIT: Duration = Duration::from_secs(120);
const STEP_LIMIT: Duration = Duration::from_secs(30);
/// Longer than `silence_ms` (2 s) and shorter than `orphan_ms` (5 s), so that the entry notices the
/// silence and the agent still holds the answer.
const CUT: Duration = Duration::from_secs(3);
const PERMIT_TTL: Duration = Duration::from_secs(2);
const LONG_TOKENS: usize = 55;
/// The answer takes longer than [`CUT`].
const STEP_US: &str = "100000";

/// Started fleet whose entries reach one agent through a relay.
fn start_relayed(sizes: Sizes, server: &str, further: &[&str]) -> (Fleet, Relay) {
    let mut config = FleetConfig::new(small(sizes));
    let step = ["--step-us", STEP_US].map(str::to_string);
    config.engine_arguments.extend(step);
    let further = further.iter().map(ToString::to_string);
    config.service_arguments.extend(further);
    let mut fleet = Fleet::start(config).expect("start");
    let agent = format!("agent-{server}");
    let address = fleet.address(&agent, "peer").expect("address");
    let relay = Relay::start(&address).expect("relay");
    fleet.route(&agent, &relay.address());
    fleet.publish_hosts().expect("publish");
    wait_for_hosts(&fleet, 2);
    (fleet, relay)
}

fn wait_for_hosts(fleet: &Fleet, revision: u64) {
    for name in fleet.own_processes() {
        fleet
            .wait_for("host list is known", STEP_LIMIT, |fleet| {
                Ok(fleet.status(&name)?["hosts_revision"] == revision)
            })
            .expect("host list");
    }
}

fn one_of_each() -> Sizes {
    Sizes {
        prefills: 1,
        decodes: 1,
        services: 0,
    }
}

fn cut_for_a_while(relay: &Relay, cut: Cut) {
    relay.cut(cut);
    std::thread::sleep(CUT);
    relay.cut(Cut::None);
}

/// Guards against a stream that is lost, doubled or computed again when its connection fails for a
/// while or stays silent for good.
#[parameterized(
    both_ways = { |relay: &Relay| cut_for_a_while(relay, Cut::Both) },
    towards_the_agent = { |relay: &Relay| cut_for_a_while(relay, Cut::ToTarget) },
    towards_the_entry = { |relay: &Relay| cut_for_a_while(relay, Cut::FromTarget) },
    open_connections_silent = { |relay: &Relay| relay.silence_open() },
)]
fn stream_resumes_without_recomputation(disturb: fn(&Relay)) {
    let _guard = FleetGuard::wait();
    let (fleet, relay) = start_relayed(one_of_each(), "decode-1", &[]);
    let question = Question::long("over a bad connection", LONG_TOKENS);
    let asked = fleet.ask_in_background("entry-1", &question, REQUEST_LIMIT);
    let asked = asked.expect("ask");
    fleet.wait_until_decoding(STEP_LIMIT).expect("decode");
    assert!(relay.connections_count() > 0, "the relay is not used");
    disturb(&relay);
    let received = asked.join().expect("asking thread").expect("answer");
    question.check(&received).expect("whole answer");
    assert_eq!(fleet.count("prefill-1", "prefills").expect("counts"), 1);
    assert_eq!(fleet.count("decode-1", "decodes").expect("counts"), 1);
    fleet
        .wait_until_memory_is_free(STEP_LIMIT)
        .expect("free memory");
    fleet.stop().expect("clean end");
}

/// Guards against a prefill that runs again when the connection to its agent fails meanwhile.
#[parameterized(
    both_ways = { |relay: &Relay| cut_for_a_while(relay, Cut::Both) },
    open_connections_silent = { |relay: &Relay| relay.silence_open() },
)]
fn prefill_is_joined_over_a_fresh_connection(disturb: fn(&Relay)) {
    let _guard = FleetGuard::wait();
    let mut config = FleetConfig::new(small(one_of_each()));
    let slow_prefill = ["--prefill-rate", "1000"].map(str::to_string);
    config.engine_arguments.extend(slow_prefill);
    config.first_token_ms = 60_000;
    let mut fleet = Fleet::start(config).expect("start");
    let address = fleet.address("agent-prefill-1", "peer").expect("address");
    let relay = Relay::start(&address).expect("relay");
    fleet.route("agent-prefill-1", &relay.address());
    fleet.publish_hosts().expect("publish");
    wait_for_hosts(&fleet, 2);
    // At 1,000 tokens a second the prefill takes longer than the cut.
    let question = Question::with_document("over a bad connection", 6_000, 8);
    let asked = fleet.ask_in_background("entry-1", &question, REQUEST_LIMIT);
    let asked = asked.expect("ask");
    fleet
        .wait_for("prefill", STEP_LIMIT, |fleet| {
            Ok(!fleet.sequences("prefill-1")?.is_empty())
        })
        .expect("prefill");
    disturb(&relay);
    let received = asked.join().expect("asking thread").expect("answer");
    question.check(&received).expect("whole answer");
    assert_eq!(fleet.count("prefill-1", "prefills").expect("counts"), 1);
    fleet.stop().expect("clean end");
}

/// Guards against a non-idempotent call that runs twice, or runs after it was reported as not run,
/// when messages to its agent are lost, late or crossed.
#[parameterized(
    both_ways = { |relay: &Relay| cut_for_a_while(relay, Cut::Both) },
    towards_the_agent = { |relay: &Relay| cut_for_a_while(relay, Cut::ToTarget) },
    towards_the_entry = { |relay: &Relay| cut_for_a_while(relay, Cut::FromTarget) },
    open_connections_silent = { |relay: &Relay| relay.silence_open() },
)]
fn calls_run_at_most_once(disturb: fn(&Relay)) {
    let _guard = FleetGuard::wait();
    let sizes = Sizes {
        services: 2,
        ..Sizes::default()
    };
    let (fleet, relay) = start_relayed(sizes, "counter-1", &["--work-ms", "50"]);
    let entries = ["entry-1", "entry-2"];
    let charges = fleet
        .charge_until_stopped(&entries, 4, REQUEST_LIMIT)
        .expect("charges");
    let wait_for_more = |more: usize| {
        let enough = charges.count() + more;
        let is_met = |_: &Fleet| Ok(charges.count() >= enough);
        fleet
            .wait_for("calls are answered", STEP_LIMIT, is_met)
            .expect("answered calls");
    };
    wait_for_more(16);
    assert!(relay.connections_count() > 0, "the relay is not used");
    disturb(&relay);
    wait_for_more(16);
    let claims = charges.stop();
    std::thread::sleep(PERMIT_TTL);
    let effects = fleet.effects().expect("effects");
    claims::check(&claims, &effects).expect("true claims");
    fleet.stop().expect("clean end");
}
