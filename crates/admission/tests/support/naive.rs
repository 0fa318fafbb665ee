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

/// Request for a place; one for a prefill has no output.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ask {
    pub(crate) call: u64,
    pub(crate) is_prefill: bool,
    /// Length of the prompt of a prefill.
    pub(crate) prompt_bytes: usize,
    pub(crate) priority: u8,
    pub(crate) weight: u32,
    pub(crate) message: Reserve,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Step {
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
struct Item {
    ask: Ask,
    id: AttemptId,
    step: Step,
    calls: Vec<CallRef>,
    arrival: u64,
    due: TimeUs,
    heard: TimeUs,
    until: TimeUs,
    alone: Option<TimeUs>,
    prefilled: Prefilled,
    start: DecodeStart,
    stream: Option<StreamRef>,
    sent: TimeUs,
    chunks: Vec<Chunk>,
    acknowledged: u64,
    misses: u32,
    losses: u32,
    resume_at: Option<TimeUs>,
}

impl Item {
    fn tokens(&self) -> Tokens {
        self.ask.message.prompt_tokens + self.ask.message.output_max_tokens
    }

    fn is_decode(&self) -> bool {
        matches!(
            self.step,
            Step::Importing | Step::Generating | Step::Finished
        )
    }

    fn in_engine(&self) -> bool {
        self.holds_pieces() && self.step != Step::Reserved
    }

    fn holds_pieces(&self) -> bool {
        !matches!(self.step, Step::Waiting | Step::Finished)
    }

    fn holds_slot(&self) -> bool {
        self.holds_pieces() && self.step != Step::Prefilled
    }

    fn made(&self) -> u64 {
        self.start.first_sequence.0 + self.chunks.len() as u64
    }

    fn received(&self) -> Tokens {
        self.chunks.iter().map(|chunk| chunk.tokens).sum()
    }

    /// Failure with which the attempt ends by the passing of time.
    fn ended(&self, now: TimeUs, config: &AdmissionConfig) -> Option<AgentFailure> {
        let is_alone = self.alone.is_some_and(|at| at + config.orphan_us <= now);
        let is_silent = self.heard + config.orphan_us <= now;
        let is_over = self.until <= now;
        match self.step {
            Step::Waiting => is_over.then_some(refused(RefusalReason::WaitEnded)),
            Step::Prefilling if is_over => Some(AgentFailure::EngineFailed),
            Step::Prefilling => is_alone.then_some(AgentFailure::Cancelled),
            Step::Prefilled | Step::Reserved => is_over.then_some(AgentFailure::Cancelled),
            Step::Importing | Step::Generating => is_silent.then_some(AgentFailure::Cancelled),
            Step::Finished => {
                let until = self.until.max(self.heard) + config.answer_hold_us;
                (until <= now).then_some(AgentFailure::Cancelled)
            }
        }
    }
}

#[derive(Default)]
pub(crate) struct Naive {
    config: AdmissionConfig,
    items: Vec<Item>,
    released: Vec<(AttemptId, TimeUs)>,
    clocks: BTreeMap<CustomerId, u64>,
    present: u64,
    busy_until: TimeUs,
    arrivals: u64,
    draining: bool,
    silent: bool,
    total_pieces: KvPieces,
    unknown: Vec<AttemptId>,
    pub(crate) out: Vec<Action>,
}

impl Naive {
    pub(crate) fn new(config: AdmissionConfig) -> Self {
        Self {
            total_pieces: config.pieces,
            config,
            ..Self::default()
        }
    }

    pub(crate) fn used_slots(&self) -> u32 {
        self.items.iter().map(|i| u32::from(i.holds_slot())).sum()
    }

    pub(crate) fn used_pieces(&self) -> u32 {
        let holding = self.items.iter().filter(|i| i.holds_pieces());
        holding.map(|i| i.tokens().kv_pieces().0).sum()
    }

    fn reply(&mut self, call: CallRef, body: ReplyBody) {
        self.out.push(Action::Reply { call, body });
    }

    fn send(&mut self, stream: StreamRef, message: StreamMessage) {
        self.out.push(Action::Send { stream, message });
    }

    fn close(&mut self, stream: Option<StreamRef>) {
        self.out
            .extend(stream.map(|stream| Action::CloseStream { stream }));
    }

    fn cancel(&mut self, id: AttemptId) {
        self.out.push(Action::Engine(EngineCommand::Cancel { id }));
    }

    fn find(&self, id: AttemptId) -> Option<usize> {
        self.items.iter().position(|i| i.id == id)
    }

    fn decode(&mut self, id: AttemptId) -> Option<&mut Item> {
        self.items.iter_mut().find(|i| i.id == id && i.is_decode())
    }

    fn on_stream(&mut self, stream: StreamRef) -> Option<&mut Item> {
        self.items.iter_mut().find(|i| i.stream == Some(stream))
    }

    fn time_for(&self, tokens: Tokens) -> DurationUs {
        self.config.prefill_rate.time_for(tokens)
    }

    fn in_time(&self, now: TimeUs, item: &Item) -> bool {
        match item.ask.is_prefill {
            true => self.busy_until.max(now) + self.time_for(item.tokens()) < item.due,
            false => now < item.due,
        }
    }

    fn prefill_over(&mut self, now: TimeUs) {
        let running = self.items.iter().filter(|i| i.step == Step::Prefilling);
        let rest_us = self.time_for(running.map(Item::tokens).sum());
        self.busy_until = self.busy_until.min(now + rest_us);
    }

    fn remove(&mut self, now: TimeUs, index: usize, failure: AgentFailure) {
        let item = self.items.remove(index);
        if item.in_engine() {
            self.cancel(item.id);
        }
        if item.step == Step::Prefilling {
            self.prefill_over(now);
        }
        for call in item.calls {
            self.reply(call, ReplyBody::Failed(failure.clone()));
        }
        if let Some(stream) = item.stream {
            self.send(stream, StreamMessage::Failed(failure));
        }
        self.close(item.stream);
    }

    fn remove_where(&mut self, now: TimeUs, failure: AgentFailure, is: impl Fn(&Item) -> bool) {
        while let Some(index) = self.items.iter().position(&is) {
            self.remove(now, index, failure.clone());
        }
    }

    pub(crate) fn tick(&mut self, now: TimeUs) {
        self.released.retain(|(_, until)| *until > now);
        // A reservation can be over as soon as an import into it has failed: hence two rounds.
        for _ in 0..2 {
            let ended = |i: &Item| i.ended(now, &self.config);
            if let Some(index) = self.items.iter().position(|i| ended(i).is_some()) {
                let failure = ended(&self.items[index]).expect("has ended");
                self.remove(now, index, failure);
                return self.tick(now);
            }
            for id in self.items.iter().map(|i| i.id).collect::<Vec<_>>() {
                self.tick_decode(now, id);
            }
        }
        self.grant(now);
    }

    fn tick_decode(&mut self, now: TimeUs, id: AttemptId) -> Option<()> {
        let heartbeat_us = self.config.heartbeat_us;
        let item = self.decode(id)?;
        if item.step == Step::Importing && item.until <= now {
            return self.import_failed(id);
        }
        if item.in_engine() && item.resume_at.is_some_and(|at| at <= now) {
            item.resume_at = None;
            let received_tokens = item.received();
            self.out.push(Action::Engine(EngineCommand::ResumeDecode {
                id,
                received_tokens,
            }));
        }
        let item = self.decode(id)?;
        let stream = item.stream.filter(|_| item.sent + heartbeat_us <= now)?;
        item.sent = now;
        self.send(stream, StreamMessage::Heartbeat);
        Some(())
    }

    fn grant(&mut self, now: TimeUs) {
        loop {
            let waiting = self.items.iter().enumerate();
            let waiting = waiting.filter(|(_, i)| i.step == Step::Waiting);
            let ranks = waiting.map(|(index, item)| {
                let clock = self
                    .clocks
                    .get(&item.ask.message.envelope.customer)
                    .copied();
                let begin = clock.unwrap_or(0).max(self.present);
                let is_late = !self.in_time(now, item);
                (is_late, 255 - item.ask.priority, begin, item.arrival, index)
            });
            let Some((_, _, begin, _, index)) = ranks.min() else {
                return;
            };
            let pieces = self.used_pieces() + self.items[index].tokens().kv_pieces().0;
            if self.used_slots() + 1 > self.config.slots.0 || pieces > self.total_pieces.0 {
                return;
            }
            self.place(now, begin, index);
        }
    }

    fn place(&mut self, now: TimeUs, begin: u64, index: usize) {
        let ask = self.items[index].ask.clone();
        let tokens = self.items[index].tokens();
        let clock = begin + tokens.0 * 1_000 / u64::from(ask.weight);
        self.present = begin;
        self.clocks.insert(ask.message.envelope.customer, clock);
        let heard = self.items[index].heard;
        if ask.is_prefill {
            self.busy_until = self.busy_until.max(now) + self.time_for(tokens);
            self.items[index].until = heard + DurationUs::from_ms(20_000);
            self.items[index].step = Step::Prefilling;
            self.out.push(Action::Engine(EngineCommand::Prefill {
                id: ask.message.envelope.id,
                target: Default::default(),
                priority: Priority(ask.priority),
                prompt: "x".repeat(ask.prompt_bytes),
            }));
            return;
        }
        let until = (now + ask.message.lease_us).min(heard + self.config.lease_max_us);
        self.items[index].until = until;
        self.items[index].step = Step::Reserved;
        for call in std::mem::take(&mut self.items[index].calls) {
            self.reply(call, reserved(now, until));
        }
    }

    pub(crate) fn ask(&mut self, now: TimeUs, ask: Ask) {
        self.tick(now);
        let call = CallRef(ask.call);
        let id = ask.message.envelope.id;
        if self.released.iter().any(|(other, _)| *other == id) {
            return self.reply(call, ReplyBody::Failed(AgentFailure::Cancelled));
        }
        if let Some(index) = self.find(id) {
            return self.ask_again(now, index, &ask);
        }
        self.arrivals += 1;
        let item = Item {
            id,
            calls: vec![call],
            arrival: self.arrivals,
            due: now + ask.message.due_us,
            heard: now,
            until: now + ask.message.wait_max_us,
            ask,
            ..Item::default()
        };
        let reason = if self.draining {
            RefusalReason::Draining
        } else if item.tokens().kv_pieces() > self.total_pieces {
            RefusalReason::TooLarge
        } else if !self.in_time(now, &item) {
            RefusalReason::CannotMeetTarget
        } else {
            return self.enter(now, item);
        };
        self.reply(call, ReplyBody::Failed(refused(reason)));
    }

    fn enter(&mut self, now: TimeUs, item: Item) {
        let id = item.id;
        let until = item.until;
        self.items.push(item);
        self.grant(now);
        let index = self.find(id).expect("was added");
        let waiting = || self.items.iter().filter(|i| i.step == Step::Waiting);
        let prompts = waiting().filter(|i| i.ask.is_prefill);
        let bytes: usize = prompts.map(|i| i.ask.prompt_bytes).sum();
        let is_full = waiting().count() > self.config.queue_max_count
            || bytes as u64 > self.config.queue_max_bytes.0;
        if self.items[index].step == Step::Waiting && until <= now {
            self.remove(now, index, refused(RefusalReason::WaitEnded));
        } else if self.items[index].step == Step::Waiting && is_full {
            self.remove(now, index, refused(RefusalReason::QueueFull));
        }
    }

    fn ask_again(&mut self, now: TimeUs, index: usize, ask: &Ask) {
        let call = CallRef(ask.call);
        let item = &mut self.items[index];
        if item.ask.is_prefill != ask.is_prefill {
            let body = ReplyBody::Failed(refused(RefusalReason::Malformed));
            return self.reply(call, body);
        }
        let body = match item.step {
            Step::Waiting => {
                item.heard = now;
                return item.calls.push(call);
            }
            Step::Prefilling => {
                item.alone = None;
                item.until = now + DurationUs::from_ms(20_000);
                return item.calls.push(call);
            }
            Step::Prefilled => ReplyBody::Prefilled(Prefilled {
                held_for_us: item.until.since(now),
                ..item.prefilled.clone()
            }),
            Step::Reserved => reserved(now, item.until),
            _ => reserved(now, now),
        };
        self.reply(call, body);
    }

    pub(crate) fn release(&mut self, now: TimeUs, call: CallRef, id: AttemptId) {
        self.tick(now);
        self.remember(now, id);
        self.remove_where(now, AgentFailure::Cancelled, |i| i.id == id);
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
        for item in self.items.iter_mut().filter(|i| i.calls.contains(&call)) {
            item.calls.retain(|other| *other != call);
            item.alone = item.calls.is_empty().then_some(now);
        }
        let is_left = |i: &Item| i.step == Step::Waiting && i.calls.is_empty();
        self.items.retain(|i| !is_left(i));
        self.grant(now);
    }
}

fn refused(reason: RefusalReason) -> AgentFailure {
    AgentFailure::Refused(reason)
}

fn reserved(now: TimeUs, until: TimeUs) -> ReplyBody {
    ReplyBody::Reserved(Reserved {
        expires_in_us: until.since(now),
    })
}
