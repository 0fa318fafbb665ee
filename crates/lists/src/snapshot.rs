//! Snapshots and deltas.
//!
//! A snapshot remembers the revisions that it went through on the way and the parts that were
//! removed, so that it can tell a process at one of those revisions exactly what changed. For any
//! other revision the delta is full: a part that came and went between two known revisions may
//! still be in force at such a process.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlead_types::{Findings, Revision};

use crate::check::check_snapshot;
use crate::lists::Lists;
use crate::part::{Part, PartKey};

/// Revisions that a snapshot can make a delta from; at 9,900 changes a day they cover more than an
/// hour, the longest that a process is expected to be cut off and return.
const HISTORY_MAX_COUNT: usize = 512;

/// All parts at one revision of the configuration service, as published.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    revision: Revision,
    /// Shared by the snapshots of successive revisions as long as the part does not change.
    parts: BTreeMap<PartKey, Arc<Part>>,
    /// Earlier revisions that this snapshot went through, in order.
    known: Vec<Revision>,
    /// Parts that existed at a known revision and do not exist now.
    removed: BTreeMap<PartKey, Revision>,
}

/// Two snapshots are equal when revision and parts are; how they came about does not matter.
impl PartialEq for Snapshot {
    fn eq(&self, other: &Self) -> bool {
        self.revision == other.revision && self.parts == other.parts
    }
}

impl Eq for Snapshot {}

/// Parts changed since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Revision that the delta starts from; without meaning when it is full.
    pub from_revision: Revision,
    /// Revision that the delta leads to.
    pub revision: Revision,
    /// Whether `parts` holds all parts and not only changed ones.
    pub is_full: bool,
    /// Changed parts.
    pub parts: Vec<Part>,
    /// Keys of removed parts.
    pub removed: Vec<PartKey>,
}

/// Why a delta was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DeltaMismatch {
    /// The snapshot is not at the revision that the delta starts from.
    OtherBase,
    /// The snapshot is at the delta's revision or a later one.
    Older,
}

impl std::error::Error for DeltaMismatch {}

impl Snapshot {
    /// Snapshot of all parts at a revision; the last of two parts with one key counts.
    pub fn new(revision: Revision, parts: impl IntoIterator<Item = Part>) -> Self {
        let parts = parts
            .into_iter()
            .map(|part| (part.key.clone(), Arc::new(part)))
            .collect();
        Self {
            revision,
            parts,
            ..Self::default()
        }
    }

    /// Revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Parts in order of their keys.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.values().map(Arc::as_ref)
    }

    /// Parts whose text `other` does not have under the same key.
    pub(crate) fn parts_not_in<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a Part> {
        self.parts().filter(|part| {
            let theirs = other.parts.get(&part.key);
            theirs.is_none_or(|theirs| theirs.text != part.text)
        })
    }

    /// Parses and checks all parts as a whole.
    pub fn check(&self) -> Result<Lists, Findings> {
        check_snapshot(self)
    }

    /// What a process at `revision` lacks; without parts when it is not behind.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        if revision >= self.revision {
            return self.delta(revision, false, Vec::new());
        }
        let is_known = self.known.binary_search(&revision).is_ok();
        if !is_known {
            return self.delta(revision, true, self.parts().cloned().collect());
        }
        let changed = self.parts().filter(|part| part.revision > revision);
        let mut delta = self.delta(revision, false, changed.cloned().collect());
        let removed = self.removed.iter().filter(|(_, at)| **at > revision);
        delta.removed = removed.map(|(key, _)| key.clone()).collect();
        delta
    }

    fn delta(&self, from_revision: Revision, is_full: bool, parts: Vec<Part>) -> Delta {
        Delta {
            from_revision,
            revision: self.revision,
            is_full,
            parts,
            removed: Vec::new(),
        }
    }

    /// Snapshot after a delta.
    pub fn apply(&self, delta: &Delta) -> Result<Self, DeltaMismatch> {
        if delta.revision <= self.revision && !self.is_initial() {
            return Err(DeltaMismatch::Older);
        }
        if !delta.is_full && delta.from_revision != self.revision {
            return Err(DeltaMismatch::OtherBase);
        }
        let mut next = Self::new(delta.revision, delta.parts.iter().cloned());
        if !delta.is_full {
            for (key, part) in &self.parts {
                if !delta.removed.contains(key) {
                    next.parts
                        .entry(key.clone())
                        .or_insert_with(|| Arc::clone(part));
                }
            }
        }
        next.follow(self);
        Ok(next)
    }

    /// Takes over the history of the snapshot that was in force before.
    pub(crate) fn follow(&mut self, earlier: &Self) {
        if earlier.is_initial() || earlier.revision >= self.revision {
            return;
        }
        self.known.clone_from(&earlier.known);
        self.known.push(earlier.revision);
        self.removed.clone_from(&earlier.removed);
        for key in earlier.parts.keys() {
            self.removed.insert(key.clone(), self.revision);
        }
        self.removed.retain(|key, _| !self.parts.contains_key(key));
        self.forget_old();
    }

    fn forget_old(&mut self) {
        let surplus = self.known.len().saturating_sub(HISTORY_MAX_COUNT);
        self.known.drain(..surplus);
        let oldest = self.known.first().copied().unwrap_or(self.revision);
        self.removed.retain(|_, at| *at > oldest);
    }

    fn is_initial(&self) -> bool {
        self.revision == Revision::ZERO && self.parts.is_empty()
    }
}
