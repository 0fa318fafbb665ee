//! Application calls: permits, and forwarding of calls to the service.

use std::sync::Arc;

use cuminlead_lists::Lists;
use cuminlead_permits::RunOutcome;
use cuminlead_protocol::{
    AgentFailure, Envelope, HttpRequest, IssuePermit, PermitOutcome, QueryPermit, RefusalReason,
    ReplyBody, RunCall, ServiceCallRef, ServiceCommand, ServiceEvent,
};
use cuminlead_types::{Now, ServiceName, TimeUs};

use crate::action::{AgentAction, AgentRecord};
use crate::context::AgentContext;
use crate::event::CallRef;

impl AgentContext {
    pub(crate) fn issue_permit(
        &mut self,
        now: Now,
        call: CallRef,
        message: &IssuePermit,
        actions: &mut Vec<AgentAction>,
    ) {
        let issued = self.try_issue_permit(now, message);
        let envelope = &message.envelope;
        match issued {
            Ok(ReplyBody::Failed(AgentFailure::Refused(reason))) | Err(reason) => {
                self.refuse(now.mono_us, call, envelope, reason, actions);
            }
            Ok(body) => self.reply(now.mono_us, call, body, actions),
        }
    }

    /// Executes a call under its permit, or an idempotent call without one.
    ///
    /// A call under a permit is not checked against the plan again: that was done when the permit
    /// was issued.
    pub(crate) fn run_call(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: RunCall,
        actions: &mut Vec<AgentAction>,
    ) {
        let run = match message.permit {
            Some(_) => self.start_under_permit(now, &message, actions),
            None => self.start_without_permit(call, &message),
        };
        match run {
            Ok(run) => self.forward_call(now, call, run, message.http, actions),
            Err(reason) => self.refuse(now, call, &message.envelope, reason, actions),
        }
    }

    /// Reports the outcome of a permit. Does not depend on the lists, so it also works before the
    /// first lists have arrived.
    pub(crate) fn query_permit(
        &mut self,
        now: TimeUs,
        call: CallRef,
        message: &QueryPermit,
        actions: &mut Vec<AgentAction>,
    ) {
        let unknown = ReplyBody::PermitOutcome(PermitOutcome::Unknown);
        let permits = self.permits.as_mut();
        let body = permits.map_or(unknown, |permits| permits.query(now, message.permit));
        self.reply(now, call, body, actions);
    }

    pub(crate) fn handle_service_event(
        &mut self,
        now: TimeUs,
        event: ServiceEvent,
        actions: &mut Vec<AgentAction>,
    ) {
        let (run, outcome) = match event {
            ServiceEvent::Answered { run, http } => (run, RunOutcome::Answered(http)),
            ServiceEvent::NotSent { run } => (run, RunOutcome::NotSent),
            ServiceEvent::Lost { run } => (run, RunOutcome::Lost),
        };
        let Some(ended) = self.running_calls.remove(run) else {
            return;
        };
        let body = match run {
            ServiceCallRef::Permit(permit) => {
                if let Some(permits) = &mut self.permits {
                    permits.finish(now, permit, &outcome);
                }
                body_under_permit(outcome)
            }
            ServiceCallRef::Message(_) => body_without_permit(outcome),
        };
        if let Some(call) = ended.call {
            self.outcome_sent_at = Some(now);
            self.reply(now, call, body, actions);
        }
    }

    fn try_issue_permit(
        &mut self,
        now: Now,
        message: &IssuePermit,
    ) -> Result<ReplyBody, RefusalReason> {
        let lists = self.check_service_call(&message.envelope, &message.service)?;
        let permits = self.permits.as_mut().ok_or(RefusalReason::Starting)?;
        Ok(permits.issue(now, &lists, message))
    }

    fn start_under_permit(
        &mut self,
        now: TimeUs,
        message: &RunCall,
        actions: &mut Vec<AgentAction>,
    ) -> Result<ServiceCallRef, RefusalReason> {
        let permits = self.permits.as_mut().ok_or(RefusalReason::PermitInvalid)?;
        let permit = permits.start(now, message)?;
        let record = AgentRecord::PermitStarted { permit };
        actions.push(AgentAction::Record(record));
        Ok(ServiceCallRef::Permit(permit))
    }

    fn start_without_permit(
        &self,
        call: CallRef,
        message: &RunCall,
    ) -> Result<ServiceCallRef, RefusalReason> {
        let lists = self.check_service_call(&message.envelope, &message.service)?;
        let http = &message.http;
        if lists.is_idempotent(&message.service, &http.method, &http.path) {
            Ok(ServiceCallRef::Message(call.0))
        } else {
            Err(RefusalReason::PermitMissing)
        }
    }

    /// Returns the active lists if the agent accepts new calls of the service under them.
    fn check_service_call(
        &self,
        envelope: &Envelope,
        service: &ServiceName,
    ) -> Result<Arc<Lists>, RefusalReason> {
        if self.is_draining {
            return Err(RefusalReason::Draining);
        }
        self.active_lists
            .check_service(&self.inventory_poll, &envelope.customer, service)
            .cloned()
    }

    fn forward_call(
        &mut self,
        now: TimeUs,
        call: CallRef,
        run: ServiceCallRef,
        http: HttpRequest,
        actions: &mut Vec<AgentAction>,
    ) {
        self.running_calls.insert(now, run, call);
        actions.push(AgentAction::Service(ServiceCommand { run, http }));
    }
}

/// Reply to a call under a permit. A call that was lost may have run, so its outcome is unknown.
fn body_under_permit(outcome: RunOutcome) -> ReplyBody {
    match outcome {
        RunOutcome::Answered(http) => ReplyBody::CallDone(http),
        RunOutcome::NotSent => ReplyBody::PermitOutcome(PermitOutcome::Voided),
        RunOutcome::Lost => ReplyBody::Failed(AgentFailure::OutcomeUnknown),
    }
}

/// Reply to an idempotent call, which the entry may repeat whether or not it has run.
fn body_without_permit(outcome: RunOutcome) -> ReplyBody {
    match outcome {
        RunOutcome::Answered(http) => ReplyBody::CallDone(http),
        RunOutcome::NotSent | RunOutcome::Lost => ReplyBody::Failed(AgentFailure::ServiceFailed),
    }
}
