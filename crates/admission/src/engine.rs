//! Handlers of engine events about sequences.

use cuminlead_protocol::{AgentFailure, EngineCommand, EngineEvent, KvHandle, RefusalReason};
use cuminlead_types::{AttemptId, Slots, TimeUs, Tokens};

use crate::action::{AdmissionAction, ReleaseCause, StreamMessage};
use crate::arrival::prefilled_body;
use crate::capacity::Capacity;
use crate::context::Admission;
use crate::lease::{DecodePhase, Lease, LeaseKey, LeaseState, PrefilledKv, ReservedSlot};
use crate::output::{AcceptOutcome, Generated};

impl Admission {
    /// Handles an event from the engine; events about engine orders have no effect.
    ///
    /// After a `Cancel`, the caller must not forward events of the cancelled sequence, because they
    /// cannot be distinguished from those of a later sequence of the same attempt.
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
        // A finished prefill leaves the batch but keeps its KV pieces allocated.
        let freed = Capacity {
            slots: lease.allocated.slots,
            ..Capacity::default()
        };
        lease.allocated.slots = Slots::ZERO;
        self.capacity.release(freed);
        self.backlog.remove_prompt(now, estimated_tokens);
        let prefilled = PrefilledKv {
            kv,
            prompt_tokens,
            cached_tokens,
            expires_at: now + self.config.kv_retention_us,
        };
        for call in calls {
            let body = prefilled_body(now, &prefilled);
            actions.push(AdmissionAction::Reply { call, body });
        }
        if let Some(lease) = self.lease_mut(id) {
            lease.state = LeaseState::Prefilled(prefilled);
        }
    }

    fn imported(&mut self, now: TimeUs, id: AttemptId, actions: &mut Vec<AdmissionAction>) {
        let Some(decoding) = self.lease_mut(id).and_then(Lease::decoding_mut) else {
            return;
        };
        if !matches!(decoding.phase, DecodePhase::Importing { .. }) {
            return;
        }
        decoding.phase = DecodePhase::Generating;
        decoding.record_progress(now);
        if let Some(attached) = &mut decoding.attached {
            attached.last_sent_at = now;
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
            // The lease runs from the last contact with the entry and may have expired.
            self.expire(now, actions);
        }
    }

    /// Returns the lease to the reserved state, so that the entry can retry the import.
    pub(crate) fn import_failed(&mut self, key: LeaseKey, actions: &mut Vec<AdmissionAction>) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        let id = lease.id;
        let LeaseState::Decoding(decoding) = &lease.state else {
            return;
        };
        if !matches!(decoding.phase, DecodePhase::Importing { .. }) {
            return;
        }
        let limits = decoding.limits;
        let attached = decoding.attached;
        let last_contact_at = decoding.last_contact_at;
        if let Some(attached) = attached {
            self.leases.detach(attached.stream);
            Self::fail_stream(attached.stream, AgentFailure::TransferFailed, actions);
        }
        actions.push(AdmissionAction::Engine(EngineCommand::Cancel { id }));
        if let Some(lease) = self.leases.get_mut(key) {
            lease.state = LeaseState::Reserved(ReservedSlot {
                limits,
                expires_at: last_contact_at + limits.lease_us,
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
            AcceptOutcome::Chunk(chunk) => chunk,
            AcceptOutcome::Duplicate => return,
            AcceptOutcome::OutOfOrder => {
                self.release_lease(now, key, ReleaseCause::EngineFailed, actions);
                return;
            }
        };
        decoding.record_progress(now);
        decoding.first_token_at.get_or_insert(now);
        if let Some(attached) = &mut decoding.attached {
            attached.last_sent_at = now;
            let stream = attached.stream;
            let message = StreamMessage::Chunk(chunk);
            actions.push(AdmissionAction::Send { stream, message });
        }
        if decoding.output.is_complete() {
            self.finish(now, key);
        }
    }

    /// Releases the engine's capacity; the output is retained until it is acknowledged.
    fn finish(&mut self, now: TimeUs, key: LeaseKey) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        let allocated = std::mem::take(&mut lease.allocated);
        if let Some(decoding) = lease.decoding_mut() {
            decoding.phase = DecodePhase::Finished { at: now };
            decoding.resume_at = None;
        }
        self.capacity.release(allocated);
    }

    /// Resumes the engine's stream.
    ///
    /// An engine that closes every stream immediately would be queried without end. After the first
    /// resumption without progress, further ones are therefore delayed and limited in number.
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
        decoding.stream_loss_count += 1;
        if decoding.stream_loss_count > resumes_max_count {
            self.release_lease(now, key, ReleaseCause::EngineFailed, actions);
        } else if decoding.stream_loss_count == 1 {
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
            self.release_lease(now, key, ReleaseCause::EngineFailed, actions);
        }
    }

    /// Refuses queued requests, and fails all leases in the engine after two consecutive failures.
    ///
    /// A single inventory query can fail while the engine keeps running, and failing all leases of
    /// a full engine would discard about twenty prefills. If the engine process has ended, its
    /// sequences fail one by one without this. Complete outputs are still delivered.
    fn unreachable(&mut self, now: TimeUs, actions: &mut Vec<AdmissionAction>) {
        self.refuse_all_waiting(RefusalReason::Starting, actions);
        let was_unresponsive = std::mem::replace(&mut self.is_engine_unresponsive, true);
        if !was_unresponsive {
            return;
        }
        let keys: Vec<LeaseKey> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.allocated != Capacity::default())
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.release_lease(now, key, ReleaseCause::EngineFailed, actions);
        }
    }

    fn lease_mut(&mut self, id: AttemptId) -> Option<&mut Lease> {
        let key = self.leases.find(id)?;
        self.leases.get_mut(key)
    }
}
