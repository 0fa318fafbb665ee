//! Events that an agent decides on.

use std::sync::Arc;

pub use cuminlead_admission::{CallRef, StreamRef};
use cuminlead_lists::Lists;
use cuminlead_protocol::{AgentRequest, DecodeControl, DecodeOpen, EngineEvent, ServiceEvent};
use cuminlead_types::{DurationUs, Revision};

/// Something that happened to an agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A message arrived.
    Request {
        /// Where the reply goes.
        call: CallRef,
        /// The message.
        request: AgentRequest,
    },
    /// The connection of a message ended before its reply.
    CallDropped {
        /// The message.
        call: CallRef,
    },
    /// A decode stream was opened.
    StreamOpened {
        /// The stream.
        stream: StreamRef,
        /// Its first message.
        open: DecodeOpen,
    },
    /// A message came on a decode stream.
    StreamControl {
        /// The stream.
        stream: StreamRef,
        /// The message.
        control: DecodeControl,
    },
    /// A decode stream ended.
    StreamClosed {
        /// The stream.
        stream: StreamRef,
    },
    /// The model engine reported something.
    Engine(EngineEvent),
    /// The plain service reported something.
    Service(ServiceEvent),
    /// New lists are in force.
    Lists(Arc<Lists>),
    /// The lists in force were confirmed as the newest by the configuration service or a peer.
    ListsConfirmed {
        /// Time since then, at most.
        age_us: DurationUs,
    },
    /// A host list was read.
    Hosts(Revision),
    /// The process was asked to stop, or the host list says that the host is leaving.
    Drain,
    /// Time passed.
    Tick,
}
