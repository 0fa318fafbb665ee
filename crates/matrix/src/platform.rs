//! Fake configuration service and host list.
//!
//! A change reaches each process a fixed delay after its publication. While the service is down, it
//! accepts no change and sends nothing. While it is stale, it serves the first revision again.

use std::collections::BTreeSet;
use std::sync::Arc;

use cuminlead_lists::{HostList, HostState, Snapshot};
use cuminlead_types::{DurationUs, Revision};
use cuminlead_verifier::{LeavingSource, Observation};

use super::assignment;
use super::event::{Event, NodeId, ProcessEvent};
use super::layout;
use super::simulation::Simulation;

/// Interval at which the service confirms the lists of each process as newest.
const CONFIRM_INTERVAL: DurationUs = DurationUs::from_ms(30_000);

/// State of the configuration service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformState {
    /// It serves the newest revision.
    #[default]
    Up,
    /// It does not respond.
    Down,
    /// It serves the first revision.
    Stale,
}

/// State of the configuration service, and everything published so far.
#[derive(Debug, Default)]
pub struct Platform {
    /// What the configuration service serves at present.
    pub state: PlatformState,
    pub(super) snapshots: Vec<Snapshot>,
    pub(super) leaving: BTreeSet<NodeId>,
    hosts_revision: Revision,
    has_waiting_change: bool,
    /// Number of changes that operators have made to the assignment of the changed engine.
    pub(super) assignment_stage: usize,
    /// Value of `assignment_stage` at each revision of the lists.
    pub(super) assignment_stages: Vec<usize>,
}

impl Simulation {
    pub(super) fn publish_lists(&mut self) {
        if self.platform.state != PlatformState::Up {
            self.platform.has_waiting_change = true;
            return;
        }
        let revision = Revision(self.platform.snapshots.len() as u64 + 1);
        let stage = self.platform.assignment_stage;
        let changed = self.changed_engine;
        let targets =
            |node| assignment::at_stage(&self.config, &self.node_specs, changed, stage, node);
        let snapshot = layout::snapshot(&self.config, &self.node_specs, targets, revision);
        self.platform.snapshots.push(snapshot);
        self.platform.assignment_stages.push(stage);
        self.observe_published(stage);
        self.observe(Observation::ListsPublished { revision });
        for node in self.all_nodes() {
            self.send_lists(node);
        }
    }

    pub(super) fn send_lists(&mut self, node: NodeId) {
        let snapshots = &self.platform.snapshots;
        let served = match self.platform.state {
            PlatformState::Up => snapshots.last(),
            PlatformState::Down => None,
            PlatformState::Stale => snapshots.first(),
        };
        let Some(snapshot) = served.cloned() else {
            return;
        };
        let delay = self.config.lists_delay_us;
        self.push_process(delay, node, ProcessEvent::Lists(snapshot));
        if self.platform.state == PlatformState::Up {
            self.push_process(delay, node, ProcessEvent::Confirmed);
        }
    }

    /// Schedules the next confirmation if the service serves the newest revision.
    pub(super) fn confirm_again(&mut self, node: NodeId) {
        if self.platform.state == PlatformState::Up {
            self.push_process(CONFIRM_INTERVAL, node, ProcessEvent::Confirmed);
        }
    }

    pub(super) fn set_platform(&mut self, state: PlatformState) {
        self.platform.state = state;
        let is_up = state == PlatformState::Up;
        for node in self.all_nodes() {
            self.update_isolation(node);
            self.send_lists(node);
        }
        if is_up && std::mem::take(&mut self.platform.has_waiting_change) {
            self.publish_lists();
        }
    }

    pub(super) fn hosts(&self) -> Arc<HostList> {
        let hosts = self
            .node_specs
            .iter()
            .enumerate()
            .map(|(index, node_spec)| {
                let is_leaving = self.platform.leaving.contains(&NodeId(index));
                let state = match is_leaving {
                    true => HostState::Leaving,
                    false => HostState::Live,
                };
                node_spec.entry(state)
            });
        Arc::new(HostList {
            revision: self.platform.hosts_revision,
            hosts: hosts.collect(),
        })
    }

    pub(super) fn publish_hosts(&mut self) {
        self.platform.hosts_revision.0 += 1;
        let hosts = self.hosts();
        let delay = self.config.hosts_delay_us;
        for node in self.all_nodes() {
            self.push_process(delay, node, ProcessEvent::Hosts(Arc::clone(&hosts)));
        }
    }

    pub(super) fn publish_leaving(&mut self, node: NodeId) {
        self.platform.leaving.insert(node);
        if let Some(server) = self.node_specs[node.0].server() {
            self.draining_since.entry(node).or_insert(self.now);
            let source = LeavingSource::Published;
            self.observe(Observation::LeavingReported { server, source });
        }
        self.publish_hosts();
    }

    pub(super) fn publish_live(&mut self, node: NodeId) {
        if self.platform.leaving.remove(&node) {
            self.publish_hosts();
        }
    }

    /// Publishes a change of the lists after a delay.
    pub fn change_lists_in(&mut self, delay: DurationUs) {
        self.push(delay, Event::PublishLists);
    }
}
