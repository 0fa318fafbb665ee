//! Executes the actions of one call.
//!
//! The call's state machine (`cuminlead_entry_core::Call`) does no I/O. The driver feeds it events
//! and executes the actions that it returns. The driver blocks in the traffic thread of its
//! request; RPCs and decode streams run in tasks of the tokio runtime, which report their results
//! through the driver's channel.

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

use crate::connections::AgentConnections;
use crate::controller::ControlEvent;
use crate::status::EntryMetrics;

/// Timeout of an RPC or decode stream. No request lasts longer.
const RPC_TIMEOUT: Duration = Duration::from_secs(110);

const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for releasing the resources of a call after its response has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);

/// Resources that the drivers of an entry share.
#[derive(Clone, Debug)]
pub struct DriverContext {
    /// Clock of the process.
    pub clock: Clock,
    /// Channel to the control thread.
    pub control: Sender<ControlEvent>,
    /// Runtime that executes RPCs and decode streams.
    pub runtime: Handle,
    /// Connections to agents.
    pub connections: Arc<AgentConnections>,
    /// Counters for retries and discarded prefill work.
    pub metrics: EntryMetrics,
    /// Source of the spans of RPCs.
    pub tracing: Tracing,
}

/// Part of the response to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Part of a model's output.
    Delivery(Delivery),
    /// Complete response of a service.
    Response(HttpResponse),
    /// The request ended with an error.
    Error(CallerError),
}

/// Executes the actions of one call and queues its outputs for the caller.
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
    /// Creates the driver of an accepted call; [`Self::start`] begins the call.
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

    /// Begins the call with its first routing request.
    pub fn start(&mut self) {
        self.handle(CallEvent::Start);
    }

    /// Servers that the call addressed so far, in the order of first use.
    pub fn servers(&self) -> &[BackendServerId] {
        &self.servers
    }

    /// Waits for the next part of the response. Returns `None` if none arrives within `wait_max`.
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

    /// Releases the resources of the call after the caller got its response or disconnected.
    pub fn close(mut self, is_caller_disconnected: bool) {
        if is_caller_disconnected {
            self.handle(CallEvent::CallerDisconnected);
        }
        if self.call.is_ended() {
            return;
        }
        // The traffic thread returns to its pool: what remains only waits for short replies. If the
        // thread can't be started, the leases at the agents expire.
        let _ = thread::Builder::new()
            .name("settle".to_string())
            .spawn(move || self.release_resources());
    }

    fn release_resources(&mut self) {
        let until = Instant::now() + RELEASE_TIMEOUT;
        while !self.call.is_ended() && Instant::now() < until {
            self.step(until);
            self.outputs.clear();
        }
    }

    /// Handles one event or deadline. Returns false when `until` has passed.
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
            // Does not occur: the driver itself holds a sender.
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        true
    }

    fn handle(&mut self, event: CallEvent) {
        let mut actions = Vec::new();
        self.call
            .handle(self.context.clock.monotonic(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: CallAction) {
        match action {
            CallAction::Route(request) => {
                self.notify_control(ControlEvent::Route {
                    request,
                    reply: self.sender.clone(),
                });
            }
            CallAction::Send {
                send,
                server,
                request,
                use_new_connection,
            } => {
                self.send(send, server, request, use_new_connection);
            }
            CallAction::OpenStream {
                stream,
                server,
                open,
                use_new_connection,
            } => {
                self.open_stream(stream, server, open, use_new_connection);
            }
            CallAction::Control { stream, control } => self.send_control(stream, control),
            CallAction::CloseStream { stream } => {
                self.streams.remove(&stream);
            }
            CallAction::Deliver(delivery) => self.outputs.push_back(Output::Delivery(delivery)),
            CallAction::Respond(http) => self.outputs.push_back(Output::Response(http)),
            CallAction::Fail(error) => self.outputs.push_back(Output::Error(error)),
            CallAction::Report { server, evidence } => {
                self.notify_control(ControlEvent::Report { server, evidence });
            }
            CallAction::OutputGenerated { prompt_parts } => {
                self.notify_control(ControlEvent::OutputGenerated { prompt_parts });
            }
            CallAction::Stalled {
                request,
                server,
                since,
            } => {
                self.notify_control(ControlEvent::Stalled {
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

    fn notify_control(&self, event: ControlEvent) {
        // The control thread outlives the calls of its process.
        let _ = self.context.control.send(event);
    }

    fn record_server(&mut self, server: &BackendServerId) {
        if !self.servers.contains(server) {
            self.servers.push(server.clone());
        }
    }

    fn send_control(&mut self, stream: CallStreamRef, control: DecodeControl) {
        if let Some(controls) = self.streams.get(&stream) {
            // Fails only when the stream has ended, which its task reports as `StreamLost`.
            let _ = controls.send(control.into());
        }
    }

    fn send(
        &mut self,
        send: SendRef,
        server: BackendServerId,
        request: AgentRequest,
        use_new_connection: bool,
    ) {
        self.record_server(&server);
        let context = self.context.clone();
        let events = self.sender.clone();
        self.context.runtime.spawn(async move {
            let exchange = send_request(&context, &server, request, use_new_connection);
            let outcome = tokio::time::timeout(RPC_TIMEOUT, exchange).await;
            let outcome = outcome.unwrap_or(SendOutcome::Lost);
            if outcome == SendOutcome::Lost {
                context.connections.disconnect(&server);
            }
            // Fails only when the call has ended.
            let _ = events.send(CallEvent::Reply { send, outcome });
        });
    }

    fn open_stream(
        &mut self,
        stream: CallStreamRef,
        server: BackendServerId,
        open: DecodeOpen,
        use_new_connection: bool,
    ) {
        let (controls, receiver) = mpsc::unbounded_channel();
        self.streams.insert(stream, controls);
        let context = self.context.clone();
        let events = self.sender.clone();
        self.context.runtime.spawn(async move {
            let receiver = UnboundedReceiverStream::new(receiver);
            let exchange = relay_stream(
                &context,
                &server,
                open,
                receiver,
                use_new_connection,
                |event| events.send(CallEvent::Stream { stream, event }).is_ok(),
            );
            let ended = tokio::time::timeout(RPC_TIMEOUT, exchange).await;
            let (evidence, is_connection_lost) = match ended.unwrap_or(StreamEnd::Lost) {
                StreamEnd::ConnectFailed => (Evidence::ConnectFailed, false),
                StreamEnd::Closed => (Evidence::Unresponsive, false),
                StreamEnd::Lost => (Evidence::Unresponsive, true),
            };
            if is_connection_lost {
                context.connections.disconnect(&server);
            }
            // Fails only when the call has ended.
            let _ = events.send(CallEvent::StreamLost { stream, evidence });
        });
    }
}

/// Probes a server's agent by querying its state, and reports the result as
/// `ControlEvent::Probed`. Uses a new connection, because the current one may be unresponsive.
pub fn probe(
    context: &DriverContext,
    entry: &EntryId,
    server: BackendServerId,
    revisions: Revisions,
) {
    let envelope = Envelope {
        entry: entry.clone(),
        lists_revision: revisions.lists,
        hosts_revision: revisions.hosts,
        ..Envelope::default()
    };
    let request = AgentRequest::GetState(GetState { envelope });
    let context = context.clone();
    context.runtime.clone().spawn(async move {
        let exchange = send_request(&context, &server, request, true);
        let outcome = tokio::time::timeout(PROBE_TIMEOUT, exchange).await;
        let is_answered = matches!(outcome, Ok(SendOutcome::Reply(_)));
        // The control thread outlives its probes.
        let _ = context.control.send(ControlEvent::Probed {
            server,
            is_answered,
        });
    });
}

async fn send_request(
    context: &DriverContext,
    server: &BackendServerId,
    mut request: AgentRequest,
    use_new_connection: bool,
) -> SendOutcome {
    let name: &'static str = (&request).into();
    let mut span = context.tracing.hop(name, &request.envelope().traceparent);
    span.attribute("cuminlead.server", server.to_string());
    request.envelope_mut().traceparent = span.traceparent().to_string();
    let Ok(mut client) = context.connections.client(server, use_new_connection).await else {
        return SendOutcome::ConnectFailed;
    };
    let mut message = Request::new(proto::CallRequest::from(request));
    context.connections.secret().attach(&mut message);
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

/// Whether the agent rejected the message before its control thread saw it, so that it had no
/// effect.
fn was_refused(status: &Status) -> bool {
    matches!(status.code(), Code::Unauthenticated | Code::InvalidArgument)
}

/// How a decode stream ended.
enum StreamEnd {
    /// The connection could not be established.
    ConnectFailed,
    /// One side closed the stream; the connection can be reused.
    Closed,
    /// The stream failed or carried a malformed message; the connection counts as lost.
    Lost,
}

async fn relay_stream(
    context: &DriverContext,
    server: &BackendServerId,
    mut open: DecodeOpen,
    controls: UnboundedReceiverStream<proto::DecodeRequest>,
    use_new_connection: bool,
    emit: impl Fn(DecodeEvent) -> bool,
) -> StreamEnd {
    let mut span = context.tracing.hop("decode", &open.envelope.traceparent);
    span.attribute("cuminlead.server", server.to_string());
    open.envelope.traceparent = span.traceparent().to_string();
    let Ok(mut client) = context.connections.client(server, use_new_connection).await else {
        return StreamEnd::ConnectFailed;
    };
    let messages = tokio_stream::once(proto::DecodeRequest::from(open)).chain(controls);
    let mut message = Request::new(messages);
    context.connections.secret().attach(&mut message);
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
        report_agent_state(context, &event);
        if !emit(event) {
            return StreamEnd::Closed;
        }
    }
}

fn report_agent_state(context: &DriverContext, event: &DecodeEvent) {
    let state = match event {
        DecodeEvent::Imported(state)
        | DecodeEvent::Heartbeat(state)
        | DecodeEvent::Failed { state, .. } => state.clone(),
        DecodeEvent::Chunk(_) => return,
    };
    // The control thread outlives the calls of its process.
    let _ = context.control.send(ControlEvent::Observed(state));
}
