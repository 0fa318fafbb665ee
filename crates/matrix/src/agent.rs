//! Agents: an [`AgentContext`] with its connections, timers and backend server.

use std::collections::{BTreeMap, BTreeSet};

use cuminlead_agent_core::{
    AgentAction, AgentConfig, AgentContext, AgentEvent, AgentRecord, CallRef, StreamRef,
};
use cuminlead_lists::{HostState, InstallOutcome, ListStore, Snapshot};
use cuminlead_protocol::{
    AgentRequest, DecodeControl, EngineCommand, EngineEvent, ReplyBody, ServiceCallRef,
    ServiceEvent,
};
use cuminlead_types::{AttemptId, DurationUs, Incarnation, Now, Revision, TimeUs};
use cuminlead_verifier::{LeavingSource, Observation};

use super::event::{BackendEvent, ConnectionId, ExchangeId, NodeId, Packet, ProcessEvent};
use super::injection::InjectionPoint;
use super::simulation::Simulation;

/// Timeout of an inventory query; the same as in the agent's engine client.
const INVENTORY_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);

/// Time after which a draining server must get no new work; the bound of P6.
const DRAINING_WORK_BOUND: DurationUs = DurationUs::from_ms(5_000);

/// State of an agent process.
#[derive(Debug)]
pub struct Agent {
    context: AgentContext,
    lists: ListStore,
    calls: BTreeMap<CallRef, PendingCall>,
    streams: BTreeMap<StreamRef, OpenStream>,
    accepted: BTreeSet<AttemptId>,
    revision: Revision,
    timer_at: Option<TimeUs>,
    pending_inventory: Option<u64>,
    inventories_count: u64,
    is_draining: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    connection: ConnectionId,
    id: AttemptId,
}

#[derive(Clone, Copy, Debug)]
struct OpenStream {
    connection: ConnectionId,
    id: AttemptId,
}

impl Agent {
    /// Active snapshot, which starting peers fetch.
    pub(super) fn snapshot(&self) -> Option<Snapshot> {
        self.lists.snapshot().cloned()
    }
}

impl Simulation {
    pub(super) fn new_agent(&self, node: NodeId) -> Agent {
        let server = self.node_specs[node.0]
            .server()
            .expect("an agent has a server");
        let incarnation = Incarnation(self.unix_ms().get());
        let config = AgentConfig {
            slots: self.config.slots,
            pieces: self.config.pieces,
            prefill_rate: self.config.prefill_rate,
            key_staleness_us: self.config.key_staleness_us,
            ..AgentConfig::new(server, incarnation)
        };
        Agent {
            context: AgentContext::new(config),
            lists: ListStore::new(),
            calls: BTreeMap::new(),
            streams: BTreeMap::new(),
            accepted: BTreeSet::new(),
            revision: Revision::ZERO,
            timer_at: None,
            pending_inventory: None,
            inventories_count: 0,
            is_draining: false,
        }
    }

    fn clock_now(&self) -> Now {
        Now {
            mono_us: self.now,
            unix_ms: self.unix_ms(),
        }
    }

    pub(super) fn agent_event(&mut self, node: NodeId, event: ProcessEvent) {
        match event {
            ProcessEvent::Timer => {
                self.agent_mut(node).timer_at = None;
                let now = self.now;
                let deadline = self.agent_mut(node).context.next_deadline();
                match deadline {
                    Some(at) if at <= now => self.handle_agent_event(node, AgentEvent::Tick),
                    _ => self.schedule_agent_timer(node),
                }
            }
            ProcessEvent::Packet { connection, packet } => {
                self.agent_packet(node, connection, *packet);
            }
            ProcessEvent::Engine(event) => self.engine_event(node, event),
            ProcessEvent::InventoryTimeout(number) => self.inventory_timeout(node, number),
            ProcessEvent::Service(event) => {
                self.handle_agent_event(node, AgentEvent::Service(event))
            }
            ProcessEvent::Lists(snapshot) => self.agent_lists(node, snapshot),
            ProcessEvent::Confirmed => {
                self.handle_agent_event(
                    node,
                    AgentEvent::ListsConfirmed {
                        age_us: DurationUs::ZERO,
                    },
                );
                self.confirm_again(node);
            }
            ProcessEvent::Hosts(hosts) => {
                self.handle_agent_event(node, AgentEvent::Hosts(hosts.revision));
                let server = self.node_specs[node.0].server();
                let mut listed = hosts.hosts.iter();
                let own = listed.find(|host| host.server == server);
                if own.is_some_and(|host| host.state == HostState::Leaving) {
                    self.drain_agent(node);
                }
            }
            ProcessEvent::Drain => self.drain_agent(node),
            _ => {}
        }
    }

    fn inventory_timeout(&mut self, node: NodeId, number: u64) {
        if self.agent_mut(node).pending_inventory == Some(number) {
            self.agent_mut(node).pending_inventory = None;
            self.handle_agent_event(node, AgentEvent::Engine(EngineEvent::Unreachable));
        }
    }

    fn agent_lists(&mut self, node: NodeId, snapshot: Snapshot) {
        if self.guard_hooks.accepts_older_lists() {
            let revision = snapshot.revision();
            self.observe_lists(node, revision);
        }
        let agent = self.agent_mut(node);
        if !matches!(
            agent.lists.install_if_newer(snapshot),
            InstallOutcome::Applied
        ) {
            return;
        }
        if let Some(lists) = agent.lists.lists().cloned() {
            let stage = self.assignment_stage_of(lists.revision);
            self.handle_agent_event(node, AgentEvent::Lists(lists));
            if stage >= 1 {
                self.reached_at_changed_engine(InjectionPoint::DutyInForce, node);
            }
            if stage >= 2 {
                self.reached_at_changed_engine(InjectionPoint::LaterDutyInForce, node);
            }
        }
    }

    fn drain_agent(&mut self, node: NodeId) {
        if std::mem::replace(&mut self.agent_mut(node).is_draining, true) {
            return;
        }
        if let Some(server) = self.node_specs[node.0].server() {
            self.draining_since.entry(node).or_insert(self.now);
            let source = LeavingSource::Agent;
            self.observe(Observation::LeavingReported { server, source });
        }
        if self.guard_hooks.stops_immediately() {
            let agent = self.agent_mut(node);
            let open_count = agent.calls.len() + agent.streams.len();
            let open_count = u32::try_from(open_count).unwrap_or(u32::MAX);
            self.stop_process(node, open_count);
            return;
        }
        self.handle_agent_event(node, AgentEvent::Drain);
    }

    fn agent_packet(&mut self, node: NodeId, connection: ConnectionId, packet: Packet) {
        match packet {
            Packet::Call(exchange, request) => {
                let call = CallRef(exchange.0);
                let id = request.envelope().id;
                let pending = PendingCall { connection, id };
                self.agent_mut(node).calls.insert(call, pending);
                if matches!(request, AgentRequest::Release(_)) {
                    self.cancel_received(node, id);
                }
                self.handle_agent_event(node, AgentEvent::Request { call, request });
            }
            Packet::CallDropped(exchange) => self.exchange_dropped(node, exchange),
            Packet::Open(exchange, open) => {
                let stream = StreamRef(exchange.0);
                let id = open.envelope.id;
                let open_stream = OpenStream { connection, id };
                self.agent_mut(node).streams.insert(stream, open_stream);
                self.handle_agent_event(node, AgentEvent::StreamOpened { stream, open });
            }
            Packet::Control(exchange, control) => {
                let stream = StreamRef(exchange.0);
                let open_stream = self.agent_mut(node).streams.get(&stream).copied();
                if let (DecodeControl::Cancel, Some(open_stream)) = (control, open_stream) {
                    self.cancel_received(node, open_stream.id);
                }
                self.handle_agent_event(node, AgentEvent::StreamControl { stream, control });
            }
            Packet::Close(exchange) => {
                let stream = StreamRef(exchange.0);
                if self.agent_mut(node).streams.remove(&stream).is_some() {
                    self.handle_agent_event(node, AgentEvent::StreamClosed { stream });
                }
            }
            Packet::Reply(..) | Packet::Stream(..) | Packet::Closed(..) => {}
        }
    }

    /// Handles the end of the connection that carried a message or stream.
    fn exchange_dropped(&mut self, node: NodeId, exchange: ExchangeId) {
        let call = CallRef(exchange.0);
        let stream = StreamRef(exchange.0);
        if self.agent_mut(node).calls.remove(&call).is_some() {
            self.handle_agent_event(node, AgentEvent::CallDropped { call });
        }
        if self.agent_mut(node).streams.remove(&stream).is_some() {
            self.handle_agent_event(node, AgentEvent::StreamClosed { stream });
        }
    }

    fn cancel_received(&mut self, node: NodeId, id: AttemptId) {
        if let Some(server) = self.node_specs[node.0].server() {
            self.observe(Observation::CancelReceived { server, id });
        }
    }

    fn engine_event(&mut self, node: NodeId, event: EngineEvent) {
        if matches!(event, EngineEvent::Inventory(_) | EngineEvent::Unreachable) {
            self.agent_mut(node).pending_inventory = None;
        }
        let is_order_done = matches!(event, EngineEvent::OrderDone { .. });
        let done = match &event {
            EngineEvent::PrefillDone { id, .. } => Some(id.request),
            _ => None,
        };
        self.handle_agent_event(node, AgentEvent::Engine(event));
        if let Some(request) = done {
            self.reached(InjectionPoint::PrefillDone, request);
        }
        if is_order_done {
            self.reached_at_changed_engine(InjectionPoint::OrderDone, node);
        }
    }

    fn handle_agent_event(&mut self, node: NodeId, event: AgentEvent) {
        let now = self.clock_now();
        let started_by = match &event {
            AgentEvent::Request { request, .. } => Some(request.envelope().id),
            _ => None,
        };
        let mut actions = Vec::new();
        if self.guard_hooks.passes_agent_event(&event) {
            let agent = self.agent_mut(node);
            agent.context.handle(now, event, &mut actions);
        }
        self.guard_hooks.change_actions(&mut actions);
        self.observe_agent_lists(node);
        for action in actions {
            self.apply_agent_action(node, started_by, action);
        }
        self.schedule_agent_timer(node);
    }

    fn observe_agent_lists(&mut self, node: NodeId) {
        let now = self.now;
        let agent = self.agent_mut(node);
        let revision = agent.context.state(now).lists_revision;
        if revision != agent.revision {
            agent.revision = revision;
            self.observe_lists(node, revision);
        }
    }

    fn schedule_agent_timer(&mut self, node: NodeId) {
        let now = self.now;
        if !self.processes[node.0].is_running {
            return;
        }
        let agent = self.agent_mut(node);
        let Some(at) = agent.context.next_deadline() else {
            return;
        };
        if agent.timer_at.is_none_or(|planned| at < planned) {
            agent.timer_at = Some(at);
            self.push_process(at.since(now), node, ProcessEvent::Timer);
        }
    }

    fn apply_agent_action(
        &mut self,
        node: NodeId,
        started_by: Option<AttemptId>,
        action: AgentAction,
    ) {
        if !self.processes[node.0].is_running {
            return;
        }
        match action {
            AgentAction::Reply { call, reply } => {
                let Some(pending) = self.agent_mut(node).calls.remove(&call) else {
                    return;
                };
                self.record_reply(node, pending.id, &reply.body);
                let packet = Packet::Reply(ExchangeId(call.0), Box::new(reply));
                self.transmit(pending.connection, node, packet);
            }
            AgentAction::Send { stream, event } => {
                if let Some(open_stream) = self.agent_mut(node).streams.get(&stream).copied() {
                    let packet = Packet::Stream(ExchangeId(stream.0), event);
                    self.transmit(open_stream.connection, node, packet);
                }
            }
            AgentAction::CloseStream { stream } => {
                if let Some(open_stream) = self.agent_mut(node).streams.remove(&stream) {
                    let packet = Packet::Closed(ExchangeId(stream.0), Self::LOST_STREAM);
                    self.transmit(open_stream.connection, node, packet);
                }
            }
            AgentAction::Engine(command) => self.command_engine(node, command),
            AgentAction::Service(command) => {
                if let (ServiceCallRef::Message(_), Some(id)) = (command.run, started_by) {
                    self.work_accepted(node, id);
                }
                let agent_generation = self.processes[node.0].generation;
                let event = BackendEvent::Service {
                    agent_generation,
                    command,
                };
                self.push_to_backend(node, event);
            }
            AgentAction::Record(record) => self.agent_record(node, started_by, &record),
            AgentAction::Drained => self.stop_process(node, 0),
        }
    }

    fn record_reply(&mut self, node: NodeId, id: AttemptId, body: &ReplyBody) {
        match body {
            ReplyBody::Reserved(_) => {
                self.work_accepted(node, id);
                self.reached(InjectionPoint::ReserveGranted, id.request);
            }
            ReplyBody::PermitIssued(_) => {
                self.work_accepted(node, id);
                self.reached(InjectionPoint::PermitIssued, id.request);
            }
            _ => {}
        }
    }

    fn command_engine(&mut self, node: NodeId, command: EngineCommand) {
        if !self.guard_hooks.passes_command(&command) {
            return;
        }
        if let EngineCommand::Prefill { id, .. } = &command {
            self.work_accepted(node, *id);
        }
        if matches!(command, EngineCommand::ReadInventory) {
            let agent = self.agent_mut(node);
            agent.inventories_count += 1;
            let number = agent.inventories_count;
            agent.pending_inventory = Some(number);
            let event = ProcessEvent::InventoryTimeout(number);
            self.push_process(INVENTORY_TIMEOUT, node, event);
        }
        let is_order = matches!(command, EngineCommand::Order { .. });
        let agent_generation = self.processes[node.0].generation;
        let event = BackendEvent::Engine {
            agent_generation,
            command,
        };
        self.push_to_backend(node, event);
        if is_order {
            self.order_sent(node);
        }
    }

    fn order_sent(&mut self, node: NodeId) {
        let now = self.now;
        let state = self.agent_mut(node).context.state(now);
        if self.assignment_stage_of(state.lists_revision) >= 2 {
            self.reached_at_changed_engine(InjectionPoint::LaterOrderSent, node);
        }
        self.reached_at_changed_engine(InjectionPoint::OrderSent, node);
    }

    /// Number of assignment changes that the lists of a revision contain.
    fn assignment_stage_of(&self, revision: Revision) -> usize {
        let index = usize::try_from(revision.get()).unwrap_or(0);
        let stages = &self.platform.assignment_stages;
        let stage = index.checked_sub(1).and_then(|index| stages.get(index));
        stage.copied().unwrap_or(0)
    }

    fn agent_record(&mut self, node: NodeId, started_by: Option<AttemptId>, record: &AgentRecord) {
        let server = self.node_specs[node.0].server();
        if let (AgentRecord::PermitStarted { permit }, Some(id), Some(server)) =
            (record, started_by, server)
        {
            self.observe(Observation::PermitStarted {
                server,
                permit: *permit,
                request: id.request,
            });
        }
    }

    /// Records work that the server has accepted, unless it repeats an attempt.
    ///
    /// P6 bounds when a draining server receives work. A message that a paused agent handles on
    /// resuming was received when it arrived, so it is not recorded either if it arrived within the
    /// bound.
    fn work_accepted(&mut self, node: NodeId, id: AttemptId) {
        let due_at = self
            .draining_since
            .get(&node)
            .map(|at| *at + DRAINING_WORK_BOUND);
        let is_in_time = due_at.is_some_and(|due_at| self.arrived_at <= due_at);
        let is_from_pause = self.arrived_at < self.now;
        let is_new = self.agent_mut(node).accepted.insert(id);
        if !is_new || (is_in_time && is_from_pause) {
            return;
        }
        if let Some(server) = self.node_specs[node.0].server() {
            self.observe(Observation::WorkAccepted { server, id });
        }
    }

    /// Reports that a call was not sent, because the service is not running.
    pub(super) fn service_unreachable(
        &mut self,
        node: NodeId,
        generation: u64,
        run: ServiceCallRef,
    ) {
        self.report_run(node, generation, ServiceEvent::NotSent { run });
    }
}
