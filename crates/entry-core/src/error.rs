//! Errors that callers see.

use strum::{Display, EnumIter, IntoStaticStr};

/// What a caller may conclude from an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallOutcome {
    /// The request did not run and will not.
    NotRun,
    /// The call may or may not have run.
    Unknown,
    /// The answer ended before it was whole.
    Incomplete,
}

/// Code of an error; fixes its HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    Malformed,
    /// The customer key is missing or wrong.
    Unauthenticated,
    /// The plan does not allow the request.
    OutsidePlan,
    /// No such model, service or address.
    NotFound,
    /// The body is over the limit.
    BodyTooLarge,
    /// The customer is over the rate of the plan.
    RateLimited,
    /// The pool has no room in time.
    Overloaded,
    /// No usable backend server.
    NoServer,
    /// The process is stopping.
    Stopping,
    /// The request was not answered in time.
    TimedOut,
    /// The back end failed.
    BackendFailed,
    /// The call may or may not have run.
    OutcomeUnknown,
}

impl ErrorCode {
    /// HTTP status of the error.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthenticated => 401,
            Self::OutsidePlan => 403,
            Self::NotFound => 404,
            Self::BodyTooLarge => 413,
            Self::RateLimited | Self::Overloaded => 429,
            Self::NoServer | Self::Stopping => 503,
            Self::BackendFailed => 502,
            Self::TimedOut | Self::OutcomeUnknown => 504,
        }
    }
}

/// Error that ends a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerError {
    /// Code.
    pub code: ErrorCode,
    /// What the caller may conclude.
    pub outcome: CallOutcome,
    /// Reason in plain words.
    pub message: String,
}
