//! Accounting of batch slots and KV pieces.

use cuminlead_types::{KvPieces, Slots};

/// Amount of engine capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of the engine's batch.
    pub slots: Slots,
    /// KV memory, in KV pieces.
    pub pieces: KvPieces,
}

impl Capacity {
    /// One batch slot with its KV pieces.
    pub fn one_slot(pieces: KvPieces) -> Self {
        Self {
            slots: Slots(1),
            pieces,
        }
    }

    fn fits_in(self, free: Self) -> bool {
        self.slots <= free.slots && self.pieces <= free.pieces
    }
}

/// Total capacity of an engine and the part that is allocated.
#[derive(Debug)]
pub struct CapacityPool {
    total: Capacity,
    used: Capacity,
}

impl CapacityPool {
    /// Pool with all of `total` free.
    pub fn new(total: Capacity) -> Self {
        Self {
            total,
            used: Capacity::default(),
        }
    }

    /// Sets the total number of KV pieces; allocated pieces stay allocated, even above the total.
    pub fn set_total_pieces(&mut self, pieces: KvPieces) {
        self.total.pieces = pieces;
    }

    /// Total capacity.
    pub fn total(&self) -> Capacity {
        self.total
    }

    /// Allocated capacity.
    pub fn used(&self) -> Capacity {
        self.used
    }

    /// Free capacity; zero where more is allocated than the total.
    pub fn free(&self) -> Capacity {
        Capacity {
            slots: self.total.slots.saturating_sub(self.used.slots),
            pieces: self.total.pieces.saturating_sub(self.used.pieces),
        }
    }

    /// Whether `required` is free now.
    pub fn has_free(&self, required: Capacity) -> bool {
        required.fits_in(self.free())
    }

    /// Whether `required` fits into an empty engine.
    pub fn can_ever_fit(&self, required: Capacity) -> bool {
        required.fits_in(self.total)
    }

    /// Allocates `required` if it is free, and returns whether it did.
    pub fn allocate(&mut self, required: Capacity) -> bool {
        if !self.has_free(required) {
            return false;
        }
        self.used.slots += required.slots;
        self.used.pieces += required.pieces;
        true
    }

    /// Releases allocated capacity.
    pub fn release(&mut self, allocated: Capacity) {
        self.used.slots = self.used.slots.saturating_sub(allocated.slots);
        self.used.pieces = self.used.pieces.saturating_sub(allocated.pieces);
    }
}
