//! [`World`]: all hosts, the queue and the record of one run.

use std::collections::{BTreeMap, BTreeSet};

use cuminlead_protocol::LoadedModel;
use cuminlead_types::{BackendServerId, DurationUs, RequestId, Revision, TimeUs, Tokens, UnixMs};
use cuminlead_verifier::{Observation, Record};

use super::agent::Agent;
use super::caller::{RequestSpec, Results};
use super::carry::Carried;
use super::config::BenchConfig;
use super::engine::Engine;
use super::entry::{Entry, Used};
use super::event::{BackendEvent, CarriedId, ConnectionId, Event, Heal, NodeId, ProcessEvent};
use super::layout::{self, Duty, Place};
use super::network::{Connection, Way};
use super::platform::{Platform, PlatformState};
use super::queue::Queue;
use super::service::Service;
use super::step::Plan;
use super::tally::Tally;
use super::tamper::Tamper;

/// Unix time at the start of a run.
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Time in which a starting process learns lists and hosts from its peers.
const PEERS_DELAY: DurationUs = DurationUs::from_ms(100);
/// Peers that a starting process asks.
const PEERS_ASKED_COUNT: usize = 3;

/// Life of a process or back end.
#[derive(Debug, Default)]
pub struct Life {
    pub(super) generation: u64,
    pub(super) is_running: bool,
    pub(super) is_paused: bool,
    paused_until: TimeUs,
    is_isolated: bool,
}

/// Event that arrived at a paused process.
#[derive(Debug)]
struct Arrived {
    at: TimeUs,
    event: ProcessEvent,
}

/// All hosts, the queue and the record of one run.
#[derive(Debug)]
pub struct World {
    pub(super) config: BenchConfig,
    pub(super) now: TimeUs,
    queue: Queue,
    record: Record,
    pub(super) places: Vec<Place>,
    by_server: BTreeMap<BackendServerId, NodeId>,
    pub(super) nodes: Vec<Life>,
    pub(super) backends: Vec<Life>,
    process_backlog: BTreeMap<NodeId, Vec<Arrived>>,
    /// When the event that is handled arrived at its host.
    pub(super) arrived_at: TimeUs,
    pub(super) leaving_since: BTreeMap<NodeId, TimeUs>,
    backend_backlog: BTreeMap<NodeId, Vec<BackendEvent>>,
    pub(super) entries: BTreeMap<NodeId, Entry>,
    pub(super) agents: BTreeMap<NodeId, Agent>,
    pub(super) engines: BTreeMap<NodeId, Engine>,
    pub(super) services: BTreeMap<NodeId, Service>,
    pub(super) platform: Platform,
    pub(super) connections: BTreeMap<ConnectionId, Connection>,
    pub(super) connections_count: u64,
    pub(super) carried: BTreeMap<CarriedId, Carried>,
    pub(super) carried_count: u64,
    pub(super) cuts: BTreeSet<Way>,
    pub(super) are_transfers_stalled: bool,
    pub(super) used: BTreeMap<RequestId, Used>,
    pub(super) results: Results,
    pub(super) plan: Plan,
    pub(super) heals_count: u32,
    pub(super) wasted_tokens: Tokens,
    pub(super) retries_count: u64,
    pub(super) tally: Tally,
    pub(super) tamper: Box<dyn Tamper>,
}

impl World {
    /// World whose processes all start at time zero.
    pub fn new(config: BenchConfig, tamper: Box<dyn Tamper>) -> Self {
        let places = layout::places(&config);
        let servers = places.iter().enumerate();
        let by_server = servers.filter_map(|(index, place)| Some((place.server()?, NodeId(index))));
        let lives = || places.iter().map(|_| Life::default()).collect();
        let mut world = Self {
            now: TimeUs::ZERO,
            queue: Queue::default(),
            record: Record::new(),
            by_server: by_server.collect(),
            nodes: lives(),
            backends: lives(),
            process_backlog: BTreeMap::new(),
            arrived_at: TimeUs::ZERO,
            leaving_since: BTreeMap::new(),
            backend_backlog: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            platform: Platform::default(),
            connections: BTreeMap::new(),
            connections_count: 0,
            carried: BTreeMap::new(),
            carried_count: 0,
            cuts: BTreeSet::new(),
            are_transfers_stalled: false,
            used: BTreeMap::new(),
            results: Results::new(),
            plan: Plan::default(),
            heals_count: 0,
            wasted_tokens: Tokens::ZERO,
            retries_count: 0,
            tally: Tally::default(),
            tamper,
            places,
            config,
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for node in self.all_nodes() {
            self.begin_backend(node);
            self.start_process(node);
        }
        self.publish_hosts();
        self.publish_lists();
        self.publish_lists();
    }

    fn begin_backend(&mut self, node: NodeId) {
        let place = &self.places[node.0];
        let Some(server) = place.server() else {
            return;
        };
        match place.duty {
            Duty::Engine(role) => {
                let model = LoadedModel {
                    model: layout::id(layout::MODEL),
                    version: layout::id(layout::VERSION),
                };
                let engine = Engine::new(server, role, model);
                let engine = engine.with_limits(&self.config);
                self.engines.insert(node, engine);
            }
            _ => {
                self.services.insert(node, Service::new(server));
            }
        }
        self.backends[node.0].is_running = true;
    }

    /// Present time.
    pub fn now(&self) -> TimeUs {
        self.now
    }

    /// Settings.
    pub fn config(&self) -> &BenchConfig {
        &self.config
    }

    /// What was observed.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What callers received.
    pub fn results(&self) -> &Results {
        &self.results
    }

    /// Events so far.
    pub fn events_count(&self) -> u64 {
        self.queue.pushed_count()
    }

    /// Retries that the calls counted.
    pub fn retries_count(&self) -> u64 {
        self.retries_count
    }

    /// Prompt tokens that all engines computed.
    pub fn computed_tokens(&self) -> Tokens {
        self.engines.values().map(|e| e.computed_tokens).sum()
    }

    /// Sequences in the memory of all engines.
    pub fn sequences_count(&self) -> usize {
        self.engines.values().map(|e| e.sequences.len()).sum()
    }

    /// Calls that entries still drive.
    pub fn calls_count(&self) -> usize {
        self.entries.values().map(Entry::calls_count).sum()
    }

    /// Hosts of the entries.
    pub fn entry_nodes(&self) -> Vec<NodeId> {
        self.entries.keys().copied().collect()
    }

    /// Whether all faults that struck have ended.
    pub fn is_healed(&self) -> bool {
        let is_up = |life: &Life| life.is_running && !life.is_paused;
        self.heals_count == 0 && self.nodes.iter().all(is_up)
    }

    /// Sets the faults that strike one request.
    pub fn set_plan(&mut self, plan: Plan) {
        self.plan = plan;
    }

    /// Faults of the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Sends a request at a time.
    pub fn send_at(&mut self, at: TimeUs, spec: RequestSpec) {
        self.queue.push(at.max(self.now), Event::Request(spec));
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: TimeUs) {
        while self.queue.next_at().is_some_and(|at| at <= until) {
            self.step();
        }
        self.now = self.now.max(until);
    }

    fn step(&mut self) {
        if let Some(at) = self.queue.next_at() {
            self.now = self.now.max(at);
        }
        self.arrived_at = self.now;
        let Some(event) = self.queue.pop() else {
            return;
        };
        match event {
            Event::Process {
                node,
                generation,
                event,
            } => self.process_event(node, generation, event),
            Event::Backend {
                node,
                generation,
                event,
            } => self.backend_event(node, generation, event),
            Event::Request(spec) => self.send_request(spec),
            Event::Strike(fault, targets) => self.strike(fault, targets),
            Event::Disturb(disturbance) => self.disturb(disturbance),
            Event::Heal(heal) => self.heal(heal),
            Event::PublishLists => self.publish_lists(),
        }
    }

    fn send_request(&mut self, spec: RequestSpec) {
        self.sent(&spec);
        let delay = self.config.caller_latency_us;
        let entry = spec.entry;
        self.push_process(delay, entry, ProcessEvent::Request(spec));
    }

    fn process_event(&mut self, node: NodeId, generation: u64, event: ProcessEvent) {
        let life = &self.nodes[node.0];
        if !life.is_running || life.generation != generation {
            return;
        }
        if life.is_paused {
            let at = self.now;
            let backlog = self.process_backlog.entry(node).or_default();
            backlog.push(Arrived { at, event });
        } else if self.entries.contains_key(&node) {
            self.entry_event(node, event);
        } else {
            self.agent_event(node, event);
        }
    }

    fn backend_event(&mut self, node: NodeId, generation: u64, event: BackendEvent) {
        let life = &self.backends[node.0];
        let is_command = matches!(
            event,
            BackendEvent::Engine { .. } | BackendEvent::Service { .. }
        );
        if !is_command && (!life.is_running || life.generation != generation) {
            return;
        }
        if !life.is_running {
            self.backend_unreachable(node, event);
        } else if life.is_paused {
            self.backend_backlog.entry(node).or_default().push(event);
        } else {
            self.run_backend(node, event);
        }
    }

    fn run_backend(&mut self, node: NodeId, event: BackendEvent) {
        match event {
            BackendEvent::Engine {
                agent_generation,
                command,
            } => self.engine_command(node, agent_generation, command),
            BackendEvent::SequenceStep { id, serial } => self.sequence_step(node, id, serial),
            BackendEvent::Service {
                agent_generation,
                command,
            } => self.service_call(node, agent_generation, command),
            BackendEvent::ServiceEffect(number) => self.service_effect(node, number),
            BackendEvent::ServiceAnswer(number) => self.service_answer(node, number),
        }
    }

    fn backend_unreachable(&mut self, node: NodeId, event: BackendEvent) {
        match event {
            BackendEvent::Engine {
                agent_generation,
                command,
            } => self.engine_unreachable(node, agent_generation, command),
            BackendEvent::Service {
                agent_generation,
                command,
            } => self.service_unreachable(node, agent_generation, command.run),
            _ => {}
        }
    }

    pub(super) fn push(&mut self, delay: DurationUs, event: Event) {
        self.queue.push(self.now + delay, event);
    }

    pub(super) fn push_now(&mut self, event: Event) {
        self.push(DurationUs::ZERO, event);
    }

    pub(super) fn push_process(&mut self, delay: DurationUs, node: NodeId, event: ProcessEvent) {
        let generation = self.nodes[node.0].generation;
        let event = Event::Process {
            node,
            generation,
            event,
        };
        self.push(delay, event);
    }

    pub(super) fn push_backend(&mut self, delay: DurationUs, node: NodeId, event: BackendEvent) {
        let generation = self.backends[node.0].generation;
        let event = Event::Backend {
            node,
            generation,
            event,
        };
        self.push(delay, event);
    }

    pub(super) fn push_to_backend(&mut self, node: NodeId, event: BackendEvent) {
        self.push_backend(self.config.backend_latency_us, node, event);
    }

    pub(super) fn observe(&mut self, what: Observation) {
        self.record.push(self.now, what);
    }

    pub(super) fn observe_lists(&mut self, node: NodeId, revision: Revision) {
        let process = self.places[node.0].host.clone();
        self.observe(Observation::ListsInForce { process, revision });
    }

    pub(super) fn unix_ms(&self) -> UnixMs {
        UnixMs(START_UNIX_MS + self.now.get() / 1_000)
    }

    pub(super) fn all_nodes(&self) -> Vec<NodeId> {
        (0..self.places.len()).map(NodeId).collect()
    }

    pub(super) fn node_of(&self, server: &BackendServerId) -> NodeId {
        *self
            .by_server
            .get(server)
            .expect("the lists name only servers of the layout")
    }

    pub(super) fn entry_mut(&mut self, node: NodeId) -> &mut Entry {
        self.entries.get_mut(&node).expect("the host runs an entry")
    }

    pub(super) fn agent_mut(&mut self, node: NodeId) -> &mut Agent {
        self.agents.get_mut(&node).expect("the host runs an agent")
    }

    pub(super) fn engine_mut(&mut self, node: NodeId) -> &mut Engine {
        self.engines
            .get_mut(&node)
            .expect("the host runs an engine")
    }

    pub(super) fn service_mut(&mut self, node: NodeId) -> &mut Service {
        self.services
            .get_mut(&node)
            .expect("the host runs a service")
    }

    pub(super) fn start_process(&mut self, node: NodeId) {
        let life = &mut self.nodes[node.0];
        if life.is_running {
            return;
        }
        *life = Life {
            generation: life.generation + 1,
            is_running: true,
            ..Life::default()
        };
        match self.places[node.0].duty {
            Duty::Entry => {
                let entry = self.new_entry(node);
                self.entries.insert(node, entry);
            }
            _ => {
                let agent = self.new_agent(node);
                self.agents.insert(node, agent);
            }
        }
        let process = self.places[node.0].host.clone();
        self.observe(Observation::ProcessStarted { process });
        self.settle_isolation(node);
        if self.now > TimeUs::ZERO {
            self.learn_at_start(node);
        }
    }

    /// A starting process asks its peers and the platform, and takes the highest revisions.
    fn learn_at_start(&mut self, node: NodeId) {
        let is_leaving = self.platform.leaving.contains(&node);
        if let Some(server) = self.places[node.0].server().filter(|_| !is_leaving) {
            self.leaving_since.remove(&node);
            self.observe(Observation::ServerReturned { server });
        }
        let peers = self.all_nodes().into_iter();
        let running = peers.filter(|peer| *peer != node && self.nodes[peer.0].is_running);
        let asked: Vec<NodeId> = running.take(PEERS_ASKED_COUNT).collect();
        for peer in asked {
            let entry = self.entries.get(&peer).and_then(Entry::snapshot);
            let agent = self.agents.get(&peer).and_then(Agent::snapshot);
            if let Some(snapshot) = entry.or(agent) {
                self.push_process(PEERS_DELAY, node, ProcessEvent::Lists(snapshot));
            }
        }
        let hosts = self.hosts();
        self.push_process(PEERS_DELAY, node, ProcessEvent::Hosts(hosts));
        self.send_lists(node);
    }

    pub(super) fn kill(&mut self, node: NodeId) {
        if !self.nodes[node.0].is_running {
            return;
        }
        let process = self.places[node.0].host.clone();
        self.observe(Observation::ProcessKilled { process });
        self.end_process(node);
        self.heal_in(self.config.restart_us, Heal::StartProcess(node));
    }

    fn end_process(&mut self, node: NodeId) {
        let life = &mut self.nodes[node.0];
        life.is_running = false;
        life.is_paused = false;
        self.process_backlog.remove(&node);
        if self.entries.contains_key(&node) {
            self.cut_off_callers(node);
        }
        self.reset_connections(node);
    }

    /// A process that was asked to stop exits, and a new one takes its place.
    pub(super) fn stop_process(&mut self, node: NodeId, open_count: u32) {
        if !self.nodes[node.0].is_running {
            return;
        }
        let process = self.places[node.0].host.clone();
        self.observe(Observation::ProcessStopped {
            process,
            open_count,
        });
        self.end_process(node);
        let restart = self.config.restart_us;
        self.heal_in(restart, Heal::PublishLive(node));
        self.heal_in(restart, Heal::StartProcess(node));
    }

    pub(super) fn kill_backend(&mut self, node: NodeId) {
        let life = &mut self.backends[node.0];
        if !life.is_running {
            return;
        }
        *life = Life {
            generation: life.generation + 1,
            ..Life::default()
        };
        let backlog = self.backend_backlog.remove(&node).unwrap_or_default();
        self.end_engine(node);
        self.end_service(node);
        for event in backlog {
            self.lose_command(node, event);
        }
        self.heal_in(self.config.restart_us, Heal::StartBackend(node));
    }

    /// A command that a back end had received and not read when it died.
    fn lose_command(&mut self, node: NodeId, event: BackendEvent) {
        use cuminlead_protocol::ServiceEvent;
        match event {
            BackendEvent::Service {
                agent_generation,
                command,
            } => {
                let event = ServiceEvent::Lost { run: command.run };
                self.report_run(node, agent_generation, event);
            }
            event => self.backend_unreachable(node, event),
        }
    }

    pub(super) fn pause(&mut self, node: NodeId, time: DurationUs) {
        let until = self.now + time;
        let life = &mut self.nodes[node.0];
        if !life.is_running {
            return;
        }
        life.is_paused = true;
        life.paused_until = life.paused_until.max(until);
        self.settle_isolation(node);
        self.watch_all(node);
        self.heal_in(time, Heal::ResumeProcess(node));
    }

    pub(super) fn resume(&mut self, node: NodeId) {
        let now = self.now;
        let life = &mut self.nodes[node.0];
        if !life.is_paused || now < life.paused_until {
            return;
        }
        life.is_paused = false;
        self.settle_isolation(node);
        for arrived in self.process_backlog.remove(&node).unwrap_or_default() {
            let generation = self.nodes[node.0].generation;
            self.arrived_at = arrived.at;
            self.process_event(node, generation, arrived.event);
        }
    }

    pub(super) fn pause_backend(&mut self, node: NodeId, time: DurationUs) {
        let until = self.now + time;
        let life = &mut self.backends[node.0];
        if !life.is_running {
            return;
        }
        life.is_paused = true;
        life.paused_until = life.paused_until.max(until);
        self.heal_in(time, Heal::ResumeBackend(node));
    }

    pub(super) fn resume_backend(&mut self, node: NodeId) {
        let now = self.now;
        let life = &mut self.backends[node.0];
        if !life.is_paused || now < life.paused_until {
            return;
        }
        life.is_paused = false;
        for event in self.backend_backlog.remove(&node).unwrap_or_default() {
            let generation = self.backends[node.0].generation;
            self.backend_event(node, generation, event);
        }
    }

    /// Notes when a process begins or ceases to be without a path to newer lists.
    pub(super) fn settle_isolation(&mut self, node: NodeId) {
        let is_up = self.platform.state == PlatformState::Up;
        let life = &mut self.nodes[node.0];
        let is_isolated = life.is_running && (life.is_paused || !is_up);
        if life.is_isolated == is_isolated {
            return;
        }
        life.is_isolated = is_isolated;
        let process = self.places[node.0].host.clone();
        self.observe(match is_isolated {
            true => Observation::IsolationBegan { process },
            false => Observation::IsolationEnded { process },
        });
    }
}
