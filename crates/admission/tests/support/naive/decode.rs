//! Decode streams and engine events of the naive implementation.

use cuminlead_admission::{AdmissionAction as Action, StreamMessage, StreamRef};
use cuminlead_protocol::{
    AgentFailure, Chunk, DecodeControl, DecodeMode, DecodeOpen, DecodeStart, EngineCommand,
    EngineEvent, Prefilled, RefusalReason, ReplyBody,
};
use cuminlead_types::{AttemptId, KvPieces, Priority, SequenceNumber, TimeUs};

use super::{AttemptRecord, AttemptStep, NaiveAdmission, refused};
use crate::support::INCARNATION;

impl NaiveAdmission {
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
        let attempt = &mut self.attempts[index];
        match &open.mode {
            DecodeMode::Start(start) if attempt.step == AttemptStep::Reserved => {
                self.import(now, index, stream, start);
            }
            DecodeMode::Start(start)
                if attempt.step == AttemptStep::Importing && attempt.start.kv != start.kv =>
            {
                let replaced = attempt.stream;
                self.close(replaced);
                self.cancel(id);
                self.import(now, index, stream, start);
            }
            DecodeMode::Start(_) if attempt.is_decode() => self.attach(now, index, stream),
            DecodeMode::Resume(resume) if attempt.is_decode() => {
                let next = resume.next_sequence.0;
                if next < attempt.acknowledged || next > attempt.next_chunk_number() {
                    return Err(RefusalReason::Malformed);
                }
                attempt.acknowledged = next;
                self.attach(now, index, stream);
                self.end_if_delivered(id);
            }
            _ => return Err(RefusalReason::NoSuchLease),
        }
        Ok(())
    }

    fn import(&mut self, now: TimeUs, index: usize, stream: StreamRef, start: &DecodeStart) {
        let attempt = &mut self.attempts[index];
        attempt.step = AttemptStep::Importing;
        attempt.expires_at = now + self.config.import_timeout_us;
        attempt.last_contact_at = now;
        attempt.last_sent_at = now;
        attempt.start = start.clone();
        attempt.stream = Some(stream);
        attempt.chunks.clear();
        attempt.acknowledged = start.first_sequence.0;
        attempt.missed_inventories_count = 0;
        attempt.stream_loss_count = 0;
        attempt.resume_at = None;
        self.actions.push(Action::Engine(EngineCommand::Decode {
            id: attempt.id,
            target: Default::default(),
            priority: Priority(attempt.request.priority),
            kv: start.kv.clone(),
            output_max_tokens: start
                .output_max_tokens
                .min(attempt.request.message.output_max_tokens),
        }));
    }

    fn attach(&mut self, now: TimeUs, index: usize, stream: StreamRef) {
        let attempt = &mut self.attempts[index];
        attempt.last_contact_at = now;
        attempt.last_sent_at = now;
        let replaced = attempt.stream.replace(stream);
        let is_imported = attempt.step != AttemptStep::Importing;
        let acknowledged = attempt.acknowledged;
        let chunks = attempt.chunks.clone();
        self.close(replaced);
        if is_imported {
            self.send(stream, StreamMessage::Imported);
        }
        for chunk in chunks.into_iter().filter(|c| c.sequence.0 >= acknowledged) {
            self.send(stream, StreamMessage::Chunk(chunk));
        }
    }

    fn end_if_delivered(&mut self, id: AttemptId) {
        let index = self.find(id).expect("the attempt exists");
        let attempt = &self.attempts[index];
        if attempt.step == AttemptStep::Finished
            && attempt.acknowledged == attempt.next_chunk_number()
        {
            let stream = self.attempts.remove(index).stream;
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
        let attempt = self.find_by_stream(stream)?;
        let id = attempt.id;
        if let DecodeControl::Acknowledge(next) = control {
            attempt.last_contact_at = now;
            if next.0 <= attempt.next_chunk_number() {
                attempt.acknowledged = attempt.acknowledged.max(next.0);
            }
            self.end_if_delivered(id);
        } else {
            self.remember(now, id);
            self.remove_where(now, AgentFailure::Cancelled, |attempt| attempt.id == id);
        }
        self.grant(now);
        Some(())
    }

    pub(crate) fn closed(&mut self, now: TimeUs, stream: StreamRef) -> Option<()> {
        self.tick(now);
        let attempt = self.find_by_stream(stream)?;
        attempt.stream = None;
        if attempt.step == AttemptStep::Finished {
            attempt.last_contact_at = now;
        }
        Some(())
    }

    pub(crate) fn drain(&mut self, now: TimeUs) {
        self.tick(now);
        self.is_draining = true;
        let failure = refused(RefusalReason::Draining);
        self.remove_where(now, failure, |attempt| attempt.step == AttemptStep::Waiting);
    }

    pub(super) fn import_failed(&mut self, id: AttemptId) -> Option<()> {
        let attempt = self
            .find_decode(id)
            .filter(|attempt| attempt.step == AttemptStep::Importing)?;
        attempt.step = AttemptStep::Reserved;
        attempt.expires_at = attempt.last_contact_at + attempt.request.message.lease_us;
        let stream = attempt.stream.take();
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
                let retained_for_us = self.config.kv_retention_us;
                let done = Prefilled {
                    kv,
                    prompt_tokens,
                    cached_tokens,
                    retained_for_us,
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
                let attempt = self
                    .find_decode(id)
                    .filter(|attempt| attempt.is_in_engine())?;
                if attempt.resume_at.is_some() {
                    return None;
                }
                attempt.stream_loss_count += 1;
                if attempt.stream_loss_count > config.resumes_max_count {
                    self.remove_where(now, AgentFailure::EngineFailed, |attempt| attempt.id == id);
                    return Some(());
                }
                if attempt.stream_loss_count > 1 {
                    attempt.resume_at = Some(now + config.resume_pause_us);
                    return Some(());
                }
                let received_tokens = attempt.received_tokens();
                let command = EngineCommand::ResumeDecode {
                    id,
                    received_tokens,
                };
                self.actions.push(Action::Engine(command));
            }
            EngineEvent::SequenceFailed { id } => {
                let is_lost = |attempt: &AttemptRecord| attempt.id == id && attempt.is_in_engine();
                self.remove_where(now, AgentFailure::EngineFailed, is_lost);
            }
            EngineEvent::Inventory(inventory) => {
                self.is_engine_unresponsive = false;
                self.set_total_pieces(now, inventory.total_pieces);
                self.inventory(now, &inventory.sequences);
            }
            _ => {
                let starting = refused(RefusalReason::Starting);
                self.remove_where(now, starting, |attempt| {
                    attempt.step == AttemptStep::Waiting
                });
                if std::mem::replace(&mut self.is_engine_unresponsive, true) {
                    self.remove_where(now, AgentFailure::EngineFailed, AttemptRecord::uses_pieces);
                }
            }
        }
        Some(())
    }

    fn prefill_done(&mut self, now: TimeUs, id: AttemptId, done: Prefilled) -> Option<()> {
        let prefilling = |attempt: &&mut AttemptRecord| {
            attempt.id == id && attempt.step == AttemptStep::Prefilling
        };
        let attempt = self.attempts.iter_mut().find(prefilling)?;
        attempt.step = AttemptStep::Prefilled;
        attempt.expires_at = now + done.retained_for_us;
        attempt.prefilled = done.clone();
        for call in std::mem::take(&mut attempt.calls) {
            self.reply(call, ReplyBody::Prefilled(done.clone()));
        }
        self.update_busy_until(now);
        Some(())
    }

    fn imported(&mut self, now: TimeUs, id: AttemptId) -> Option<()> {
        let attempt = self
            .find_decode(id)
            .filter(|attempt| attempt.step == AttemptStep::Importing)?;
        attempt.step = AttemptStep::Generating;
        attempt.stream_loss_count = 0;
        let stream = attempt.stream?;
        attempt.last_sent_at = now;
        self.send(stream, StreamMessage::Imported);
        Some(())
    }

    fn generated(&mut self, now: TimeUs, first_token: u64, mut chunk: Chunk) -> Option<()> {
        let id = chunk.id;
        self.imported(now, id);
        let attempt = self
            .find_decode(id)
            .filter(|attempt| attempt.is_in_engine())?;
        if first_token > attempt.received_tokens().0 {
            self.remove_where(now, AgentFailure::EngineFailed, |attempt| attempt.id == id);
            return None;
        }
        if first_token < attempt.received_tokens().0 {
            return None;
        }
        chunk.sequence = SequenceNumber(attempt.next_chunk_number());
        attempt.chunks.push(chunk.clone());
        attempt.stream_loss_count = 0;
        if chunk.finish.is_some() {
            attempt.step = AttemptStep::Finished;
            attempt.expires_at = now;
        }
        let stream = attempt.stream?;
        attempt.last_sent_at = now;
        self.send(stream, StreamMessage::Chunk(chunk));
        Some(())
    }

    fn set_total_pieces(&mut self, now: TimeUs, total: KvPieces) {
        if total > KvPieces(0) {
            let total = total.min(self.config.pieces);
            self.total_pieces = total;
            let is = |attempt: &AttemptRecord| {
                attempt.step == AttemptStep::Waiting && attempt.tokens().kv_pieces() > total
            };
            self.remove_where(now, refused(RefusalReason::TooLarge), is);
        }
    }

    fn inventory(&mut self, now: TimeUs, listed: &[AttemptId]) {
        let held = self
            .attempts
            .iter()
            .filter(|attempt| attempt.is_in_engine());
        let held: Vec<AttemptId> = held.map(|attempt| attempt.id).collect();
        let unknown_sequences: Vec<_> = listed
            .iter()
            .filter(|id| !held.contains(id))
            .copied()
            .collect();
        for id in unknown_sequences
            .iter()
            .filter(|id| self.unknown_sequences.contains(id))
        {
            self.actions
                .push(Action::Engine(EngineCommand::Cancel { id: *id }));
        }
        self.unknown_sequences = unknown_sequences;
        for attempt in &mut self.attempts {
            let is_missing = attempt.is_in_engine() && !listed.contains(&attempt.id);
            attempt.missed_inventories_count = if is_missing {
                attempt.missed_inventories_count + 1
            } else {
                0
            };
        }
        self.remove_where(now, AgentFailure::EngineFailed, |attempt| {
            attempt.missed_inventories_count >= 2
        });
    }
}
