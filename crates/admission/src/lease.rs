//! Leases: what an attempt has allocated, its state and its expiry.

use std::collections::BTreeMap;

use cuminlead_protocol::{KvHandle, ModelTarget};
use cuminlead_quarantine::SOUND_AFTER;
use cuminlead_types::{
    AttemptId, CustomerId, DurationUs, EntryId, Priority, PromptPartId, TimeUs, Tokens,
};
use slotmap::{SlotMap, new_key_type};

use crate::action::{CallRef, StreamRef};
use crate::capacity::Capacity;
use crate::config::AdmissionConfig;
use crate::output::OutputBuffer;

/// Lower bound of the heartbeat interval; with an interval of zero a heartbeat would always be due.
const HEARTBEAT_MIN_US: DurationUs = DurationUs(1_000);

new_key_type! {
    /// Key of the lease of an attempt.
    pub struct LeaseKey;
}

/// Capacity allocated to an attempt, with its state and owner.
#[derive(Debug)]
pub struct Lease {
    /// Attempt that holds the lease.
    pub id: AttemptId,
    /// Customer of the attempt.
    pub customer: CustomerId,
    /// Entry that may use and release the lease.
    pub owner: EntryId,
    /// Model and adapter that the attempt runs on.
    pub target: ModelTarget,
    /// Priority from the customer's plan.
    pub priority: Priority,
    /// Tokens of the prompt, as the entry counted them.
    pub prompt_tokens: Tokens,
    /// Prefixes of the prompt that other prompts may share; none for a prefill.
    pub prompt_parts: Vec<PromptPartId>,
    /// Capacity that the attempt occupies; none once the output is complete.
    pub allocated: Capacity,
    /// Consecutive inventories that did not list the sequence.
    pub missed_inventories_count: u32,
    /// Progress of the attempt.
    pub state: LeaseState,
}

/// Progress of an attempt.
#[derive(Debug)]
pub enum LeaseState {
    /// The engine computes the prompt.
    Prefilling(Prefilling),
    /// The KV cache is retained for import.
    Prefilled(PrefilledKv),
    /// A decode slot is reserved, and nothing is imported yet.
    Reserved(ReservedSlot),
    /// The output is generated, or retained for its entry.
    Decoding(Decoding),
}

/// Running prefill.
#[derive(Debug)]
pub struct Prefilling {
    /// Messages that get the result as reply; empty if all connections were closed.
    pub calls: Vec<CallRef>,
    /// Time at which the engine got the prompt.
    pub started_at: TimeUs,
    /// Time at which the prefill counts as failed.
    pub expires_at: TimeUs,
    /// Time since which no message waits for the result; absent while one does.
    pub unattended_since: Option<TimeUs>,
}

/// Finished prefill.
#[derive(Debug)]
pub struct PrefilledKv {
    /// Handle from which a decode engine imports the KV cache.
    pub kv: KvHandle,
    /// Tokens of the prompt, as the engine counted them.
    pub prompt_tokens: Tokens,
    /// Prompt tokens that were not computed but taken from the prefix cache.
    pub cached_tokens: Tokens,
    /// End of the retention period.
    pub expires_at: TimeUs,
}

/// Decode slot that is reserved, with its KV memory, and not used yet.
#[derive(Debug)]
pub struct ReservedSlot {
    /// Limits from the reservation message.
    pub limits: ReservationLimits,
    /// End of the lease.
    pub expires_at: TimeUs,
    /// Whether an import into this slot has failed.
    pub has_failed_import: bool,
}

/// Limits from a reservation message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationLimits {
    /// Duration of the lease without contact from the entry.
    pub lease_us: DurationUs,
    /// Maximum number of output tokens.
    pub output_max_tokens: Tokens,
}

/// Decode that is running, or complete with output to deliver.
#[derive(Debug)]
pub struct Decoding {
    /// Limits from the reservation message.
    pub limits: ReservationLimits,
    /// Handle of the KV cache to import.
    pub kv: KvHandle,
    /// Phase of the decode.
    pub phase: DecodePhase,
    /// Time of the start, the import or the last token, whichever is latest.
    pub last_progress_at: TimeUs,
    /// Time of the first token; absent before it.
    pub first_token_at: Option<TimeUs>,
    /// Losses of the engine's stream since `last_progress_at`.
    pub stream_loss_count: u32,
    /// Time of the next resumption of the engine's stream; absent unless one is pending.
    pub resume_at: Option<TimeUs>,
    /// Last time that the entry attached a stream or acknowledged a chunk.
    pub last_contact_at: TimeUs,
    /// Stream of the entry; absent while none is open.
    pub attached: Option<AttachedStream>,
    /// Chunks that the entry has not acknowledged.
    pub output: OutputBuffer,
}

/// Phase of a decode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodePhase {
    /// The engine imports the KV cache.
    Importing {
        /// Time at which the import counts as failed.
        expires_at: TimeUs,
    },
    /// The engine generates tokens.
    Generating,
    /// The engine has finished; only the output is retained.
    Finished {
        /// Time of the last chunk.
        at: TimeUs,
    },
}

/// Decode stream of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttachedStream {
    /// Stream that output is sent on.
    pub stream: StreamRef,
    /// Time of the last message that was sent on it.
    pub last_sent_at: TimeUs,
}

impl Lease {
    /// Whether the engine is expected to list a sequence for the lease.
    pub fn is_in_engine(&self) -> bool {
        match &self.state {
            LeaseState::Prefilling(_) | LeaseState::Prefilled(_) => true,
            LeaseState::Reserved(_) => false,
            LeaseState::Decoding(decoding) => decoding.is_in_engine(),
        }
    }

    /// Decode of the lease, if it has reached that state.
    pub fn decoding_mut(&mut self) -> Option<&mut Decoding> {
        match &mut self.state {
            LeaseState::Decoding(decoding) => Some(decoding),
            _ => None,
        }
    }

    /// Stream that the entry has attached, if any.
    pub fn stream(&self) -> Option<StreamRef> {
        match &self.state {
            LeaseState::Decoding(decoding) => decoding.attached.map(|a| a.stream),
            _ => None,
        }
    }

    /// Time at which the lease changes if no event occurs before.
    pub fn deadline(&self, config: &AdmissionConfig) -> TimeUs {
        match &self.state {
            LeaseState::Prefilling(prefilling) => prefilling.deadline(config),
            LeaseState::Prefilled(prefilled) => prefilled.expires_at,
            LeaseState::Reserved(reserved) => reserved.expires_at,
            LeaseState::Decoding(decoding) => decoding.deadline(config),
        }
    }

    /// Time of the engine's last progress on the attempt; absent if the engine has no work for it.
    pub fn last_progress_at(&self) -> Option<TimeUs> {
        match &self.state {
            LeaseState::Prefilling(prefilling) => Some(prefilling.started_at),
            LeaseState::Decoding(decoding) if decoding.is_in_engine() => {
                Some(decoding.last_progress_at)
            }
            _ => None,
        }
    }
}

impl Prefilling {
    /// Time at which the prefill is cancelled: timed out, or unattended for too long.
    pub fn deadline(&self, config: &AdmissionConfig) -> TimeUs {
        let orphaned_at = self
            .unattended_since
            .map(|since| since + config.orphan_timeout_us);
        orphaned_at.map_or(self.expires_at, |at| at.min(self.expires_at))
    }
}

impl Decoding {
    /// Whether the engine still runs the sequence.
    pub fn is_in_engine(&self) -> bool {
        !matches!(self.phase, DecodePhase::Finished { .. })
    }

    /// Whether the engine generates output, and has not done so long enough to rule out that it
    /// crashes on the beginning.
    pub fn has_just_begun(&self, now: TimeUs) -> bool {
        let is_generating = self.phase == DecodePhase::Generating;
        let is_sound = self
            .first_token_at
            .is_some_and(|at| now.since(at) >= SOUND_AFTER);
        is_generating && !is_sound
    }

    /// Time at which the decode or its retained output is released if the entry makes no contact.
    pub fn orphaned_at(&self, config: &AdmissionConfig) -> TimeUs {
        match self.phase {
            DecodePhase::Finished { at } => {
                at.max(self.last_contact_at) + config.output_retention_us
            }
            _ => self.last_contact_at + config.orphan_timeout_us,
        }
    }

    /// Records an import or a token.
    pub fn record_progress(&mut self, now: TimeUs) {
        self.last_progress_at = now;
        self.stream_loss_count = 0;
    }

    /// Time at which the next heartbeat is due; absent if no stream is attached.
    pub fn heartbeat_at(&self, config: &AdmissionConfig) -> Option<TimeUs> {
        let interval_us = config.heartbeat_interval_us.max(HEARTBEAT_MIN_US);
        self.attached.map(|a| a.last_sent_at + interval_us)
    }

    fn deadline(&self, config: &AdmissionConfig) -> TimeUs {
        let mut deadline = self.orphaned_at(config);
        if let DecodePhase::Importing { expires_at } = self.phase {
            deadline = deadline.min(expires_at);
        }
        if let Some(resume_at) = self.resume_at {
            deadline = deadline.min(resume_at);
        }
        self.heartbeat_at(config)
            .map_or(deadline, |at| at.min(deadline))
    }
}

/// All leases, indexed by key, attempt and attached stream.
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

    /// Whether there are no leases.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Adds the lease of an attempt that has none yet.
    pub fn insert(&mut self, lease: Lease) -> LeaseKey {
        let id = lease.id;
        let key = self.leases.insert(lease);
        self.by_attempt.insert(id, key);
        key
    }

    /// Removes and returns a lease.
    pub fn remove(&mut self, key: LeaseKey) -> Option<Lease> {
        let lease = self.leases.remove(key)?;
        self.by_attempt.remove(&lease.id);
        if let Some(stream) = lease.stream() {
            self.by_stream.remove(&stream);
        }
        Some(lease)
    }

    /// Lease with the given key.
    pub fn get(&self, key: LeaseKey) -> Option<&Lease> {
        self.leases.get(key)
    }

    /// Mutable lease with the given key.
    pub fn get_mut(&mut self, key: LeaseKey) -> Option<&mut Lease> {
        self.leases.get_mut(key)
    }

    /// Key of the lease of an attempt.
    pub fn find(&self, id: AttemptId) -> Option<LeaseKey> {
        self.by_attempt.get(&id).copied()
    }

    /// Key of the lease that a stream is attached to.
    pub fn find_stream(&self, stream: StreamRef) -> Option<LeaseKey> {
        self.by_stream.get(&stream).copied()
    }

    /// All leases, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (LeaseKey, &Lease)> {
        self.leases.iter()
    }

    /// All leases, mutable, in no particular order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (LeaseKey, &mut Lease)> {
        self.leases.iter_mut()
    }

    /// Attaches a stream to a decode and returns the one that it replaces; the caller closes it.
    pub fn attach(&mut self, key: LeaseKey, stream: StreamRef, now: TimeUs) -> Option<StreamRef> {
        let decoding = self.leases.get_mut(key)?.decoding_mut()?;
        let attached = AttachedStream {
            stream,
            last_sent_at: now,
        };
        decoding.last_contact_at = now;
        let replaced = decoding.attached.replace(attached).map(|a| a.stream);
        if let Some(replaced) = replaced {
            self.by_stream.remove(&replaced);
        }
        self.by_stream.insert(stream, key);
        replaced
    }

    /// Detaches a stream and returns the key of its lease.
    pub fn detach(&mut self, stream: StreamRef) -> Option<LeaseKey> {
        let key = self.by_stream.remove(&stream)?;
        self.leases.get_mut(key)?.decoding_mut()?.attached = None;
        Some(key)
    }
}
