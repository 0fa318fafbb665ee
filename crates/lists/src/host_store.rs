//! The host list in use in one process, and deltas from earlier revisions.
//!
//! At the design scale the full list has about 500 KB and changes about once a minute. Sending it
//! each time would exceed the 2 KB/s allowed for control traffic per node; an entry has about 200
//! bytes.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlead_types::{HostId, Revision};

use crate::hosts::{HostEntry, HostList};
use crate::snapshot::DeltaMismatch;

/// Number of revisions from which an exact delta can be made; at one change a minute they cover
/// several hours.
const HISTORY_MAX_COUNT: usize = 512;

/// Changes of the host list from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostDelta {
    /// Revision that the delta starts from; zero if `is_full`.
    pub from_revision: Revision,
    /// Revision after the delta.
    pub revision: Revision,
    /// Whether `hosts` contains all hosts instead of the changed ones.
    pub is_full: bool,
    /// Changed and added hosts.
    pub hosts: Vec<HostEntry>,
    /// Hosts that are no longer listed; ignored if `is_full`.
    pub removed: Vec<HostId>,
}

/// Store of the newest host list and its recent history.
#[derive(Clone, Debug, Default)]
pub struct HostStore {
    list: Option<Arc<HostList>>,
    /// Revision at which this process received the last change of each listed host.
    changed: BTreeMap<HostId, Revision>,
    /// Hosts that were listed at a revision in `history` and are not listed now, with the revision
    /// of the removal.
    removed: BTreeMap<HostId, Revision>,
    /// Earlier revisions that this process had, in ascending order.
    history: Vec<Revision>,
}

impl HostStore {
    /// Store without a list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Resets the store for reuse.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Newest list, if any was installed.
    pub fn list(&self) -> Option<&Arc<HostList>> {
        self.list.as_ref()
    }

    /// Revision of the list, zero without one.
    pub fn revision(&self) -> Revision {
        self.list
            .as_ref()
            .map_or(Revision::ZERO, |list| list.revision)
    }

    /// Replaces the list by a newer one; returns false if `list` is not newer.
    pub fn install_if_newer(&mut self, list: HostList) -> bool {
        if self.list.is_some() && list.revision <= self.revision() {
            return false;
        }
        let earlier = self.list.take().unwrap_or_default();
        let earlier_hosts: BTreeMap<_, _> = earlier.hosts.iter().map(|e| (&e.host, e)).collect();
        for entry in &list.hosts {
            if earlier_hosts.get(&entry.host) != Some(&entry) {
                self.changed.insert(entry.host.clone(), list.revision);
            }
            self.removed.remove(&entry.host);
        }
        for host in self.removed_hosts(&list) {
            self.changed.remove(&host);
            self.removed.insert(host, list.revision);
        }
        if earlier.revision > Revision::ZERO {
            self.record_revision(earlier.revision);
        }
        self.list = Some(Arc::new(list));
        true
    }

    fn removed_hosts(&self, list: &HostList) -> Vec<HostId> {
        let mut removed = self.changed.clone();
        for entry in &list.hosts {
            removed.remove(&entry.host);
        }
        removed.into_keys().collect()
    }

    fn record_revision(&mut self, revision: Revision) {
        self.history.push(revision);
        let surplus = self.history.len().saturating_sub(HISTORY_MAX_COUNT);
        self.history.drain(..surplus);
        let oldest = self.history.first().copied().unwrap_or(revision);
        self.removed.retain(|_, at| *at > oldest);
    }

    /// Delta from `revision` to the current list; empty if `revision` is not older, full if it is
    /// not in the history.
    pub fn delta_since(&self, revision: Revision) -> HostDelta {
        let mut delta = HostDelta {
            from_revision: revision,
            revision: self.revision(),
            ..HostDelta::default()
        };
        let Some(list) = self.list.as_ref().filter(|list| list.revision > revision) else {
            return delta;
        };
        if self.history.binary_search(&revision).is_err() {
            delta.from_revision = Revision::ZERO;
            delta.is_full = true;
            delta.hosts.clone_from(&list.hosts);
            return delta;
        }
        let is_changed = |entry: &&HostEntry| {
            let changed = self.changed.get(&entry.host);
            changed.is_some_and(|at| *at > revision)
        };
        delta.hosts = list.hosts.iter().filter(is_changed).cloned().collect();
        let removed = self.removed.iter().filter(|(_, at)| **at > revision);
        delta.removed = removed.map(|(host, _)| host.clone()).collect();
        delta
    }

    /// Updates the list by a delta; fails without effect if the delta does not start from the
    /// current revision or is not newer.
    pub fn apply(&mut self, delta: &HostDelta) -> Result<(), DeltaMismatch> {
        if self.list.is_some() && delta.revision <= self.revision() {
            return Err(DeltaMismatch::Older);
        }
        if !delta.is_full && (self.list.is_none() || delta.from_revision != self.revision()) {
            return Err(DeltaMismatch::OtherBase);
        }
        let mut hosts = delta.hosts.clone();
        if let Some(list) = self.list.as_ref().filter(|_| !delta.is_full) {
            let mut kept: BTreeMap<_, _> = list.hosts.iter().map(|e| (&e.host, e)).collect();
            let changed = delta.hosts.iter().map(|entry| &entry.host);
            for host in delta.removed.iter().chain(changed) {
                kept.remove(host);
            }
            hosts.extend(kept.into_values().cloned());
        }
        self.install_if_newer(HostList {
            revision: delta.revision,
            hosts,
        });
        Ok(())
    }
}
