//! The path of model calls: admission behind the agent's own checks.

use cuminlead_admission::{
    AdmissionAction, AdmissionRecord, Purpose, SchedulingTerms, StreamMessage, StreamRef, Waiting,
};
use cuminlead_protocol::{
    DecodeEvent, EngineCommand, EngineEvent, EngineRole, Envelope, ModelTarget, Prefill,
    RefusalReason, Release, Reserve,
};
use cuminlead_types::{Priority, TimeUs};

use crate::action::{AgentAction, AgentRecord};
use crate::context::AgentContext;
use crate::event::CallRef;

impl AgentContext {
    pub(crate) fn reserve(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: &Reserve,
        actions: &mut Vec<AgentAction>,
    ) {
        match self.admit(&message.envelope, &message.target, EngineRole::Decode) {
            Ok(terms) => {
                self.admission
                    .reserve(now, call, message, terms, &mut self.admitted);
            }
            Err(reason) => self.refuse(now, call, &message.envelope, reason, actions),
        }
    }

    pub(crate) fn prefill(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: Prefill,
        actions: &mut Vec<AgentAction>,
    ) {
        match self.admit(&message.envelope, &message.target, EngineRole::Prefill) {
            Ok(terms) => {
                self.admission
                    .prefill(now, call, message, terms, &mut self.admitted);
            }
            Err(reason) => self.refuse(now, call, &message.envelope, reason, actions),
        }
    }

    /// Frees what the attempt holds.
    ///
    /// The engine may hold an unknown attempt from an earlier life of the agent. Two inventories,
    /// which would show that, take longer than the 1 s of P1 after a cancel.
    pub(crate) fn release(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: &Release,
        actions: &mut Vec<AgentAction>,
    ) {
        let id = message.envelope.id;
        if !self.admission.has_attempt(id) {
            actions.push(AgentAction::Engine(EngineCommand::Cancel { id }));
        }
        self.admission
            .release(now, call, message, &mut self.admitted);
    }

    /// Refuses waiting requests that the lists in force or the engine no longer permit.
    pub(crate) fn recheck_waiting(&mut self, now: TimeUs) {
        let gate = &self.gate;
        let poll = &self.poll;
        let check = |waiting: &Waiting| {
            let role = match waiting.purpose {
                Purpose::Prefill { .. } => EngineRole::Prefill,
                Purpose::Reserve { .. } => EngineRole::Decode,
            };
            let checked = gate.check_model(poll, &waiting.customer, &waiting.target, role);
            checked.err()
        };
        self.admission
            .recheck_waiting(now, check, &mut self.admitted);
    }

    pub(crate) fn engine_event(
        &mut self,
        now: TimeUs,
        event: EngineEvent,
        actions: &mut Vec<AgentAction>,
    ) {
        self.order_event(now, &event, actions);
        let is_inventory = matches!(event, EngineEvent::Inventory(_));
        match &event {
            EngineEvent::Inventory(inventory) => self.poll.received(inventory.clone()),
            EngineEvent::Unreachable => self.poll.lost(),
            _ => {}
        }
        self.admission.engine_event(now, event, &mut self.admitted);
        if is_inventory {
            self.recheck_waiting(now);
        }
    }

    /// Turns what admission decided into actions; replies carry the state after the decision.
    pub(crate) fn forward_admitted(&mut self, now: TimeUs, actions: &mut Vec<AgentAction>) {
        let mut admitted = std::mem::take(&mut self.admitted);
        for action in admitted.drain(..) {
            self.forward(now, action, actions);
        }
        self.admitted = admitted;
    }

    fn forward(&self, now: TimeUs, action: AdmissionAction, actions: &mut Vec<AgentAction>) {
        match action {
            AdmissionAction::Reply { call, body } => self.reply(now, call, body, actions),
            AdmissionAction::Send { stream, message } => self.send(now, stream, message, actions),
            AdmissionAction::CloseStream { stream } => {
                actions.push(AgentAction::CloseStream { stream });
            }
            AdmissionAction::Engine(command) => actions.push(AgentAction::Engine(command)),
            AdmissionAction::Record(record) => {
                actions.push(AgentAction::Record(record_of(record)));
            }
        }
    }

    fn send(
        &self,
        now: TimeUs,
        stream: StreamRef,
        message: StreamMessage,
        actions: &mut Vec<AgentAction>,
    ) {
        let event = match message {
            StreamMessage::Imported => DecodeEvent::Imported(self.state(now)),
            StreamMessage::Chunk(chunk) => DecodeEvent::Chunk(chunk),
            StreamMessage::Heartbeat => DecodeEvent::Heartbeat(self.state(now)),
            StreamMessage::Failed(failure) => DecodeEvent::Failed {
                state: self.state(now),
                failure,
            },
        };
        actions.push(AgentAction::Send { stream, event });
    }

    /// Terms of a new attempt; a repeat of a known one was checked before.
    fn admit(
        &self,
        envelope: &Envelope,
        target: &ModelTarget,
        role: EngineRole,
    ) -> Result<SchedulingTerms, RefusalReason> {
        if self.admission.has_attempt(envelope.id) {
            return Ok(SchedulingTerms {
                priority: Priority::ZERO,
                weight: 1,
            });
        }
        if self.is_draining {
            return Err(RefusalReason::Draining);
        }
        if self.pending.may_remove(target) {
            return Err(RefusalReason::NotServed);
        }
        self.gate
            .check_model(&self.poll, &envelope.customer, target, role)
    }
}

fn record_of(record: AdmissionRecord) -> AgentRecord {
    match record {
        AdmissionRecord::Refused {
            id,
            customer,
            reason,
        } => AgentRecord::Refused {
            id,
            customer,
            reason,
        },
        AdmissionRecord::Released {
            id,
            cause,
            wasted_prefill_tokens,
        } => AgentRecord::Released {
            id,
            cause,
            wasted_prefill_tokens,
        },
        AdmissionRecord::UnknownSequence { id } => AgentRecord::UnknownSequence { id },
    }
}
