//! Calls of a fleet to the platform and time until a change is in force, on virtual time.

use std::collections::BTreeSet;

use cuminlead_distribution::readers_of_zone;
use cuminlead_types::{AvailabilityZoneName, HostId};

use crate::Report;
use crate::world::World;

const PROCESSES: [usize; 4] = [100, 500, 1_000, 2_700];
/// Time for a started fleet to find its readers.
const SETTLE_MS: u64 = 20_000;
const STEADY_SECONDS: u64 = 20;
/// Time that is given to a change after a fault; more than the 9 s of P8, so that a miss is seen.
const CHANGE_MS: u64 = 15_000;

/// Readers of each zone that fail, those that failed before included.
struct Fault {
    name: &'static str,
    readers_count: usize,
}

const FAULTS: [Fault; 3] = [
    Fault {
        name: "one_reader_of_each_zone_fails",
        readers_count: 1,
    },
    Fault {
        name: "two_readers_of_each_zone_fail",
        readers_count: 2,
    },
    Fault {
        name: "all_readers_of_each_zone_fail",
        readers_count: usize::MAX,
    },
];

pub(crate) fn run(report: &mut Report) {
    for processes in PROCESSES {
        let mut world = World::new(processes);
        world.run(SETTLE_MS);
        let start = peak_calls(&world);
        report.add("platform_calls_peak_at_start", "calls/s", processes, start);
        steady(report, &mut world, processes);
        change(report, &mut world, processes, "without_fault");
        for fault in FAULTS {
            stop_readers(&mut world, fault.readers_count);
            change(report, &mut world, processes, fault.name);
        }
    }
}

fn peak_calls(world: &World) -> f64 {
    world.calls.values().copied().max().unwrap_or(0) as f64
}

fn steady(report: &mut Report, world: &mut World, processes: usize) {
    world.calls.clear();
    let before: Vec<u64> = world.nodes.iter().map(|node| node.sent_bytes).collect();
    world.run(STEADY_SECONDS * 1_000);
    let seconds = STEADY_SECONDS as f64;
    let calls: u64 = world.calls.values().sum();
    report.add(
        "platform_calls_steady",
        "calls/s",
        processes,
        calls as f64 / seconds,
    );
    let watching = world.nodes.iter().filter(|n| n.distribution.is_watching());
    report.add("readers", "processes", processes, watching.count() as f64);
    let reading = world.nodes.iter();
    let reading = reading.filter(|n| n.distribution.is_reading_hosts());
    report.add(
        "hosts_readers",
        "processes",
        processes,
        reading.count() as f64,
    );
    let sent = world.nodes.iter().zip(before);
    let most = sent.map(|(node, before)| node.sent_bytes - before).max();
    let rate = most.unwrap_or(0) as f64 / seconds;
    report.add("busiest_reader_sent_steady", "bytes/s", processes, rate);
}

/// Publishes a change just after a fault.
fn change(report: &mut Report, world: &mut World, processes: usize, case: &str) {
    world.calls.clear();
    world.run(1);
    let since = world.now;
    world.publish();
    world.publish_hosts();
    world.run(CHANGE_MS);
    let last = world.last_in_force(since);
    let ms = last.map_or(f64::INFINITY, |last| last.0 as f64 / 1_000.0);
    report.add(&format!("change_in_force_{case}"), "ms", processes, ms);
    let last = world.last_with_hosts(since);
    let ms = last.map_or(f64::INFINITY, |last| last.0 as f64 / 1_000.0);
    report.add(&format!("hosts_in_use_{case}"), "ms", processes, ms);
    let calls = peak_calls(world);
    report.add(
        &format!("platform_calls_peak_{case}"),
        "calls/s",
        processes,
        calls,
    );
}

/// Stops the first readers of each zone, as published.
fn stop_readers(world: &mut World, count: usize) {
    let entries = world.hosts.hosts.iter();
    let zones: BTreeSet<AvailabilityZoneName> = entries.map(|entry| entry.zone.clone()).collect();
    let readers = zones
        .iter()
        .flat_map(|zone| readers_of_zone(&world.hosts, zone).into_iter().take(count));
    let stopped: Vec<HostId> = readers.map(|entry| entry.host.clone()).collect();
    stopped.iter().for_each(|host| world.stop(host));
}
