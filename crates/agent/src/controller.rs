//! State and event loop of the agent's control thread.
//!
//! The controller passes events to the `AgentContext` and executes the actions that it returns.
//! Other threads only send [`ControlEvent`]s, so that this state needs no locks.

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
use crate::backend_spans::BackendSpans;
use crate::status::AgentMetrics;

/// Event for the agent's control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A request message arrived from an entry.
    Call {
        /// Identifies the message within this process.
        call: CallRef,
        /// Content of the message.
        request: AgentRequest,
        /// Receives the reply.
        reply: oneshot::Sender<AgentReply>,
    },
    /// An entry opened a decode stream.
    Stream {
        /// Identifies the stream within this process.
        stream: StreamRef,
        /// First message of the stream.
        open: DecodeOpen,
        /// Receives the events of the stream.
        events: mpsc::UnboundedSender<DecodeEvent>,
    },
    /// An event that needs no reply.
    Agent(AgentEvent),
    /// Event from the driver of a model engine.
    Engine(EngineEvent),
    /// Event from the driver of a plain service.
    Service(ServiceEvent),
    /// The feed of lists and hosts has an event to process.
    Feed(FeedEvent),
    /// The process received a shutdown signal.
    Shutdown,
}

/// State shared with the admin address.
#[derive(Debug, Default)]
pub struct AgentFlags {
    /// Whether the feed of lists and hosts is ready. Draining is not part of it.
    pub is_ready: AtomicBool,
    /// Whether the agent is draining and refuses new requests.
    pub is_draining: AtomicBool,
}

/// Dependencies of an [`AgentController`].
pub struct ControllerParts {
    /// Host of this agent.
    pub host: HostId,
    /// Backend server beside the agent.
    pub server: BackendServerId,
    /// Decides on leases, permits and engine orders.
    pub context: AgentContext,
    /// Source of lists and hosts.
    pub feed: Feed,
    /// Driver that executes commands to the back end.
    pub backend: Box<dyn Backend>,
    /// Trace spans of calls to the back end.
    pub spans: BackendSpans,
    /// Metrics of this process.
    pub metrics: AgentMetrics,
    /// State shared with the admin address.
    pub flags: Arc<AgentFlags>,
    /// Time limit for draining leases and permits.
    pub drain_max_us: DurationUs,
    /// Logger of this process; not bound to a request.
    pub log: Logger,
}

/// State owned by the agent's control thread.
pub struct AgentController {
    parts: ControllerParts,
    calls: HashMap<CallRef, oneshot::Sender<AgentReply>>,
    streams: HashMap<StreamRef, mpsc::UnboundedSender<DecodeEvent>>,
    actions: Vec<AgentAction>,
    /// Time at which the process ends even if leases or permits are left.
    drain_deadline: Option<TimeUs>,
    is_drained: bool,
    busy: BusyTime,
}

impl AgentController {
    /// Creates the controller and starts its feed.
    pub fn new(parts: ControllerParts, now: Now) -> Self {
        let mut controller = Self {
            parts,
            calls: HashMap::new(),
            streams: HashMap::new(),
            actions: Vec::new(),
            drain_deadline: None,
            is_drained: false,
            busy: BusyTime::default(),
        };
        let update = controller.parts.feed.start(now.mono_us);
        controller.apply(now, update);
        controller
    }

    /// Records the revisions in a message of an entry, which may be newer than the local ones.
    fn record_revisions(&mut self, now: Now, envelope: &Envelope) {
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

    /// Handles a message of an entry. Its trace context is the parent of the spans of calls to the
    /// back end that the message causes.
    fn decide_with_parent(&mut self, now: Now, traceparent: String, event: AgentEvent) {
        self.parts.spans.set_parent(traceparent);
        self.decide(now, event);
        self.parts.spans.set_parent(String::new());
    }

    fn decide(&mut self, now: Now, event: AgentEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.parts.context.handle(now, event, &mut actions);
        self.parts
            .metrics
            .set_load(&self.parts.context.load(now.mono_us));
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: AgentAction) {
        match action {
            AgentAction::Reply { call, reply } => {
                if let Some(waiting) = self.calls.remove(&call) {
                    // Fails only when the RPC handler was dropped, which reports `CallDropped`.
                    let _ = waiting.send(reply);
                }
            }
            AgentAction::Send { stream, event } => {
                if let Some(events) = self.streams.get(&stream) {
                    // Fails only when the stream has ended, which is reported as `StreamClosed`.
                    let _ = events.send(event);
                }
            }
            AgentAction::CloseStream { stream } => {
                self.streams.remove(&stream);
            }
            AgentAction::Engine(command) => {
                self.parts.spans.on_engine_command(&command);
                self.parts.backend.command_engine(command);
            }
            AgentAction::Service(command) => {
                let traceparent = self.parts.spans.on_service_command(&command);
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
                info!(log, "message from an entry refused"; "request" => %id, "customer" => %customer,
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
            AgentRecord::EngineCrashed { id } => {
                warn!(log, "engine crashed on the beginning of an output";
                    "request" => %id);
            }
            AgentRecord::UnknownSequence { id } => {
                warn!(log, "engine reported a sequence unknown to the agent"; "request" => %id);
            }
            AgentRecord::PermitVoided { permit } => {
                debug!(log, "permit ended without a call"; "permit" => %permit);
            }
            AgentRecord::PermitStarted { permit } => {
                debug!(log, "call started under a permit"; "permit" => %permit);
            }
            AgentRecord::Order(OrderReport::FencedOut { highest }) => {
                warn!(log, "engine order rejected: a later agent controls the engine";
                    "highest" => %highest);
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
            // Looked up by host: while the server moves, its record on the previous host may still
            // be listed.
            let own = hosts.hosts.iter().find(|host| host.host == self.parts.host);
            if own.is_some_and(|host| host.state == HostState::Leaving) {
                self.begin_drain(now);
            }
        }
        self.update_ready();
    }

    fn update_ready(&self) {
        let is_ready = self.parts.feed.view().load().is_ready;
        self.parts.flags.is_ready.store(is_ready, Ordering::Relaxed);
    }

    fn apply_lists(&mut self, now: Now, lists: Arc<Lists>) {
        info!(self.parts.log, "lists in effect"; "revision" => lists.revision.0);
        self.parts.metrics.set_revision("lists", lists.revision);
        self.decide(now, AgentEvent::Lists(lists));
    }

    fn count_busy(&mut self, started: Instant) {
        let busy_us = &self.parts.metrics.common.control_busy_us;
        self.busy.add(started.elapsed(), busy_us);
    }

    fn begin_drain(&mut self, now: Now) {
        if !self.parts.flags.is_draining.swap(true, Ordering::Relaxed) {
            info!(self.parts.log, "agent draining"; "server" => %self.parts.server);
            self.drain_deadline = Some(now.mono_us + self.parts.drain_max_us);
            self.decide(now, AgentEvent::Drain);
        }
    }
}

impl Controller for AgentController {
    type Event = ControlEvent;

    fn handle(&mut self, now: Now, event: ControlEvent) {
        let started = Instant::now();
        self.dispatch(now, event);
        self.count_busy(started);
    }

    fn tick(&mut self, now: Now) {
        let started = Instant::now();
        self.handle_deadlines(now);
        self.count_busy(started);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        let deadlines = [
            self.parts.context.next_deadline(),
            self.parts.feed.next_deadline(),
            self.drain_deadline,
        ];
        deadlines.into_iter().flatten().min()
    }

    fn is_drained(&self) -> bool {
        self.is_drained
    }
}

impl AgentController {
    fn dispatch(&mut self, now: Now, event: ControlEvent) {
        match event {
            ControlEvent::Call {
                call,
                request,
                reply,
            } => {
                self.record_revisions(now, request.envelope());
                self.calls.insert(call, reply);
                let traceparent = request.envelope().traceparent.clone();
                self.decide_with_parent(now, traceparent, AgentEvent::Request { call, request });
            }
            ControlEvent::Stream {
                stream,
                open,
                events,
            } => {
                self.streams.insert(stream, events);
                let traceparent = open.envelope.traceparent.clone();
                self.decide_with_parent(
                    now,
                    traceparent,
                    AgentEvent::StreamOpened { stream, open },
                );
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
                self.parts.spans.on_engine_event(&event);
                self.decide(now, AgentEvent::Engine(event));
            }
            ControlEvent::Service(event) => {
                self.parts.spans.on_service_event(&event);
                self.decide(now, AgentEvent::Service(event));
            }
            ControlEvent::Feed(event) => {
                let update = self.parts.feed.handle(now.mono_us, event);
                self.apply(now, update);
            }
            ControlEvent::Shutdown => self.begin_drain(now),
        }
    }

    fn handle_deadlines(&mut self, now: Now) {
        if is_due(self.parts.feed.next_deadline(), now) {
            let update = self.parts.feed.tick(now.mono_us);
            self.apply(now, update);
        }
        if is_due(self.parts.context.next_deadline(), now) {
            self.decide(now, AgentEvent::Tick);
        }
        if is_due(self.drain_deadline, now) && !self.is_drained {
            warn!(self.parts.log, "drain timed out with leases or permits left";
                "server" => %self.parts.server);
            self.is_drained = true;
        }
    }
}

fn is_due(deadline: Option<TimeUs>, now: Now) -> bool {
    deadline.is_some_and(|deadline| deadline <= now.mono_us)
}
