//! Events of the simulation, and the packets that connections carry.

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

/// Index of a host in the layout. It also identifies the process of the host and its backend
/// server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub usize);

/// Connection between an entry and an agent, numbered over the whole run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Message with its reply, or decode stream, between an entry and an agent; numbered over the whole
/// run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// Event of the simulation.
#[derive(Debug)]
pub enum Event {
    /// Event for the process of a host.
    Process {
        /// Host of the process.
        node: NodeId,
        /// Generation of the process that the event is for; a later one ignores it.
        generation: u64,
        /// Event to handle.
        event: ProcessEvent,
    },
    /// Event for the backend server of a host.
    Backend {
        /// Host of the backend server.
        node: NodeId,
        /// Generation of the backend server that the event is for. A later one ignores it, except
        /// for commands, which reach any generation.
        generation: u64,
        /// Event to handle.
        event: BackendEvent,
    },
    /// A caller sends a request to an entry.
    Request(RequestSpec),
    /// A fault is injected at a fixed time, independent of requests.
    InjectTimed(TimedFault),
    /// A fault is injected because a request has reached its injection point.
    Injection(Fault, Targets),
    /// A fault ends.
    Heal(Heal),
    /// The configuration service publishes changed lists.
    PublishLists,
    /// The configuration service publishes the next change to the assignment of the changed engine.
    ChangeAssignment,
}

/// How a fault ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heal {
    /// A process that ended starts again.
    StartProcess(NodeId),
    /// A backend server that ended starts again.
    StartBackend(NodeId),
    /// A paused process resumes.
    ResumeProcess(NodeId),
    /// A paused backend server resumes.
    ResumeBackend(NodeId),
    /// The network path from one host to another works again.
    RestorePath {
        /// Host that sends.
        from: NodeId,
        /// Host that receives.
        to: NodeId,
    },
    /// KV transfers between engines work again.
    Transfers,
    /// The configuration service responds again and serves the newest revision.
    Platform,
    /// The host list shows a host as live again.
    PublishLive(NodeId),
}

/// Event for a process.
#[derive(Clone, Debug)]
pub enum ProcessEvent {
    /// A deadline of the process may have passed.
    Timer,
    /// A deadline of a call may have passed.
    CallTimer(RequestId),
    /// The configuration service delivers a snapshot of the lists.
    Lists(Snapshot),
    /// The platform delivers a host list.
    Hosts(Arc<HostList>),
    /// The configuration service confirms the active lists as newest.
    Confirmed,
    /// A packet arrives.
    Packet {
        /// Connection on which it arrives.
        connection: ConnectionId,
        /// Content of the packet.
        packet: Box<Packet>,
    },
    /// No connection could be opened for a message or stream.
    NotConnected(ExchangeId),
    /// A message or stream was lost with its connection.
    Lost(ExchangeId),
    /// The keep-alive check of a connection is due.
    KeepAlive(ConnectionId),
    /// The model engine sends an event.
    Engine(EngineEvent),
    /// The inventory query with this number has timed out.
    InventoryTimeout(u64),
    /// The plain service sends an event.
    Service(ServiceEvent),
    /// A request of a caller arrives.
    Request(RequestSpec),
    /// A caller has disconnected.
    CallerGone(RequestId),
    /// The process is asked to shut down gracefully.
    Drain,
}

/// Event for a backend server.
#[derive(Clone, Debug)]
pub enum BackendEvent {
    /// A command of the agent to the engine.
    Engine {
        /// Generation of the agent that sent it.
        agent_generation: u64,
        /// Command to carry out.
        command: EngineCommand,
    },
    /// An order that the engine reads after the agent that sent it has died.
    LateOrder {
        /// Generation of the agent that sent it.
        agent_generation: u64,
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// Order to carry out.
        order: EngineOrder,
    },
    /// The current prefill, import or decode step of a sequence, or its retention period, has
    /// ended.
    SequenceStep {
        /// Attempt that the sequence belongs to.
        id: AttemptId,
        /// Serial number of the sequence within its engine, because an attempt id can be used
        /// again.
        serial: u64,
    },
    /// A command of the agent to execute a call of the service.
    Service {
        /// Generation of the agent that sent it.
        agent_generation: u64,
        /// Call to execute.
        command: ServiceCommand,
    },
    /// The execution with this number takes effect.
    ServiceEffect(u64),
    /// The execution with this number responds.
    ServiceAnswer(u64),
}

/// Packet on a connection.
#[derive(Clone, Debug)]
pub enum Packet {
    /// A message of an entry.
    Call(ExchangeId, AgentRequest),
    /// The entry has closed its end of the connection and no longer waits for the reply or stream.
    CallDropped(ExchangeId),
    /// An entry opens a decode stream.
    Open(ExchangeId, DecodeOpen),
    /// A message of an entry on a stream.
    Control(ExchangeId, DecodeControl),
    /// The entry closes a stream.
    Close(ExchangeId),
    /// A reply of an agent to a message.
    Reply(ExchangeId, Box<AgentReply>),
    /// A message of an agent on a stream.
    Stream(ExchangeId, DecodeEvent),
    /// The agent closes a stream.
    Closed(ExchangeId, Evidence),
}
