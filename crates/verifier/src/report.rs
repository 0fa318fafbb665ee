//! Findings of the checks, each with promise, subject and observation.

use std::fmt::Display as FmtDisplay;

use cuminlead_types::{Findings, SourceLocation};
use strum::Display;

use crate::record::place_of_line;

/// Promise that a finding is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Promise {
    /// No engine memory stays held for a request that is gone.
    P1,
    /// No request is answered twice.
    P2,
    /// Every caller gets the whole answer to its own request.
    P3,
    /// A request refused as "not run" did not run.
    P4,
    /// A non-idempotent call runs at most once.
    P5,
    /// A leaving server receives no new work after a few seconds.
    P6,
    /// A graceful shutdown cuts off no request in flight.
    P7,
    /// An accepted change is in force everywhere in time and never reverts.
    P8,
    /// Engines follow the newest lists, later orders win, and no order cuts off a request.
    Orders,
    /// A request runs on no more servers than its route allows, and once at each.
    Attempts,
    /// No prompt is computed and no answer asked for without a place for the answer.
    Places,
    /// A KV cache is offered until it is consumed, and not after.
    Caches,
}

/// Collects findings.
#[derive(Debug, Default)]
pub(crate) struct Report {
    findings: Findings,
}

impl Report {
    /// Adds a finding at the observation `index` about a request, server or process.
    pub(crate) fn add(
        &mut self,
        promise: Promise,
        subject: impl FmtDisplay,
        index: usize,
        message: impl Into<String>,
    ) {
        let place = SourceLocation {
            key: format!("{promise} {subject}"),
            ..place_of_line(index)
        };
        self.findings.add(place, message);
    }

    pub(crate) fn into_findings(self) -> Findings {
        self.findings
    }
}
