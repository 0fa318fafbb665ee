//! Findings of the checks, each with the promise, its subject and the observation.

use std::fmt::Display as FmtDisplay;

use cuminlead_types::{Findings, SourceLocation};
use strum::Display;

use crate::record::location_of_line;

/// Promise or set of rules that a finding is about; its text starts the key of the finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Promise {
    /// Engine memory is freed after its request has ended.
    P1,
    /// A request gets one answer or error, and each chunk once.
    P2,
    /// A caller gets the complete answer to its own request.
    P3,
    /// A request refused as "not run" is never executed.
    P4,
    /// A non-idempotent call is executed at most once.
    P5,
    /// A draining server accepts no new work after a few seconds.
    P6,
    /// A graceful shutdown aborts no in-flight request.
    P7,
    /// A published change is in effect at every process in time and never reverts.
    P8,
    /// Engines serve the assignment of the newest lists, orders are fenced, and no order aborts a
    /// request.
    Orders,
    /// A request is executed on at most as many servers as its route allows, once on each.
    Attempts,
    /// Prefill and decode requests are sent only while a decode slot is reserved.
    #[strum(serialize = "Places")]
    Reservations,
    /// A KV cache is not offered after it was consumed.
    Caches,
}

/// Collects the findings of all checks.
#[derive(Debug, Default)]
pub(crate) struct Report {
    findings: Findings,
}

impl Report {
    /// Adds a finding at the observation `index`; the subject is a request, server or process.
    pub(crate) fn add(
        &mut self,
        promise: Promise,
        subject: impl FmtDisplay,
        index: usize,
        message: impl Into<String>,
    ) {
        let location = SourceLocation {
            key: format!("{promise} {subject}"),
            ..location_of_line(index)
        };
        self.findings.add(location, message);
    }

    pub(crate) fn into_findings(self) -> Findings {
        self.findings
    }
}
