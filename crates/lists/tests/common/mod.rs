//! Sample parts and snapshots.

#![allow(dead_code, reason = "each test file uses some of the samples")]

use cuminlead_lists::{Part, PartKey, Snapshot};
use cuminlead_types::Revision;

/// Valid plans part.
pub(crate) const PLANS: &str = include_str!("../samples/plans.toml");
/// Valid allowances part that refers to [`PLANS`].
pub(crate) const ALLOWANCES: &str = include_str!("../samples/allowances.toml");

pub(crate) fn part(key: &str, revision: u64, text: &str) -> Part {
    Part {
        key: PartKey::new(key),
        revision: Revision(revision),
        text: text.to_string(),
    }
}

/// Snapshot of one plans part and one allowances part.
pub(crate) fn snapshot(revision: u64, plans: &str, allowances: &str) -> Snapshot {
    let parts = [
        part("plans/base", revision, plans),
        part("allowances/base", revision, allowances),
    ];
    Snapshot::new(Revision(revision), parts)
}
