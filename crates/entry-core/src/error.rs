//! Errors returned to callers.

use strum::{Display, EnumIter, IntoStaticStr};

/// What is known about the execution of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallOutcome {
    /// The request did not run and will not.
    NotRun,
    /// The call may or may not have run.
    Unknown,
    /// The output ended before it was complete.
    Incomplete,
}

/// Error code; determines the HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    Malformed,
    /// The customer key is missing or wrong.
    Unauthenticated,
    /// The customer's plan does not allow the request.
    OutsidePlan,
    /// Unknown model, service or path.
    NotFound,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The customer exceeds the rate limit of the plan.
    RateLimited,
    /// No server has capacity for the request in time.
    Overloaded,
    /// No backend server is usable.
    NoServer,
    /// A part of the prompt is in quarantine because it crashes backend servers.
    Quarantined,
    /// The process is shutting down.
    Stopping,
    /// The deadline was exceeded, or a backend server was unresponsive.
    TimedOut,
    /// The backend server failed.
    BackendFailed,
    /// The call may or may not have run.
    OutcomeUnknown,
}

impl ErrorCode {
    /// HTTP status of the response to the caller.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthenticated => 401,
            Self::OutsidePlan => 403,
            Self::NotFound => 404,
            Self::BodyTooLarge => 413,
            Self::RateLimited | Self::Overloaded => 429,
            Self::NoServer | Self::Quarantined | Self::Stopping => 503,
            Self::BackendFailed => 502,
            Self::TimedOut | Self::OutcomeUnknown => 504,
        }
    }
}

/// Error that ends a request, returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerError {
    /// Determines the HTTP status.
    pub code: ErrorCode,
    /// What is known about the execution of the request.
    pub outcome: CallOutcome,
    /// Human-readable reason.
    pub message: String,
}
