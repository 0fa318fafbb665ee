//! Probes that learn whether an engine has crashed on a failed call.
//!
//! An agent states the crashes of its engine in its replies. It finds out that the engine has
//! crashed only after the call has failed, and the last reply to that call often comes earlier.
//! Without another request no later reply follows, so the entry asks for one.

use std::collections::BTreeMap;

use cuminlead_types::{BackendServerId, DurationUs, TimeUs};

/// Time from a failed call to the probe. It exceeds the second in which an agent finds out whether
/// its engine has crashed.
pub const CRASH_PROBE_DELAY: DurationUs = DurationUs::from_ms(1_200);

/// Servers that are to be probed, at most once for all calls that fail within the delay.
#[derive(Clone, Debug, Default)]
pub struct CrashProbes {
    due_at: BTreeMap<BackendServerId, TimeUs>,
}

impl CrashProbes {
    /// Records that a call failed through a fault of the server.
    pub fn record_failure(&mut self, now: TimeUs, server: &BackendServerId) {
        self.due_at
            .entry(server.clone())
            .or_insert(now + CRASH_PROBE_DELAY);
    }

    /// Servers to which a probe must be sent now.
    pub fn take_due(&mut self, now: TimeUs) -> Vec<BackendServerId> {
        let due: Vec<_> = self
            .due_at
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(server, _)| server.clone())
            .collect();
        for server in &due {
            self.due_at.remove(server);
        }
        due
    }

    /// When the next probe is due.
    pub fn next_at(&self) -> Option<TimeUs> {
        self.due_at.values().min().copied()
    }
}
