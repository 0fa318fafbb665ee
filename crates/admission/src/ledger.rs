//! Accounting of decode slots and KV pieces.

use cuminlead_types::{KvPieces, Slots};

/// Amount of engine capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Places in the batch.
    pub slots: Slots,
    /// KV pieces.
    pub pieces: KvPieces,
}

impl Capacity {
    /// One place in the batch with its KV pieces.
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

/// Capacity of an engine and the part in use.
#[derive(Debug)]
pub struct Ledger {
    total: Capacity,
    used: Capacity,
}

impl Ledger {
    /// Ledger with everything free.
    pub fn new(total: Capacity) -> Self {
        Self {
            total,
            used: Capacity::default(),
        }
    }

    /// Sets the KV pieces in all; what is in use stays in use.
    pub fn set_total_pieces(&mut self, pieces: KvPieces) {
        self.total.pieces = pieces;
    }

    /// Capacity in all.
    pub fn total(&self) -> Capacity {
        self.total
    }

    /// Capacity in use.
    pub fn used(&self) -> Capacity {
        self.used
    }

    /// Free capacity.
    pub fn free(&self) -> Capacity {
        Capacity {
            slots: self.total.slots.saturating_sub(self.used.slots),
            pieces: self.total.pieces.saturating_sub(self.used.pieces),
        }
    }

    /// Whether `need` is free now.
    pub fn has_free(&self, need: Capacity) -> bool {
        need.fits_in(self.free())
    }

    /// Whether `need` fits when everything is free.
    pub fn can_ever_fit(&self, need: Capacity) -> bool {
        need.fits_in(self.total)
    }

    /// Takes `need` when it is free.
    pub fn take(&mut self, need: Capacity) -> bool {
        if !self.has_free(need) {
            return false;
        }
        self.used.slots += need.slots;
        self.used.pieces += need.pieces;
        true
    }

    /// Gives back what was taken.
    pub fn give(&mut self, held: Capacity) {
        self.used.slots = self.used.slots.saturating_sub(held.slots);
        self.used.pieces = self.used.pieces.saturating_sub(held.pieces);
    }
}
