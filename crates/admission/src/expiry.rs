//! Handling of deadlines: waits, leases, import timeouts, stream resumption and heartbeats.

use cuminlead_protocol::RefusalReason;
use cuminlead_types::TimeUs;

use crate::action::{AdmissionAction, ReleaseCause, StreamMessage};
use crate::context::Admission;
use crate::lease::{Lease, LeaseKey, LeaseState, Phase};
use crate::queue::{WaitKey, Waiting};

impl Admission {
    /// Time passed.
    pub fn tick(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.advance(now, actions);
    }

    /// Earliest time at which [`Self::tick`] changes something.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        let leases = self.leases.iter();
        let lease_ends = leases.map(|(_, lease)| lease.deadline(&self.config));
        let wait_ends = self.queue.iter().map(|(_, waiting)| waiting.wait_until);
        let grant = self.next_grant_at();
        lease_ends.chain(wait_ends).chain(grant).min()
    }

    /// Ends everything whose time is over and grants what became free.
    ///
    /// Each event does this first, so that a late tick changes no decision.
    pub(crate) fn advance(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.advanced_to = now;
        self.expire(now, actions);
        self.grant(now, actions);
    }

    fn next_grant_at(&self) -> Option<TimeUs> {
        let fits = |need| self.ledger.has_free(need);
        self.queue
            .grant_at(self.advanced_to, &self.fair, &self.backlog, fits)
    }

    /// Ends everything whose time is over.
    pub(crate) fn expire(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.released.forget_old(now);
        self.end_waits(now, actions);
        while let Some(key) = self.due_lease(now) {
            self.end_lease_step(now, key, actions);
        }
    }

    fn end_waits(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        let is_over = |waiting: &Waiting| waiting.wait_until <= now;
        let over = self.queue.iter().filter(|(_, waiting)| is_over(waiting));
        let keys: Vec<WaitKey> = over.map(|(key, _)| key).collect();
        for key in keys {
            self.refuse_waiting(key, RefusalReason::WaitEnded, actions);
        }
    }

    fn due_lease(&self, now: TimeUs) -> Option<LeaseKey> {
        let mut leases = self.leases.iter();
        let due = leases.find(|(_, lease)| lease.deadline(&self.config) <= now);
        due.map(|(key, _)| key)
    }

    fn end_lease_step(&mut self, now: TimeUs, key: LeaseKey, actions: &mut Vec<AdmissionAction>) {
        let Some(lease) = self.leases.get(key) else {
            return;
        };
        match self.step_that_ends(now, lease) {
            Step::Free(cause) => self.free(now, key, cause, actions),
            Step::FailImport => self.import_failed(key, actions),
            Step::Resume => self.resume_stream(key, actions),
            Step::Heartbeat => self.send_heartbeat(now, key, actions),
        }
    }

    fn step_that_ends(&self, now: TimeUs, lease: &Lease) -> Step {
        let decoding = match &lease.state {
            LeaseState::Prefilling(prefilling) if prefilling.until <= now => {
                return Step::Free(ReleaseCause::EngineFailed);
            }
            LeaseState::Prefilling(_) => return Step::Free(ReleaseCause::Orphaned),
            LeaseState::Reserved(reserved) if reserved.has_failed_import => {
                return Step::Free(ReleaseCause::TransferFailed);
            }
            LeaseState::Prefilled(_) | LeaseState::Reserved(_) => {
                return Step::Free(ReleaseCause::Expired);
            }
            LeaseState::Decoding(decoding) => decoding,
        };
        if decoding.abandoned_at(&self.config) <= now {
            return Step::Free(ReleaseCause::Orphaned);
        }
        match decoding.phase {
            Phase::Importing { until } if until <= now => Step::FailImport,
            _ if decoding.resume_at.is_some_and(|at| at <= now) => Step::Resume,
            _ => Step::Heartbeat,
        }
    }

    fn send_heartbeat(&mut self, now: TimeUs, key: LeaseKey, actions: &mut Vec<AdmissionAction>) {
        let lease = self.leases.get_mut(key);
        let Some(decoding) = lease.and_then(Lease::decoding_mut) else {
            return;
        };
        if let Some(attached) = &mut decoding.attached {
            attached.sent_at = now;
            let stream = attached.stream;
            let message = StreamMessage::Heartbeat;
            actions.push(AdmissionAction::Send { stream, message });
        }
    }
}

/// What ends with the time of a lease's step.
enum Step {
    Free(ReleaseCause),
    FailImport,
    Resume,
    Heartbeat,
}
