//! Plans, allowances and the configuration service, with separate processes.

use std::sync::Arc;
use std::time::Duration;

use cuminlead_fleet::requests::{FleetGuard, Question, RawRequest};
use cuminlead_fleet::small::{Sizes, entry, small};
use cuminlead_fleet::{ALLOWANCES_KEY, Fleet, FleetConfig, PLANS_KEY, lists};
use cuminlead_stand_ins::behaviour::{Behaviour, Mode};
use cuminlead_stand_ins::client;
use cuminlead_stand_ins::http::{Answer, Call, Handler, serve};
use cuminlead_stand_ins::platform::{HostRecord, HostsDocument, Platform, PlatformConfig};
use cuminlead_stand_ins::relay::Relay;
use serde_json::json;

const REQUEST_LIMIT: Duration = Duration::from_secs(120);
const STEP_LIMIT: Duration = Duration::from_secs(30);
/// P8: an accepted change is in force everywhere within this time.
const IN_FORCE_BOUND: Duration = Duration::from_secs(9);
/// Revision of the lists as the fleet publishes them at its start.
const FIRST_REVISION: u64 = 2;
/// Calls to the platform in which every reader has watched several times.
const MANY_CALLS: u64 = 40;

fn one_of_each() -> Sizes {
    Sizes {
        prefills: 1,
        decodes: 1,
        services: 1,
    }
}

fn is_at(fleet: &Fleet, revision: u64) -> std::io::Result<bool> {
    for name in fleet.own_processes() {
        if fleet.lists_revision(&name)? != revision {
            return Ok(false);
        }
    }
    Ok(true)
}

fn wait_for_revision(fleet: &Fleet, revision: u64) {
    fleet
        .wait_for("revision is in force everywhere", IN_FORCE_BOUND, |fleet| {
            is_at(fleet, revision)
        })
        .expect("revision");
}

fn check_answers(fleet: &Fleet, entry: &str) {
    let question = Question::new("after a change", 4);
    let received = fleet.ask(entry, &question, REQUEST_LIMIT).expect("answer");
    question.check(&received).expect("whole answer");
}

/// Fleet that reaches its platform through a relay and has a revision after the first.
fn start_behind_relay() -> (Fleet, Relay) {
    let config = FleetConfig::new(small(one_of_each()));
    let mut fleet = Fleet::start_stand_ins(config).expect("stand-ins");
    let address = fleet.address("platform", "address").expect("address");
    let relay = Relay::start(&address).expect("relay");
    fleet.route("platform", &relay.address());
    fleet.start_processes().expect("start");
    let plans = lists::plans(&fleet.config, &fleet.key);
    fleet.publish(PLANS_KEY, &plans).expect("publish");
    wait_for_revision(&fleet, FIRST_REVISION + 1);
    (fleet, relay)
}

/// Starts a further entry and checks that it works with the lists of its peers.
fn check_fresh_entry(fleet: &mut Fleet, revision: u64) {
    let place = entry(3);
    fleet.spawn_entry(&place).expect("spawn");
    fleet.wait_until_listening().expect("listening");
    fleet.config.deployment.entries.push(place);
    fleet.wait_until_ready().expect("ready");
    assert_eq!(fleet.lists_revision("entry-3").expect("status"), revision);
    check_answers(fleet, "entry-3");
}

/// Platform whose configuration service is down; its host list works.
struct HostsOnly(HostsDocument);

impl Handler for HostsOnly {
    fn handle(&self, call: &Call) -> Answer {
        if call.path == "/v1/hosts" {
            return Answer::ok(&self.0);
        }
        Answer::Nothing
    }
}

/// Guards against a fleet that stops, or a fresh process that cannot start, while the
/// configuration service is down.
#[test]
fn fleet_works_and_grows_without_the_configuration_service() {
    let _guard = FleetGuard::wait();
    let (mut fleet, relay) = start_behind_relay();
    let hosts = HostsDocument {
        revision: 1,
        hosts: fleet.hosts().expect("hosts"),
        ..HostsDocument::default()
    };
    let down = Arc::new(HostsOnly(hosts));
    let address = serve("127.0.0.1:0", Arc::new(Behaviour::default()), down);
    relay.retarget(&address.expect("stand-in").to_string());
    for entry in ["entry-1", "entry-2"] {
        check_answers(&fleet, entry);
    }
    check_fresh_entry(&mut fleet, FIRST_REVISION + 1);
    assert!(is_at(&fleet, FIRST_REVISION + 1).expect("status"));
    fleet.stop().expect("clean end");
}

/// Guards against requests that depend on the platform: it answers nothing at all.
#[test]
fn fleet_works_while_the_platform_is_silent() {
    let _guard = FleetGuard::wait();
    let fleet = Fleet::start(FleetConfig::new(small(one_of_each()))).expect("start");
    fleet.set_mode("platform", Mode::Silent).expect("set mode");
    for entry in ["entry-1", "entry-2"] {
        check_answers(&fleet, entry);
        let charger = fleet.charger(entry, REQUEST_LIMIT).expect("charger");
        assert_eq!(charger.send(entry, &[]).expect("answer").status, 200);
    }
    assert!(is_at(&fleet, FIRST_REVISION).expect("status"));
    fleet.stop().expect("clean end");
}

/// Starts a platform that serves the lists of the first revision only.
fn start_stale_platform(fleet: &Fleet, hosts: &[HostRecord]) -> String {
    let address = Platform::start(&PlatformConfig::default()).expect("platform");
    let post = |path: &str, body: serde_json::Value| {
        let url = format!("http://{address}{path}");
        let answer = client::post(&client::agent(STEP_LIMIT), &url, body).expect("answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    };
    let plans = lists::plans(&fleet.config, &fleet.key);
    let allowances = lists::allowances(&fleet.config.deployment);
    post("/control/hosts", json!({ "hosts": hosts }));
    post(
        "/control/publish",
        json!({ "key": PLANS_KEY, "text": plans }),
    );
    post(
        "/control/publish",
        json!({ "key": ALLOWANCES_KEY, "text": allowances }),
    );
    address.to_string()
}

/// Guards against lists that revert on running processes, or that a fresh process takes although
/// its peers have later ones, while the configuration service serves an earlier revision.
#[test]
fn stale_configuration_service_reverts_nothing() {
    let _guard = FleetGuard::wait();
    let (mut fleet, relay) = start_behind_relay();
    let hosts = fleet.hosts().expect("hosts");
    let stale = start_stale_platform(&fleet, &hosts);
    relay.retarget(&stale);
    fleet
        .wait_for("the stale platform is read", STEP_LIMIT, |_| {
            let url = format!("http://{stale}/control/calls");
            let answer = client::get(&client::agent(STEP_LIMIT), &url);
            let answer = answer.map_err(std::io::Error::other)?;
            Ok(answer.body["calls"].as_u64() >= Some(MANY_CALLS))
        })
        .expect("calls");
    assert!(is_at(&fleet, FIRST_REVISION + 1).expect("status"));
    check_fresh_entry(&mut fleet, FIRST_REVISION + 1);
    assert!(is_at(&fleet, FIRST_REVISION + 1).expect("status"));
    fleet.stop().expect("clean end");
}

/// Plans with a second customer who has the given key.
fn plans_with_customer(fleet: &Fleet, id: &str, key: &str) -> String {
    let plans = lists::plans(&fleet.config, &fleet.key);
    let other = lists::plans(&fleet.config, key);
    let digest = other.lines().find(|line| line.starts_with("key_sha256"));
    let digest = digest.expect("digest");
    format!("{plans}[[customer]]\nid = \"{id}\"\nplan = \"standard\"\n{digest}\n")
}

/// Status of a lookup with a key at an entry.
fn look_up(fleet: &Fleet, entry: &str, key: &str) -> u16 {
    let address = fleet.address(entry, "callers").expect("address");
    let caller = cuminlead_fleet::caller::Caller::new(&address, key, REQUEST_LIMIT);
    let received = caller.look_up("counter", "/stock?item=1");
    received.expect("answer").status
}

/// Status of a model request for the adapter at an entry.
fn ask_adapter(fleet: &Fleet, entry: &str) -> u16 {
    let mut body = fleet.body_of(&Question::new("for an adapter", 2));
    body["adapter"] = json!(fleet.config.deployment.adapter);
    let request = RawRequest::new("/v1/chat/completions", body);
    let answer = fleet.send(entry, &request, REQUEST_LIMIT);
    answer.expect("answer").status
}

/// Allowances without the adapter.
fn allowances_without_adapter(fleet: &Fleet) -> String {
    let text = lists::allowances(&fleet.config.deployment);
    let marker = "adapter = ";
    let lines = text.lines().filter(|line| !line.starts_with(marker));
    let mut kept = lines.collect::<Vec<_>>().join("\n");
    let repeated = kept.rfind("[[allowance.model]]").expect("two models");
    let services = kept.rfind("[[allowance.service]]").expect("service");
    kept.replace_range(repeated..services, "");
    kept
}

/// Guards against one of two edits made at the same time that is lost or reaches only some
/// processes, and against a slow one.
#[test]
fn edits_of_two_operators_are_both_in_force_everywhere() {
    let _guard = FleetGuard::wait();
    let fleet = Fleet::start(FleetConfig::new(small(one_of_each()))).expect("start");
    for entry in ["entry-1", "entry-2"] {
        assert_eq!(look_up(&fleet, entry, "key-of-the-second"), 401);
        assert_eq!(ask_adapter(&fleet, entry), 200);
    }
    let plans = plans_with_customer(&fleet, "second", "key-of-the-second");
    let allowances = allowances_without_adapter(&fleet);
    let fleet_of_both = &fleet;
    std::thread::scope(|scope| {
        let first = scope.spawn(|| fleet_of_both.publish(PLANS_KEY, &plans));
        let second = scope.spawn(|| fleet_of_both.publish(ALLOWANCES_KEY, &allowances));
        first.join().expect("first operator").expect("publish");
        second.join().expect("second operator").expect("publish");
    });
    wait_for_revision(&fleet, FIRST_REVISION + 2);
    for entry in ["entry-1", "entry-2"] {
        assert_eq!(look_up(&fleet, entry, "key-of-the-second"), 200);
        assert_eq!(ask_adapter(&fleet, entry), 403);
    }
    fleet.stop().expect("clean end");
}

/// Guards against an invalid edit that takes effect in part, and against one that keeps the next
/// valid edit from taking effect in time.
#[test]
fn invalid_edit_is_refused_whole_and_the_next_is_accepted() {
    let _guard = FleetGuard::wait();
    let fleet = Fleet::start(FleetConfig::new(small(one_of_each()))).expect("start");
    let valid = plans_with_customer(&fleet, "second", "key-of-the-second");
    let invalid = format!("{valid}[[customer]]\nid = \"third\"\nplan = \"no-such-plan\"\n");
    fleet.publish(PLANS_KEY, &invalid).expect("publish");
    fleet
        .wait_for("the edit is refused", STEP_LIMIT, |fleet| {
            Ok(logs(fleet).contains("list snapshot refused"))
        })
        .expect("refusal");
    assert!(is_at(&fleet, FIRST_REVISION).expect("status"));
    for entry in ["entry-1", "entry-2"] {
        assert_eq!(look_up(&fleet, entry, "key-of-the-second"), 401);
        check_answers(&fleet, entry);
    }
    fleet.publish(PLANS_KEY, &valid).expect("publish");
    wait_for_revision(&fleet, FIRST_REVISION + 2);
    for entry in ["entry-1", "entry-2"] {
        assert_eq!(look_up(&fleet, entry, "key-of-the-second"), 200);
    }
    let in_force = format!("revision={}\n", FIRST_REVISION + 1);
    assert!(!logs(&fleet).contains(&in_force), "the edit took effect");
    fleet.stop().expect("clean end");
}

/// Logs of all processes. Only readers of the platform see and refuse an invalid edit.
fn logs(fleet: &Fleet) -> String {
    let logs = fleet.processes().map(|process| process.log());
    logs.map(|log| log.expect("log")).collect()
}
