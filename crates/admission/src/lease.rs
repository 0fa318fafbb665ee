//! Leases: what an attempt has allocated, its state and its expiry.

use std::collections::BTreeMap;

use cuminlead_protocol::{KvHandle, ModelTarget};
use cuminlead_types::{AttemptId, CustomerId, DurationUs, EntryId, Priority, TimeUs, Tokens};
use slotmap::{SlotMap, new_key_type};

use crate::action::{CallRef, StreamRef};
use crate::config::AdmissionConfig;
use crate::ledger::Capacity;
use crate::output::Output;

/// A heartbeat without any interval would be due for ever.
const SHORTEST_HEARTBEAT_US: DurationUs = DurationUs(1_000);

new_key_type! {
    /// Lease of an attempt.
    pub struct LeaseKey;
}

/// What an attempt holds.
#[derive(Debug)]
pub struct Lease {
    /// Attempt.
    pub id: AttemptId,
    /// Customer.
    pub customer: CustomerId,
    /// Entry that the lease belongs to.
    pub owner: EntryId,
    /// Model.
    pub target: ModelTarget,
    /// Priority from the plan.
    pub priority: Priority,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Capacity that is held.
    pub held: Capacity,
    /// Inventories in a row that did not list the sequence.
    pub missed_inventories_count: u32,
    /// Step that the attempt has reached.
    pub state: LeaseState,
}

/// Step that an attempt has reached.
#[derive(Debug)]
pub enum LeaseState {
    /// The engine computes the prompt.
    Prefilling(Prefilling),
    /// The KV cache is held for import.
    Prefilled(PrefilledKv),
    /// A decode place is held.
    Reserved(ReservedSlot),
    /// The answer is generated, or retained for its entry.
    Decoding(Decoding),
}

/// Running prefill.
#[derive(Debug)]
pub struct Prefilling {
    /// Messages that wait for the result.
    pub calls: Vec<CallRef>,
    /// Start.
    pub started_at: TimeUs,
    /// End of the time that it may run.
    pub until: TimeUs,
    /// Time since which no message waits for the result.
    pub unattended_since: Option<TimeUs>,
}

/// Finished prefill.
#[derive(Debug)]
pub struct PrefilledKv {
    /// Where the KV cache can be imported from.
    pub kv: KvHandle,
    /// Tokens of the prompt as the engine counted them.
    pub prompt_tokens: Tokens,
    /// Tokens taken from the prefix cache.
    pub cached_tokens: Tokens,
    /// End of the hold.
    pub until: TimeUs,
}

/// Decode place that is not used yet.
#[derive(Debug)]
pub struct ReservedSlot {
    /// Limits given with the reservation.
    pub terms: ReserveTerms,
    /// End of the lease.
    pub until: TimeUs,
    /// Whether an import into this place has failed.
    pub has_failed_import: bool,
}

/// Limits given with a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveTerms {
    /// Time that the lease lasts without a sign of the entry.
    pub lease_us: DurationUs,
    /// Most tokens of the answer.
    pub output_max_tokens: Tokens,
}

/// Decode under way or finished.
#[derive(Debug)]
pub struct Decoding {
    /// Limits given with the reservation.
    pub terms: ReserveTerms,
    /// KV cache that is imported.
    pub kv: KvHandle,
    /// Phase.
    pub phase: Phase,
    /// Last import or token.
    pub progress_at: TimeUs,
    /// Losses of the engine's stream since then.
    pub lost_count: u32,
    /// When the engine's stream is resumed, after a pause.
    pub resume_at: Option<TimeUs>,
    /// Last time that the entry attached or acknowledged.
    pub heard_at: TimeUs,
    /// Stream of the entry.
    pub attached: Option<Attached>,
    /// Chunks that are not acknowledged.
    pub output: Output,
}

/// Phase of a decode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The engine imports the KV cache.
    Importing {
        /// Time at which the import has failed.
        until: TimeUs,
    },
    /// The engine generates.
    Generating,
    /// The engine has finished; only the output is held.
    Finished {
        /// Time of the last chunk.
        at: TimeUs,
    },
}

/// Stream that an entry is attached with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attached {
    /// Stream.
    pub stream: StreamRef,
    /// Last message on it.
    pub sent_at: TimeUs,
}

impl Lease {
    /// Whether the engine has a sequence for the lease.
    pub fn is_in_engine(&self) -> bool {
        match &self.state {
            LeaseState::Prefilling(_) | LeaseState::Prefilled(_) => true,
            LeaseState::Reserved(_) => false,
            LeaseState::Decoding(decoding) => decoding.is_in_engine(),
        }
    }

    /// Decode of the lease.
    pub fn decoding_mut(&mut self) -> Option<&mut Decoding> {
        match &mut self.state {
            LeaseState::Decoding(decoding) => Some(decoding),
            _ => None,
        }
    }

    /// Stream that is attached.
    pub fn stream(&self) -> Option<StreamRef> {
        match &self.state {
            LeaseState::Decoding(decoding) => decoding.attached.map(|a| a.stream),
            _ => None,
        }
    }

    /// Time at which the lease changes without an event.
    pub fn deadline(&self, config: &AdmissionConfig) -> TimeUs {
        match &self.state {
            LeaseState::Prefilling(prefilling) => prefilling.deadline(config),
            LeaseState::Prefilled(prefilled) => prefilled.until,
            LeaseState::Reserved(reserved) => reserved.until,
            LeaseState::Decoding(decoding) => decoding.deadline(config),
        }
    }

    /// Start of the oldest work of the engine without progress.
    pub fn progress_at(&self) -> Option<TimeUs> {
        match &self.state {
            LeaseState::Prefilling(prefilling) => Some(prefilling.started_at),
            LeaseState::Decoding(decoding) if decoding.is_in_engine() => Some(decoding.progress_at),
            _ => None,
        }
    }
}

impl Prefilling {
    /// Time at which the prefill is cancelled.
    pub fn deadline(&self, config: &AdmissionConfig) -> TimeUs {
        let orphaned_at = self.unattended_since.map(|since| since + config.orphan_us);
        orphaned_at.map_or(self.until, |at| at.min(self.until))
    }
}

impl Decoding {
    /// Whether the engine has a sequence.
    pub fn is_in_engine(&self) -> bool {
        !matches!(self.phase, Phase::Finished { .. })
    }

    /// Time at which the hold ends because no sign of the entry came.
    pub fn abandoned_at(&self, config: &AdmissionConfig) -> TimeUs {
        match self.phase {
            Phase::Finished { at } => at.max(self.heard_at) + config.answer_hold_us,
            _ => self.heard_at + config.orphan_us,
        }
    }

    /// Notes an import or a token.
    pub fn progressed(&mut self, now: TimeUs) {
        self.progress_at = now;
        self.lost_count = 0;
    }

    /// Time at which a heartbeat is due.
    pub fn heartbeat_at(&self, config: &AdmissionConfig) -> Option<TimeUs> {
        let interval_us = config.heartbeat_us.max(SHORTEST_HEARTBEAT_US);
        self.attached.map(|a| a.sent_at + interval_us)
    }

    fn deadline(&self, config: &AdmissionConfig) -> TimeUs {
        let mut deadline = self.abandoned_at(config);
        if let Phase::Importing { until } = self.phase {
            deadline = deadline.min(until);
        }
        if let Some(resume_at) = self.resume_at {
            deadline = deadline.min(resume_at);
        }
        self.heartbeat_at(config)
            .map_or(deadline, |at| at.min(deadline))
    }
}

/// All leases, by key, attempt and stream.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: SlotMap<LeaseKey, Lease>,
    by_attempt: BTreeMap<AttemptId, LeaseKey>,
    by_stream: BTreeMap<StreamRef, LeaseKey>,
}

impl LeaseTable {
    /// Number of leases.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Adds a lease.
    pub fn insert(&mut self, lease: Lease) -> LeaseKey {
        let id = lease.id;
        let key = self.leases.insert(lease);
        self.by_attempt.insert(id, key);
        key
    }

    /// Takes a lease out.
    pub fn remove(&mut self, key: LeaseKey) -> Option<Lease> {
        let lease = self.leases.remove(key)?;
        self.by_attempt.remove(&lease.id);
        if let Some(stream) = lease.stream() {
            self.by_stream.remove(&stream);
        }
        Some(lease)
    }

    /// Lease of a key.
    pub fn get(&self, key: LeaseKey) -> Option<&Lease> {
        self.leases.get(key)
    }

    /// Lease of a key, to change it.
    pub fn get_mut(&mut self, key: LeaseKey) -> Option<&mut Lease> {
        self.leases.get_mut(key)
    }

    /// Lease of an attempt.
    pub fn find(&self, id: AttemptId) -> Option<LeaseKey> {
        self.by_attempt.get(&id).copied()
    }

    /// Lease that a stream is attached to.
    pub fn find_stream(&self, stream: StreamRef) -> Option<LeaseKey> {
        self.by_stream.get(&stream).copied()
    }

    /// All leases in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (LeaseKey, &Lease)> {
        self.leases.iter()
    }

    /// All leases in no particular order, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (LeaseKey, &mut Lease)> {
        self.leases.iter_mut()
    }

    /// Attaches a stream to a decode and returns the one that it replaces.
    pub fn attach(&mut self, key: LeaseKey, stream: StreamRef, now: TimeUs) -> Option<StreamRef> {
        let decoding = self.leases.get_mut(key)?.decoding_mut()?;
        let attached = Attached {
            stream,
            sent_at: now,
        };
        decoding.heard_at = now;
        let replaced = decoding.attached.replace(attached).map(|a| a.stream);
        if let Some(replaced) = replaced {
            self.by_stream.remove(&replaced);
        }
        self.by_stream.insert(stream, key);
        replaced
    }

    /// Detaches a stream and returns its lease.
    pub fn detach(&mut self, stream: StreamRef) -> Option<LeaseKey> {
        let key = self.by_stream.remove(&stream)?;
        self.leases.get_mut(key)?.decoding_mut()?.attached = None;
        Some(key)
    }
}
