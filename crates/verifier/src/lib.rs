//! Checks a record of observations against the promises P1 to P8 and the rules for engine orders in
//! `docs/design.md`, and against the rules for direct calls in `docs/platform.md`.
//!
//! Stand-ins, callers and processes under test append what they observe to a [`Record`], on one
//! common clock. [`verify`] then checks the complete record and collects every finding, so that one
//! run shows all violations. A record prints as one line per observation and parses back, so that a
//! failed run can be stored as a test file; a finding names the line in that file.
//!
//! | module | contents |
//! |---|---|
//! | [`observation`] | kinds of observations and their text form |
//! | [`record`] | sequence of observations, printed and parsed |
//! | [`bounds`] | time limits of the checks |
//! | `history` | requests and processes, reconstructed from the record |
//! | `promises` | one check for each promise or set of rules |

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

/// Runs all checks over a record whose observation ended at `end`.
pub fn verify(record: &Record, end: TimeUs, bounds: &Bounds) -> Findings {
    let history = History::from_record(record);
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
