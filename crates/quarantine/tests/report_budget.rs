//! Limit of the crash reports that one process sends.

use cuminlead_quarantine::ReportBudget;
use cuminlead_types::TimeUs;

struct Case {
    name: &'static str,
    /// Number of reports, and the time between two of them in ms.
    reports: (u64, u64),
    sent_count: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "all runs of one crash",
        reports: (16, 0),
        sent_count: 16,
    },
    Case {
        name: "the runs of many engines that fail at once",
        reports: (400, 0),
        sent_count: 16,
    },
    Case {
        name: "one engine after another for a minute, four a second",
        reports: (240, 250),
        sent_count: 240,
    },
    Case {
        name: "ten a second for a minute: the burst and four a second",
        reports: (600, 100),
        sent_count: 16 + 239,
    },
];

/// Guards against reports to all agents for each run that a failure of many engines ends.
#[test]
fn reports_are_limited() {
    for case in CASES {
        let mut budget = ReportBudget::default();
        let (count, interval_ms) = case.reports;
        let times = (0..count).map(|number| TimeUs(10_000_000 + number * interval_ms * 1_000));
        let sent = times.filter(|now| budget.take(*now));
        assert_eq!(sent.count(), case.sent_count, "{}", case.name);
    }
}
