//! Decode streams and engine events of the naive implementation.

use cuminlead_admission::{AdmissionAction as Action, StreamMessage, StreamRef};
use cuminlead_protocol::{
    AgentFailure, Chunk, DecodeControl, DecodeMode, DecodeOpen, DecodeStart, EngineCommand,
    EngineEvent, Prefilled, RefusalReason, ReplyBody,
};
use cuminlead_types::{AttemptId, KvPieces, Priority, SequenceNumber, TimeUs};

use super::{Item, Naive, Step, refused};
use crate::support::INCARNATION;

impl Naive {
    pub(crate) fn open(&mut self, now: TimeUs, stream: StreamRef, open: &DecodeOpen) {
        self.tick(now);
        if let Err(reason) = self.try_open(now, stream, open) {
            self.send(stream, StreamMessage::Failed(refused(reason)));
            self.close(Some(stream));
        }
        self.grant(now);
    }

    fn try_open(
        &mut self,
        now: TimeUs,
        stream: StreamRef,
        open: &DecodeOpen,
    ) -> Result<(), RefusalReason> {
        let id = open.envelope.id;
        let index = self.find(id).ok_or(RefusalReason::NoSuchLease)?;
        let item = &mut self.items[index];
        match &open.mode {
            DecodeMode::Start(start) if item.step == Step::Reserved => {
                self.import(now, index, stream, start);
            }
            DecodeMode::Start(start)
                if item.step == Step::Importing && item.start.kv != start.kv =>
            {
                let replaced = item.stream;
                self.close(replaced);
                self.cancel(id);
                self.import(now, index, stream, start);
            }
            DecodeMode::Start(_) if item.is_decode() => self.attach(now, index, stream),
            DecodeMode::Resume(resume) if item.is_decode() => {
                let next = resume.next_sequence.0;
                if next < item.acknowledged || next > item.made() {
                    return Err(RefusalReason::Malformed);
                }
                item.acknowledged = next;
                self.attach(now, index, stream);
                self.end_if_delivered(id);
            }
            _ => return Err(RefusalReason::NoSuchLease),
        }
        Ok(())
    }

    fn import(&mut self, now: TimeUs, index: usize, stream: StreamRef, start: &DecodeStart) {
        let item = &mut self.items[index];
        item.step = Step::Importing;
        item.until = now + self.config.import_timeout_us;
        item.heard = now;
        item.sent = now;
        item.start = start.clone();
        item.stream = Some(stream);
        item.chunks.clear();
        item.acknowledged = start.first_sequence.0;
        item.misses = 0;
        item.losses = 0;
        item.resume_at = None;
        self.out.push(Action::Engine(EngineCommand::Decode {
            id: item.id,
            target: Default::default(),
            priority: Priority(item.ask.priority),
            kv: start.kv.clone(),
            output_max_tokens: start
                .output_max_tokens
                .min(item.ask.message.output_max_tokens),
        }));
    }

    fn attach(&mut self, now: TimeUs, index: usize, stream: StreamRef) {
        let item = &mut self.items[index];
        item.heard = now;
        item.sent = now;
        let replaced = item.stream.replace(stream);
        let is_imported = item.step != Step::Importing;
        let acknowledged = item.acknowledged;
        let chunks = item.chunks.clone();
        self.close(replaced);
        if is_imported {
            self.send(stream, StreamMessage::Imported);
        }
        for chunk in chunks.into_iter().filter(|c| c.sequence.0 >= acknowledged) {
            self.send(stream, StreamMessage::Chunk(chunk));
        }
    }

    fn end_if_delivered(&mut self, id: AttemptId) {
        let index = self.find(id).expect("is held");
        let item = &self.items[index];
        if item.step == Step::Finished && item.acknowledged == item.made() {
            let stream = self.items.remove(index).stream;
            self.close(stream);
        }
    }

    pub(crate) fn control(
        &mut self,
        now: TimeUs,
        stream: StreamRef,
        control: DecodeControl,
    ) -> Option<()> {
        self.tick(now);
        let item = self.on_stream(stream)?;
        let id = item.id;
        if let DecodeControl::Acknowledge(next) = control {
            item.heard = now;
            if next.0 <= item.made() {
                item.acknowledged = item.acknowledged.max(next.0);
            }
            self.end_if_delivered(id);
        } else {
            self.remember(now, id);
            self.remove_where(now, AgentFailure::Cancelled, |i| i.id == id);
        }
        self.grant(now);
        Some(())
    }

    pub(crate) fn closed(&mut self, now: TimeUs, stream: StreamRef) -> Option<()> {
        self.tick(now);
        let item = self.on_stream(stream)?;
        item.stream = None;
        if item.step == Step::Finished {
            item.heard = now;
        }
        Some(())
    }

    pub(crate) fn drain(&mut self, now: TimeUs) {
        self.tick(now);
        self.draining = true;
        let failure = refused(RefusalReason::Draining);
        self.remove_where(now, failure, |i| i.step == Step::Waiting);
    }

    pub(super) fn import_failed(&mut self, id: AttemptId) -> Option<()> {
        let item = self.decode(id).filter(|i| i.step == Step::Importing)?;
        item.step = Step::Reserved;
        item.until = item.heard + item.ask.message.lease_us;
        let stream = item.stream.take();
        self.cancel(id);
        if let Some(stream) = stream {
            self.send(stream, StreamMessage::Failed(AgentFailure::TransferFailed));
        }
        self.close(stream);
        Some(())
    }

    pub(crate) fn engine(&mut self, now: TimeUs, event: EngineEvent) {
        self.tick(now);
        self.engine_event(now, event);
        self.grant(now);
    }

    fn engine_event(&mut self, now: TimeUs, event: EngineEvent) -> Option<()> {
        match event {
            EngineEvent::PrefillDone {
                id,
                kv,
                prompt_tokens,
                cached_tokens,
            } => {
                let held_for_us = self.config.kv_hold_us;
                let done = Prefilled {
                    kv,
                    prompt_tokens,
                    cached_tokens,
                    held_for_us,
                };
                return self.prefill_done(now, id, done);
            }
            EngineEvent::Imported { id } => return self.imported(now, id),
            EngineEvent::ImportFailed { id } => {
                self.import_failed(id);
                self.tick(now);
            }
            EngineEvent::Generated {
                id,
                first_token,
                text,
                tokens,
                finish,
            } => {
                let (incarnation, sequence) = (INCARNATION, SequenceNumber(0));
                let chunk = Chunk {
                    id,
                    incarnation,
                    sequence,
                    text,
                    tokens,
                    finish,
                };
                return self.generated(now, first_token, chunk);
            }
            EngineEvent::StreamLost { id } => {
                let config = self.config.clone();
                let item = self.decode(id).filter(|i| i.in_engine())?;
                if item.resume_at.is_some() {
                    return None;
                }
                item.losses += 1;
                if item.losses > config.resumes_max_count {
                    self.remove_where(now, AgentFailure::EngineFailed, |i| i.id == id);
                    return Some(());
                }
                if item.losses > 1 {
                    item.resume_at = Some(now + config.resume_pause_us);
                    return Some(());
                }
                let received_tokens = item.received();
                let command = EngineCommand::ResumeDecode {
                    id,
                    received_tokens,
                };
                self.out.push(Action::Engine(command));
            }
            EngineEvent::SequenceFailed { id } => {
                let is_lost = |i: &Item| i.id == id && i.in_engine();
                self.remove_where(now, AgentFailure::EngineFailed, is_lost);
            }
            EngineEvent::Inventory(inventory) => {
                self.silent = false;
                self.shrink(now, inventory.total_pieces);
                self.inventory(now, &inventory.sequences);
            }
            _ => {
                let starting = refused(RefusalReason::Starting);
                self.remove_where(now, starting, |i| i.step == Step::Waiting);
                if std::mem::replace(&mut self.silent, true) {
                    self.remove_where(now, AgentFailure::EngineFailed, Item::holds_pieces);
                }
            }
        }
        Some(())
    }

    fn prefill_done(&mut self, now: TimeUs, id: AttemptId, done: Prefilled) -> Option<()> {
        let running = |i: &&mut Item| i.id == id && i.step == Step::Prefilling;
        let item = self.items.iter_mut().find(running)?;
        item.step = Step::Prefilled;
        item.until = now + done.held_for_us;
        item.prefilled = done.clone();
        for call in std::mem::take(&mut item.calls) {
            self.reply(call, ReplyBody::Prefilled(done.clone()));
        }
        self.prefill_over(now);
        Some(())
    }

    fn imported(&mut self, now: TimeUs, id: AttemptId) -> Option<()> {
        let item = self.decode(id).filter(|i| i.step == Step::Importing)?;
        item.step = Step::Generating;
        item.losses = 0;
        let stream = item.stream?;
        item.sent = now;
        self.send(stream, StreamMessage::Imported);
        Some(())
    }

    fn generated(&mut self, now: TimeUs, first_token: u64, mut chunk: Chunk) -> Option<()> {
        let id = chunk.id;
        self.imported(now, id);
        let item = self.decode(id).filter(|i| i.in_engine())?;
        if first_token > item.received().0 {
            self.remove_where(now, AgentFailure::EngineFailed, |i| i.id == id);
            return None;
        }
        if first_token < item.received().0 {
            return None;
        }
        chunk.sequence = SequenceNumber(item.made());
        item.chunks.push(chunk.clone());
        item.losses = 0;
        if chunk.finish.is_some() {
            item.step = Step::Finished;
            item.until = now;
        }
        let stream = item.stream?;
        item.sent = now;
        self.send(stream, StreamMessage::Chunk(chunk));
        Some(())
    }

    fn shrink(&mut self, now: TimeUs, total: KvPieces) {
        if total > KvPieces(0) {
            let total = total.min(self.config.pieces);
            self.total_pieces = total;
            let is = |i: &Item| i.step == Step::Waiting && i.tokens().kv_pieces() > total;
            self.remove_where(now, refused(RefusalReason::TooLarge), is);
        }
    }

    fn inventory(&mut self, now: TimeUs, listed: &[AttemptId]) {
        let held = self.items.iter().filter(|i| i.in_engine());
        let held: Vec<AttemptId> = held.map(|i| i.id).collect();
        let unknown: Vec<_> = listed
            .iter()
            .filter(|id| !held.contains(id))
            .copied()
            .collect();
        for id in unknown.iter().filter(|id| self.unknown.contains(id)) {
            self.out
                .push(Action::Engine(EngineCommand::Cancel { id: *id }));
        }
        self.unknown = unknown;
        for item in &mut self.items {
            let is_missing = item.in_engine() && !listed.contains(&item.id);
            item.misses = if is_missing { item.misses + 1 } else { 0 };
        }
        self.remove_where(now, AgentFailure::EngineFailed, |i| i.misses >= 2);
    }
}
