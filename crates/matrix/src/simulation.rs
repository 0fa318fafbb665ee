//! [`Simulation`]: state of all hosts, event queue and record of one run.
//!
//! The entries and agents run the decision code of the real processes. The simulation delivers
//! events to it in the order of virtual time and carries out the actions that it returns.

use std::collections::{BTreeMap, BTreeSet};

use cuminlead_protocol::LoadedModel;
use cuminlead_types::{BackendServerId, DurationUs, RequestId, Revision, TimeUs, Tokens, UnixMs};
use cuminlead_verifier::{Observation, Record};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::agent::Agent;
use super::assignment;
use super::caller::{RequestSpec, Results};
use super::config::SimulationConfig;
use super::counters::Counters;
use super::engine::Engine;
use super::entry::{Entry, UsedServers};
use super::event::{BackendEvent, ConnectionId, Event, ExchangeId, NodeId, ProcessEvent};
use super::exchange::Exchange;
use super::guard_hooks::GuardHooks;
use super::injection::InjectionPlan;
use super::layout::{self, NodeKind, NodeSpec};
use super::lifecycle::LifecycleState;
use super::network::{Connection, NetworkPath};
use super::platform::Platform;
use super::queue::Queue;
use super::service::Service;

/// Unix time at virtual time zero.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Event that arrived at a process while it was paused.
#[derive(Debug)]
pub(super) struct Arrived {
    pub(super) at: TimeUs,
    pub(super) event: ProcessEvent,
}

/// State of all hosts, event queue and record of one run.
#[derive(Debug)]
pub struct Simulation {
    pub(super) config: SimulationConfig,
    pub(super) now: TimeUs,
    queue: Queue,
    record: Record,
    pub(super) node_specs: Vec<NodeSpec>,
    pub(super) by_server: BTreeMap<BackendServerId, NodeId>,
    pub(super) processes: Vec<LifecycleState>,
    pub(super) backends: Vec<LifecycleState>,
    pub(super) process_backlog: BTreeMap<NodeId, Vec<Arrived>>,
    /// Time at which the current event arrived at its host, earlier than `now` after a pause.
    pub(super) arrived_at: TimeUs,
    pub(super) draining_since: BTreeMap<NodeId, TimeUs>,
    pub(super) backend_backlog: BTreeMap<NodeId, Vec<BackendEvent>>,
    pub(super) entries: BTreeMap<NodeId, Entry>,
    pub(super) agents: BTreeMap<NodeId, Agent>,
    pub(super) engines: BTreeMap<NodeId, Engine>,
    pub(super) services: BTreeMap<NodeId, Service>,
    pub(super) platform: Platform,
    pub(super) connections: BTreeMap<ConnectionId, Connection>,
    pub(super) connections_count: u64,
    pub(super) exchanges: BTreeMap<ExchangeId, Exchange>,
    pub(super) exchanges_count: u64,
    pub(super) cut_paths: BTreeSet<NetworkPath>,
    pub(super) are_transfers_stalled: bool,
    pub(super) used_servers: BTreeMap<RequestId, UsedServers>,
    pub(super) results: Results,
    pub(super) plan: InjectionPlan,
    /// Engine whose assignment the lists change.
    pub(super) changed_engine: Option<NodeId>,
    pub(super) pending_heals_count: u32,
    pub(super) wasted_tokens: Tokens,
    pub(super) retries_count: u64,
    pub(super) counters: Counters,
    pub(super) guard_hooks: Box<dyn GuardHooks>,
    rng: StdRng,
}

impl Simulation {
    /// Starts all processes and backend servers at virtual time zero and publishes the first lists.
    /// `guard_hooks` can disable guards of the decision code.
    pub fn new(config: SimulationConfig, guard_hooks: Box<dyn GuardHooks>) -> Self {
        let node_specs = layout::node_specs(&config);
        let servers = node_specs.iter().enumerate();
        let by_server =
            servers.filter_map(|(index, node_spec)| Some((node_spec.server()?, NodeId(index))));
        let states = || {
            node_specs
                .iter()
                .map(|_| LifecycleState::default())
                .collect()
        };
        let mut simulation = Self {
            now: TimeUs::ZERO,
            queue: Queue::default(),
            record: Record::new(),
            by_server: by_server.collect(),
            processes: states(),
            backends: states(),
            process_backlog: BTreeMap::new(),
            arrived_at: TimeUs::ZERO,
            draining_since: BTreeMap::new(),
            backend_backlog: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            platform: Platform::default(),
            connections: BTreeMap::new(),
            connections_count: 0,
            exchanges: BTreeMap::new(),
            exchanges_count: 0,
            cut_paths: BTreeSet::new(),
            are_transfers_stalled: false,
            used_servers: BTreeMap::new(),
            results: Results::new(),
            plan: InjectionPlan::default(),
            changed_engine: config
                .change
                .and_then(|_| assignment::engine_to_change(&node_specs)),
            pending_heals_count: 0,
            wasted_tokens: Tokens::ZERO,
            retries_count: 0,
            counters: Counters::default(),
            guard_hooks,
            rng: StdRng::seed_from_u64(config.seed),
            node_specs,
            config,
        };
        simulation.begin();
        simulation
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
            self.push(at.since(self.now), Event::ChangeAssignment);
        }
    }

    fn begin_backend(&mut self, node: NodeId) {
        let node_spec = &self.node_specs[node.0];
        let Some(server) = node_spec.server() else {
            return;
        };
        match node_spec.kind {
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

    /// Current virtual time.
    pub fn now(&self) -> TimeUs {
        self.now
    }

    /// Settings that the simulation was created with.
    pub fn config(&self) -> &SimulationConfig {
        &self.config
    }

    /// All observations so far.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Responses that the callers received so far, by request.
    pub fn results(&self) -> &Results {
        &self.results
    }

    /// Number of events queued so far, including pending ones.
    pub fn events_count(&self) -> u64 {
        self.queue.pushed_count()
    }

    /// Number of retries that the calls reported.
    pub fn retries_count(&self) -> u64 {
        self.retries_count
    }

    /// Prompt tokens that all engines computed, without those from prefix caches.
    pub fn computed_tokens(&self) -> Tokens {
        self.engines.values().map(|e| e.computed_tokens).sum()
    }

    /// Number of sequences that occupy KV memory in all engines.
    pub fn sequences_count(&self) -> usize {
        self.engines.values().map(|e| e.sequences.len()).sum()
    }

    /// Number of calls that the entries still drive, including those that only release resources.
    pub fn calls_count(&self) -> usize {
        self.entries.values().map(Entry::calls_count).sum()
    }

    /// Hosts that run an entry.
    pub fn entry_nodes(&self) -> Vec<NodeId> {
        self.entries.keys().copied().collect()
    }

    /// Host of a backend server; none when the layout has no such server.
    pub fn host_of(&self, server: &BackendServerId) -> Option<NodeId> {
        self.by_server.get(server).copied()
    }

    /// Whether all injected faults have ended and all processes run.
    pub fn is_healed(&self) -> bool {
        let is_up = |state: &LifecycleState| state.is_running && !state.is_paused;
        self.pending_heals_count == 0 && self.processes.iter().all(is_up)
    }

    /// Sets the faults to inject at the injection points of one request.
    pub fn set_plan(&mut self, plan: InjectionPlan) {
        self.plan = plan;
    }

    /// Plan with the faults that are still to be injected.
    pub fn plan(&self) -> &InjectionPlan {
        &self.plan
    }

    /// Schedules a request; one in the past is sent at the current time.
    pub fn send_at(&mut self, at: TimeUs, spec: RequestSpec) {
        self.queue.push(at.max(self.now), Event::Request(spec));
    }

    /// Handles all events up to and including a time.
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
            Event::InjectTimed(fault) => self.inject_timed(fault),
            Event::Heal(heal) => self.heal(heal),
            Event::PublishLists => self.publish_lists(),
            Event::ChangeAssignment => self.change_assignment(),
        }
    }

    fn send_request(&mut self, spec: RequestSpec) {
        self.record_sent(&spec);
        let delay = self.config.caller_latency_us;
        let entry = spec.entry;
        self.push_process(delay, entry, ProcessEvent::Request(spec));
    }

    pub(super) fn process_event(&mut self, node: NodeId, generation: u64, event: ProcessEvent) {
        let state = &self.processes[node.0];
        if !state.is_running || state.generation != generation {
            return;
        }
        if state.is_paused {
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
        let state = &self.backends[node.0];
        let is_command = matches!(
            event,
            BackendEvent::Engine { .. } | BackendEvent::Service { .. }
        );
        if !is_command && (!state.is_running || state.generation != generation) {
            return;
        }
        if !state.is_running {
            self.backend_unreachable(node, event);
        } else if state.is_paused {
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

    /// Random duration from zero to `longest`.
    pub(super) fn draw(&mut self, longest: DurationUs) -> DurationUs {
        if longest == DurationUs::ZERO {
            return longest;
        }
        DurationUs(self.rng.random_range(0..=longest.get()))
    }

    pub(super) fn push_process(&mut self, delay: DurationUs, node: NodeId, event: ProcessEvent) {
        let generation = self.processes[node.0].generation;
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
        let process = self.node_specs[node.0].host.clone();
        self.observe(Observation::ListsInForce { process, revision });
    }

    pub(super) fn unix_ms(&self) -> UnixMs {
        self.unix_ms_at(self.now)
    }

    pub(super) fn unix_ms_at(&self, at: TimeUs) -> UnixMs {
        UnixMs(START_UNIX_MS + at.get() / 1_000)
    }

    pub(super) fn all_nodes(&self) -> Vec<NodeId> {
        (0..self.node_specs.len()).map(NodeId).collect()
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
