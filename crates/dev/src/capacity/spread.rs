//! Calls of a fleet to the platform and time until a change is in force, on virtual time.

use std::collections::BTreeSet;

use cuminlead_distribution::readers_of_zone;
use cuminlead_types::{AvailabilityZoneName, HostId};

use super::Report;
use super::world::World;

const PROCESSES: [usize; 4] = [100, 500, 1_000, 2_700];
/// Time for a started fleet to find its readers.
const SETTLE_MS: u64 = 20_000;
const STEADY_SECONDS: u64 = 20;
/// Time that is given to a change after a fault; more than the 9 s of P8, so that a miss is seen.
const CHANGE_MS: u64 = 15_000;

pub(crate) fn run(report: &mut Report) {
    for processes in PROCESSES {
        let mut world = World::new(processes);
        world.run(SETTLE_MS);
        let start = peak_calls(&world);
        report.add("platform_calls_peak_at_start", "calls/s", processes, start);
        steady(report, &mut world, processes);
        change(report, &mut world, processes, "without_fault");
        stop_readers(&mut world, 0);
        change(
            report,
            &mut world,
            processes,
            "one_reader_of_each_zone_fails",
        );
        stop_readers(&mut world, 1);
        change(
            report,
            &mut world,
            processes,
            "both_readers_of_each_zone_fail",
        );
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
    world.run(CHANGE_MS);
    let last = world.last_in_force(since);
    let ms = last.map_or(f64::INFINITY, |last| last.0 as f64 / 1_000.0);
    report.add(&format!("change_in_force_{case}"), "ms", processes, ms);
    let calls = peak_calls(world);
    report.add(
        &format!("platform_calls_peak_{case}"),
        "calls/s",
        processes,
        calls,
    );
}

/// Stops the reader of this rank in each zone, as published.
fn stop_readers(world: &mut World, rank: usize) {
    let zones: BTreeSet<AvailabilityZoneName> = world
        .hosts
        .hosts
        .iter()
        .map(|entry| entry.zone.clone())
        .collect();
    let readers = zones.iter().map(|zone| readers_of_zone(&world.hosts, zone));
    let stopped: Vec<HostId> = readers.map(|zone| zone[rank].host.clone()).collect();
    stopped.iter().for_each(|host| world.stop(host));
}
