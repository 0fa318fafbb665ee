//! Deadlines: waits, leases, import timeouts, stream resumption and heartbeats.

use cuminlead_protocol::RefusalReason;
use cuminlead_types::TimeUs;

use crate::action::{AdmissionAction, ReleaseCause, StreamMessage};
use crate::context::Admission;
use crate::lease::{DecodePhase, Lease, LeaseKey, LeaseState};
use crate::queue::{QueuedRequest, WaitKey};

impl Admission {
    /// Handles the passing of time; due at [`Self::next_deadline`].
    pub fn tick(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.advance(now, actions);
    }

    /// Earliest time at which [`Self::tick`] has an effect; absent if only an event can have one.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        let leases = self.leases.iter();
        let lease_ends = leases.map(|(_, lease)| lease.deadline(&self.config));
        let wait_ends = self.queue.iter().map(|(_, waiting)| waiting.wait_until);
        let grant = self.next_grant_at();
        lease_ends.chain(wait_ends).chain(grant).min()
    }

    /// Handles all passed deadlines and grants the capacity that became free.
    ///
    /// Every event handler calls this first, so that a late tick changes no decision.
    pub(crate) fn advance(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.advanced_to = now;
        self.expire(now, actions);
        self.grant(now, actions);
    }

    fn next_grant_at(&self) -> Option<TimeUs> {
        let fits = |required| self.capacity.has_free(required);
        self.queue
            .grant_at(self.advanced_to, &self.fair_share, &self.backlog, fits)
    }

    /// Handles all passed deadlines.
    pub(crate) fn expire(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.released.expire(now);
        self.expire_waits(now, actions);
        while let Some(key) = self.first_due_lease(now) {
            self.run_due_action(now, key, actions);
        }
    }

    fn expire_waits(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        let is_expired = |waiting: &QueuedRequest| waiting.wait_until <= now;
        let expired = self.queue.iter().filter(|(_, waiting)| is_expired(waiting));
        let keys: Vec<WaitKey> = expired.map(|(key, _)| key).collect();
        for key in keys {
            self.refuse_waiting(key, RefusalReason::WaitEnded, actions);
        }
    }

    fn first_due_lease(&self, now: TimeUs) -> Option<LeaseKey> {
        let mut leases = self.leases.iter();
        let due = leases.find(|(_, lease)| lease.deadline(&self.config) <= now);
        due.map(|(key, _)| key)
    }

    fn run_due_action(&mut self, now: TimeUs, key: LeaseKey, actions: &mut Vec<AdmissionAction>) {
        let Some(lease) = self.leases.get(key) else {
            return;
        };
        match self.due_action(now, lease) {
            DueAction::ReleaseLease(cause) => self.release_lease(now, key, cause, actions),
            DueAction::FailImport => self.import_failed(key, actions),
            DueAction::Resume => self.resume_stream(key, actions),
            DueAction::Heartbeat => self.send_heartbeat(now, key, actions),
        }
    }

    fn due_action(&self, now: TimeUs, lease: &Lease) -> DueAction {
        let decoding = match &lease.state {
            LeaseState::Prefilling(prefilling) if prefilling.expires_at <= now => {
                return DueAction::ReleaseLease(ReleaseCause::EngineFailed);
            }
            LeaseState::Prefilling(_) => return DueAction::ReleaseLease(ReleaseCause::Orphaned),
            LeaseState::Reserved(reserved) if reserved.has_failed_import => {
                return DueAction::ReleaseLease(ReleaseCause::TransferFailed);
            }
            LeaseState::Prefilled(_) | LeaseState::Reserved(_) => {
                return DueAction::ReleaseLease(ReleaseCause::Expired);
            }
            LeaseState::Decoding(decoding) => decoding,
        };
        if decoding.orphaned_at(&self.config) <= now {
            return DueAction::ReleaseLease(ReleaseCause::Orphaned);
        }
        match decoding.phase {
            DecodePhase::Importing { expires_at } if expires_at <= now => DueAction::FailImport,
            _ if decoding.resume_at.is_some_and(|at| at <= now) => DueAction::Resume,
            _ => DueAction::Heartbeat,
        }
    }

    fn send_heartbeat(&mut self, now: TimeUs, key: LeaseKey, actions: &mut Vec<AdmissionAction>) {
        let lease = self.leases.get_mut(key);
        let Some(decoding) = lease.and_then(Lease::decoding_mut) else {
            return;
        };
        if let Some(attached) = &mut decoding.attached {
            attached.last_sent_at = now;
            let stream = attached.stream;
            let message = StreamMessage::Heartbeat;
            actions.push(AdmissionAction::Send { stream, message });
        }
    }
}

/// What happens to a lease at its deadline.
enum DueAction {
    ReleaseLease(ReleaseCause),
    FailImport,
    Resume,
    Heartbeat,
}
