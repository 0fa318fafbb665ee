//! The state owned by the agent's control thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use cuminlead_agent_core::{
    AgentAction, AgentContext, AgentEvent, AgentRecord, CallRef, StreamRef,
};
use cuminlead_distribution::{Event, Revisions};
use cuminlead_kernel::Controller;
use cuminlead_lists::{HostState, Lists};
use cuminlead_orders::OrderReport;
use cuminlead_process::feed::{Feed, FeedEvent, FeedUpdate};
use cuminlead_protocol::{
    AgentReply, AgentRequest, DecodeEvent, DecodeOpen, EngineEvent, Envelope, ServiceEvent,
};
use cuminlead_telemetry::BusyTime;
use cuminlead_types::{BackendServerId, DurationUs, HostId, Now, TimeUs};
use slog::{Logger, debug, info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::backend::Backend;
use crate::hops::Hops;
use crate::status::AgentMetrics;

/// Event for the agent's control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A message arrived.
    Call {
        /// The message's reference.
        call: CallRef,
        /// The message.
        request: AgentRequest,
        /// Where the reply goes.
        reply: oneshot::Sender<AgentReply>,
    },
    /// A decode stream was opened.
    Stream {
        /// The stream's reference.
        stream: StreamRef,
        /// First message.
        open: DecodeOpen,
        /// Where its events go.
        events: mpsc::UnboundedSender<DecodeEvent>,
    },
    /// An event that needs no reply.
    Agent(AgentEvent),
    /// The model engine reported something.
    Engine(EngineEvent),
    /// The plain service reported something.
    Service(ServiceEvent),
    /// The feed of lists and hosts reported something.
    Feed(FeedEvent),
    /// The process was asked to stop.
    Stop,
}

/// State shared with the admin address.
#[derive(Debug, Default)]
pub struct AgentFlags {
    /// Whether lists and inventory are there and the agent is not stopping.
    pub is_ready: AtomicBool,
    /// Whether the agent takes no new work.
    pub is_draining: AtomicBool,
}

/// Parts that a controller is built from.
pub struct ControllerParts {
    /// Host of this agent.
    pub host: HostId,
    /// Backend server beside the agent.
    pub server: BackendServerId,
    /// Decisions.
    pub context: AgentContext,
    /// Lists and hosts.
    pub feed: Feed,
    /// Driver of the back end.
    pub backend: Box<dyn Backend>,
    /// Spans of the hops to the back end.
    pub hops: Hops,
    /// Metrics.
    pub metrics: AgentMetrics,
    /// State shared with the admin address.
    pub flags: Arc<AgentFlags>,
    /// Longest time that held leases and permits may take on shutdown.
    pub drain_max_us: DurationUs,
    /// Logger.
    pub log: Logger,
}

/// State owned by the agent's control thread.
pub struct AgentController {
    parts: ControllerParts,
    calls: HashMap<CallRef, oneshot::Sender<AgentReply>>,
    streams: HashMap<StreamRef, mpsc::UnboundedSender<DecodeEvent>>,
    actions: Vec<AgentAction>,
    /// When a drain that has not ended is cut off.
    drain_until: Option<TimeUs>,
    is_drained: bool,
    busy: BusyTime,
}

impl AgentController {
    /// Controller that starts its feed.
    pub fn new(parts: ControllerParts, now: Now) -> Self {
        let mut controller = Self {
            parts,
            calls: HashMap::new(),
            streams: HashMap::new(),
            actions: Vec::new(),
            drain_until: None,
            is_drained: false,
            busy: BusyTime::default(),
        };
        let update = controller.parts.feed.start(now.mono_us);
        controller.apply(now, update);
        controller
    }

    /// Notes the revisions that a message of an entry carries.
    fn see_revisions(&mut self, now: Now, envelope: &Envelope) {
        let revisions = Revisions {
            lists: envelope.lists_revision,
            hosts: envelope.hosts_revision,
        };
        let event = FeedEvent::Distribution(Event::RevisionsSeen {
            revisions,
            peer: None,
        });
        let update = self.parts.feed.handle(now.mono_us, event);
        self.apply(now, update);
    }

    /// Decides on a message of an entry, whose trace context is the parent of hops to the back end.
    fn decide_under(&mut self, now: Now, traceparent: String, event: AgentEvent) {
        self.parts.hops.set_parent(traceparent);
        self.decide(now, event);
        self.parts.hops.set_parent(String::new());
    }

    fn decide(&mut self, now: Now, event: AgentEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.parts.context.handle(now, event, &mut actions);
        self.parts
            .metrics
            .set_load(&self.parts.context.load(now.mono_us));
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: AgentAction) {
        match action {
            AgentAction::Reply { call, reply } => {
                if let Some(waiting) = self.calls.remove(&call) {
                    // A receiver that is gone has reported the dropped message itself.
                    let _ = waiting.send(reply);
                }
            }
            AgentAction::Send { stream, event } => {
                if let Some(events) = self.streams.get(&stream) {
                    // A receiver that is gone has reported the closed stream itself.
                    let _ = events.send(event);
                }
            }
            AgentAction::CloseStream { stream } => {
                self.streams.remove(&stream);
            }
            AgentAction::Engine(command) => {
                self.parts.hops.command_engine(&command);
                self.parts.backend.command_engine(command);
            }
            AgentAction::Service(command) => {
                let traceparent = self.parts.hops.command_service(&command);
                self.parts.backend.command_service(command, traceparent);
            }
            AgentAction::Record(record) => self.record(&record),
            AgentAction::Drained => {
                info!(self.parts.log, "agent drained");
                self.is_drained = true;
            }
        }
    }

    fn record(&self, record: &AgentRecord) {
        self.parts.metrics.count(record);
        let log = &self.parts.log;
        match record {
            AgentRecord::Refused {
                id,
                customer,
                reason,
            } => {
                info!(log, "message refused"; "request" => %id, "customer" => %customer,
                    "reason" => %reason);
            }
            AgentRecord::Released {
                id,
                cause,
                wasted_prefill_tokens,
            } => {
                debug!(log, "attempt released"; "request" => %id, "cause" => %cause,
                    "wasted_prefill_tokens" => wasted_prefill_tokens.0);
            }
            AgentRecord::UnknownSequence { id } => {
                warn!(log, "engine held an unknown sequence"; "request" => %id);
            }
            AgentRecord::PermitVoided { permit } => {
                debug!(log, "permit voided"; "permit" => %permit);
            }
            AgentRecord::PermitStarted { permit } => {
                debug!(log, "permit started"; "permit" => %permit);
            }
            AgentRecord::Order(OrderReport::FencedOut { highest }) => {
                warn!(log, "engine follows a later agent"; "highest" => %highest);
            }
            AgentRecord::Order(OrderReport::Failed { order, failures }) => {
                warn!(log, "engine order failed"; "order" => %order, "failures" => failures);
            }
        }
    }

    fn apply(&mut self, now: Now, update: FeedUpdate) {
        if let Some(findings) = update.refused {
            for finding in findings.iter() {
                warn!(self.parts.log, "list snapshot refused"; "place" => %finding.location,
                    "finding" => &finding.message);
            }
        }
        if let Some(lists) = update.lists {
            self.apply_lists(now, lists);
        }
        if let Some(age_us) = update.confirmed_age_us {
            self.decide(now, AgentEvent::ListsConfirmed { age_us });
        }
        if let Some(hosts) = update.hosts {
            self.parts.metrics.set_revision("hosts", hosts.revision);
            self.decide(now, AgentEvent::Hosts(hosts.revision));
            // Another record of the server is that of a predecessor on another host.
            let own = hosts.hosts.iter().find(|host| host.host == self.parts.host);
            if own.is_some_and(|host| host.state == HostState::Leaving) {
                self.drain(now);
            }
        }
        self.update_ready();
    }

    fn update_ready(&self) {
        let is_ready = self.parts.feed.view().load().is_ready;
        self.parts.flags.is_ready.store(is_ready, Ordering::Relaxed);
    }

    fn apply_lists(&mut self, now: Now, lists: Arc<Lists>) {
        info!(self.parts.log, "lists in force"; "revision" => lists.revision.0);
        self.parts.metrics.set_revision("lists", lists.revision);
        self.decide(now, AgentEvent::Lists(lists));
    }

    fn count_busy(&mut self, started: Instant) {
        let busy_us = &self.parts.metrics.common.control_busy_us;
        self.busy.add(started.elapsed(), busy_us);
    }

    fn drain(&mut self, now: Now) {
        if !self.parts.flags.is_draining.swap(true, Ordering::Relaxed) {
            info!(self.parts.log, "agent draining"; "server" => %self.parts.server);
            self.drain_until = Some(now.mono_us + self.parts.drain_max_us);
            self.decide(now, AgentEvent::Drain);
        }
    }
}

impl Controller for AgentController {
    type Event = ControlEvent;

    fn handle(&mut self, now: Now, event: ControlEvent) {
        let started = Instant::now();
        self.take(now, event);
        self.count_busy(started);
    }

    fn tick(&mut self, now: Now) {
        let started = Instant::now();
        self.pass_time(now);
        self.count_busy(started);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        let deadlines = [
            self.parts.context.next_deadline(),
            self.parts.feed.next_deadline(),
            self.drain_until,
        ];
        deadlines.into_iter().flatten().min()
    }

    fn is_done(&self) -> bool {
        self.is_drained
    }
}

impl AgentController {
    fn take(&mut self, now: Now, event: ControlEvent) {
        match event {
            ControlEvent::Call {
                call,
                request,
                reply,
            } => {
                self.see_revisions(now, request.envelope());
                self.calls.insert(call, reply);
                let traceparent = request.envelope().traceparent.clone();
                self.decide_under(now, traceparent, AgentEvent::Request { call, request });
            }
            ControlEvent::Stream {
                stream,
                open,
                events,
            } => {
                self.streams.insert(stream, events);
                let traceparent = open.envelope.traceparent.clone();
                self.decide_under(now, traceparent, AgentEvent::StreamOpened { stream, open });
            }
            ControlEvent::Agent(event) => {
                if let AgentEvent::CallDropped { call } = event {
                    self.calls.remove(&call);
                }
                if let AgentEvent::StreamClosed { stream } = event {
                    self.streams.remove(&stream);
                }
                self.decide(now, event);
            }
            ControlEvent::Engine(event) => {
                self.parts.hops.engine_reported(&event);
                self.decide(now, AgentEvent::Engine(event));
            }
            ControlEvent::Service(event) => {
                self.parts.hops.service_reported(&event);
                self.decide(now, AgentEvent::Service(event));
            }
            ControlEvent::Feed(event) => {
                let update = self.parts.feed.handle(now.mono_us, event);
                self.apply(now, update);
            }
            ControlEvent::Stop => self.drain(now),
        }
    }

    fn pass_time(&mut self, now: Now) {
        if is_due(self.parts.feed.next_deadline(), now) {
            let update = self.parts.feed.tick(now.mono_us);
            self.apply(now, update);
        }
        if is_due(self.parts.context.next_deadline(), now) {
            self.decide(now, AgentEvent::Tick);
        }
        if is_due(self.drain_until, now) && !self.is_drained {
            warn!(self.parts.log, "drain cut off"; "server" => %self.parts.server);
            self.is_drained = true;
        }
    }
}

fn is_due(deadline: Option<TimeUs>, now: Now) -> bool {
    deadline.is_some_and(|deadline| deadline <= now.mono_us)
}
