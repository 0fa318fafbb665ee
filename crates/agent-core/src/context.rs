//! `AgentContext`: owns all decision state of one agent.

use std::sync::Arc;

use cuminlead_admission::{Admission, AdmissionAction, Violation};
use cuminlead_lists::Lists;
use cuminlead_orders::{Orders, OrdersConfig};
use cuminlead_permits::Permits;
use cuminlead_protocol::{
    AgentFailure, AgentReply, AgentRequest, AgentState, EngineCommand, Envelope, LoadReport,
    RefusalReason, ReplyBody,
};
use cuminlead_types::{Now, Revision, TimeUs};

use crate::action::{AgentAction, AgentRecord};
use crate::config::AgentConfig;
use crate::event::{AgentEvent, CallRef};
use crate::gate::Gate;
use crate::pending::PendingOrders;
use crate::poll::InventoryPoll;
use crate::runs::Runs;

/// All decision state of one agent.
#[derive(Debug)]
pub struct AgentContext {
    pub(crate) config: AgentConfig,
    pub(crate) admission: Admission,
    /// Permits, from the first event on, which gives the start of the incarnation.
    pub(crate) permits: Option<Permits>,
    pub(crate) gate: Gate,
    pub(crate) poll: InventoryPoll,
    pub(crate) orders: Orders,
    pub(crate) pending: PendingOrders,
    pub(crate) runs: Runs,
    pub(crate) hosts_revision: Revision,
    pub(crate) is_draining: bool,
    is_drained: bool,
    /// When the outcome of an application call was last sent.
    pub(crate) outcome_sent_at: Option<TimeUs>,
    /// Time of the last event.
    handled_at: TimeUs,
    /// Buffer of admission's actions, kept between events.
    pub(crate) admitted: Vec<AdmissionAction>,
}

impl AgentContext {
    /// Context of a starting agent; refuses work until lists and inventory have arrived.
    pub fn new(config: AgentConfig) -> Self {
        Self {
            admission: Admission::new(config.admission()),
            permits: None,
            gate: Gate::new(config.server.clone()),
            poll: InventoryPoll::new(config.inventory_us),
            orders: Orders::new(OrdersConfig::new(config.incarnation)),
            pending: PendingOrders::default(),
            runs: Runs::default(),
            hosts_revision: Revision::ZERO,
            is_draining: false,
            is_drained: false,
            outcome_sent_at: None,
            handled_at: TimeUs::ZERO,
            admitted: Vec::new(),
            config,
        }
    }

    /// Limits that the context was built with.
    pub fn config(&self) -> &AgentConfig {
        &self.config
    }

    /// State that replies carry.
    pub fn state(&self, now: TimeUs) -> AgentState {
        AgentState {
            server: self.config.server.clone(),
            incarnation: self.config.incarnation,
            lists_revision: self.gate.revision(),
            hosts_revision: self.hosts_revision,
            draining: self.is_draining,
            load: self.load(now),
        }
    }

    /// Violations of the rules of admission at `now`, after an event at `now`; tests call it.
    pub fn verify(&self, now: TimeUs) -> Vec<Violation> {
        self.admission.verify(now)
    }

    /// Decides on an event and appends the resulting actions.
    pub fn handle(&mut self, now: Now, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        self.handled_at = now.mono_us;
        self.expire(now, actions);
        self.dispatch(now, event, actions);
        self.forward_admitted(now.mono_us, actions);
        self.read_inventory_if_due(now.mono_us, actions);
        self.order_if_due(now.mono_us, actions);
        self.record_voided(actions);
        self.report_drained(actions);
    }

    /// Time at which a `Tick` is needed at the latest.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        let permits = self.permits.as_ref().and_then(Permits::next_deadline);
        let deadlines = [
            self.admission.next_deadline(),
            permits,
            self.poll.next_at(),
            self.next_order_at(),
            self.drained_at(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn next_order_at(&self) -> Option<TimeUs> {
        let is_ordering = !self.is_draining;
        let next_at = || self.orders.next_deadline(self.handled_at);
        is_ordering.then(next_at).flatten()
    }

    fn dispatch(&mut self, now: Now, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        let mono_us = now.mono_us;
        match event {
            AgentEvent::Request { call, request } => self.request(now, call, request, actions),
            AgentEvent::CallDropped { call } => {
                self.runs.call_dropped(call);
                self.admission
                    .call_dropped(mono_us, call, &mut self.admitted);
            }
            AgentEvent::StreamOpened { stream, open } => {
                self.admission
                    .stream_opened(mono_us, stream, open, &mut self.admitted);
            }
            AgentEvent::StreamControl { stream, control } => {
                self.admission
                    .stream_control(mono_us, stream, control, &mut self.admitted);
            }
            AgentEvent::StreamClosed { stream } => {
                self.admission
                    .stream_closed(mono_us, stream, &mut self.admitted);
            }
            AgentEvent::Engine(event) => self.engine_event(mono_us, event, actions),
            AgentEvent::Service(event) => self.service_event(mono_us, event, actions),
            AgentEvent::Lists(lists) => self.apply_lists(now, lists),
            AgentEvent::ListsConfirmed { age_us } => {
                if let Some(permits) = &mut self.permits {
                    permits.confirm_lists(mono_us - age_us);
                }
            }
            AgentEvent::Hosts(revision) => {
                self.hosts_revision = self.hosts_revision.max(revision);
            }
            AgentEvent::Drain => {
                self.is_draining = true;
                self.admission.drain(mono_us, &mut self.admitted);
            }
            AgentEvent::Tick => {}
        }
    }

    fn request(
        &mut self,
        now: Now,
        call: CallRef,
        request: AgentRequest,
        actions: &mut Vec<AgentAction>,
    ) {
        match request {
            AgentRequest::Reserve(message) => self.reserve(now.mono_us, call, &message, actions),
            AgentRequest::Prefill(message) => self.prefill(now.mono_us, call, message, actions),
            AgentRequest::Release(message) => {
                self.release(now.mono_us, call, &message, actions);
            }
            AgentRequest::IssuePermit(message) => self.issue_permit(now, call, &message, actions),
            AgentRequest::RunCall(message) => self.run_call(now.mono_us, call, message, actions),
            AgentRequest::AskPermit(message) => {
                self.ask_permit(now.mono_us, call, &message, actions);
            }
            AgentRequest::GetState(_) => {
                self.reply(now.mono_us, call, ReplyBody::State, actions);
            }
        }
    }

    fn apply_lists(&mut self, now: Now, lists: Arc<Lists>) {
        if !self.gate.apply(Arc::clone(&lists)) {
            return;
        }
        if let Some(permits) = &mut self.permits {
            permits.apply_lists(now, &lists);
        }
        if self.gate.is_engine() {
            self.poll.start(now.mono_us);
        }
        self.want_duty(now.mono_us);
        self.recheck_waiting(now.mono_us);
    }

    /// Ends what is over, so that a late tick changes no decision.
    fn expire(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let config = &self.config;
        let permits = self
            .permits
            .get_or_insert_with(|| Permits::new(now, config.permits()));
        permits.expire(now.mono_us);
        self.expire_order(now.mono_us, actions);
        self.admission.tick(now.mono_us, &mut self.admitted);
        self.forward_admitted(now.mono_us, actions);
    }

    fn read_inventory_if_due(&mut self, now: TimeUs, actions: &mut Vec<AgentAction>) {
        if self.poll.take_due(now) {
            actions.push(AgentAction::Engine(EngineCommand::ReadInventory));
        }
    }

    fn record_voided(&mut self, actions: &mut Vec<AgentAction>) {
        let Some(permits) = &mut self.permits else {
            return;
        };
        for permit in permits.take_voided() {
            let record = AgentRecord::PermitVoided { permit };
            actions.push(AgentAction::Record(record));
        }
    }

    fn report_drained(&mut self, actions: &mut Vec<AgentAction>) {
        let now = self.handled_at;
        if self.drained_at().is_some_and(|at| at <= now) {
            self.is_drained = true;
            actions.push(AgentAction::Drained);
        }
    }

    /// When a draining agent that holds nothing may exit.
    ///
    /// The outcome of an application call may still be on its way, or lost and asked for. It is
    /// retained like an answer, because the next life of the agent does not know it.
    fn drained_at(&self) -> Option<TimeUs> {
        if !self.is_draining || self.is_drained || !self.holds_nothing() {
            return None;
        }
        let hold_us = self.config.answer_hold_us;
        let sent_at = self.outcome_sent_at;
        Some(sent_at.map_or(self.handled_at, |sent_at| sent_at + hold_us))
    }

    fn holds_nothing(&self) -> bool {
        let permits = self.permits.as_ref();
        let open_count = permits.map_or(0, |p| p.issued_count() + p.running_count());
        self.admission.is_idle() && self.runs.is_empty() && open_count == 0
    }

    /// Load for the agent's state and its metrics.
    pub fn load(&self, now: TimeUs) -> LoadReport {
        let mut load = self.admission.load(now);
        let runs_count = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        load.running_count = load.running_count.saturating_add(runs_count);
        load.oldest_stall_us = load.oldest_stall_us.max(self.runs.oldest_us(now));
        load
    }

    pub(crate) fn reply(
        &self,
        now: TimeUs,
        call: CallRef,
        body: ReplyBody,
        actions: &mut Vec<AgentAction>,
    ) {
        let state = self.state(now);
        let reply = AgentReply { state, body };
        actions.push(AgentAction::Reply { call, reply });
    }

    pub(crate) fn refuse(
        &self,
        now: TimeUs,
        call: CallRef,
        envelope: &Envelope,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        let body = ReplyBody::Failed(AgentFailure::Refused(reason));
        self.reply(now, call, body, actions);
        actions.push(AgentAction::Record(AgentRecord::Refused {
            id: envelope.id,
            customer: envelope.customer.clone(),
            reason,
        }));
    }
}
