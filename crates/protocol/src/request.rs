//! Requests from an entry to an agent, each answered by one reply.

use cuminlead_types::{
    AdapterName, DurationUs, IdempotencyKey, ModelName, PermitId, Priority, PromptPartId,
    ServiceName, Tokens, UnixMs, VersionName,
};
use strum::{Display, IntoStaticStr};

use crate::envelope::Envelope;

/// Model version, with or without an adapter, that a request runs on.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelTarget {
    /// Model, without its version.
    pub model: ModelName,
    /// Adapter, if the plan's allowance has one.
    pub adapter: Option<AdapterName>,
    /// Version of the weights.
    pub version: VersionName,
}

/// Request from an entry, answered by one reply.
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AgentRequest {
    /// Reserves a decode slot.
    Reserve(Reserve),
    /// Runs a prefill, or attaches to the running prefill of the same attempt.
    Prefill(Prefill),
    /// Releases the resources of the attempt at this agent.
    Release(Release),
    /// Requests a permit for a non-idempotent call.
    IssuePermit(IssuePermit),
    /// Runs a call to a plain service.
    RunCall(RunCall),
    /// Queries the outcome of a permit, and voids the permit if its call has not started.
    #[strum(serialize = "ask_permit")]
    QueryPermit(QueryPermit),
    /// Queries the agent's state.
    GetState(GetState),
}

impl AgentRequest {
    /// Header of the message, whichever variant it is.
    pub fn envelope(&self) -> &Envelope {
        match self {
            Self::Reserve(message) => &message.envelope,
            Self::Prefill(message) => &message.envelope,
            Self::Release(message) => &message.envelope,
            Self::IssuePermit(message) => &message.envelope,
            Self::RunCall(message) => &message.envelope,
            Self::QueryPermit(message) => &message.envelope,
            Self::GetState(message) => &message.envelope,
        }
    }

    /// Mutable header of the message.
    pub fn envelope_mut(&mut self) -> &mut Envelope {
        match self {
            Self::Reserve(message) => &mut message.envelope,
            Self::Prefill(message) => &mut message.envelope,
            Self::Release(message) => &mut message.envelope,
            Self::IssuePermit(message) => &mut message.envelope,
            Self::RunCall(message) => &mut message.envelope,
            Self::QueryPermit(message) => &mut message.envelope,
            Self::GetState(message) => &mut message.envelope,
        }
    }
}

/// Reserves a decode slot and the KV memory for the prompt and the longest output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reserve {
    /// Header with sender and request.
    pub envelope: Envelope,
    /// Model version and adapter to decode with.
    pub target: ModelTarget,
    /// Scheduling priority from the plan's allowance.
    pub priority: Priority,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Prefixes of the prompt that other prompts may share, shortest first.
    pub prompt_parts: Vec<PromptPartId>,
    /// Maximum length of the output.
    pub output_max_tokens: Tokens,
    /// Time for which the lease must last if decoding does not start; the agent may shorten it.
    pub lease_us: DurationUs,
    /// Time left until the target for the first token.
    pub due_us: DurationUs,
    /// Maximum time in the agent's queue; the agent may shorten it.
    pub wait_max_us: DurationUs,
}

/// Runs a prefill and retains its KV cache for export.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefill {
    /// Header with sender and request.
    pub envelope: Envelope,
    /// Model version and adapter to prefill with.
    pub target: ModelTarget,
    /// Scheduling priority from the plan's allowance.
    pub priority: Priority,
    /// Prompt, followed by the output that earlier attempts delivered.
    pub prompt: String,
    /// Length of `prompt`.
    pub prompt_tokens: Tokens,
    /// Time left until the target for the first token.
    pub due_us: DurationUs,
    /// Maximum time in the agent's queue; the agent may shorten it.
    pub wait_max_us: DurationUs,
}

/// Releases the resources of an attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Release {
    /// Header with sender and request.
    pub envelope: Envelope,
}

/// Requests a permit for a non-idempotent call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IssuePermit {
    /// Header with sender and request.
    pub envelope: Envelope,
    /// Service to call.
    pub service: ServiceName,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Creation time of the key according to the caller, if sent.
    pub key_issued_at_ms: Option<UnixMs>,
}

/// Runs a call to a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunCall {
    /// Header with sender and request.
    pub envelope: Envelope,
    /// Service to call.
    pub service: ServiceName,
    /// Permit, required unless the lists declare the call idempotent.
    pub permit: Option<PermitId>,
    /// Request to forward to the service.
    pub http: HttpRequest,
}

/// Queries the outcome of a permit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueryPermit {
    /// Header with sender and request.
    pub envelope: Envelope,
    /// Permit to look up.
    pub permit: PermitId,
}

/// Queries the agent's state; also used as a probe.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GetState {
    /// Header with the sender.
    pub envelope: Envelope,
}

/// HTTP request that an agent forwards to a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// HTTP method, such as `POST`.
    pub method: String,
    /// Path and query string.
    pub path: String,
    /// `Content-Type` header, or empty.
    pub content_type: String,
    /// Body as received from the caller.
    pub body: Vec<u8>,
}

/// HTTP response of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// `Content-Type` header, or empty.
    pub content_type: String,
    /// Body as received from the service.
    pub body: Vec<u8>,
}
