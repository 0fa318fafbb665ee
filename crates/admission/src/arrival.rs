//! Handlers of messages that get a single reply: reserve, prefill and release.

use cuminlead_protocol::{
    AgentFailure, Envelope, Prefill, Prefilled, RefusalReason, Release, ReplyBody, Reserve,
    Reserved,
};
use cuminlead_types::{KvPieces, TimeUs};

use crate::action::{AdmissionAction, CallRef, ReleaseCause};
use crate::context::{Admission, SchedulingTerms};
use crate::lease::{Lease, LeaseKey, LeaseState, PrefilledKv, Prefilling};
use crate::ledger::Capacity;
use crate::queue::{Purpose, WaitKey, Waiting};

/// Kind of place that a message asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Prefill,
    Reserve,
}

impl Admission {
    /// A decode place is asked for.
    pub fn reserve(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: &Reserve,
        terms: SchedulingTerms,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        if self.join(now, call, &message.envelope, Asked::Reserve, actions) {
            return;
        }
        let tokens = message
            .prompt_tokens
            .saturating_add(message.output_max_tokens);
        self.enter(
            now,
            Waiting {
                id: message.envelope.id,
                customer: message.envelope.customer.clone(),
                owner: message.envelope.entry.clone(),
                target: message.target.clone(),
                priority: terms.priority,
                weight: terms.weight,
                need: Capacity::one_slot(tokens.kv_pieces().max(KvPieces(1))),
                prompt_tokens: message.prompt_tokens,
                calls: vec![call],
                heard_at: now,
                due_at: now + message.due_us,
                wait_until: now + message.wait_max_us.min(self.config.silent_max_us()),
                purpose: Purpose::Reserve {
                    lease_us: message.lease_us.min(self.config.lease_max_us),
                    output_max_tokens: message.output_max_tokens,
                },
            },
            actions,
        );
    }

    /// A prefill is asked for; a repeat joins the running one.
    pub fn prefill(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: Prefill,
        terms: SchedulingTerms,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        if self.join(now, call, &message.envelope, Asked::Prefill, actions) {
            return;
        }
        self.enter(
            now,
            Waiting {
                id: message.envelope.id,
                customer: message.envelope.customer,
                owner: message.envelope.entry,
                target: message.target,
                priority: terms.priority,
                weight: terms.weight,
                need: Capacity::one_slot(message.prompt_tokens.kv_pieces().max(KvPieces(1))),
                prompt_tokens: message.prompt_tokens,
                calls: vec![call],
                heard_at: now,
                due_at: now + message.due_us,
                wait_until: now + message.wait_max_us.min(self.config.silent_max_us()),
                purpose: Purpose::Prefill {
                    prompt: message.prompt,
                },
            },
            actions,
        );
    }

    /// Everything that the attempt holds is freed.
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
            self.free(now, key, cause, actions);
        }
        let body = ReplyBody::Released;
        actions.push(AdmissionAction::Reply { call, body });
        self.grant(now, actions);
    }

    /// The connection of a message ended; what waits for nobody any more leaves the queue.
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

    /// Answers a repeat from what the attempt has here already.
    fn join(
        &mut self,
        now: TimeUs,
        call: CallRef,
        envelope: &Envelope,
        asked: Asked,
        actions: &mut Vec<AdmissionAction>,
    ) -> bool {
        let id = envelope.id;
        if self.released.contains(id) {
            let body = ReplyBody::Failed(AgentFailure::Cancelled);
            actions.push(AdmissionAction::Reply { call, body });
            return true;
        }
        if let Some(key) = self.queue.find(id) {
            self.join_waiting(now, call, envelope, asked, key, actions);
            return true;
        }
        let Some(key) = self.leases.find(id) else {
            return false;
        };
        self.join_held(now, call, envelope, asked, key, actions);
        true
    }

    fn join_held(
        &mut self,
        now: TimeUs,
        call: CallRef,
        envelope: &Envelope,
        asked: Asked,
        key: LeaseKey,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let silent_max_us = self.config.silent_max_us();
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        let joined = if lease.owner == envelope.entry {
            join_lease(lease, now, call, asked)
        } else {
            Joined::Conflict
        };
        match joined {
            Joined::Waits(prefilling) => prefilling.until = now + silent_max_us,
            Joined::Answer(body) => actions.push(AdmissionAction::Reply { call, body }),
            Joined::Conflict => Self::refuse_conflict(call, envelope, actions),
        }
    }

    fn join_waiting(
        &mut self,
        now: TimeUs,
        call: CallRef,
        envelope: &Envelope,
        asked: Asked,
        key: WaitKey,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(waiting) = self.queue.get_mut(key) else {
            return;
        };
        let waits_for = match waiting.purpose {
            Purpose::Prefill { .. } => Asked::Prefill,
            Purpose::Reserve { .. } => Asked::Reserve,
        };
        if waits_for == asked && waiting.owner == envelope.entry {
            waiting.calls.push(call);
            waiting.heard_at = now;
        } else {
            Self::refuse_conflict(call, envelope, actions);
        }
    }

    fn refuse_conflict(call: CallRef, envelope: &Envelope, actions: &mut Vec<AdmissionAction>) {
        let reason = RefusalReason::Malformed;
        Self::refuse(envelope.id, &envelope.customer, &[call], reason, actions);
    }

    /// Grants, queues or refuses a new request.
    fn enter(&mut self, now: TimeUs, waiting: Waiting, actions: &mut Vec<AdmissionAction>) {
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
        let still_waits = self.queue.get(key);
        let wait_until = still_waits.map(|waiting| waiting.wait_until);
        if wait_until.is_some_and(|until| until <= now) {
            self.refuse_waiting(key, RefusalReason::WaitEnded, actions);
        } else if self.is_queue_over_limit() {
            self.refuse_waiting(key, RefusalReason::QueueFull, actions);
        }
    }

    /// Whether more waits than the limits allow, in number or in bytes of prompts.
    pub(crate) fn is_queue_over_limit(&self) -> bool {
        self.queue.len() > self.config.queue_max_count
            || self.queue.prompt_bytes() > self.config.queue_max_bytes
    }

    fn early_refusal(&self, now: TimeUs, waiting: &Waiting) -> Option<RefusalReason> {
        if self.is_draining {
            Some(RefusalReason::Draining)
        } else if !self.ledger.can_ever_fit(waiting.need) {
            Some(RefusalReason::TooLarge)
        } else if !waiting.can_meet_target(now, &self.backlog) {
            Some(RefusalReason::CannotMeetTarget)
        } else {
            None
        }
    }
}

/// What a repeat gets from the lease of its attempt.
enum Joined<'a> {
    /// It waits for the result of the running one.
    Waits(&'a mut Prefilling),
    /// It is answered.
    Answer(ReplyBody),
    /// The attempt holds something else.
    Conflict,
}

fn join_lease(lease: &mut Lease, now: TimeUs, call: CallRef, asked: Asked) -> Joined<'_> {
    match (&mut lease.state, asked) {
        (LeaseState::Prefilling(prefilling), Asked::Prefill) => {
            prefilling.calls.push(call);
            prefilling.unattended_since = None;
            Joined::Waits(prefilling)
        }
        (LeaseState::Prefilled(kv), Asked::Prefill) => Joined::Answer(prefilled_body(now, kv)),
        (LeaseState::Reserved(reserved), Asked::Reserve) => {
            Joined::Answer(reserved_body(now, reserved.until))
        }
        (LeaseState::Decoding(_), Asked::Reserve) => Joined::Answer(reserved_body(now, now)),
        _ => Joined::Conflict,
    }
}

/// Answer to a reservation that lasts until `until`.
pub(crate) fn reserved_body(now: TimeUs, until: TimeUs) -> ReplyBody {
    ReplyBody::Reserved(Reserved {
        expires_in_us: until.since(now),
    })
}

/// Answer to a prefill that is done.
pub(crate) fn prefilled_body(now: TimeUs, kv: &PrefilledKv) -> ReplyBody {
    ReplyBody::Prefilled(Prefilled {
        kv: kv.kv.clone(),
        prompt_tokens: kv.prompt_tokens,
        cached_tokens: kv.cached_tokens,
        held_for_us: kv.until.since(now),
    })
}
