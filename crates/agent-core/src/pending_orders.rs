//! Engine orders whose effect is not yet known.
//!
//! If new lists assign a role or model again while an order that removes it is in flight, the
//! latest inventory still contains it. New work must not rely on it until the engine has answered
//! the order and an inventory requested after that answer has arrived.

use cuminlead_orders::ResourcesInUse;
use cuminlead_protocol::{EngineCommand, EngineEvent, EngineOrder, LoadedModel, ModelTarget};
use cuminlead_types::{FencingNumber, TimeUs};

#[derive(Debug)]
struct PendingOrder {
    fencing: FencingNumber,
    order: EngineOrder,
    answered_at: Option<TimeUs>,
}

/// Engine orders whose effect is not yet visible in an inventory.
#[derive(Debug, Default)]
pub struct PendingOrders {
    orders: Vec<PendingOrder>,
}

impl PendingOrders {
    /// Records an order that is being sent; ignores other commands.
    pub fn track(&mut self, command: &EngineCommand) {
        if let EngineCommand::Order { fencing, order } = command {
            self.orders.push(PendingOrder {
                fencing: *fencing,
                order: order.clone(),
                answered_at: None,
            });
        }
    }

    /// Applies an event of the engine. `requested_at` is the time at which the inventory was last
    /// requested.
    pub fn handle(&mut self, now: TimeUs, event: &EngineEvent, requested_at: Option<TimeUs>) {
        match event {
            EngineEvent::OrderDone { fencing }
            | EngineEvent::OrderFenced { fencing, .. }
            | EngineEvent::OrderFailed { fencing } => self.mark_answered(now, *fencing),
            EngineEvent::Unreachable => self.stop_waiting(now),
            EngineEvent::Inventory(_) => self.remove_confirmed(requested_at),
            _ => {}
        }
    }

    /// Stops waiting for the answers to all orders; an inventory requested after `now` settles
    /// them.
    pub fn stop_waiting(&mut self, now: TimeUs) {
        for pending in &mut self.orders {
            pending.answered_at.get_or_insert(now);
        }
    }

    /// Whether a pending order may remove the role, model or adapter that a request for the target
    /// needs.
    pub fn may_remove(&self, target: &ModelTarget) -> bool {
        if self.orders.is_empty() {
            return false;
        }
        let needs = ResourcesInUse {
            role_lease_count: 1,
            models: vec![loaded_model(target)],
            adapters: target.adapter.iter().cloned().collect(),
        };
        self.orders
            .iter()
            .any(|pending| needs.blocks(&pending.order))
    }

    fn mark_answered(&mut self, now: TimeUs, fencing: FencingNumber) {
        let answered = self.orders.iter_mut().find(|p| p.fencing == fencing);
        if let Some(pending) = answered {
            pending.answered_at.get_or_insert(now);
        }
    }

    fn remove_confirmed(&mut self, requested_at: Option<TimeUs>) {
        self.orders.retain(|pending| match pending.answered_at {
            Some(answered_at) => {
                requested_at.is_none_or(|requested_at| requested_at <= answered_at)
            }
            None => true,
        });
    }
}

/// Model and version of a target, as inventories list them.
pub fn loaded_model(target: &ModelTarget) -> LoadedModel {
    LoadedModel {
        model: target.model.clone(),
        version: target.version.clone(),
    }
}
