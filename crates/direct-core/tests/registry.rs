//! Registry watcher whose view never returns to an older state.

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
        era: None,
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
        RegistryUpdate::EraChanged { .. }
        | RegistryUpdate::HeldBack(_)
        | RegistryUpdate::EraRecovered => "era".to_string(),
    };
    updates.iter().map(text).collect()
}

/// Watcher that has listed version 5 and servers `s1` and `s2`.
fn synced() -> RegistryWatcher {
    let mut watcher = RegistryWatcher::new();
    watcher.handle(ms(0), page(10, vec![config(5, 3)]));
    let updates = watcher.handle(ms(0), page(11, vec![server("s1", 7), server("s2", 8)]));
    assert_eq!(texts(&updates), ["server s1", "server s2", "synced 10"]);
    watcher
}

/// Guards against losing changes that are published between the pages of a listing.
#[test]
fn watch_begins_at_the_first_page() {
    let watcher = synced();
    let Query::Watch { after, .. } = watcher.query() else {
        panic!("the listing is complete");
    };
    assert_eq!(after, Revision(10));
}

/// Guards against a listing that ends after its first page.
#[test]
fn listing_goes_through_all_pages() {
    let mut watcher = RegistryWatcher::new();
    watcher.handle(ms(0), page(10, vec![]));
    let more = Page {
        entries: vec![server("s1", 7)],
        next: Some("k1".to_string()),
        revision: Revision(11),
        era: None,
    };
    watcher.handle(ms(0), Ok(more));
    let expected = Query::List {
        collection: Collection::Servers,
        after: Some("k1".to_string()),
        is_stale_allowed: false,
    };
    assert_eq!(watcher.query(), expected);
}

/// Guards against replacing a configuration or an entry by an older one.
#[test]
fn older_states_are_ignored() {
    let mut watcher = synced();
    let stale = vec![
        config(4, 12),
        config(5, 13),
        removed("s1", 6),
        server("s2", 8),
    ];
    let updates = watcher.handle(ms(0), page(13, stale));
    assert_eq!(texts(&updates), Vec::<String>::new());
    let updates = watcher.handle(ms(0), page(14, vec![config(9, 14)]));
    assert_eq!(texts(&updates), ["version 9"]);
}

/// Guards against keeping servers whose removal is in changes that the registry no longer keeps.
#[test]
fn lost_history_leads_to_a_new_listing() {
    let mut watcher = synced();
    watcher.handle(ms(0), Err(RegistryError::HistoryGone));
    assert!(matches!(watcher.query(), Query::List { .. }));
    watcher.handle(ms(0), page(90, vec![config(5, 3)]));
    let updates = watcher.handle(ms(0), page(91, vec![server("s2", 8)]));
    assert_eq!(texts(&updates), ["removed s1", "synced 90"]);
}

/// Guards against a process that asks for the same changes again and again although they are too
/// large for a response, and acts on an old configuration meanwhile.
#[test]
fn incomplete_changes_lead_to_a_new_listing() {
    let mut watcher = synced();
    let incomplete = || Err(RegistryError::Incomplete("too large".to_string()));
    assert_eq!(texts(&watcher.handle(ms(0), incomplete())), ["lost"]);
    assert_eq!(watcher.paused_until(), ms(50));
    assert!(matches!(watcher.query(), Query::List { .. }));
    let updates = watcher.handle(ms(50), page(90, vec![config(9, 80)]));
    assert_eq!(texts(&updates), ["regained", "version 9"]);
    // A page that is incomplete is asked for again; those before it need not be.
    watcher.handle(ms(51), incomplete());
    let Query::List { collection, .. } = watcher.query() else {
        panic!("the listing goes on");
    };
    assert_eq!(collection, Collection::Servers);
}

/// Guards against polling an unreachable registry without pauses, and against an outage that does
/// not appear in the log.
#[test]
fn outage_is_reported_once_and_polled_with_pauses() {
    let mut watcher = synced();
    let unavailable = || Err(RegistryError::Unavailable("refused".to_string()));
    assert_eq!(texts(&watcher.handle(ms(0), unavailable())), ["lost"]);
    assert_eq!(watcher.paused_until(), ms(50));
    assert!(watcher.handle(ms(50), unavailable()).is_empty());
    assert_eq!(watcher.paused_until(), ms(150));
    for _ in 0..20 {
        watcher.handle(ms(1_000), unavailable());
    }
    assert_eq!(watcher.paused_until(), ms(1_400));
    let updates = watcher.handle(ms(2_000), page(12, vec![]));
    assert_eq!(texts(&updates), ["regained"]);
}

/// Guards against a long watch that is lost just before the registry returns, which would delay a
/// new configuration by seconds.
#[test]
fn unreachable_registry_gets_short_watches() {
    let mut watcher = synced();
    let wait = |watcher: &RegistryWatcher| match watcher.query() {
        Query::Watch { wait, .. } => wait.as_ms(),
        Query::List { .. } => panic!("the listing is complete"),
    };
    assert_eq!(wait(&watcher), 2_500);
    let unavailable = RegistryError::Unavailable("timeout".to_string());
    watcher.handle(ms(0), Err(unavailable));
    assert_eq!(wait(&watcher), 100);
    watcher.handle(ms(100), page(12, vec![]));
    assert_eq!(wait(&watcher), 2_500);
}

/// Guards against sending work to a server whose entry another writer has overwritten.
#[test]
fn unusable_entry_removes_its_server() {
    let mut watcher = synced();
    let unusable = RegistryEntry {
        revision: Revision(12),
        published: Published::Unusable {
            key: "servers/s1".to_string(),
            server: Some("s1".parse().expect("a valid fixture")),
            reason: "no address".to_string(),
        },
    };
    let updates = watcher.handle(ms(0), page(12, vec![unusable]));
    assert_eq!(texts(&updates), ["removed s1", "unusable servers/s1"]);
}

/// Guards against one registry call for each change when changes come in series.
#[test]
fn changes_in_series_are_read_together() {
    let mut watcher = synced();
    watcher.handle(ms(1_000), page(12, vec![server("s3", 12)]));
    assert_eq!(watcher.paused_until(), ms(1_400));
    watcher.handle(ms(2_000), page(13, vec![]));
    assert_eq!(
        watcher.paused_until(),
        ms(1_400),
        "a watch without changes is followed by the next one at once"
    );
}
