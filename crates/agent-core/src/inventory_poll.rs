//! Polling of the engine's inventory.

use cuminlead_protocol::{EngineInventory, EngineRole, ModelTarget};
use cuminlead_types::{DurationUs, TimeUs};

use crate::pending_orders::loaded_model;

/// Polling schedule and latest inventory of the engine.
#[derive(Debug)]
pub struct InventoryPoll {
    interval_us: DurationUs,
    next_at: Option<TimeUs>,
    requested_at: Option<TimeUs>,
    latest: Option<EngineInventory>,
    is_fence_settled: bool,
}

impl InventoryPoll {
    /// Creates a poll that is not started.
    pub fn new(interval_us: DurationUs) -> Self {
        Self {
            interval_us,
            next_at: None,
            requested_at: None,
            latest: None,
            is_fence_settled: false,
        }
    }

    /// Schedules the first request at `now`; no effect if polling has started.
    pub fn start(&mut self, now: TimeUs) {
        self.next_at.get_or_insert(now);
    }

    /// Schedules a request at `now`; no effect unless polling has started.
    pub fn request(&mut self, now: TimeUs) {
        self.next_at = self.next_at.map(|at| at.min(now));
    }

    /// Returns whether the inventory must be requested now, and if so schedules the next request
    /// one interval later.
    pub fn take_due(&mut self, now: TimeUs) -> bool {
        let is_due = self.next_at.is_some_and(|at| at <= now);
        if is_due {
            self.next_at = Some(now + self.interval_us);
            self.requested_at = Some(now);
        }
        is_due
    }

    /// Time of the next request; `None` until polling starts.
    pub fn next_at(&self) -> Option<TimeUs> {
        self.next_at
    }

    /// Time at which the inventory was last requested; `None` before the first request.
    pub fn requested_at(&self) -> Option<TimeUs> {
        self.requested_at
    }

    /// Stores an inventory that the engine reported.
    pub fn record(&mut self, inventory: EngineInventory) {
        self.latest = Some(inventory);
    }

    /// Drops the latest inventory because the engine is unreachable; its state is unknown until the
    /// next one.
    pub fn invalidate(&mut self) {
        self.latest = None;
    }

    /// Sets whether the engine has answered the first order of this incarnation, or the agent has
    /// stopped waiting for the answer.
    pub fn set_fence_settled(&mut self, is_fence_settled: bool) {
        self.is_fence_settled = is_fence_settled;
    }

    /// Whether there is an inventory, and the fence is settled, so that a late order of an earlier
    /// incarnation cannot invalidate it.
    pub fn is_reliable(&self) -> bool {
        self.latest.is_some() && self.is_fence_settled
    }

    /// Whether the latest inventory shows the role and the loaded model and adapter.
    pub fn serves(&self, role: EngineRole, target: &ModelTarget) -> bool {
        let Some(inventory) = &self.latest else {
            return false;
        };
        let adapter = target.adapter.as_ref();
        inventory.role == role
            && inventory.models.contains(&loaded_model(target))
            && adapter.is_none_or(|adapter| inventory.adapters.contains(adapter))
    }
}
