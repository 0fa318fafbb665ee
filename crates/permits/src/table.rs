//! Permit records, indexed by number, key and expiry.
//!
//! Tens of thousands of records are retained for minutes, so memory per record matters. Each text is
//! stored once: the key index holds only a hash, and a match is compared with the record. The records
//! are boxed, because the nodes of a B-tree map that grows in key order stay only half full.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, RandomState};

use cuminlead_protocol::HttpResponse;
use cuminlead_types::{CustomerId, IdempotencyKey, RequestId, ServiceName, TimeUs};

use crate::owner::KeyId;

/// What is known about a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// Issued and not used.
    Issued,
    /// Its call is running.
    Running,
    /// Its call is done.
    Done(HttpResponse),
    /// Its call may or may not have run, or its response is no longer retained.
    Unknown,
    /// It was never used and can no longer be used.
    Voided,
}

/// Record of one permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRecord {
    /// Request that it was issued for.
    pub request: RequestId,
    /// Customer that it was issued for.
    pub customer: CustomerId,
    /// Service that it was issued for.
    pub service: ServiceName,
    /// Idempotency key that it was issued for, within its customer and service.
    pub key: Option<IdempotencyKey>,
    /// What is known.
    pub state: PermitState,
    /// When the state ends, if it does.
    pub until: Option<TimeUs>,
}

impl PermitRecord {
    fn is_of(&self, id: &KeyId) -> bool {
        self.key.as_ref() == Some(&id.key)
            && self.customer == id.customer
            && self.service == id.service
    }
}

/// Permit that a key maps to, by the hash of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct KeyPlace {
    hash: u64,
    number: u64,
}

/// End of the state of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Due {
    /// When the state ends.
    pub at: TimeUs,
    /// Number of the permit.
    pub number: u64,
}

/// Records of all permits of one incarnation.
#[derive(Clone, Debug, Default)]
pub struct PermitTable {
    next_number: u64,
    records: BTreeMap<u64, Box<PermitRecord>>,
    hasher: RandomState,
    by_key: BTreeSet<KeyPlace>,
    due: BTreeSet<Due>,
    done: BTreeSet<u64>,
    done_bytes: u64,
    forgettable: BTreeSet<u64>,
    issued_count: usize,
    running_count: usize,
}

impl PermitTable {
    /// Adds a record and returns its number; numbers are not reused.
    pub fn insert(&mut self, record: PermitRecord) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        if let Some(place) = self.key_place(number, &record) {
            self.by_key.insert(place);
        }
        self.add_due(number, record.until);
        self.records.insert(number, Box::new(record));
        self.count(number);
        number
    }

    /// Record of a permit.
    pub fn get(&self, number: u64) -> Option<&PermitRecord> {
        self.records.get(&number).map(Box::as_ref)
    }

    /// Number of the permit that a key maps to; the newest, if it was inserted twice.
    pub fn number_of_key(&self, key: &KeyId) -> Option<u64> {
        let hash = self.hash(&key.customer, &key.service, &key.key);
        let place = |number| KeyPlace { hash, number };
        let mut places = self.by_key.range(place(0)..=place(u64::MAX)).rev();
        let found = places.find(|place| {
            let record = self.records.get(&place.number);
            record.is_some_and(|record| record.is_of(key))
        });
        found.map(|place| place.number)
    }

    /// Changes the state of a permit; a voided one frees its key.
    pub fn set_state(&mut self, number: u64, state: PermitState, until: Option<TimeUs>) {
        self.uncount(number);
        let Some(record) = self.records.get_mut(&number) else {
            return;
        };
        record.state = state;
        let old_until = std::mem::replace(&mut record.until, until);
        let is_voided = record.state == PermitState::Voided;
        self.remove_due(number, old_until);
        self.add_due(number, until);
        if is_voided {
            self.free_key(number);
        }
        self.count(number);
    }

    /// Removes a record, with its key if the key still maps to it.
    pub fn remove(&mut self, number: u64) {
        self.uncount(number);
        self.free_key(number);
        if let Some(record) = self.records.remove(&number) {
            self.remove_due(number, record.until);
        }
    }

    /// Drops the responses of the oldest permits until at most `max_bytes` are retained.
    ///
    /// A dropped response leaves an unknown outcome, so that its call is never run again.
    pub fn trim_responses(&mut self, max_bytes: u64) {
        while self.done_bytes > max_bytes {
            let Some(number) = self.done.first().copied() else {
                return;
            };
            let until = self.records.get(&number).and_then(|record| record.until);
            self.set_state(number, PermitState::Unknown, until);
        }
    }

    /// Makes room for one more record within `max_count`; false when nothing may be forgotten.
    ///
    /// A forgotten permit is answered *unknown*. Records with a key and permits that are in use
    /// are kept, because forgetting them could let a call run twice.
    pub fn make_room(&mut self, max_count: usize) -> bool {
        while self.records.len() >= max_count {
            let Some(number) = self.forgettable.first().copied() else {
                return false;
            };
            self.remove(number);
        }
        true
    }

    /// Earliest end of a state that has passed.
    pub fn ended(&self, now: TimeUs) -> Option<Due> {
        self.due.first().copied().filter(|due| due.at <= now)
    }

    /// Earliest end of a state.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        self.due.first().map(|due| due.at)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Permits that are issued and not used.
    pub fn issued_count(&self) -> usize {
        self.issued_count
    }

    /// Permits whose calls are running.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// Bytes of retained responses.
    pub fn retained_bytes(&self) -> u64 {
        self.done_bytes
    }

    fn add_due(&mut self, number: u64, until: Option<TimeUs>) {
        if let Some(at) = until {
            self.due.insert(Due { at, number });
        }
    }

    fn remove_due(&mut self, number: u64, until: Option<TimeUs>) {
        if let Some(at) = until {
            self.due.remove(&Due { at, number });
        }
    }

    fn free_key(&mut self, number: u64) {
        let record = self.records.get(&number);
        let place = record.and_then(|record| self.key_place(number, record));
        if let Some(place) = place {
            self.by_key.remove(&place);
        }
    }

    fn key_place(&self, number: u64, record: &PermitRecord) -> Option<KeyPlace> {
        let key = record.key.as_ref()?;
        let hash = self.hash(&record.customer, &record.service, key);
        Some(KeyPlace { hash, number })
    }

    fn hash(&self, customer: &CustomerId, service: &ServiceName, key: &IdempotencyKey) -> u64 {
        self.hasher.hash_one((customer, service, key))
    }

    fn count(&mut self, number: u64) {
        let Some(record) = self.records.get(&number) else {
            return;
        };
        if is_forgettable(record) {
            self.forgettable.insert(number);
        }
        match &record.state {
            PermitState::Issued => self.issued_count += 1,
            PermitState::Running => self.running_count += 1,
            PermitState::Done(http) => {
                self.done_bytes += response_bytes(http);
                self.done.insert(number);
            }
            PermitState::Unknown | PermitState::Voided => {}
        }
    }

    fn uncount(&mut self, number: u64) {
        let Some(record) = self.records.get(&number) else {
            return;
        };
        self.forgettable.remove(&number);
        match &record.state {
            PermitState::Issued => self.issued_count -= 1,
            PermitState::Running => self.running_count -= 1,
            PermitState::Done(http) => {
                self.done_bytes -= response_bytes(http);
                self.done.remove(&number);
            }
            PermitState::Unknown | PermitState::Voided => {}
        }
    }
}

fn is_forgettable(record: &PermitRecord) -> bool {
    match record.state {
        PermitState::Issued | PermitState::Running => false,
        PermitState::Done(_) | PermitState::Unknown => record.key.is_none(),
        PermitState::Voided => true,
    }
}

fn response_bytes(http: &HttpResponse) -> u64 {
    (http.body.len() + http.content_type.len()) as u64
}
