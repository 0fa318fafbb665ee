//! The host list in use in one process, and what changed in it since a revision.
//!
//! At the design scale the whole list has some 500 KB and changes about once a minute, which is
//! more than the 2 KB/s that control may use on a node; a changed host has some 200 bytes.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlead_types::{HostId, Revision};

use crate::hosts::{HostEntry, HostList};
use crate::snapshot::DeltaMismatch;

/// Revisions that a delta can be made from; at a change a minute they cover some hours.
const HISTORY_MAX_COUNT: usize = 512;

/// Hosts changed since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostDelta {
    /// Revision that the delta starts from; zero when it is full.
    pub from_revision: Revision,
    /// Revision that the delta leads to.
    pub revision: Revision,
    /// Whether `hosts` holds all hosts and not only changed ones.
    pub is_full: bool,
    /// Changed hosts.
    pub hosts: Vec<HostEntry>,
    /// Hosts that are not listed any more.
    pub removed: Vec<HostId>,
}

/// Keeps the newest host list and the revisions that it went through.
#[derive(Clone, Debug, Default)]
pub struct HostStore {
    list: Option<Arc<HostList>>,
    /// Revision at which each listed host was changed, as far as this process saw it.
    changed: BTreeMap<HostId, Revision>,
    /// Hosts that were listed at a known revision and are not listed now.
    removed: BTreeMap<HostId, Revision>,
    /// Earlier revisions that the list went through, in order.
    known: Vec<Revision>,
}

impl HostStore {
    /// Store without a list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops everything, for reuse.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// List in use.
    pub fn list(&self) -> Option<&Arc<HostList>> {
        self.list.as_ref()
    }

    /// Revision in use, zero without a list.
    pub fn revision(&self) -> Revision {
        self.list
            .as_ref()
            .map_or(Revision::ZERO, |list| list.revision)
    }

    /// Uses a list if it is newer; returns whether it is.
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
        for host in self.gone_hosts(&list) {
            self.changed.remove(&host);
            self.removed.insert(host, list.revision);
        }
        if earlier.revision > Revision::ZERO {
            self.remember(earlier.revision);
        }
        self.list = Some(Arc::new(list));
        true
    }

    fn gone_hosts(&self, list: &HostList) -> Vec<HostId> {
        let mut gone = self.changed.clone();
        for entry in &list.hosts {
            gone.remove(&entry.host);
        }
        gone.into_keys().collect()
    }

    fn remember(&mut self, revision: Revision) {
        self.known.push(revision);
        let surplus = self.known.len().saturating_sub(HISTORY_MAX_COUNT);
        self.known.drain(..surplus);
        let oldest = self.known.first().copied().unwrap_or(revision);
        self.removed.retain(|_, at| *at > oldest);
    }

    /// What a process at `revision` lacks; without hosts when it is not behind.
    pub fn delta_since(&self, revision: Revision) -> HostDelta {
        let mut delta = HostDelta {
            from_revision: revision,
            revision: self.revision(),
            ..HostDelta::default()
        };
        let Some(list) = self.list.as_ref().filter(|list| list.revision > revision) else {
            return delta;
        };
        if self.known.binary_search(&revision).is_err() {
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

    /// Takes a delta.
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
