//! Actions that an agent decides on.

pub use cuminlead_admission::ReleaseCause;
use cuminlead_orders::OrderReport;
use cuminlead_protocol::{AgentReply, DecodeEvent, EngineCommand, RefusalReason, ServiceCommand};
use cuminlead_types::{AttemptId, CustomerId, PermitId, Tokens};

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
    /// An order to the engine failed, or another agent orders the engine.
    Order(OrderReport),
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
