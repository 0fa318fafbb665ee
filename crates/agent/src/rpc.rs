//! gRPC service for entries.
//!
//! Handlers only convert messages: each message becomes an event for the control thread, and the
//! reply comes back over a channel. If a handler is dropped because its connection ended, the
//! control thread is notified as well.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam::channel::Sender;
use cuminlead_agent_core::{AgentEvent, CallRef, StreamRef};
use cuminlead_process::secret::PeerSecret;
use cuminlead_protocol::{AgentReply, AgentRequest, DecodeEvent, DecodeOpen};
use cuminlead_telemetry::Tracing;
use cuminlead_wire::proto;
use cuminlead_wire::proto::agent_server::Agent;
use cuminlead_wire::stream::DecodeMessage;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};

use crate::controller::ControlEvent;

/// Implementation of the gRPC service `Agent`.
#[derive(Clone, Debug)]
pub struct AgentRpc {
    control: Sender<ControlEvent>,
    next_ref: Arc<AtomicU64>,
    secret: PeerSecret,
    tracing: Tracing,
}

impl AgentRpc {
    /// Creates the service. Requests must carry `secret` if one is set.
    pub fn new(control: Sender<ControlEvent>, secret: PeerSecret, tracing: Tracing) -> Self {
        Self {
            control,
            next_ref: Arc::default(),
            secret,
            tracing,
        }
    }

    fn next_ref(&self) -> u64 {
        self.next_ref.fetch_add(1, Ordering::Relaxed)
    }

    fn send(&self, event: ControlEvent) -> Result<(), Status> {
        self.control
            .send(event)
            .map_err(|_| Status::unavailable("the agent has stopped"))
    }
}

/// Sends `CallDropped` when a handler is dropped before its reply.
struct CallDropGuard {
    control: Sender<ControlEvent>,
    call: Option<CallRef>,
}

impl Drop for CallDropGuard {
    fn drop(&mut self) {
        if let Some(call) = self.call {
            // Fails only when the control thread has already ended.
            let _ = self
                .control
                .send(ControlEvent::Agent(AgentEvent::CallDropped { call }));
        }
    }
}

fn invalid(error: cuminlead_wire::WireError) -> Status {
    Status::invalid_argument(error.to_string())
}

#[tonic::async_trait]
impl Agent for AgentRpc {
    async fn call(
        &self,
        request: Request<proto::CallRequest>,
    ) -> Result<Response<proto::CallReply>, Status> {
        self.secret.check(&request)?;
        let mut request = AgentRequest::try_from(request.into_inner()).map_err(invalid)?;
        let name: &'static str = (&request).into();
        let mut span = self.tracing.hop(name, &request.envelope().traceparent);
        span.attribute("cuminlead.request", request.envelope().id.to_string());
        request.envelope_mut().traceparent = span.traceparent().to_string();
        let call = CallRef(self.next_ref());
        let (reply, replied) = oneshot::channel();
        let mut guard = CallDropGuard {
            control: self.control.clone(),
            call: Some(call),
        };
        self.send(ControlEvent::Call {
            call,
            request,
            reply,
        })?;
        let reply: Result<AgentReply, _> = replied.await;
        guard.call = None;
        let reply = reply.map_err(|_| Status::unavailable("the agent has stopped"))?;
        Ok(Response::new(reply.into()))
    }

    type DecodeStream = Pin<Box<dyn Stream<Item = Result<proto::DecodeReply, Status>> + Send>>;

    async fn decode(
        &self,
        request: Request<Streaming<proto::DecodeRequest>>,
    ) -> Result<Response<Self::DecodeStream>, Status> {
        self.secret.check(&request)?;
        let mut messages = request.into_inner();
        let mut open = first_message(&mut messages).await?;
        let stream = StreamRef(self.next_ref());
        let mut span = self.tracing.hop("decode", &open.envelope.traceparent);
        span.attribute("cuminlead.request", open.envelope.id.to_string());
        open.envelope.traceparent = span.traceparent().to_string();
        let (events, receiver) = mpsc::unbounded_channel::<DecodeEvent>();
        self.send(ControlEvent::Stream {
            stream,
            open,
            events,
        })?;
        tokio::spawn(forward_controls(self.control.clone(), stream, messages));
        let replies = UnboundedReceiverStream::new(receiver).map(move |event| {
            let _ = &span;
            Ok(proto::DecodeReply::from(event))
        });
        Ok(Response::new(Box::pin(replies)))
    }
}

async fn first_message(
    messages: &mut Streaming<proto::DecodeRequest>,
) -> Result<DecodeOpen, Status> {
    let first = messages.message().await?;
    let first = first.ok_or_else(|| Status::invalid_argument("the stream has no message"))?;
    match DecodeMessage::try_from(first).map_err(invalid)? {
        DecodeMessage::Open(open) => Ok(open),
        DecodeMessage::Control(_) => Err(Status::invalid_argument(
            "the first message neither starts nor resumes",
        )),
    }
}

async fn forward_controls(
    control: Sender<ControlEvent>,
    stream: StreamRef,
    mut messages: Streaming<proto::DecodeRequest>,
) {
    while let Ok(Some(message)) = messages.message().await {
        let Ok(DecodeMessage::Control(message)) = DecodeMessage::try_from(message) else {
            break;
        };
        let event = AgentEvent::StreamControl {
            stream,
            control: message,
        };
        if control.send(ControlEvent::Agent(event)).is_err() {
            return;
        }
    }
    // Fails only when the control thread has already ended.
    let _ = control.send(ControlEvent::Agent(AgentEvent::StreamClosed { stream }));
}
