//! Patches: how a changed part travels between processes.
//!
//! A change of one customer touches some hundred bytes of a part of many kilobytes. A patch names the
//! lengths of the unchanged start and end of the text and has the text between them. The hashes of the
//! old and the new text keep a patch from being applied to any other text than the one that it was
//! made from, so what is checked and put in force is always the text as published.

use std::collections::BTreeMap;

use cuminlead_types::Revision;
use xxhash_rust::xxh3::xxh3_64;

use crate::part::{Part, PartKey};
use crate::snapshot::{Delta, Snapshot};

/// Bytes of a patch besides its text, so that a patch is not sent in place of a shorter part.
const OVERHEAD_BYTES: usize = 32;

/// What changed between two texts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextPatch {
    /// Length of the unchanged start.
    pub start_bytes: usize,
    /// Length of the unchanged end.
    pub end_bytes: usize,
    /// Text between them.
    pub text: String,
    /// Hash of the old text.
    pub old_hash: u64,
    /// Hash of the new text.
    pub new_hash: u64,
}

/// Why a patch was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PatchMismatch {
    /// The patch was made from another text, or the text is missing.
    OtherBase,
    /// The patch does not lead to the text that it names.
    OtherResult,
}

impl std::error::Error for PatchMismatch {}

impl TextPatch {
    /// Patch that leads from one text to another.
    pub fn between(old: &str, new: &str) -> Self {
        let start_bytes = common_start(old, new);
        let end_bytes = common_end(&old[start_bytes..], &new[start_bytes..]);
        Self {
            start_bytes,
            end_bytes,
            text: new[start_bytes..new.len() - end_bytes].to_string(),
            old_hash: xxh3_64(old.as_bytes()),
            new_hash: xxh3_64(new.as_bytes()),
        }
    }

    /// Text after the patch.
    pub fn apply(&self, old: &str) -> Result<String, PatchMismatch> {
        if xxh3_64(old.as_bytes()) != self.old_hash {
            return Err(PatchMismatch::OtherBase);
        }
        let new = self.join(old).ok_or(PatchMismatch::OtherResult)?;
        if xxh3_64(new.as_bytes()) != self.new_hash {
            return Err(PatchMismatch::OtherResult);
        }
        Ok(new)
    }

    /// Lengths come from other processes, so they need not fit the text.
    fn join(&self, old: &str) -> Option<String> {
        let end_at = old.len().checked_sub(self.end_bytes)?;
        if self.start_bytes > end_at {
            return None;
        }
        let start = old.get(..self.start_bytes)?;
        let end = old.get(end_at..)?;
        Some([start, &self.text, end].concat())
    }
}

fn common_start(old: &str, new: &str) -> usize {
    let pairs = old.bytes().zip(new.bytes());
    let mut length = pairs.take_while(|(one, other)| one == other).count();
    while !(old.is_char_boundary(length) && new.is_char_boundary(length)) {
        length -= 1;
    }
    length
}

fn common_end(old: &str, new: &str) -> usize {
    let pairs = old.bytes().rev().zip(new.bytes().rev());
    let mut length = pairs.take_while(|(one, other)| one == other).count();
    let is_border = |length: usize| {
        old.is_char_boundary(old.len() - length) && new.is_char_boundary(new.len() - length)
    };
    while !is_border(length) {
        length -= 1;
    }
    length
}

/// Patch that leads to a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartPatch {
    /// Key of the part.
    pub key: PartKey,
    /// Revision of the part after the patch.
    pub revision: Revision,
    /// What changed in its text.
    pub change: TextPatch,
}

/// Patch and the texts that it starts from.
#[derive(Clone, Debug)]
struct Logged {
    patch: PartPatch,
    /// Revision from which on the part had the old text.
    base_revision: Revision,
}

/// Last patch of each part in force, for the followers that are one change behind.
#[derive(Clone, Debug, Default)]
pub struct PatchLog {
    patches: BTreeMap<PartKey, Logged>,
}

impl PatchLog {
    /// Notes what changes when `next` comes in force after `earlier`.
    pub fn record(&mut self, earlier: &Snapshot, next: &Snapshot) {
        let before: BTreeMap<_, _> = earlier.parts().map(|part| (&part.key, part)).collect();
        let mut patches = BTreeMap::new();
        for part in next.parts() {
            let logged = match before.get(&part.key) {
                Some(old) if old.revision == part.revision => self.patches.remove(&part.key),
                Some(old) => Logged::between(old, part),
                None => None,
            };
            patches.extend(logged.map(|logged| (part.key.clone(), logged)));
        }
        self.patches = patches;
    }

    /// Takes the parts out of a delta that a process at its start has in the text before, and returns
    /// their patches.
    pub fn replace_parts(&self, delta: &mut Delta) -> Vec<PartPatch> {
        if delta.is_full {
            return Vec::new();
        }
        let since = delta.from_revision;
        let mut patches = Vec::new();
        delta.parts.retain(|part| {
            let logged = self.patches.get(&part.key);
            let fitting = logged.filter(|logged| {
                logged.patch.revision == part.revision && logged.base_revision <= since
            });
            patches.extend(fitting.map(|logged| logged.patch.clone()));
            fitting.is_none()
        });
        patches
    }
}

impl Logged {
    fn between(old: &Part, new: &Part) -> Option<Self> {
        let change = TextPatch::between(&old.text, &new.text);
        let is_shorter = change.text.len() + OVERHEAD_BYTES < new.text.len();
        let patch = PartPatch {
            key: new.key.clone(),
            revision: new.revision,
            change,
        };
        is_shorter.then_some(Self {
            patch,
            base_revision: old.revision,
        })
    }
}

/// Parts that patches of the parts in force lead to.
pub fn patched_parts(
    in_force: &Snapshot,
    patches: &[PartPatch],
) -> Result<Vec<Part>, PatchMismatch> {
    let parts = patches.iter().map(|patch| {
        let mut parts = in_force.parts();
        let old = parts.find(|part| part.key == patch.key);
        let old = old.ok_or(PatchMismatch::OtherBase)?;
        Ok(Part {
            key: patch.key.clone(),
            revision: patch.revision,
            text: patch.change.apply(&old.text)?,
        })
    });
    parts.collect()
}
