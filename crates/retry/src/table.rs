//! The retry table: what to do after a step failed, from the evidence held.
//!
//! A model call holds only leases, which end by themselves, so it may always be tried elsewhere. A
//! non-idempotent call whose `RunCall` may have been sent is repeated only when the evidence proves
//! that it did not run. Combinations of kind and step that no call reaches are reported as unknown,
//! because that claims nothing.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Model call.
    Model,
    /// Application call that may be repeated.
    Idempotent,
    /// Application call that may not be repeated.
    NonIdempotent,
}

/// Step that a call had reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Choosing servers.
    Route,
    /// Reserving a decode place.
    Reserve,
    /// Computing the prompt.
    Prefill,
    /// Importing the KV cache.
    Transfer,
    /// Generating the answer.
    Decode,
    /// Getting a permit.
    Permit,
    /// Running the application call.
    Run,
    /// Asking for the outcome of a permit.
    Ask,
}

/// What is known about the failure of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// The agent refused; the message had no effect.
    RefusedNotRun,
    /// The agent takes no new work; the message had no effect.
    Draining,
    /// No connection was made; the message had no effect.
    ConnectFailed,
    /// The connection is open and silent, or ended after the message was sent.
    Silent,
    /// The step took longer than its limit.
    TimedOut,
    /// The agent has restarted since the step began.
    NewIncarnation,
    /// The engine failed the step.
    EngineFailed,
    /// The permit had not started and can no longer be used.
    Voided,
    /// The call is still running.
    StillRunning,
    /// The owner does not know whether the call ran.
    OutcomeUnknown,
    /// The caller is gone.
    Cancelled,
    /// The agent has newer lists that do not allow the request.
    StaleLists,
}

/// What to do after a step failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// Try another server.
    RetryElsewhere,
    /// Try the same server again.
    RetrySame,
    /// Resume at the same server over a fresh connection.
    Resume,
    /// Ask the agent that owns the permit over a fresh connection.
    AskOwner,
    /// Tell the caller that the call did not run.
    ReportNotRun,
    /// Tell the caller that the outcome is unknown.
    ReportUnknown,
    /// End the call; there is nobody to tell.
    Stop,
}

/// Most attempts for one request, the first included.
pub const ATTEMPTS_MAX: u32 = 3;

/// What to do after a step of a call failed.
pub fn decide(kind: CallKind, step: Step, evidence: Evidence) -> Decision {
    if evidence == Evidence::Cancelled {
        return Decision::Stop;
    }
    match (kind, step) {
        (_, Step::Route) => Decision::ReportNotRun,
        (CallKind::Model, Step::Reserve) => Decision::RetryElsewhere,
        (CallKind::Model, Step::Prefill | Step::Transfer | Step::Decode) => decide_engine(evidence),
        (CallKind::Idempotent, Step::Run) => Decision::RetryElsewhere,
        (CallKind::NonIdempotent, Step::Permit) => decide_permit(evidence),
        (CallKind::NonIdempotent, Step::Run) => decide_run(evidence),
        (CallKind::NonIdempotent, Step::Ask) => decide_ask(evidence),
        _ => Decision::ReportUnknown,
    }
}

/// What to tell the caller when no attempt, retry budget or time is left for [`decide`].
///
/// An earlier attempt of the call may have run as well; see [`may_have_run`].
pub fn decide_without_retry(kind: CallKind, step: Step, evidence: Evidence) -> Decision {
    match decide(kind, step, evidence) {
        end @ (Decision::Stop | Decision::ReportNotRun | Decision::ReportUnknown) => end,
        _ if may_have_run(kind, step, evidence) => Decision::ReportUnknown,
        _ => Decision::ReportNotRun,
    }
}

/// Whether the service may have run the call in the attempt that ended with this evidence.
///
/// Always false for the steps of model calls, which have no effect outside the engines.
pub fn may_have_run(kind: CallKind, step: Step, evidence: Evidence) -> bool {
    let is_sent = kind != CallKind::Model && matches!(step, Step::Run | Step::Ask);
    is_sent && !proves_not_run(step, evidence)
}

/// Whether evidence at a step after `RunCall` was sent proves that the call did not run.
///
/// A refused or failed query says nothing about the call that it asks about.
fn proves_not_run(step: Step, evidence: Evidence) -> bool {
    match evidence {
        Evidence::Voided => true,
        Evidence::RefusedNotRun
        | Evidence::Draining
        | Evidence::ConnectFailed
        | Evidence::StaleLists => step == Step::Run,
        _ => false,
    }
}

/// Steps at engines: a repeat over a fresh connection joins the running prefill or decode.
///
/// The call itself repeats a failed import once before it asks the table, so a new prefill follows.
fn decide_engine(evidence: Evidence) -> Decision {
    match evidence {
        Evidence::Silent | Evidence::StillRunning => Decision::Resume,
        _ => Decision::RetryElsewhere,
    }
}

/// Before `RunCall` is sent nothing can have run, unless a key was used before.
fn decide_permit(evidence: Evidence) -> Decision {
    match evidence {
        Evidence::StillRunning | Evidence::OutcomeUnknown => Decision::ReportUnknown,
        _ => Decision::RetryElsewhere,
    }
}

fn decide_run(evidence: Evidence) -> Decision {
    match evidence {
        Evidence::RefusedNotRun
        | Evidence::Draining
        | Evidence::ConnectFailed
        | Evidence::Voided
        | Evidence::StaleLists => Decision::RetryElsewhere,
        Evidence::Silent | Evidence::TimedOut | Evidence::StillRunning => Decision::AskOwner,
        Evidence::NewIncarnation | Evidence::EngineFailed | Evidence::OutcomeUnknown => {
            Decision::ReportUnknown
        }
        Evidence::Cancelled => Decision::Stop,
    }
}

fn decide_ask(evidence: Evidence) -> Decision {
    match evidence {
        Evidence::Voided => Decision::RetryElsewhere,
        Evidence::Draining
        | Evidence::ConnectFailed
        | Evidence::Silent
        | Evidence::TimedOut
        | Evidence::StillRunning => Decision::AskOwner,
        Evidence::RefusedNotRun
        | Evidence::NewIncarnation
        | Evidence::EngineFailed
        | Evidence::OutcomeUnknown
        | Evidence::StaleLists => Decision::ReportUnknown,
        Evidence::Cancelled => Decision::Stop,
    }
}
