//! Desired assignments of the engines, and the changes that the lists make to one of them.
//!
//! A stage is the number of changes made so far. Every change affects the same decode engine.

use cuminlead_protocol::{EngineRole, LoadedModel};
use cuminlead_types::AdapterName;
use cuminlead_verifier::{EngineAssignmentText, Observation};

use super::config::SimulationConfig;
use super::event::NodeId;
use super::layout::{self, NodeKind, NodeSpec};
use super::platform::PlatformState;
use super::simulation::Simulation;

/// Version that the changed engine serves in addition to [`layout::VERSION`] or instead of it.
const NEXT_VERSION: &str = "v2";
/// Adapter that the changed engine serves after the first and the second change.
const ADAPTER: &str = "kiosk";

/// How the lists change the assignment of one decode engine. The last stage differs from the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssignmentChange {
    /// The role: prefill, decode, prefill.
    Role,
    /// The models: first a second version and an adapter are added, then the first version is
    /// removed, and then the first version is restored and the adapter is removed.
    Models,
}

/// Role, models and adapters that the lists assign to one engine.
#[derive(Clone, Debug)]
pub struct DesiredAssignment {
    /// Role of the engine.
    pub role: EngineRole,
    /// Models with their versions.
    pub models: Vec<LoadedModel>,
    /// Adapters that the engine serves.
    pub adapters: Vec<AdapterName>,
    /// Whether the allowance of the plan names the engine for model calls.
    pub is_allowed: bool,
}

impl DesiredAssignment {
    /// Items of the TOML array `models` in the lists.
    pub fn models_toml(&self) -> String {
        let models = self.models.iter();
        let models =
            models.map(|m| format!("{{ model = \"{}\", version = \"{}\" }}", m.model, m.version));
        models.collect::<Vec<String>>().join(", ")
    }

    /// Items of the TOML array `adapters` in the lists.
    pub fn adapters_toml(&self) -> String {
        let adapters = self.adapters.iter();
        let adapters = adapters.map(|adapter| format!("\"{adapter}\""));
        adapters.collect::<Vec<String>>().join(", ")
    }
}

/// Engine whose assignment changes: the last decode engine of the layout.
pub fn engine_to_change(node_specs: &[NodeSpec]) -> Option<NodeId> {
    let is_decode = |node_spec: &NodeSpec| node_spec.kind == NodeKind::Engine(EngineRole::Decode);
    node_specs.iter().rposition(is_decode).map(NodeId)
}

/// Assignment of an engine at a stage; none when the host has no engine.
pub fn at_stage(
    config: &SimulationConfig,
    node_specs: &[NodeSpec],
    changed: Option<NodeId>,
    stage: usize,
    node: NodeId,
) -> Option<DesiredAssignment> {
    let NodeKind::Engine(role) = node_specs[node.0].kind else {
        return None;
    };
    let mut assignment = DesiredAssignment {
        role,
        models: vec![version(layout::VERSION)],
        adapters: Vec::new(),
        is_allowed: true,
    };
    let change = config.change.filter(|_| changed == Some(node));
    match change {
        Some(AssignmentChange::Role) if stage % 2 == 1 => assignment.role = EngineRole::Prefill,
        Some(AssignmentChange::Models) if stage > 0 => {
            assignment.models.push(version(NEXT_VERSION));
            if stage < 3 {
                assignment.adapters.push(layout::id(ADAPTER));
            }
            if stage == 2 {
                assignment.models.remove(0);
                assignment.is_allowed = false;
            }
        }
        _ => {}
    }
    Some(assignment)
}

fn version(name: &str) -> LoadedModel {
    LoadedModel {
        model: layout::id(layout::MODEL),
        version: layout::id(name),
    }
}

/// Text form of what an engine serves, as it stands in the record.
pub fn text(
    role: EngineRole,
    models: &[LoadedModel],
    adapters: &[AdapterName],
) -> EngineAssignmentText {
    let models = models.iter().map(|m| format!("{}/{}", m.model, m.version));
    let adapters = adapters.iter().map(ToString::to_string);
    EngineAssignmentText::new(&role.to_string(), models.chain(adapters).collect())
}

impl Simulation {
    /// Makes the next change to the assignment of the changed engine and publishes lists with it.
    pub(super) fn change_assignment(&mut self) {
        self.platform.assignment_stage += 1;
        self.publish_lists();
    }

    /// Records the assignment of each engine in the newest lists.
    pub(super) fn observe_published(&mut self, stage: usize) {
        for node in self.all_nodes() {
            let changed = self.changed_engine;
            let assignment = at_stage(&self.config, &self.node_specs, changed, stage, node);
            let server = self.node_specs[node.0].server();
            if let (Some(assignment), Some(server)) = (assignment, server) {
                let duty = text(assignment.role, &assignment.models, &assignment.adapters);
                self.observe(Observation::DutyPublished { server, duty });
            }
        }
    }

    /// Whether lists with the last change have been published.
    pub(super) fn are_assignments_published(&self) -> bool {
        let published = self.platform.assignment_stages.last().copied().unwrap_or(0);
        self.platform.state == PlatformState::Up && published == self.config.change_at.len()
    }
}
