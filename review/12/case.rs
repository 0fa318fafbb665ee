//! A new version takes the keys of the last tenant away.
//!
//! The entry takes an empty list of tenants for a configuration without tenants: it runs requests
//! with any key or none, and passes their keys on.

#[path = "../stand-ins-3/common.rs"]
mod common;

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{
    Body, Head, Record, Store, finish, free_address, has_trouble, loopback, send, serve,
    server_entry, shared_port, start_entry, start_watchdog, unix_ms, wait_until_ready,
};

/// Bound within which a version is in force (`config_apply_ms` of the site).
const CONFIG_APPLY: Duration = Duration::from_millis(4_000);
const KEY: &str = "banfqasnmgkcuyj8pjbv";
const UNKNOWN_KEY: &str = "k0000000000000000000";

fn config(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-confirm\",\"host\":\"ficu95.example\",\
         \"prefix\":\"/confirm/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":200,\
         \"priority\":2,\"service\":\"roster\",\"max_attempts\":1,\"skip_auth\":false,\"sticky\":false,\
         \"resumable\":false}}],\"services\":[{{\"name\":\"roster\",\"health_path\":\"/health\",\
         \"max_connections\":190,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}"
    )
}

/// What ran: id, key that was passed on, tenant.
type Runs = Arc<Mutex<Vec<(String, Option<String>, Option<String>)>>>;

fn main() {
    let record = Record::create("review/12/record.txt");
    start_watchdog(Duration::from_secs(60));
    let store = Store::new();
    let tenant = format!(
        "{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"tokens\",\
         \"plain_tokens\":200,\"rate_per_s\":315285,\"burst\":315285}}"
    );
    store.put("op/config", &config(7, &tenant));
    let store_address = store.listen(free_address(loopback(1)), || false);
    let runs = Runs::default();
    for number in 1..=2_u8 {
        let (runs, record, name) = (Arc::clone(&runs), record.clone(), format!("i-app{number}"));
        let served_as = name.clone();
        let server = serve(
            free_address(loopback(20 + number)),
            move |stream: &TcpStream, head: &Head, _: &Body| {
                let id = head.get("request-id").unwrap_or_default().to_string();
                let text = |name: &str| head.get(name).map(ToString::to_string);
                let (key, tenant) = (text("api-key"), text("tenant"));
                record.line(&format!("{served_as} runs {id}, key {key:?}, tenant {tenant:?}"));
                runs.lock().unwrap().push((id.clone(), key, tenant));
                thread::sleep(Duration::from_millis(15));
                let headers =
                    format!("Request-Id: {id}\r\nResponse-Signature: {served_as}.{id}\r\n");
                common::respond(stream, 200, &headers, b"confirmed")
            },
        );
        let entry = server_entry("roster", server, 6, None, unix_ms() - 600_000);
        store.put(&format!("servers/{name}"), &entry);
    }
    let agent_port = shared_port(&[loopback(20)]);
    let entries = [1, 2].map(|number| start_entry(number, store_address, agent_port));
    entries.iter().for_each(wait_until_ready);

    let ask = |phase: &str| {
        let mut served_count = 0;
        for (number, entry) in entries.iter().enumerate() {
            let callers =
                [("known", Some(KEY)), ("unknown", Some(UNKNOWN_KEY)), ("no", None)];
            for (kind, key) in callers {
                let id = format!("{phase}-{kind}-key-{number}");
                let key = key.map_or(String::new(), |key| format!("Api-Key: {key}\r\n"));
                let headers = format!(
                    "Host: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n{key}\
                     Tenant: other-tenant\r\n"
                );
                let wait = Duration::from_secs(3);
                let answer = send(entry.callers, "POST", "/confirm/x", &headers, b"{}", wait);
                let status = answer.map_or(0, |answer| answer.status);
                served_count += u32::from(status == 200);
                record.say(&format!("{id}: {status}"));
            }
        }
        served_count
    };
    if ask("before") != 2 {
        common::not_run("before the change, exactly the requests with the key are to be served");
    }
    if has_trouble() {
        store.put("op/config", &config(9, ""));
        record.say("version 9 takes the key of the tenant away; it has no tenants left");
    } else {
        store.put("op/config", &config(9, &tenant));
        record.say("version 9 keeps the tenant and its key");
    }
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    ask("after");
    let runs = runs.lock().unwrap();
    let allowed = if has_trouble() { "none" } else { "after-known" };
    let wrong: Vec<_> = runs
        .iter()
        .filter(|(id, key, _)| (id.starts_with("after") && !id.starts_with(allowed)) || key.is_some())
        .collect();
    for (id, key, tenant) in &wrong {
        record.say(&format!("BROKEN: {id} ran, key passed on {key:?}, tenant {tenant:?}"));
    }
    record.say(&format!("{} broken", wrong.len()));
    finish(i32::from(!wrong.is_empty()));
}
