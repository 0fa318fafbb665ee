//! Reconciliation of the leases with the engine's inventory of sequences.
//!
//! An inventory lags behind: it can miss a sequence that was started while the inventory was read, and
//! it can list one that was cancelled in the meantime. A difference is therefore acted on only when two
//! consecutive inventories show it.

use std::collections::BTreeSet;

use cuminlead_protocol::{EngineCommand, EngineInventory};
use cuminlead_types::{AttemptId, TimeUs};

use crate::action::{AdmissionAction, AdmissionRecord, ReleaseCause};
use crate::context::Admission;
use crate::lease::{Lease, LeaseKey};

/// Inventories in a row after which a difference is acted on.
const INVENTORIES_TO_ACT_COUNT: u32 = 2;

/// Sequences of the latest inventory that no lease covers.
#[derive(Debug, Default)]
pub(crate) struct UnknownSequences {
    ids: BTreeSet<AttemptId>,
}

impl Admission {
    pub(crate) fn inventory(
        &mut self,
        now: TimeUs,
        inventory: &EngineInventory,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.is_engine_silent = false;
        self.set_total_pieces(inventory.total_pieces, actions);
        let listed: BTreeSet<AttemptId> = inventory.sequences.iter().copied().collect();
        self.cancel_unknown(&listed, actions);
        self.fail_lost(now, &listed, actions);
    }

    fn cancel_unknown(&mut self, listed: &BTreeSet<AttemptId>, actions: &mut Vec<AdmissionAction>) {
        let unknown: BTreeSet<AttemptId> = listed
            .iter()
            .filter(|id| !self.is_expected(**id))
            .copied()
            .collect();
        for id in unknown.intersection(&self.unknown.ids) {
            actions.push(AdmissionAction::Engine(EngineCommand::Cancel { id: *id }));
            let record = AdmissionRecord::UnknownSequence { id: *id };
            actions.push(AdmissionAction::Record(record));
        }
        self.unknown.ids = unknown;
    }

    fn is_expected(&self, id: AttemptId) -> bool {
        let lease = self.leases.find(id).and_then(|key| self.leases.get(key));
        lease.is_some_and(Lease::is_in_engine)
    }

    fn fail_lost(
        &mut self,
        now: TimeUs,
        listed: &BTreeSet<AttemptId>,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let mut lost: Vec<LeaseKey> = Vec::new();
        for (key, lease) in self.leases.iter_mut() {
            let is_missing = lease.is_in_engine() && !listed.contains(&lease.id);
            lease.missed_inventories_count = match is_missing {
                true => lease.missed_inventories_count + 1,
                false => 0,
            };
            if lease.missed_inventories_count >= INVENTORIES_TO_ACT_COUNT {
                lost.push(key);
            }
        }
        for key in lost {
            self.free(now, key, ReleaseCause::EngineFailed, actions);
        }
    }
}
