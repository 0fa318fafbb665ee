//! Actions that an agent decides on.

use cuminlead_protocol::{AgentReply, DecodeEvent, EngineCommand, RefusalReason, ServiceCommand};
use cuminlead_types::{AttemptId, CustomerId, PermitId, Tokens};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::event::{CallRef, StreamRef};

/// Something that the process must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentAction {
    /// Answers a message.
    Reply {
        /// The message.
        call: CallRef,
        /// The answer.
        reply: AgentReply,
    },
    /// Sends on a decode stream.
    Send {
        /// The stream.
        stream: StreamRef,
        /// What to send.
        event: DecodeEvent,
    },
    /// Ends a decode stream.
    CloseStream {
        /// The stream.
        stream: StreamRef,
    },
    /// Commands the model engine.
    Engine(EngineCommand),
    /// Commands the plain service.
    Service(ServiceCommand),
    /// Reports a decision to logs and metrics.
    Record(AgentRecord),
    /// Nothing is held any more after a drain; the process may exit.
    Drained,
}

/// Decision worth a log line or a metric.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentRecord {
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
    /// The engine held a sequence that the agent does not know.
    UnknownSequence {
        /// Attempt.
        id: AttemptId,
    },
    /// A permit was voided or expired before use.
    PermitVoided {
        /// Permit.
        permit: PermitId,
    },
    /// An application call was started under a permit.
    PermitStarted {
        /// Permit.
        permit: PermitId,
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
