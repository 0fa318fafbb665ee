//! Messages from an entry to an agent.

use cuminlead_types::{
    AdapterName, DurationUs, IdempotencyKey, ModelName, PermitId, Priority, ServiceName, Tokens,
    UnixMs, VersionName,
};
use strum::{Display, IntoStaticStr};

use crate::envelope::Envelope;

/// Model, adapter and version that a request is for.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelTarget {
    /// Model.
    pub model: ModelName,
    /// Adapter, if the plan names one.
    pub adapter: Option<AdapterName>,
    /// Version of the weights.
    pub version: VersionName,
}

/// Message from an entry, answered once.
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AgentRequest {
    /// Asks for a decode place.
    Reserve(Reserve),
    /// Runs a prefill, or joins the running one of the same attempt.
    Prefill(Prefill),
    /// Frees what the attempt holds at this agent.
    Release(Release),
    /// Asks for a permit for a non-idempotent call.
    IssuePermit(IssuePermit),
    /// Runs an application call.
    RunCall(RunCall),
    /// Asks for the outcome of a permit; voids it when it has not started.
    AskPermit(AskPermit),
    /// Asks for the agent's state.
    GetState(GetState),
}

impl AgentRequest {
    /// Envelope of the message.
    pub fn envelope(&self) -> &Envelope {
        match self {
            Self::Reserve(message) => &message.envelope,
            Self::Prefill(message) => &message.envelope,
            Self::Release(message) => &message.envelope,
            Self::IssuePermit(message) => &message.envelope,
            Self::RunCall(message) => &message.envelope,
            Self::AskPermit(message) => &message.envelope,
            Self::GetState(message) => &message.envelope,
        }
    }

    /// Envelope of the message, to be changed.
    pub fn envelope_mut(&mut self) -> &mut Envelope {
        match self {
            Self::Reserve(message) => &mut message.envelope,
            Self::Prefill(message) => &mut message.envelope,
            Self::Release(message) => &mut message.envelope,
            Self::IssuePermit(message) => &mut message.envelope,
            Self::RunCall(message) => &mut message.envelope,
            Self::AskPermit(message) => &mut message.envelope,
            Self::GetState(message) => &mut message.envelope,
        }
    }
}

/// Asks for a decode place: one slot and the KV pieces of prompt and answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reserve {
    /// Sender and request.
    pub envelope: Envelope,
    /// Model to decode with.
    pub target: ModelTarget,
    /// Priority from the plan.
    pub priority: Priority,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens that the answer may have.
    pub output_max_tokens: Tokens,
    /// Time that the lease must last until decoding starts.
    pub lease_us: DurationUs,
    /// Time left until the first token is due.
    pub due_us: DurationUs,
    /// Longest time to wait in the queue.
    pub wait_max_us: DurationUs,
}

/// Runs a prefill.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefill {
    /// Sender and request.
    pub envelope: Envelope,
    /// Model to prefill with.
    pub target: ModelTarget,
    /// Priority from the plan.
    pub priority: Priority,
    /// Prompt, with the text delivered by earlier attempts appended.
    pub prompt: String,
    /// Tokens of `prompt`.
    pub prompt_tokens: Tokens,
    /// Time left until the first token is due.
    pub due_us: DurationUs,
    /// Longest time to wait in the queue.
    pub wait_max_us: DurationUs,
}

/// Frees what an attempt holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Release {
    /// Sender and request.
    pub envelope: Envelope,
}

/// Asks for a permit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IssuePermit {
    /// Sender and request.
    pub envelope: Envelope,
    /// Service to be called.
    pub service: ServiceName,
    /// Key given by the caller.
    pub key: Option<IdempotencyKey>,
    /// When the caller says that it made the key.
    pub key_issued_at_ms: Option<UnixMs>,
}

/// Runs an application call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunCall {
    /// Sender and request.
    pub envelope: Envelope,
    /// Service to be called.
    pub service: ServiceName,
    /// Permit; required for a non-idempotent call.
    pub permit: Option<PermitId>,
    /// Call to forward.
    pub http: HttpRequest,
}

/// Asks for the outcome of a permit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AskPermit {
    /// Sender and request.
    pub envelope: Envelope,
    /// Permit that is asked about.
    pub permit: PermitId,
}

/// Asks for the agent's state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GetState {
    /// Sender.
    pub envelope: Envelope,
}

/// HTTP request that is forwarded to a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method, such as `POST`.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Content type of the body, or empty.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// HTTP response of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Content type of the body, or empty.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}
