//! Reading of the engine's inventory.

use cuminlead_protocol::{EngineInventory, EngineRole, ModelTarget};
use cuminlead_types::{DurationUs, TimeUs};

use crate::pending::loaded;

/// When the inventory is read, and the latest one.
#[derive(Debug)]
pub struct InventoryPoll {
    interval_us: DurationUs,
    next_at: Option<TimeUs>,
    read_at: Option<TimeUs>,
    latest: Option<EngineInventory>,
    is_fenced: bool,
}

impl InventoryPoll {
    /// Poll that has not started.
    pub fn new(interval_us: DurationUs) -> Self {
        Self {
            interval_us,
            next_at: None,
            read_at: None,
            latest: None,
            is_fenced: false,
        }
    }

    /// Starts reading; no effect when started already.
    pub fn start(&mut self, now: TimeUs) {
        self.next_at.get_or_insert(now);
    }

    /// Whether the inventory must be read now; the next time is one interval later.
    pub fn take_due(&mut self, now: TimeUs) -> bool {
        let is_due = self.next_at.is_some_and(|at| at <= now);
        if is_due {
            self.next_at = Some(now + self.interval_us);
            self.read_at = Some(now);
        }
        is_due
    }

    /// Time at which the inventory must be read.
    pub fn next_at(&self) -> Option<TimeUs> {
        self.next_at
    }

    /// Time at which the inventory was last asked for.
    pub fn read_at(&self) -> Option<TimeUs> {
        self.read_at
    }

    /// The engine reported its inventory.
    pub fn received(&mut self, inventory: EngineInventory) {
        self.latest = Some(inventory);
    }

    /// The engine does not answer; what it holds is unknown until the next inventory.
    pub fn lost(&mut self) {
        self.latest = None;
    }

    /// Notes whether the engine has seen a fencing number of this incarnation.
    pub fn set_fenced(&mut self, is_fenced: bool) {
        self.is_fenced = is_fenced;
    }

    /// Whether an inventory is known that no order of an earlier incarnation can outdate.
    pub fn is_known(&self) -> bool {
        self.latest.is_some() && self.is_fenced
    }

    /// Whether the engine has the role and has loaded the model.
    pub fn serves(&self, role: EngineRole, target: &ModelTarget) -> bool {
        let Some(inventory) = &self.latest else {
            return false;
        };
        let adapter = target.adapter.as_ref();
        inventory.role == role
            && inventory.models.contains(&loaded(target))
            && adapter.is_none_or(|adapter| inventory.adapters.contains(adapter))
    }
}
