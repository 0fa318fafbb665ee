//! Attempts that their entry has released.
//!
//! The release of an attempt can overtake an earlier message of the same attempt. If released attempts
//! were not remembered, the late message would allocate a slot that nobody uses until its lease
//! expires.

use std::collections::{BTreeSet, VecDeque};

use cuminlead_types::{AttemptId, DurationUs, TimeUs};

#[derive(Debug)]
struct Entry {
    id: AttemptId,
    until: TimeUs,
}

/// Released attempts, each remembered for a fixed time.
#[derive(Debug)]
pub struct ReleasedAttempts {
    keep_us: DurationUs,
    ids: BTreeSet<AttemptId>,
    order: VecDeque<Entry>,
}

impl ReleasedAttempts {
    /// Memory of `keep_us` for each attempt.
    pub fn new(keep_us: DurationUs) -> Self {
        Self {
            keep_us,
            ids: BTreeSet::new(),
            order: VecDeque::new(),
        }
    }

    /// Remembers an attempt; a repeat does not prolong the memory.
    pub fn insert(&mut self, now: TimeUs, id: AttemptId) {
        if self.ids.insert(id) {
            let until = now + self.keep_us;
            self.order.push_back(Entry { id, until });
        }
    }

    /// Whether the attempt was released.
    pub fn contains(&self, id: AttemptId) -> bool {
        self.ids.contains(&id)
    }

    /// Forgets what is older than the fixed time.
    pub fn forget_old(&mut self, now: TimeUs) {
        while self.order.front().is_some_and(|entry| entry.until <= now) {
            if let Some(entry) = self.order.pop_front() {
                self.ids.remove(&entry.id);
            }
        }
    }
}
