//! The lists in force in one process.

use std::sync::Arc;

use cuminlead_types::{Findings, Revision};

use crate::change::check_change;
use crate::keys::CustomerKeys;
use crate::lists::Lists;
use crate::snapshot::Snapshot;

/// Keeps the last valid snapshot in force; its revision never goes back.
#[derive(Clone, Debug, Default)]
pub struct ListStore {
    in_force: Option<InForce>,
    refused: Option<Refused>,
}

#[derive(Clone, Debug)]
struct InForce {
    snapshot: Snapshot,
    lists: Arc<Lists>,
    keys: Arc<CustomerKeys>,
}

/// Snapshot that was refused, so that it is not checked again each time it is offered.
#[derive(Clone, Debug)]
struct Refused {
    snapshot: Snapshot,
    findings: Findings,
}

/// What became of an offered snapshot.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum InstallOutcome {
    /// It is in force.
    Applied,
    /// It is not newer than the snapshot in force.
    Older,
    /// It is refused whole.
    Invalid(Findings),
}

impl ListStore {
    /// Store with nothing in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a snapshot in force if it is newer and valid.
    pub fn install_if_newer(&mut self, mut snapshot: Snapshot) -> InstallOutcome {
        if self.is_older(&snapshot) {
            return InstallOutcome::Older;
        }
        if let Some(refused) = self.refused.as_ref().filter(|r| r.snapshot == snapshot) {
            return InstallOutcome::Invalid(refused.findings.clone());
        }
        match self.check(&snapshot) {
            Ok(lists) => {
                if let Some(earlier) = &self.in_force {
                    snapshot.follow(&earlier.snapshot);
                }
                self.put_in_force(snapshot, lists);
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

    /// Lists of a snapshot. The findings of an invalid one come from a check of all parts, because
    /// a finding may be in a part that did not change.
    fn check(&self, snapshot: &Snapshot) -> Result<Lists, Findings> {
        let changed = self.in_force.as_ref().and_then(|in_force| {
            let InForce {
                snapshot: base,
                lists,
                ..
            } = in_force;
            check_change(base, lists, snapshot)
        });
        changed.map_or_else(|| snapshot.check(), Ok)
    }

    fn is_older(&self, snapshot: &Snapshot) -> bool {
        self.in_force
            .as_ref()
            .is_some_and(|in_force| snapshot.revision() <= in_force.snapshot.revision())
    }

    fn put_in_force(&mut self, snapshot: Snapshot, lists: Lists) {
        self.refused = None;
        self.in_force = Some(InForce {
            snapshot,
            keys: Arc::new(CustomerKeys::new(&lists)),
            lists: Arc::new(lists),
        });
    }

    /// Drops everything, for reuse by another process of a test.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a snapshot is in force.
    pub fn has_lists(&self) -> bool {
        self.in_force.is_some()
    }

    /// Revision in force, zero when nothing is.
    pub fn revision(&self) -> Revision {
        self.snapshot().map_or(Revision::ZERO, Snapshot::revision)
    }

    /// Snapshot in force.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.in_force.as_ref().map(|in_force| &in_force.snapshot)
    }

    /// Lists in force.
    pub fn lists(&self) -> Option<&Arc<Lists>> {
        self.in_force.as_ref().map(|in_force| &in_force.lists)
    }

    /// Customer keys of the lists in force.
    pub fn keys(&self) -> Option<&Arc<CustomerKeys>> {
        self.in_force.as_ref().map(|in_force| &in_force.keys)
    }

    /// Newest revision that was refused since the last one came in force.
    pub fn refused_revision(&self) -> Option<Revision> {
        self.refused
            .as_ref()
            .map(|refused| refused.snapshot.revision())
    }
}
