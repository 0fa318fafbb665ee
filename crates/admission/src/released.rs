//! Attempts that their entry has released.
//!
//! The release of an attempt can overtake an earlier message of the same attempt. If released
//! attempts were not recorded, the late message would allocate capacity that nobody uses until its
//! lease expires.

use std::collections::{BTreeSet, VecDeque};

use cuminlead_types::{AttemptId, DurationUs, TimeUs};

#[derive(Debug)]
struct ReleasedAttempt {
    id: AttemptId,
    expires_at: TimeUs,
}

/// Released attempts, each recorded for a fixed retention period.
#[derive(Debug)]
pub struct ReleasedAttempts {
    retention_us: DurationUs,
    ids: BTreeSet<AttemptId>,
    by_expiry: VecDeque<ReleasedAttempt>,
}

impl ReleasedAttempts {
    /// Empty record that retains each attempt for `retention_us`.
    pub fn new(retention_us: DurationUs) -> Self {
        Self {
            retention_us,
            ids: BTreeSet::new(),
            by_expiry: VecDeque::new(),
        }
    }

    /// Records an attempt; a repeat does not extend its retention period.
    pub fn insert(&mut self, now: TimeUs, id: AttemptId) {
        if self.ids.insert(id) {
            let expires_at = now + self.retention_us;
            self.by_expiry.push_back(ReleasedAttempt { id, expires_at });
        }
    }

    /// Whether the attempt was released within the retention period.
    pub fn contains(&self, id: AttemptId) -> bool {
        self.ids.contains(&id)
    }

    /// Drops attempts whose retention period has ended.
    pub fn expire(&mut self, now: TimeUs) {
        while self
            .by_expiry
            .front()
            .is_some_and(|released| released.expires_at <= now)
        {
            if let Some(released) = self.by_expiry.pop_front() {
                self.ids.remove(&released.id);
            }
        }
    }
}
