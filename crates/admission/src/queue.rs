//! Requests that wait for capacity, and their order.
//!
//! Only the first request in the order is granted. A smaller request does not overtake it, so large
//! requests are not starved. The queue is short (64 requests), so the first one is found by a scan.

use cuminlead_protocol::ModelTarget;
use cuminlead_types::{
    AttemptId, Bytes, CustomerId, DurationUs, EntryId, Priority, PromptPartId, TimeUs, Tokens,
};
use slotmap::{SlotMap, new_key_type};

use crate::action::CallRef;
use crate::backlog::PrefillBacklog;
use crate::capacity::Capacity;
use crate::fair_share::{FairShare, VirtualTime};

new_key_type! {
    /// Key of a request in the [`Queue`].
    pub struct WaitKey;
}

/// Request that waits for capacity.
#[derive(Debug)]
pub struct QueuedRequest {
    /// Attempt that the capacity is for.
    pub id: AttemptId,
    /// Customer of the attempt, which the fair share charges.
    pub customer: CustomerId,
    /// Entry that sent the request.
    pub owner: EntryId,
    /// Model and adapter that are requested.
    pub target: ModelTarget,
    /// Priority from the customer's plan; a higher one is served first.
    pub priority: Priority,
    /// Weight of the customer in the fair share.
    pub weight: u32,
    /// Capacity that the request allocates when it is granted.
    pub required: Capacity,
    /// Tokens of the prompt, as the entry counted them.
    pub prompt_tokens: Tokens,
    /// Prefixes of the prompt that other prompts may share; none for a prefill.
    pub prompt_parts: Vec<PromptPartId>,
    /// Messages that wait for the reply: the first one and its repeats.
    pub calls: Vec<CallRef>,
    /// Time of the entry's last message about the attempt.
    pub last_contact_at: TimeUs,
    /// Time at which the entry needs the first token.
    pub due_at: TimeUs,
    /// Time at which the request is refused if it is still queued.
    pub wait_until: TimeUs,
    /// What the capacity is used for.
    pub purpose: Purpose,
}

/// What granted capacity is used for.
#[derive(Debug)]
pub enum Purpose {
    /// Computing a prompt.
    Prefill {
        /// Text of the prompt.
        prompt: String,
    },
    /// Reserving a decode slot with its KV memory.
    Reserve {
        /// Duration of the lease without contact from the entry.
        lease_us: DurationUs,
        /// Maximum number of output tokens.
        output_max_tokens: Tokens,
    },
}

impl QueuedRequest {
    /// Tokens charged to the customer: the prompt, and for a decode the output limit too.
    pub fn cost_tokens(&self) -> Tokens {
        match &self.purpose {
            Purpose::Prefill { .. } => self.prompt_tokens,
            Purpose::Reserve {
                output_max_tokens, ..
            } => self.prompt_tokens.saturating_add(*output_max_tokens),
        }
    }

    /// Bytes of the prompt that is retained while the request is queued.
    pub fn prompt_bytes(&self) -> Bytes {
        match &self.purpose {
            Purpose::Prefill { prompt } => Bytes(prompt.len() as u64),
            Purpose::Reserve { .. } => Bytes(0),
        }
    }

    /// Whether the first token can be generated in time if the request is served next.
    ///
    /// A decode agent has no information about load and caches of the prefill servers, so a
    /// reservation is late only when its due time has passed.
    pub fn can_meet_target(&self, now: TimeUs, backlog: &PrefillBacklog) -> bool {
        match &self.purpose {
            Purpose::Prefill { .. } => {
                let done_at = backlog.next_start_at(now) + backlog.time_for(self.prompt_tokens);
                done_at < self.due_at
            }
            Purpose::Reserve { .. } => now < self.due_at,
        }
    }

    /// First time at which [`Self::can_meet_target`] is false if the backlog does not change.
    pub fn late_at(&self, backlog: &PrefillBacklog) -> TimeUs {
        match &self.purpose {
            Purpose::Prefill { .. } => self.due_at - backlog.time_for(self.prompt_tokens),
            Purpose::Reserve { .. } => self.due_at,
        }
    }
}

/// Sort key of a request; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    priority: std::cmp::Reverse<Priority>,
    start_tag: VirtualTime,
    arrival: u64,
}

#[derive(Debug)]
struct QueueEntry {
    waiting: QueuedRequest,
    arrival: u64,
}

/// Requests that wait for capacity.
#[derive(Debug, Default)]
pub struct Queue {
    entries: SlotMap<WaitKey, QueueEntry>,
    next_arrival: u64,
    prompt_bytes: Bytes,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Total bytes of the queued prompts.
    pub fn prompt_bytes(&self) -> Bytes {
        self.prompt_bytes
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest) -> WaitKey {
        self.prompt_bytes.0 += waiting.prompt_bytes().0;
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.entries.insert(QueueEntry { waiting, arrival })
    }

    /// Removes and returns a request.
    pub fn remove(&mut self, key: WaitKey) -> Option<QueuedRequest> {
        let waiting = self.entries.remove(key)?.waiting;
        self.prompt_bytes.0 -= waiting.prompt_bytes().0;
        Some(waiting)
    }

    /// Request with the given key.
    pub fn get(&self, key: WaitKey) -> Option<&QueuedRequest> {
        self.entries.get(key).map(|entry| &entry.waiting)
    }

    /// Mutable request with the given key; its prompt must keep its length.
    pub fn get_mut(&mut self, key: WaitKey) -> Option<&mut QueuedRequest> {
        self.entries.get_mut(key).map(|entry| &mut entry.waiting)
    }

    /// Key of the request of an attempt, found by a scan.
    pub fn find(&self, id: AttemptId) -> Option<WaitKey> {
        let found = self
            .entries
            .iter()
            .find(|(_, entry)| entry.waiting.id == id);
        found.map(|(key, _)| key)
    }

    /// All requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (WaitKey, &QueuedRequest)> {
        self.entries
            .iter()
            .map(|(key, entry)| (key, &entry.waiting))
    }

    /// Key of the request to be served next.
    pub fn first(
        &self,
        now: TimeUs,
        fair_share: &FairShare,
        backlog: &PrefillBacklog,
    ) -> Option<WaitKey> {
        self.entries
            .iter()
            .min_by_key(|(_, entry)| Self::rank(entry, now, fair_share, backlog))
            .map(|(key, _)| key)
    }

    /// Earliest time from `now` on at which the first request in the order is one that fits.
    ///
    /// Without an event, only the first request can lose its position: when it becomes late.
    pub fn grant_at(
        &self,
        now: TimeUs,
        fair_share: &FairShare,
        backlog: &PrefillBacklog,
        fits: impl Fn(Capacity) -> bool,
    ) -> Option<TimeUs> {
        if !self.iter().any(|(_, waiting)| fits(waiting.required)) {
            return None;
        }
        let mut time = now;
        loop {
            let first = self.get(self.first(time, fair_share, backlog)?)?;
            if fits(first.required) {
                return Some(time);
            }
            if !first.can_meet_target(time, backlog) {
                return None;
            }
            time = first.late_at(backlog);
        }
    }

    fn rank(
        entry: &QueueEntry,
        now: TimeUs,
        fair_share: &FairShare,
        backlog: &PrefillBacklog,
    ) -> Rank {
        let waiting = &entry.waiting;
        Rank {
            is_late: !waiting.can_meet_target(now, backlog),
            priority: std::cmp::Reverse(waiting.priority),
            start_tag: fair_share.start_tag(&waiting.customer),
            arrival: entry.arrival,
        }
    }
}
