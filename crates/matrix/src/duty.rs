//! What engines should serve, and how the lists change it for one of them.

use cuminlead_protocol::{EngineRole, LoadedModel};
use cuminlead_types::AdapterName;
use cuminlead_verifier::{EngineAssignmentText, Observation};

use super::config::SimulationConfig;
use super::event::NodeId;
use super::layout::{self, NodeKind, NodeSpec};
use super::platform::PlatformState;
use super::simulation::Simulation;

/// Version that the changed engine serves besides the first one.
const NEXT_VERSION: &str = "v2";
/// Adapter that the changed engine serves for a time.
const ADAPTER: &str = "kiosk";

/// What the lists change of one decode engine; it ends with other duties than it began with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyChange {
    /// Its role: prefill, decode and prefill again.
    Role,
    /// Its models: a second version and an adapter, only the second version, and both without the
    /// adapter.
    Models,
}

/// What one engine should serve.
#[derive(Clone, Debug)]
pub struct Duties {
    /// Role.
    pub role: EngineRole,
    /// Models and versions.
    pub models: Vec<LoadedModel>,
    /// Adapters.
    pub adapters: Vec<AdapterName>,
    /// Whether the plan allows model calls at it.
    pub is_allowed: bool,
}

impl Duties {
    /// Models in the form of the lists.
    pub fn models_toml(&self) -> String {
        let models = self.models.iter();
        let models =
            models.map(|m| format!("{{ model = \"{}\", version = \"{}\" }}", m.model, m.version));
        models.collect::<Vec<String>>().join(", ")
    }

    /// Adapters in the form of the lists.
    pub fn adapters_toml(&self) -> String {
        let adapters = self.adapters.iter();
        let adapters = adapters.map(|adapter| format!("\"{adapter}\""));
        adapters.collect::<Vec<String>>().join(", ")
    }
}

/// Engine whose duty the lists change: the last decode engine.
pub fn changed(places: &[NodeSpec]) -> Option<NodeId> {
    let is_decode = |place: &NodeSpec| place.kind == NodeKind::Engine(EngineRole::Decode);
    places.iter().rposition(is_decode).map(NodeId)
}

/// Duties of an engine after this many changes.
pub fn at_stage(
    config: &SimulationConfig,
    places: &[NodeSpec],
    changed: Option<NodeId>,
    stage: usize,
    node: NodeId,
) -> Option<Duties> {
    let NodeKind::Engine(role) = places[node.0].kind else {
        return None;
    };
    let mut duties = Duties {
        role,
        models: vec![version(layout::VERSION)],
        adapters: Vec::new(),
        is_allowed: true,
    };
    let change = config.change.filter(|_| changed == Some(node));
    match change {
        Some(DutyChange::Role) if stage % 2 == 1 => duties.role = EngineRole::Prefill,
        Some(DutyChange::Models) if stage > 0 => {
            duties.models.push(version(NEXT_VERSION));
            if stage < 3 {
                duties.adapters.push(layout::id(ADAPTER));
            }
            if stage == 2 {
                duties.models.remove(0);
                duties.is_allowed = false;
            }
        }
        _ => {}
    }
    Some(duties)
}

fn version(name: &str) -> LoadedModel {
    LoadedModel {
        model: layout::id(layout::MODEL),
        version: layout::id(name),
    }
}

/// What an engine serves, as the record has it.
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
    /// Operators change what the changed engine should serve.
    pub(super) fn change_duty(&mut self) {
        self.platform.duty_stage += 1;
        self.publish_lists();
    }

    /// Notes what the newest lists want of each engine.
    pub(super) fn observe_published(&mut self, stage: usize) {
        for node in self.all_nodes() {
            let changed = self.changed;
            let duties = at_stage(&self.config, &self.places, changed, stage, node);
            let server = self.places[node.0].server();
            if let (Some(duties), Some(server)) = (duties, server) {
                let duty = text(duties.role, &duties.models, &duties.adapters);
                self.observe(Observation::DutyPublished { server, duty });
            }
        }
    }

    /// Whether all changes of duties have been published.
    pub(super) fn are_duties_published(&self) -> bool {
        let published = self.platform.duty_stages.last().copied().unwrap_or(0);
        self.platform.state == PlatformState::Up && published == self.config.change_at.len()
    }
}
