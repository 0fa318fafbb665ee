//! The retry table: what to do after a step failed, from the evidence held.

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
