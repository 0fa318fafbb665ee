//! Changes of the platform that arrive after the lists have moved on.
//!
//! A delta of the platform names every change up to its revision, so it also leads there from each
//! revision on the way. A peer may have led a process to one of those while the platform's answer was
//! under way, and the next question may be 10 s later.

use cuminlead_types::Revision;

use crate::host_store::HostDelta;
use crate::snapshot::Delta;

impl Delta {
    /// The same changes for a process that went on to `held` meanwhile.
    pub fn rebased_onto(mut self, held: Revision) -> Self {
        if !self.is_full && self.from_revision < held && held < self.revision {
            self.from_revision = held;
        }
        self
    }
}

impl HostDelta {
    /// The same changes for a process that went on to `held` meanwhile.
    pub fn rebased_onto(mut self, held: Revision) -> Self {
        if !self.is_full && self.from_revision < held && held < self.revision {
            self.from_revision = held;
        }
        self
    }
}
