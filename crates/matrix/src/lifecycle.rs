//! Lifecycle of processes and backend servers: start, crash, graceful shutdown and pause.

use cuminlead_protocol::ServiceEvent;
use cuminlead_types::{DurationUs, TimeUs};
use cuminlead_verifier::Observation;

use super::agent::Agent;
use super::entry::Entry;
use super::event::{BackendEvent, Heal, NodeId, ProcessEvent};
use super::layout::NodeKind;
use super::platform::PlatformState;
use super::simulation::Simulation;

/// Number of peers that a starting process queries.
const PEERS_QUERIED_COUNT: usize = 3;
/// Time until a starting process has the lists and the host list of its peers.
const PEER_REPLY_DELAY: DurationUs = DurationUs::from_ms(100);
/// Lifecycle state of a process or backend server. The generation counts its starts.
#[derive(Debug, Default)]
pub struct LifecycleState {
    pub(super) generation: u64,
    pub(super) is_running: bool,
    pub(super) is_paused: bool,
    pub(super) paused_until: TimeUs,
    pub(super) is_isolated: bool,
}

impl Simulation {
    pub(super) fn start_process(&mut self, node: NodeId) {
        let state = &mut self.processes[node.0];
        if state.is_running {
            return;
        }
        *state = LifecycleState {
            generation: state.generation + 1,
            is_running: true,
            ..LifecycleState::default()
        };
        match self.node_specs[node.0].kind {
            NodeKind::Entry => {
                let entry = self.new_entry(node);
                self.entries.insert(node, entry);
            }
            _ => {
                let agent = self.new_agent(node);
                self.agents.insert(node, agent);
            }
        }
        let process = self.node_specs[node.0].host.clone();
        self.observe(Observation::ProcessStarted { process });
        self.update_isolation(node);
        if self.now > TimeUs::ZERO {
            self.fetch_initial_state(node);
        }
    }

    /// A starting process queries peers and the platform, and uses the highest revisions among the
    /// replies.
    fn fetch_initial_state(&mut self, node: NodeId) {
        let is_leaving = self.platform.leaving.contains(&node);
        if let Some(server) = self.node_specs[node.0].server().filter(|_| !is_leaving) {
            self.draining_since.remove(&node);
            self.observe(Observation::ServerReturned { server });
        }
        let peers = self.all_nodes().into_iter();
        let running = peers.filter(|peer| *peer != node && self.processes[peer.0].is_running);
        let queried: Vec<NodeId> = running.take(PEERS_QUERIED_COUNT).collect();
        for peer in queried {
            let entry = self.entries.get(&peer).and_then(Entry::snapshot);
            let agent = self.agents.get(&peer).and_then(Agent::snapshot);
            if let Some(snapshot) = entry.or(agent) {
                self.push_process(PEER_REPLY_DELAY, node, ProcessEvent::Lists(snapshot));
            }
        }
        let hosts = self.hosts();
        self.push_process(PEER_REPLY_DELAY, node, ProcessEvent::Hosts(hosts));
        self.send_lists(node);
    }

    pub(super) fn kill(&mut self, node: NodeId) {
        if !self.processes[node.0].is_running {
            return;
        }
        let process = self.node_specs[node.0].host.clone();
        self.observe(Observation::ProcessKilled { process });
        self.end_process(node);
        self.heal_in(self.config.restart_us, Heal::StartProcess(node));
    }

    fn end_process(&mut self, node: NodeId) {
        let state = &mut self.processes[node.0];
        state.is_running = false;
        state.is_paused = false;
        self.process_backlog.remove(&node);
        if self.entries.contains_key(&node) {
            self.cut_off_callers(node);
        }
        self.reset_connections(node);
    }

    /// Ends a process that was asked to shut down, and schedules the start of its replacement.
    pub(super) fn stop_process(&mut self, node: NodeId, open_count: u32) {
        if !self.processes[node.0].is_running {
            return;
        }
        let process = self.node_specs[node.0].host.clone();
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
        let state = &mut self.backends[node.0];
        if !state.is_running {
            return;
        }
        *state = LifecycleState {
            generation: state.generation + 1,
            ..LifecycleState::default()
        };
        let backlog = self.backend_backlog.remove(&node).unwrap_or_default();
        self.end_engine(node);
        self.end_service(node);
        for event in backlog {
            self.fail_unread_command(node, event);
        }
        self.heal_in(self.config.restart_us, Heal::StartBackend(node));
    }

    /// Fails a command that a backend server had received but not read when it died.
    fn fail_unread_command(&mut self, node: NodeId, event: BackendEvent) {
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
        let state = &mut self.processes[node.0];
        if !state.is_running {
            return;
        }
        state.is_paused = true;
        state.paused_until = state.paused_until.max(until);
        self.update_isolation(node);
        self.schedule_keep_alives_of(node);
        self.heal_in(time, Heal::ResumeProcess(node));
    }

    pub(super) fn resume(&mut self, node: NodeId) {
        let now = self.now;
        let state = &mut self.processes[node.0];
        if !state.is_paused || now < state.paused_until {
            return;
        }
        state.is_paused = false;
        self.update_isolation(node);
        for arrived in self.process_backlog.remove(&node).unwrap_or_default() {
            let generation = self.processes[node.0].generation;
            self.arrived_at = arrived.at;
            self.process_event(node, generation, arrived.event);
        }
    }

    pub(super) fn pause_backend(&mut self, node: NodeId, time: DurationUs) {
        let until = self.now + time;
        let state = &mut self.backends[node.0];
        if !state.is_running {
            return;
        }
        state.is_paused = true;
        state.paused_until = state.paused_until.max(until);
        self.heal_in(time, Heal::ResumeBackend(node));
    }

    pub(super) fn resume_backend(&mut self, node: NodeId) {
        let now = self.now;
        let state = &mut self.backends[node.0];
        if !state.is_paused || now < state.paused_until {
            return;
        }
        state.is_paused = false;
        for event in self.backend_backlog.remove(&node).unwrap_or_default() {
            let generation = self.backends[node.0].generation;
            self.backend_event(node, generation, event);
        }
    }

    /// Records when a process loses or regains its path to newer lists.
    pub(super) fn update_isolation(&mut self, node: NodeId) {
        let is_up = self.platform.state == PlatformState::Up;
        let state = &mut self.processes[node.0];
        let is_isolated = state.is_running && (state.is_paused || !is_up);
        if state.is_isolated == is_isolated {
            return;
        }
        state.is_isolated = is_isolated;
        let process = self.node_specs[node.0].host.clone();
        self.observe(match is_isolated {
            true => Observation::IsolationBegan { process },
            false => Observation::IsolationEnded { process },
        });
    }
}
