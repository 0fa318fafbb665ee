//! The [`Call`] trait, and the events and actions that model and application calls share.

use cuminlead_protocol::{
    AgentReply, AgentRequest, DecodeControl, DecodeEvent, DecodeOpen, FinishReason, HttpResponse,
};
use cuminlead_retry::{CallKind, Evidence, Step};
use cuminlead_routing::{NoRoute, Route, RouteRequest};
use cuminlead_types::{BackendServerId, PromptPartId, RequestId, SequenceNumber, TimeUs, Tokens};

use crate::error::CallerError;
use crate::stall::PendingStep;

/// State machine of one request. A driver feeds it events and executes its actions.
pub trait Call: Send {
    /// Processes an event and appends the resulting actions.
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>);

    /// Time by which the driver must deliver a `Deadline` event; `None` while no timeout is
    /// pending.
    fn next_deadline(&self) -> Option<TimeUs>;

    /// Whether the call has ended and waits neither for the confirmation of a release nor for a
    /// late reply.
    fn is_ended(&self) -> bool;

    /// Step that the call waits for at a server; `None` while it waits for none.
    fn pending_step(&self) -> Option<PendingStep> {
        None
    }
}

/// Identifies a message sent to an agent. Numbers increase within a call and are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendRef(pub u64);

/// Identifies a decode stream opened by a call. Numbers increase within a call and are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallStreamRef(pub u64);

/// Event that advances a call.
#[derive(Clone, Debug)]
pub enum CallEvent {
    /// The caller's request was accepted.
    Start,
    /// Result of a `Route` action.
    Routed(Result<Route, NoRoute>),
    /// A message was answered or failed.
    Reply {
        /// Message that the result belongs to.
        send: SendRef,
        /// Reply of the agent, or why there is none.
        outcome: SendOutcome,
    },
    /// A message arrived on a decode stream.
    Stream {
        /// Stream that it arrived on.
        stream: CallStreamRef,
        /// Content of the message.
        event: DecodeEvent,
    },
    /// A decode stream ended before its last chunk.
    StreamLost {
        /// Stream that ended.
        stream: CallStreamRef,
        /// Evidence of why it ended.
        evidence: Evidence,
    },
    /// The time of [`Call::next_deadline`] was reached.
    Deadline,
    /// The caller disconnected.
    CallerDisconnected,
}

/// Result of a message to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The agent replied.
    Reply(Box<AgentReply>),
    /// No connection could be established, so the agent did not get the message.
    ConnectFailed,
    /// The connection ended or timed out after the message was sent, so the agent may have got it.
    Lost,
}

/// Action that the driver of a call must execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Chooses servers; [`CallEvent::Routed`] carries the result.
    Route(RouteRequest),
    /// Sends a message; [`CallEvent::Reply`] carries the result.
    Send {
        /// Number of the message, for the reply.
        send: SendRef,
        /// Server whose agent receives the message.
        server: BackendServerId,
        /// Content of the message.
        request: AgentRequest,
        /// Whether to use a new connection, because the current one may be unresponsive.
        use_new_connection: bool,
    },
    /// Opens a decode stream.
    OpenStream {
        /// Number of the new stream.
        stream: CallStreamRef,
        /// Server whose agent serves the stream.
        server: BackendServerId,
        /// First message on the stream.
        open: DecodeOpen,
        /// Whether to use a new connection, because the current one may be unresponsive.
        use_new_connection: bool,
    },
    /// Sends a message on an open decode stream.
    Control {
        /// Stream to send on.
        stream: CallStreamRef,
        /// Content of the message.
        control: DecodeControl,
    },
    /// Closes a decode stream.
    CloseStream {
        /// Stream to close.
        stream: CallStreamRef,
    },
    /// Delivers part of the output to the caller.
    Deliver(Delivery),
    /// Returns a service's response to the caller; ends the response.
    Respond(HttpResponse),
    /// Returns an error to the caller; ends the response.
    Fail(CallerError),
    /// Reports a locally observed success or failure of a server to membership and routing, once
    /// the server's part of the call is over. See [`counts_against_server`].
    Report {
        /// Server that the report is about.
        server: BackendServerId,
        /// Evidence of its failure; `None` when the server completed its part.
        evidence: Option<Evidence>,
    },
    /// Reports that an engine has generated output for the prompt of the call, and has not crashed
    /// on it.
    OutputGenerated {
        /// Prefixes of the prompt that other prompts may share, shortest first.
        prompt_parts: Vec<PromptPartId>,
    },
    /// Reports to [`crate::StallReports`] that the call waits for a server without progress.
    Stalled {
        /// Request of the stalled call.
        request: RequestId,
        /// Server that the call waits for.
        server: BackendServerId,
        /// Time of the last progress; `None` withdraws the report.
        since: Option<TimeUs>,
    },
    /// Counts prefill work that was done and then discarded.
    WastedPrefill {
        /// Prompt tokens that were computed; those from the prefix cache are not included.
        tokens: Tokens,
        /// Evidence that made the call discard them.
        cause: Evidence,
    },
    /// Counts a retry, by its row of the retry table.
    Retried {
        /// Kind of call.
        kind: CallKind,
        /// Step that failed.
        step: Step,
        /// Evidence that led to the retry.
        evidence: Evidence,
    },
}

/// Whether membership counts the evidence as a failure of the server.
///
/// A server that refuses, drains or has just restarted still replies, and the state of a permit
/// says nothing about its server. Counting these would put a busy server into back-off.
pub const fn counts_against_server(evidence: Evidence) -> bool {
    match evidence {
        Evidence::ConnectFailed
        | Evidence::Unresponsive
        | Evidence::TimedOut
        | Evidence::EngineFailed => true,
        Evidence::RefusedNotRun
        | Evidence::Draining
        | Evidence::NewIncarnation
        | Evidence::Voided
        | Evidence::StillRunning
        | Evidence::OutcomeUnknown
        | Evidence::Cancelled
        | Evidence::StaleLists => false,
    }
}

/// Part of a model's output, for delivery to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Position in the output; starts at zero and has no gaps over all attempts.
    pub sequence: SequenceNumber,
    /// Generated text. Empty when only `finish` is delivered.
    pub text: String,
    /// Tokens in `text`.
    pub tokens: Tokens,
    /// Why the output ended; set on its last part only.
    pub finish: Option<FinishReason>,
}
