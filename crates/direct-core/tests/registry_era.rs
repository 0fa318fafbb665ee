//! Registry that is restored from an older copy, and an entry that it does not answer.

mod support;

use cuminlead_direct_core::registry::{Page, RegistryEntry};
use cuminlead_direct_core::{
    Published, Query, RegistryError, RegistrySilence, RegistryUpdate, RegistryWatcher, ServerState,
};
use cuminlead_types::{DurationUs, Era, Revision, TimeUs, UnixMs};
use support::{PLAIN, ms, operator_config, record};

/// Entry of a server, as `id`, `id draining` or `id @started_at_ms`; `-id` is a removal, and
/// `config N` a configuration.
fn entry(text: &str, revision: u64) -> RegistryEntry {
    let (first, second) = text.split_once(' ').unwrap_or((text, ""));
    let published = if first == "config" {
        let version = second.parse().expect("a valid fixture");
        Published::OperatorConfig(Box::new(operator_config(version, &["/x/"])))
    } else if let Some(id) = first.strip_prefix('-') {
        Published::ServerRemoved(id.parse().expect("a valid fixture"))
    } else {
        let mut record = record(first, PLAIN, "a1", None);
        if second == "draining" {
            record.state = ServerState::Draining;
        } else if let Some(started_at_ms) = second.strip_prefix('@') {
            record.started_at_ms = UnixMs(started_at_ms.parse().expect("a valid fixture"));
        }
        Published::Server(record)
    };
    RegistryEntry {
        revision: Revision(revision),
        published,
    }
}

fn page(era: u64, revision: u64, entries: &[(&str, u64)]) -> Result<Page, RegistryError> {
    let entries = entries.iter().map(|(text, at)| entry(text, *at));
    Ok(Page {
        entries: entries.collect(),
        next: None,
        revision: Revision(revision),
        era: Some(Era(era)),
    })
}

fn texts(updates: &[RegistryUpdate]) -> Vec<String> {
    let text = |update: &RegistryUpdate| match update {
        RegistryUpdate::OperatorConfig(config) => format!("version {}", config.version()),
        RegistryUpdate::Server(record) => format!("{} {}", record.id, record.state),
        RegistryUpdate::ServerRemoved(id) => format!("removed {id}"),
        RegistryUpdate::HeldBack(id) => format!("held back {id}"),
        RegistryUpdate::EraChanged { .. } => "era changed".to_string(),
        RegistryUpdate::EraRecovered => "recovered".to_string(),
        RegistryUpdate::Lost(error) => format!("lost: {error}"),
        RegistryUpdate::Regained => "regained".to_string(),
        RegistryUpdate::Synced(_) => "synced".to_string(),
        RegistryUpdate::Unusable { key, .. } => format!("unusable {key}"),
    };
    updates.iter().map(text).collect()
}

/// Watcher of era 1 with version 5, `ready` and `draining` at revision 100, and the removed `gone`.
/// The time is 1 s.
fn synced() -> RegistryWatcher {
    let mut watcher = RegistryWatcher::new();
    watcher.handle(ms(0), page(1, 90, &[("config 5", 3)]));
    let listed = [("ready", 100), ("draining draining", 100), ("gone", 90)];
    watcher.handle(ms(0), page(1, 100, &listed));
    let updates = watcher.handle(ms(1_000), page(1, 101, &[("-gone", 101)]));
    assert_eq!(texts(&updates), ["removed gone"]);
    watcher
}

/// Watcher at 2 s whose registry was restored; the first response of era 2 had revision 50.
fn restored() -> RegistryWatcher {
    let mut watcher = synced();
    let updates = watcher.handle(ms(2_000), page(2, 50, &[("ready draining", 50)]));
    assert_eq!(texts(&updates), ["era changed"]);
    watcher
}

/// Lists the registry of era 2 at a time, with version 4 of the configuration.
fn list(watcher: &mut RegistryWatcher, at: TimeUs, servers: &[(&str, u64)]) -> Vec<String> {
    assert!(matches!(watcher.query(), Query::List { .. }));
    let mut updates = watcher.handle(at, page(2, 60, &[("config 4", 2)]));
    updates.extend(watcher.handle(at, page(2, 60, servers)));
    texts(&updates)
}

/// Guards against each way in which the copy could revive what was withdrawn, drop what is only not
/// written again, or hide what was written in the new era.
#[test]
fn records_of_the_new_era_are_applied_and_those_of_the_copy_only_if_safe() {
    let cases: &[(&str, (&str, u64), &str)] = &[
        ("written again", ("ready", 51), "ready ready"),
        ("known, from the copy", ("ready", 50), ""),
        (
            "began to drain, perhaps before",
            ("ready draining", 50),
            "ready draining",
        ),
        (
            "drained in the new era",
            ("ready draining", 51),
            "ready draining",
        ),
        ("not draining yet in the copy", ("draining", 50), ""),
        (
            "no longer draining in the new era",
            ("draining", 51),
            "draining ready",
        ),
        ("earlier incarnation", ("draining @0", 50), ""),
        ("later incarnation", ("draining @2", 50), "draining ready"),
        ("removed, from the copy", ("gone", 50), "held back gone"),
        ("removed, written again", ("gone", 51), "gone ready"),
        ("unknown, from the copy", ("other", 50), "held back other"),
        ("unknown, written again", ("other", 51), "other ready"),
    ];
    for (name, listed, expected) in cases {
        let mut watcher = restored();
        let mut updates = list(&mut watcher, ms(2_010), &[*listed]);
        assert_eq!(updates.pop().as_deref(), Some("synced"), "{name}");
        assert_eq!(updates.join(", "), *expected, "{name}");
    }
}

/// Guards against serving a server that was removed for good, and against keeping one too short or
/// for ever.
#[test]
fn missing_servers_are_removed_after_their_time_to_write() {
    let mut watcher = restored();
    assert_eq!(list(&mut watcher, ms(2_010), &[]), ["synced"]);
    let Query::Watch { after, wait } = watcher.query() else {
        panic!("the listing is complete");
    };
    assert_eq!((after, wait.as_ms()), (Revision(60), 2_190));
    let again = page(2, 61, &[("ready", 61)]);
    assert_eq!(texts(&watcher.handle(ms(3_000), again)), ["ready ready"]);
    watcher.handle(ms(4_200), page(2, 61, &[]));
    let updates = list(
        &mut watcher,
        ms(4_210),
        &[("ready", 61), ("gone", 40), ("other", 40)],
    );
    let expected = [
        "held back gone",
        "held back other",
        "recovered",
        "removed draining",
        "synced",
    ];
    let mut sorted = updates.clone();
    sorted.sort();
    assert_eq!(sorted, expected, "{updates:?}");
    // A server that nobody saw leave is used although it does not write; the removed one is not.
    watcher.handle(ms(12_000), page(2, 61, &[]));
    let updates = list(
        &mut watcher,
        ms(12_010),
        &[("ready", 61), ("gone", 40), ("other", 40)],
    );
    assert_eq!(updates, ["other ready", "synced"]);
    assert!(matches!(watcher.query(), Query::Watch { .. }));
}

/// Guards against a late response of the earlier era that replaces newer state, and against asking
/// again without a pause.
#[test]
fn responses_of_an_earlier_era_are_ignored() {
    let mut watcher = restored();
    list(&mut watcher, ms(2_010), &[("ready", 51)]);
    let query = watcher.query();
    let late = page(
        1,
        500,
        &[("ready draining", 500), ("config 4", 500), ("-ready", 501)],
    );
    let updates = texts(&watcher.handle(ms(2_020), late));
    assert_eq!(
        updates,
        ["lost: response of an earlier era of the registry: 1"]
    );
    assert!(watcher.paused_until() > ms(2_020));
    let mut without_era = page(1, 500, &[("-ready", 501)]).expect("a page");
    without_era.era = None;
    assert_eq!(
        texts(&watcher.handle(ms(2_100), Ok(without_era))),
        Vec::<String>::new()
    );
    let after = |query: &Query| match query {
        Query::Watch { after, .. } => *after,
        Query::List { .. } => panic!("the listing is complete"),
    };
    assert_eq!(after(&watcher.query()), after(&query));
}

/// Guards against a listing whose pages are of two eras.
#[test]
fn listing_begins_again_in_a_newer_era() {
    let mut watcher = synced();
    watcher.handle(ms(1_500), Err(RegistryError::HistoryGone));
    watcher.handle(ms(1_500), page(1, 101, &[("config 5", 3)]));
    let updates = watcher.handle(ms(1_600), page(2, 50, &[("gone", 40)]));
    assert_eq!(texts(&updates), ["era changed"]);
    assert_eq!(
        list(&mut watcher, ms(1_600), &[("gone", 40)]),
        ["held back gone", "synced"]
    );
}

/// Guards against forgetting what was withdrawn when the registry is restored once more.
#[test]
fn two_restores_in_a_row() {
    let mut watcher = restored();
    list(&mut watcher, ms(2_010), &[("gone", 40)]);
    let updates = watcher.handle(ms(3_000), page(3, 30, &[]));
    assert_eq!(texts(&updates), ["era changed"]);
    watcher.handle(ms(3_010), page(3, 30, &[]));
    let updates = watcher.handle(ms(3_010), page(3, 30, &[("draining", 20), ("gone", 20)]));
    assert_eq!(texts(&updates), ["held back gone", "synced"]);
    assert!(watcher.is_recovering(ms(5_100)) && !watcher.is_recovering(ms(5_200)));
    // The same before the first listing is complete.
    let mut watcher = RegistryWatcher::new();
    watcher.handle(ms(0), page(1, 90, &[]));
    for era in [2, 3] {
        let updates = watcher.handle(ms(10), page(era, 50, &[]));
        assert_eq!(texts(&updates), ["era changed"]);
    }
}

/// Guards against a process that starts after a restore and uses no server, because it takes all
/// records for those of a copy.
#[test]
fn process_that_starts_in_a_later_era_uses_what_is_listed() {
    let mut watcher = RegistryWatcher::new();
    let mut updates = watcher.handle(ms(0), page(2, 50, &[("config 4", 2)]));
    updates.extend(watcher.handle(ms(0), page(2, 50, &[("gone", 40)])));
    assert_eq!(texts(&updates), ["version 4", "gone ready", "synced"]);
}

/// Guards against an agent that acts on a stale listing of an earlier era or of the copy.
#[test]
fn stale_listings_of_an_agent_follow_eras() {
    let mut watcher = RegistryWatcher::for_stale_listings();
    let updates = watcher.handle(ms(0), page(2, 100, &[("e1", 90), ("e2 draining", 95)]));
    assert_eq!(texts(&updates), ["e1 ready", "e2 draining", "synced"]);
    watcher.start_listing(ms(2_000));
    let Query::List {
        is_stale_allowed, ..
    } = watcher.query()
    else {
        panic!("a listing begins");
    };
    assert!(is_stale_allowed);
    let updates = watcher.handle(ms(2_000), page(1, 300, &[("e1 draining", 200)]));
    assert_eq!(
        texts(&updates),
        ["lost: response of an earlier era of the registry: 1"]
    );
    watcher.handle(ms(3_000), page(3, 50, &[]));
    let updates = watcher.handle(ms(3_000), page(3, 50, &[("e2", 40), ("e3", 45)]));
    assert_eq!(texts(&updates), ["held back e3", "synced"]);
    assert!(watcher.is_recovering(ms(3_000)));
}

/// Guards against an entry that keeps a withdrawn key because it never asks agents, and against
/// questions while the registry answers.
#[test]
fn agents_are_asked_after_a_second_of_silence() {
    let mut silence = RegistrySilence::default();
    silence.record_result(ms(1_000), true);
    silence.record_query(ms(1_000), DurationUs::from_ms(2_500));
    assert!(
        !silence.asks_agents(ms(4_400)),
        "the watch may still be waiting"
    );
    assert!(silence.asks_agents(ms(4_500)));
    assert!(!silence.asks_agents(ms(5_400)), "one round a second");
    assert!(silence.asks_agents(ms(5_500)));
    silence.record_result(ms(5_600), true);
    silence.record_query(ms(5_600), DurationUs::ZERO);
    silence.record_result(ms(5_700), false);
    silence.record_query(ms(5_800), DurationUs::from_ms(100));
    assert!(!silence.asks_agents(ms(6_550)));
    assert!(
        silence.asks_agents(ms(6_600)),
        "the last answer was at 5,600 ms"
    );
}
