//! Engine orders: reconciles what the engine serves with the assignment in the lists.

use std::collections::BTreeSet;

use cuminlead_lists::ServerAssignment;
use cuminlead_orders::{OrderReport, ResourcesInUse};
use cuminlead_protocol::{EngineEvent, LoadedModel};
use cuminlead_types::{AdapterName, TimeUs};

use crate::action::{AgentAction, AgentRecord};
use crate::context::AgentContext;
use crate::pending_orders::loaded_model;

impl AgentContext {
    /// Passes the assignment of the engine in the active lists to the reconciliation.
    pub(crate) fn update_assignment(&mut self, now: TimeUs) {
        let assignment = match self.active_lists.assignment() {
            Some(ServerAssignment::Engine(assignment)) => Some(assignment),
            _ => None,
        };
        self.orders.set_assignment(now, assignment);
    }

    pub(crate) fn update_orders(
        &mut self,
        now: TimeUs,
        event: &EngineEvent,
        actions: &mut Vec<AgentAction>,
    ) {
        self.pending_orders
            .handle(now, event, self.inventory_poll.requested_at());
        let report = self.orders.handle(now, event);
        self.inventory_poll
            .set_fence_settled(self.orders.is_fence_settled());
        Self::record_order_report(report, actions);
    }

    /// Fails an order that the engine did not answer in time.
    pub(crate) fn expire_order(&mut self, now: TimeUs, actions: &mut Vec<AgentAction>) {
        let report = self.orders.expire(now);
        if report.is_some() {
            self.pending_orders.stop_waiting(now);
            self.inventory_poll
                .set_fence_settled(self.orders.is_fence_settled());
        }
        Self::record_order_report(report, actions);
    }

    /// Sends the next order if one is due. A draining agent does not change what its engine serves.
    pub(crate) fn send_order_if_due(&mut self, now: TimeUs, actions: &mut Vec<AgentAction>) {
        if self.is_draining {
            return;
        }
        if let Some(command) = self.orders.next_fence_order(now) {
            actions.push(AgentAction::Engine(command));
        }
        if self.orders.is_reconciled() {
            return;
        }
        let in_use = self.resources_in_use();
        if let Some(command) = self.orders.next_order(now, &in_use) {
            self.pending_orders.track(&command);
            actions.push(AgentAction::Engine(command));
        }
    }

    fn resources_in_use(&self) -> ResourcesInUse {
        let targets = || self.admission.targets_in_use();
        let models: BTreeSet<LoadedModel> = targets().map(loaded_model).collect();
        let adapters = targets().filter_map(|target| target.adapter.clone());
        let adapters: BTreeSet<AdapterName> = adapters.collect();
        ResourcesInUse {
            role_lease_count: u32::try_from(targets().count()).unwrap_or(u32::MAX),
            models: models.into_iter().collect(),
            adapters: adapters.into_iter().collect(),
        }
    }

    fn record_order_report(report: Option<OrderReport>, actions: &mut Vec<AgentAction>) {
        let record = report.map(|report| AgentAction::Record(AgentRecord::Order(report)));
        actions.extend(record);
    }
}
