//! Service and platform stand-ins.

use std::time::Duration;

use cuminlead_stand_ins::client;
use cuminlead_stand_ins::platform::{Platform, PlatformConfig};
use cuminlead_stand_ins::service::{Service, ServiceConfig};
use serde_json::{Value, json};
use ureq::Agent;

fn agent() -> Agent {
    client::agent(Duration::from_secs(20))
}

fn post(address: &str, path: &str, body: Value) -> Value {
    let answer = client::post(&agent(), &format!("http://{address}{path}"), body);
    answer.expect("post").body
}

fn get(address: &str, path: &str) -> Value {
    let answer = client::get(&agent(), &format!("http://{address}{path}"));
    answer.expect("get").body
}

/// Guards against a repeated effect that is not counted: checks of P5 rely on the counts.
#[test]
fn service_counts_every_effect() {
    let address = Service::start(&ServiceConfig::default())
        .expect("start")
        .to_string();
    let charge = json!({"reference": "r-1", "amount": 3});
    assert_eq!(
        post(&address, "/charges", charge.clone()),
        json!({"receipt": 1})
    );
    assert_eq!(post(&address, "/charges", charge), json!({"receipt": 2}));
    assert_eq!(get(&address, "/effects"), json!({"effects": {"r-1": 2}}));
    assert_eq!(get(&address, "/stock?item=bolt")["stock"], json!(998));
}

/// Guards against mode `lose_answer` losing the effect of a call together with its response.
#[test]
fn lost_response_keeps_effect() {
    let address = Service::start(&ServiceConfig::default())
        .expect("start")
        .to_string();
    post(&address, "/control", json!({"mode": "lose_answer"}));
    let url = format!("http://{address}/charges");
    assert!(client::post(&agent(), &url, json!({"reference": "r-1"})).is_err());
    post(&address, "/control", json!({"mode": "normal"}));
    assert_eq!(get(&address, "/effects"), json!({"effects": {"r-1": 1}}));
}

/// Guards against mode `silent_open` in which an open connection still responds or a new one does
/// not.
#[test]
fn silent_open_affects_open_connections_only() {
    let address = Service::start(&ServiceConfig::default())
        .expect("start")
        .to_string();
    let pooled = client::agent(Duration::from_secs(2));
    let url = format!("http://{address}/effects");
    assert!(client::get(&pooled, &url).is_ok());
    post(&address, "/control", json!({"mode": "silent_open"}));
    assert!(client::get(&pooled, &url).is_err());
    assert_eq!(get(&address, "/effects"), json!({"effects": {}}));
}

/// Guards against a watch that misses a change or repeats parts that did not change after `since`.
#[test]
fn watch_returns_changes() {
    let address = Platform::start(&PlatformConfig::default())
        .expect("start")
        .to_string();
    post(
        &address,
        "/control/publish",
        json!({"key": "plans/main", "text": "a"}),
    );
    std::thread::scope(|scope| {
        let watch = scope.spawn(|| get(&address, "/v1/watch?since=1&wait_ms=10000"));
        std::thread::sleep(Duration::from_millis(100));
        post(
            &address,
            "/control/publish",
            json!({"key": "allowances/main", "text": "b"}),
        );
        let part = json!({"key": "allowances/main", "revision": 2, "text": "b"});
        let changed = watch.join().expect("watch");
        assert_eq!(changed, json!({"revision": 2, "since": 1, "parts": [part]}));
    });
    assert_eq!(
        get(&address, "/v1/config?since=0")["parts"]
            .as_array()
            .map(Vec::len),
        Some(2)
    );
    assert_eq!(get(&address, "/control/calls"), json!({"calls": 2}));
}

/// Guards against mode `stale` in which reads return later changes.
#[test]
fn stale_platform_serves_earlier_state() {
    let address = Platform::start(&PlatformConfig::default())
        .expect("start")
        .to_string();
    post(
        &address,
        "/control/publish",
        json!({"key": "plans/main", "text": "a"}),
    );
    post(&address, "/control", json!({"mode": "stale"}));
    post(
        &address,
        "/control/publish",
        json!({"key": "plans/main", "text": "b"}),
    );
    assert_eq!(get(&address, "/v1/config?since=0")["revision"], json!(1));
    post(&address, "/control", json!({"mode": "normal"}));
    assert_eq!(
        get(&address, "/v1/config?since=0")["parts"][0]["text"],
        json!("b")
    );
}

/// Guards against a host list that is visible before its lag has passed.
#[test]
fn host_list_is_delayed() {
    let config = PlatformConfig {
        hosts_lag: Duration::from_secs(3_600),
        ..PlatformConfig::default()
    };
    let address = Platform::start(&config).expect("start").to_string();
    let host = json!({
        "host": "h-1", "region": "litoral", "availability_zone": "litoral-a", "state": "live",
        "process": "agent", "address": "127.0.0.1:1", "server": "notes-1",
    });
    let published = post(&address, "/control/hosts", json!({"hosts": [host]}));
    assert_eq!(published, json!({"revision": 1}));
    assert_eq!(
        get(&address, "/v1/hosts"),
        json!({"revision": 0, "hosts": []})
    );
}
