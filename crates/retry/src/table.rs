//! The retry table: the decision after a failed step, by call kind, step and evidence.
//!
//! A model call holds only leases, which expire by themselves, so it may always be retried on
//! another server. A non-idempotent call whose `RunCall` may have been sent is retried only if the
//! evidence proves that the call did not run. Combinations of kind and step that no call reaches
//! are reported as outcome unknown, which makes no claim about whether the call ran.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Kind of a call, which determines whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Call to a model, executed by engines.
    Model,
    /// Application call that may be executed more than once.
    Idempotent,
    /// Application call that must not be executed more than once.
    NonIdempotent,
}

/// Step of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Choosing backend servers.
    Route,
    /// Reserving a decode slot.
    Reserve,
    /// Computing the KV cache of the prompt.
    Prefill,
    /// Importing the KV cache into the decode engine.
    Transfer,
    /// Generating the output.
    Decode,
    /// Requesting a permit for a non-idempotent application call.
    Permit,
    /// Executing an application call.
    Run,
    /// Querying the outcome of a permit.
    #[strum(serialize = "ask")]
    QueryOutcome,
}

/// What is known about the failure of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// The agent refused; the message had no effect.
    RefusedNotRun,
    /// The agent is draining and accepts no new requests; the message had no effect.
    Draining,
    /// No connection was established; the message had no effect.
    ConnectFailed,
    /// The connection is open but unresponsive, or was closed after the message was sent.
    #[strum(serialize = "silent")]
    Unresponsive,
    /// The step exceeded its time limit.
    TimedOut,
    /// The agent has restarted since the step began.
    NewIncarnation,
    /// The step failed in the engine or the service.
    EngineFailed,
    /// The call of the permit had not started, and the permit can no longer be used.
    Voided,
    /// The call is still running.
    StillRunning,
    /// The agent that owns the permit does not know whether the call ran.
    OutcomeUnknown,
    /// The caller cancelled the call or disconnected.
    Cancelled,
    /// The agent has newer lists, which do not allow the request.
    StaleLists,
}

/// Decision after a failed step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// Retry on another server.
    RetryElsewhere,
    /// Retry on the same server.
    RetrySame,
    /// Resume on the same server over a new connection.
    Resume,
    /// Query the agent that owns the permit over a new connection.
    #[strum(serialize = "ask_owner")]
    QueryOwner,
    /// Report to the caller that the call did not run.
    ReportNotRun,
    /// Report to the caller that the outcome is unknown.
    ReportUnknown,
    /// End the call without a report, because its caller no longer waits for one.
    Stop,
}

/// Maximum number of attempts of one request, including the first.
pub const ATTEMPTS_MAX: u32 = 3;

/// Decides what to do after a step failed, if an attempt, retry budget and time are left.
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
        (CallKind::NonIdempotent, Step::QueryOutcome) => decide_ask(evidence),
        _ => Decision::ReportUnknown,
    }
}

/// Decides what to report to the caller if no attempt, retry budget or time is left.
///
/// Considers only the attempt that failed last. Earlier attempts of the call may have run as well;
/// see [`may_have_run`].
pub fn decide_without_retry(kind: CallKind, step: Step, evidence: Evidence) -> Decision {
    match decide(kind, step, evidence) {
        decision @ (Decision::Stop | Decision::ReportNotRun | Decision::ReportUnknown) => decision,
        _ if may_have_run(kind, step, evidence) => Decision::ReportUnknown,
        _ => Decision::ReportNotRun,
    }
}

/// Whether the service may have executed the call in the attempt that ended with this evidence.
///
/// Always false for model calls, whose steps have no effect outside the engines.
pub fn may_have_run(kind: CallKind, step: Step, evidence: Evidence) -> bool {
    let is_sent = kind != CallKind::Model && matches!(step, Step::Run | Step::QueryOutcome);
    is_sent && !proves_not_run(step, evidence)
}

/// Whether the evidence of a step at or after `RunCall` proves that the call did not run.
///
/// A refused or failed query ([`Step::QueryOutcome`]) proves nothing about the call that it queries.
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

/// Decision for a step at an engine. Resuming over a new connection attaches to the running prefill
/// or decode.
///
/// The model call retries a failed import once before it consults the table, so a retry that is
/// decided here starts with a new prefill.
fn decide_engine(evidence: Evidence) -> Decision {
    match evidence {
        Evidence::Unresponsive | Evidence::StillRunning => Decision::Resume,
        _ => Decision::RetryElsewhere,
    }
}

/// Decision before `RunCall` is sent: the call cannot have run unless its idempotency key was used
/// before.
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
        Evidence::Unresponsive | Evidence::TimedOut | Evidence::StillRunning => {
            Decision::QueryOwner
        }
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
        | Evidence::Unresponsive
        | Evidence::TimedOut
        | Evidence::StillRunning => Decision::QueryOwner,
        Evidence::RefusedNotRun
        | Evidence::NewIncarnation
        | Evidence::EngineFailed
        | Evidence::OutcomeUnknown
        | Evidence::StaleLists => Decision::ReportUnknown,
        Evidence::Cancelled => Decision::Stop,
    }
}
