//! Actions that the agent carries out after an admission decision.

use cuminlead_protocol::{AgentFailure, Chunk, EngineCommand, RefusalReason, ReplyBody};
use cuminlead_types::{AttemptId, CustomerId, Tokens};
use strum::{Display, EnumIter, IntoStaticStr};

/// Open message of an entry that expects a reply; the caller assigns the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRef(pub u64);

/// Open decode stream; the caller assigns the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamRef(pub u64);

/// Action that the agent carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Replies to a message.
    Reply {
        /// Message that is replied to.
        call: CallRef,
        /// Content of the reply.
        body: ReplyBody,
    },
    /// Sends a message on a decode stream.
    Send {
        /// Stream to send on.
        stream: StreamRef,
        /// Message; the agent adds its state where the protocol requires it.
        message: StreamMessage,
    },
    /// Closes a decode stream.
    CloseStream {
        /// Stream to close.
        stream: StreamRef,
    },
    /// Sends a command to the engine.
    Engine(EngineCommand),
    /// Records a decision in logs and metrics.
    Record(AdmissionRecord),
}

/// Message on a decode stream, without the agent's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamMessage {
    /// The engine has imported the KV cache.
    Imported,
    /// Part of the output.
    Chunk(Chunk),
    /// The lease is still valid; sent when the stream was idle for the heartbeat interval.
    Heartbeat,
    /// The attempt ended before its output was complete.
    Failed(AgentFailure),
}

/// Decision that is logged or counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionRecord {
    /// A request or a decode stream was refused.
    Refused {
        /// Refused attempt.
        id: AttemptId,
        /// Customer of the attempt.
        customer: CustomerId,
        /// Reason that the entry was given.
        reason: RefusalReason,
    },
    /// The lease of an attempt was released.
    Released {
        /// Attempt that held the lease.
        id: AttemptId,
        /// Cause of the release.
        cause: ReleaseCause,
        /// Discarded prefill work: computed prompt tokens that no decode used.
        wasted_prefill_tokens: Tokens,
    },
    /// The engine listed a sequence without a lease, which was cancelled.
    UnknownSequence {
        /// Attempt that the engine listed.
        id: AttemptId,
    },
}

/// Why a lease or a KV cache was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReleaseCause {
    /// The entry has acknowledged the complete output.
    Finished,
    /// A decode engine has imported the KV cache.
    Imported,
    /// The entry released or cancelled the attempt.
    Released,
    /// The lease or the retention period of a prefill ended.
    Expired,
    /// The entry made no contact for the configured time.
    Orphaned,
    /// The engine failed, lost the sequence, or exceeded a limit on time or resumptions.
    EngineFailed,
    /// The import of the KV cache failed and was not retried in time.
    TransferFailed,
}
