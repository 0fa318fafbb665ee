//! Consistency check of the admission state.
//!
//! Tests call it after each event. It collects every violation, because one fault often breaks
//! several invariants.

use std::collections::BTreeSet;

use cuminlead_types::{AttemptId, TimeUs};
use strum::Display;

use crate::action::StreamRef;
use crate::capacity::Capacity;
use crate::context::Admission;
use crate::lease::{Lease, LeaseState};

/// Invariant that the state violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Violation {
    /// More capacity is allocated than configured.
    OverCapacity,
    /// The allocated capacity differs from the sum over the leases.
    LedgerDiffers,
    /// The queue exceeds its limit on requests or on bytes.
    QueueTooLong,
    /// The byte count of the queue differs from the sum of its prompts.
    QueueBytesDiffer,
    /// An attempt is in the queue and the leases, or in one of them twice.
    AttemptTwice(AttemptId),
    /// An attempt is not found by its identifier.
    AttemptNotFound(AttemptId),
    /// The index of streams does not lead to the lease that the stream is attached to.
    StreamNotFound(StreamRef),
    /// An attempt in the engine or with a reservation has no capacity, or another one has some.
    HoldsWrong(AttemptId),
    /// A deadline has passed without effect.
    Overdue(AttemptId),
    /// The first request in the order fits but is still queued.
    NotGranted,
}

impl Admission {
    /// Violated invariants at `now`, after an event at `now`.
    pub fn verify(&self, now: TimeUs) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.verify_capacity(&mut violations);
        self.verify_attempts(&mut violations);
        for (_, lease) in self.leases.iter() {
            self.verify_lease(now, lease, &mut violations);
        }
        self.verify_queue(now, &mut violations);
        violations
    }

    fn verify_capacity(&self, violations: &mut Vec<Violation>) {
        let mut sum = Capacity::default();
        for (_, lease) in self.leases.iter() {
            sum.slots += lease.allocated.slots;
            sum.pieces += lease.allocated.pieces;
        }
        let used = self.capacity.used();
        if sum != used {
            violations.push(Violation::LedgerDiffers);
        }
        // Compared with the configured limit: if the engine reports fewer pieces than before, the
        // allocated ones may exceed its total.
        if used.slots > self.config.slots || used.pieces > self.config.pieces {
            violations.push(Violation::OverCapacity);
        }
    }

    fn verify_attempts(&self, violations: &mut Vec<Violation>) {
        let leased = self.leases.iter().map(|(_, lease)| lease.id);
        let waiting = self.queue.iter().map(|(_, waiting)| waiting.id);
        let mut seen = BTreeSet::new();
        for id in leased.chain(waiting) {
            if !seen.insert(id) {
                violations.push(Violation::AttemptTwice(id));
            }
            if !self.has_attempt(id) {
                violations.push(Violation::AttemptNotFound(id));
            }
        }
    }

    fn verify_lease(&self, now: TimeUs, lease: &Lease, violations: &mut Vec<Violation>) {
        let is_reserved = matches!(lease.state, LeaseState::Reserved(_));
        let has_capacity = lease.allocated != Capacity::default();
        if has_capacity != (lease.is_in_engine() || is_reserved) {
            violations.push(Violation::HoldsWrong(lease.id));
        }
        if lease.deadline(&self.config) <= now {
            violations.push(Violation::Overdue(lease.id));
        }
        let Some(stream) = lease.stream() else {
            return;
        };
        if self.leases.find_stream(stream) != self.leases.find(lease.id) {
            violations.push(Violation::StreamNotFound(stream));
        }
    }

    fn verify_queue(&self, now: TimeUs, violations: &mut Vec<Violation>) {
        if self.is_queue_over_limit() {
            violations.push(Violation::QueueTooLong);
        }
        let bytes = self.queue.iter().map(|(_, w)| w.prompt_bytes().0);
        if bytes.sum::<u64>() != self.queue.prompt_bytes().0 {
            violations.push(Violation::QueueBytesDiffer);
        }
        for (_, waiting) in self.queue.iter() {
            if waiting.wait_until <= now {
                violations.push(Violation::Overdue(waiting.id));
            }
        }
        let first = self.queue.first(now, &self.fair_share, &self.backlog);
        let first = first.and_then(|key| self.queue.get(key));
        if first.is_some_and(|waiting| self.capacity.has_free(waiting.required)) {
            violations.push(Violation::NotGranted);
        }
    }
}
