//! Orders that lead from an engine's inventory to its assignment.

use cuminlead_lists::{AssignedRole, EngineAssignment};
use cuminlead_protocol::{EngineInventory, EngineOrder, EngineRole, LoadedModel};
use cuminlead_types::AdapterName;

/// Role, models and adapters of an engine that in-flight requests use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourcesInUse {
    /// Number of leases that depend on the engine's current role.
    pub role_lease_count: u32,
    /// Models and versions that in-flight requests run on.
    pub models: Vec<LoadedModel>,
    /// Adapters that in-flight requests run on.
    pub adapters: Vec<AdapterName>,
}

impl ResourcesInUse {
    /// Whether the order must wait because it removes something that an in-flight request uses.
    pub fn blocks(&self, order: &EngineOrder) -> bool {
        match order {
            EngineOrder::SetRole { .. } => self.role_lease_count > 0,
            EngineOrder::UnloadModel { model, version } => self
                .models
                .iter()
                .any(|used| used.model == *model && used.version == *version),
            EngineOrder::UnloadAdapter { adapter } => self.adapters.contains(adapter),
            EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => false,
        }
    }
}

/// Engine role that corresponds to an assigned role.
pub fn engine_role(assigned: AssignedRole) -> EngineRole {
    match assigned {
        AssignedRole::Prefill => EngineRole::Prefill,
        AssignedRole::Decode => EngineRole::Decode,
    }
}

/// Orders that are needed, in the sequence in which they are to be sent.
///
/// Loads precede the role change, so an engine can serve as soon as its role has changed. Unloads
/// come last, but are sent while a failed load waits for its retry: the load may have failed
/// because memory is full.
pub fn reconcile(assignment: &EngineAssignment, inventory: &EngineInventory) -> Vec<EngineOrder> {
    let mut orders = missing_models(assignment, inventory);
    orders.extend(missing_adapters(assignment, inventory));
    let role = engine_role(assignment.role);
    if role != inventory.role {
        orders.push(EngineOrder::SetRole { role });
    }
    orders.extend(unassigned_adapters(assignment, inventory));
    orders.extend(unassigned_models(assignment, inventory));
    orders
}

fn missing_models(assignment: &EngineAssignment, inventory: &EngineInventory) -> Vec<EngineOrder> {
    let is_loaded = |model: &LoadedModel| inventory.models.contains(model);
    let assigned = assigned_models(assignment);
    let missing = assigned.into_iter().filter(|model| !is_loaded(model));
    missing
        .map(|LoadedModel { model, version }| EngineOrder::LoadModel { model, version })
        .collect()
}

fn unassigned_models(
    assignment: &EngineAssignment,
    inventory: &EngineInventory,
) -> Vec<EngineOrder> {
    let assigned = assigned_models(assignment);
    let unassigned = inventory
        .models
        .iter()
        .filter(|model| !assigned.contains(model));
    unassigned
        .cloned()
        .map(|LoadedModel { model, version }| EngineOrder::UnloadModel { model, version })
        .collect()
}

fn missing_adapters(
    assignment: &EngineAssignment,
    inventory: &EngineInventory,
) -> Vec<EngineOrder> {
    let is_loaded = |adapter: &AdapterName| inventory.adapters.contains(adapter);
    let missing = assignment
        .adapters
        .iter()
        .filter(|adapter| !is_loaded(adapter));
    missing
        .cloned()
        .map(|adapter| EngineOrder::LoadAdapter { adapter })
        .collect()
}

fn unassigned_adapters(
    assignment: &EngineAssignment,
    inventory: &EngineInventory,
) -> Vec<EngineOrder> {
    let is_assigned = |adapter: &AdapterName| assignment.adapters.contains(adapter);
    let unassigned = inventory
        .adapters
        .iter()
        .filter(|adapter| !is_assigned(adapter));
    unassigned
        .cloned()
        .map(|adapter| EngineOrder::UnloadAdapter { adapter })
        .collect()
}

fn assigned_models(assignment: &EngineAssignment) -> Vec<LoadedModel> {
    let to_loaded = |assigned: &cuminlead_lists::ModelVersion| LoadedModel {
        model: assigned.model.clone(),
        version: assigned.version.clone(),
    };
    assignment.models.iter().map(to_loaded).collect()
}
