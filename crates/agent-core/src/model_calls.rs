//! Model calls: checks against lists and inventory, followed by admission.

use cuminlead_admission::{
    AdmissionAction, AdmissionRecord, Purpose, QueuedRequest, SchedulingTerms, StreamMessage,
    StreamRef,
};
use cuminlead_protocol::{
    DecodeEvent, EngineCommand, EngineEvent, EngineRole, Envelope, ModelTarget, Prefill,
    RefusalReason, Release, Reserve,
};
use cuminlead_types::{AttemptId, Priority, TimeUs};

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
        match self.scheduling_terms(&message.envelope, &message.target, EngineRole::Decode) {
            Ok(terms) => {
                self.admission
                    .reserve(now, call, message, terms, &mut self.admission_actions);
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
        match self.scheduling_terms(&message.envelope, &message.target, EngineRole::Prefill) {
            Ok(terms) => {
                self.admission
                    .prefill(now, call, message, terms, &mut self.admission_actions);
            }
            Err(reason) => self.refuse(now, call, &message.envelope, reason, actions),
        }
    }

    /// Releases the decode slot and KV memory of an attempt.
    ///
    /// An attempt that admission does not know may be left in the engine by an earlier incarnation
    /// of the agent, so it is cancelled there. Waiting for the two inventories that would show it
    /// takes longer than the 1 s within which P1 requires memory to be free after a cancel.
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
            .release(now, call, message, &mut self.admission_actions);
    }

    /// Refuses queued requests that the active lists or the engine's inventory no longer permit.
    pub(crate) fn recheck_queue(&mut self, now: TimeUs) {
        let active_lists = &self.active_lists;
        let inventory_poll = &self.inventory_poll;
        let check = |waiting: &QueuedRequest| {
            let role = match waiting.purpose {
                Purpose::Prefill { .. } => EngineRole::Prefill,
                Purpose::Reserve { .. } => EngineRole::Decode,
            };
            let checked =
                active_lists.check_model(inventory_poll, &waiting.customer, &waiting.target, role);
            checked.err()
        };
        self.admission
            .recheck_queue(now, check, &mut self.admission_actions);
    }

    pub(crate) fn handle_engine_event(
        &mut self,
        now: TimeUs,
        event: EngineEvent,
        actions: &mut Vec<AgentAction>,
    ) {
        self.update_orders(now, &event, actions);
        let is_inventory = matches!(event, EngineEvent::Inventory(_));
        match &event {
            EngineEvent::Inventory(inventory) => {
                self.inventory_poll.record(inventory.clone());
                self.crash_detector.record_reachable();
            }
            EngineEvent::Unreachable => {
                self.inventory_poll.invalidate();
                for id in self.crash_detector.record_unreachable(now) {
                    actions.push(AgentAction::Record(AgentRecord::EngineCrashed { id }));
                }
            }
            EngineEvent::SequenceFailed { id } => self.record_failed_sequence(now, *id, actions),
            _ => {}
        }
        self.admission
            .engine_event(now, event, &mut self.admission_actions);
        if is_inventory {
            self.recheck_queue(now);
        }
    }

    /// Finds out whether the engine has crashed, if the sequence may be the cause.
    fn record_failed_sequence(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(parts) = self.admission.parts_of_begun_output(now, id) else {
            return;
        };
        if self.crash_detector.record_failure(now, id, parts.to_vec()) {
            actions.push(AgentAction::Record(AgentRecord::EngineCrashed { id }));
        }
        self.inventory_poll.request(now);
    }

    /// Converts the actions of admission. Called after the event has been handled, so replies carry
    /// the agent's state after the decision.
    pub(crate) fn forward_admission_actions(
        &mut self,
        now: TimeUs,
        actions: &mut Vec<AgentAction>,
    ) {
        let mut admission_actions = std::mem::take(&mut self.admission_actions);
        for action in admission_actions.drain(..) {
            self.forward_admission_action(now, action, actions);
        }
        self.admission_actions = admission_actions;
    }

    fn forward_admission_action(
        &self,
        now: TimeUs,
        action: AdmissionAction,
        actions: &mut Vec<AgentAction>,
    ) {
        match action {
            AdmissionAction::Reply { call, body } => self.reply(now, call, body, actions),
            AdmissionAction::Send { stream, message } => {
                self.send_on_stream(now, stream, message, actions)
            }
            AdmissionAction::CloseStream { stream } => {
                actions.push(AgentAction::CloseStream { stream });
            }
            AdmissionAction::Engine(command) => actions.push(AgentAction::Engine(command)),
            AdmissionAction::Record(record) => {
                actions.push(AgentAction::Record(agent_record(record)));
            }
        }
    }

    fn send_on_stream(
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

    /// Checks an attempt and returns its scheduling terms.
    ///
    /// An attempt that admission already knows was checked when it arrived, so a repeated message
    /// is not checked again. Its terms are placeholders.
    fn scheduling_terms(
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
        if self.pending_orders.may_remove(target) {
            return Err(RefusalReason::NotServed);
        }
        self.active_lists
            .check_model(&self.inventory_poll, &envelope.customer, target, role)
    }
}

fn agent_record(record: AdmissionRecord) -> AgentRecord {
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
