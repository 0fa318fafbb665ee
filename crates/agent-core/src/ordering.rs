//! The path of orders: what the engine serves is brought to what the lists want.

use std::collections::BTreeSet;

use cuminlead_lists::ServerAssignment;
use cuminlead_orders::{OrderReport, ResourcesInUse};
use cuminlead_protocol::{EngineEvent, LoadedModel};
use cuminlead_types::{AdapterName, TimeUs};

use crate::action::{AgentAction, AgentRecord};
use crate::context::AgentContext;
use crate::pending::loaded;

impl AgentContext {
    /// Takes what the lists in force want of the engine.
    pub(crate) fn want_duty(&mut self, now: TimeUs) {
        let assignment = match self.gate.assignment() {
            Some(ServerAssignment::Engine(assignment)) => Some(assignment),
            _ => None,
        };
        self.orders.set_assignment(now, assignment);
    }

    pub(crate) fn order_event(
        &mut self,
        now: TimeUs,
        event: &EngineEvent,
        actions: &mut Vec<AgentAction>,
    ) {
        self.pending.handle(now, event, self.poll.read_at());
        let report = self.orders.handle(now, event);
        self.poll.set_fenced(self.orders.is_fence_settled());
        Self::record_order(report, actions);
    }

    /// Gives up an order that was not answered in time.
    pub(crate) fn expire_order(&mut self, now: TimeUs, actions: &mut Vec<AgentAction>) {
        let report = self.orders.expire(now);
        if report.is_some() {
            self.pending.given_up(now);
            self.poll.set_fenced(self.orders.is_fence_settled());
        }
        Self::record_order(report, actions);
    }

    /// Sends the next order; a draining agent leaves its engine as it is.
    pub(crate) fn order_if_due(&mut self, now: TimeUs, actions: &mut Vec<AgentAction>) {
        if self.is_draining {
            return;
        }
        if let Some(command) = self.orders.next_fence(now) {
            actions.push(AgentAction::Engine(command));
        }
        if self.orders.is_settled() {
            return;
        }
        let held = self.held();
        if let Some(command) = self.orders.next(now, &held) {
            self.pending.sent(&command);
            actions.push(AgentAction::Engine(command));
        }
    }

    fn held(&self) -> ResourcesInUse {
        let targets = || self.admission.held_targets();
        let models: BTreeSet<LoadedModel> = targets().map(loaded).collect();
        let adapters = targets().filter_map(|target| target.adapter.clone());
        let adapters: BTreeSet<AdapterName> = adapters.collect();
        ResourcesInUse {
            role_leases_held: u32::try_from(targets().count()).unwrap_or(u32::MAX),
            models: models.into_iter().collect(),
            adapters: adapters.into_iter().collect(),
        }
    }

    fn record_order(report: Option<OrderReport>, actions: &mut Vec<AgentAction>) {
        let record = report.map(|report| AgentAction::Record(AgentRecord::Order(report)));
        actions.extend(record);
    }
}
