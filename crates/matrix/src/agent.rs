//! Agents: [`AgentContext`] with its connections and back end.

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

use super::event::{BackendEvent, CarriedId, ConnectionId, NodeId, Packet, ProcessEvent};
use super::simulation::Simulation;
use super::step::InjectionPoint;

/// Time after which an inventory was not answered; as in the engine client of the agent.
const INVENTORY_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);

/// Time after which a leaving server receives no new work; the bound of P6.
const LEAVING_BOUND: DurationUs = DurationUs::from_ms(5_000);

/// State of an agent process.
#[derive(Debug)]
pub struct Agent {
    context: AgentContext,
    lists: ListStore,
    calls: BTreeMap<CallRef, Waiting>,
    streams: BTreeMap<StreamRef, Attached>,
    accepted: BTreeSet<AttemptId>,
    revision: Revision,
    timer_at: Option<TimeUs>,
    inventory_asked: Option<u64>,
    inventories_count: u64,
    is_draining: bool,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    connection: ConnectionId,
    id: AttemptId,
}

#[derive(Clone, Copy, Debug)]
struct Attached {
    connection: ConnectionId,
    id: AttemptId,
}

impl Agent {
    /// Snapshot in force, for peers that start.
    pub(super) fn snapshot(&self) -> Option<Snapshot> {
        self.lists.snapshot().cloned()
    }
}

impl Simulation {
    pub(super) fn new_agent(&self, node: NodeId) -> Agent {
        let server = self.places[node.0].server().expect("an agent has a server");
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
            inventory_asked: None,
            inventories_count: 0,
            is_draining: false,
        }
    }

    fn wall(&self) -> Now {
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
                    Some(at) if at <= now => self.decide(node, AgentEvent::Tick),
                    _ => self.plan_agent(node),
                }
            }
            ProcessEvent::Packet { connection, packet } => {
                self.agent_packet(node, connection, *packet);
            }
            ProcessEvent::Engine(event) => self.engine_event(node, event),
            ProcessEvent::InventoryTimeout(number) => self.inventory_timeout(node, number),
            ProcessEvent::Service(event) => self.decide(node, AgentEvent::Service(event)),
            ProcessEvent::Lists(snapshot) => self.agent_lists(node, snapshot),
            ProcessEvent::Confirmed => {
                self.decide(
                    node,
                    AgentEvent::ListsConfirmed {
                        age_us: DurationUs::ZERO,
                    },
                );
                self.confirm_again(node);
            }
            ProcessEvent::Hosts(hosts) => {
                self.decide(node, AgentEvent::Hosts(hosts.revision));
                let server = self.places[node.0].server();
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
        if self.agent_mut(node).inventory_asked == Some(number) {
            self.agent_mut(node).inventory_asked = None;
            self.decide(node, AgentEvent::Engine(EngineEvent::Unreachable));
        }
    }

    fn agent_lists(&mut self, node: NodeId, snapshot: Snapshot) {
        if self.tamper.takes_older_lists() {
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
            let stage = self.duty_stage_of(lists.revision);
            self.decide(node, AgentEvent::Lists(lists));
            if stage >= 1 {
                self.reached_duty(InjectionPoint::DutyInForce, node);
            }
            if stage >= 2 {
                self.reached_duty(InjectionPoint::LaterDutyInForce, node);
            }
        }
    }

    fn drain_agent(&mut self, node: NodeId) {
        if std::mem::replace(&mut self.agent_mut(node).is_draining, true) {
            return;
        }
        if let Some(server) = self.places[node.0].server() {
            self.leaving_since.entry(node).or_insert(self.now);
            let source = LeavingSource::Agent;
            self.observe(Observation::LeavingReported { server, source });
        }
        if self.tamper.stops_at_once() {
            let agent = self.agent_mut(node);
            let open_count = agent.calls.len() + agent.streams.len();
            let open_count = u32::try_from(open_count).unwrap_or(u32::MAX);
            self.stop_process(node, open_count);
            return;
        }
        self.decide(node, AgentEvent::Drain);
    }

    fn agent_packet(&mut self, node: NodeId, connection: ConnectionId, packet: Packet) {
        match packet {
            Packet::Call(carried, request) => {
                let call = CallRef(carried.0);
                let id = request.envelope().id;
                let waiting = Waiting { connection, id };
                self.agent_mut(node).calls.insert(call, waiting);
                if matches!(request, AgentRequest::Release(_)) {
                    self.cancel_received(node, id);
                }
                self.decide(node, AgentEvent::Request { call, request });
            }
            Packet::CallDropped(carried) => self.dropped(node, carried),
            Packet::Open(carried, open) => {
                let stream = StreamRef(carried.0);
                let id = open.envelope.id;
                let attached = Attached { connection, id };
                self.agent_mut(node).streams.insert(stream, attached);
                self.decide(node, AgentEvent::StreamOpened { stream, open });
            }
            Packet::Control(carried, control) => {
                let stream = StreamRef(carried.0);
                let attached = self.agent_mut(node).streams.get(&stream).copied();
                if let (DecodeControl::Cancel, Some(attached)) = (control, attached) {
                    self.cancel_received(node, attached.id);
                }
                self.decide(node, AgentEvent::StreamControl { stream, control });
            }
            Packet::Close(carried) => {
                let stream = StreamRef(carried.0);
                if self.agent_mut(node).streams.remove(&stream).is_some() {
                    self.decide(node, AgentEvent::StreamClosed { stream });
                }
            }
            Packet::Reply(..) | Packet::Stream(..) | Packet::Closed(..) => {}
        }
    }

    /// The connection of a message or stream ended.
    fn dropped(&mut self, node: NodeId, carried: CarriedId) {
        let call = CallRef(carried.0);
        let stream = StreamRef(carried.0);
        if self.agent_mut(node).calls.remove(&call).is_some() {
            self.decide(node, AgentEvent::CallDropped { call });
        }
        if self.agent_mut(node).streams.remove(&stream).is_some() {
            self.decide(node, AgentEvent::StreamClosed { stream });
        }
    }

    fn cancel_received(&mut self, node: NodeId, id: AttemptId) {
        if let Some(server) = self.places[node.0].server() {
            self.observe(Observation::CancelReceived { server, id });
        }
    }

    fn engine_event(&mut self, node: NodeId, event: EngineEvent) {
        if matches!(event, EngineEvent::Inventory(_) | EngineEvent::Unreachable) {
            self.agent_mut(node).inventory_asked = None;
        }
        let is_order_done = matches!(event, EngineEvent::OrderDone { .. });
        let done = match &event {
            EngineEvent::PrefillDone { id, .. } => Some(id.request),
            _ => None,
        };
        self.decide(node, AgentEvent::Engine(event));
        if let Some(request) = done {
            self.reached(InjectionPoint::PrefillDone, request);
        }
        if is_order_done {
            self.reached_duty(InjectionPoint::OrderDone, node);
        }
    }

    fn decide(&mut self, node: NodeId, event: AgentEvent) {
        let now = self.wall();
        let started_by = match &event {
            AgentEvent::Request { request, .. } => Some(request.envelope().id),
            _ => None,
        };
        let mut actions = Vec::new();
        if self.tamper.passes_agent_event(&event) {
            let agent = self.agent_mut(node);
            agent.context.handle(now, event, &mut actions);
        }
        self.tamper.change_actions(&mut actions);
        self.observe_agent_lists(node);
        for action in actions {
            self.carry_out_agent(node, started_by, action);
        }
        self.plan_agent(node);
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

    fn plan_agent(&mut self, node: NodeId) {
        let now = self.now;
        if !self.nodes[node.0].is_running {
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

    fn carry_out_agent(
        &mut self,
        node: NodeId,
        started_by: Option<AttemptId>,
        action: AgentAction,
    ) {
        if !self.nodes[node.0].is_running {
            return;
        }
        match action {
            AgentAction::Reply { call, reply } => {
                let Some(waiting) = self.agent_mut(node).calls.remove(&call) else {
                    return;
                };
                self.note_reply(node, waiting.id, &reply.body);
                let packet = Packet::Reply(CarriedId(call.0), Box::new(reply));
                self.transmit(waiting.connection, node, packet);
            }
            AgentAction::Send { stream, event } => {
                if let Some(attached) = self.agent_mut(node).streams.get(&stream).copied() {
                    let packet = Packet::Stream(CarriedId(stream.0), event);
                    self.transmit(attached.connection, node, packet);
                }
            }
            AgentAction::CloseStream { stream } => {
                if let Some(attached) = self.agent_mut(node).streams.remove(&stream) {
                    let packet = Packet::Closed(CarriedId(stream.0), Self::LOST_STREAM);
                    self.transmit(attached.connection, node, packet);
                }
            }
            AgentAction::Engine(command) => self.command_engine(node, command),
            AgentAction::Service(command) => {
                if let (ServiceCallRef::Message(_), Some(id)) = (command.run, started_by) {
                    self.work_accepted(node, id);
                }
                let agent_generation = self.nodes[node.0].generation;
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

    fn note_reply(&mut self, node: NodeId, id: AttemptId, body: &ReplyBody) {
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
        if !self.tamper.passes_command(&command) {
            return;
        }
        if let EngineCommand::Prefill { id, .. } = &command {
            self.work_accepted(node, *id);
        }
        if matches!(command, EngineCommand::ReadInventory) {
            let agent = self.agent_mut(node);
            agent.inventories_count += 1;
            let number = agent.inventories_count;
            agent.inventory_asked = Some(number);
            let event = ProcessEvent::InventoryTimeout(number);
            self.push_process(INVENTORY_TIMEOUT, node, event);
        }
        let is_order = matches!(command, EngineCommand::Order { .. });
        let agent_generation = self.nodes[node.0].generation;
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
        if self.duty_stage_of(state.lists_revision) >= 2 {
            self.reached_duty(InjectionPoint::LaterOrderSent, node);
        }
        self.reached_duty(InjectionPoint::OrderSent, node);
    }

    /// Changes of duties in the lists of a revision.
    fn duty_stage_of(&self, revision: Revision) -> usize {
        let index = usize::try_from(revision.get()).unwrap_or(0);
        let stages = &self.platform.duty_stages;
        let stage = index.checked_sub(1).and_then(|index| stages.get(index));
        stage.copied().unwrap_or(0)
    }

    fn agent_record(&mut self, node: NodeId, started_by: Option<AttemptId>, record: &AgentRecord) {
        let server = self.places[node.0].server();
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

    /// Notes new work; a repeat of an attempt is none.
    ///
    /// P6 bounds when a server receives work. A message that a paused agent finds when it wakes was
    /// received when it arrived, so it is none either if that was within the bound.
    fn work_accepted(&mut self, node: NodeId, id: AttemptId) {
        let due_at = self.leaving_since.get(&node).map(|at| *at + LEAVING_BOUND);
        let is_in_time = due_at.is_some_and(|due_at| self.arrived_at <= due_at);
        let is_from_pause = self.arrived_at < self.now;
        let is_new = self.agent_mut(node).accepted.insert(id);
        if !is_new || (is_in_time && is_from_pause) {
            return;
        }
        if let Some(server) = self.places[node.0].server() {
            self.observe(Observation::WorkAccepted { server, id });
        }
    }

    /// Answer to a call of a service that is not running.
    pub(super) fn service_unreachable(
        &mut self,
        node: NodeId,
        generation: u64,
        run: ServiceCallRef,
    ) {
        self.report_run(node, generation, ServiceEvent::NotSent { run });
    }
}
