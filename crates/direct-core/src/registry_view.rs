//! Servers that a watcher knows, across restores of the registry from an older copy.
//!
//! After a restore the registry holds an older state until the servers have written their records
//! again. Records with a revision above that of the first response of the new era were written in
//! it; any other may be from the copy. What the view knew before is newer than the copy, so a record
//! that may be from the copy is used only if it cannot revive what was withdrawn. Revisions of the
//! earlier era are dropped and never compared.

use std::collections::{HashMap, HashSet};

use cuminlead_types::{BackendServerId, DurationUs, Revision, TimeUs, UnixMs};

use crate::server::{ServerRecord, ServerState};

/// Time from the first response of a new era until servers that are not listed count as removed. A
/// server writes its record about every 1.2 s, and one whose record expired within about 2 s.
pub const REWRITE_PERIOD: DurationUs = DurationUs::from_ms(2_200);
/// Time from the first response of a new era after which a listed server is used although its record
/// was never written again. Records of servers that have ended expire before. Never seen in tests; it
/// bounds the loss if a live server does not write.
const HELD_BACK_PERIOD: DurationUs = DurationUs::from_ms(10_000);
/// Time for which the removal of a server is remembered. Copies are some seconds old.
const REMOVAL_RETENTION: DurationUs = DurationUs::from_ms(600_000);

/// What is known of a server's record.
#[derive(Clone, Copy, Debug)]
struct KnownRecord {
    /// Revision of the last change; `None` if it is of an earlier era.
    revision: Option<Revision>,
    state: ServerState,
    started_at_ms: UnixMs,
}

/// Era that began while this view was in use.
#[derive(Clone, Debug)]
struct NewEra {
    /// Revision of its first response.
    first: Revision,
    began_at: TimeUs,
    /// Whether the view was complete before; otherwise unknown servers may be used.
    was_complete: bool,
    /// Listed servers that are unknown and whose records may be from the copy.
    held_back: HashSet<BackendServerId>,
    /// When the registry is to be listed again.
    lists_at: Option<TimeUs>,
    /// Whether a listing has shown which servers were written again.
    is_recovered: bool,
}

/// What follows from a complete listing.
#[derive(Debug, Default)]
pub(crate) struct EndedListing {
    /// Servers that were known, were not listed, and are no longer known.
    pub(crate) unlisted: Vec<BackendServerId>,
    /// Whether this was the first listing after the servers had time to write again.
    pub(crate) ends_recovery: bool,
}

/// What follows from a published record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Apply,
    Ignore,
    /// Ignored for the first time because only the restored copy may hold it.
    HoldBack,
}

/// Servers that a watcher knows, with the revisions of their records.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegistryView {
    known: HashMap<BackendServerId, KnownRecord>,
    removed: HashMap<BackendServerId, TimeUs>,
    new_era: Option<NewEra>,
}

impl RegistryView {
    /// Begins a new era, in which the revisions known so far mean nothing.
    pub(crate) fn begin_era(&mut self, now: TimeUs, first: Revision, is_complete: bool) {
        for known in self.known.values_mut() {
            known.revision = None;
        }
        self.new_era = Some(NewEra {
            first,
            began_at: now,
            was_complete: is_complete,
            held_back: HashSet::new(),
            lists_at: Some(now + REWRITE_PERIOD),
            is_recovered: false,
        });
    }

    /// Whether nothing has been published and no era has begun yet.
    pub(crate) fn is_unused(&self) -> bool {
        self.known.is_empty() && self.removed.is_empty() && self.new_era.is_none()
    }

    /// When the registry is to be listed again after the begin of an era.
    pub(crate) fn lists_at(&self) -> Option<TimeUs> {
        self.new_era.as_ref()?.lists_at
    }

    /// Whether servers that are not listed may only not have been written again yet.
    pub(crate) fn is_recovering(&self, now: TimeUs) -> bool {
        self.new_era
            .as_ref()
            .is_some_and(|era| now.since(era.began_at) < REWRITE_PERIOD)
    }

    /// Decides on a published record and remembers it if it is applied.
    pub(crate) fn publish(
        &mut self,
        now: TimeUs,
        record: &ServerRecord,
        revision: Revision,
    ) -> Verdict {
        let verdict = self.verdict(now, record, revision);
        if verdict == Verdict::Apply {
            let known = KnownRecord {
                revision: Some(revision),
                state: record.state,
                started_at_ms: record.started_at_ms,
            };
            self.known.insert(record.id.clone(), known);
            self.removed.remove(&record.id);
            if let Some(era) = &mut self.new_era {
                era.held_back.remove(&record.id);
            }
        }
        verdict
    }

    fn verdict(&mut self, now: TimeUs, record: &ServerRecord, revision: Revision) -> Verdict {
        let known = self.known.get(&record.id);
        if let Some(known_revision) = known.and_then(|known| known.revision) {
            return if revision > known_revision {
                Verdict::Apply
            } else {
                Verdict::Ignore
            };
        }
        let Some(era) = &mut self.new_era else {
            return Verdict::Apply;
        };
        if revision > era.first {
            return Verdict::Apply;
        }
        if let Some(known) = known {
            let is_later_incarnation = record.started_at_ms > known.started_at_ms;
            let begins_to_drain = record.started_at_ms == known.started_at_ms
                && record.state == ServerState::Draining
                && known.state == ServerState::Ready;
            return if is_later_incarnation || begins_to_drain {
                Verdict::Apply
            } else {
                Verdict::Ignore
            };
        }
        let is_released =
            now.since(era.began_at) >= HELD_BACK_PERIOD && !self.removed.contains_key(&record.id);
        if !era.was_complete || is_released {
            Verdict::Apply
        } else if era.held_back.insert(record.id.clone()) {
            Verdict::HoldBack
        } else {
            Verdict::Ignore
        }
    }

    /// Applies the removal of a record; returns whether the server was known.
    pub(crate) fn remove(&mut self, now: TimeUs, id: &BackendServerId, revision: Revision) -> bool {
        let is_newer = self.known.get(id).is_some_and(|known| {
            let is_older = known.revision.is_some_and(|known| revision <= known);
            !is_older && self.is_of_this_era(revision)
        });
        is_newer && self.forget(now, id)
    }

    /// Applies a record that cannot be used; returns whether its server was known.
    pub(crate) fn remove_unusable(
        &mut self,
        now: TimeUs,
        id: &BackendServerId,
        revision: Revision,
    ) -> bool {
        let known = self.known.get(id);
        let may_be_from_copy =
            known.is_some_and(|known| known.revision.is_none()) && !self.is_of_this_era(revision);
        !may_be_from_copy && self.forget(now, id)
    }

    fn is_of_this_era(&self, revision: Revision) -> bool {
        self.new_era.as_ref().is_none_or(|era| revision > era.first)
    }

    fn forget(&mut self, now: TimeUs, id: &BackendServerId) -> bool {
        self.removed
            .retain(|_, removed_at| now.since(*removed_at) < REMOVAL_RETENTION);
        let was_known = self.known.remove(id).is_some();
        if was_known {
            self.removed.insert(id.clone(), now);
        }
        was_known
    }

    /// Ends a listing. Servers that are not listed are removed, but not while they may only not have
    /// been written again.
    pub(crate) fn end_listing(
        &mut self,
        now: TimeUs,
        began_at: TimeUs,
        listed: &HashSet<BackendServerId>,
    ) -> EndedListing {
        if self.is_recovering(began_at) {
            return EndedListing::default();
        }
        let mut ended = EndedListing::default();
        if let Some(era) = &mut self.new_era {
            // Listed once more to use what is still held back then.
            let is_released = began_at.since(era.began_at) >= HELD_BACK_PERIOD;
            let lists_again = !is_released && !era.held_back.is_empty();
            ended.ends_recovery = !std::mem::replace(&mut era.is_recovered, true);
            era.lists_at = lists_again.then_some(era.began_at + HELD_BACK_PERIOD);
        }
        let is_unlisted = |id: &&BackendServerId| !listed.contains(*id);
        ended.unlisted = self.known.keys().filter(is_unlisted).cloned().collect();
        for id in &ended.unlisted {
            self.forget(now, id);
        }
        ended
    }
}
