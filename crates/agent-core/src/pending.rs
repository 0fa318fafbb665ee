//! Orders whose effect on the engine is not yet known.
//!
//! After lists that want a role or model back, the latest inventory can still show it although an
//! order that removes it is under way. New work must not rely on it until an inventory that was
//! read after the answer to the order has arrived.

use cuminlead_orders::ResourcesInUse;
use cuminlead_protocol::{EngineCommand, EngineEvent, EngineOrder, LoadedModel, ModelTarget};
use cuminlead_types::{FencingNumber, TimeUs};

#[derive(Debug)]
struct Pending {
    fencing: FencingNumber,
    order: EngineOrder,
    answered_at: Option<TimeUs>,
}

/// Orders whose effect on the engine is not yet known.
#[derive(Debug, Default)]
pub struct PendingOrders {
    orders: Vec<Pending>,
}

impl PendingOrders {
    /// A command is sent; those that are not orders are ignored.
    pub fn sent(&mut self, command: &EngineCommand) {
        if let EngineCommand::Order { fencing, order } = command {
            self.orders.push(Pending {
                fencing: *fencing,
                order: order.clone(),
                answered_at: None,
            });
        }
    }

    /// The engine reported something; `read_at` is when its inventory was last asked for.
    pub fn handle(&mut self, now: TimeUs, event: &EngineEvent, read_at: Option<TimeUs>) {
        match event {
            EngineEvent::OrderDone { fencing }
            | EngineEvent::OrderFenced { fencing, .. }
            | EngineEvent::OrderFailed { fencing } => self.answered(now, *fencing),
            EngineEvent::Unreachable => self.given_up(now),
            EngineEvent::Inventory(_) => self.shown(read_at),
            _ => {}
        }
    }

    /// No answer to the orders is waited for any more.
    pub fn given_up(&mut self, now: TimeUs) {
        for pending in &mut self.orders {
            pending.answered_at.get_or_insert(now);
        }
    }

    /// Whether an order may take away what a request needs.
    pub fn may_remove(&self, target: &ModelTarget) -> bool {
        if self.orders.is_empty() {
            return false;
        }
        let needs = ResourcesInUse {
            role_leases_held: 1,
            models: vec![loaded(target)],
            adapters: target.adapter.iter().cloned().collect(),
        };
        self.orders
            .iter()
            .any(|pending| needs.forbids(&pending.order))
    }

    fn answered(&mut self, now: TimeUs, fencing: FencingNumber) {
        let answered = self.orders.iter_mut().find(|p| p.fencing == fencing);
        if let Some(pending) = answered {
            pending.answered_at.get_or_insert(now);
        }
    }

    fn shown(&mut self, read_at: Option<TimeUs>) {
        self.orders.retain(|pending| match pending.answered_at {
            Some(answered_at) => read_at.is_none_or(|read_at| read_at <= answered_at),
            None => true,
        });
    }
}

/// Model and version of a target.
pub fn loaded(target: &ModelTarget) -> LoadedModel {
    LoadedModel {
        model: target.model.clone(),
        version: target.version.clone(),
    }
}
