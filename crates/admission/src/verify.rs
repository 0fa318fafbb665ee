//! Consistency check of the admission state.
//!
//! Tests call it after each event. It collects every violation, because one fault often breaks several
//! invariants.

use std::collections::BTreeSet;

use cuminlead_types::{AttemptId, TimeUs};
use strum::Display;

use crate::action::StreamRef;
use crate::context::Admission;
use crate::lease::{Lease, LeaseState};
use crate::ledger::Capacity;

/// Rule that the state does not obey.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Violation {
    /// More is in use than there is.
    OverCapacity,
    /// The ledger differs from the sum of the leases.
    LedgerDiffers,
    /// More requests wait than the queue may hold, in number or in bytes.
    QueueTooLong,
    /// The bytes of the queue differ from the sum of its prompts.
    QueueBytesDiffer,
    /// An attempt waits and holds something, or does so twice.
    AttemptTwice(AttemptId),
    /// An attempt is not found by its id.
    AttemptNotFound(AttemptId),
    /// A stream is attached to a lease that it does not lead to.
    StreamNotFound(StreamRef),
    /// An attempt in the engine holds no KV pieces, or one without them is in the engine.
    HoldsWrong(AttemptId),
    /// A time that is over has had no effect.
    Overdue(AttemptId),
    /// A request waits although it is the first one and fits.
    NotGranted,
}

impl Admission {
    /// Violations of the rules at `now`, after an event at `now`.
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
            sum.slots += lease.held.slots;
            sum.pieces += lease.held.pieces;
        }
        let used = self.ledger.used();
        if sum != used {
            violations.push(Violation::LedgerDiffers);
        }
        // The configured limit counts: pieces that the engine reports no longer can be in use.
        if used.slots > self.config.slots || used.pieces > self.config.pieces {
            violations.push(Violation::OverCapacity);
        }
    }

    fn verify_attempts(&self, violations: &mut Vec<Violation>) {
        let held = self.leases.iter().map(|(_, lease)| lease.id);
        let waiting = self.queue.iter().map(|(_, waiting)| waiting.id);
        let mut seen = BTreeSet::new();
        for id in held.chain(waiting) {
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
        let holds = lease.held != Capacity::default();
        if holds != (lease.is_in_engine() || is_reserved) {
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
        let first = self.queue.first(now, &self.fair, &self.backlog);
        let first = first.and_then(|key| self.queue.get(key));
        if first.is_some_and(|waiting| self.ledger.has_free(waiting.need)) {
            violations.push(Violation::NotGranted);
        }
    }
}
