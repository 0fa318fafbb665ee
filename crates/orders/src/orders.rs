//! `Orders`: brings an engine to what the lists want.
//!
//! One order is under way at a time, so at most one load draws from the weight store. An order
//! counts as carried out only when an inventory shows its effect: engines that ignore fencing
//! numbers may still carry out an order that an earlier incarnation had sent, so the difference is
//! computed anew from every inventory, and the order is repeated until they agree.

use cuminlead_lists::EngineAssignment;
use cuminlead_protocol::{EngineCommand, EngineEvent, EngineInventory, EngineOrder, EngineRole};
use cuminlead_types::{FencingNumber, TimeUs};

use crate::backoff::Backoff;
use crate::config::OrdersConfig;
use crate::reconcile::{ResourcesInUse, reconcile, role_of};

/// Something about orders that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReport {
    /// The engine has seen an order of a later agent; this agent orders nothing more.
    FencedOut {
        /// Highest number that the engine has seen.
        highest: FencingNumber,
    },
    /// An order failed, or had no effect, or was not answered.
    Failed {
        /// The order.
        order: EngineOrder,
        /// How often it has failed.
        failures: u32,
    },
}

/// Whether the engine has seen a number of this incarnation.
///
/// An order that an earlier incarnation had written to its socket can arrive late. An engine that
/// checks fencing numbers carries it out unless it has seen a later number, so the first order of an
/// incarnation repeats the role that the engine has, before any work is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fence {
    Needed,
    UnderWay,
    Settled,
}

/// Order that the engine has not answered.
#[derive(Clone, Debug)]
struct UnderWay {
    fencing: FencingNumber,
    order: EngineOrder,
    until: TimeUs,
}

/// Wanted and actual state of one engine, and the orders between them.
#[derive(Clone, Debug)]
pub struct Orders {
    config: OrdersConfig,
    wanted: Option<EngineAssignment>,
    role_since: TimeUs,
    actual: Option<EngineInventory>,
    under_way: Option<UnderWay>,
    unconfirmed: Option<EngineOrder>,
    backoff: Backoff,
    last_order: u64,
    fence: Fence,
    fenced_by: Option<FencingNumber>,
}

impl Orders {
    /// Context that knows neither wanted nor actual state.
    pub fn new(config: OrdersConfig) -> Self {
        Self {
            config,
            wanted: None,
            role_since: TimeUs::ZERO,
            actual: None,
            under_way: None,
            unconfirmed: None,
            backoff: Backoff::default(),
            last_order: 0,
            fence: Fence::Needed,
            fenced_by: None,
        }
    }

    /// Takes what the lists want; `None` when they do not name the engine.
    pub fn set_assignment(&mut self, now: TimeUs, assignment: Option<&EngineAssignment>) {
        let old = self.wanted.as_ref().map(|wanted| wanted.role);
        if old != assignment.map(|assignment| assignment.role) {
            self.role_since = now;
        }
        self.wanted = assignment.cloned();
        self.backoff.retain(&self.missing());
    }

    /// Takes an event of the engine; events that are not about orders change nothing.
    pub fn handle(&mut self, now: TimeUs, event: &EngineEvent) -> Option<OrderReport> {
        match event {
            EngineEvent::Inventory(inventory) => self.take_inventory(now, inventory),
            EngineEvent::OrderDone { fencing } => self.take_done(*fencing),
            EngineEvent::OrderFailed { fencing } => self.take_failed(now, *fencing),
            EngineEvent::OrderFenced { fencing, highest } => {
                self.take_fenced(now, *fencing, *highest)
            }
            EngineEvent::Unreachable => self.take_unreachable(now),
            _ => None,
        }
    }

    /// Order that shows the engine the number of this incarnation, when an inventory has come and
    /// no such order was sent; it is under way from then on.
    pub fn next_fence(&mut self, now: TimeUs) -> Option<EngineCommand> {
        if self.fence != Fence::Needed || self.under_way.is_some() {
            return None;
        }
        let role = self.actual.as_ref()?.role;
        self.fence = Fence::UnderWay;
        let until = now + self.config.fence_timeout_us;
        Some(self.send(until, EngineOrder::SetRole { role }))
    }

    /// Whether the engine has answered the order of [`Orders::next_fence`], or it was given up: an
    /// engine that cannot answer it must not be out of use for good.
    pub fn is_fence_settled(&self) -> bool {
        self.fence == Fence::Settled
    }

    /// Next order to send, if there is one; it is under way from then on.
    ///
    /// To be called after every event, after the end of leases and at [`Orders::next_deadline`].
    pub fn next(&mut self, now: TimeUs, held: &ResourcesInUse) -> Option<EngineCommand> {
        if self.fenced_by.is_some() || self.under_way.is_some() || self.unconfirmed.is_some() {
            return None;
        }
        let order = self
            .missing()
            .into_iter()
            .find(|order| self.is_due(now, order) && !held.forbids(order))?;
        let until = now + self.config.order_timeout_us;
        Some(self.send(until, order))
    }

    /// Gives up an order that was not answered in time.
    pub fn expire(&mut self, now: TimeUs) -> Option<OrderReport> {
        let late = self.under_way.take_if(|order| order.until <= now)?;
        self.settle_fence();
        Some(self.fail(now, late.order))
    }

    /// Role whose leases must drain before the role can be changed; no new lease of this role may
    /// be granted.
    pub fn draining_role(&self, now: TimeUs) -> Option<EngineRole> {
        let role = self.actual.as_ref()?.role;
        let wanted = self.wanted.as_ref()?.role;
        let is_changing = role_of(wanted) != role && self.fenced_by.is_none();
        (is_changing && now >= self.role_settled_at()).then_some(role)
    }

    /// Whether the engine serves what is wanted, by its last inventory.
    pub fn is_settled(&self) -> bool {
        self.actual.is_some() && self.wanted.is_some() && self.missing().is_empty()
    }

    /// Higher fencing number that made this agent stop ordering.
    pub fn fenced_by(&self) -> Option<FencingNumber> {
        self.fenced_by
    }

    /// Next time at which [`Orders::next`] or [`Orders::expire`] has something to do without an
    /// event. Orders that wait for leases are not counted, because the end of a lease is an event.
    pub fn next_deadline(&self, now: TimeUs) -> Option<TimeUs> {
        if let Some(order) = &self.under_way {
            return Some(order.until);
        }
        if self.fenced_by.is_some() || self.unconfirmed.is_some() {
            return None;
        }
        let missing = self.missing();
        let due = missing.iter().map(|order| self.due_at(order));
        due.filter(|at| *at > now).min()
    }

    fn missing(&self) -> Vec<EngineOrder> {
        match (&self.wanted, &self.actual) {
            (Some(wanted), Some(actual)) => reconcile(wanted, actual),
            _ => Vec::new(),
        }
    }

    fn is_due(&self, now: TimeUs, order: &EngineOrder) -> bool {
        self.due_at(order) <= now
    }

    fn due_at(&self, order: &EngineOrder) -> TimeUs {
        let after_failure = self.backoff.until(order).unwrap_or(TimeUs::ZERO);
        match order {
            EngineOrder::SetRole { .. } => after_failure.max(self.role_settled_at()),
            _ => after_failure,
        }
    }

    fn role_settled_at(&self) -> TimeUs {
        self.role_since + self.config.role_hysteresis_us
    }

    fn send(&mut self, until: TimeUs, order: EngineOrder) -> EngineCommand {
        self.last_order += 1;
        let fencing = FencingNumber {
            incarnation: self.config.incarnation,
            order: self.last_order,
        };
        self.under_way = Some(UnderWay {
            fencing,
            order: order.clone(),
            until,
        });
        EngineCommand::Order { fencing, order }
    }

    /// Takes an inventory; an order that was done without effect has failed.
    fn take_inventory(&mut self, now: TimeUs, inventory: &EngineInventory) -> Option<OrderReport> {
        self.actual = Some(inventory.clone());
        let missing = self.missing();
        let ineffective = self
            .unconfirmed
            .take()
            .filter(|order| missing.contains(order));
        let report = ineffective.map(|order| self.fail(now, order));
        self.backoff.retain(&missing);
        report
    }

    fn take_done(&mut self, fencing: FencingNumber) -> Option<OrderReport> {
        let done = self.take_under_way(fencing)?;
        if !self.settle_fence() {
            self.unconfirmed = Some(done);
        }
        None
    }

    fn take_failed(&mut self, now: TimeUs, fencing: FencingNumber) -> Option<OrderReport> {
        let failed = self.take_under_way(fencing)?;
        self.settle_fence();
        Some(self.fail(now, failed))
    }

    /// Takes a refusal. A number that this agent gave itself only means that its orders arrived out
    /// of turn; a higher one means that a later agent orders this engine.
    fn take_fenced(
        &mut self,
        now: TimeUs,
        fencing: FencingNumber,
        highest: FencingNumber,
    ) -> Option<OrderReport> {
        let refused = self.take_under_way(fencing);
        if refused.is_some() {
            self.settle_fence();
        }
        let own = FencingNumber {
            incarnation: self.config.incarnation,
            order: self.last_order,
        };
        if highest <= own {
            return refused.map(|order| self.fail(now, order));
        }
        let is_new = self.fenced_by.replace(highest).is_none();
        self.under_way = None;
        is_new.then_some(OrderReport::FencedOut { highest })
    }

    /// An engine that does not answer may have restarted without models, so that its state is
    /// unknown until the next inventory.
    fn take_unreachable(&mut self, now: TimeUs) -> Option<OrderReport> {
        self.actual = None;
        self.unconfirmed = None;
        let lost = self.under_way.take()?;
        if self.fence == Fence::UnderWay {
            self.fence = Fence::Needed;
            return None;
        }
        Some(self.fail(now, lost.order))
    }

    /// The order that was under way is answered or given up; whether it was the first one.
    fn settle_fence(&mut self) -> bool {
        let was_under_way = self.fence == Fence::UnderWay;
        if was_under_way {
            self.fence = Fence::Settled;
        }
        was_under_way
    }

    fn take_under_way(&mut self, fencing: FencingNumber) -> Option<EngineOrder> {
        let answered = self.under_way.take_if(|order| order.fencing == fencing)?;
        Some(answered.order)
    }

    fn fail(&mut self, now: TimeUs, order: EngineOrder) -> OrderReport {
        let failures = self.backoff.fail(now, &order, &self.config);
        OrderReport::Failed { order, failures }
    }
}
