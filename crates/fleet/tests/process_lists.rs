//! Edits of plans and allowances, and faults of the configuration service, with separate processes.

use std::sync::Arc;
use std::time::Duration;

use cuminlead_fleet::requests::{FleetGuard, Question, RawRequest};
use cuminlead_fleet::small_deployment::{ServerCounts, entry, small_deployment};
use cuminlead_fleet::{ALLOWANCES_KEY, Fleet, FleetConfig, PLANS_KEY, lists};
use cuminlead_stand_ins::behaviour::{Behaviour, Mode};
use cuminlead_stand_ins::client;
use cuminlead_stand_ins::http::{Answer, Call, Handler, serve};
use cuminlead_stand_ins::platform::{HostRecord, HostsDocument, Platform, PlatformConfig};
use cuminlead_stand_ins::relay::Relay;
use serde_json::json;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// P8: an accepted change is in effect everywhere within this time.
const IN_EFFECT_MAX: Duration = Duration::from_secs(9);
/// Revision of the lists after the fleet has published its two parts at the start.
const FIRST_REVISION: u64 = 2;
/// Number of calls to the platform by which every reader has watched several times.
const PLATFORM_CALLS_MIN: u64 = 40;

fn one_of_each() -> ServerCounts {
    ServerCounts {
        prefills: 1,
        decodes: 1,
        services: 1,
    }
}

fn is_at(fleet: &Fleet, revision: u64) -> std::io::Result<bool> {
    for name in fleet.agent_and_entry_names() {
        if fleet.lists_revision(&name)? != revision {
            return Ok(false);
        }
    }
    Ok(true)
}

fn wait_for_revision(fleet: &Fleet, revision: u64) {
    fleet
        .wait_for(
            "the revision is in effect everywhere",
            IN_EFFECT_MAX,
            |fleet| is_at(fleet, revision),
        )
        .expect("revision");
}

fn check_answers(fleet: &Fleet, entry: &str) {
    let question = Question::new("after a change", 4);
    let received = fleet
        .ask(entry, &question, REQUEST_TIMEOUT)
        .expect("response");
    question.check(&received).expect("complete output");
}

/// Starts a fleet that reaches its platform through a relay, and publishes one more revision.
fn start_behind_relay() -> (Fleet, Relay) {
    let config = FleetConfig::new(small_deployment(one_of_each()));
    let mut fleet = Fleet::start_stand_ins(config).expect("stand-ins");
    let address = fleet.address("platform", "address").expect("address");
    let relay = Relay::start(&address).expect("relay");
    fleet.override_address("platform", &relay.address());
    fleet.start_processes().expect("start");
    let plans = lists::plans(&fleet.config, &fleet.key);
    fleet.publish(PLANS_KEY, &plans).expect("publish");
    wait_for_revision(&fleet, FIRST_REVISION + 1);
    (fleet, relay)
}

/// Starts a third entry and checks that it gets the lists from its peers and serves requests.
fn check_new_entry(fleet: &mut Fleet, revision: u64) {
    let spec = entry(3);
    fleet.spawn_entry(&spec).expect("spawn");
    fleet.wait_until_listening().expect("listening");
    fleet.config.deployment.entries.push(spec);
    fleet.wait_until_ready().expect("ready");
    assert_eq!(fleet.lists_revision("entry-3").expect("status"), revision);
    check_answers(fleet, "entry-3");
}

/// Platform that serves its host list, while its configuration service does not respond.
struct HostsOnly(HostsDocument);

impl Handler for HostsOnly {
    fn handle(&self, call: &Call) -> Answer {
        if call.path == "/v1/hosts" {
            return Answer::ok(&self.0);
        }
        Answer::Nothing
    }
}

/// Guards against a fleet that stops serving, or a new process that cannot start, while the
/// configuration service is down.
#[test]
fn fleet_serves_and_adds_entries_without_the_configuration_service() {
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
    check_new_entry(&mut fleet, FIRST_REVISION + 1);
    assert!(is_at(&fleet, FIRST_REVISION + 1).expect("status"));
    fleet.stop().expect("clean exit");
}

/// Guards against requests that depend on the platform, which here responds to no call at all.
#[test]
fn fleet_serves_while_the_platform_is_unresponsive() {
    let _guard = FleetGuard::wait();
    let fleet = Fleet::start(FleetConfig::new(small_deployment(one_of_each()))).expect("start");
    fleet.set_mode("platform", Mode::Silent).expect("set mode");
    for entry in ["entry-1", "entry-2"] {
        check_answers(&fleet, entry);
        let charge_client = fleet
            .charge_client(entry, REQUEST_TIMEOUT)
            .expect("charger");
        assert_eq!(
            charge_client.send(entry, &[]).expect("response").status,
            200
        );
    }
    assert!(is_at(&fleet, FIRST_REVISION).expect("status"));
    fleet.stop().expect("clean exit");
}

/// Starts a platform that serves only the first revision of the lists, and returns its address.
fn start_stale_platform(fleet: &Fleet, hosts: &[HostRecord]) -> String {
    let address = Platform::start(&PlatformConfig::default()).expect("platform");
    let post = |path: &str, body: serde_json::Value| {
        let url = format!("http://{address}{path}");
        let answer = client::post(&client::agent(STEP_TIMEOUT), &url, body).expect("response");
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

/// Guards against running processes that revert their lists, and a new process that accepts old
/// lists although its peers have newer ones, while the configuration service serves an earlier
/// revision.
#[test]
fn stale_configuration_service_does_not_revert_lists() {
    let _guard = FleetGuard::wait();
    let (mut fleet, relay) = start_behind_relay();
    let hosts = fleet.hosts().expect("hosts");
    let stale = start_stale_platform(&fleet, &hosts);
    relay.retarget(&stale);
    fleet
        .wait_for("the readers query the stale platform", STEP_TIMEOUT, |_| {
            let url = format!("http://{stale}/control/calls");
            let answer = client::get(&client::agent(STEP_TIMEOUT), &url);
            let answer = answer.map_err(std::io::Error::other)?;
            Ok(answer.body["calls"].as_u64() >= Some(PLATFORM_CALLS_MIN))
        })
        .expect("calls");
    assert!(is_at(&fleet, FIRST_REVISION + 1).expect("status"));
    check_new_entry(&mut fleet, FIRST_REVISION + 1);
    assert!(is_at(&fleet, FIRST_REVISION + 1).expect("status"));
    fleet.stop().expect("clean exit");
}

/// Plans with a second customer, who has the given API key.
fn plans_with_customer(fleet: &Fleet, id: &str, key: &str) -> String {
    let plans = lists::plans(&fleet.config, &fleet.key);
    let other = lists::plans(&fleet.config, key);
    let digest = other.lines().find(|line| line.starts_with("key_sha256"));
    let digest = digest.expect("digest");
    format!("{plans}[[customer]]\nid = \"{id}\"\nplan = \"standard\"\n{digest}\n")
}

/// HTTP status of a service lookup with an API key at an entry.
fn look_up(fleet: &Fleet, entry: &str, key: &str) -> u16 {
    let address = fleet.address(entry, "callers").expect("address");
    let caller = cuminlead_fleet::caller::Caller::new(&address, key, REQUEST_TIMEOUT);
    let received = caller.look_up("counter", "/stock?item=1");
    received.expect("response").status
}

/// HTTP status of a model request with the adapter at an entry.
fn ask_adapter(fleet: &Fleet, entry: &str) -> u16 {
    let mut body = fleet.request_body(&Question::new("for an adapter", 2));
    body["adapter"] = json!(fleet.config.deployment.adapter);
    let request = RawRequest::new("/v1/chat/completions", body);
    let answer = fleet.send(entry, &request, REQUEST_TIMEOUT);
    answer.expect("response").status
}

/// Generated allowances without the adapter, neither at the servers nor for the plan.
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

/// Guards against one of two concurrent edits that is lost, reaches only some processes, or takes
/// effect too late.
#[test]
fn concurrent_edits_both_take_effect_everywhere() {
    let _guard = FleetGuard::wait();
    let fleet = Fleet::start(FleetConfig::new(small_deployment(one_of_each()))).expect("start");
    for entry in ["entry-1", "entry-2"] {
        assert_eq!(look_up(&fleet, entry, "key-of-the-second"), 401);
        assert_eq!(ask_adapter(&fleet, entry), 200);
    }
    let plans = plans_with_customer(&fleet, "second", "key-of-the-second");
    let allowances = allowances_without_adapter(&fleet);
    let shared_fleet = &fleet;
    std::thread::scope(|scope| {
        let first = scope.spawn(|| shared_fleet.publish(PLANS_KEY, &plans));
        let second = scope.spawn(|| shared_fleet.publish(ALLOWANCES_KEY, &allowances));
        first.join().expect("first operator").expect("publish");
        second.join().expect("second operator").expect("publish");
    });
    wait_for_revision(&fleet, FIRST_REVISION + 2);
    for entry in ["entry-1", "entry-2"] {
        assert_eq!(look_up(&fleet, entry, "key-of-the-second"), 200);
        assert_eq!(ask_adapter(&fleet, entry), 403);
    }
    fleet.stop().expect("clean exit");
}

/// Guards against an invalid edit that takes effect in part, or that prevents the next valid edit
/// from taking effect in time.
#[test]
fn invalid_edit_is_refused_in_full_and_the_next_is_accepted() {
    let _guard = FleetGuard::wait();
    let fleet = Fleet::start(FleetConfig::new(small_deployment(one_of_each()))).expect("start");
    let valid = plans_with_customer(&fleet, "second", "key-of-the-second");
    let invalid = format!("{valid}[[customer]]\nid = \"third\"\nplan = \"no-such-plan\"\n");
    fleet.publish(PLANS_KEY, &invalid).expect("publish");
    fleet
        .wait_for("a reader refuses the invalid edit", STEP_TIMEOUT, |fleet| {
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
    assert!(
        !logs(&fleet).contains(&in_force),
        "the invalid edit took effect"
    );
    fleet.stop().expect("clean exit");
}

/// Logs of all processes. Only the readers, which query the platform, receive and refuse an invalid
/// edit.
fn logs(fleet: &Fleet) -> String {
    let logs = fleet.processes().map(|process| process.log());
    logs.map(|log| log.expect("log")).collect()
}
