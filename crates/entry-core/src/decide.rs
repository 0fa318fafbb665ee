//! Rows of the retry table that the calls need, until `cuminlead_retry::decide` is merged.

use cuminlead_retry::{CallKind, Decision, Evidence, Step};

/// What to do after a step failed.
pub(crate) fn decide(kind: CallKind, step: Step, evidence: Evidence) -> Decision {
    match evidence {
        Evidence::Cancelled => return Decision::Stop,
        Evidence::StaleLists => return Decision::ReportNotRun,
        _ => {}
    }
    match (kind, step) {
        (CallKind::Model, _) => decide_model(step, evidence),
        (_, Step::Route) => Decision::ReportNotRun,
        (CallKind::Idempotent, _) => Decision::RetryElsewhere,
        (CallKind::NonIdempotent, Step::Permit) => decide_permit(evidence),
        (CallKind::NonIdempotent, Step::Run) => decide_run(evidence),
        (CallKind::NonIdempotent, _) => decide_ask(evidence),
    }
}

fn decide_model(step: Step, evidence: Evidence) -> Decision {
    match (step, evidence) {
        (Step::Route, _) => Decision::ReportNotRun,
        (Step::Reserve | Step::Prefill, Evidence::Silent) => Decision::RetrySame,
        (Step::Transfer, Evidence::TimedOut) => Decision::RetrySame,
        (Step::Transfer | Step::Decode, Evidence::Silent | Evidence::TimedOut) => Decision::Resume,
        _ => Decision::RetryElsewhere,
    }
}

fn decide_permit(evidence: Evidence) -> Decision {
    match evidence {
        Evidence::Silent => Decision::RetrySame,
        _ => Decision::RetryElsewhere,
    }
}

fn decide_run(evidence: Evidence) -> Decision {
    match evidence {
        Evidence::RefusedNotRun | Evidence::Draining | Evidence::ConnectFailed => {
            Decision::RetryElsewhere
        }
        Evidence::OutcomeUnknown => Decision::ReportUnknown,
        _ => Decision::AskOwner,
    }
}

fn decide_ask(evidence: Evidence) -> Decision {
    match evidence {
        Evidence::Voided => Decision::RetryElsewhere,
        Evidence::OutcomeUnknown | Evidence::NewIncarnation => Decision::ReportUnknown,
        _ => Decision::AskOwner,
    }
}
