//! Answers of an agent.

use cuminlead_types::{DurationUs, PermitId, Tokens};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::envelope::AgentState;
use crate::request::HttpResponse;

/// Why an agent refused; the refused message had no effect ("not run").
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
    /// The agent takes no new work.
    Draining,
    /// The queue is full.
    QueueFull,
    /// The first token cannot come in time.
    CannotMeetTarget,
    /// The wait bound of the message ended.
    WaitEnded,
    /// The request needs more memory than the engine has.
    TooLarge,
    /// The customer's plan does not allow it under the agent's lists.
    OutsidePlan,
    /// The engine does not serve the model, adapter, version or role.
    NotServed,
    /// The lease of the attempt is unknown or expired.
    NoSuchLease,
    /// The permit is unknown, expired, voided, used, or of another incarnation.
    PermitInvalid,
    /// The call needs a permit and has none.
    PermitMissing,
    /// Under the agent's lists another server owns the idempotency key.
    NotOwner,
    /// The agent's lists are too old to accept a keyed call.
    ListsUnconfirmed,
    /// The agent has not yet loaded its lists or read its engine's inventory.
    Starting,
    /// The message arrived malformed.
    Malformed,
}

/// Why a message that was accepted did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AgentFailure {
    /// Refused without any effect.
    Refused(RefusalReason),
    /// The engine failed or lost the request.
    EngineFailed,
    /// The KV cache could not be imported in time.
    TransferFailed,
    /// The attempt was cancelled or released.
    Cancelled,
    /// The service may or may not have run the call.
    OutcomeUnknown,
    /// The service failed without an answer; only reported for idempotent calls.
    ServiceFailed,
}

/// Answer to one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentReply {
    /// State of the agent.
    pub state: AgentState,
    /// Outcome of the message.
    pub body: ReplyBody,
}

/// Outcome of one message.
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReplyBody {
    /// A decode place is held.
    Reserved(Reserved),
    /// The prefill is done and its KV cache is held.
    Prefilled(Prefilled),
    /// Nothing is held for the attempt any more.
    Released,
    /// A permit was issued.
    PermitIssued(PermitIssued),
    /// A call with this key is done already; the answer is repeated.
    KeyReplayed(HttpResponse),
    /// A call with this key is running.
    KeyRunning,
    /// A call with this key may have run before; it is not run again.
    KeyUnknown,
    /// The service answered.
    CallDone(HttpResponse),
    /// Outcome of a permit.
    PermitOutcome(PermitOutcome),
    /// State only.
    State,
    /// The message failed.
    Failed(AgentFailure),
}

/// A decode place is held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reserved {
    /// Time until the lease ends unless decoding starts.
    pub expires_in_us: DurationUs,
}

/// Address of a KV cache at the engine that computed it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvHandle {
    /// IP address and port of the exporting engine.
    pub address: String,
    /// Name of the cache at that engine.
    pub handle: String,
}

/// A finished prefill.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefilled {
    /// Where the KV cache can be imported from.
    pub kv: KvHandle,
    /// Tokens of the prompt as the engine counted them.
    pub prompt_tokens: Tokens,
    /// Tokens taken from the engine's prefix cache.
    pub cached_tokens: Tokens,
    /// Time that the KV cache is held.
    pub held_for_us: DurationUs,
}

/// An issued permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitIssued {
    /// The permit.
    pub permit: PermitId,
    /// Time until it expires unless used.
    pub expires_in_us: DurationUs,
}

/// What became of a permit.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum PermitOutcome {
    /// It was not used and can no longer be used.
    Voided,
    /// The call is running.
    Running,
    /// The service answered.
    Done(HttpResponse),
    /// The call may or may not have run.
    Unknown,
}
