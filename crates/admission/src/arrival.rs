//! Handlers of messages that get a single reply: reserve, prefill and release.

use cuminlead_protocol::{
    AgentFailure, Envelope, Prefill, Prefilled, RefusalReason, Release, ReplyBody, Reserve,
    Reserved,
};
use cuminlead_types::{KvPieces, TimeUs};

use crate::action::{AdmissionAction, CallRef, ReleaseCause};
use crate::capacity::Capacity;
use crate::context::{Admission, SchedulingTerms};
use crate::lease::{Lease, LeaseKey, LeaseState, PrefilledKv, Prefilling};
use crate::queue::{Purpose, QueuedRequest, WaitKey};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Prefill,
    Reserve,
}

impl Admission {
    /// Handles a request for a decode slot; a repeat gets the reply to the existing reservation.
    pub fn reserve(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: &Reserve,
        terms: SchedulingTerms,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        if self.answer_repeat(now, call, &message.envelope, RequestKind::Reserve, actions) {
            return;
        }
        let tokens = message
            .prompt_tokens
            .saturating_add(message.output_max_tokens);
        self.admit(
            now,
            QueuedRequest {
                id: message.envelope.id,
                customer: message.envelope.customer.clone(),
                owner: message.envelope.entry.clone(),
                target: message.target.clone(),
                priority: terms.priority,
                weight: terms.weight,
                required: Capacity::one_slot(tokens.kv_pieces().max(KvPieces(1))),
                prompt_tokens: message.prompt_tokens,
                prompt_parts: message.prompt_parts.clone(),
                calls: vec![call],
                last_contact_at: now,
                due_at: now + message.due_us,
                wait_until: now + message.wait_max_us.min(self.config.no_contact_max_us()),
                purpose: Purpose::Reserve {
                    lease_us: message.lease_us.min(self.config.lease_max_us),
                    output_max_tokens: message.output_max_tokens,
                },
            },
            actions,
        );
    }

    /// Handles a request for a prefill; a repeat attaches to the queued or running one.
    pub fn prefill(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: Prefill,
        terms: SchedulingTerms,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        if self.answer_repeat(now, call, &message.envelope, RequestKind::Prefill, actions) {
            return;
        }
        self.admit(
            now,
            QueuedRequest {
                id: message.envelope.id,
                customer: message.envelope.customer,
                owner: message.envelope.entry,
                target: message.target,
                priority: terms.priority,
                weight: terms.weight,
                required: Capacity::one_slot(message.prompt_tokens.kv_pieces().max(KvPieces(1))),
                prompt_tokens: message.prompt_tokens,
                prompt_parts: Vec::new(),
                calls: vec![call],
                last_contact_at: now,
                due_at: now + message.due_us,
                wait_until: now + message.wait_max_us.min(self.config.no_contact_max_us()),
                purpose: Purpose::Prefill {
                    prompt: message.prompt,
                },
            },
            actions,
        );
    }

    /// Releases everything that is queued or allocated for the attempt.
    pub fn release(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: &Release,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        let id = message.envelope.id;
        self.released.insert(now, id);
        if let Some(key) = self.queue.find(id) {
            self.cancel_waiting(key, actions);
        }
        if let Some(key) = self.leases.find(id) {
            let cause = self.release_cause(key);
            self.release_lease(now, key, cause, actions);
        }
        let body = ReplyBody::Released;
        actions.push(AdmissionAction::Reply { call, body });
        self.grant(now, actions);
    }

    /// Handles a closed connection; a queued request that no open message waits for is removed.
    pub fn call_dropped(&mut self, now: TimeUs, call: CallRef, actions: &mut Vec<AdmissionAction>) {
        self.advance(now, actions);
        self.drop_from_queue(call);
        self.drop_from_prefills(now, call);
        self.grant(now, actions);
    }

    fn drop_from_queue(&mut self, call: CallRef) {
        let found = self.queue.iter().find(|(_, w)| w.calls.contains(&call));
        let Some(key) = found.map(|(key, _)| key) else {
            return;
        };
        let Some(waiting) = self.queue.get_mut(key) else {
            return;
        };
        waiting.calls.retain(|other| *other != call);
        if waiting.calls.is_empty() {
            self.queue.remove(key);
        }
    }

    fn drop_from_prefills(&mut self, now: TimeUs, call: CallRef) {
        for (_, lease) in self.leases.iter_mut() {
            let LeaseState::Prefilling(prefilling) = &mut lease.state else {
                continue;
            };
            let count = prefilling.calls.len();
            prefilling.calls.retain(|other| *other != call);
            if prefilling.calls.is_empty() && count > 0 {
                prefilling.unattended_since = Some(now);
            }
        }
    }

    fn release_cause(&self, key: LeaseKey) -> ReleaseCause {
        match self.leases.get(key).map(|lease| &lease.state) {
            Some(LeaseState::Prefilled(_)) => ReleaseCause::Imported,
            _ => ReleaseCause::Released,
        }
    }

    fn cancel_waiting(&mut self, key: WaitKey, actions: &mut Vec<AdmissionAction>) {
        let Some(waiting) = self.queue.remove(key) else {
            return;
        };
        for call in waiting.calls {
            let body = ReplyBody::Failed(AgentFailure::Cancelled);
            actions.push(AdmissionAction::Reply { call, body });
        }
    }

    /// Replies to a message from the existing state of its attempt; false if there is none.
    fn answer_repeat(
        &mut self,
        now: TimeUs,
        call: CallRef,
        envelope: &Envelope,
        kind: RequestKind,
        actions: &mut Vec<AdmissionAction>,
    ) -> bool {
        let id = envelope.id;
        if self.released.contains(id) {
            let body = ReplyBody::Failed(AgentFailure::Cancelled);
            actions.push(AdmissionAction::Reply { call, body });
            return true;
        }
        if let Some(key) = self.queue.find(id) {
            self.attach_to_waiting(now, call, envelope, kind, key, actions);
            return true;
        }
        let Some(key) = self.leases.find(id) else {
            return false;
        };
        self.answer_from_lease(now, call, envelope, kind, key, actions);
        true
    }

    fn answer_from_lease(
        &mut self,
        now: TimeUs,
        call: CallRef,
        envelope: &Envelope,
        kind: RequestKind,
        key: LeaseKey,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let no_contact_max_us = self.config.no_contact_max_us();
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        let outcome = if lease.owner == envelope.entry {
            attach_to_lease(lease, now, call, kind)
        } else {
            RepeatOutcome::Conflict
        };
        match outcome {
            RepeatOutcome::Attached(prefilling) => prefilling.expires_at = now + no_contact_max_us,
            RepeatOutcome::Reply(body) => actions.push(AdmissionAction::Reply { call, body }),
            RepeatOutcome::Conflict => Self::refuse_conflict(call, envelope, actions),
        }
    }

    fn attach_to_waiting(
        &mut self,
        now: TimeUs,
        call: CallRef,
        envelope: &Envelope,
        kind: RequestKind,
        key: WaitKey,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(waiting) = self.queue.get_mut(key) else {
            return;
        };
        let waiting_kind = match waiting.purpose {
            Purpose::Prefill { .. } => RequestKind::Prefill,
            Purpose::Reserve { .. } => RequestKind::Reserve,
        };
        if waiting_kind == kind && waiting.owner == envelope.entry {
            waiting.calls.push(call);
            waiting.last_contact_at = now;
        } else {
            Self::refuse_conflict(call, envelope, actions);
        }
    }

    fn refuse_conflict(call: CallRef, envelope: &Envelope, actions: &mut Vec<AdmissionAction>) {
        let reason = RefusalReason::Malformed;
        Self::refuse(envelope.id, &envelope.customer, &[call], reason, actions);
    }

    fn admit(&mut self, now: TimeUs, waiting: QueuedRequest, actions: &mut Vec<AdmissionAction>) {
        if let Some(reason) = self.early_refusal(now, &waiting) {
            Self::refuse(
                waiting.id,
                &waiting.customer,
                &waiting.calls,
                reason,
                actions,
            );
            return;
        }
        let key = self.queue.push(waiting);
        self.grant(now, actions);
        let queued = self.queue.get(key);
        let wait_until = queued.map(|waiting| waiting.wait_until);
        if wait_until.is_some_and(|expires_at| expires_at <= now) {
            self.refuse_waiting(key, RefusalReason::WaitEnded, actions);
        } else if self.is_queue_over_limit() {
            self.refuse_waiting(key, RefusalReason::QueueFull, actions);
        }
    }

    /// Whether the queue exceeds its limit on requests or on bytes of prompts.
    pub(crate) fn is_queue_over_limit(&self) -> bool {
        self.queue.len() > self.config.queue_max_count
            || self.queue.prompt_bytes() > self.config.queue_max_bytes
    }

    fn early_refusal(&self, now: TimeUs, waiting: &QueuedRequest) -> Option<RefusalReason> {
        if self.is_draining {
            Some(RefusalReason::Draining)
        } else if !self.capacity.can_ever_fit(waiting.required) {
            Some(RefusalReason::TooLarge)
        } else if !waiting.can_meet_target(now, &self.backlog) {
            Some(RefusalReason::CannotMeetTarget)
        } else {
            None
        }
    }
}

/// Result of a repeated message for an attempt that has a lease.
enum RepeatOutcome<'a> {
    /// It waits for the result of the running prefill.
    Attached(&'a mut Prefilling),
    /// It gets its reply.
    Reply(ReplyBody),
    /// The lease is of another kind.
    Conflict,
}

fn attach_to_lease(
    lease: &mut Lease,
    now: TimeUs,
    call: CallRef,
    kind: RequestKind,
) -> RepeatOutcome<'_> {
    match (&mut lease.state, kind) {
        (LeaseState::Prefilling(prefilling), RequestKind::Prefill) => {
            prefilling.calls.push(call);
            prefilling.unattended_since = None;
            RepeatOutcome::Attached(prefilling)
        }
        (LeaseState::Prefilled(kv), RequestKind::Prefill) => {
            RepeatOutcome::Reply(prefilled_body(now, kv))
        }
        (LeaseState::Reserved(reserved), RequestKind::Reserve) => {
            RepeatOutcome::Reply(reserved_body(now, reserved.expires_at))
        }
        (LeaseState::Decoding(_), RequestKind::Reserve) => {
            RepeatOutcome::Reply(reserved_body(now, now))
        }
        _ => RepeatOutcome::Conflict,
    }
}

pub(crate) fn reserved_body(now: TimeUs, expires_at: TimeUs) -> ReplyBody {
    ReplyBody::Reserved(Reserved {
        expires_in_us: expires_at.since(now),
    })
}

pub(crate) fn prefilled_body(now: TimeUs, kv: &PrefilledKv) -> ReplyBody {
    ReplyBody::Prefilled(Prefilled {
        kv: kv.kv.clone(),
        prompt_tokens: kv.prompt_tokens,
        cached_tokens: kv.cached_tokens,
        retained_for_us: kv.expires_at.since(now),
    })
}
