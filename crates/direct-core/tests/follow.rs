//! Following the registry without ever going back.

mod support;

use cuminlead_direct_core::registry::{Collection, Page, RegistryEntry};
use cuminlead_direct_core::{Published, Query, RegistryError, RegistryUpdate, RegistryWatcher};
use cuminlead_types::Revision;
use support::{PLAIN, ms, operator_config, record};

fn server(id: &str, revision: u64) -> RegistryEntry {
    RegistryEntry {
        revision: Revision(revision),
        published: Published::Server(record(id, PLAIN, "a1", None)),
    }
}

fn removed(id: &str, revision: u64) -> RegistryEntry {
    RegistryEntry {
        revision: Revision(revision),
        published: Published::ServerRemoved(id.parse().expect("a valid fixture")),
    }
}

fn config(version: u64, revision: u64) -> RegistryEntry {
    RegistryEntry {
        revision: Revision(revision),
        published: Published::OperatorConfig(Box::new(operator_config(version, &["/x/"]))),
    }
}

fn page(revision: u64, entries: Vec<RegistryEntry>) -> Result<Page, RegistryError> {
    Ok(Page {
        entries,
        next: None,
        revision: Revision(revision),
    })
}

fn texts(updates: &[RegistryUpdate]) -> Vec<String> {
    let text = |update: &RegistryUpdate| match update {
        RegistryUpdate::OperatorConfig(operator_config) => {
            format!("version {}", operator_config.version())
        }
        RegistryUpdate::Server(record) => format!("server {}", record.id),
        RegistryUpdate::ServerRemoved(id) => format!("removed {id}"),
        RegistryUpdate::Unusable { key, .. } => format!("unusable {key}"),
        RegistryUpdate::Synced(revision) => format!("synced {revision}"),
        RegistryUpdate::Lost(_) => "lost".to_string(),
        RegistryUpdate::Regained => "regained".to_string(),
    };
    updates.iter().map(text).collect()
}

/// Follower that has listed version 5 and servers `s1` and `s2`.
fn synced() -> RegistryWatcher {
    let mut follower = RegistryWatcher::new();
    follower.handle(ms(0), page(10, vec![config(5, 3)]));
    let updates = follower.handle(ms(0), page(11, vec![server("s1", 7), server("s2", 8)]));
    assert_eq!(texts(&updates), ["server s1", "server s2", "synced 10"]);
    follower
}

/// Guards against changes that are lost between the pages of a listing.
#[test]
fn watch_begins_at_the_first_page() {
    let follower = synced();
    let Query::Watch { after, .. } = follower.query() else {
        panic!("the listing is complete");
    };
    assert_eq!(after, Revision(10));
}

/// Guards against a listing that ends after its first page.
#[test]
fn listing_goes_through_all_pages() {
    let mut follower = RegistryWatcher::new();
    follower.handle(ms(0), page(10, vec![]));
    let more = Page {
        entries: vec![server("s1", 7)],
        next: Some("k1".to_string()),
        revision: Revision(11),
    };
    follower.handle(ms(0), Ok(more));
    let expected = Query::List {
        collection: Collection::Servers,
        after: Some("k1".to_string()),
        is_stale_allowed: false,
    };
    assert_eq!(follower.query(), expected);
}

/// Guards against a configuration or an entry that goes back to an earlier state.
#[test]
fn nothing_goes_back() {
    let mut follower = synced();
    let late = vec![
        config(4, 12),
        config(5, 13),
        removed("s1", 6),
        server("s2", 8),
    ];
    let updates = follower.handle(ms(0), page(13, late));
    assert_eq!(texts(&updates), Vec::<String>::new());
    let updates = follower.handle(ms(0), page(14, vec![config(9, 14)]));
    assert_eq!(texts(&updates), ["version 9"]);
}

/// Guards against servers that left while the history was dropped.
#[test]
fn lost_history_is_listed_anew() {
    let mut follower = synced();
    follower.handle(ms(0), Err(RegistryError::HistoryGone));
    assert!(matches!(follower.query(), Query::List { .. }));
    follower.handle(ms(0), page(90, vec![config(5, 3)]));
    let updates = follower.handle(ms(0), page(91, vec![server("s2", 8)]));
    assert_eq!(texts(&updates), ["removed s1", "synced 90"]);
}

/// Guards against a registry that is away and asked without pause, and against an outage that
/// nobody can see in the log.
#[test]
fn outage_is_reported_once_and_asked_with_pauses() {
    let mut follower = synced();
    let away = || Err(RegistryError::Unavailable("refused".to_string()));
    assert_eq!(texts(&follower.handle(ms(0), away())), ["lost"]);
    assert_eq!(follower.paused_until(), ms(50));
    assert!(follower.handle(ms(50), away()).is_empty());
    assert_eq!(follower.paused_until(), ms(150));
    for _ in 0..20 {
        follower.handle(ms(1_000), away());
    }
    assert_eq!(follower.paused_until(), ms(1_400));
    let updates = follower.handle(ms(2_000), page(12, vec![]));
    assert_eq!(texts(&updates), ["regained"]);
}

/// Guards against a long watch that is lost just before the registry returns, and after which a
/// configuration is in force seconds too late.
#[test]
fn registry_that_is_away_is_asked_for_short_answers() {
    let mut follower = synced();
    let wait = |follower: &RegistryWatcher| match follower.query() {
        Query::Watch { wait, .. } => wait.as_ms(),
        Query::List { .. } => panic!("the listing is complete"),
    };
    assert_eq!(wait(&follower), 2_500);
    let away = RegistryError::Unavailable("timeout".to_string());
    follower.handle(ms(0), Err(away));
    assert_eq!(wait(&follower), 100);
    follower.handle(ms(100), page(12, vec![]));
    assert_eq!(wait(&follower), 2_500);
}

/// Guards against work for a server whose entry another writer has overwritten.
#[test]
fn unusable_entry_removes_its_server() {
    let mut follower = synced();
    let unusable = RegistryEntry {
        revision: Revision(12),
        published: Published::Unusable {
            key: "servers/s1".to_string(),
            server: Some("s1".parse().expect("a valid fixture")),
            reason: "no address".to_string(),
        },
    };
    let updates = follower.handle(ms(0), page(12, vec![unusable]));
    assert_eq!(texts(&updates), ["removed s1", "unusable servers/s1"]);
}

/// Guards against a call to the registry for each change of a series.
#[test]
fn changes_in_series_are_asked_for_together() {
    let mut follower = synced();
    follower.handle(ms(1_000), page(12, vec![server("s3", 12)]));
    assert_eq!(follower.paused_until(), ms(1_400));
    follower.handle(ms(2_000), page(13, vec![]));
    assert_eq!(
        follower.paused_until(),
        ms(1_400),
        "a quiet watch is renewed at once"
    );
}
