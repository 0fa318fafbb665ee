//! The lists in effect in one process.

use std::sync::Arc;

use cuminlead_types::{Findings, Revision};

use crate::incremental::check_incremental;
use crate::keys::CustomerKeys;
use crate::lists::Lists;
use crate::snapshot::Snapshot;

/// Store of the latest valid snapshot and its parsed lists. The active revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ListStore {
    active: Option<ActiveLists>,
    refused: Option<Refused>,
}

#[derive(Clone, Debug)]
struct ActiveLists {
    snapshot: Snapshot,
    lists: Arc<Lists>,
    keys: Arc<CustomerKeys>,
}

/// Invalid snapshot with its findings, kept so that it is not checked again when it arrives again.
#[derive(Clone, Debug)]
struct Refused {
    snapshot: Snapshot,
    findings: Findings,
}

/// Result of [`ListStore::install_if_newer`].
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum InstallOutcome {
    /// The snapshot is in effect.
    Applied,
    /// The snapshot is not newer than the active one.
    Older,
    /// The snapshot has findings; no part of it takes effect.
    Invalid(Findings),
}

impl ListStore {
    /// Store without lists.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a snapshot the active one if it is newer and valid.
    pub fn install_if_newer(&mut self, mut snapshot: Snapshot) -> InstallOutcome {
        if self.is_older(&snapshot) {
            return InstallOutcome::Older;
        }
        if let Some(refused) = self.refused.as_ref().filter(|r| r.snapshot == snapshot) {
            return InstallOutcome::Invalid(refused.findings.clone());
        }
        match self.check(&snapshot) {
            Ok(lists) => {
                if let Some(earlier) = &self.active {
                    snapshot.inherit_history(&earlier.snapshot);
                }
                self.activate(snapshot, lists);
                InstallOutcome::Applied
            }
            Err(findings) => {
                self.refused = Some(Refused {
                    snapshot,
                    findings: findings.clone(),
                });
                InstallOutcome::Invalid(findings)
            }
        }
    }

    /// Parses and validates a snapshot. If the incremental check against the active snapshot fails,
    /// all parts are checked, because a finding may be in a part that did not change.
    fn check(&self, snapshot: &Snapshot) -> Result<Lists, Findings> {
        let changed = self.active.as_ref().and_then(|active| {
            let ActiveLists {
                snapshot: base,
                lists,
                ..
            } = active;
            check_incremental(base, lists, snapshot)
        });
        changed.map_or_else(|| snapshot.check(), Ok)
    }

    fn is_older(&self, snapshot: &Snapshot) -> bool {
        self.active
            .as_ref()
            .is_some_and(|active| snapshot.revision() <= active.snapshot.revision())
    }

    fn activate(&mut self, snapshot: Snapshot, lists: Lists) {
        self.refused = None;
        self.active = Some(ActiveLists {
            snapshot,
            keys: Arc::new(CustomerKeys::new(&lists)),
            lists: Arc::new(lists),
        });
    }

    /// Resets the store, so that tests can reuse it for another process.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether any lists are in effect.
    pub fn has_lists(&self) -> bool {
        self.active.is_some()
    }

    /// Active revision, zero without lists.
    pub fn revision(&self) -> Revision {
        self.snapshot().map_or(Revision::ZERO, Snapshot::revision)
    }

    /// Active snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.active.as_ref().map(|active| &active.snapshot)
    }

    /// Active lists.
    pub fn lists(&self) -> Option<&Arc<Lists>> {
        self.active.as_ref().map(|active| &active.lists)
    }

    /// API keys of the customers of the active lists.
    pub fn keys(&self) -> Option<&Arc<CustomerKeys>> {
        self.active.as_ref().map(|active| &active.keys)
    }

    /// Revision of the last invalid snapshot, `None` if a valid one took effect since.
    pub fn refused_revision(&self) -> Option<Revision> {
        self.refused
            .as_ref()
            .map(|refused| refused.snapshot.revision())
    }
}
