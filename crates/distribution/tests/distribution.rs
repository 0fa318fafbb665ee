//! Revisions reach every process in time and within the platform's call rate.

mod world;

use cuminlead_distribution::limits::{
    CONFIRM_INTERVAL, CONFIRM_LIMIT, CONFIRM_RETRY, HOSTS_INTERVAL, HOSTS_QUERY_JITTER_MAX,
    QUERY_INTERVAL_MIN, READERS_COUNT, STANDBYS_COUNT, WATCH_INTERVAL_MIN, readers_count,
};
use cuminlead_distribution::{Identity, candidates, readers_of_zone};
use cuminlead_lists::{HostList, HostState};
use cuminlead_types::{Revision, TimeUs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use world::{World, host};
use yare::parameterized;

/// Bound of P8.
const IN_FORCE_MS: u64 = 9_000;
/// Bound of P6.
const OUT_OF_USE_MS: u64 = 5_000;
/// Time for a started fleet to find its readers.
const SETTLE_MS: u64 = 15_000;
const NODES_COUNT: usize = 18;
const ZONES_COUNT: usize = 3;
/// Processes of a fleet whose zones have four readers, of which two read the host list.
const MANY_NODES_COUNT: usize = 48;

fn settled(seed: u64) -> World {
    settled_with(NODES_COUNT, seed)
}

fn settled_with(nodes_count: usize, seed: u64) -> World {
    let mut world = World::new(nodes_count, ZONES_COUNT, seed);
    world.run(SETTLE_MS);
    assert_eq!(world.behind(), Vec::<usize>::new());
    let readers = readers_count(nodes_count / ZONES_COUNT);
    assert_eq!(world.watching().len(), ZONES_COUNT * readers);
    assert_eq!(world.reading_hosts(), ZONES_COUNT * READERS_COUNT);
    world
}

/// Hosts of one zone, the highest rank first.
fn ranked(world: &World, zone: usize) -> Vec<usize> {
    let mut list = world.hosts.clone();
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
    /// This many hosts of each zone stop, the highest ranks first.
    Stopped(usize),
    /// This many hosts of each zone neither reach others nor are reached.
    Unreachable(usize),
    /// This many hosts of each zone do not reach the platform.
    WithoutPlatform(usize),
    /// No host of the first zone reaches the platform.
    ZoneWithoutPlatform,
    /// No process reaches another one.
    Scattered,
    /// This many hosts of each zone are served by a stale replica.
    StaleReaders(usize),
    /// All hosts of the first zone are served by a stale replica.
    StaleZone,
}

impl Fault {
    fn begin(self, world: &mut World) {
        for zone in 0..ZONES_COUNT {
            let ranked = ranked(world, zone);
            match self {
                Self::None => {}
                Self::Stopped(count) => ranked[..count].iter().for_each(|n| world.stop(*n)),
                Self::Unreachable(count) => world.cut_from_peers.extend(&ranked[..count]),
                Self::WithoutPlatform(count) => world.cut_from_platform.extend(&ranked[..count]),
                Self::ZoneWithoutPlatform if zone == 0 => world.cut_from_platform.extend(ranked),
                Self::ZoneWithoutPlatform => {}
                Self::Scattered => world.cut_from_peers.extend(ranked),
                Self::StaleReaders(count) => world.serve_stale(&ranked[..count]),
                Self::StaleZone if zone == 0 => world.serve_stale(&ranked),
                Self::StaleZone => {}
            }
        }
    }
}

/// Guards against a change that takes longer than P8 allows: right after the fault, and again
/// later, when a first question to the platform no longer hides that nobody is followed.
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
    scattered = { Fault::Scattered, false },
    stale_reader = { Fault::StaleReaders(1), true },
    stale_zone = { Fault::StaleZone, true },
)]
fn change_is_in_force_in_time(fault: Fault, is_repeated: bool) {
    for seed in 0..8 {
        let mut world = settled(seed);
        fault.begin(&mut world);
        // Deltas of a healthy reader arrive at once, so the change comes after the last message.
        world.run(1);
        world.publish();
        world.run(IN_FORCE_MS);
        assert_eq!(
            world.behind(),
            Vec::<usize>::new(),
            "{fault:?}, seed {seed}"
        );
        for pause_ms in [0, 1_234, 9_876] {
            world.run(pause_ms);
            world.publish();
            world.run(IN_FORCE_MS);
            if is_repeated {
                assert_eq!(
                    world.behind(),
                    Vec::<usize>::new(),
                    "{fault:?} later, seed {seed}"
                );
            }
        }
    }
}

/// Guards against a leaving host that stays in use for longer than P6 allows, because two hosts of a
/// zone read the host list for all: a change at once after the fault, while the fault is being
/// noticed, and after that. Where no host of a zone is left that may read, later changes are learned
/// with the questions of each process, 10 s apart.
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
    scattered = { Fault::Scattered, false },
    stale_reader = { Fault::StaleReaders(1), true },
    stale_zone = { Fault::StaleZone, true },
)]
fn leaving_host_is_known_in_time(fault: Fault, is_repeated: bool) {
    for nodes_count in [NODES_COUNT, MANY_NODES_COUNT] {
        // The first process asks the platform 1 s after the fault at the earliest, when a heartbeat was
        // due just then.
        let noticed_max_ms = if is_repeated { 4_000 } else { 900 };
        for (seed, noticed_ms) in (100..=noticed_max_ms).step_by(400).enumerate() {
            let mut world = settled_with(nodes_count, seed as u64);
            let leaving = *ranked(&world, 1).last().expect("host");
            fault.begin(&mut world);
            let repeats = if is_repeated { 3 } else { 1 };
            for pause_ms in [noticed_ms, 1_234, 9_876].into_iter().take(repeats) {
                world.run(pause_ms);
                world.publish_leaving(&[leaving]);
                world.run(OUT_OF_USE_MS);
                let behind = world.behind_on_hosts();
                assert_eq!(
                    behind,
                    Vec::<usize>::new(),
                    "{fault:?}, {nodes_count}, {noticed_ms}"
                );
            }
        }
    }
}

/// Guards against readers that read the host list for good after the first two were gone for a
/// while, and against readers that never do.
#[test]
fn first_two_read_the_host_list_again() {
    let mut world = settled_with(MANY_NODES_COUNT, 12);
    Fault::WithoutPlatform(2).begin(&mut world);
    world.run(5_000);
    assert!(world.reading_hosts() > ZONES_COUNT * READERS_COUNT);
    world.cut_from_platform.clear();
    world.run(SETTLE_MS);
    assert_eq!(world.reading_hosts(), ZONES_COUNT * READERS_COUNT);
}

/// Guards against a process that stays with a standby or another zone after its readers are back.
#[test]
fn readers_take_over_again() {
    let mut world = settled(3);
    Fault::Unreachable(2).begin(&mut world);
    world.run(20_000);
    assert!(world.watching().len() > ZONES_COUNT * READERS_COUNT);
    world.cut_from_peers.clear();
    world.run(30_000);
    assert_eq!(world.watching().len(), ZONES_COUNT * READERS_COUNT);
    world.publish();
    world.run(1_000);
    assert_eq!(world.behind(), Vec::<usize>::new());
}

/// Guards against readers that are gone from the host list and are still relied on.
#[test]
fn host_list_moves_readers() {
    let mut world = settled(4);
    let before = world.watching();
    world.publish_leaving(&before);
    world.run(IN_FORCE_MS);
    for node in &world.nodes {
        assert_eq!(node.distribution.revisions().hosts, Revision(2));
    }
    // Deputies watch until they have heard the new readers confirm.
    world.run(SETTLE_MS);
    let after = world.watching();
    assert_eq!(after.len(), ZONES_COUNT * READERS_COUNT);
    assert!(after.iter().all(|number| !before.contains(number)));
}

/// Guards against a fresh process that accepts work with lists older than its peers have.
#[parameterized(
    service_down = { true, None },
    service_stale = { false, Some(1) },
)]
fn fresh_process_takes_the_highest_revision(is_down: bool, stale: Option<u64>) {
    let mut world = settled(5);
    world.publish();
    world.run(IN_FORCE_MS);
    world.is_lists_down = is_down;
    let numbers: Vec<usize> = (0..NODES_COUNT).collect();
    for number in numbers {
        world.stale.extend(stale.map(|revision| (number, revision)));
        world.stop(number);
        world.run(500);
        world.restart(number);
        while !world.nodes[number].distribution.is_ready() {
            world.run(1);
        }
        assert_eq!(world.revision(number), 2, "process {number}");
    }
}

/// Guards against work that is accepted before any lists are known.
#[test]
fn process_without_lists_is_not_ready() {
    let mut world = World::new(4, 2, 6);
    world.is_lists_down = true;
    world.run(30_000);
    assert!(world.nodes.iter().all(|node| !node.distribution.is_ready()));
    world.is_lists_down = false;
    world.run(IN_FORCE_MS);
    assert!(world.nodes.iter().all(|node| node.distribution.is_ready()));
}

/// Guards against an invalid snapshot that is asked for again and again, that spoils the
/// confirmation of the valid one, or that keeps a later valid one out.
#[test]
fn invalid_snapshot_is_refused_once() {
    let mut world = settled(11);
    world.invalid.insert(2);
    world.publish();
    for _ in 0..100 {
        world.run(1_000);
        check_budget(&world);
    }
    for (number, node) in world.nodes.iter().enumerate() {
        assert_eq!(world.revision(number), 1);
        let age = node.distribution.confirmed_age(world.now);
        assert!(age <= CONFIRM_INTERVAL + CONFIRM_LIMIT + CONFIRM_RETRY);
    }
    assert_eq!(world.refused_count, ZONES_COUNT * READERS_COUNT);
    world.publish();
    world.run(IN_FORCE_MS);
    assert_eq!(world.behind(), Vec::<usize>::new());
}

/// Guards against lists that are taken as confirmed while nobody reaches the platform.
#[test]
fn confirmation_grows_old_without_the_platform() {
    const DOWN_MS: u64 = 120_000;
    let mut world = settled(7);
    world.is_lists_down = true;
    world.run(DOWN_MS);
    for node in &world.nodes {
        let age = node.distribution.confirmed_age(world.now);
        assert!(age.as_ms() >= DOWN_MS, "{age}");
    }
    world.is_lists_down = false;
    world.run(SETTLE_MS);
    for node in &world.nodes {
        assert!(node.distribution.confirmed_age(world.now).as_ms() < SETTLE_MS);
    }
}

/// Guards against heartbeats that confirm as if they were fresh, although they waited for a
/// paused process to resume, and against a process that does not catch up after its pause.
#[test]
fn paused_process_does_not_count_old_messages() {
    const PAUSE_MS: u64 = 100_000;
    for number in 0..6 {
        let mut world = settled(8);
        world.pause(number, PAUSE_MS);
        world.run(PAUSE_MS - 1);
        world.publish();
        world.cut_from_platform.insert(number);
        world.cut_from_peers.insert(number);
        world.run(5_000);
        let age = world.nodes[number].distribution.confirmed_age(world.now);
        assert!(age.as_ms() >= PAUSE_MS, "process {number}: {age}");
        world.cut_from_platform.clear();
        world.cut_from_peers.clear();
        world.run(IN_FORCE_MS);
        assert_eq!(world.behind(), Vec::<usize>::new(), "process {number}");
    }
}

/// Guards against followers that are never asked to confirm again, so that agents would refuse
/// keyed calls although nothing is wrong.
#[test]
fn confirmation_is_renewed() {
    let mut world = settled(10);
    for _ in 0..40 {
        world.run(5_000);
        for node in &world.nodes {
            let age = node.distribution.confirmed_age(world.now);
            assert!(
                age <= CONFIRM_INTERVAL + CONFIRM_LIMIT + CONFIRM_RETRY,
                "{age}"
            );
        }
    }
}

fn check_intervals(times: &[TimeUs], at_once: usize, min_us: u64) {
    // Both values are asked for at the same time, so calls come in groups.
    for (earlier, later) in times.iter().zip(times.iter().skip(at_once)) {
        assert!(
            later.since(*earlier).get() >= min_us,
            "{earlier} and {later}"
        );
    }
}

/// Calls of the processes stay within their intervals, and few processes watch.
fn check_budget(world: &World) {
    for node in &world.nodes {
        check_intervals(&node.queries, 2, QUERY_INTERVAL_MIN.get());
        check_intervals(&node.watches, 2, WATCH_INTERVAL_MIN.get());
        check_intervals(&node.host_readings, 1, HOSTS_INTERVAL.get());
    }
    let watching_max = ZONES_COUNT * (READERS_COUNT + STANDBYS_COUNT);
    assert!(world.watching().len() <= watching_max);
    assert!(world.reading_hosts() <= watching_max);
}

/// Guards against limits that exceed the 2,000 calls/s of the configuration service at the design
/// scale, with every process in its worst state.
#[test]
fn limits_hold_the_budget_of_the_design_scale() {
    let processes_count = 370 + 2_300;
    let watching_count = 6 * (READERS_COUNT + STANDBYS_COUNT) as u64;
    let calls_each_10_s = 10_000_000 / QUERY_INTERVAL_MIN.get() * processes_count
        + 10_000_000 / WATCH_INTERVAL_MIN.get() * watching_count;
    assert!(2 * calls_each_10_s / 10 <= 2_000, "{calls_each_10_s}");
    let hosts_questions = processes_count * 1_000_000 / HOSTS_QUERY_JITTER_MAX.get();
    assert!(hosts_questions <= 2_000, "{hosts_questions}");
}

/// Guards against calls beyond the budget when every process is cut off, or the service is down.
#[parameterized(
    scattered = { true, false },
    service_down = { false, true },
)]
fn budget_holds_when_nothing_confirms(is_scattered: bool, is_down: bool) {
    let mut world = settled(9);
    if is_scattered {
        Fault::Scattered.begin(&mut world);
    }
    world.is_lists_down = is_down;
    for _ in 0..60 {
        world.run(1_000);
        check_budget(&world);
    }
}

/// Guards against an election that differs between processes, chooses a leaving host, or moves
/// the readers of a zone when another zone changes.
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

/// Guards against readers that grow as fast as the fleet, or so slowly that the heartbeats to their
/// followers exceed what control may cost a node.
#[parameterized(
    small_zone = { 3, 2 },
    ten_hosts = { 10, 3 },
    full_size = { 445, 21 },
    four_times_full_size = { 1_780, 42 },
)]
fn readers_grow_with_the_square_root(hosts: usize, readers: usize) {
    assert_eq!(readers_count(hosts), readers);
}

/// Guards against followers that choose the same few readers of their zone.
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
        let own = Identity {
            host: entry.host.clone(),
            region: entry.region.clone(),
            zone: entry.zone.clone(),
        };
        let candidates = candidates(&list, &own);
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

    /// Guards against a process that stays behind for longer than P8 allows once messages are no
    /// longer lost, whatever was lost before, and against calls beyond the budget meanwhile.
    #[test]
    fn newest_revision_is_reached_after_losses(
        seed: u64,
        loss in 0.0..0.5f64,
        pauses_ms in prop::collection::vec(0u64..6_000, 1..8),
    ) {
        let mut world = settled(seed);
        // The readers stay the same, so that the bound of their number holds at all times.
        let leaving = *ranked(&world, 2).last().expect("host");
        world.loss = loss;
        for pause_ms in pauses_ms {
            world.run(pause_ms);
            world.publish();
            world.publish_leaving(&[leaving]);
            check_budget(&world);
        }
        world.loss = 0.0;
        world.run(IN_FORCE_MS);
        prop_assert_eq!(world.behind(), Vec::<usize>::new());
        prop_assert_eq!(world.behind_on_hosts(), Vec::<usize>::new());
        check_budget(&world);
    }
}
