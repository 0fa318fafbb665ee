//! Rebases a delta from the platform onto a later revision.
//!
//! A delta contains every change up to its revision, so it also applies to each revision in
//! between. While the platform's response is in transit, an update from a peer may advance a
//! process to one of those revisions. Rejecting the delta then would delay the lists until the next
//! poll, which may be 10 s later.

use cuminlead_types::Revision;

use crate::host_store::HostDelta;
use crate::snapshot::Delta;

impl Delta {
    /// The same delta, starting from `current` if that lies between its two revisions.
    pub fn rebased_onto(mut self, current: Revision) -> Self {
        if !self.is_full && self.from_revision < current && current < self.revision {
            self.from_revision = current;
        }
        self
    }
}

impl HostDelta {
    /// The same delta, starting from `current` if that lies between its two revisions.
    pub fn rebased_onto(mut self, current: Revision) -> Self {
        if !self.is_full && self.from_revision < current && current < self.revision {
            self.from_revision = current;
        }
        self
    }
}
