//! Conversions of requests from an entry to an agent.

use cuminlead_protocol::{
    AgentRequest, Envelope, GetState, HttpRequest, HttpResponse, IssuePermit, ModelTarget, Prefill,
    QueryPermit, Release, Reserve, RunCall,
};
use cuminlead_types::{DurationUs, Priority, Tokens, UnixMs};

use crate::envelope::{parts_from_wire, parts_to_wire};
use crate::error::{WireError, required};
use crate::proto;
use crate::proto::call_request::Body;

impl From<AgentRequest> for proto::CallRequest {
    fn from(request: AgentRequest) -> Self {
        let envelope = Some(request.envelope().clone().into());
        Self {
            envelope,
            body: Some(body_to_wire(request)),
        }
    }
}

fn body_to_wire(request: AgentRequest) -> Body {
    match request {
        AgentRequest::Reserve(message) => Body::Reserve(proto::Reserve {
            target: Some(message.target.into()),
            priority: message.priority.0.into(),
            prompt_tokens: message.prompt_tokens.0,
            output_max_tokens: message.output_max_tokens.0,
            lease_us: message.lease_us.0,
            due_us: message.due_us.0,
            wait_max_us: message.wait_max_us.0,
            prompt_parts: parts_to_wire(&message.prompt_parts),
        }),
        AgentRequest::Prefill(message) => Body::Prefill(proto::Prefill {
            target: Some(message.target.into()),
            priority: message.priority.0.into(),
            prompt: message.prompt,
            prompt_tokens: message.prompt_tokens.0,
            due_us: message.due_us.0,
            wait_max_us: message.wait_max_us.0,
        }),
        AgentRequest::Release(_) => Body::Release(proto::Release {}),
        AgentRequest::IssuePermit(message) => Body::IssuePermit(proto::IssuePermit {
            service: message.service.to_string(),
            key: message.key.map(|key| key.to_string()),
            key_issued_at_ms: message.key_issued_at_ms.map(|time| time.0),
        }),
        AgentRequest::RunCall(message) => Body::RunCall(proto::RunCall {
            service: message.service.to_string(),
            permit: message.permit.map(Into::into),
            http: Some(message.http.into()),
        }),
        AgentRequest::QueryPermit(message) => Body::AskPermit(proto::AskPermit {
            permit: Some(message.permit.into()),
        }),
        AgentRequest::GetState(_) => Body::GetState(proto::GetState {}),
    }
}

impl TryFrom<proto::CallRequest> for AgentRequest {
    type Error = WireError;

    fn try_from(request: proto::CallRequest) -> Result<Self, WireError> {
        let envelope: Envelope = required("envelope", request.envelope)?.try_into()?;
        Ok(match required("body", request.body)? {
            Body::Reserve(body) => Self::Reserve(reserve_from_wire(envelope, body)?),
            Body::Prefill(body) => Self::Prefill(prefill_from_wire(envelope, body)?),
            Body::Release(_) => Self::Release(Release { envelope }),
            Body::IssuePermit(body) => Self::IssuePermit(issue_permit_from_wire(envelope, body)?),
            Body::RunCall(body) => Self::RunCall(run_call_from_wire(envelope, body)?),
            Body::AskPermit(body) => {
                let permit = required("permit", body.permit)?.into();
                Self::QueryPermit(QueryPermit { envelope, permit })
            }
            Body::GetState(_) => Self::GetState(GetState { envelope }),
        })
    }
}

fn priority_from_wire(priority: u32) -> Result<Priority, WireError> {
    u8::try_from(priority)
        .map(Priority)
        .map_err(|_| WireError::Invalid("priority"))
}

fn reserve_from_wire(envelope: Envelope, body: proto::Reserve) -> Result<Reserve, WireError> {
    Ok(Reserve {
        envelope,
        target: required("target", body.target)?.try_into()?,
        priority: priority_from_wire(body.priority)?,
        prompt_tokens: Tokens(body.prompt_tokens),
        prompt_parts: parts_from_wire(&body.prompt_parts)?,
        output_max_tokens: Tokens(body.output_max_tokens),
        lease_us: DurationUs(body.lease_us),
        due_us: DurationUs(body.due_us),
        wait_max_us: DurationUs(body.wait_max_us),
    })
}

fn prefill_from_wire(envelope: Envelope, body: proto::Prefill) -> Result<Prefill, WireError> {
    Ok(Prefill {
        envelope,
        target: required("target", body.target)?.try_into()?,
        priority: priority_from_wire(body.priority)?,
        prompt: body.prompt,
        prompt_tokens: Tokens(body.prompt_tokens),
        due_us: DurationUs(body.due_us),
        wait_max_us: DurationUs(body.wait_max_us),
    })
}

fn issue_permit_from_wire(
    envelope: Envelope,
    body: proto::IssuePermit,
) -> Result<IssuePermit, WireError> {
    Ok(IssuePermit {
        envelope,
        service: body.service.parse()?,
        key: body.key.map(|key| key.parse()).transpose()?,
        key_issued_at_ms: body.key_issued_at_ms.map(UnixMs),
    })
}

fn run_call_from_wire(envelope: Envelope, body: proto::RunCall) -> Result<RunCall, WireError> {
    Ok(RunCall {
        envelope,
        service: body.service.parse()?,
        permit: body.permit.map(Into::into),
        http: required("http", body.http)?.into(),
    })
}

impl From<ModelTarget> for proto::ModelTarget {
    fn from(target: ModelTarget) -> Self {
        Self {
            model: target.model.to_string(),
            adapter: target.adapter.map(|adapter| adapter.to_string()),
            version: target.version.to_string(),
        }
    }
}

impl TryFrom<proto::ModelTarget> for ModelTarget {
    type Error = WireError;

    fn try_from(target: proto::ModelTarget) -> Result<Self, WireError> {
        Ok(Self {
            model: target.model.parse()?,
            adapter: target.adapter.map(|adapter| adapter.parse()).transpose()?,
            version: target.version.parse()?,
        })
    }
}

impl From<HttpRequest> for proto::HttpRequest {
    fn from(http: HttpRequest) -> Self {
        Self {
            method: http.method,
            path: http.path,
            content_type: http.content_type,
            body: http.body,
        }
    }
}

impl From<proto::HttpRequest> for HttpRequest {
    fn from(http: proto::HttpRequest) -> Self {
        Self {
            method: http.method,
            path: http.path,
            content_type: http.content_type,
            body: http.body,
        }
    }
}

impl From<HttpResponse> for proto::HttpResponse {
    fn from(http: HttpResponse) -> Self {
        Self {
            status: http.status.into(),
            content_type: http.content_type,
            body: http.body,
        }
    }
}

impl TryFrom<proto::HttpResponse> for HttpResponse {
    type Error = WireError;

    fn try_from(http: proto::HttpResponse) -> Result<Self, WireError> {
        let status = u16::try_from(http.status).map_err(|_| WireError::Invalid("status"))?;
        Ok(Self {
            status,
            content_type: http.content_type,
            body: http.body,
        })
    }
}
