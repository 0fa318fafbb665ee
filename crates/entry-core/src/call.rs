//! Events and actions shared by both kinds of call.

use cuminlead_protocol::{
    AgentReply, AgentRequest, DecodeControl, DecodeEvent, DecodeOpen, FinishReason, HttpResponse,
};
use cuminlead_retry::{CallKind, Evidence, Step};
use cuminlead_routing::{NoRoute, Route, RouteRequest};
use cuminlead_types::{BackendServerId, RequestId, SequenceNumber, TimeUs, Tokens};

use crate::error::CallerError;
use crate::watch::Awaited;

/// A call that a driver advances with events.
pub trait Call: Send {
    /// Decides on an event and appends the resulting actions.
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>);

    /// Time at which a `Deadline` event is needed at the latest.
    fn next_deadline(&self) -> Option<TimeUs>;

    /// Whether the call has ended and every message that frees resources was sent.
    fn is_ended(&self) -> bool;

    /// Answer of a server that the call waits for.
    fn awaited(&self) -> Option<Awaited> {
        None
    }
}

/// Message sent to an agent; numbers grow within one call and are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendRef(pub u64);

/// Decode stream opened by a call; numbers grow within one call and are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallStreamRef(pub u64);

/// Something that happened to a call.
#[derive(Clone, Debug)]
pub enum CallEvent {
    /// The caller's request was accepted.
    Start,
    /// Answer to a `Route` action.
    Routed(Result<Route, NoRoute>),
    /// A message was answered or lost.
    Reply {
        /// The message.
        send: SendRef,
        /// What came of it.
        outcome: SendOutcome,
    },
    /// A decode stream brought something.
    Stream {
        /// The stream.
        stream: CallStreamRef,
        /// What it brought.
        event: DecodeEvent,
    },
    /// A decode stream ended without a last chunk.
    StreamLost {
        /// The stream.
        stream: CallStreamRef,
        /// What is known about it.
        evidence: Evidence,
    },
    /// The time of `next_deadline` has come.
    Deadline,
    /// The caller is gone.
    CallerGone,
}

/// What came of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The agent answered.
    Reply(Box<AgentReply>),
    /// No connection was made, so the agent did not get the message.
    ConnectFailed,
    /// The connection ended or timed out after the message was sent.
    Lost,
}

/// Something that the driver of a call must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Chooses servers and answers with `Routed`.
    Route(RouteRequest),
    /// Sends a message and answers with `Reply`.
    Send {
        /// The message.
        send: SendRef,
        /// Receiver.
        server: BackendServerId,
        /// Content.
        request: AgentRequest,
        /// Whether a connection must be made anew because the present one is silent.
        fresh: bool,
    },
    /// Opens a decode stream.
    OpenStream {
        /// The stream.
        stream: CallStreamRef,
        /// Receiver.
        server: BackendServerId,
        /// First message.
        open: DecodeOpen,
        /// Whether a connection must be made anew because the present one is silent.
        fresh: bool,
    },
    /// Sends on a decode stream.
    Control {
        /// The stream.
        stream: CallStreamRef,
        /// Content.
        control: DecodeControl,
    },
    /// Drops a decode stream.
    CloseStream {
        /// The stream.
        stream: CallStreamRef,
    },
    /// Hands part of the answer to the caller.
    Deliver(Delivery),
    /// Hands a service's response to the caller; ends the answer.
    Respond(HttpResponse),
    /// Hands an error to the caller; ends the answer.
    Fail(CallerError),
    /// Reports first-hand evidence about a server, once its part of the call is over, to membership
    /// and routing; see [`counts_against_server`].
    Report {
        /// Server.
        server: BackendServerId,
        /// `None` when the server did what it was asked.
        evidence: Option<Evidence>,
    },
    /// Reports that the call waits for a server without progress, to [`crate::StallReports`].
    Stalled {
        /// The call.
        request: RequestId,
        /// Server.
        server: BackendServerId,
        /// Last progress; `None` takes the report back.
        since: Option<TimeUs>,
    },
    /// Counts prompt tokens that were computed and then discarded.
    WastedPrefill {
        /// Tokens.
        tokens: Tokens,
        /// Evidence that made the call give them up.
        cause: Evidence,
    },
    /// Counts a retry by its row in the table.
    Retried {
        /// Kind of the call.
        kind: CallKind,
        /// Step that failed.
        step: Step,
        /// Evidence that led to the retry.
        evidence: Evidence,
    },
}

/// Whether evidence is a failure of the server for membership.
///
/// A server that refuses, drains or has just restarted answers, and the fate of a permit says
/// nothing about it; counting these would put a busy server into back-off.
pub const fn counts_against_server(evidence: Evidence) -> bool {
    match evidence {
        Evidence::ConnectFailed
        | Evidence::Silent
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

/// Part of an answer on its way to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Position in the answer.
    pub sequence: SequenceNumber,
    /// Text.
    pub text: String,
    /// Tokens in `text`.
    pub tokens: Tokens,
    /// Set on the last part.
    pub finish: Option<FinishReason>,
}
