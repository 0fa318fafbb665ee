//! Checks the promises P1 to P8 of `docs/design.md`, its rules for orders and those of `docs/platform.md` for direct
//! calls over a record of observations.
//!
//! Stand-ins, callers and processes under test append what they see to a [`Record`] on one common
//! clock. [`verify`] reads the record afterwards and collects every finding, so that one run shows
//! all that went wrong. A record prints as one line for each observation and parses back, so a run
//! that failed can be kept as a test file; the line of a finding is the line in that file.
//!
//! | module | holds |
//! |---|---|
//! | [`observation`] | what can be observed |
//! | [`record`] | observations in order, and their text form |
//! | [`bounds`] | times within which the promises must hold |
//! | `history` | requests and processes as the record shows them |
//! | `promises` | one check for each promise |

pub mod bounds;
pub mod field;
mod history;
pub mod observation;
mod promises;
pub mod record;
mod report;

pub use bounds::Bounds;
pub use field::Optional;
pub use observation::{
    AnswerDigest, CacheName, EngineAssignmentText, LeavingSource, Observation,
    ParseObservationError, RequestKind, RequestOutcome,
};
pub use record::{Observed, Record};
pub use report::Promise;

use cuminlead_types::{Findings, TimeUs};

use crate::history::History;
use crate::report::Report;

/// Checks all promises over a record that was observed until `end`.
pub fn verify(record: &Record, end: TimeUs, bounds: &Bounds) -> Findings {
    let history = History::of(record);
    let input = promises::Input {
        record,
        history: &history,
        end,
        bounds,
    };
    let mut report = Report::default();
    for check in promises::CHECKS {
        check(&input, &mut report);
    }
    report.into_findings()
}
