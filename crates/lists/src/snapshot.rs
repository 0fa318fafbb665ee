//! Snapshots and deltas.
//!
//! A snapshot records the earlier revisions that this process had and the parts removed since, so
//! that it can make an exact delta from each of those revisions. From any other revision the delta
//! is full: a process there may have a part that was added and removed between two recorded
//! revisions.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlead_types::{Findings, Revision};

use crate::check::check_snapshot;
use crate::lists::Lists;
use crate::part::{Part, PartKey};

/// Number of revisions from which a snapshot can make an exact delta. At 9,900 changes a day they
/// cover more than an hour, the longest expected disconnection of a process.
const HISTORY_MAX_COUNT: usize = 512;

/// All parts at one revision of the configuration service, as published.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    revision: Revision,
    /// Snapshots of successive revisions share a part until it changes.
    parts: BTreeMap<PartKey, Arc<Part>>,
    /// Earlier revisions that this process had, in ascending order.
    history: Vec<Revision>,
    /// Parts that existed at a revision in `history` and do not exist now, with the revision of the
    /// removal.
    removed: BTreeMap<PartKey, Revision>,
}

/// Compares revision and parts and ignores the history.
impl PartialEq for Snapshot {
    fn eq(&self, other: &Self) -> bool {
        self.revision == other.revision && self.parts == other.parts
    }
}

impl Eq for Snapshot {}

/// Changes of parts from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Revision that the delta starts from; ignored if `is_full`.
    pub from_revision: Revision,
    /// Revision after the delta.
    pub revision: Revision,
    /// Whether `parts` contains all parts instead of the changed ones.
    pub is_full: bool,
    /// Changed and added parts.
    pub parts: Vec<Part>,
    /// Keys of removed parts; ignored if `is_full`.
    pub removed: Vec<PartKey>,
}

/// Why a delta was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DeltaMismatch {
    /// The delta starts from another revision than the snapshot's.
    OtherBase,
    /// The snapshot already has the delta's revision or a later one.
    Older,
}

impl std::error::Error for DeltaMismatch {}

impl Snapshot {
    /// Snapshot of all parts at a revision, without history. If two parts have the same key, the
    /// last one applies.
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

    /// Revision of the configuration service.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All parts, in order of their keys.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.values().map(Arc::as_ref)
    }

    /// Parts that `other` lacks or has with another text.
    pub(crate) fn parts_not_in<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a Part> {
        self.parts().filter(|part| {
            let theirs = other.parts.get(&part.key);
            theirs.is_none_or(|theirs| theirs.text != part.text)
        })
    }

    /// Parses and validates all parts; the error has every finding.
    pub fn check(&self) -> Result<Lists, Findings> {
        check_snapshot(self)
    }

    /// Delta from `revision` to this snapshot; empty if `revision` is not older, full if it is not
    /// in the history.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        if revision >= self.revision {
            return self.delta(revision, false, Vec::new());
        }
        let is_in_history = self.history.binary_search(&revision).is_ok();
        if !is_in_history {
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

    /// Makes the snapshot that results from a delta. Any delta is newer than an initial snapshot.
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
        next.inherit_history(self);
        Ok(next)
    }

    /// Appends the previously active snapshot and its history to this snapshot's history.
    pub(crate) fn inherit_history(&mut self, earlier: &Self) {
        if earlier.is_initial() || earlier.revision >= self.revision {
            return;
        }
        self.history.clone_from(&earlier.history);
        self.history.push(earlier.revision);
        self.removed.clone_from(&earlier.removed);
        for key in earlier.parts.keys() {
            self.removed.insert(key.clone(), self.revision);
        }
        self.removed.retain(|key, _| !self.parts.contains_key(key));
        self.trim_history();
    }

    fn trim_history(&mut self) {
        let surplus = self.history.len().saturating_sub(HISTORY_MAX_COUNT);
        self.history.drain(..surplus);
        let oldest = self.history.first().copied().unwrap_or(self.revision);
        self.removed.retain(|_, at| *at > oldest);
    }

    fn is_initial(&self) -> bool {
        self.revision == Revision::ZERO && self.parts.is_empty()
    }
}
