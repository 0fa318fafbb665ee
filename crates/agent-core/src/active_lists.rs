//! Active lists of an agent, and the checks of requests against them and the engine's inventory.
//!
//! The entry has already checked the plan, but possibly against older lists. The agent checks it
//! again, so a change applies to all new work as soon as the agent has received it.

use std::sync::Arc;

use cuminlead_admission::SchedulingTerms;
use cuminlead_lists::{EngineAssignment, Lists, ModelVersion, ServerAssignment};
use cuminlead_orders::reconcile::engine_role;
use cuminlead_protocol::{EngineRole, ModelTarget, RefusalReason};
use cuminlead_types::{BackendServerId, CustomerId, Revision, ServiceName};

use crate::inventory_poll::InventoryPoll;

/// Active lists of an agent, as seen by its backend server.
#[derive(Debug)]
pub struct ActiveLists {
    server: BackendServerId,
    lists: Option<Arc<Lists>>,
}

impl ActiveLists {
    /// Starts without lists; every check fails until some are installed.
    pub fn new(server: BackendServerId) -> Self {
        Self {
            server,
            lists: None,
        }
    }

    /// Replaces the active lists; returns false and keeps them if the new ones have a lower
    /// revision.
    pub fn install_unless_older(&mut self, lists: Arc<Lists>) -> bool {
        if lists.revision < self.revision() {
            return false;
        }
        self.lists = Some(lists);
        true
    }

    /// Active lists; `None` until the first ones are installed.
    pub fn lists(&self) -> Option<&Arc<Lists>> {
        self.lists.as_ref()
    }

    /// Active revision; zero until the first lists are installed.
    pub fn revision(&self) -> Revision {
        let lists = self.lists.as_ref();
        lists.map_or(Revision::ZERO, |lists| lists.revision)
    }

    /// Assignment of the server; `None` without lists or if they do not contain the server.
    pub fn assignment(&self) -> Option<&ServerAssignment> {
        let server = self.lists.as_ref()?.servers.get(&self.server)?;
        Some(&server.assignment)
    }

    /// Whether the active lists describe the server as a model engine.
    pub fn is_engine(&self) -> bool {
        matches!(self.assignment(), Some(ServerAssignment::Engine(_)))
    }

    /// Returns the active lists.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Starting`] without lists, or at an engine without a reliable inventory.
    pub fn check_ready(
        &self,
        inventory_poll: &InventoryPoll,
    ) -> Result<&Arc<Lists>, RefusalReason> {
        let lists = self.lists.as_ref().ok_or(RefusalReason::Starting)?;
        if self.is_engine() && !inventory_poll.is_reliable() {
            return Err(RefusalReason::Starting);
        }
        Ok(lists)
    }

    /// Checks a model call in a role at this server and returns its scheduling terms.
    ///
    /// # Errors
    ///
    /// In the order of the checks: [`RefusalReason::Starting`]; [`RefusalReason::OutsidePlan`] if
    /// the customer's plan does not allow the model at this server; [`RefusalReason::NotServed`] if
    /// the role or model is not assigned to the engine or is missing in its inventory.
    pub fn check_model(
        &self,
        inventory_poll: &InventoryPoll,
        customer: &CustomerId,
        target: &ModelTarget,
        role: EngineRole,
    ) -> Result<SchedulingTerms, RefusalReason> {
        let lists = self.check_ready(inventory_poll)?;
        let adapter = target.adapter.as_ref();
        let grant = lists
            .check_model(customer, &target.model, adapter, Some(&target.version))
            .map_err(|_| RefusalReason::OutsidePlan)?;
        if !grant.allowance.servers.contains(&self.server) {
            return Err(RefusalReason::OutsidePlan);
        }
        self.check_assignment(target, role)?;
        if !inventory_poll.serves(role, target) {
            return Err(RefusalReason::NotServed);
        }
        Ok(SchedulingTerms {
            priority: grant.allowance.priority,
            weight: grant.plan.weight,
        })
    }

    /// Checks a call of a service at this server and returns the active lists.
    ///
    /// # Errors
    ///
    /// In the order of the checks: [`RefusalReason::Starting`];
    /// [`RefusalReason::OutsidePlan`] if the customer's plan does not allow the service at this
    /// server; [`RefusalReason::NotServed`] if the server is not assigned to the service.
    pub fn check_service(
        &self,
        inventory_poll: &InventoryPoll,
        customer: &CustomerId,
        service: &ServiceName,
    ) -> Result<&Arc<Lists>, RefusalReason> {
        let lists = self.check_ready(inventory_poll)?;
        let grant = lists
            .check_service(customer, service)
            .map_err(|_| RefusalReason::OutsidePlan)?;
        if !grant.allowance.servers.contains(&self.server) {
            return Err(RefusalReason::OutsidePlan);
        }
        match self.assignment() {
            Some(ServerAssignment::Service(name)) if name == service => Ok(lists),
            _ => Err(RefusalReason::NotServed),
        }
    }

    fn check_assignment(
        &self,
        target: &ModelTarget,
        role: EngineRole,
    ) -> Result<(), RefusalReason> {
        let Some(ServerAssignment::Engine(assignment)) = self.assignment() else {
            return Err(RefusalReason::NotServed);
        };
        if engine_role(assignment.role) == role && is_assigned(assignment, target) {
            Ok(())
        } else {
            Err(RefusalReason::NotServed)
        }
    }
}

fn is_assigned(assignment: &EngineAssignment, target: &ModelTarget) -> bool {
    let model = ModelVersion {
        model: target.model.clone(),
        version: target.version.clone(),
    };
    let adapter = target.adapter.as_ref();
    assignment.models.contains(&model)
        && adapter.is_none_or(|adapter| assignment.adapters.contains(adapter))
}
