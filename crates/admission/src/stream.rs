//! Decode streams: start, resumption, acknowledgement and cancellation.

use cuminlead_protocol::{
    AgentFailure, DecodeControl, DecodeMode, DecodeOpen, DecodeResume, DecodeStart, EngineCommand,
    RefusalReason,
};
use cuminlead_types::{SequenceNumber, TimeUs};

use crate::action::{AdmissionAction, ReleaseCause, StreamMessage, StreamRef};
use crate::context::Admission;
use crate::lease::{DecodePhase, Decoding, Lease, LeaseKey, LeaseState, ReservationLimits};
use crate::output::OutputBuffer;

impl Admission {
    /// Handles a new decode stream, which starts a decode or resumes its delivery.
    pub fn stream_opened(
        &mut self,
        now: TimeUs,
        stream: StreamRef,
        open: DecodeOpen,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        let opened = self.find_owned_lease(&open).map_or_else(
            || Err(RefusalReason::NoSuchLease),
            |key| match &open.mode {
                DecodeMode::Start(start) => self.start_or_attach(now, key, stream, start, actions),
                DecodeMode::Resume(resume) => self.resume(now, key, stream, resume, actions),
            },
        );
        if let Err(reason) = opened {
            Self::refuse(
                open.envelope.id,
                &open.envelope.customer,
                &[],
                reason,
                actions,
            );
            Self::fail_stream(stream, AgentFailure::Refused(reason), actions);
        }
        self.grant(now, actions);
    }

    /// Handles a message on a decode stream; ignored if the stream is no longer attached.
    pub fn stream_control(
        &mut self,
        now: TimeUs,
        stream: StreamRef,
        control: DecodeControl,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        let Some(key) = self.leases.find_stream(stream) else {
            return;
        };
        match control {
            DecodeControl::Acknowledge(next) => self.acknowledge(now, key, next, actions),
            DecodeControl::Cancel => {
                if let Some(lease) = self.leases.get(key) {
                    self.released.insert(now, lease.id);
                }
                self.release_lease(now, key, ReleaseCause::Released, actions);
            }
        }
        self.grant(now, actions);
    }

    /// Handles a closed decode stream; the entry may resume with a new one.
    pub fn stream_closed(
        &mut self,
        now: TimeUs,
        stream: StreamRef,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.advance(now, actions);
        let Some(key) = self.leases.detach(stream) else {
            return;
        };
        let lease = self.leases.get_mut(key);
        let Some(decoding) = lease.and_then(Lease::decoding_mut) else {
            return;
        };
        if !decoding.is_in_engine() {
            decoding.last_contact_at = now;
        }
    }

    fn find_owned_lease(&self, open: &DecodeOpen) -> Option<LeaseKey> {
        let key = self.leases.find(open.envelope.id)?;
        let lease = self.leases.get(key)?;
        (lease.owner == open.envelope.entry).then_some(key)
    }

    fn start_or_attach(
        &mut self,
        now: TimeUs,
        key: LeaseKey,
        stream: StreamRef,
        start: &DecodeStart,
        actions: &mut Vec<AdmissionAction>,
    ) -> Result<(), RefusalReason> {
        let lease = self.leases.get(key).ok_or(RefusalReason::NoSuchLease)?;
        let attempt_id = lease.id;
        match &lease.state {
            LeaseState::Reserved(reserved) => {
                let limits = reserved.limits;
                self.start_import(now, key, stream, start, limits, actions);
            }
            LeaseState::Decoding(decoding) => {
                let is_new_import = matches!(decoding.phase, DecodePhase::Importing { .. })
                    && decoding.kv != start.kv;
                let limits = decoding.limits;
                if is_new_import {
                    self.close_attached_stream(key, actions);
                    let id = attempt_id;
                    actions.push(AdmissionAction::Engine(EngineCommand::Cancel { id }));
                    self.start_import(now, key, stream, start, limits, actions);
                } else {
                    self.attach(now, key, stream, actions);
                }
            }
            _ => return Err(RefusalReason::NoSuchLease),
        }
        Ok(())
    }

    fn start_import(
        &mut self,
        now: TimeUs,
        key: LeaseKey,
        stream: StreamRef,
        start: &DecodeStart,
        limits: ReservationLimits,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        // More output tokens than reserved would not fit into the reserved KV pieces.
        let output_max_tokens = start.output_max_tokens.min(limits.output_max_tokens);
        actions.push(AdmissionAction::Engine(EngineCommand::Decode {
            id: lease.id,
            target: lease.target.clone(),
            priority: lease.priority,
            kv: start.kv.clone(),
            output_max_tokens,
        }));
        lease.missed_inventories_count = 0;
        lease.state = LeaseState::Decoding(Decoding {
            limits,
            kv: start.kv.clone(),
            phase: DecodePhase::Importing {
                expires_at: now + self.config.import_timeout_us,
            },
            last_progress_at: now,
            first_token_at: None,
            stream_loss_count: 0,
            resume_at: None,
            last_contact_at: now,
            attached: None,
            output: OutputBuffer::new(lease.id, self.config.incarnation, start.first_sequence),
        });
        self.leases.attach(key, stream, now);
    }

    fn resume(
        &mut self,
        now: TimeUs,
        key: LeaseKey,
        stream: StreamRef,
        resume: &DecodeResume,
        actions: &mut Vec<AdmissionAction>,
    ) -> Result<(), RefusalReason> {
        if resume.incarnation != self.config.incarnation {
            return Err(RefusalReason::NoSuchLease);
        }
        let lease = self.leases.get_mut(key);
        let decoding = lease
            .and_then(Lease::decoding_mut)
            .ok_or(RefusalReason::NoSuchLease)?;
        if !decoding.output.can_resume_at(resume.next_sequence) {
            return Err(RefusalReason::Malformed);
        }
        decoding.output.acknowledge(resume.next_sequence);
        self.attach(now, key, stream, actions);
        self.release_if_delivered(now, key, actions);
        Ok(())
    }

    /// Attaches a stream and sends all retained chunks.
    fn attach(
        &mut self,
        now: TimeUs,
        key: LeaseKey,
        stream: StreamRef,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let replaced = self.leases.attach(key, stream, now);
        actions.extend(replaced.map(|stream| AdmissionAction::CloseStream { stream }));
        let lease = self.leases.get_mut(key);
        let Some(decoding) = lease.and_then(Lease::decoding_mut) else {
            return;
        };
        if !matches!(decoding.phase, DecodePhase::Importing { .. }) {
            let message = StreamMessage::Imported;
            actions.push(AdmissionAction::Send { stream, message });
        }
        for chunk in decoding.output.retained() {
            let message = StreamMessage::Chunk(chunk.clone());
            actions.push(AdmissionAction::Send { stream, message });
        }
    }

    fn acknowledge(
        &mut self,
        now: TimeUs,
        key: LeaseKey,
        next: SequenceNumber,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let lease = self.leases.get_mut(key);
        let Some(decoding) = lease.and_then(Lease::decoding_mut) else {
            return;
        };
        decoding.last_contact_at = now;
        decoding.output.acknowledge(next);
        self.release_if_delivered(now, key, actions);
    }

    fn release_if_delivered(
        &mut self,
        now: TimeUs,
        key: LeaseKey,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let lease = self.leases.get_mut(key);
        let decoding = lease.and_then(Lease::decoding_mut);
        if decoding.is_some_and(|decoding| decoding.output.is_delivered()) {
            self.release_lease(now, key, ReleaseCause::Finished, actions);
        }
    }

    fn close_attached_stream(&mut self, key: LeaseKey, actions: &mut Vec<AdmissionAction>) {
        let stream = self.leases.get(key).and_then(Lease::stream);
        if let Some(stream) = stream {
            self.leases.detach(stream);
            actions.push(AdmissionAction::CloseStream { stream });
        }
    }

    /// Reports a failure of the attempt to the entry and closes the stream.
    pub(crate) fn fail_stream(
        stream: StreamRef,
        failure: AgentFailure,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let message = StreamMessage::Failed(failure);
        actions.push(AdmissionAction::Send { stream, message });
        actions.push(AdmissionAction::CloseStream { stream });
    }
}
