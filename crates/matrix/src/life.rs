//! Lives of processes and back ends: start, death, graceful stop and pause.

use cuminlead_protocol::ServiceEvent;
use cuminlead_types::{DurationUs, TimeUs};
use cuminlead_verifier::Observation;

use super::agent::Agent;
use super::entry::Entry;
use super::event::{BackendEvent, Heal, NodeId, ProcessEvent};
use super::layout::NodeKind;
use super::platform::PlatformState;
use super::simulation::Simulation;

/// Peers that a starting process asks.
const PEERS_ASKED_COUNT: usize = 3;
/// Time in which a starting process learns lists and hosts from its peers.
const PEERS_DELAY: DurationUs = DurationUs::from_ms(100);
/// Life of a process or back end.
#[derive(Debug, Default)]
pub struct Life {
    pub(super) generation: u64,
    pub(super) is_running: bool,
    pub(super) is_paused: bool,
    pub(super) paused_until: TimeUs,
    pub(super) is_isolated: bool,
}

impl Simulation {
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
        match self.places[node.0].kind {
            NodeKind::Entry => {
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
