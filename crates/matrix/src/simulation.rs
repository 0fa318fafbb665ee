//! [`Simulation`]: all hosts, the queue and the record of one run.

use std::collections::{BTreeMap, BTreeSet};

use cuminlead_protocol::LoadedModel;
use cuminlead_types::{BackendServerId, DurationUs, RequestId, Revision, TimeUs, Tokens, UnixMs};
use cuminlead_verifier::{Observation, Record};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::agent::Agent;
use super::caller::{RequestSpec, Results};
use super::carry::Carried;
use super::config::SimulationConfig;
use super::duty;
use super::engine::Engine;
use super::entry::{Entry, Used};
use super::event::{BackendEvent, CarriedId, ConnectionId, Event, NodeId, ProcessEvent};
use super::guard_hooks::GuardHooks;
use super::layout::{self, NodeKind, NodeSpec};
use super::life::Life;
use super::network::{Connection, Way};
use super::platform::Platform;
use super::queue::Queue;
use super::service::Service;
use super::step::Plan;
use super::tally::Tally;

/// Unix time at the start of a run.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Event that arrived at a paused process.
#[derive(Debug)]
pub(super) struct Arrived {
    pub(super) at: TimeUs,
    pub(super) event: ProcessEvent,
}

/// All hosts, the queue and the record of one run.
#[derive(Debug)]
pub struct Simulation {
    pub(super) config: SimulationConfig,
    pub(super) now: TimeUs,
    queue: Queue,
    record: Record,
    pub(super) places: Vec<NodeSpec>,
    pub(super) by_server: BTreeMap<BackendServerId, NodeId>,
    pub(super) nodes: Vec<Life>,
    pub(super) backends: Vec<Life>,
    pub(super) process_backlog: BTreeMap<NodeId, Vec<Arrived>>,
    /// When the event that is handled arrived at its host.
    pub(super) arrived_at: TimeUs,
    pub(super) leaving_since: BTreeMap<NodeId, TimeUs>,
    pub(super) backend_backlog: BTreeMap<NodeId, Vec<BackendEvent>>,
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
    /// Engine whose duty the lists change.
    pub(super) changed: Option<NodeId>,
    pub(super) heals_count: u32,
    pub(super) wasted_tokens: Tokens,
    pub(super) retries_count: u64,
    pub(super) tally: Tally,
    pub(super) tamper: Box<dyn GuardHooks>,
    rng: StdRng,
}

impl Simulation {
    /// World whose processes all start at time zero.
    pub fn new(config: SimulationConfig, tamper: Box<dyn GuardHooks>) -> Self {
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
            changed: config.change.and_then(|_| duty::changed(&places)),
            heals_count: 0,
            wasted_tokens: Tokens::ZERO,
            retries_count: 0,
            tally: Tally::default(),
            tamper,
            rng: StdRng::seed_from_u64(config.seed),
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
        for at in self.config.change_at.clone() {
            self.push(at.since(self.now), Event::ChangeDuty);
        }
    }

    fn begin_backend(&mut self, node: NodeId) {
        let place = &self.places[node.0];
        let Some(server) = place.server() else {
            return;
        };
        match place.kind {
            NodeKind::Engine(role) => {
                let model = LoadedModel {
                    model: layout::id(layout::MODEL),
                    version: layout::id(layout::VERSION),
                };
                let engine = Engine::new(server, role, model);
                let engine = engine.with_limits(&self.config);
                self.engines.insert(node, engine);
                self.observe_served(node);
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
    pub fn config(&self) -> &SimulationConfig {
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

    /// Host of a backend server.
    pub fn host_of(&self, server: &BackendServerId) -> Option<NodeId> {
        self.by_server.get(server).copied()
    }

    /// Whether all injected faults have ended.
    pub fn is_healed(&self) -> bool {
        let is_up = |life: &Life| life.is_running && !life.is_paused;
        self.heals_count == 0 && self.nodes.iter().all(is_up)
    }

    /// Sets the faults to inject into one request.
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
            Event::Injection(fault, targets) => self.inject(fault, targets),
            Event::Disturb(disturbance) => self.disturb(disturbance),
            Event::Heal(heal) => self.heal(heal),
            Event::PublishLists => self.publish_lists(),
            Event::ChangeDuty => self.change_duty(),
        }
    }

    fn send_request(&mut self, spec: RequestSpec) {
        self.sent(&spec);
        let delay = self.config.caller_latency_us;
        let entry = spec.entry;
        self.push_process(delay, entry, ProcessEvent::Request(spec));
    }

    pub(super) fn process_event(&mut self, node: NodeId, generation: u64, event: ProcessEvent) {
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

    pub(super) fn backend_event(&mut self, node: NodeId, generation: u64, event: BackendEvent) {
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
            BackendEvent::LateOrder {
                agent_generation,
                fencing,
                order,
            } => self.carry_out_order(node, agent_generation, fencing, order),
            BackendEvent::SequenceStep { id, serial } => self.sequence_step(node, id, serial),
            BackendEvent::Service {
                agent_generation,
                command,
            } => self.service_call(node, agent_generation, command),
            BackendEvent::ServiceEffect(number) => self.service_effect(node, number),
            BackendEvent::ServiceAnswer(number) => self.service_answer(node, number),
        }
    }

    pub(super) fn backend_unreachable(&mut self, node: NodeId, event: BackendEvent) {
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

    pub(super) fn jitter(&mut self) -> DurationUs {
        self.draw(self.config.jitter_us)
    }

    /// Duration up to `longest`, drawn with the seed.
    pub(super) fn draw(&mut self, longest: DurationUs) -> DurationUs {
        if longest == DurationUs::ZERO {
            return longest;
        }
        DurationUs(self.rng.random_range(0..=longest.get()))
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
        self.unix_ms_at(self.now)
    }

    pub(super) fn unix_ms_at(&self, at: TimeUs) -> UnixMs {
        UnixMs(START_UNIX_MS + at.get() / 1_000)
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
}
