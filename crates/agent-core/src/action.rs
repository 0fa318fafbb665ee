//! Actions that the agent process carries out.

pub use cuminlead_admission::ReleaseCause;
use cuminlead_orders::OrderReport;
use cuminlead_protocol::{AgentReply, DecodeEvent, EngineCommand, RefusalReason, ServiceCommand};
use cuminlead_types::{AttemptId, CustomerId, PermitId, Tokens};

use crate::event::{CallRef, StreamRef};

/// Action that the agent process must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentAction {
    /// Replies to a message of an entry.
    Reply {
        /// Message that is answered.
        call: CallRef,
        /// Reply, with the agent's state after the decision.
        reply: AgentReply,
    },
    /// Sends a message on a decode stream.
    Send {
        /// Open decode stream.
        stream: StreamRef,
        /// Message to send.
        event: DecodeEvent,
    },
    /// Closes a decode stream.
    CloseStream {
        /// Decode stream to close.
        stream: StreamRef,
    },
    /// Sends a command to the model engine.
    Engine(EngineCommand),
    /// Sends a command to the plain service.
    Service(ServiceCommand),
    /// Records a decision in logs and metrics.
    Record(AgentRecord),
    /// The drain is complete: no request, permit or outcome is left, and the process may exit.
    Drained,
}

/// Decision that is logged or counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentRecord {
    /// A message was refused.
    Refused {
        /// Attempt that the message belongs to.
        id: AttemptId,
        /// Customer that the attempt is for.
        customer: CustomerId,
        /// Reason given to the entry.
        reason: RefusalReason,
    },
    /// The decode slot or KV memory of an attempt was released.
    Released {
        /// Released attempt.
        id: AttemptId,
        /// Cause of the release.
        cause: ReleaseCause,
        /// Prompt tokens that were computed and never used by a decode.
        wasted_prefill_tokens: Tokens,
    },
    /// The engine listed a sequence that belongs to no attempt of this agent; it is cancelled.
    UnknownSequence {
        /// Attempt under which the engine lists the sequence.
        id: AttemptId,
    },
    /// The engine crashed when the output of an attempt had just begun or was to begin.
    EngineCrashed {
        /// Attempt that may have caused the crash.
        id: AttemptId,
    },
    /// An engine order failed, or the engine has seen an order of a later agent.
    Order(OrderReport),
    /// A permit was voided or expired before use.
    PermitVoided {
        /// Permit that can no longer start a call.
        permit: PermitId,
    },
    /// An application call was started under a permit.
    PermitStarted {
        /// Permit that was used.
        permit: PermitId,
    },
}
