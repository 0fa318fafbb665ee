//! Text patches with which processes exchange changed parts.
//!
//! A change of one customer affects about a hundred bytes of a part of many kilobytes. A patch
//! consists of the lengths of the unchanged start and end of the text and the new text between
//! them. Hashes of the old and the new text ensure that a patch is applied only to the text that it
//! was made from, so the text that is checked and takes effect is always the published one.

use std::collections::BTreeMap;

use cuminlead_types::Revision;
use xxhash_rust::xxh3::xxh3_64;

use crate::part::{Part, PartKey};
use crate::snapshot::{Delta, Snapshot};

/// Size of a patch without its text, in bytes; a patch is sent only if it is shorter than the part.
const OVERHEAD_BYTES: usize = 32;

/// Difference between two texts: one replaced range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextPatch {
    /// Length of the unchanged start, in bytes.
    pub start_bytes: usize,
    /// Length of the unchanged end, in bytes.
    pub end_bytes: usize,
    /// New text between start and end.
    pub text: String,
    /// XXH3 of the old text.
    pub old_hash: u64,
    /// XXH3 of the new text.
    pub new_hash: u64,
}

/// Why a patch was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PatchMismatch {
    /// The patch was made from another text, or the part does not exist here.
    OtherBase,
    /// The result does not match the hash of the new text, or the lengths do not fit the old text.
    OtherResult,
}

impl std::error::Error for PatchMismatch {}

impl TextPatch {
    /// Computes the patch from `old` to `new`.
    pub fn between(old: &str, new: &str) -> Self {
        let start_bytes = common_prefix_bytes(old, new);
        let end_bytes = common_suffix_bytes(&old[start_bytes..], &new[start_bytes..]);
        Self {
            start_bytes,
            end_bytes,
            text: new[start_bytes..new.len() - end_bytes].to_string(),
            old_hash: xxh3_64(old.as_bytes()),
            new_hash: xxh3_64(new.as_bytes()),
        }
    }

    /// New text; fails unless `old` and the result match the hashes.
    pub fn apply(&self, old: &str) -> Result<String, PatchMismatch> {
        if xxh3_64(old.as_bytes()) != self.old_hash {
            return Err(PatchMismatch::OtherBase);
        }
        let new = self.splice(old).ok_or(PatchMismatch::OtherResult)?;
        if xxh3_64(new.as_bytes()) != self.new_hash {
            return Err(PatchMismatch::OtherResult);
        }
        Ok(new)
    }

    /// Joins start, new text and end. `None` if the lengths, which come from other processes, do
    /// not fit the text.
    fn splice(&self, old: &str) -> Option<String> {
        let end_at = old.len().checked_sub(self.end_bytes)?;
        if self.start_bytes > end_at {
            return None;
        }
        let start = old.get(..self.start_bytes)?;
        let end = old.get(end_at..)?;
        Some([start, &self.text, end].concat())
    }
}

fn common_prefix_bytes(old: &str, new: &str) -> usize {
    let pairs = old.bytes().zip(new.bytes());
    let mut length = pairs.take_while(|(one, other)| one == other).count();
    while !(old.is_char_boundary(length) && new.is_char_boundary(length)) {
        length -= 1;
    }
    length
}

fn common_suffix_bytes(old: &str, new: &str) -> usize {
    let pairs = old.bytes().rev().zip(new.bytes().rev());
    let mut length = pairs.take_while(|(one, other)| one == other).count();
    let is_boundary = |length: usize| {
        old.is_char_boundary(old.len() - length) && new.is_char_boundary(new.len() - length)
    };
    while !is_boundary(length) {
        length -= 1;
    }
    length
}

/// Patch from the previous text of a part to its current one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartPatch {
    /// Key of the part.
    pub key: PartKey,
    /// Revision of the part after the patch.
    pub revision: Revision,
    /// Difference of the texts.
    pub change: TextPatch,
}

/// Patch and the revisions that it applies to.
#[derive(Clone, Debug)]
struct LoggedPatch {
    patch: PartPatch,
    /// First revision at which the part had the old text.
    base_revision: Revision,
}

/// Latest patch of each active part, for followers that lack only the latest change of the part.
#[derive(Clone, Debug, Default)]
pub struct PatchLog {
    patches: BTreeMap<PartKey, LoggedPatch>,
}

impl PatchLog {
    /// Records the patches of the parts that change when `next` replaces `earlier`.
    pub fn record(&mut self, earlier: &Snapshot, next: &Snapshot) {
        let before: BTreeMap<_, _> = earlier.parts().map(|part| (&part.key, part)).collect();
        let mut patches = BTreeMap::new();
        for part in next.parts() {
            let logged_patch = match before.get(&part.key) {
                Some(old) if old.revision == part.revision => self.patches.remove(&part.key),
                Some(old) => LoggedPatch::between(old, part),
                None => None,
            };
            patches.extend(logged_patch.map(|logged_patch| (part.key.clone(), logged_patch)));
        }
        self.patches = patches;
    }

    /// Removes from a delta the parts that a process at `from_revision` has with the previous text,
    /// and returns their patches. A full delta stays as it is.
    pub fn replace_parts(&self, delta: &mut Delta) -> Vec<PartPatch> {
        if delta.is_full {
            return Vec::new();
        }
        let since = delta.from_revision;
        let mut patches = Vec::new();
        delta.parts.retain(|part| {
            let logged_patch = self.patches.get(&part.key);
            let applicable = logged_patch.filter(|logged_patch| {
                logged_patch.patch.revision == part.revision && logged_patch.base_revision <= since
            });
            patches.extend(applicable.map(|logged_patch| logged_patch.patch.clone()));
            applicable.is_none()
        });
        patches
    }
}

impl LoggedPatch {
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

/// Applies patches to the active parts and returns the patched parts; fails at the first patch that
/// does not match.
pub fn patched_parts(active: &Snapshot, patches: &[PartPatch]) -> Result<Vec<Part>, PatchMismatch> {
    let parts = patches.iter().map(|patch| {
        let mut parts = active.parts();
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
