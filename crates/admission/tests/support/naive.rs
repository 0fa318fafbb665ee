//! Naive implementation of admission, the reference of the differential test.
//!
//! It holds one flat list of attempts, computes the capacity in use from the list each time, never
//! drops a chunk, and is ticked in small fixed steps instead of at deadlines.

mod decode;

use std::collections::BTreeMap;

use cuminlead_admission::{
    AdmissionAction as Action, AdmissionConfig, CallRef, StreamMessage, StreamRef,
};
use cuminlead_protocol::{
    AgentFailure, Chunk, DecodeStart, EngineCommand, Prefilled, RefusalReason, ReplyBody, Reserve,
    Reserved,
};
use cuminlead_types::{AttemptId, CustomerId, DurationUs, KvPieces, Priority, TimeUs, Tokens};

/// Request for capacity; `message` stands for a prefill too, which has no output tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionRequest {
    pub(crate) call: u64,
    pub(crate) is_prefill: bool,
    /// Bytes of the prompt; used for a prefill only.
    pub(crate) prompt_bytes: usize,
    pub(crate) priority: u8,
    pub(crate) weight: u32,
    pub(crate) message: Reserve,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum AttemptStep {
    #[default]
    Waiting,
    Prefilling,
    Prefilled,
    Reserved,
    Importing,
    Generating,
    Finished,
}

#[derive(Clone, Debug, Default)]
struct AttemptRecord {
    request: AdmissionRequest,
    id: AttemptId,
    step: AttemptStep,
    calls: Vec<CallRef>,
    arrival: u64,
    due_at: TimeUs,
    last_contact_at: TimeUs,
    expires_at: TimeUs,
    unattended_since: Option<TimeUs>,
    prefilled: Prefilled,
    start: DecodeStart,
    stream: Option<StreamRef>,
    last_sent_at: TimeUs,
    chunks: Vec<Chunk>,
    acknowledged: u64,
    missed_inventories_count: u32,
    stream_loss_count: u32,
    resume_at: Option<TimeUs>,
}

impl AttemptRecord {
    fn tokens(&self) -> Tokens {
        self.request.message.prompt_tokens + self.request.message.output_max_tokens
    }

    fn is_decode(&self) -> bool {
        matches!(
            self.step,
            AttemptStep::Importing | AttemptStep::Generating | AttemptStep::Finished
        )
    }

    fn is_in_engine(&self) -> bool {
        self.uses_pieces() && self.step != AttemptStep::Reserved
    }

    fn uses_pieces(&self) -> bool {
        !matches!(self.step, AttemptStep::Waiting | AttemptStep::Finished)
    }

    fn uses_slot(&self) -> bool {
        self.uses_pieces() && self.step != AttemptStep::Prefilled
    }

    fn next_chunk_number(&self) -> u64 {
        self.start.first_sequence.0 + self.chunks.len() as u64
    }

    fn received_tokens(&self) -> Tokens {
        self.chunks.iter().map(|chunk| chunk.tokens).sum()
    }

    /// Failure of the attempt if its deadline has passed.
    fn expiry_failure(&self, now: TimeUs, config: &AdmissionConfig) -> Option<AgentFailure> {
        let is_orphaned = self
            .unattended_since
            .is_some_and(|at| at + config.orphan_timeout_us <= now);
        let has_no_contact = self.last_contact_at + config.orphan_timeout_us <= now;
        let is_expired = self.expires_at <= now;
        match self.step {
            AttemptStep::Waiting => is_expired.then_some(refused(RefusalReason::WaitEnded)),
            AttemptStep::Prefilling if is_expired => Some(AgentFailure::EngineFailed),
            AttemptStep::Prefilling => is_orphaned.then_some(AgentFailure::Cancelled),
            AttemptStep::Prefilled | AttemptStep::Reserved => {
                is_expired.then_some(AgentFailure::Cancelled)
            }
            AttemptStep::Importing | AttemptStep::Generating => {
                has_no_contact.then_some(AgentFailure::Cancelled)
            }
            AttemptStep::Finished => {
                let expires_at =
                    self.expires_at.max(self.last_contact_at) + config.output_retention_us;
                (expires_at <= now).then_some(AgentFailure::Cancelled)
            }
        }
    }
}

#[derive(Default)]
pub(crate) struct NaiveAdmission {
    config: AdmissionConfig,
    attempts: Vec<AttemptRecord>,
    released: Vec<(AttemptId, TimeUs)>,
    finish_tags: BTreeMap<CustomerId, u64>,
    virtual_time: u64,
    busy_until: TimeUs,
    arrivals: u64,
    is_draining: bool,
    is_engine_unresponsive: bool,
    total_pieces: KvPieces,
    unknown_sequences: Vec<AttemptId>,
    pub(crate) actions: Vec<Action>,
}

impl NaiveAdmission {
    pub(crate) fn new(config: AdmissionConfig) -> Self {
        Self {
            total_pieces: config.pieces,
            config,
            ..Self::default()
        }
    }

    pub(crate) fn used_slots(&self) -> u32 {
        self.attempts
            .iter()
            .map(|attempt| u32::from(attempt.uses_slot()))
            .sum()
    }

    pub(crate) fn used_pieces(&self) -> u32 {
        let holding = self.attempts.iter().filter(|attempt| attempt.uses_pieces());
        holding.map(|attempt| attempt.tokens().kv_pieces().0).sum()
    }

    fn reply(&mut self, call: CallRef, body: ReplyBody) {
        self.actions.push(Action::Reply { call, body });
    }

    fn send(&mut self, stream: StreamRef, message: StreamMessage) {
        self.actions.push(Action::Send { stream, message });
    }

    fn close(&mut self, stream: Option<StreamRef>) {
        self.actions
            .extend(stream.map(|stream| Action::CloseStream { stream }));
    }

    fn cancel(&mut self, id: AttemptId) {
        self.actions
            .push(Action::Engine(EngineCommand::Cancel { id }));
    }

    fn find(&self, id: AttemptId) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.id == id)
    }

    fn find_decode(&mut self, id: AttemptId) -> Option<&mut AttemptRecord> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.id == id && attempt.is_decode())
    }

    fn find_by_stream(&mut self, stream: StreamRef) -> Option<&mut AttemptRecord> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.stream == Some(stream))
    }

    fn time_for(&self, tokens: Tokens) -> DurationUs {
        self.config.prefill_rate.time_for(tokens)
    }

    fn can_meet_target(&self, now: TimeUs, attempt: &AttemptRecord) -> bool {
        match attempt.request.is_prefill {
            true => self.busy_until.max(now) + self.time_for(attempt.tokens()) < attempt.due_at,
            false => now < attempt.due_at,
        }
    }

    fn update_busy_until(&mut self, now: TimeUs) {
        let prefilling = self
            .attempts
            .iter()
            .filter(|attempt| attempt.step == AttemptStep::Prefilling);
        let rest_us = self.time_for(prefilling.map(AttemptRecord::tokens).sum());
        self.busy_until = self.busy_until.min(now + rest_us);
    }

    fn remove(&mut self, now: TimeUs, index: usize, failure: AgentFailure) {
        let attempt = self.attempts.remove(index);
        if attempt.is_in_engine() {
            self.cancel(attempt.id);
        }
        if attempt.step == AttemptStep::Prefilling {
            self.update_busy_until(now);
        }
        for call in attempt.calls {
            self.reply(call, ReplyBody::Failed(failure.clone()));
        }
        if let Some(stream) = attempt.stream {
            self.send(stream, StreamMessage::Failed(failure));
        }
        self.close(attempt.stream);
    }

    fn remove_where(
        &mut self,
        now: TimeUs,
        failure: AgentFailure,
        is: impl Fn(&AttemptRecord) -> bool,
    ) {
        while let Some(index) = self.attempts.iter().position(&is) {
            self.remove(now, index, failure.clone());
        }
    }

    pub(crate) fn tick(&mut self, now: TimeUs) {
        self.released.retain(|(_, expires_at)| *expires_at > now);
        // Two rounds, because a failed import can return an attempt to a reservation that has
        // already expired.
        for _ in 0..2 {
            let expiry_failure =
                |attempt: &AttemptRecord| attempt.expiry_failure(now, &self.config);
            if let Some(index) = self
                .attempts
                .iter()
                .position(|attempt| expiry_failure(attempt).is_some())
            {
                let failure =
                    expiry_failure(&self.attempts[index]).expect("the deadline has passed");
                self.remove(now, index, failure);
                return self.tick(now);
            }
            for id in self
                .attempts
                .iter()
                .map(|attempt| attempt.id)
                .collect::<Vec<_>>()
            {
                self.tick_decode(now, id);
            }
        }
        self.grant(now);
    }

    fn tick_decode(&mut self, now: TimeUs, id: AttemptId) -> Option<()> {
        let heartbeat_interval_us = self.config.heartbeat_interval_us;
        let attempt = self.find_decode(id)?;
        if attempt.step == AttemptStep::Importing && attempt.expires_at <= now {
            return self.import_failed(id);
        }
        if attempt.is_in_engine() && attempt.resume_at.is_some_and(|at| at <= now) {
            attempt.resume_at = None;
            let received_tokens = attempt.received_tokens();
            self.actions
                .push(Action::Engine(EngineCommand::ResumeDecode {
                    id,
                    received_tokens,
                }));
        }
        let attempt = self.find_decode(id)?;
        let stream = attempt
            .stream
            .filter(|_| attempt.last_sent_at + heartbeat_interval_us <= now)?;
        attempt.last_sent_at = now;
        self.send(stream, StreamMessage::Heartbeat);
        Some(())
    }

    fn grant(&mut self, now: TimeUs) {
        loop {
            let waiting = self.attempts.iter().enumerate();
            let waiting = waiting.filter(|(_, attempt)| attempt.step == AttemptStep::Waiting);
            let ranks = waiting.map(|(index, attempt)| {
                let finish_tag = self
                    .finish_tags
                    .get(&attempt.request.message.envelope.customer)
                    .copied();
                let start_tag = finish_tag.unwrap_or(0).max(self.virtual_time);
                let is_late = !self.can_meet_target(now, attempt);
                (
                    is_late,
                    255 - attempt.request.priority,
                    start_tag,
                    attempt.arrival,
                    index,
                )
            });
            let Some((_, _, start_tag, _, index)) = ranks.min() else {
                return;
            };
            let pieces = self.used_pieces() + self.attempts[index].tokens().kv_pieces().0;
            if self.used_slots() + 1 > self.config.slots.0 || pieces > self.total_pieces.0 {
                return;
            }
            self.start_granted(now, start_tag, index);
        }
    }

    fn start_granted(&mut self, now: TimeUs, start_tag: u64, index: usize) {
        let request = self.attempts[index].request.clone();
        let tokens = self.attempts[index].tokens();
        let finish_tag = start_tag + tokens.0 * 1_000 / u64::from(request.weight);
        self.virtual_time = start_tag;
        self.finish_tags
            .insert(request.message.envelope.customer, finish_tag);
        let last_contact_at = self.attempts[index].last_contact_at;
        if request.is_prefill {
            self.busy_until = self.busy_until.max(now) + self.time_for(tokens);
            self.attempts[index].expires_at = last_contact_at + DurationUs::from_ms(20_000);
            self.attempts[index].step = AttemptStep::Prefilling;
            self.actions.push(Action::Engine(EngineCommand::Prefill {
                id: request.message.envelope.id,
                target: Default::default(),
                priority: Priority(request.priority),
                prompt: "x".repeat(request.prompt_bytes),
            }));
            return;
        }
        let expires_at =
            (now + request.message.lease_us).min(last_contact_at + self.config.lease_max_us);
        self.attempts[index].expires_at = expires_at;
        self.attempts[index].step = AttemptStep::Reserved;
        for call in std::mem::take(&mut self.attempts[index].calls) {
            self.reply(call, reserved(now, expires_at));
        }
    }

    pub(crate) fn request(&mut self, now: TimeUs, request: AdmissionRequest) {
        self.tick(now);
        let call = CallRef(request.call);
        let id = request.message.envelope.id;
        if self.released.iter().any(|(other, _)| *other == id) {
            return self.reply(call, ReplyBody::Failed(AgentFailure::Cancelled));
        }
        if let Some(index) = self.find(id) {
            return self.repeat_request(now, index, &request);
        }
        self.arrivals += 1;
        let attempt = AttemptRecord {
            id,
            calls: vec![call],
            arrival: self.arrivals,
            due_at: now + request.message.due_us,
            last_contact_at: now,
            expires_at: now + request.message.wait_max_us,
            request,
            ..AttemptRecord::default()
        };
        let reason = if self.is_draining {
            RefusalReason::Draining
        } else if attempt.tokens().kv_pieces() > self.total_pieces {
            RefusalReason::TooLarge
        } else if !self.can_meet_target(now, &attempt) {
            RefusalReason::CannotMeetTarget
        } else {
            return self.admit(now, attempt);
        };
        self.reply(call, ReplyBody::Failed(refused(reason)));
    }

    fn admit(&mut self, now: TimeUs, attempt: AttemptRecord) {
        let id = attempt.id;
        let expires_at = attempt.expires_at;
        self.attempts.push(attempt);
        self.grant(now);
        let index = self.find(id).expect("the attempt was added");
        let waiting = || {
            self.attempts
                .iter()
                .filter(|attempt| attempt.step == AttemptStep::Waiting)
        };
        let prompts = waiting().filter(|attempt| attempt.request.is_prefill);
        let bytes: usize = prompts.map(|attempt| attempt.request.prompt_bytes).sum();
        let is_queue_full = waiting().count() > self.config.queue_max_count
            || bytes as u64 > self.config.queue_max_bytes.0;
        if self.attempts[index].step == AttemptStep::Waiting && expires_at <= now {
            self.remove(now, index, refused(RefusalReason::WaitEnded));
        } else if self.attempts[index].step == AttemptStep::Waiting && is_queue_full {
            self.remove(now, index, refused(RefusalReason::QueueFull));
        }
    }

    fn repeat_request(&mut self, now: TimeUs, index: usize, request: &AdmissionRequest) {
        let call = CallRef(request.call);
        let attempt = &mut self.attempts[index];
        if attempt.request.is_prefill != request.is_prefill {
            let body = ReplyBody::Failed(refused(RefusalReason::Malformed));
            return self.reply(call, body);
        }
        let body = match attempt.step {
            AttemptStep::Waiting => {
                attempt.last_contact_at = now;
                return attempt.calls.push(call);
            }
            AttemptStep::Prefilling => {
                attempt.unattended_since = None;
                attempt.expires_at = now + DurationUs::from_ms(20_000);
                return attempt.calls.push(call);
            }
            AttemptStep::Prefilled => ReplyBody::Prefilled(Prefilled {
                retained_for_us: attempt.expires_at.since(now),
                ..attempt.prefilled.clone()
            }),
            AttemptStep::Reserved => reserved(now, attempt.expires_at),
            _ => reserved(now, now),
        };
        self.reply(call, body);
    }

    pub(crate) fn release(&mut self, now: TimeUs, call: CallRef, id: AttemptId) {
        self.tick(now);
        self.remember(now, id);
        self.remove_where(now, AgentFailure::Cancelled, |attempt| attempt.id == id);
        self.reply(call, ReplyBody::Released);
        self.grant(now);
    }

    fn remember(&mut self, now: TimeUs, id: AttemptId) {
        if self.released.iter().all(|(other, _)| *other != id) {
            self.released.push((id, now + self.config.lease_max_us));
        }
    }

    pub(crate) fn call_dropped(&mut self, now: TimeUs, call: CallRef) {
        self.tick(now);
        for attempt in self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.calls.contains(&call))
        {
            attempt.calls.retain(|other| *other != call);
            attempt.unattended_since = attempt.calls.is_empty().then_some(now);
        }
        let is_left = |attempt: &AttemptRecord| {
            attempt.step == AttemptStep::Waiting && attempt.calls.is_empty()
        };
        self.attempts.retain(|attempt| !is_left(attempt));
        self.grant(now);
    }
}

fn refused(reason: RefusalReason) -> AgentFailure {
    AgentFailure::Refused(reason)
}

fn reserved(now: TimeUs, expires_at: TimeUs) -> ReplyBody {
    ReplyBody::Reserved(Reserved {
        expires_in_us: expires_at.since(now),
    })
}
