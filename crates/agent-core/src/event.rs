//! Events that the agent process delivers.

use std::sync::Arc;

pub use cuminlead_admission::{CallRef, StreamRef};
use cuminlead_lists::Lists;
use cuminlead_protocol::{AgentRequest, DecodeControl, DecodeOpen, EngineEvent, ServiceEvent};
use cuminlead_types::{DurationUs, Revision};

/// Event delivered to [`AgentContext::handle`](crate::AgentContext::handle).
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// An entry sent a message.
    Request {
        /// Identifies the message in the action that replies to it.
        call: CallRef,
        /// Decoded message.
        request: AgentRequest,
    },
    /// The connection of a message was closed before the reply.
    CallDropped {
        /// Message that can no longer be answered.
        call: CallRef,
    },
    /// An entry opened a decode stream.
    StreamOpened {
        /// Identifies the stream until it is closed.
        stream: StreamRef,
        /// First message on the stream.
        open: DecodeOpen,
    },
    /// An entry sent a further message on a decode stream.
    StreamControl {
        /// Open decode stream.
        stream: StreamRef,
        /// Acknowledgement or cancellation.
        control: DecodeControl,
    },
    /// A decode stream was closed, or its connection ended.
    StreamClosed {
        /// Decode stream that ended.
        stream: StreamRef,
    },
    /// Reply or report of the model engine.
    Engine(EngineEvent),
    /// Outcome of a call at the plain service.
    Service(ServiceEvent),
    /// The process received lists; older ones than the active lists are ignored.
    Lists(Arc<Lists>),
    /// The configuration service or a peer confirmed the active lists as newest.
    ListsConfirmed {
        /// Upper bound on the time since the confirmation.
        age_us: DurationUs,
    },
    /// The process has read a host list of this revision.
    Hosts(Revision),
    /// The process is to shut down, or the host list marks the host as draining.
    Drain,
    /// A deadline of [`AgentContext::next_deadline`](crate::AgentContext::next_deadline) was
    /// reached.
    Tick,
}
