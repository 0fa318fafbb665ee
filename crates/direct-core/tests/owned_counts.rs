//! Agents that own the counts which all entries share.

mod support;

use std::net::SocketAddr;

use cuminlead_direct_core::owned_counts::owner_order;
use cuminlead_direct_core::{
    OwnedCounts, RegistryUpdate, ServerRecord, ServerState, ServingState, Stage,
};
use cuminlead_types::{DurationUs, MillirequestsPerSecond, UnixMs};
use support::{ENGINES, ms, record, serving};
use yare::parameterized;

/// Present wall-clock time.
const NOW_MS: u64 = 1_000_000;
/// Longest time for which the registry answers some entries only.
const SILENT_MS: u64 = 9_000;
/// Teams whose owners are compared.
const TEAMS_COUNT: usize = 50;

/// Engine that started the given time ago.
fn engine(index: usize, age_ms: u64) -> ServerRecord {
    let mut engine = record(&format!("e{index}"), ENGINES, "a1", Some(Stage::Decode));
    engine.started_at_ms = UnixMs(NOW_MS - age_ms);
    engine
}

fn view(records: &[ServerRecord]) -> ServingState {
    let mut serving = serving();
    for record in records {
        serving.apply(ms(0), RegistryUpdate::Server(record.clone()));
    }
    serving
}

/// First owner of each team's usage by the view of an entry.
fn first_owners(serving: &ServingState) -> Vec<Option<SocketAddr>> {
    let owner = |team: usize| {
        let engines = serving.servers.iter();
        let engines = engines.map(|(_, engine)| (engine.record.address, engine));
        let order = owner_order(UnixMs(NOW_MS), &format!("team-{team}"), engines);
        order.first().map(|owner| owner.agent)
    };
    (0..TEAMS_COUNT).map(owner).collect()
}

fn established() -> Vec<ServerRecord> {
    (0..8).map(|index| engine(index, 60_000)).collect()
}

/// Guards against two owners of one count while the registry does not answer some entries, which do
/// not know the engines that have started since.
#[parameterized(
    just_started = { 0 },
    known_to_some = { SILENT_MS },
    clocks_differ = { SILENT_MS + 2_000 },
)]
fn engine_that_some_entries_do_not_know_changes_no_owner(age_ms: u64) {
    let behind = view(&established());
    let mut records = established();
    records.extend((10..16).map(|index| engine(index, age_ms)));
    assert_eq!(first_owners(&view(&records)), first_owners(&behind));
}

/// Guards against engines that never take a part of the counts.
#[test]
fn established_engine_takes_its_part() {
    let before = first_owners(&view(&established()));
    let mut records = established();
    records.push(engine(10, 12_000));
    let added = records[8].address;
    let after = first_owners(&view(&records));
    let moved = after.iter().filter(|owner| **owner == Some(added)).count();
    assert!(moved > 0);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || *after == Some(added));
    }
}

/// Guards against counts without an owner while all engines are new, as after the start of all
/// processes.
#[test]
fn new_engines_own_counts_if_there_are_no_others() {
    let records: Vec<_> = (0..3).map(|index| engine(index, 100)).collect();
    let owners = first_owners(&view(&records));
    assert!(owners.iter().all(Option::is_some));
}

/// Guards against two owners of one count while an engine leaves: the entries that know that it is
/// draining choose the agent to which the leaving one sends the others.
#[test]
fn entries_with_and_without_the_notice_find_the_same_next_owner() {
    let behind = view(&established());
    let mut records = established();
    records[3].state = ServerState::Draining;
    let leaving = records[3].address;
    let ahead = first_owners(&view(&records));
    for (team, ahead) in ahead.into_iter().enumerate() {
        let engines = behind.servers.iter();
        let engines = engines.map(|(_, engine)| (engine.record.address, engine));
        let mut order = owner_order(UnixMs(NOW_MS), &format!("team-{team}"), engines);
        // The agent of the leaving engine owns no counts.
        order.retain(|owner| owner.agent != leaving);
        let first = order.first().map(|owner| owner.agent);
        assert_eq!(first, ahead);
    }
}

/// Guards against permits from an agent that entries which know of its leaving no longer ask.
#[test]
fn agent_of_a_leaving_engine_grants_only_permits_of_that_engine() {
    let mut counts = OwnedCounts::default();
    let rate = MillirequestsPerSecond(20_000);
    let [server, engine] = ["s1", "e1"].map(|id| id.parse().expect("a valid fixture"));
    let now = ms(1_000);
    assert!(counts.take_permits(now, true, &server, rate, 1).is_some());
    assert_eq!(counts.take_permits(now, false, &server, rate, 1), None);
    let later = now + DurationUs::from_ms(100);
    let own = counts.take_engine_permit(later, &engine, rate);
    assert_eq!(own.granted_count, 1);
}
