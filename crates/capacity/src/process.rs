//! Resident memory and processor time of real processes beside stand-ins.

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

/// Entries of the design scale.
const ENTRIES_COUNT: usize = 370;
const CONFIG_PATH: &str = "/v1/config?since=0";
const HOSTS_PATH: &str = "/v1/hosts";
const SETTLE: Duration = Duration::from_secs(10);
const IDLE: Duration = Duration::from_secs(20);
const CALL_LIMIT: Duration = Duration::from_secs(30);
const STATUS_LIMIT: Duration = Duration::from_secs(1);
const STATUS_TRIES: usize = 10;
/// Ticks a second of the processor times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` before the user time, counted after the name of the command.
const FIELDS_BEFORE_TIMES: usize = 11;

/// What one process uses.
struct Usage {
    name: String,
    resident_bytes: f64,
    core_share: f64,
}

pub(crate) fn run(report: &mut Report) -> io::Result<()> {
    let mut fleet = Fleet::start(FleetConfig::new(relojeria()))?;
    idle(
        report,
        &fleet,
        "small_lists",
        fleet.config.deployment.servers.len(),
    )?;
    publish_design_lists(&fleet)?;
    publish_design_hosts(&fleet)?;
    answers(report, &fleet)?;
    answers_to_changes(report, &fleet)?;
    idle(report, &fleet, "design_lists_and_hosts", ENGINES_COUNT)?;
    restart_all(&mut fleet)?;
    idle(report, &fleet, "restarted_with_design_lists", ENGINES_COUNT)?;
    publish_allowances(&fleet, "fenced = false")?;
    idle(report, &fleet, "changed_allowances", ENGINES_COUNT)?;
    fleet.stop()
}

/// Starts every process again, so that it takes whole lists and not one part after another.
fn restart_all(fleet: &mut Fleet) -> io::Result<()> {
    let own = fleet.processes().filter(|p| p.address("admin").is_some());
    let names: Vec<String> = own.map(|process| process.name().to_string()).collect();
    names.iter().try_for_each(|name| fleet.restart(name))
}

/// Sizes of the platform's answers, which each reader fetches.
fn answers(report: &mut Report, fleet: &Fleet) -> io::Result<()> {
    let (lists, hosts) = (
        published(fleet, CONFIG_PATH)?,
        published(fleet, HOSTS_PATH)?,
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

/// Sizes of the platform's answers to a reader that is one change behind, with the head of HTTP.
fn answers_to_changes(report: &mut Report, fleet: &Fleet) -> io::Result<()> {
    let hosts_count = ENGINES_COUNT + ENTRIES_COUNT;
    let hosts = published(fleet, HOSTS_PATH)?;
    let held = hosts["revision"].clone();
    let hosts_since = format!("{HOSTS_PATH}?since={held}");
    let unchanged = answer_bytes(fleet, &hosts_since)?;
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
    let changed = answer_bytes(fleet, &hosts_since)?;
    report.add("platform_host_change_answer", "bytes", hosts_count, changed);
    let held = published(fleet, CONFIG_PATH)?["revision"].clone();
    let unchanged = answer_bytes(fleet, &format!("/v1/watch?since={held}&wait_ms=0"))?;
    report.add(
        "platform_lists_unchanged_answer",
        "bytes",
        DESIGN_LISTS.customers,
        unchanged,
    );
    let part = group_part(DESIGN_LISTS, 0, 1);
    let changed = changed_part(DESIGN_LISTS, &part, 0, 2);
    fleet.publish(changed.key.as_str(), &changed.text)?;
    let changed = answer_bytes(fleet, &format!("/v1/config?since={held}"))?;
    report.add(
        "platform_customer_change_answer",
        "bytes",
        DESIGN_LISTS.customers / DESIGN_LISTS.parts,
        changed,
    );
    Ok(())
}

/// Bytes that the platform sends for a call.
fn answer_bytes(fleet: &Fleet, path: &str) -> io::Result<f64> {
    let address = fleet.address("platform", "address")?;
    let mut stream = TcpStream::connect(&address)?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n"
    )?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(answer.len() as f64)
}

/// Processes whose lists are those that the platform publishes.
fn in_force_count(fleet: &Fleet) -> io::Result<usize> {
    let newest = published(fleet, CONFIG_PATH)?["revision"].clone();
    let mut count = 0;
    for process in fleet.processes() {
        if let Some(admin) = process.address("admin") {
            count += usize::from(lists_revision(&admin)? == newest);
        }
    }
    Ok(count)
}

/// Revision that a process shows. The admin address leaves some calls without an answer, so a call
/// is repeated.
fn lists_revision(admin: &str) -> io::Result<Value> {
    let url = format!("http://{admin}/status");
    let mut last = None;
    for _ in 0..STATUS_TRIES {
        match client::get(&client::agent(STATUS_LIMIT), &url) {
            Ok(answer) => return Ok(answer.body["lists_revision"].clone()),
            Err(error) => last = Some(error),
        }
    }
    Err(io::Error::other(format!("{url}: {last:?}")))
}

/// Measures after what was published has been taken.
fn idle(report: &mut Report, fleet: &Fleet, case: &str, servers: usize) -> io::Result<()> {
    thread::sleep(SETTLE);
    let count = in_force_count(fleet)?;
    report.add(
        &format!("process_lists_in_force_{case}"),
        "processes",
        servers,
        count as f64,
    );
    let calls_before = platform_calls(fleet)?;
    let ticks_before: Vec<f64> = fleet.processes().map(|p| ticks(p.pid())).collect();
    thread::sleep(IDLE);
    let calls = (platform_calls(fleet)? - calls_before) / IDLE.as_secs_f64();
    report.add(
        &format!("process_platform_calls_{case}"),
        "calls/s",
        servers,
        calls,
    );
    let mut usages = Vec::new();
    for (process, before) in fleet.processes().zip(ticks_before) {
        let busy = (ticks(process.pid()) - before) / TICKS_PER_SECOND;
        usages.push(Usage {
            name: process.name().to_string(),
            resident_bytes: resident_bytes(process.pid()),
            core_share: busy / IDLE.as_secs_f64() * 100.0,
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
    let most = |value: fn(&Usage) -> f64| of_kind().map(value).fold(0.0, f64::max);
    let least = |value: fn(&Usage) -> f64| of_kind().map(value).fold(f64::MAX, f64::min);
    let resident = |usage: &Usage| usage.resident_bytes;
    let share = |usage: &Usage| usage.core_share;
    report.add(
        &format!("{quantity}_resident_least"),
        "bytes",
        servers,
        least(resident),
    );
    report.add(
        &format!("{quantity}_resident_most"),
        "bytes",
        servers,
        most(resident),
    );
    report.add(
        &format!("{quantity}_core_least"),
        "%",
        servers,
        least(share),
    );
    report.add(&format!("{quantity}_core_most"), "%", servers, most(share));
}

/// Publishes the allowances, in which `fenced` stands for the line of one engine.
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
    let present = published(fleet, HOSTS_PATH)?;
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
                // Nothing listens there, and the traffic stays on loopback.
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
    let answer = client::post(
        &client::agent(CALL_LIMIT),
        &url,
        json!({ "hosts": records }),
    );
    let answer = answer.map_err(io::Error::other)?;
    if answer.status == 200 {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "host list refused: {}",
        answer.body
    )))
}

fn platform_calls(fleet: &Fleet) -> io::Result<f64> {
    let answer = published(fleet, "/control/calls")?;
    Ok(answer["calls"].as_f64().unwrap_or_default())
}

/// Answer of the platform to a reader.
fn published(fleet: &Fleet, path: &str) -> io::Result<Value> {
    let url = format!("http://{}{path}", fleet.address("platform", "address")?);
    let answer = client::get(&client::agent(CALL_LIMIT), &url);
    let explain = |error| io::Error::other(format!("{url}: {error}"));
    Ok(answer.map_err(explain)?.body)
}

fn resident_bytes(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or_default() * 1_024.0
}

/// User and system time of a process in ticks.
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
