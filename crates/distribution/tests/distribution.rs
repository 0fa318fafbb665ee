//! Tests that new revisions reach every process in time and within the platform's call rate.

mod simulation;

use cuminlead_distribution::limits::{
    CONFIRM_AGE_MAX, CONFIRM_INTERVAL, CONFIRM_RETRY_INTERVAL, HOSTS_QUERY_JITTER_MAX,
    HOSTS_READ_INTERVAL, QUERY_INTERVAL_MIN, READERS_COUNT, STANDBYS_COUNT, WATCH_INTERVAL_MIN,
    readers_count,
};
use cuminlead_distribution::{Identity, candidates, readers_of_zone};
use cuminlead_lists::{HostList, HostState};
use cuminlead_types::{Revision, TimeUs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use simulation::{Simulation, host};
use yare::parameterized;

/// Bound of promise P8: a change of the lists is in effect everywhere.
const CHANGE_BOUND_MS: u64 = 9_000;
/// Bound of promise P6: a leaving host gets no new requests.
const LEAVING_BOUND_MS: u64 = 5_000;
/// Time for a started fleet to install the lists and find its readers.
const CONVERGENCE_MS: u64 = 15_000;
const NODES_COUNT: usize = 18;
const ZONES_COUNT: usize = 3;
/// Number of processes in a fleet whose zones have four readers, of which two read the host list.
const MANY_NODES_COUNT: usize = 48;

fn converged(seed: u64) -> Simulation {
    converged_fleet(NODES_COUNT, seed)
}

fn converged_fleet(nodes_count: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(nodes_count, ZONES_COUNT, seed);
    simulation.run(CONVERGENCE_MS);
    assert_eq!(simulation.nodes_behind(), Vec::<usize>::new());
    let readers = readers_count(nodes_count / ZONES_COUNT);
    assert_eq!(simulation.watching_nodes().len(), ZONES_COUNT * readers);
    assert_eq!(
        simulation.hosts_readers_count(),
        ZONES_COUNT * READERS_COUNT
    );
    simulation
}

/// Hosts of one zone, the highest rank first.
fn ranked(simulation: &Simulation, zone: usize) -> Vec<usize> {
    let mut list = simulation.hosts.clone();
    let zone = host(zone, ZONES_COUNT).zone;
    let mut ranked = Vec::new();
    loop {
        let readers = readers_of_zone(&list, &zone);
        let Some(first) = readers.first().map(|entry| entry.host.clone()) else {
            return ranked;
        };
        let number = first.as_str()[1..].parse().expect("number");
        ranked.push(number);
        list.hosts[number].state = HostState::Leaving;
    }
}

/// Fault that begins just before a change.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// This number of hosts in each zone stop, the highest ranks first.
    Stopped(usize),
    /// This number of hosts in each zone cannot reach other hosts or be reached by them.
    Unreachable(usize),
    /// This number of hosts in each zone cannot reach the platform.
    WithoutPlatform(usize),
    /// No host of the first zone can reach the platform.
    ZoneWithoutPlatform,
    /// No process can reach another one.
    AllIsolated,
    /// This number of hosts in each zone are served by a stale replica of the platform.
    StaleReaders(usize),
    /// All hosts of the first zone are served by a stale replica of the platform.
    StaleZone,
}

impl Fault {
    fn begin(self, simulation: &mut Simulation) {
        for zone in 0..ZONES_COUNT {
            let ranked = ranked(simulation, zone);
            match self {
                Self::None => {}
                Self::Stopped(count) => ranked[..count].iter().for_each(|n| simulation.stop(*n)),
                Self::Unreachable(count) => simulation.cut_from_peers.extend(&ranked[..count]),
                Self::WithoutPlatform(count) => {
                    simulation.cut_from_platform.extend(&ranked[..count])
                }
                Self::ZoneWithoutPlatform if zone == 0 => {
                    simulation.cut_from_platform.extend(ranked)
                }
                Self::ZoneWithoutPlatform => {}
                Self::AllIsolated => simulation.cut_from_peers.extend(ranked),
                Self::StaleReaders(count) => simulation.serve_stale(&ranked[..count]),
                Self::StaleZone if zone == 0 => simulation.serve_stale(&ranked),
                Self::StaleZone => {}
            }
        }
    }
}

/// Guards against a change that takes longer than P8 allows. Changes come immediately after the
/// fault and again later, when the first query to the platform no longer hides that a process
/// follows no reader.
#[parameterized(
    none = { Fault::None, true },
    reader_stopped = { Fault::Stopped(1), true },
    readers_stopped = { Fault::Stopped(2), true },
    readers_and_standby_stopped = { Fault::Stopped(3), true },
    readers_and_standbys_stopped = { Fault::Stopped(4), true },
    reader_unreachable = { Fault::Unreachable(1), true },
    readers_unreachable = { Fault::Unreachable(2), true },
    readers_and_standby_unreachable = { Fault::Unreachable(3), true },
    reader_without_platform = { Fault::WithoutPlatform(1), true },
    readers_without_platform = { Fault::WithoutPlatform(2), true },
    readers_and_standbys_without_platform = { Fault::WithoutPlatform(4), true },
    zone_without_platform = { Fault::ZoneWithoutPlatform, true },
    all_isolated = { Fault::AllIsolated, false },
    stale_reader = { Fault::StaleReaders(1), true },
    stale_zone = { Fault::StaleZone, true },
)]
fn change_is_in_effect_in_time(fault: Fault, is_repeated: bool) {
    for seed in 0..8 {
        let mut simulation = converged(seed);
        fault.begin(&mut simulation);
        // A healthy reader sends deltas immediately, so the change is published after its last
        // message.
        simulation.run(1);
        simulation.publish();
        simulation.run(CHANGE_BOUND_MS);
        assert_eq!(
            simulation.nodes_behind(),
            Vec::<usize>::new(),
            "{fault:?}, seed {seed}"
        );
        for pause_ms in [0, 1_234, 9_876] {
            simulation.run(pause_ms);
            simulation.publish();
            simulation.run(CHANGE_BOUND_MS);
            if is_repeated {
                assert_eq!(
                    simulation.nodes_behind(),
                    Vec::<usize>::new(),
                    "{fault:?} later, seed {seed}"
                );
            }
        }
    }
}

/// Guards against a leaving host that stays in use for longer than P6 allows, because only two
/// hosts of a zone read the host list for all others. Changes come immediately after the fault,
/// while the fault is being detected, and afterwards. Where a zone has no host left that may read
/// the host list, each process learns of later changes through its own queries, 10 s apart.
#[parameterized(
    none = { Fault::None, true },
    reader_stopped = { Fault::Stopped(1), true },
    readers_stopped = { Fault::Stopped(2), true },
    readers_and_standby_stopped = { Fault::Stopped(3), true },
    readers_and_standbys_stopped = { Fault::Stopped(4), false },
    reader_unreachable = { Fault::Unreachable(1), true },
    readers_unreachable = { Fault::Unreachable(2), true },
    readers_and_standby_unreachable = { Fault::Unreachable(3), true },
    reader_without_platform = { Fault::WithoutPlatform(1), true },
    readers_without_platform = { Fault::WithoutPlatform(2), true },
    readers_and_standbys_without_platform = { Fault::WithoutPlatform(4), false },
    zone_without_platform = { Fault::ZoneWithoutPlatform, true },
    all_isolated = { Fault::AllIsolated, false },
    stale_reader = { Fault::StaleReaders(1), true },
    stale_zone = { Fault::StaleZone, true },
)]
fn leaving_host_is_known_in_time(fault: Fault, is_repeated: bool) {
    for nodes_count in [NODES_COUNT, MANY_NODES_COUNT] {
        // The first process queries the platform 1 s after the fault at the earliest, namely if a
        // heartbeat was due at the time of the fault.
        let noticed_max_ms = if is_repeated { 4_000 } else { 900 };
        for (seed, noticed_ms) in (100..=noticed_max_ms).step_by(400).enumerate() {
            let mut simulation = converged_fleet(nodes_count, seed as u64);
            let leaving = *ranked(&simulation, 1).last().expect("host");
            fault.begin(&mut simulation);
            let repeats = if is_repeated { 3 } else { 1 };
            for pause_ms in [noticed_ms, 1_234, 9_876].into_iter().take(repeats) {
                simulation.run(pause_ms);
                simulation.publish_leaving(&[leaving]);
                simulation.run(LEAVING_BOUND_MS);
                let behind = simulation.nodes_behind_on_hosts();
                assert_eq!(
                    behind,
                    Vec::<usize>::new(),
                    "{fault:?}, {nodes_count}, {noticed_ms}"
                );
            }
        }
    }
}

/// Guards against readers that keep reading the host list after the first two were without the
/// platform for a while, and against readers that never take over.
#[test]
fn first_two_readers_resume_reading_hosts() {
    let mut simulation = converged_fleet(MANY_NODES_COUNT, 12);
    Fault::WithoutPlatform(2).begin(&mut simulation);
    simulation.run(5_000);
    assert!(simulation.hosts_readers_count() > ZONES_COUNT * READERS_COUNT);
    simulation.cut_from_platform.clear();
    simulation.run(CONVERGENCE_MS);
    assert_eq!(
        simulation.hosts_readers_count(),
        ZONES_COUNT * READERS_COUNT
    );
}

/// Guards against a process that stays with a standby or a reader of another zone after the readers
/// of its own zone are reachable again.
#[test]
fn readers_resume_after_reconnection() {
    let mut simulation = converged(3);
    Fault::Unreachable(2).begin(&mut simulation);
    simulation.run(20_000);
    assert!(simulation.watching_nodes().len() > ZONES_COUNT * READERS_COUNT);
    simulation.cut_from_peers.clear();
    simulation.run(30_000);
    assert_eq!(
        simulation.watching_nodes().len(),
        ZONES_COUNT * READERS_COUNT
    );
    simulation.publish();
    simulation.run(1_000);
    assert_eq!(simulation.nodes_behind(), Vec::<usize>::new());
}

/// Guards against processes that still rely on readers which the host list no longer lists as live.
#[test]
fn host_list_change_moves_readers() {
    let mut simulation = converged(4);
    let before = simulation.watching_nodes();
    simulation.publish_leaving(&before);
    simulation.run(CHANGE_BOUND_MS);
    for node in &simulation.nodes {
        assert_eq!(node.distribution.revisions().hosts, Revision(2));
    }
    // Standbys watch until the new readers have confirmed to them.
    simulation.run(CONVERGENCE_MS);
    let after = simulation.watching_nodes();
    assert_eq!(after.len(), ZONES_COUNT * READERS_COUNT);
    assert!(after.iter().all(|number| !before.contains(number)));
}

/// Guards against a starting process that accepts requests with lists older than those of its
/// peers, because the configuration service is down or stale.
#[parameterized(
    service_down = { true, None },
    service_stale = { false, Some(1) },
)]
fn new_process_installs_highest_revision(is_down: bool, stale: Option<u64>) {
    let mut simulation = converged(5);
    simulation.publish();
    simulation.run(CHANGE_BOUND_MS);
    simulation.is_lists_down = is_down;
    let numbers: Vec<usize> = (0..NODES_COUNT).collect();
    for number in numbers {
        simulation
            .stale_revisions
            .extend(stale.map(|revision| (number, revision)));
        simulation.stop(number);
        simulation.run(500);
        simulation.restart(number);
        while !simulation.nodes[number].distribution.is_ready() {
            simulation.run(1);
        }
        assert_eq!(simulation.revision(number), 2, "process {number}");
    }
}

/// Guards against requests that are accepted before any lists are known.
#[test]
fn process_without_lists_is_not_ready() {
    let mut simulation = Simulation::new(4, 2, 6);
    simulation.is_lists_down = true;
    simulation.run(30_000);
    assert!(
        simulation
            .nodes
            .iter()
            .all(|node| !node.distribution.is_ready())
    );
    simulation.is_lists_down = false;
    simulation.run(CHANGE_BOUND_MS);
    assert!(
        simulation
            .nodes
            .iter()
            .all(|node| node.distribution.is_ready())
    );
}

/// Guards against an invalid snapshot that is requested repeatedly, that ends the confirmation of
/// the valid one, or that prevents a later valid one.
#[test]
fn invalid_snapshot_is_refused_once() {
    let mut simulation = converged(11);
    simulation.invalid.insert(2);
    simulation.publish();
    for _ in 0..100 {
        simulation.run(1_000);
        check_call_rates(&simulation);
    }
    for (number, node) in simulation.nodes.iter().enumerate() {
        assert_eq!(simulation.revision(number), 1);
        let age = node.distribution.confirmed_age(simulation.now);
        assert!(age <= CONFIRM_INTERVAL + CONFIRM_AGE_MAX + CONFIRM_RETRY_INTERVAL);
    }
    assert_eq!(simulation.refused_count, ZONES_COUNT * READERS_COUNT);
    simulation.publish();
    simulation.run(CHANGE_BOUND_MS);
    assert_eq!(simulation.nodes_behind(), Vec::<usize>::new());
}

/// Guards against lists that count as confirmed while no process can reach the platform.
#[test]
fn confirmation_ages_without_platform() {
    const DOWN_MS: u64 = 120_000;
    let mut simulation = converged(7);
    simulation.is_lists_down = true;
    simulation.run(DOWN_MS);
    for node in &simulation.nodes {
        let age = node.distribution.confirmed_age(simulation.now);
        assert!(age.as_ms() >= DOWN_MS, "{age}");
    }
    simulation.is_lists_down = false;
    simulation.run(CONVERGENCE_MS);
    for node in &simulation.nodes {
        assert!(node.distribution.confirmed_age(simulation.now).as_ms() < CONVERGENCE_MS);
    }
}

/// Guards against delayed heartbeats, which waited while a process was paused and must not confirm
/// as if they were new, and against a process that does not catch up after its pause.
#[test]
fn paused_process_ignores_delayed_messages() {
    const PAUSE_MS: u64 = 100_000;
    for number in 0..6 {
        let mut simulation = converged(8);
        simulation.pause(number, PAUSE_MS);
        simulation.run(PAUSE_MS - 1);
        simulation.publish();
        simulation.cut_from_platform.insert(number);
        simulation.cut_from_peers.insert(number);
        simulation.run(5_000);
        let age = simulation.nodes[number]
            .distribution
            .confirmed_age(simulation.now);
        assert!(age.as_ms() >= PAUSE_MS, "process {number}: {age}");
        simulation.cut_from_platform.clear();
        simulation.cut_from_peers.clear();
        simulation.run(CHANGE_BOUND_MS);
        assert_eq!(
            simulation.nodes_behind(),
            Vec::<usize>::new(),
            "process {number}"
        );
    }
}

/// Guards against followers that do not renew their confirmation, so that agents would refuse calls
/// with an idempotency key although nothing has failed.
#[test]
fn confirmation_is_renewed() {
    let mut simulation = converged(10);
    for _ in 0..40 {
        simulation.run(5_000);
        for node in &simulation.nodes {
            let age = node.distribution.confirmed_age(simulation.now);
            assert!(
                age <= CONFIRM_INTERVAL + CONFIRM_AGE_MAX + CONFIRM_RETRY_INTERVAL,
                "{age}"
            );
        }
    }
}

fn check_intervals(times: &[TimeUs], concurrent_count: usize, min_us: u64) {
    // Both resources are queried at the same time, so calls come in groups.
    for (earlier, later) in times.iter().zip(times.iter().skip(concurrent_count)) {
        assert!(
            later.since(*earlier).get() >= min_us,
            "{earlier} and {later}"
        );
    }
}

/// Checks that the calls of each process keep their intervals and that few processes watch.
fn check_call_rates(simulation: &Simulation) {
    for node in &simulation.nodes {
        check_intervals(&node.queries, 2, QUERY_INTERVAL_MIN.get());
        check_intervals(&node.watches, 2, WATCH_INTERVAL_MIN.get());
        check_intervals(&node.host_readings, 1, HOSTS_READ_INTERVAL.get());
    }
    let watching_max = ZONES_COUNT * (READERS_COUNT + STANDBYS_COUNT);
    assert!(simulation.watching_nodes().len() <= watching_max);
    assert!(simulation.hosts_readers_count() <= watching_max);
}

/// Guards against limits that exceed the 2,000 calls/s of the configuration service at the design
/// scale, with every process in its worst state.
#[test]
fn limits_keep_call_rate_at_design_scale() {
    let processes_count = 370 + 2_300;
    let watching_count = 6 * (READERS_COUNT + STANDBYS_COUNT) as u64;
    let calls_each_10_s = 10_000_000 / QUERY_INTERVAL_MIN.get() * processes_count
        + 10_000_000 / WATCH_INTERVAL_MIN.get() * watching_count;
    assert!(2 * calls_each_10_s / 10 <= 2_000, "{calls_each_10_s}");
    let hosts_queries = processes_count * 1_000_000 / HOSTS_QUERY_JITTER_MAX.get();
    assert!(hosts_queries <= 2_000, "{hosts_queries}");
}

/// Guards against calls above the permitted rate when no process reaches another one or the service
/// is down.
#[parameterized(
    all_isolated = { true, false },
    service_down = { false, true },
)]
fn call_rates_hold_without_confirmation(is_isolated: bool, is_down: bool) {
    let mut simulation = converged(9);
    if is_isolated {
        Fault::AllIsolated.begin(&mut simulation);
    }
    simulation.is_lists_down = is_down;
    for _ in 0..60 {
        simulation.run(1_000);
        check_call_rates(&simulation);
    }
}

/// Guards against an election that differs between processes, elects a leaving host, or changes the
/// readers of a zone when another zone changes.
#[test]
fn readers_are_elected_by_zone() {
    let hosts: Vec<_> = (0..30).map(|number| host(number, 3)).collect();
    let list = HostList {
        revision: Revision(1),
        hosts,
    };
    let zone = &list.hosts[0].zone;
    let readers: Vec<_> = readers_of_zone(&list, zone).into_iter().cloned().collect();
    assert_eq!(readers.len(), readers_count(10));
    let mut reversed = list.clone();
    reversed.hosts.reverse();
    reversed
        .hosts
        .retain(|entry| entry.zone == *zone || entry.host.as_str() > "h2");
    let again: Vec<_> = readers_of_zone(&reversed, zone)
        .into_iter()
        .cloned()
        .collect();
    assert_eq!(readers, again);
    let mut changed = list.clone();
    let entries = changed.hosts.iter_mut();
    entries
        .filter(|entry| entry.host == readers[0].host)
        .for_each(|entry| entry.state = HostState::Leaving);
    let others = readers_of_zone(&changed, zone);
    assert!(others.iter().all(|entry| entry.host != readers[0].host));
    assert!(others.iter().any(|entry| entry.host == readers[1].host));
}

/// Guards against a number of readers that grows as fast as the fleet, or so slowly that the
/// heartbeats to their followers exceed the control traffic that a node may cost.
#[parameterized(
    small_zone = { 3, 2 },
    ten_hosts = { 10, 3 },
    full_size = { 445, 21 },
    four_times_full_size = { 1_780, 42 },
)]
fn readers_grow_with_the_square_root(hosts: usize, readers: usize) {
    assert_eq!(readers_count(hosts), readers);
}

/// Guards against followers that all choose the same few readers of their zone.
#[test]
fn followers_spread_over_the_readers() {
    const HOSTS_COUNT: usize = 400;
    let hosts: Vec<_> = (0..HOSTS_COUNT).map(|number| host(number, 1)).collect();
    let list = HostList {
        revision: Revision(1),
        hosts,
    };
    let readers = readers_of_zone(&list, &list.hosts[0].zone);
    let mut followers = vec![0; readers.len()];
    for entry in &list.hosts {
        let local = Identity {
            host: entry.host.clone(),
            region: entry.region.clone(),
            zone: entry.zone.clone(),
        };
        let candidates = candidates(&list, &local);
        let first = &candidates.peers[0].host;
        let rank = readers.iter().position(|reader| reader.host == *first);
        if !candidates.is_reader() {
            followers[rank.expect("a follower prefers a reader of its zone")] += 1;
        }
    }
    let fair_share = HOSTS_COUNT / readers.len();
    let spread = fair_share / 3..=fair_share * 2;
    assert!(
        followers.iter().all(|count| spread.contains(count)),
        "{followers:?}"
    );
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(21),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        cases: 64,
        ..Config::default()
    })]

    /// Guards against a process that stays behind for longer than P8 allows after a phase in which
    /// messages were lost, and against calls above the permitted rate in the meantime.
    #[test]
    fn newest_revision_is_reached_after_losses(
        seed: u64,
        loss in 0.0..0.5f64,
        pauses_ms in prop::collection::vec(0u64..6_000, 1..8),
    ) {
        let mut simulation = converged(seed);
        // The leaving host is not a reader, so the readers and the bound on their number stay the
        // same.
        let leaving = *ranked(&simulation, 2).last().expect("host");
        simulation.loss = loss;
        for pause_ms in pauses_ms {
            simulation.run(pause_ms);
            simulation.publish();
            simulation.publish_leaving(&[leaving]);
            check_call_rates(&simulation);
        }
        simulation.loss = 0.0;
        simulation.run(CHANGE_BOUND_MS);
        prop_assert_eq!(simulation.nodes_behind(), Vec::<usize>::new());
        prop_assert_eq!(simulation.nodes_behind_on_hosts(), Vec::<usize>::new());
        check_call_rates(&simulation);
    }
}
