//! Reconciliation of an engine with its assignment.
//!
//! At most one order is in flight, so an agent has at most one load from the weight store at a
//! time. An order counts as executed only when an inventory shows its effect. Engines that ignore
//! fencing numbers may execute an order of an earlier incarnation after a newer one, so the needed
//! orders are computed from every inventory again, and repeated until inventory and assignment
//! agree.

use cuminlead_lists::EngineAssignment;
use cuminlead_protocol::{EngineCommand, EngineEvent, EngineInventory, EngineOrder, EngineRole};
use cuminlead_types::{FencingNumber, TimeUs};

use crate::backoff::Backoff;
use crate::config::OrdersConfig;
use crate::reconcile::{ResourcesInUse, engine_role, reconcile};

/// Problem with engine orders that is to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReport {
    /// The engine has seen an order of a later agent; this agent sends no more orders.
    FencedOut {
        /// Highest fencing number that the engine has seen.
        highest: FencingNumber,
    },
    /// An order failed, was not answered in time, or was confirmed without a visible effect.
    Failed {
        /// Failed order, which will be retried if it is still needed.
        order: EngineOrder,
        /// Number of failures of this order so far.
        failures: u32,
    },
}

/// Whether the engine has seen a fencing number of this incarnation.
///
/// An order that an earlier incarnation wrote to its socket can arrive late. An engine that checks
/// fencing numbers executes it unless it has seen a higher number. The first order of an
/// incarnation therefore sets the role that the engine already has, before the agent accepts any
/// work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FenceState {
    Needed,
    InFlight,
    Settled,
}

/// Order that the engine has not answered.
#[derive(Clone, Debug)]
struct InFlightOrder {
    fencing: FencingNumber,
    order: EngineOrder,
    timeout_at: TimeUs,
}

/// Assignment and inventory of one engine, and the orders that reconcile them.
#[derive(Clone, Debug)]
pub struct Orders {
    config: OrdersConfig,
    assignment: Option<EngineAssignment>,
    role_assigned_at: TimeUs,
    inventory: Option<EngineInventory>,
    in_flight: Option<InFlightOrder>,
    unconfirmed: Option<EngineOrder>,
    backoff: Backoff,
    last_order_number: u64,
    fence: FenceState,
    fenced_by: Option<FencingNumber>,
}

impl Orders {
    /// Starts without an assignment and an inventory. The order that announces the fencing number
    /// needs an inventory, all others also need an assignment.
    pub fn new(config: OrdersConfig) -> Self {
        Self {
            config,
            assignment: None,
            role_assigned_at: TimeUs::ZERO,
            inventory: None,
            in_flight: None,
            unconfirmed: None,
            backoff: Backoff::default(),
            last_order_number: 0,
            fence: FenceState::Needed,
            fenced_by: None,
        }
    }

    /// Sets the assignment of the engine; `None` if the lists contain none.
    ///
    /// A changed role is applied only after [`OrdersConfig::role_hysteresis_us`].
    pub fn set_assignment(&mut self, now: TimeUs, assignment: Option<&EngineAssignment>) {
        let old = self.assignment.as_ref().map(|assignment| assignment.role);
        if old != assignment.map(|assignment| assignment.role) {
            self.role_assigned_at = now;
        }
        self.assignment = assignment.cloned();
        self.backoff.retain(&self.needed_orders());
    }

    /// Handles an event of the engine; ignores events that do not concern orders.
    pub fn handle(&mut self, now: TimeUs, event: &EngineEvent) -> Option<OrderReport> {
        match event {
            EngineEvent::Inventory(inventory) => self.handle_inventory(now, inventory),
            EngineEvent::OrderDone { fencing } => self.handle_done(*fencing),
            EngineEvent::OrderFailed { fencing } => self.handle_failed(now, *fencing),
            EngineEvent::OrderFenced { fencing, highest } => {
                self.handle_fenced(now, *fencing, *highest)
            }
            EngineEvent::Unreachable => self.handle_unreachable(now),
            _ => None,
        }
    }

    /// Returns the order that announces the fencing number of this incarnation to the engine, which
    /// is then in flight. `None` before the first inventory, while an order is in flight, and if
    /// the order was already sent and needs no repetition.
    pub fn next_fence_order(&mut self, now: TimeUs) -> Option<EngineCommand> {
        if self.fence != FenceState::Needed || self.in_flight.is_some() {
            return None;
        }
        let role = self.inventory.as_ref()?.role;
        self.fence = FenceState::InFlight;
        let timeout_at = now + self.config.fence_timeout_us;
        Some(self.start_order(timeout_at, EngineOrder::SetRole { role }))
    }

    /// Whether the engine has answered the order of [`Orders::next_fence_order`] or its timeout has
    /// passed. The timeout counts because an engine that cannot answer must not stay unused
    /// forever.
    pub fn is_fence_settled(&self) -> bool {
        self.fence == FenceState::Settled
    }

    /// Returns the next order to send, if one is due; it is then in flight.
    ///
    /// To be called after every event, after the end of a lease and at [`Orders::next_deadline`].
    pub fn next_order(&mut self, now: TimeUs, in_use: &ResourcesInUse) -> Option<EngineCommand> {
        if self.fenced_by.is_some() || self.in_flight.is_some() || self.unconfirmed.is_some() {
            return None;
        }
        let order = self
            .needed_orders()
            .into_iter()
            .find(|order| self.is_due(now, order) && !in_use.blocks(order))?;
        let timeout_at = now + self.config.order_timeout_us;
        Some(self.start_order(timeout_at, order))
    }

    /// Fails the order in flight if its timeout has passed.
    pub fn expire(&mut self, now: TimeUs) -> Option<OrderReport> {
        let expired = self.in_flight.take_if(|order| order.timeout_at <= now)?;
        self.settle_fence();
        Some(self.record_failure(now, expired.order))
    }

    /// Current role of an engine whose role is about to change: its leases must end first, and no
    /// new lease may be granted in it. `None` if no role change is due.
    pub fn draining_role(&self, now: TimeUs) -> Option<EngineRole> {
        let role = self.inventory.as_ref()?.role;
        let assigned_role = self.assignment.as_ref()?.role;
        let is_changing = engine_role(assigned_role) != role && self.fenced_by.is_none();
        (is_changing && now >= self.role_stable_at()).then_some(role)
    }

    /// Whether the latest inventory agrees with the assignment; false if either is unknown.
    pub fn is_reconciled(&self) -> bool {
        self.inventory.is_some() && self.assignment.is_some() && self.needed_orders().is_empty()
    }

    /// Fencing number of the later agent because of which this agent sends no more orders.
    pub fn fenced_by(&self) -> Option<FencingNumber> {
        self.fenced_by
    }

    /// Next time at which [`Orders::next_order`] or [`Orders::expire`] has something to do without
    /// an event. Orders that wait for leases have no deadline, because the end of a lease is an
    /// event.
    pub fn next_deadline(&self, now: TimeUs) -> Option<TimeUs> {
        if let Some(order) = &self.in_flight {
            return Some(order.timeout_at);
        }
        if self.fenced_by.is_some() || self.unconfirmed.is_some() {
            return None;
        }
        let needed = self.needed_orders();
        let due = needed.iter().map(|order| self.due_at(order));
        due.filter(|at| *at > now).min()
    }

    fn needed_orders(&self) -> Vec<EngineOrder> {
        match (&self.assignment, &self.inventory) {
            (Some(assignment), Some(inventory)) => reconcile(assignment, inventory),
            _ => Vec::new(),
        }
    }

    fn is_due(&self, now: TimeUs, order: &EngineOrder) -> bool {
        self.due_at(order) <= now
    }

    fn due_at(&self, order: &EngineOrder) -> TimeUs {
        let after_failure = self.backoff.retry_at(order).unwrap_or(TimeUs::ZERO);
        match order {
            EngineOrder::SetRole { .. } => after_failure.max(self.role_stable_at()),
            _ => after_failure,
        }
    }

    fn role_stable_at(&self) -> TimeUs {
        self.role_assigned_at + self.config.role_hysteresis_us
    }

    fn start_order(&mut self, timeout_at: TimeUs, order: EngineOrder) -> EngineCommand {
        self.last_order_number += 1;
        let fencing = FencingNumber {
            incarnation: self.config.incarnation,
            order: self.last_order_number,
        };
        self.in_flight = Some(InFlightOrder {
            fencing,
            order: order.clone(),
            timeout_at,
        });
        EngineCommand::Order { fencing, order }
    }

    /// Replaces the inventory. An order that the engine confirmed, but that is still needed, has
    /// failed.
    fn handle_inventory(
        &mut self,
        now: TimeUs,
        inventory: &EngineInventory,
    ) -> Option<OrderReport> {
        self.inventory = Some(inventory.clone());
        let needed = self.needed_orders();
        let ineffective = self
            .unconfirmed
            .take()
            .filter(|order| needed.contains(order));
        let report = ineffective.map(|order| self.record_failure(now, order));
        self.backoff.retain(&needed);
        report
    }

    fn handle_done(&mut self, fencing: FencingNumber) -> Option<OrderReport> {
        let done = self.take_in_flight(fencing)?;
        if !self.settle_fence() {
            self.unconfirmed = Some(done);
        }
        None
    }

    fn handle_failed(&mut self, now: TimeUs, fencing: FencingNumber) -> Option<OrderReport> {
        let failed = self.take_in_flight(fencing)?;
        self.settle_fence();
        Some(self.record_failure(now, failed))
    }

    /// Handles the rejection of an order. If the highest number that the engine has seen is one of
    /// this agent, its orders arrived out of sequence; if it is higher, a later agent controls the
    /// engine.
    fn handle_fenced(
        &mut self,
        now: TimeUs,
        fencing: FencingNumber,
        highest: FencingNumber,
    ) -> Option<OrderReport> {
        let refused = self.take_in_flight(fencing);
        if refused.is_some() {
            self.settle_fence();
        }
        let own = FencingNumber {
            incarnation: self.config.incarnation,
            order: self.last_order_number,
        };
        if highest <= own {
            return refused.map(|order| self.record_failure(now, order));
        }
        let is_new = self.fenced_by.replace(highest).is_none();
        self.in_flight = None;
        is_new.then_some(OrderReport::FencedOut { highest })
    }

    /// Drops the inventory: an unreachable engine may have restarted without models, so its state
    /// is unknown until the next inventory.
    fn handle_unreachable(&mut self, now: TimeUs) -> Option<OrderReport> {
        self.inventory = None;
        self.unconfirmed = None;
        let lost = self.in_flight.take()?;
        if self.fence == FenceState::InFlight {
            self.fence = FenceState::Needed;
            return None;
        }
        Some(self.record_failure(now, lost.order))
    }

    /// Settles the fence if the order that was answered or has timed out is the first one; returns
    /// whether it is.
    fn settle_fence(&mut self) -> bool {
        let was_in_flight = self.fence == FenceState::InFlight;
        if was_in_flight {
            self.fence = FenceState::Settled;
        }
        was_in_flight
    }

    fn take_in_flight(&mut self, fencing: FencingNumber) -> Option<EngineOrder> {
        let answered = self.in_flight.take_if(|order| order.fencing == fencing)?;
        Some(answered.order)
    }

    fn record_failure(&mut self, now: TimeUs, order: EngineOrder) -> OrderReport {
        let failures = self.backoff.record_failure(now, &order, &self.config);
        OrderReport::Failed { order, failures }
    }
}
