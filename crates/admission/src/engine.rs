//! Handlers of engine events about sequences.

use cuminlead_protocol::{AgentFailure, EngineCommand, EngineEvent, KvHandle, RefusalReason};
use cuminlead_types::{AttemptId, Slots, TimeUs, Tokens};

use crate::action::{AdmissionAction, ReleaseCause, StreamMessage};
use crate::arrival::prefilled_body;
use crate::context::Admission;
use crate::lease::{Lease, LeaseKey, LeaseState, Phase, PrefilledKv, ReservedSlot};
use crate::ledger::Capacity;
use crate::output::{Accepted, Generated};

impl Admission {
    /// The engine reported something; events about orders have no effect here.
    ///
    /// After a `Cancel`, the caller must not pass on events of the cancelled sequence: they could
    /// not be told from those of a later sequence of the same attempt.
    pub fn engine_event(
        &mut self,
        now: TimeUs,
        event: EngineEvent,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        match event {
            EngineEvent::PrefillDone {
                id,
                kv,
                prompt_tokens,
                cached_tokens,
            } => self.prefill_done(now, id, kv, prompt_tokens, cached_tokens, actions),
            EngineEvent::Imported { id } => self.imported(now, id, actions),
            EngineEvent::ImportFailed { id } => self.import_event_failed(now, id, actions),
            EngineEvent::Generated {
                id,
                first_token,
                text,
                tokens,
                finish,
            } => {
                let generated = Generated {
                    first_token,
                    text,
                    tokens,
                    finish,
                };
                self.generated(now, id, generated, actions);
            }
            EngineEvent::StreamLost { id } => self.stream_lost(now, id, actions),
            EngineEvent::SequenceFailed { id } => self.sequence_failed(now, id, actions),
            EngineEvent::Inventory(inventory) => self.inventory(now, &inventory, actions),
            EngineEvent::Unreachable => self.unreachable(now, actions),
            EngineEvent::OrderDone { .. }
            | EngineEvent::OrderFenced { .. }
            | EngineEvent::OrderFailed { .. } => {}
        }
        self.grant(now, actions);
    }

    fn prefill_done(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        kv: KvHandle,
        prompt_tokens: Tokens,
        cached_tokens: Tokens,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(lease) = self.lease_mut(id) else {
            return;
        };
        let LeaseState::Prefilling(prefilling) = &mut lease.state else {
            return;
        };
        let calls = std::mem::take(&mut prefilling.calls);
        let estimated_tokens = lease.prompt_tokens;
        // A finished prefill keeps its KV pieces and leaves the batch.
        let freed = Capacity {
            slots: lease.held.slots,
            ..Capacity::default()
        };
        lease.held.slots = Slots::ZERO;
        self.ledger.give(freed);
        self.backlog.ended(now, estimated_tokens);
        let held = PrefilledKv {
            kv,
            prompt_tokens,
            cached_tokens,
            until: now + self.config.kv_hold_us,
        };
        for call in calls {
            let body = prefilled_body(now, &held);
            actions.push(AdmissionAction::Reply { call, body });
        }
        if let Some(lease) = self.lease_mut(id) {
            lease.state = LeaseState::Prefilled(held);
        }
    }

    fn imported(&mut self, now: TimeUs, id: AttemptId, actions: &mut Vec<AdmissionAction>) {
        let Some(decoding) = self.lease_mut(id).and_then(Lease::decoding_mut) else {
            return;
        };
        if !matches!(decoding.phase, Phase::Importing { .. }) {
            return;
        }
        decoding.phase = Phase::Generating;
        decoding.progressed(now);
        if let Some(attached) = &mut decoding.attached {
            attached.sent_at = now;
            let stream = attached.stream;
            let message = StreamMessage::Imported;
            actions.push(AdmissionAction::Send { stream, message });
        }
    }

    fn import_event_failed(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if let Some(key) = self.leases.find(id) {
            self.import_failed(key, actions);
            // The lease counts from the last sign of the entry and may be over by now.
            self.expire(now, actions);
        }
    }

    /// Returns the place to reserved, so that the entry can import once more.
    pub(crate) fn import_failed(&mut self, key: LeaseKey, actions: &mut Vec<AdmissionAction>) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        let id = lease.id;
        let LeaseState::Decoding(decoding) = &lease.state else {
            return;
        };
        if !matches!(decoding.phase, Phase::Importing { .. }) {
            return;
        }
        let terms = decoding.terms;
        let attached = decoding.attached;
        let heard_at = decoding.heard_at;
        if let Some(attached) = attached {
            self.leases.detach(attached.stream);
            Self::fail_stream(attached.stream, AgentFailure::TransferFailed, actions);
        }
        actions.push(AdmissionAction::Engine(EngineCommand::Cancel { id }));
        if let Some(lease) = self.leases.get_mut(key) {
            lease.state = LeaseState::Reserved(ReservedSlot {
                terms,
                until: heard_at + terms.lease_us,
                has_failed_import: true,
            });
        }
    }

    fn generated(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        generated: Generated,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.imported(now, id, actions);
        let Some(key) = self.leases.find(id) else {
            return;
        };
        let lease = self.leases.get_mut(key);
        let Some(decoding) = lease.and_then(Lease::decoding_mut) else {
            return;
        };
        let chunk = match decoding.output.accept(generated) {
            Accepted::Chunk(chunk) => chunk,
            Accepted::Repeat => return,
            Accepted::OutOfOrder => {
                self.free(now, key, ReleaseCause::EngineFailed, actions);
                return;
            }
        };
        decoding.progressed(now);
        if let Some(attached) = &mut decoding.attached {
            attached.sent_at = now;
            let stream = attached.stream;
            let message = StreamMessage::Chunk(chunk);
            actions.push(AdmissionAction::Send { stream, message });
        }
        if decoding.output.is_complete() {
            self.finish(now, key);
        }
    }

    /// Frees the engine's memory; the output stays until it is acknowledged.
    fn finish(&mut self, now: TimeUs, key: LeaseKey) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        let held = std::mem::take(&mut lease.held);
        if let Some(decoding) = lease.decoding_mut() {
            decoding.phase = Phase::Finished { at: now };
            decoding.resume_at = None;
        }
        self.ledger.give(held);
    }

    /// Resumes the engine's stream.
    ///
    /// An engine that ends every stream at once would be asked again without end, so further
    /// resumptions without progress wait, and their number is limited.
    fn stream_lost(&mut self, now: TimeUs, id: AttemptId, actions: &mut Vec<AdmissionAction>) {
        let resumes_max_count = self.config.resumes_max_count;
        let resume_at = now + self.config.resume_pause_us;
        let Some(key) = self.leases.find(id) else {
            return;
        };
        let lease = self.leases.get_mut(key);
        let Some(decoding) = lease.and_then(Lease::decoding_mut) else {
            return;
        };
        if !decoding.is_in_engine() || decoding.resume_at.is_some() {
            return;
        }
        decoding.lost_count += 1;
        if decoding.lost_count > resumes_max_count {
            self.free(now, key, ReleaseCause::EngineFailed, actions);
        } else if decoding.lost_count == 1 {
            self.resume_stream(key, actions);
        } else {
            decoding.resume_at = Some(resume_at);
        }
    }

    pub(crate) fn resume_stream(&mut self, key: LeaseKey, actions: &mut Vec<AdmissionAction>) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        let id = lease.id;
        if let Some(decoding) = lease.decoding_mut() {
            decoding.resume_at = None;
            let received_tokens = decoding.output.received_tokens();
            actions.push(AdmissionAction::Engine(EngineCommand::ResumeDecode {
                id,
                received_tokens,
            }));
        }
    }

    fn sequence_failed(&mut self, now: TimeUs, id: AttemptId, actions: &mut Vec<AdmissionAction>) {
        let Some(key) = self.leases.find(id) else {
            return;
        };
        if self.leases.get(key).is_some_and(Lease::is_in_engine) {
            self.free(now, key, ReleaseCause::EngineFailed, actions);
        }
    }

    /// Refuses what waits, and fails what is held when the engine did not answer twice in a row.
    ///
    /// One reading of the inventory can get lost while the engine works on, and failing a full
    /// engine would waste some twenty prefills. An engine that has ended fails its sequences one
    /// by one, without this. Finished answers are still delivered.
    fn unreachable(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.refuse_all_waiting(RefusalReason::Starting, actions);
        let was_silent = std::mem::replace(&mut self.is_engine_silent, true);
        if !was_silent {
            return;
        }
        let keys: Vec<LeaseKey> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.held != Capacity::default())
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.free(now, key, ReleaseCause::EngineFailed, actions);
        }
    }

    fn lease_mut(&mut self, id: AttemptId) -> Option<&mut Lease> {
        let key = self.leases.find(id)?;
        self.leases.get_mut(key)
    }
}
