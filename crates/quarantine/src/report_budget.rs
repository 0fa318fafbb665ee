//! Limit of the crash reports that one process sends.
//!
//! A report goes to each agent of a service. When many engines fail at once, most of their runs are
//! bystanders, and a report for each of them would load all agents at the moment of the failure.
//! Dropped reports lose little: a part that crashes engines does so again.

use cuminlead_types::{DurationUs, TimeUs};

/// Reports that may be sent at once: those of the runs that one crash meets, and a few more.
const BURST_COUNT: u64 = 16;
/// Time after which one more report may be sent.
const REPORT_INTERVAL: DurationUs = DurationUs::from_ms(250);

/// Budget of crash reports, described by the time at which it is full again.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportBudget {
    full_at: TimeUs,
}

impl ReportBudget {
    /// Takes one report from the budget; false if there is none left.
    pub fn take(&mut self, now: TimeUs) -> bool {
        let full_at = self.full_at.max(now) + REPORT_INTERVAL;
        let is_left = full_at.since(now).get() <= BURST_COUNT * REPORT_INTERVAL.get();
        if is_left {
            self.full_at = full_at;
        }
        is_left
    }
}
