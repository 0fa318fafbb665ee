//! Installation of snapshots, deltas, customer keys and the text form of lists.

mod common;

use std::collections::BTreeMap;

use common::{ALLOWANCES, PLANS, part, snapshot};
use cuminlead_lists::{
    CustomerKeys, DeltaMismatch, InstallOutcome, ListStore, Lists, Part, Snapshot,
};
use cuminlead_types::Revision;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const INVALID: &str = "schema = 7";

fn fixed_seed(seed: u64) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(seed),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    }
}

/// Guards against an unknown key that is accepted, and against a valid key that is not found.
#[test]
fn customer_is_found_by_key() {
    let lists = snapshot(1, PLANS, ALLOWANCES).check().expect("valid lists");
    let keys = CustomerKeys::new(&lists);
    let found = keys.find(b"secret").map(ToString::to_string);
    assert_eq!(found, None);
    let found = keys.find(b"kiosks-norte-key").map(ToString::to_string);
    assert_eq!(found.as_deref(), Some("kiosks-norte"));
}

/// Guards against an invalid snapshot that replaces the active one or blocks a later valid one.
#[test]
fn invalid_snapshot_does_not_replace_active() {
    let mut store = ListStore::new();
    assert_eq!(
        store.install_if_newer(snapshot(3, PLANS, ALLOWANCES)),
        InstallOutcome::Applied
    );
    for _ in 0..2 {
        let outcome = store.install_if_newer(snapshot(4, INVALID, ALLOWANCES));
        assert!(matches!(outcome, InstallOutcome::Invalid(_)), "{outcome}");
    }
    assert_eq!(store.revision(), Revision(3));
    assert_eq!(store.refused_revision(), Some(Revision(4)));
    assert_eq!(
        store.install_if_newer(snapshot(5, PLANS, ALLOWANCES)),
        InstallOutcome::Applied
    );
    assert_eq!(
        store.install_if_newer(snapshot(4, PLANS, ALLOWANCES)),
        InstallOutcome::Older
    );
    assert_eq!(store.refused_revision(), None);
}

/// Guards against a delta that is applied to a revision from which it does not start.
#[test]
fn delta_applies_to_its_base_only() {
    let mut store = ListStore::new();
    for revision in [3, 5] {
        store.install_if_newer(snapshot(revision, PLANS, ALLOWANCES));
    }
    let delta = store.snapshot().expect("lists").delta_since(Revision(3));
    assert!(!delta.is_full);
    let other = snapshot(4, PLANS, ALLOWANCES);
    assert_eq!(other.apply(&delta), Err(DeltaMismatch::OtherBase));
    let newer = snapshot(5, PLANS, ALLOWANCES);
    assert_eq!(newer.apply(&delta), Err(DeltaMismatch::Older));
}

/// Change of one published part.
#[derive(Clone, Debug)]
enum Change {
    Put(u8),
    Remove(u8),
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = prop_oneof![
        3 => (0u8..4).prop_map(Change::Put),
        1 => (0u8..4).prop_map(Change::Remove),
    ];
    prop::collection::vec(change, 1..24)
}

/// Snapshots at revisions 1, 2, ... with valid parts that do not refer to each other.
fn published(changes: &[Change]) -> Vec<Snapshot> {
    let mut parts: BTreeMap<u8, Part> = BTreeMap::new();
    let mut snapshots = Vec::new();
    for (change, revision) in changes.iter().zip(1u64..) {
        match change {
            Change::Put(number) => {
                let text = format!(
                    "schema = 1\n[[plan]]\nname = \"p{number}\"\nrequests_per_second = {revision}\nburst_requests = 1\nfirst_token_ms = 1\nbetween_tokens_ms = 1\nweight = 1\n"
                );
                parts.insert(*number, part(&format!("plans/{number}"), revision, &text));
            }
            Change::Remove(number) => {
                parts.remove(number);
            }
        }
        snapshots.push(Snapshot::new(Revision(revision), parts.values().cloned()));
    }
    snapshots
}

proptest! {
    #![proptest_config(fixed_seed(8))]

    /// Guards against an active revision that decreases when snapshots arrive late or repeatedly.
    #[test]
    fn active_revision_never_decreases(
        installs in prop::collection::vec((0u64..12, any::<bool>()), 1..40),
    ) {
        let mut store = ListStore::new();
        let mut newest_valid = None;
        for (revision, is_valid) in installs {
            let before = store.revision();
            let plans = if is_valid { PLANS } else { INVALID };
            let outcome = store.install_if_newer(snapshot(revision, plans, ALLOWANCES));
            prop_assert!(store.revision() >= before);
            if is_valid {
                newest_valid = newest_valid.max(Some(revision));
            }
            if outcome == InstallOutcome::Applied {
                prop_assert!(is_valid);
                prop_assert_eq!(store.revision(), Revision(revision));
            }
            prop_assert_eq!(store.has_lists().then(|| store.revision().get()), newest_valid);
        }
    }

    /// Guards against a delta without some change or removal. A follower at any revision must end
    /// with the parts of the sender, whether the sender had that revision or not.
    #[test]
    fn delta_and_apply_give_the_full_snapshot(
        changes in changes(),
        is_seen in prop::collection::vec(any::<bool>(), 24),
    ) {
        let snapshots = published(&changes);
        let mut sender = ListStore::new();
        for (snapshot, is_seen) in snapshots.iter().zip(&is_seen) {
            if *is_seen {
                sender.install_if_newer(snapshot.clone());
            }
        }
        let Some(newest) = sender.snapshot() else {
            return Ok(());
        };
        let older = snapshots.iter().filter(|s| s.revision() < newest.revision());
        for follower in older.chain([&Snapshot::default()]) {
            let delta = newest.delta_since(follower.revision());
            let reached = follower.apply(&delta).expect("matching delta");
            prop_assert_eq!(&reached, newest);
        }
    }

    /// Guards against a sender that can make only full deltas because it was itself updated by
    /// deltas.
    #[test]
    fn follower_of_a_follower_makes_exact_deltas(changes in changes(), step in 1usize..4) {
        let snapshots = published(&changes);
        let mut reader = Snapshot::default();
        let mut follower = Snapshot::default();
        for snapshot in snapshots.iter().step_by(step) {
            reader = reader.apply(&snapshot.delta_since(Revision::ZERO)).expect("full delta");
            follower = follower.apply(&reader.delta_since(follower.revision())).expect("delta");
            prop_assert_eq!(&follower, snapshot);
        }
        let first = &snapshots[0];
        if reader.revision() > first.revision() {
            let delta = follower.delta_since(first.revision());
            prop_assert!(!delta.is_full);
            prop_assert_eq!(&first.apply(&delta).expect("delta"), &reader);
        }
    }

    /// Guards against a text form that drops a value or does not parse back.
    #[test]
    fn lists_text_parses_back(
        revision in 0u64..i64::MAX.unsigned_abs(),
        weight in 1u32..=1000,
        priority in 0u8..=9,
        name in "[a-z\"'\\\\é#=]{1,12}",
        has_adapter: bool,
    ) {
        let quoted = toml::Value::String(name).to_string();
        let plans = PLANS
            .replace("weight = 1", &format!("weight = {weight}"))
            .replace("\"kiosks-norte\"", &quoted);
        let mut allowances = ALLOWANCES
            .replace("priority = 5", &format!("priority = {priority}"))
            .replace("\"notes-1\"", &quoted);
        if !has_adapter {
            allowances = allowances.replace("adapter = \"kiosk\"\n", "");
        }
        let lists = snapshot(revision, &plans, &allowances).check().expect("valid lists");
        prop_assert_eq!(lists.to_string().parse::<Lists>(), Ok(lists));
    }
}
