//! Carries out the actions of one call.
//!
//! The driver runs in the traffic thread of its request. Messages and streams are carried by tasks
//! of the tokio runtime, which post what came of them into the driver's channel.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use cuminlead_distribution::Revisions;
use cuminlead_entry_core::{
    Call, CallAction, CallEvent, CallStreamRef, CallerError, Delivery, SendOutcome, SendRef,
};
use cuminlead_kernel::Clock;
use cuminlead_protocol::{
    AgentReply, AgentRequest, DecodeControl, DecodeEvent, DecodeOpen, Envelope, GetState,
    HttpResponse,
};
use cuminlead_retry::Evidence;
use cuminlead_telemetry::Tracing;
use cuminlead_types::{BackendServerId, EntryId};
use cuminlead_wire::proto;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::{Code, Request, Status};

use crate::clients::Clients;
use crate::controller::ControlEvent;
use crate::status::EntryMetrics;

/// Longest time that a message or stream is carried; no request lasts longer.
const CARRY_MAX: Duration = Duration::from_secs(110);

/// Time after which a probe has failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a call which ended is driven on to free what it holds.
const SETTLE_MAX: Duration = Duration::from_secs(30);

/// What the drivers of an entry share.
#[derive(Clone, Debug)]
pub struct DriverContext {
    /// Clock of the process.
    pub clock: Clock,
    /// Control thread.
    pub control: Sender<ControlEvent>,
    /// Runtime that carries messages.
    pub runtime: Handle,
    /// Connections to agents.
    pub clients: Arc<Clients>,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Spans.
    pub tracing: Tracing,
}

/// Part of the answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Part of a model's answer.
    Delivery(Delivery),
    /// Answer of a service.
    Response(HttpResponse),
    /// The request ended with an error.
    Error(CallerError),
}

/// Carries out the actions of one call.
pub struct CallDriver {
    context: DriverContext,
    call: Box<dyn Call>,
    events: Receiver<CallEvent>,
    sender: Sender<CallEvent>,
    streams: HashMap<CallStreamRef, mpsc::UnboundedSender<proto::DecodeRequest>>,
    outputs: VecDeque<Output>,
    servers: Vec<BackendServerId>,
}

impl CallDriver {
    /// Driver of a call that was just accepted.
    pub fn new(context: DriverContext, call: Box<dyn Call>) -> Self {
        let (sender, events) = unbounded();
        Self {
            context,
            call,
            events,
            sender,
            streams: HashMap::new(),
            outputs: VecDeque::new(),
            servers: Vec::new(),
        }
    }

    /// Begins the call.
    pub fn start(&mut self) {
        self.handle(CallEvent::Start);
    }

    /// Servers that worked on the call so far.
    pub fn servers(&self) -> &[BackendServerId] {
        &self.servers
    }

    /// Next part of the answer, or nothing when there is none within `wait_max`.
    pub fn next_output(&mut self, wait_max: Duration) -> Option<Output> {
        let until = Instant::now() + wait_max;
        loop {
            if let Some(output) = self.outputs.pop_front() {
                return Some(output);
            }
            if !self.step(until) {
                return self.outputs.pop_front();
            }
        }
    }

    /// Frees what the call holds; the caller has its answer or is gone.
    pub fn close(mut self, is_caller_gone: bool) {
        if is_caller_gone {
            self.handle(CallEvent::CallerGone);
        }
        if self.call.is_ended() {
            return;
        }
        // The traffic thread goes back to its pool; the rest only waits for short answers. If no
        // thread can be started, the leases at the agents expire.
        let _ = thread::Builder::new()
            .name("settle".to_string())
            .spawn(move || self.settle());
    }

    fn settle(&mut self) {
        let until = Instant::now() + SETTLE_MAX;
        while !self.call.is_ended() && Instant::now() < until {
            self.step(until);
            self.outputs.clear();
        }
    }

    /// Handles one event or deadline; false when `until` has passed.
    fn step(&mut self, until: Instant) -> bool {
        let deadline = self
            .call
            .next_deadline()
            .map(|time| self.context.clock.instant(time));
        let wake = deadline.map_or(until, |deadline| deadline.min(until));
        match self.events.recv_deadline(wake) {
            Ok(event) => self.handle(event),
            Err(RecvTimeoutError::Timeout) => {
                if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
                    self.handle(CallEvent::Deadline);
                }
                return Instant::now() < until;
            }
            // The driver holds a sender itself.
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        true
    }

    fn handle(&mut self, event: CallEvent) {
        let mut actions = Vec::new();
        self.call
            .handle(self.context.clock.mono(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: CallAction) {
        match action {
            CallAction::Route(need) => {
                self.tell(ControlEvent::Route {
                    need,
                    reply: self.sender.clone(),
                });
            }
            CallAction::Send {
                send,
                server,
                request,
                fresh,
            } => {
                self.send(send, server, request, fresh);
            }
            CallAction::OpenStream {
                stream,
                server,
                open,
                fresh,
            } => {
                self.open_stream(stream, server, open, fresh);
            }
            CallAction::Control { stream, control } => self.control(stream, control),
            CallAction::CloseStream { stream } => {
                self.streams.remove(&stream);
            }
            CallAction::Deliver(delivery) => self.outputs.push_back(Output::Delivery(delivery)),
            CallAction::Respond(http) => self.outputs.push_back(Output::Response(http)),
            CallAction::Fail(error) => self.outputs.push_back(Output::Error(error)),
            CallAction::Report { server, evidence } => {
                self.tell(ControlEvent::Report { server, evidence });
            }
            CallAction::Stalled {
                request,
                server,
                since,
            } => {
                self.tell(ControlEvent::Stalled {
                    request,
                    server,
                    since,
                });
            }
            CallAction::WastedPrefill { tokens, cause } => {
                self.context.metrics.count_wasted_prefill(tokens, cause);
            }
            CallAction::Retried {
                kind,
                step,
                evidence,
            } => self.context.metrics.count_retry(kind, step, evidence),
        }
    }

    fn tell(&self, event: ControlEvent) {
        // The control thread outlives the calls of its process.
        let _ = self.context.control.send(event);
    }

    fn pass(&mut self, server: &BackendServerId) {
        if !self.servers.contains(server) {
            self.servers.push(server.clone());
        }
    }

    fn control(&mut self, stream: CallStreamRef, control: DecodeControl) {
        if let Some(controls) = self.streams.get(&stream) {
            // A stream that is gone reports its loss itself.
            let _ = controls.send(control.into());
        }
    }

    fn send(&mut self, send: SendRef, server: BackendServerId, request: AgentRequest, fresh: bool) {
        self.pass(&server);
        let context = self.context.clone();
        let events = self.sender.clone();
        self.context.runtime.spawn(async move {
            let carried = carry(&context, &server, request, fresh);
            let outcome = tokio::time::timeout(CARRY_MAX, carried).await;
            let outcome = outcome.unwrap_or(SendOutcome::Lost);
            if outcome == SendOutcome::Lost {
                context.clients.forget(&server);
            }
            // The call may have ended.
            let _ = events.send(CallEvent::Reply { send, outcome });
        });
    }

    fn open_stream(
        &mut self,
        stream: CallStreamRef,
        server: BackendServerId,
        open: DecodeOpen,
        fresh: bool,
    ) {
        let (controls, receiver) = mpsc::unbounded_channel();
        self.streams.insert(stream, controls);
        let context = self.context.clone();
        let events = self.sender.clone();
        self.context.runtime.spawn(async move {
            let receiver = UnboundedReceiverStream::new(receiver);
            let carried = carry_stream(&context, &server, open, receiver, fresh, |event| {
                events.send(CallEvent::Stream { stream, event }).is_ok()
            });
            let ended = tokio::time::timeout(CARRY_MAX, carried).await;
            let (evidence, is_connection_lost) = match ended.unwrap_or(StreamEnd::Lost) {
                StreamEnd::ConnectFailed => (Evidence::ConnectFailed, false),
                StreamEnd::Closed => (Evidence::Silent, false),
                StreamEnd::Lost => (Evidence::Silent, true),
            };
            if is_connection_lost {
                context.clients.forget(&server);
            }
            // The call may have ended.
            let _ = events.send(CallEvent::StreamLost { stream, evidence });
        });
    }
}

/// Sends a probe to a server's agent over a fresh connection, because the present one may be silent.
pub fn probe(context: &DriverContext, entry: &EntryId, server: BackendServerId, seen: Revisions) {
    let envelope = Envelope {
        entry: entry.clone(),
        lists_revision: seen.lists,
        hosts_revision: seen.hosts,
        ..Envelope::default()
    };
    let request = AgentRequest::GetState(GetState { envelope });
    let context = context.clone();
    context.runtime.clone().spawn(async move {
        let carried = carry(&context, &server, request, true);
        let outcome = tokio::time::timeout(PROBE_TIMEOUT, carried).await;
        let is_answered = matches!(outcome, Ok(SendOutcome::Reply(_)));
        // The control thread outlives its probes.
        let _ = context.control.send(ControlEvent::Probed {
            server,
            is_answered,
        });
    });
}

async fn carry(
    context: &DriverContext,
    server: &BackendServerId,
    mut request: AgentRequest,
    fresh: bool,
) -> SendOutcome {
    let name: &'static str = (&request).into();
    let mut span = context.tracing.hop(name, &request.envelope().traceparent);
    span.attribute("cuminlead.server", server.to_string());
    request.envelope_mut().traceparent = span.traceparent().to_string();
    let Ok(mut client) = context.clients.client(server, fresh).await else {
        return SendOutcome::ConnectFailed;
    };
    let mut message = Request::new(proto::CallRequest::from(request));
    context.clients.secret().attach(&mut message);
    let reply = match client.call(message).await {
        Ok(reply) => AgentReply::try_from(reply.into_inner()).ok(),
        Err(status) if was_refused(&status) => return SendOutcome::ConnectFailed,
        Err(_) => None,
    };
    let Some(reply) = reply else {
        return SendOutcome::Lost;
    };
    // The control thread outlives the calls of its process.
    let _ = context
        .control
        .send(ControlEvent::Observed(reply.state.clone()));
    SendOutcome::Reply(Box::new(reply))
}

/// Whether the agent's handler refused the message before the control thread saw it.
fn was_refused(status: &Status) -> bool {
    matches!(status.code(), Code::Unauthenticated | Code::InvalidArgument)
}

/// How a decode stream ended.
enum StreamEnd {
    /// No connection was made.
    ConnectFailed,
    /// One side closed the stream; the connection is intact.
    Closed,
    /// The connection was lost.
    Lost,
}

async fn carry_stream(
    context: &DriverContext,
    server: &BackendServerId,
    mut open: DecodeOpen,
    controls: UnboundedReceiverStream<proto::DecodeRequest>,
    fresh: bool,
    emit: impl Fn(DecodeEvent) -> bool,
) -> StreamEnd {
    let mut span = context.tracing.hop("decode", &open.envelope.traceparent);
    span.attribute("cuminlead.server", server.to_string());
    open.envelope.traceparent = span.traceparent().to_string();
    let Ok(mut client) = context.clients.client(server, fresh).await else {
        return StreamEnd::ConnectFailed;
    };
    let messages = tokio_stream::once(proto::DecodeRequest::from(open)).chain(controls);
    let mut message = Request::new(messages);
    context.clients.secret().attach(&mut message);
    let Ok(replies) = client.decode(message).await else {
        return StreamEnd::Lost;
    };
    let mut replies = replies.into_inner();
    loop {
        let reply = match replies.message().await {
            Ok(Some(reply)) => reply,
            Ok(None) => return StreamEnd::Closed,
            Err(_) => return StreamEnd::Lost,
        };
        let Ok(event) = DecodeEvent::try_from(reply) else {
            return StreamEnd::Lost;
        };
        observe(context, &event);
        if !emit(event) {
            return StreamEnd::Closed;
        }
    }
}

fn observe(context: &DriverContext, event: &DecodeEvent) {
    let state = match event {
        DecodeEvent::Imported(state)
        | DecodeEvent::Heartbeat(state)
        | DecodeEvent::Failed { state, .. } => state.clone(),
        DecodeEvent::Chunk(_) => return,
    };
    // The control thread outlives the calls of its process.
    let _ = context.control.send(ControlEvent::Observed(state));
}
