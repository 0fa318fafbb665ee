//! The incremental check of a snapshot has the same result as the check of all its parts.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{ALLOWANCES, PLANS, part, snapshot};
use cuminlead_lists::{InstallOutcome, ListStore, Part, Snapshot};
use cuminlead_types::Revision;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Entries of parts. Each kind has few names, so that duplicates and missing references are
/// frequent.
#[derive(Clone, Debug)]
enum Entry {
    Plan(u8),
    Customer { id: u8, plan: u8, key: u8 },
    Engine { id: u8, role: u8, model: u8 },
    Service { id: u8, service: u8 },
    Route { service: u8, path: u8 },
    Allowance { plan: u8, model: u8, service: u8 },
    Broken,
}

impl Entry {
    fn text(&self) -> String {
        match self {
            Self::Plan(name) => format!(
                "[[plan]]\nname = \"p{name}\"\nrequests_per_second = 1\nburst_requests = 1\nfirst_token_ms = 1\nbetween_tokens_ms = 1\nweight = 1\n"
            ),
            Self::Customer { id, plan, key } => format!(
                "[[customer]]\nid = \"c{id}\"\nplan = \"p{plan}\"\nkey_sha256 = \"{key:064x}\"\n"
            ),
            Self::Engine { id, role, model } => {
                let role = ["prefill", "decode"][usize::from(*role)];
                format!(
                    "[[server]]\nid = \"e{id}\"\nkind = \"engine\"\nrole = \"{role}\"\nmodels = [{{ model = \"m{model}\", version = \"v\" }}]\nfenced = true\n"
                )
            }
            Self::Service { id, service } => format!(
                "[[server]]\nid = \"s{id}\"\nkind = \"service\"\nservice = \"t{service}\"\n"
            ),
            Self::Route { service, path } => format!(
                "[[route]]\nservice = \"t{service}\"\nmethod = \"GET\"\npath_prefix = \"/{path}\"\nidempotent = true\n"
            ),
            Self::Allowance {
                plan,
                model,
                service,
            } => format!(
                "[[allowance]]\nplan = \"p{plan}\"\n[[allowance.model]]\nmodel = \"m{model}\"\nversion = \"v\"\npriority = 1\nservers = [\"e0\", \"e1\"]\n[[allowance.service]]\nservice = \"t{service}\"\nservers = [\"s{service}\"]\n"
            ),
            Self::Broken => "weight = = 1\n".to_string(),
        }
    }

    fn is_of_plans(&self) -> bool {
        matches!(self, Self::Plan(_) | Self::Customer { .. })
    }
}

/// Change of one published part.
#[derive(Clone, Debug)]
enum Change {
    AddEntry {
        part: u8,
        entry: Entry,
    },
    /// Removes one entry, which moves the lines of the entries after it.
    RemoveEntry {
        part: u8,
        at: usize,
    },
    RemovePart {
        part: u8,
    },
    /// Changes the roles of all engines of a part.
    SwapRoles {
        part: u8,
    },
    /// Publishes a part again unchanged. With `is_late`, its revision is invalid, because it is
    /// later than that of the snapshot.
    Republish {
        part: u8,
        is_late: bool,
    },
}

fn entries() -> impl Strategy<Value = Entry> {
    prop_oneof![
        6 => (0u8..3).prop_map(Entry::Plan),
        6 => (0u8..6, 0u8..3, 0u8..20).prop_map(|(id, plan, key)| Entry::Customer { id, plan, key }),
        8 => (0u8..2, 0u8..2, 0u8..5).prop_map(|(id, role, model)| {
            // Usually the role and model that the allowances require.
            let role = if model == 4 { role } else { id };
            Entry::Engine { id, role, model: model / 4 }
        }),
        6 => (0u8..2, 0u8..8).prop_map(|(id, service)| {
            Entry::Service { id, service: if service == 7 { 1 - id } else { id } }
        }),
        3 => (0u8..2, 0u8..3).prop_map(|(service, path)| Entry::Route { service, path }),
        4 => (0u8..3, 0u8..4, 0u8..2).prop_map(|(plan, model, service)| {
            Entry::Allowance { plan, model: model / 3, service }
        }),
        1 => Just(Entry::Broken),
    ]
}

/// Change, and whether the operator reverts it if the snapshot is invalid.
#[derive(Clone, Debug)]
struct Step {
    change: Change,
    is_reverted: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let change = prop_oneof![
        8 => (0u8..3, entries()).prop_map(|(part, entry)| Change::AddEntry { part, entry }),
        5 => (0u8..6, 0usize..4).prop_map(|(part, at)| Change::RemoveEntry { part, at }),
        1 => (0u8..6).prop_map(|part| Change::RemovePart { part }),
        4 => (3u8..6).prop_map(|part| Change::SwapRoles { part }),
        1 => (0u8..6, prop::bool::weighted(0.2))
            .prop_map(|(part, is_late)| Change::Republish { part, is_late }),
    ];
    let step = (change, prop::bool::weighted(0.8));
    let step = step.prop_map(|(change, is_reverted)| Step {
        change,
        is_reverted,
    });
    prop::collection::vec(step, 1..80)
}

/// Parts at the configuration service.
#[derive(Clone, Default)]
struct Published {
    entries: BTreeMap<u8, Vec<Entry>>,
    revisions: BTreeMap<u8, u64>,
}

impl Published {
    /// Applies a change. Parts 0 to 2 have plans and customers, parts 3 to 5 all other entries.
    fn change(&mut self, change: &Change, revision: u64) {
        let part = match change {
            Change::AddEntry { part, entry } => {
                let part = if entry.is_of_plans() { *part } else { part + 3 };
                self.entries.entry(part).or_default().push(entry.clone());
                part
            }
            Change::RemoveEntry { part, at } => {
                if let Some(entries) = self.entries.get_mut(part)
                    && *at < entries.len()
                {
                    entries.remove(*at);
                }
                *part
            }
            Change::RemovePart { part } => {
                self.entries.remove(part);
                *part
            }
            Change::SwapRoles { part } => {
                for entry in self.entries.entry(*part).or_default() {
                    if let Entry::Engine { role, .. } = entry {
                        *role = 1 - *role;
                    }
                }
                *part
            }
            Change::Republish { part, .. } => *part,
        };
        let is_late = matches!(change, Change::Republish { is_late: true, .. });
        self.revisions.insert(part, revision + u64::from(is_late));
    }

    fn snapshot(&self, revision: u64) -> Snapshot {
        let parts = self.entries.iter().map(|(number, entries)| -> Part {
            let kind = if *number < 3 { "plans" } else { "allowances" };
            let texts = entries.iter().map(Entry::text);
            let text = texts.fold("schema = 1\n".to_string(), |all, text| all + &text);
            part(&format!("{kind}/{number}"), self.revisions[number], &text)
        });
        Snapshot::new(Revision(revision), parts)
    }
}

/// Numbers of valid and invalid snapshots in all sequences of changes.
#[derive(Default)]
struct OutcomeCounts {
    applied: usize,
    invalid: usize,
}

/// Installs each snapshot of a sequence and compares the outcome with a check of all its parts.
fn install_all(steps: &[Step], counts: &mut OutcomeCounts) -> Result<(), TestCaseError> {
    let mut published = Published::default();
    let mut store = ListStore::new();
    for (step, revision) in steps.iter().zip(1u64..) {
        let previous = published.clone();
        published.change(&step.change, revision);
        let snapshot = published.snapshot(revision);
        let before = store.revision();
        let outcome = store.install_if_newer(snapshot.clone());
        match snapshot.check() {
            Ok(lists) => {
                prop_assert_eq!(outcome, InstallOutcome::Applied);
                prop_assert_eq!(store.lists().map(Arc::as_ref), Some(&lists));
                counts.applied += 1;
            }
            Err(findings) => {
                prop_assert_eq!(outcome, InstallOutcome::Invalid(findings));
                prop_assert_eq!(store.revision(), before);
                counts.invalid += 1;
                if step.is_reverted {
                    published = previous;
                }
            }
        }
    }
    Ok(())
}

/// Guards against an incremental check that retains a removed entry, drops an entry, or does not
/// check an entry against those of unchanged parts, and against findings that depend on the
/// previous lists.
#[test]
fn incremental_check_agrees_with_full_check() {
    let config = Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(11),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let counts = std::cell::RefCell::new(OutcomeCounts::default());
    let result = runner.run(&steps(), |steps| {
        install_all(&steps, &mut counts.borrow_mut())
    });
    result.expect("equal checks");
    let counts = counts.into_inner();
    let is_mixed = counts.applied >= 500 && counts.invalid >= 500;
    assert!(is_mixed, "{} {}", counts.applied, counts.invalid);
}

/// Guards against a change of plans that copies the servers and allowances, which are most of the
/// lists.
#[test]
fn unchanged_maps_are_shared() {
    let mut store = ListStore::new();
    store.install_if_newer(snapshot(1, PLANS, ALLOWANCES));
    let before = Arc::clone(store.lists().expect("lists"));
    let plans = PLANS.replace("weight = 1", "weight = 2");
    assert_eq!(
        store.install_if_newer(snapshot(2, &plans, ALLOWANCES)),
        InstallOutcome::Applied
    );
    let after = store.lists().expect("lists");
    assert!(Arc::ptr_eq(&before.servers, &after.servers));
    assert!(Arc::ptr_eq(&before.allowances, &after.allowances));
    assert_ne!(before.plans, after.plans);
}

/// Guards against a change that removes the only server of a role from an allowance in an unchanged
/// part.
#[test]
fn roles_in_unchanged_parts_are_checked() {
    let (servers, rest) = ALLOWANCES.split_at(ALLOWANCES.find("[[route]]").expect("a route"));
    let published = |revision, servers: &str| {
        let parts = [
            part("plans/base", 1, PLANS),
            part("allowances/servers", revision, servers),
            part("allowances/rest", 1, &format!("schema = 1\n{rest}")),
        ];
        Snapshot::new(Revision(revision), parts)
    };
    let mut store = ListStore::new();
    assert_eq!(
        store.install_if_newer(published(1, servers)),
        InstallOutcome::Applied
    );
    let changed = published(2, &servers.replace("\"prefill\"", "\"decode\""));
    let findings = changed.check().expect_err("no prefill server");
    assert_eq!(
        store.install_if_newer(changed),
        InstallOutcome::Invalid(findings)
    );
}
