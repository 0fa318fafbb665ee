//! Measures the calls of a fleet to the platform and the time until a change is in effect on all
//! processes, in simulated time.

use std::collections::BTreeSet;

use cuminlead_distribution::readers_of_zone;
use cuminlead_types::{AvailabilityZoneName, HostId};

use crate::Report;
use crate::simulation::Simulation;

const PROCESS_COUNTS: [usize; 4] = [100, 500, 1_000, 2_700];
/// Time in which a started fleet selects its readers.
const SETTLE_MS: u64 = 20_000;
const STEADY_SECONDS: u64 = 20;
/// Observation time after a change; longer than the 9 s of P8, so that a violation is visible.
const CHANGE_TIMEOUT_MS: u64 = 15_000;

/// Failure of the first readers of each zone, counting those that failed before.
struct ReaderFault {
    name: &'static str,
    failed_readers_count: usize,
}

const FAULTS: [ReaderFault; 3] = [
    ReaderFault {
        name: "one_reader_of_each_zone_fails",
        failed_readers_count: 1,
    },
    ReaderFault {
        name: "two_readers_of_each_zone_fail",
        failed_readers_count: 2,
    },
    ReaderFault {
        name: "all_readers_of_each_zone_fail",
        failed_readers_count: usize::MAX,
    },
];

pub(crate) fn run(report: &mut Report) {
    for processes in PROCESS_COUNTS {
        let mut simulation = Simulation::new(processes);
        simulation.run(SETTLE_MS);
        let start = peak_calls(&simulation);
        report.add("platform_calls_peak_at_start", "calls/s", processes, start);
        measure_steady_state(report, &mut simulation, processes);
        measure_change(report, &mut simulation, processes, "without_fault");
        for fault in FAULTS {
            stop_readers(&mut simulation, fault.failed_readers_count);
            measure_change(report, &mut simulation, processes, fault.name);
        }
    }
}

fn peak_calls(simulation: &Simulation) -> f64 {
    simulation.calls.values().copied().max().unwrap_or(0) as f64
}

fn measure_steady_state(report: &mut Report, simulation: &mut Simulation, processes: usize) {
    simulation.calls.clear();
    let before: Vec<u64> = simulation
        .nodes
        .iter()
        .map(|node| node.sent_bytes)
        .collect();
    simulation.run(STEADY_SECONDS * 1_000);
    let seconds = STEADY_SECONDS as f64;
    let calls: u64 = simulation.calls.values().sum();
    report.add(
        "platform_calls_steady",
        "calls/s",
        processes,
        calls as f64 / seconds,
    );
    let watching = simulation
        .nodes
        .iter()
        .filter(|n| n.distribution.is_watching());
    report.add("readers", "processes", processes, watching.count() as f64);
    let reading = simulation.nodes.iter();
    let reading = reading.filter(|n| n.distribution.is_reading_hosts());
    report.add(
        "hosts_readers",
        "processes",
        processes,
        reading.count() as f64,
    );
    let sent = simulation.nodes.iter().zip(before);
    let most = sent.map(|(node, before)| node.sent_bytes - before).max();
    let rate = most.unwrap_or(0) as f64 / seconds;
    report.add("busiest_reader_sent_steady", "bytes/s", processes, rate);
}

/// Publishes a change right after a fault and measures when it is in effect.
fn measure_change(report: &mut Report, simulation: &mut Simulation, processes: usize, case: &str) {
    simulation.calls.clear();
    simulation.run(1);
    let since = simulation.now;
    simulation.publish();
    simulation.publish_hosts();
    simulation.run(CHANGE_TIMEOUT_MS);
    let slowest = simulation.slowest_lists_update(since);
    let ms = slowest.map_or(f64::INFINITY, |slowest| slowest.0 as f64 / 1_000.0);
    report.add(&format!("change_in_force_{case}"), "ms", processes, ms);
    let slowest = simulation.slowest_hosts_update(since);
    let ms = slowest.map_or(f64::INFINITY, |slowest| slowest.0 as f64 / 1_000.0);
    report.add(&format!("hosts_in_use_{case}"), "ms", processes, ms);
    let calls = peak_calls(simulation);
    report.add(
        &format!("platform_calls_peak_{case}"),
        "calls/s",
        processes,
        calls,
    );
}

/// Stops the first readers of each zone, in the order of the published host list.
fn stop_readers(simulation: &mut Simulation, count: usize) {
    let entries = simulation.hosts.hosts.iter();
    let zones: BTreeSet<AvailabilityZoneName> = entries.map(|entry| entry.zone.clone()).collect();
    let readers = zones.iter().flat_map(|zone| {
        readers_of_zone(&simulation.hosts, zone)
            .into_iter()
            .take(count)
    });
    let stopped: Vec<HostId> = readers.map(|entry| entry.host.clone()).collect();
    stopped.iter().for_each(|host| simulation.stop(host));
}
