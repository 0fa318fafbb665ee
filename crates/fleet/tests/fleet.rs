//! Launcher: validity of generated files, and start, signals and exit of processes.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use cuminlead_fleet::deployment::{Deployment, bucaramanga, relojeria};
use cuminlead_fleet::lists::{self, ListsSource};
use cuminlead_fleet::process::Signal;
use cuminlead_fleet::{ALLOWANCES_KEY, Fleet, FleetConfig, PLANS_KEY, settings};
use cuminlead_lists::{Lists, Part, PartKey, Snapshot};
use cuminlead_settings::{AgentSettings, EntrySettings};
use cuminlead_stand_ins::behaviour::Mode;
use cuminlead_stand_ins::client;
use cuminlead_types::{AdapterName, CustomerId, ModelName, Revision, ServiceName};
use serde_json::{Value, json};
use yare::parameterized;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of the query to a paused process.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(500);

fn get(fleet: &Fleet, name: &str, path: &str) -> Option<Value> {
    get_within(RESPONSE_TIMEOUT, fleet, name, path)
}

fn get_within(timeout: Duration, fleet: &Fleet, name: &str, path: &str) -> Option<Value> {
    let address = fleet.address(name, "address").expect("address");
    let answer = client::get(&client::agent(timeout), &format!("http://{address}{path}"));
    answer.ok().map(|answer| answer.body)
}

/// Guards against generated lists that are invalid, so that every process of a fleet refuses them.
#[parameterized(
    of_relojeria = { relojeria() },
    of_bucaramanga = { bucaramanga() },
)]
fn generated_lists_are_valid(deployment: Deployment) {
    let fleet = Fleet::start_stand_ins(FleetConfig::new(deployment)).expect("start");
    fleet.publish_lists().expect("publish");
    let config = get(&fleet, "platform", "/v1/config?since=0").expect("config");
    let texts = config["parts"].as_array().expect("parts");
    let parts = texts.iter().map(|part| Part {
        key: PartKey::new(part["key"].as_str().expect("key")),
        revision: Revision(part["revision"].as_u64().expect("revision")),
        text: part["text"].as_str().expect("text").to_string(),
    });
    let snapshot = Snapshot::new(Revision(2), parts);
    let keys: Vec<&str> = snapshot.parts().map(|part| part.key.as_str()).collect();
    assert_eq!(keys, [ALLOWANCES_KEY, PLANS_KEY]);
    let lists = snapshot.check().expect("valid lists");
    assert_eq!(lists.servers.len(), fleet.config.deployment.servers.len());
}

fn check(parts: [(&str, &str); 2]) -> Lists {
    let parts = parts.map(|(key, text)| Part {
        key: PartKey::new(key),
        revision: Revision(1),
        text: text.to_string(),
    });
    Snapshot::new(Revision(1), parts).check().expect("valid")
}

/// Guards against example lists that differ from the deployment that the demo starts, and against a
/// demo customer whose key has no access to the models and the service.
#[parameterized(
    of_relojeria = { relojeria() },
    of_bucaramanga = { bucaramanga() },
)]
fn example_lists_describe_the_deployment(deployment: Deployment) {
    let ListsSource::Examples(examples) = ListsSource::examples_of(&deployment) else {
        panic!("no example lists of {}", deployment.name);
    };
    let plans = examples.plans_with("key");
    let shown = check([(PLANS_KEY, &plans), (ALLOWANCES_KEY, examples.allowances)]);
    let model: ModelName = deployment.model.parse().expect("model");
    let service: ServiceName = deployment.service.parse().expect("service");
    let adapter: AdapterName = deployment.adapter.parse().expect("adapter");
    let config = FleetConfig::new(deployment);
    let plans = lists::plans(&config, "key");
    let allowances = lists::allowances(&config.deployment);
    let generated = check([(PLANS_KEY, &plans), (ALLOWANCES_KEY, &allowances)]);
    assert_eq!(shown.servers, generated.servers);
    assert_eq!(shown.routes, generated.routes);
    let key = generated.customers.values().next().expect("customer");
    let customer: CustomerId = examples.customer.parse().expect("customer");
    assert_eq!(shown.customers[&customer].key_sha256, key.key_sha256);
    for adapter in [None, Some(&adapter)] {
        let grant = shown.check_model(&customer, &model, adapter, None);
        assert_eq!(
            grant.expect("grant").allowance.servers.len(),
            config
                .deployment
                .servers
                .iter()
                .filter(|spec| spec.role().is_some())
                .count()
        );
    }
    assert!(shown.check_service(&customer, &service).is_ok());
}

/// Guards against generated settings files that agents or entries refuse.
#[parameterized(
    of_relojeria = { relojeria() },
    of_bucaramanga = { bucaramanga() },
)]
fn settings_files_are_valid(deployment: Deployment) {
    let extra_settings = FleetConfig::new(deployment.clone()).entry_settings;
    let platform = "127.0.0.1:8000";
    for spec in &deployment.servers {
        let text = settings::agent(spec, "127.0.0.1:9000", platform, &BTreeMap::new());
        AgentSettings::parse("agent", &text).expect("valid agent settings");
    }
    for spec in &deployment.entries {
        let weight = deployment.wasted_prefill_weight;
        let text = settings::entry(spec, platform, weight, &extra_settings);
        EntrySettings::parse("entry", &text).expect("valid entry settings");
    }
}

/// Guards against a deployment with a region that cannot serve a model request on its own, because
/// it has no engine of one role.
#[parameterized(
    of_relojeria = { relojeria(), 8 },
    of_bucaramanga = { bucaramanga(), 9 },
)]
fn every_region_has_both_roles(deployment: Deployment, engines_count: usize) {
    let engines = || {
        deployment
            .servers
            .iter()
            .filter(|spec| spec.role().is_some())
    };
    assert_eq!(engines().count(), engines_count);
    for region in engines().map(|spec| &spec.region) {
        for role in ["prefill", "decode"] {
            let has_role = engines().any(|p| p.region == *region && p.role() == Some(role));
            assert!(has_role, "{region} has no {role} engine");
        }
    }
}

/// Guards against processes and files that remain after their fleet is dropped.
#[test]
fn dropped_fleet_leaves_no_processes_or_files() {
    let fleet = Fleet::start_stand_ins(FleetConfig::new(relojeria())).expect("start");
    let directory = fleet.directory().to_path_buf();
    let pids: Vec<u32> = fleet.processes().map(|process| process.pid()).collect();
    assert_eq!(pids.len(), 1 + 8 + 3);
    drop(fleet);
    assert!(!directory.exists());
    for pid in pids {
        assert!(!Path::new(&format!("/proc/{pid}")).exists());
    }
}

/// Guards against a pause signal without effect, and a restart that keeps the old process.
#[test]
fn process_is_paused_resumed_and_restarted() {
    let mut fleet = Fleet::start_stand_ins(FleetConfig::new(relojeria())).expect("start");
    fleet
        .process("notes-1")
        .unwrap()
        .signal(Signal::Stop)
        .expect("stop");
    let silent = get_within(UNRESPONSIVE_TIMEOUT, &fleet, "notes-1", "/v1/inventory");
    assert_eq!(silent, None);
    fleet
        .process("notes-1")
        .unwrap()
        .signal(Signal::Continue)
        .expect("continue");
    assert!(get(&fleet, "notes-1", "/v1/inventory").is_some());
    let pid = fleet.process("notes-1").unwrap().pid();
    fleet.restart("notes-1").expect("restart");
    assert_ne!(fleet.process("notes-1").unwrap().pid(), pid);
    let inventory = get(&fleet, "notes-1", "/v1/inventory").expect("inventory");
    assert_eq!(inventory["adapters"], json!(["kiosk"]));
}

/// Guards against a failure mode that is set but does not reach the stand-in.
#[test]
fn mode_is_set_by_name() {
    let fleet = Fleet::start_stand_ins(FleetConfig::new(relojeria())).expect("start");
    fleet.set_mode("counter-1", Mode::Fail).expect("set");
    let failed = get(&fleet, "counter-1", "/effects").expect("response");
    assert_eq!(failed, json!({"error": "failing as told"}));
}

/// Guards against a start that waits until its timeout for a process that has already exited.
#[test]
fn ended_process_is_reported_at_once() {
    let mut config = FleetConfig::new(relojeria());
    config.engine_arguments = vec!["--no-such-option".to_string()];
    let error = Fleet::start_stand_ins(config)
        .err()
        .expect("no start")
        .to_string();
    assert!(error.contains("notes-1 ended with"), "{error}");
}
