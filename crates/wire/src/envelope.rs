//! Conversions of the fields common to all messages and replies, and of ids.

use cuminlead_protocol::{AgentState, Envelope, LoadReport, SequenceCrash};
use cuminlead_types::{
    Attempt, AttemptId, CustomerId, DurationUs, Incarnation, KvPieces, PermitId, PromptPartId,
    RequestId, Revision, Slots, Tokens,
};

use crate::error::{WireError, required};
use crate::proto;

/// Encodes a request id as 16 bytes in big-endian order.
pub(crate) fn request_to_wire(id: RequestId) -> Vec<u8> {
    id.0.to_be_bytes().to_vec()
}

/// Decodes a request id; any length but 16 bytes is invalid.
pub(crate) fn request_from_wire(bytes: &[u8]) -> Result<RequestId, WireError> {
    let bytes = bytes
        .try_into()
        .map_err(|_| WireError::Invalid("request"))?;
    Ok(RequestId(u128::from_be_bytes(bytes)))
}

impl From<Envelope> for proto::Envelope {
    fn from(envelope: Envelope) -> Self {
        Self {
            entry: envelope.entry.to_string(),
            request: request_to_wire(envelope.id.request),
            attempt: envelope.id.attempt.0,
            customer: envelope.customer.to_string(),
            lists_revision: envelope.lists_revision.0,
            hosts_revision: envelope.hosts_revision.0,
            traceparent: envelope.traceparent,
        }
    }
}

impl TryFrom<proto::Envelope> for Envelope {
    type Error = WireError;

    fn try_from(envelope: proto::Envelope) -> Result<Self, WireError> {
        let request = request_from_wire(&envelope.request)?;
        Ok(Self {
            entry: envelope.entry.parse()?,
            id: AttemptId {
                request,
                attempt: Attempt(envelope.attempt),
            },
            customer: customer_from_wire(&envelope.customer)?,
            lists_revision: Revision(envelope.lists_revision),
            hosts_revision: Revision(envelope.hosts_revision),
            traceparent: envelope.traceparent,
        })
    }
}

/// An empty field is the default id: a probe is not on behalf of a customer.
fn customer_from_wire(customer: &str) -> Result<CustomerId, WireError> {
    if customer.is_empty() {
        return Ok(CustomerId::default());
    }
    Ok(customer.parse()?)
}

impl From<LoadReport> for proto::Load {
    fn from(load: LoadReport) -> Self {
        Self {
            free_slots: load.free_slots.0,
            free_pieces: load.free_pieces.0,
            running_count: load.running_count,
            queued_count: load.queued_count,
            pending_prompt_tokens: load.pending_prompt_tokens.0,
            oldest_stall_us: load.oldest_stall_us.0,
        }
    }
}

impl From<proto::Load> for LoadReport {
    fn from(load: proto::Load) -> Self {
        Self {
            free_slots: Slots(load.free_slots),
            free_pieces: KvPieces(load.free_pieces),
            running_count: load.running_count,
            queued_count: load.queued_count,
            pending_prompt_tokens: Tokens(load.pending_prompt_tokens),
            oldest_stall_us: DurationUs(load.oldest_stall_us),
        }
    }
}

impl From<AgentState> for proto::AgentState {
    fn from(state: AgentState) -> Self {
        Self {
            server: state.server.to_string(),
            incarnation: state.incarnation.0,
            lists_revision: state.lists_revision.0,
            hosts_revision: state.hosts_revision.0,
            draining: state.draining,
            load: Some(state.load.into()),
            crashes: state.crashes.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::AgentState> for AgentState {
    type Error = WireError;

    fn try_from(state: proto::AgentState) -> Result<Self, WireError> {
        let crashes = state.crashes.into_iter().map(TryInto::try_into);
        Ok(Self {
            server: state.server.parse()?,
            incarnation: Incarnation(state.incarnation),
            lists_revision: Revision(state.lists_revision),
            hosts_revision: Revision(state.hosts_revision),
            draining: state.draining,
            load: required("load", state.load)?.into(),
            crashes: crashes.collect::<Result<_, WireError>>()?,
        })
    }
}

impl From<SequenceCrash> for proto::SequenceCrash {
    fn from(crash: SequenceCrash) -> Self {
        Self {
            request: request_to_wire(crash.id.request),
            attempt: crash.id.attempt.0,
            age_us: crash.age_us.0,
            prompt_parts: parts_to_wire(&crash.prompt_parts),
        }
    }
}

impl TryFrom<proto::SequenceCrash> for SequenceCrash {
    type Error = WireError;

    fn try_from(crash: proto::SequenceCrash) -> Result<Self, WireError> {
        Ok(Self {
            id: AttemptId {
                request: request_from_wire(&crash.request)?,
                attempt: Attempt(crash.attempt),
            },
            age_us: DurationUs(crash.age_us),
            prompt_parts: parts_from_wire(&crash.prompt_parts)?,
        })
    }
}

pub(crate) fn parts_to_wire(parts: &[PromptPartId]) -> Vec<String> {
    parts.iter().map(ToString::to_string).collect()
}

pub(crate) fn parts_from_wire(parts: &[String]) -> Result<Vec<PromptPartId>, WireError> {
    let parts = parts.iter().map(|part| Ok(part.parse()?));
    parts.collect()
}

impl From<PermitId> for proto::PermitId {
    fn from(permit: PermitId) -> Self {
        Self {
            incarnation: permit.incarnation.0,
            number: permit.number,
        }
    }
}

impl From<proto::PermitId> for PermitId {
    fn from(permit: proto::PermitId) -> Self {
        Self {
            incarnation: Incarnation(permit.incarnation),
            number: permit.number,
        }
    }
}
