//! Decision state of one agent and dispatch of events to its parts.

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
use crate::active_lists::ActiveLists;
use crate::config::AgentConfig;
use crate::crash_detector::CrashDetector;
use crate::event::{AgentEvent, CallRef};
use crate::inventory_poll::InventoryPoll;
use crate::pending_orders::PendingOrders;
use crate::running_calls::RunningCalls;

/// Decision state of one agent: admission, permits, lists, inventory and engine orders.
#[derive(Debug)]
pub struct AgentContext {
    pub(crate) config: AgentConfig,
    pub(crate) admission: Admission,
    /// Created on the first event, whose time is the start of the incarnation.
    pub(crate) permits: Option<Permits>,
    pub(crate) active_lists: ActiveLists,
    pub(crate) inventory_poll: InventoryPoll,
    pub(crate) crash_detector: CrashDetector,
    pub(crate) orders: Orders,
    pub(crate) pending_orders: PendingOrders,
    pub(crate) running_calls: RunningCalls,
    pub(crate) hosts_revision: Revision,
    pub(crate) is_draining: bool,
    is_drained: bool,
    /// Time at which the outcome of an application call was last sent to an entry.
    pub(crate) outcome_sent_at: Option<TimeUs>,
    last_event_at: TimeUs,
    /// Output buffer for admission, empty between events and reused to avoid allocations.
    pub(crate) admission_actions: Vec<AdmissionAction>,
}

impl AgentContext {
    /// Creates the context of a starting agent.
    ///
    /// It refuses new work until lists have arrived and, if they assign an engine, until the
    /// engine's inventory is reliable (see [`InventoryPoll::is_reliable`]).
    pub fn new(config: AgentConfig) -> Self {
        Self {
            admission: Admission::new(config.admission()),
            permits: None,
            active_lists: ActiveLists::new(config.server.clone()),
            inventory_poll: InventoryPoll::new(config.inventory_interval_us),
            crash_detector: CrashDetector::default(),
            orders: Orders::new(OrdersConfig::new(config.incarnation)),
            pending_orders: PendingOrders::default(),
            running_calls: RunningCalls::default(),
            hosts_revision: Revision::ZERO,
            is_draining: false,
            is_drained: false,
            outcome_sent_at: None,
            last_event_at: TimeUs::ZERO,
            admission_actions: Vec::new(),
            config,
        }
    }

    /// Limits and timeouts passed to [`AgentContext::new`].
    pub fn config(&self) -> &AgentConfig {
        &self.config
    }

    /// State of the agent as its replies report it.
    pub fn state(&self, now: TimeUs) -> AgentState {
        AgentState {
            server: self.config.server.clone(),
            incarnation: self.config.incarnation,
            lists_revision: self.active_lists.revision(),
            hosts_revision: self.hosts_revision,
            draining: self.is_draining,
            load: self.load(now),
            crashes: self.crash_detector.recent(now),
        }
    }

    /// Violated invariants of admission. For tests: call it after an event at `now`.
    pub fn verify(&self, now: TimeUs) -> Vec<Violation> {
        self.admission.verify(now)
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Now, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        self.last_event_at = now.mono_us;
        self.expire(now, actions);
        self.dispatch(now, event, actions);
        self.forward_admission_actions(now.mono_us, actions);
        self.read_inventory_if_due(now.mono_us, actions);
        self.send_order_if_due(now.mono_us, actions);
        self.record_voided(actions);
        self.report_drained(actions);
    }

    /// Time by which the process must deliver [`AgentEvent::Tick`] unless another event comes
    /// first; `None` if no deadline is pending.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        let permits = self.permits.as_ref().and_then(Permits::next_deadline);
        let deadlines = [
            self.admission.next_deadline(),
            permits,
            self.inventory_poll.next_at(),
            self.next_order_at(),
            self.drain_completes_at(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn next_order_at(&self) -> Option<TimeUs> {
        let is_ordering = !self.is_draining;
        let next_at = || self.orders.next_deadline(self.last_event_at);
        is_ordering.then(next_at).flatten()
    }

    fn dispatch(&mut self, now: Now, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        let mono_us = now.mono_us;
        match event {
            AgentEvent::Request { call, request } => {
                self.handle_request(now, call, request, actions)
            }
            AgentEvent::CallDropped { call } => {
                self.running_calls.detach_connection(call);
                self.admission
                    .call_dropped(mono_us, call, &mut self.admission_actions);
            }
            AgentEvent::StreamOpened { stream, open } => {
                self.admission
                    .stream_opened(mono_us, stream, open, &mut self.admission_actions);
            }
            AgentEvent::StreamControl { stream, control } => {
                self.admission.stream_control(
                    mono_us,
                    stream,
                    control,
                    &mut self.admission_actions,
                );
            }
            AgentEvent::StreamClosed { stream } => {
                self.admission
                    .stream_closed(mono_us, stream, &mut self.admission_actions);
            }
            AgentEvent::Engine(event) => self.handle_engine_event(mono_us, event, actions),
            AgentEvent::Service(event) => self.handle_service_event(mono_us, event, actions),
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
                self.admission.drain(mono_us, &mut self.admission_actions);
            }
            AgentEvent::Tick => {}
        }
    }

    fn handle_request(
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
            AgentRequest::QueryPermit(message) => {
                self.query_permit(now.mono_us, call, &message, actions);
            }
            AgentRequest::GetState(_) => {
                self.reply(now.mono_us, call, ReplyBody::State, actions);
            }
        }
    }

    fn apply_lists(&mut self, now: Now, lists: Arc<Lists>) {
        if !self.active_lists.install_unless_older(Arc::clone(&lists)) {
            return;
        }
        if let Some(permits) = &mut self.permits {
            permits.apply_lists(now, &lists);
        }
        if self.active_lists.is_engine() {
            self.inventory_poll.start(now.mono_us);
        }
        self.update_assignment(now.mono_us);
        self.recheck_queue(now.mono_us);
    }

    /// Applies all deadlines up to `now` before the event is dispatched, so that a late tick does
    /// not change the decision on the event.
    fn expire(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let config = &self.config;
        let permits = self
            .permits
            .get_or_insert_with(|| Permits::new(now, config.permits()));
        permits.expire(now.mono_us);
        self.expire_order(now.mono_us, actions);
        self.admission
            .tick(now.mono_us, &mut self.admission_actions);
        self.forward_admission_actions(now.mono_us, actions);
    }

    fn read_inventory_if_due(&mut self, now: TimeUs, actions: &mut Vec<AgentAction>) {
        if self.inventory_poll.take_due(now) {
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
        let now = self.last_event_at;
        if self.drain_completes_at().is_some_and(|at| at <= now) {
            self.is_drained = true;
            actions.push(AgentAction::Drained);
        }
    }

    /// Time at which an idle draining agent may exit; `None` if it is not draining, not idle or has
    /// already reported the end of the drain.
    ///
    /// The reply with the outcome of an application call may still be in transit, or be lost, in
    /// which case the entry queries the outcome. The agent therefore retains it as long as complete
    /// model output: the next incarnation does not know it.
    fn drain_completes_at(&self) -> Option<TimeUs> {
        if !self.is_draining || self.is_drained || !self.is_idle() {
            return None;
        }
        let retention_us = self.config.output_retention_us;
        let sent_at = self.outcome_sent_at;
        Some(sent_at.map_or(self.last_event_at, |sent_at| sent_at + retention_us))
    }

    fn is_idle(&self) -> bool {
        let permits = self.permits.as_ref();
        let open_count = permits.map_or(0, |p| p.issued_count() + p.running_count());
        self.admission.is_idle() && self.running_calls.is_empty() && open_count == 0
    }

    /// Load of the engine or service, for replies and metrics; counts application calls as running
    /// requests.
    pub fn load(&self, now: TimeUs) -> LoadReport {
        let mut load = self.admission.load(now);
        let runs_count = u32::try_from(self.running_calls.len()).unwrap_or(u32::MAX);
        load.running_count = load.running_count.saturating_add(runs_count);
        load.oldest_stall_us = load
            .oldest_stall_us
            .max(self.running_calls.oldest_age_us(now));
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
