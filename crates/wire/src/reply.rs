//! Conversions of replies from an agent to an entry.

use cuminlead_protocol::{
    AgentFailure, AgentReply, KvHandle, PermitIssued, PermitOutcome, Prefilled, RefusalReason,
    ReplyBody, Reserved,
};
use cuminlead_types::{DurationUs, Tokens};

use crate::error::{WireError, required};
use crate::proto;
use crate::proto::call_reply::Body;
use crate::proto::permit_outcome::Outcome;

impl From<AgentReply> for proto::CallReply {
    fn from(reply: AgentReply) -> Self {
        Self {
            state: Some(reply.state.into()),
            body: Some(body_to_wire(reply.body)),
        }
    }
}

fn body_to_wire(body: ReplyBody) -> Body {
    match body {
        ReplyBody::Reserved(reserved) => Body::Reserved(proto::Reserved {
            expires_in_us: reserved.expires_in_us.0,
        }),
        ReplyBody::Prefilled(prefilled) => Body::Prefilled(proto::Prefilled {
            kv: Some(prefilled.kv.into()),
            prompt_tokens: prefilled.prompt_tokens.0,
            cached_tokens: prefilled.cached_tokens.0,
            held_for_us: prefilled.retained_for_us.0,
        }),
        ReplyBody::Released => Body::Released(proto::Empty {}),
        ReplyBody::PermitIssued(issued) => Body::PermitIssued(proto::PermitIssued {
            permit: Some(issued.permit.into()),
            expires_in_us: issued.expires_in_us.0,
        }),
        ReplyBody::KeyReplayed(http) => Body::KeyReplayed(http.into()),
        ReplyBody::KeyRunning => Body::KeyRunning(proto::Empty {}),
        ReplyBody::KeyUnknown => Body::KeyUnknown(proto::Empty {}),
        ReplyBody::CallDone(http) => Body::CallDone(http.into()),
        ReplyBody::PermitOutcome(outcome) => Body::PermitOutcome(proto::PermitOutcome {
            outcome: Some(outcome_to_wire(outcome)),
        }),
        ReplyBody::State => Body::StateOnly(proto::Empty {}),
        ReplyBody::Failed(failure) => Body::Failed(failure.into()),
    }
}

fn outcome_to_wire(outcome: PermitOutcome) -> Outcome {
    match outcome {
        PermitOutcome::Voided => Outcome::Voided(proto::Empty {}),
        PermitOutcome::Running => Outcome::Running(proto::Empty {}),
        PermitOutcome::Done(http) => Outcome::Done(http.into()),
        PermitOutcome::Unknown => Outcome::Unknown(proto::Empty {}),
    }
}

impl TryFrom<proto::CallReply> for AgentReply {
    type Error = WireError;

    fn try_from(reply: proto::CallReply) -> Result<Self, WireError> {
        let state = required("state", reply.state)?.try_into()?;
        let body = body_from_wire(required("body", reply.body)?)?;
        Ok(Self { state, body })
    }
}

fn body_from_wire(body: Body) -> Result<ReplyBody, WireError> {
    Ok(match body {
        Body::Reserved(reserved) => ReplyBody::Reserved(Reserved {
            expires_in_us: DurationUs(reserved.expires_in_us),
        }),
        Body::Prefilled(prefilled) => ReplyBody::Prefilled(Prefilled {
            kv: required("kv", prefilled.kv)?.into(),
            prompt_tokens: Tokens(prefilled.prompt_tokens),
            cached_tokens: Tokens(prefilled.cached_tokens),
            retained_for_us: DurationUs(prefilled.held_for_us),
        }),
        Body::Released(_) => ReplyBody::Released,
        Body::PermitIssued(issued) => ReplyBody::PermitIssued(PermitIssued {
            permit: required("permit", issued.permit)?.into(),
            expires_in_us: DurationUs(issued.expires_in_us),
        }),
        Body::KeyReplayed(http) => ReplyBody::KeyReplayed(http.try_into()?),
        Body::KeyRunning(_) => ReplyBody::KeyRunning,
        Body::KeyUnknown(_) => ReplyBody::KeyUnknown,
        Body::CallDone(http) => ReplyBody::CallDone(http.try_into()?),
        Body::PermitOutcome(outcome) => {
            ReplyBody::PermitOutcome(outcome_from_wire(required("outcome", outcome.outcome)?)?)
        }
        Body::StateOnly(_) => ReplyBody::State,
        Body::Failed(failure) => ReplyBody::Failed(failure.try_into()?),
    })
}

fn outcome_from_wire(outcome: Outcome) -> Result<PermitOutcome, WireError> {
    Ok(match outcome {
        Outcome::Voided(_) => PermitOutcome::Voided,
        Outcome::Running(_) => PermitOutcome::Running,
        Outcome::Done(http) => PermitOutcome::Done(http.try_into()?),
        Outcome::Unknown(_) => PermitOutcome::Unknown,
    })
}

impl From<KvHandle> for proto::KvHandle {
    fn from(kv: KvHandle) -> Self {
        Self {
            address: kv.address,
            handle: kv.handle,
        }
    }
}

impl From<proto::KvHandle> for KvHandle {
    fn from(kv: proto::KvHandle) -> Self {
        Self {
            address: kv.address,
            handle: kv.handle,
        }
    }
}

impl From<AgentFailure> for proto::Failure {
    fn from(failure: AgentFailure) -> Self {
        let reason = match &failure {
            AgentFailure::Refused(reason) => reason.to_string(),
            _ => String::new(),
        };
        Self {
            kind: failure.to_string(),
            reason,
        }
    }
}

impl TryFrom<proto::Failure> for AgentFailure {
    type Error = WireError;

    fn try_from(failure: proto::Failure) -> Result<Self, WireError> {
        Ok(match failure.kind.as_str() {
            "refused" => {
                let reason: Result<RefusalReason, _> = failure.reason.parse();
                Self::Refused(reason.map_err(|_| WireError::Invalid("reason"))?)
            }
            "engine_failed" => Self::EngineFailed,
            "transfer_failed" => Self::TransferFailed,
            "cancelled" => Self::Cancelled,
            "outcome_unknown" => Self::OutcomeUnknown,
            "service_failed" => Self::ServiceFailed,
            _ => return Err(WireError::Invalid("kind")),
        })
    }
}
