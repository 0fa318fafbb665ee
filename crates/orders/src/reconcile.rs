//! The orders that lead from what an engine serves to what is wanted.

use cuminlead_lists::{AssignedRole, EngineAssignment};
use cuminlead_protocol::{EngineInventory, EngineOrder, EngineRole, LoadedModel};
use cuminlead_types::AdapterName;

/// What running requests use at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourcesInUse {
    /// Leases of the engine's present role.
    pub role_leases_held: u32,
    /// Models and versions in use.
    pub models: Vec<LoadedModel>,
    /// Adapters in use.
    pub adapters: Vec<AdapterName>,
}

impl ResourcesInUse {
    /// Whether an order would take something away from a running request.
    pub fn forbids(&self, order: &EngineOrder) -> bool {
        match order {
            EngineOrder::SetRole { .. } => self.role_leases_held > 0,
            EngineOrder::UnloadModel { model, version } => self
                .models
                .iter()
                .any(|held| held.model == *model && held.version == *version),
            EngineOrder::UnloadAdapter { adapter } => self.adapters.contains(adapter),
            EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => false,
        }
    }
}

/// Role of an engine that is wanted.
pub fn role_of(wanted: AssignedRole) -> EngineRole {
    match wanted {
        AssignedRole::Prefill => EngineRole::Prefill,
        AssignedRole::Decode => EngineRole::Decode,
    }
}

/// Orders that are missing, in the order in which they are tried.
///
/// Loads come first, so that an engine that changes its role can serve at once. An unload goes ahead
/// of a load that is in back-off, which may have failed because memory is full.
pub fn reconcile(assignment: &EngineAssignment, actual: &EngineInventory) -> Vec<EngineOrder> {
    let mut orders = missing_models(assignment, actual);
    orders.extend(missing_adapters(assignment, actual));
    let role = role_of(assignment.role);
    if role != actual.role {
        orders.push(EngineOrder::SetRole { role });
    }
    orders.extend(unwanted_adapters(assignment, actual));
    orders.extend(unwanted_models(assignment, actual));
    orders
}

fn missing_models(assignment: &EngineAssignment, actual: &EngineInventory) -> Vec<EngineOrder> {
    let is_loaded = |model: &LoadedModel| actual.models.contains(model);
    let wanted = wanted_models(assignment);
    let missing = wanted.into_iter().filter(|model| !is_loaded(model));
    missing
        .map(|LoadedModel { model, version }| EngineOrder::LoadModel { model, version })
        .collect()
}

fn unwanted_models(assignment: &EngineAssignment, actual: &EngineInventory) -> Vec<EngineOrder> {
    let wanted = wanted_models(assignment);
    let unwanted = actual.models.iter().filter(|model| !wanted.contains(model));
    unwanted
        .cloned()
        .map(|LoadedModel { model, version }| EngineOrder::UnloadModel { model, version })
        .collect()
}

fn missing_adapters(assignment: &EngineAssignment, actual: &EngineInventory) -> Vec<EngineOrder> {
    let is_loaded = |adapter: &AdapterName| actual.adapters.contains(adapter);
    let missing = assignment
        .adapters
        .iter()
        .filter(|adapter| !is_loaded(adapter));
    missing
        .cloned()
        .map(|adapter| EngineOrder::LoadAdapter { adapter })
        .collect()
}

fn unwanted_adapters(assignment: &EngineAssignment, actual: &EngineInventory) -> Vec<EngineOrder> {
    let is_wanted = |adapter: &AdapterName| assignment.adapters.contains(adapter);
    let unwanted = actual.adapters.iter().filter(|adapter| !is_wanted(adapter));
    unwanted
        .cloned()
        .map(|adapter| EngineOrder::UnloadAdapter { adapter })
        .collect()
}

fn wanted_models(assignment: &EngineAssignment) -> Vec<LoadedModel> {
    let loaded = |wanted: &cuminlead_lists::ModelVersion| LoadedModel {
        model: wanted.model.clone(),
        version: wanted.version.clone(),
    };
    assignment.models.iter().map(loaded).collect()
}
