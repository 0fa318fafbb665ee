//! Checks of a request against the agent's own lists and engine.
//!
//! The entry has checked the plan already, possibly against older lists. The agent checks again,
//! so a change is in force for all new work as soon as the agent has it.

use std::sync::Arc;

use cuminlead_admission::SchedulingTerms;
use cuminlead_lists::{EngineAssignment, Lists, ModelVersion, ServerAssignment};
use cuminlead_orders::reconcile::role_of;
use cuminlead_protocol::{EngineRole, ModelTarget, RefusalReason};
use cuminlead_types::{BackendServerId, CustomerId, Revision, ServiceName};

use crate::poll::InventoryPoll;

/// Lists in force at an agent and what they say about its server.
#[derive(Debug)]
pub struct Gate {
    server: BackendServerId,
    lists: Option<Arc<Lists>>,
}

impl Gate {
    /// Gate without lists, which refuses everything.
    pub fn new(server: BackendServerId) -> Self {
        Self {
            server,
            lists: None,
        }
    }

    /// Takes lists into force; false when they are older than those in force.
    pub fn apply(&mut self, lists: Arc<Lists>) -> bool {
        if lists.revision < self.revision() {
            return false;
        }
        self.lists = Some(lists);
        true
    }

    /// Lists in force.
    pub fn lists(&self) -> Option<&Arc<Lists>> {
        self.lists.as_ref()
    }

    /// Revision in force, zero before the first lists.
    pub fn revision(&self) -> Revision {
        let lists = self.lists.as_ref();
        lists.map_or(Revision::ZERO, |lists| lists.revision)
    }

    /// What the server is wanted to do.
    pub fn assignment(&self) -> Option<&ServerAssignment> {
        let server = self.lists.as_ref()?.servers.get(&self.server)?;
        Some(&server.assignment)
    }

    /// Whether the server is a model engine.
    pub fn is_engine(&self) -> bool {
        matches!(self.assignment(), Some(ServerAssignment::Engine(_)))
    }

    /// Refuses while lists or a first inventory are missing.
    pub fn check_started(&self, poll: &InventoryPoll) -> Result<&Arc<Lists>, RefusalReason> {
        let lists = self.lists.as_ref().ok_or(RefusalReason::Starting)?;
        if self.is_engine() && !poll.is_known() {
            return Err(RefusalReason::Starting);
        }
        Ok(lists)
    }

    /// What the customer's plan gives for a model call in a role at this server.
    pub fn check_model(
        &self,
        poll: &InventoryPoll,
        customer: &CustomerId,
        target: &ModelTarget,
        role: EngineRole,
    ) -> Result<SchedulingTerms, RefusalReason> {
        let lists = self.check_started(poll)?;
        let adapter = target.adapter.as_ref();
        let grant = lists
            .check_model(customer, &target.model, adapter, Some(&target.version))
            .map_err(|_| RefusalReason::OutsidePlan)?;
        if !grant.allowance.servers.contains(&self.server) {
            return Err(RefusalReason::OutsidePlan);
        }
        self.check_duty(target, role)?;
        if !poll.serves(role, target) {
            return Err(RefusalReason::NotServed);
        }
        Ok(SchedulingTerms {
            priority: grant.allowance.priority,
            weight: grant.plan.weight,
        })
    }

    /// Whether the customer's plan gives calls of a service at this server.
    pub fn check_service(
        &self,
        poll: &InventoryPoll,
        customer: &CustomerId,
        service: &ServiceName,
    ) -> Result<&Arc<Lists>, RefusalReason> {
        let lists = self.check_started(poll)?;
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

    fn check_duty(&self, target: &ModelTarget, role: EngineRole) -> Result<(), RefusalReason> {
        let Some(ServerAssignment::Engine(assignment)) = self.assignment() else {
            return Err(RefusalReason::NotServed);
        };
        if role_of(assignment.role) == role && is_wanted(assignment, target) {
            Ok(())
        } else {
            Err(RefusalReason::NotServed)
        }
    }
}

fn is_wanted(assignment: &EngineAssignment, target: &ModelTarget) -> bool {
    let wanted = ModelVersion {
        model: target.model.clone(),
        version: target.version.clone(),
    };
    let adapter = target.adapter.as_ref();
    assignment.models.contains(&wanted)
        && adapter.is_none_or(|adapter| assignment.adapters.contains(adapter))
}
