//! Requests that wait for capacity, and their order.
//!
//! Only the first request in the order is granted. A smaller request does not overtake it, so large
//! requests are not starved. The queue is short (64 requests), so the first one is found by a scan.

use cuminlead_protocol::ModelTarget;
use cuminlead_types::{
    AttemptId, Bytes, CustomerId, DurationUs, EntryId, Priority, TimeUs, Tokens,
};
use slotmap::{SlotMap, new_key_type};

use crate::action::CallRef;
use crate::estimate::Backlog;
use crate::fair::{FairShare, VirtualTime};
use crate::ledger::Capacity;

new_key_type! {
    /// Request that waits.
    pub struct WaitKey;
}

/// Request that waits for a place.
#[derive(Debug)]
pub struct Waiting {
    /// Attempt.
    pub id: AttemptId,
    /// Customer.
    pub customer: CustomerId,
    /// Entry that asked.
    pub owner: EntryId,
    /// Model.
    pub target: ModelTarget,
    /// Priority from the plan.
    pub priority: Priority,
    /// Weight of the customer.
    pub weight: u32,
    /// Capacity that it needs.
    pub need: Capacity,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Messages that wait for the reply.
    pub calls: Vec<CallRef>,
    /// Last message of the entry.
    pub heard_at: TimeUs,
    /// Time at which the first token is due.
    pub due_at: TimeUs,
    /// End of the wait bound.
    pub wait_until: TimeUs,
    /// What to do with the place.
    pub purpose: Purpose,
}

/// What a place is for.
#[derive(Debug)]
pub enum Purpose {
    /// Computing a prompt.
    Prefill {
        /// Prompt.
        prompt: String,
    },
    /// Holding a decode place.
    Reserve {
        /// Time that the lease lasts.
        lease_us: DurationUs,
        /// Most tokens of the answer.
        output_max_tokens: Tokens,
    },
}

impl Waiting {
    /// Tokens charged to the customer.
    pub fn cost_tokens(&self) -> Tokens {
        match &self.purpose {
            Purpose::Prefill { .. } => self.prompt_tokens,
            Purpose::Reserve {
                output_max_tokens, ..
            } => self.prompt_tokens.saturating_add(*output_max_tokens),
        }
    }

    /// Bytes of the prompt that is kept while the request waits.
    pub fn prompt_bytes(&self) -> Bytes {
        match &self.purpose {
            Purpose::Prefill { prompt } => Bytes(prompt.len() as u64),
            Purpose::Reserve { .. } => Bytes(0),
        }
    }

    /// Whether the first token can come in time when this is served next.
    ///
    /// A decode agent knows neither load nor cache of the prefill servers, so a reservation is
    /// only late when its due time has passed.
    pub fn can_meet_target(&self, now: TimeUs, backlog: &Backlog) -> bool {
        match &self.purpose {
            Purpose::Prefill { .. } => {
                let done_at = backlog.start_at(now) + backlog.time_for(self.prompt_tokens);
                done_at < self.due_at
            }
            Purpose::Reserve { .. } => now < self.due_at,
        }
    }

    /// First time at which [`Self::can_meet_target`] turns false by the passing of time.
    pub fn late_at(&self, backlog: &Backlog) -> TimeUs {
        match &self.purpose {
            Purpose::Prefill { .. } => self.due_at - backlog.time_for(self.prompt_tokens),
            Purpose::Reserve { .. } => self.due_at,
        }
    }
}

/// Position of a request in the order; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    priority: std::cmp::Reverse<Priority>,
    share: VirtualTime,
    arrival: u64,
}

#[derive(Debug)]
struct Place {
    waiting: Waiting,
    arrival: u64,
}

/// Requests that wait.
#[derive(Debug, Default)]
pub struct Queue {
    places: SlotMap<WaitKey, Place>,
    arrivals: u64,
    prompt_bytes: Bytes,
}

impl Queue {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Bytes of the prompts of all requests that wait.
    pub fn prompt_bytes(&self) -> Bytes {
        self.prompt_bytes
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) -> WaitKey {
        self.prompt_bytes.0 += waiting.prompt_bytes().0;
        let arrival = self.arrivals;
        self.arrivals += 1;
        self.places.insert(Place { waiting, arrival })
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        let waiting = self.places.remove(key)?.waiting;
        self.prompt_bytes.0 -= waiting.prompt_bytes().0;
        Some(waiting)
    }

    /// Request of a key.
    pub fn get(&self, key: WaitKey) -> Option<&Waiting> {
        self.places.get(key).map(|place| &place.waiting)
    }

    /// Request of a key, to change it.
    pub fn get_mut(&mut self, key: WaitKey) -> Option<&mut Waiting> {
        self.places.get_mut(key).map(|place| &mut place.waiting)
    }

    /// Request of an attempt.
    pub fn find(&self, id: AttemptId) -> Option<WaitKey> {
        let found = self.places.iter().find(|(_, place)| place.waiting.id == id);
        found.map(|(key, _)| key)
    }

    /// All requests in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (WaitKey, &Waiting)> {
        self.places.iter().map(|(key, place)| (key, &place.waiting))
    }

    /// Request to be served next.
    pub fn first(&self, now: TimeUs, fair: &FairShare, backlog: &Backlog) -> Option<WaitKey> {
        self.places
            .iter()
            .min_by_key(|(_, place)| Self::rank(place, now, fair, backlog))
            .map(|(key, _)| key)
    }

    /// Earliest time after `now` at which a request that fits becomes the first.
    ///
    /// Only the first request can lose its position by the passing of time: it becomes late.
    pub fn grant_at(
        &self,
        now: TimeUs,
        fair: &FairShare,
        backlog: &Backlog,
        fits: impl Fn(Capacity) -> bool,
    ) -> Option<TimeUs> {
        if !self.iter().any(|(_, waiting)| fits(waiting.need)) {
            return None;
        }
        let mut time = now;
        loop {
            let first = self.get(self.first(time, fair, backlog)?)?;
            if fits(first.need) {
                return Some(time);
            }
            if !first.can_meet_target(time, backlog) {
                return None;
            }
            time = first.late_at(backlog);
        }
    }

    fn rank(place: &Place, now: TimeUs, fair: &FairShare, backlog: &Backlog) -> Rank {
        let waiting = &place.waiting;
        Rank {
            is_late: !waiting.can_meet_target(now, backlog),
            priority: std::cmp::Reverse(waiting.priority),
            share: fair.start_of(&waiting.customer),
            arrival: place.arrival,
        }
    }
}
