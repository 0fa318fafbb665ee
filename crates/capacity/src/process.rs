//! Measures resident memory and CPU time of real processes that run beside stand-ins.

use std::fs;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::Report;
use crate::fixture::{
    DESIGN_LISTS, ENGINES_COUNT, allowances_text, changed_part, group_part, hosts, plans_text,
};
use cuminlead_fleet::deployment::relojeria;
use cuminlead_fleet::{Fleet, FleetConfig};
use cuminlead_lists::HostState;
use cuminlead_stand_ins::client;
use cuminlead_stand_ins::platform::HostRecord;

/// Entries at the design scale.
const ENTRIES_COUNT: usize = 370;
const CONFIG_PATH: &str = "/v1/config?since=0";
const HOSTS_PATH: &str = "/v1/hosts";
const SETTLE_DURATION: Duration = Duration::from_secs(10);
const IDLE_DURATION: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
const STATUS_ATTEMPTS: usize = 10;
/// Clock ticks per second of the CPU times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` between the command name and the user time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Resource use of one process.
struct Usage {
    name: String,
    resident_bytes: f64,
    core_share: f64,
}

pub(crate) fn run(report: &mut Report) -> io::Result<()> {
    let mut fleet = Fleet::start(FleetConfig::new(relojeria()))?;
    measure_idle(
        report,
        &fleet,
        "small_lists",
        fleet.config.deployment.servers.len(),
    )?;
    publish_design_lists(&fleet)?;
    publish_design_hosts(&fleet)?;
    response_sizes(report, &fleet)?;
    change_response_sizes(report, &fleet)?;
    measure_idle(report, &fleet, "design_lists_and_hosts", ENGINES_COUNT)?;
    restart_all(&mut fleet)?;
    measure_idle(report, &fleet, "restarted_with_design_lists", ENGINES_COUNT)?;
    publish_allowances(&fleet, "fenced = false")?;
    measure_idle(report, &fleet, "changed_allowances", ENGINES_COUNT)?;
    fleet.stop()
}

/// Restarts every process, so that it loads full lists and not one part after another.
fn restart_all(fleet: &mut Fleet) -> io::Result<()> {
    let own = fleet.processes().filter(|p| p.address("admin").is_some());
    let names: Vec<String> = own.map(|process| process.name().to_string()).collect();
    names.iter().try_for_each(|name| fleet.restart(name))
}

/// Measures the sizes of the platform's responses that each reader fetches.
fn response_sizes(report: &mut Report, fleet: &Fleet) -> io::Result<()> {
    let (lists, hosts) = (
        get_from_platform(fleet, CONFIG_PATH)?,
        get_from_platform(fleet, HOSTS_PATH)?,
    );
    let size = |value: &Value| value.to_string().len() as f64;
    report.add(
        "platform_lists_answer",
        "bytes",
        DESIGN_LISTS.customers,
        size(&lists),
    );
    report.add(
        "platform_hosts_answer",
        "bytes",
        ENGINES_COUNT + ENTRIES_COUNT,
        size(&hosts),
    );
    Ok(())
}

/// Measures the sizes of the platform's responses to a reader that is one change behind, with the
/// HTTP head.
fn change_response_sizes(report: &mut Report, fleet: &Fleet) -> io::Result<()> {
    let hosts_count = ENGINES_COUNT + ENTRIES_COUNT;
    let hosts = get_from_platform(fleet, HOSTS_PATH)?;
    let known_revision = hosts["revision"].clone();
    let hosts_since = format!("{HOSTS_PATH}?since={known_revision}");
    let unchanged = response_bytes(fleet, &hosts_since)?;
    report.add(
        "platform_hosts_unchanged_answer",
        "bytes",
        hosts_count,
        unchanged,
    );
    let mut records: Vec<HostRecord> = serde_json::from_value(hosts["hosts"].clone())?;
    if let Some(last) = records.last_mut() {
        last.state = HostState::Leaving.to_string();
    }
    publish_hosts(fleet, &records)?;
    let changed = response_bytes(fleet, &hosts_since)?;
    report.add("platform_host_change_answer", "bytes", hosts_count, changed);
    let known_revision = get_from_platform(fleet, CONFIG_PATH)?["revision"].clone();
    let unchanged = response_bytes(
        fleet,
        &format!("/v1/watch?since={known_revision}&wait_ms=0"),
    )?;
    report.add(
        "platform_lists_unchanged_answer",
        "bytes",
        DESIGN_LISTS.customers,
        unchanged,
    );
    let part = group_part(DESIGN_LISTS, 0, 1);
    let changed = changed_part(DESIGN_LISTS, &part, 0, 2);
    fleet.publish(changed.key.as_str(), &changed.text)?;
    let changed = response_bytes(fleet, &format!("/v1/config?since={known_revision}"))?;
    report.add(
        "platform_customer_change_answer",
        "bytes",
        DESIGN_LISTS.customers / DESIGN_LISTS.parts,
        changed,
    );
    Ok(())
}

/// Size in bytes of the platform's response to a call, with the HTTP head.
fn response_bytes(fleet: &Fleet, path: &str) -> io::Result<f64> {
    let address = fleet.address("platform", "address")?;
    let mut stream = TcpStream::connect(&address)?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n"
    )?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    Ok(response.len() as f64)
}

/// Number of processes whose lists are at the revision that the platform publishes.
fn up_to_date_count(fleet: &Fleet) -> io::Result<usize> {
    let newest = get_from_platform(fleet, CONFIG_PATH)?["revision"].clone();
    let mut count = 0;
    for process in fleet.processes() {
        if let Some(admin) = process.address("admin") {
            count += usize::from(lists_revision(&admin)? == newest);
        }
    }
    Ok(count)
}

/// Lists revision in effect at a process. The call is repeated, because the admin address leaves
/// some calls without a response.
fn lists_revision(admin: &str) -> io::Result<Value> {
    let url = format!("http://{admin}/status");
    let mut last = None;
    for _ in 0..STATUS_ATTEMPTS {
        match client::get(&client::agent(STATUS_TIMEOUT), &url) {
            Ok(response) => return Ok(response.body["lists_revision"].clone()),
            Err(error) => last = Some(error),
        }
    }
    Err(io::Error::other(format!("{url}: {last:?}")))
}

/// Measures idle processes after they have installed what was published.
fn measure_idle(report: &mut Report, fleet: &Fleet, case: &str, servers: usize) -> io::Result<()> {
    thread::sleep(SETTLE_DURATION);
    let count = up_to_date_count(fleet)?;
    report.add(
        &format!("process_lists_in_force_{case}"),
        "processes",
        servers,
        count as f64,
    );
    let calls_before = platform_calls(fleet)?;
    let ticks_before: Vec<f64> = fleet.processes().map(|p| ticks(p.pid())).collect();
    thread::sleep(IDLE_DURATION);
    let calls = (platform_calls(fleet)? - calls_before) / IDLE_DURATION.as_secs_f64();
    report.add(
        &format!("process_platform_calls_{case}"),
        "calls/s",
        servers,
        calls,
    );
    let mut usages = Vec::new();
    for (process, before) in fleet.processes().zip(ticks_before) {
        let busy_seconds = (ticks(process.pid()) - before) / TICKS_PER_SECOND;
        usages.push(Usage {
            name: process.name().to_string(),
            resident_bytes: resident_bytes(process.pid()),
            core_share: busy_seconds / IDLE_DURATION.as_secs_f64() * 100.0,
        });
    }
    for kind in ["entry-", "agent-notes", "agent-counter"] {
        add_kind(report, &usages, kind, case, servers);
    }
    Ok(())
}

fn add_kind(report: &mut Report, usages: &[Usage], kind: &str, case: &str, servers: usize) {
    let of_kind = || usages.iter().filter(|usage| usage.name.starts_with(kind));
    let quantity = format!("process_{}_{case}", kind.trim_end_matches('-'));
    let max_of = |value: fn(&Usage) -> f64| of_kind().map(value).fold(0.0, f64::max);
    let min_of = |value: fn(&Usage) -> f64| of_kind().map(value).fold(f64::MAX, f64::min);
    let resident = |usage: &Usage| usage.resident_bytes;
    let share = |usage: &Usage| usage.core_share;
    report.add(
        &format!("{quantity}_resident_least"),
        "bytes",
        servers,
        min_of(resident),
    );
    report.add(
        &format!("{quantity}_resident_most"),
        "bytes",
        servers,
        max_of(resident),
    );
    report.add(
        &format!("{quantity}_core_least"),
        "%",
        servers,
        min_of(share),
    );
    report.add(
        &format!("{quantity}_core_most"),
        "%",
        servers,
        max_of(share),
    );
}

/// Publishes the allowances, in which `fenced` replaces the corresponding line of one engine.
fn publish_allowances(fleet: &Fleet, fenced: &str) -> io::Result<()> {
    let text = allowances_text(ENGINES_COUNT).replace("counter", "till");
    let text = text.replacen("fenced = true", fenced, 1);
    fleet.publish("allowances/design", &text)
}

fn publish_design_lists(fleet: &Fleet) -> io::Result<()> {
    publish_allowances(fleet, "fenced = true")?;
    fleet.publish("plans/design", &plans_text())?;
    for group in 0..DESIGN_LISTS.parts {
        let part = group_part(DESIGN_LISTS, group, 1);
        fleet.publish(part.key.as_str(), &part.text)?;
    }
    Ok(())
}

/// Adds hosts without processes, in zones of their own, to the real ones.
fn publish_design_hosts(fleet: &Fleet) -> io::Result<()> {
    let present = get_from_platform(fleet, HOSTS_PATH)?;
    let mut records: Vec<HostRecord> = serde_json::from_value(present["hosts"].clone())?;
    records.extend(
        hosts(ENGINES_COUNT, ENTRIES_COUNT, 1)
            .hosts
            .iter()
            .map(|entry| HostRecord {
                host: entry.host.to_string(),
                region: entry.region.to_string(),
                availability_zone: entry.zone.to_string(),
                state: entry.state.to_string(),
                process: entry.process.to_string(),
                // Nothing listens on this port, and the traffic stays on the loopback interface.
                address: "127.0.0.1:9".to_string(),
                server: entry.server.as_ref().map(ToString::to_string),
            }),
    );
    publish_hosts(fleet, &records)
}

fn publish_hosts(fleet: &Fleet, records: &[HostRecord]) -> io::Result<()> {
    let url = format!(
        "http://{}/control/hosts",
        fleet.address("platform", "address")?
    );
    let response = client::post(
        &client::agent(CALL_TIMEOUT),
        &url,
        json!({ "hosts": records }),
    );
    let response = response.map_err(io::Error::other)?;
    if response.status == 200 {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "platform refused the host list: {}",
        response.body
    )))
}

fn platform_calls(fleet: &Fleet) -> io::Result<f64> {
    let response = get_from_platform(fleet, "/control/calls")?;
    Ok(response["calls"].as_f64().unwrap_or_default())
}

/// Fetches the platform's response to a call.
fn get_from_platform(fleet: &Fleet, path: &str) -> io::Result<Value> {
    let url = format!("http://{}{path}", fleet.address("platform", "address")?);
    let response = client::get(&client::agent(CALL_TIMEOUT), &url);
    let explain = |error| io::Error::other(format!("{url}: {error}"));
    Ok(response.map_err(explain)?.body)
}

fn resident_bytes(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or_default() * 1_024.0
}

/// User and system time of a process in clock ticks.
fn ticks(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let times = fields.skip(FIELDS_BEFORE_TIMES).take(2);
    times.filter_map(|field| field.parse::<f64>().ok()).sum()
}
