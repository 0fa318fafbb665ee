//! Causes of failed steps, mapped to evidence for the retry table and to errors for the caller.

use cuminlead_protocol::{AgentFailure, RefusalReason};
use cuminlead_retry::Evidence;

use crate::error::ErrorCode;

/// Cause of a failed step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cause {
    pub(crate) evidence: Evidence,
    /// Reason given by the agent, when it refused the message.
    pub(crate) refusal: Option<RefusalReason>,
    /// Whether the KV transfer failed, which leaves the reserved decode slot intact.
    pub(crate) is_transfer_failure: bool,
    /// Whether the prompt has a part that crashes engines.
    pub(crate) is_quarantined: bool,
}

impl Cause {
    pub(crate) const fn new(evidence: Evidence) -> Self {
        Self {
            evidence,
            refusal: None,
            is_transfer_failure: false,
            is_quarantined: false,
        }
    }

    /// Cause of a failure that an agent reported for a model call.
    pub(crate) fn from_failure(failure: &AgentFailure) -> Self {
        match failure {
            AgentFailure::Refused(reason) => Self::from_refusal(*reason),
            AgentFailure::EngineFailed => Self::new(Evidence::EngineFailed),
            AgentFailure::TransferFailed => Self {
                is_transfer_failure: true,
                ..Self::new(Evidence::TimedOut)
            },
            // The agent ended the lease, so it no longer knows the attempt, as after an expired
            // lease.
            AgentFailure::Cancelled => Self::from_refusal(RefusalReason::NoSuchLease),
            AgentFailure::OutcomeUnknown => Self::new(Evidence::OutcomeUnknown),
            AgentFailure::ServiceFailed => Self::new(Evidence::EngineFailed),
        }
    }

    /// Cause of a failure that an agent reported for an application call. Only a refusal proves
    /// that the call did not run.
    pub(crate) fn from_call_failure(failure: &AgentFailure) -> Self {
        match failure {
            AgentFailure::Refused(reason) => Self::from_refusal(*reason),
            AgentFailure::ServiceFailed => Self::new(Evidence::EngineFailed),
            _ => Self::new(Evidence::OutcomeUnknown),
        }
    }

    pub(crate) fn from_refusal(reason: RefusalReason) -> Self {
        let evidence = match reason {
            RefusalReason::Draining => Evidence::Draining,
            RefusalReason::OutsidePlan | RefusalReason::NotOwner => Evidence::StaleLists,
            _ => Evidence::RefusedNotRun,
        };
        Self {
            refusal: Some(reason),
            ..Self::new(evidence)
        }
    }

    /// No server was chosen, so nothing was sent.
    pub(crate) const NO_SERVER: Self = Self::new(Evidence::RefusedNotRun);

    /// A part of the prompt is in quarantine, so nothing was sent.
    pub(crate) const QUARANTINED: Self = Self {
        is_quarantined: true,
        ..Self::NO_SERVER
    };

    pub(crate) fn error_code(&self) -> ErrorCode {
        if self.is_quarantined {
            return ErrorCode::Quarantined;
        }
        match self.refusal {
            Some(reason) => refusal_code(reason),
            None => evidence_code(self.evidence),
        }
    }

    /// Human-readable reason, returned to the caller.
    pub(crate) fn message(&self) -> String {
        match self.refusal {
            Some(reason) => format!("refused by the backend server: {reason}"),
            None if self.is_quarantined => {
                "a part of the prompt crashes backend servers".to_string()
            }
            None if *self == Self::NO_SERVER => "no usable backend server".to_string(),
            None => format!("no answer from the backend server: {}", self.evidence),
        }
    }
}

fn refusal_code(reason: RefusalReason) -> ErrorCode {
    match reason {
        RefusalReason::QueueFull
        | RefusalReason::CannotMeetTarget
        | RefusalReason::WaitEnded
        | RefusalReason::TooLarge => ErrorCode::Overloaded,
        RefusalReason::OutsidePlan => ErrorCode::OutsidePlan,
        RefusalReason::Malformed => ErrorCode::Malformed,
        RefusalReason::Draining
        | RefusalReason::NotServed
        | RefusalReason::NoSuchLease
        | RefusalReason::PermitInvalid
        | RefusalReason::PermitMissing
        | RefusalReason::NotOwner
        | RefusalReason::ListsUnconfirmed
        | RefusalReason::Starting => ErrorCode::NoServer,
    }
}

fn evidence_code(evidence: Evidence) -> ErrorCode {
    match evidence {
        Evidence::RefusedNotRun | Evidence::Draining | Evidence::ConnectFailed => {
            ErrorCode::NoServer
        }
        Evidence::Unresponsive | Evidence::TimedOut | Evidence::Cancelled => ErrorCode::TimedOut,
        Evidence::NewIncarnation | Evidence::EngineFailed | Evidence::Voided => {
            ErrorCode::BackendFailed
        }
        Evidence::StillRunning | Evidence::OutcomeUnknown => ErrorCode::OutcomeUnknown,
        Evidence::StaleLists => ErrorCode::OutsidePlan,
    }
}
