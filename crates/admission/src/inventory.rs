//! Reconciliation of the leases with the engine's inventory of sequences.
//!
//! An inventory lags behind: it can miss a sequence that was started while the inventory was read,
//! and it can list one that was cancelled in the meantime. A difference is therefore acted on only
//! when two consecutive inventories show it.

use std::collections::BTreeSet;

use cuminlead_protocol::{EngineCommand, EngineInventory};
use cuminlead_types::{AttemptId, TimeUs};

use crate::action::{AdmissionAction, AdmissionRecord, ReleaseCause};
use crate::context::Admission;
use crate::lease::{Lease, LeaseKey};

/// Consecutive inventories without a sequence after which its lease fails.
const LOST_AFTER_INVENTORIES_COUNT: u32 = 2;

/// Sequences of the latest inventory that have no lease.
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
        self.is_engine_unresponsive = false;
        self.set_total_pieces(inventory.total_pieces, actions);
        let listed: BTreeSet<AttemptId> = inventory.sequences.iter().copied().collect();
        self.cancel_unknown_sequences(&listed, actions);
        self.fail_lost_sequences(now, &listed, actions);
    }

    fn cancel_unknown_sequences(
        &mut self,
        listed: &BTreeSet<AttemptId>,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let unknown_sequences: BTreeSet<AttemptId> = listed
            .iter()
            .filter(|id| !self.is_expected(**id))
            .copied()
            .collect();
        for id in unknown_sequences.intersection(&self.unknown_sequences.ids) {
            actions.push(AdmissionAction::Engine(EngineCommand::Cancel { id: *id }));
            let record = AdmissionRecord::UnknownSequence { id: *id };
            actions.push(AdmissionAction::Record(record));
        }
        self.unknown_sequences.ids = unknown_sequences;
    }

    fn is_expected(&self, id: AttemptId) -> bool {
        let lease = self.leases.find(id).and_then(|key| self.leases.get(key));
        lease.is_some_and(Lease::is_in_engine)
    }

    fn fail_lost_sequences(
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
            if lease.missed_inventories_count >= LOST_AFTER_INVENTORIES_COUNT {
                lost.push(key);
            }
        }
        for key in lost {
            self.release_lease(now, key, ReleaseCause::EngineFailed, actions);
        }
    }
}
