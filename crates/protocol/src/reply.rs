//! Replies from an agent to an entry.

use cuminlead_types::{DurationUs, PermitId, Tokens};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::envelope::AgentState;
use crate::request::HttpResponse;

/// Why an agent refused a message. A refused message had no effect and was not run.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The agent is draining and admits no new requests.
    Draining,
    /// The queue, or the table of permit records, is full.
    QueueFull,
    /// The agent estimates that the first token would miss its target.
    CannotMeetTarget,
    /// The request spent the maximum time in the queue.
    WaitEnded,
    /// The request needs more KV memory than the engine has in total.
    TooLarge,
    /// The customer's plan does not allow the request, according to the agent's lists.
    OutsidePlan,
    /// The server does not serve this model, adapter, version, role or service.
    NotServed,
    /// The attempt has no lease here, or it has expired.
    NoSuchLease,
    /// The permit is unknown, expired, voided, already used, or from another incarnation.
    PermitInvalid,
    /// The call is not idempotent and has no permit.
    PermitMissing,
    /// Another server owns the idempotency key, according to the agent's lists.
    NotOwner,
    /// The agent's lists were confirmed as newest too long ago to accept a call with an idempotency
    /// key.
    ListsUnconfirmed,
    /// The agent has not yet received its lists or read the engine's inventory.
    Starting,
    /// The message is malformed.
    Malformed,
}

/// Why a message did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AgentFailure {
    /// The agent refused the message, which had no effect.
    Refused(RefusalReason),
    /// The engine failed or lost the sequence.
    EngineFailed,
    /// The KV cache was not imported in time.
    TransferFailed,
    /// The attempt was cancelled or its resources were released.
    Cancelled,
    /// It is unknown whether the service ran the call.
    OutcomeUnknown,
    /// The service failed without a response; reported only for idempotent calls.
    ServiceFailed,
}

/// Reply to one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentReply {
    /// State of the agent when the reply was sent.
    pub state: AgentState,
    /// Result of the message.
    pub body: ReplyBody,
}

/// Result of one message.
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReplyBody {
    /// A decode slot is reserved.
    Reserved(Reserved),
    /// The prefill is complete and its KV cache is retained.
    Prefilled(Prefilled),
    /// The attempt has no more resources at this agent.
    Released,
    /// A new permit was issued.
    PermitIssued(PermitIssued),
    /// A call with this idempotency key is already complete; repeats its response.
    KeyReplayed(HttpResponse),
    /// A call with this idempotency key is running.
    KeyRunning,
    /// A call with this idempotency key may have run before; it is not run again.
    KeyUnknown,
    /// The service responded.
    CallDone(HttpResponse),
    /// Outcome of the permit in a query.
    PermitOutcome(PermitOutcome),
    /// Reply to a state query.
    State,
    /// The message was refused or failed.
    Failed(AgentFailure),
}

/// Reservation of a decode slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reserved {
    /// Time until the lease expires unless decoding starts.
    pub expires_in_us: DurationUs,
}

/// Reference to a KV cache at the engine that computed it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvHandle {
    /// IP address and port of the exporting engine.
    pub address: String,
    /// Handle that this engine assigned to the cache.
    pub handle: String,
}

/// Completed prefill.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefilled {
    /// KV cache to import for decoding.
    pub kv: KvHandle,
    /// Length of the prompt as counted by the engine.
    pub prompt_tokens: Tokens,
    /// Prompt tokens found in the engine's prefix cache.
    pub cached_tokens: Tokens,
    /// Time for which the engine retains the KV cache.
    pub retained_for_us: DurationUs,
}

/// Permit that the agent has issued.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitIssued {
    /// Id to send with the call.
    pub permit: PermitId,
    /// Time until the permit expires unless its call starts.
    pub expires_in_us: DurationUs,
}

/// State of the call of a permit.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum PermitOutcome {
    /// The call did not start and can no longer start.
    Voided,
    /// The call has started and not ended.
    Running,
    /// The service responded.
    Done(HttpResponse),
    /// It is unknown whether the call ran.
    Unknown,
}
