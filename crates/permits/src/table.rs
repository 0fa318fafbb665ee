//! Permit records, indexed by number, key and expiry.
//!
//! Tens of thousands of records are retained for minutes, so memory per record matters. Each text
//! is stored once: the key index holds only a hash, and a match is compared with the record. The
//! records are boxed, because the nodes of a B-tree map that grows in key order stay half empty.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, RandomState};

use cuminlead_protocol::HttpResponse;
use cuminlead_types::{CustomerId, IdempotencyKey, RequestId, ServiceName, TimeUs};

use crate::owner::KeyId;

/// State of a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// Issued and not used yet.
    Issued,
    /// Its call is running.
    Running,
    /// Its call has completed with a response, which is retained.
    Done(HttpResponse),
    /// Its call may or may not have run, or its response is no longer retained.
    Unknown,
    /// Its call did not run and can no longer run.
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
    /// Idempotency key that it was issued for, unique within customer and service; absent if the
    /// caller gave none.
    pub key: Option<IdempotencyKey>,
    /// Current state.
    pub state: PermitState,
    /// Time at which the state ends; absent while the call is running.
    pub expires_at: Option<TimeUs>,
}

impl PermitRecord {
    fn has_key(&self, id: &KeyId) -> bool {
        self.key.as_ref() == Some(&id.key)
            && self.customer == id.customer
            && self.service == id.service
    }
}

/// Entry of the index from the hash of a qualified key to its permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct KeyIndexEntry {
    hash: u64,
    number: u64,
}

/// Time at which the state of a permit ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Expiry {
    /// Time at which the state ends.
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
    by_key: BTreeSet<KeyIndexEntry>,
    expiries: BTreeSet<Expiry>,
    done_numbers: BTreeSet<u64>,
    retained_bytes: u64,
    evictable: BTreeSet<u64>,
    issued_count: usize,
    running_count: usize,
}

impl PermitTable {
    /// Adds a record and returns its number. Numbers are not reused.
    pub fn insert(&mut self, record: PermitRecord) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        if let Some(entry) = self.key_index_entry(number, &record) {
            self.by_key.insert(entry);
        }
        self.add_expiry(number, record.expires_at);
        self.records.insert(number, Box::new(record));
        self.add_to_indexes(number);
        number
    }

    /// Record of the permit with the given number.
    pub fn get(&self, number: u64) -> Option<&PermitRecord> {
        self.records.get(&number).map(Box::as_ref)
    }

    /// Number of the permit that a key maps to; the newest one if there are several.
    pub fn number_of_key(&self, key: &KeyId) -> Option<u64> {
        let hash = self.hash(&key.customer, &key.service, &key.key);
        let entry = |number| KeyIndexEntry { hash, number };
        let mut entries = self.by_key.range(entry(0)..=entry(u64::MAX)).rev();
        let found = entries.find(|entry| {
            let record = self.records.get(&entry.number);
            record.is_some_and(|record| record.has_key(key))
        });
        found.map(|entry| entry.number)
    }

    /// Changes the state of a permit; a voided permit releases its key.
    pub fn set_state(&mut self, number: u64, state: PermitState, expires_at: Option<TimeUs>) {
        self.remove_from_indexes(number);
        let Some(record) = self.records.get_mut(&number) else {
            return;
        };
        record.state = state;
        let old_expires_at = std::mem::replace(&mut record.expires_at, expires_at);
        let is_voided = record.state == PermitState::Voided;
        self.remove_expiry(number, old_expires_at);
        self.add_expiry(number, expires_at);
        if is_voided {
            self.release_key(number);
        }
        self.add_to_indexes(number);
    }

    /// Removes a record, and its key from the index if the key still maps to it.
    pub fn remove(&mut self, number: u64) {
        self.remove_from_indexes(number);
        self.release_key(number);
        if let Some(record) = self.records.remove(&number) {
            self.remove_expiry(number, record.expires_at);
        }
    }

    /// Drops the responses of the oldest permits until at most `max_bytes` are retained.
    ///
    /// The outcome becomes unknown, so that the call is not run again.
    pub fn trim_responses(&mut self, max_bytes: u64) {
        while self.retained_bytes > max_bytes {
            let Some(number) = self.done_numbers.first().copied() else {
                return;
            };
            let expires_at = self
                .records
                .get(&number)
                .and_then(|record| record.expires_at);
            self.set_state(number, PermitState::Unknown, expires_at);
        }
    }

    /// Evicts records until one more fits into `max_count`; false if too few can be evicted.
    ///
    /// The outcome of an evicted permit is reported as *unknown*. Records with a key and permits in
    /// use are retained unless voided, because evicting them could let a call run twice.
    pub fn evict_for_insert(&mut self, max_count: usize) -> bool {
        while self.records.len() >= max_count {
            let Some(number) = self.evictable.first().copied() else {
                return false;
            };
            self.remove(number);
        }
        true
    }

    /// Earliest expiry that has passed at `now`, if any.
    pub fn first_expired(&self, now: TimeUs) -> Option<Expiry> {
        self.expiries
            .first()
            .copied()
            .filter(|expiry| expiry.at <= now)
    }

    /// Earliest expiry of all records.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        self.expiries.first().map(|expiry| expiry.at)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of permits that are issued and not used yet.
    pub fn issued_count(&self) -> usize {
        self.issued_count
    }

    /// Number of permits whose calls are running.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// Bytes of retained responses.
    pub fn retained_bytes(&self) -> u64 {
        self.retained_bytes
    }

    fn add_expiry(&mut self, number: u64, expires_at: Option<TimeUs>) {
        if let Some(at) = expires_at {
            self.expiries.insert(Expiry { at, number });
        }
    }

    fn remove_expiry(&mut self, number: u64, expires_at: Option<TimeUs>) {
        if let Some(at) = expires_at {
            self.expiries.remove(&Expiry { at, number });
        }
    }

    fn release_key(&mut self, number: u64) {
        let record = self.records.get(&number);
        let entry = record.and_then(|record| self.key_index_entry(number, record));
        if let Some(entry) = entry {
            self.by_key.remove(&entry);
        }
    }

    fn key_index_entry(&self, number: u64, record: &PermitRecord) -> Option<KeyIndexEntry> {
        let key = record.key.as_ref()?;
        let hash = self.hash(&record.customer, &record.service, key);
        Some(KeyIndexEntry { hash, number })
    }

    fn hash(&self, customer: &CustomerId, service: &ServiceName, key: &IdempotencyKey) -> u64 {
        self.hasher.hash_one((customer, service, key))
    }

    fn add_to_indexes(&mut self, number: u64) {
        let Some(record) = self.records.get(&number) else {
            return;
        };
        if is_evictable(record) {
            self.evictable.insert(number);
        }
        match &record.state {
            PermitState::Issued => self.issued_count += 1,
            PermitState::Running => self.running_count += 1,
            PermitState::Done(http) => {
                self.retained_bytes += response_bytes(http);
                self.done_numbers.insert(number);
            }
            PermitState::Unknown | PermitState::Voided => {}
        }
    }

    fn remove_from_indexes(&mut self, number: u64) {
        let Some(record) = self.records.get(&number) else {
            return;
        };
        self.evictable.remove(&number);
        match &record.state {
            PermitState::Issued => self.issued_count -= 1,
            PermitState::Running => self.running_count -= 1,
            PermitState::Done(http) => {
                self.retained_bytes -= response_bytes(http);
                self.done_numbers.remove(&number);
            }
            PermitState::Unknown | PermitState::Voided => {}
        }
    }
}

fn is_evictable(record: &PermitRecord) -> bool {
    match record.state {
        PermitState::Issued | PermitState::Running => false,
        PermitState::Done(_) | PermitState::Unknown => record.key.is_none(),
        PermitState::Voided => true,
    }
}

fn response_bytes(http: &HttpResponse) -> u64 {
    (http.body.len() + http.content_type.len()) as u64
}
