//! Actions that the agent carries out after an admission decision.

use cuminlead_protocol::{AgentFailure, Chunk, EngineCommand, RefusalReason, ReplyBody};
use cuminlead_types::{AttemptId, CustomerId, Tokens};
use strum::{Display, EnumIter, IntoStaticStr};

/// Open message of an entry that waits for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRef(pub u64);

/// Open decode stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamRef(pub u64);

/// Something that the agent must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Answers a message.
    Reply {
        /// The message.
        call: CallRef,
        /// The answer.
        body: ReplyBody,
    },
    /// Sends on a decode stream.
    Send {
        /// The stream.
        stream: StreamRef,
        /// What to send.
        message: StreamMessage,
    },
    /// Ends a decode stream.
    CloseStream {
        /// The stream.
        stream: StreamRef,
    },
    /// Commands the engine.
    Engine(EngineCommand),
    /// Reports a decision to logs and metrics.
    Record(AdmissionRecord),
}

/// Message on a decode stream, without the agent's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamMessage {
    /// The KV cache was imported.
    Imported,
    /// Part of the answer.
    Chunk(Chunk),
    /// The attempt is still held.
    Heartbeat,
    /// The attempt ended without a whole answer.
    Failed(AgentFailure),
}

/// Decision worth a log line or a metric.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionRecord {
    /// A message was refused.
    Refused {
        /// Attempt.
        id: AttemptId,
        /// Customer.
        customer: CustomerId,
        /// Reason.
        reason: RefusalReason,
    },
    /// What an attempt held was freed.
    Released {
        /// Attempt.
        id: AttemptId,
        /// Why.
        cause: ReleaseCause,
        /// Computed prompt tokens that no decode used.
        wasted_prefill_tokens: Tokens,
    },
    /// The engine held a sequence that no lease covers.
    UnknownSequence {
        /// Attempt.
        id: AttemptId,
    },
}

/// Why a lease or a KV cache was freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReleaseCause {
    /// The answer was delivered.
    Finished,
    /// The KV cache was imported by a decode engine.
    Imported,
    /// The entry released or cancelled the attempt.
    Released,
    /// The lease ended.
    Expired,
    /// No entry was attached for too long.
    Orphaned,
    /// The engine failed.
    EngineFailed,
    /// The transfer failed.
    TransferFailed,
}
