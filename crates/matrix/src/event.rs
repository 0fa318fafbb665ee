//! Events, and what travels on connections.

use std::sync::Arc;

use cuminlead_lists::{HostList, Snapshot};
use cuminlead_protocol::{
    AgentReply, AgentRequest, DecodeControl, DecodeEvent, DecodeOpen, EngineCommand, EngineEvent,
    EngineOrder, ServiceCommand, ServiceEvent,
};
use cuminlead_retry::Evidence;
use cuminlead_types::{AttemptId, FencingNumber, RequestId};

use super::caller::RequestSpec;
use super::fault::{Fault, Targets};
use super::timed_fault::TimedFault;

/// Host with its process, and the back end beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub usize);

/// Connection between an entry and an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Message or stream under way, numbered over the whole run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CarriedId(pub u64);

/// Something that happens.
#[derive(Debug)]
pub enum Event {
    /// To the process of a host.
    Process {
        /// Host.
        node: NodeId,
        /// Life of the process that it is for.
        generation: u64,
        /// What happens.
        event: ProcessEvent,
    },
    /// To the back end of a host.
    Backend {
        /// Host.
        node: NodeId,
        /// Life of the back end that it is for.
        generation: u64,
        /// What happens.
        event: BackendEvent,
    },
    /// A caller sends a request.
    Request(RequestSpec),
    /// A fault is injected whatever is under way.
    Disturb(TimedFault),
    /// A fault is injected.
    Injection(Fault, Targets),
    /// A fault ends.
    Heal(Heal),
    /// The configuration service accepts a change of the lists.
    PublishLists,
    /// It accepts the next change of what the changed engine should serve.
    ChangeDuty,
}

/// End of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heal {
    /// A dead process starts again.
    StartProcess(NodeId),
    /// A dead back end starts again.
    StartBackend(NodeId),
    /// A paused process goes on.
    ResumeProcess(NodeId),
    /// A paused back end goes on.
    ResumeBackend(NodeId),
    /// A way between two hosts works again.
    JoinWay {
        /// Sender.
        from: NodeId,
        /// Receiver.
        to: NodeId,
    },
    /// Transfers between engines go on.
    Transfers,
    /// The configuration service answers again, with the newest revision.
    Platform,
    /// A host is published as live again.
    PublishLive(NodeId),
}

/// Something that happens to a process.
#[derive(Clone, Debug)]
pub enum ProcessEvent {
    /// A deadline of the process may have come.
    Timer,
    /// A deadline of a call may have come.
    CallTimer(RequestId),
    /// The configuration service delivers lists.
    Lists(Snapshot),
    /// The platform delivers a host list.
    Hosts(Arc<HostList>),
    /// The lists in force are the newest.
    Confirmed,
    /// A packet arrives.
    Packet {
        /// Connection.
        connection: ConnectionId,
        /// Packet.
        packet: Box<Packet>,
    },
    /// No connection was made for a message or stream.
    NotConnected(CarriedId),
    /// A message or stream was lost with its connection.
    Lost(CarriedId),
    /// The keep-alive of a connection is due.
    KeepAlive(ConnectionId),
    /// The model engine reports something.
    Engine(EngineEvent),
    /// An inventory was not answered in time.
    InventoryTimeout(u64),
    /// The plain service reports something.
    Service(ServiceEvent),
    /// A caller's request arrives.
    Request(RequestSpec),
    /// A caller is gone.
    CallerGone(RequestId),
    /// The process is asked to stop.
    Drain,
}

/// Something that happens to a back end.
#[derive(Clone, Debug)]
pub enum BackendEvent {
    /// A command to the engine.
    Engine {
        /// Life of the agent that sent it.
        agent_generation: u64,
        /// Command.
        command: EngineCommand,
    },
    /// An order whose agent died before the engine read it.
    LateOrder {
        /// Life of the agent that sent it.
        agent_generation: u64,
        /// Fencing number.
        fencing: FencingNumber,
        /// Order.
        order: EngineOrder,
    },
    /// The step of a sequence is over.
    SequenceStep {
        /// Sequence.
        id: AttemptId,
        /// Number of the sequence, since an id can be used again.
        serial: u64,
    },
    /// A call of the service.
    Service {
        /// Life of the agent that sent it.
        agent_generation: u64,
        /// Call.
        command: ServiceCommand,
    },
    /// A running call takes effect.
    ServiceEffect(u64),
    /// A running call is answered.
    ServiceAnswer(u64),
}

/// What travels on a connection.
#[derive(Clone, Debug)]
pub enum Packet {
    /// A message of an entry.
    Call(CarriedId, AgentRequest),
    /// The entry does not wait for the reply any more.
    CallDropped(CarriedId),
    /// A decode stream is opened.
    Open(CarriedId, DecodeOpen),
    /// A message of an entry on a stream.
    Control(CarriedId, DecodeControl),
    /// The entry closes a stream.
    Close(CarriedId),
    /// A reply of an agent.
    Reply(CarriedId, Box<AgentReply>),
    /// A message of an agent on a stream.
    Stream(CarriedId, DecodeEvent),
    /// The agent closes a stream.
    Closed(CarriedId, Evidence),
}
