//! Checks by changed parts agree with checks of all parts.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{ALLOWANCES, PLANS, part, snapshot};
use cuminlead_lists::{InstallOutcome, ListStore, Part, Snapshot};
use cuminlead_types::Revision;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Kinds of entries that a part may have; few names each, so that parts often collide or miss one.
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

/// Change of the published parts.
#[derive(Clone, Debug)]
enum Change {
    Add {
        part: u8,
        entry: Entry,
    },
    /// Takes out one entry; the text of the others moves.
    Drop {
        part: u8,
        at: usize,
    },
    Remove {
        part: u8,
    },
    /// Changes the role of the engines of a part.
    SwapRoles {
        part: u8,
    },
    /// Publishes a part again, at a revision that may be too late.
    Touch {
        part: u8,
        is_late: bool,
    },
}

fn entries() -> impl Strategy<Value = Entry> {
    prop_oneof![
        6 => (0u8..3).prop_map(Entry::Plan),
        6 => (0u8..6, 0u8..3, 0u8..20).prop_map(|(id, plan, key)| Entry::Customer { id, plan, key }),
        8 => (0u8..2, 0u8..2, 0u8..5).prop_map(|(id, role, model)| {
            // Mostly the roles and the model that allowances need.
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

/// Change, and whether the operator undoes it when it is refused.
#[derive(Clone, Debug)]
struct Step {
    change: Change,
    is_undone: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let change = prop_oneof![
        8 => (0u8..3, entries()).prop_map(|(part, entry)| Change::Add { part, entry }),
        5 => (0u8..6, 0usize..4).prop_map(|(part, at)| Change::Drop { part, at }),
        1 => (0u8..6).prop_map(|part| Change::Remove { part }),
        4 => (3u8..6).prop_map(|part| Change::SwapRoles { part }),
        1 => (0u8..6, prop::bool::weighted(0.2))
            .prop_map(|(part, is_late)| Change::Touch { part, is_late }),
    ];
    let step = (change, prop::bool::weighted(0.8));
    let step = step.prop_map(|(change, is_undone)| Step { change, is_undone });
    prop::collection::vec(step, 1..80)
}

/// Parts as the configuration service has them.
#[derive(Clone, Default)]
struct Published {
    entries: BTreeMap<u8, Vec<Entry>>,
    revisions: BTreeMap<u8, u64>,
}

impl Published {
    /// Parts 0 to 2 have plans and customers, parts 3 to 5 the rest.
    fn change(&mut self, change: &Change, revision: u64) {
        let part = match change {
            Change::Add { part, entry } => {
                let part = if entry.is_of_plans() { *part } else { part + 3 };
                self.entries.entry(part).or_default().push(entry.clone());
                part
            }
            Change::Drop { part, at } => {
                if let Some(entries) = self.entries.get_mut(part)
                    && *at < entries.len()
                {
                    entries.remove(*at);
                }
                *part
            }
            Change::Remove { part } => {
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
            Change::Touch { part, .. } => *part,
        };
        let is_late = matches!(change, Change::Touch { is_late: true, .. });
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

/// What became of the offers of one sequence of changes.
#[derive(Default)]
struct Tally {
    applied_count: usize,
    refused_count: usize,
}

/// Offers each snapshot of a sequence and compares with the check of all its parts.
fn offer_all(steps: &[Step], tally: &mut Tally) -> Result<(), TestCaseError> {
    let mut published = Published::default();
    let mut store = ListStore::new();
    for (step, revision) in steps.iter().zip(1u64..) {
        let undone = published.clone();
        published.change(&step.change, revision);
        let snapshot = published.snapshot(revision);
        let before = store.revision();
        let outcome = store.install_if_newer(snapshot.clone());
        match snapshot.check() {
            Ok(lists) => {
                prop_assert_eq!(outcome, InstallOutcome::Applied);
                prop_assert_eq!(store.lists().map(Arc::as_ref), Some(&lists));
                tally.applied_count += 1;
            }
            Err(findings) => {
                prop_assert_eq!(outcome, InstallOutcome::Invalid(findings));
                prop_assert_eq!(store.revision(), before);
                tally.refused_count += 1;
                if step.is_undone {
                    published = undone;
                }
            }
        }
    }
    Ok(())
}

/// Guards against an entry of a changed part that stays in force, is lost, or is not compared with
/// the entries of unchanged parts, and against findings that depend on what was in force before.
#[test]
fn changes_are_checked_like_all_parts() {
    let config = Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(11),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let tally = std::cell::RefCell::new(Tally::default());
    let result = runner.run(&steps(), |steps| offer_all(&steps, &mut tally.borrow_mut()));
    result.expect("equal checks");
    let tally = tally.into_inner();
    let is_mixed = tally.applied_count >= 500 && tally.refused_count >= 500;
    assert!(is_mixed, "{} {}", tally.applied_count, tally.refused_count);
}

/// Guards against a change of customers that copies the servers and allowances, the larger part of
/// the lists.
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

/// Guards against an allowance of an unchanged part that loses its only server of a role.
#[test]
fn role_of_another_part_is_checked() {
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
