//! [`ApplicationCall`]: the state machine of a request to a plain service.
//!
//! A non-idempotent call first gets a permit from the agent and sends it with its `RunCall`. At
//! most one `RunCall` of a non-idempotent call is ever unresolved, that is, without proof of
//! whether it ran. A permit is used for one `RunCall` only, so a refusal of that message proves
//! that nothing ran under the permit.
//!
//! | module | contents |
//! |---|---|
//! | `state` | phase, and which sent calls may have run |
//! | `messages` | construction of messages to agents |
//! | `steps` | the steps from routing to the response, and replies to messages |
//! | `keys` | replies about idempotency keys |
//! | `recover` | retries after a failed step, by the retry table |
//! | `completion` | completion and failure of the call |

use cuminlead_protocol::{HttpRequest, PermitIssued};
use cuminlead_retry::Step;
use cuminlead_types::{
    Attempt, BackendServerId, CustomerId, EntryId, IdempotencyKey, RequestId, Revision,
    SequenceNumber, ServiceName, TimeUs, UnixMs,
};

use crate::call::{Call, CallAction, CallEvent};
use crate::cause::Cause;
use crate::config::CallConfig;
use crate::outstanding::OutstandingMessages;
use crate::stall::PendingStep;
use crate::turn::Turn;

mod completion;
mod keys;
mod messages;
mod recover;
mod state;
mod steps;

use state::{Limits, Phase, UnresolvedRuns};

/// Application request that the customer's plan allows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApplicationRequest {
    /// Identifies the request in messages, logs and traces.
    pub id: RequestId,
    /// Entry process that handles the request.
    pub entry: EntryId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Restricts the choice of servers; empty for all servers that the plan allows.
    pub servers: Vec<BackendServerId>,
    /// Whether the published routes allow the call to run more than once.
    pub is_idempotent: bool,
    /// Idempotency key, when the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// When the caller created the key, if the caller sent that time.
    pub key_issued_at_ms: Option<UnixMs>,
    /// HTTP request to forward to the service.
    pub http: HttpRequest,
    /// Revision of the lists that the request was checked against.
    pub lists_revision: Revision,
    /// Active revision of the host list at the entry process.
    pub hosts_revision: Revision,
    /// W3C `traceparent` sent to agents; empty without tracing.
    pub traceparent: String,
}

/// State machine of one application request.
#[derive(Debug)]
pub struct ApplicationCall {
    config: CallConfig,
    request: ApplicationRequest,
    phase: Phase,
    attempt: Attempt,
    server: BackendServerId,
    permit: Option<PermitIssued>,
    unresolved_runs: UnresolvedRuns,
    limits: Limits,
    excluded: Vec<BackendServerId>,
    outstanding: OutstandingMessages,
    last_cause: Option<Cause>,
}

impl ApplicationCall {
    /// Call for an accepted request; [`CallEvent::Start`] begins it.
    pub fn new(config: CallConfig, request: ApplicationRequest) -> Self {
        Self {
            config,
            request,
            phase: Phase::Created,
            attempt: Attempt::ZERO,
            server: BackendServerId::default(),
            permit: None,
            unresolved_runs: UnresolvedRuns::default(),
            limits: Limits::default(),
            excluded: Vec::new(),
            outstanding: OutstandingMessages::default(),
            last_cause: None,
        }
    }

    fn handle_event(&mut self, turn: &mut Turn, event: CallEvent) {
        match event {
            CallEvent::Start => self.start(turn),
            CallEvent::Routed(result) => self.on_routed(turn, result),
            CallEvent::Reply { send, outcome } => self.on_reply(turn, send, outcome),
            CallEvent::CallerDisconnected => self.on_caller_disconnected(),
            CallEvent::Deadline | CallEvent::Stream { .. } | CallEvent::StreamLost { .. } => {}
        }
    }
}

impl Call for ApplicationCall {
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>) {
        let turn = &mut Turn::new(now, actions);
        self.check_request_deadline(turn);
        self.handle_event(turn, event);
        self.check_timeouts(turn);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        if !self.is_running() {
            return None;
        }
        let deadlines = [
            Some(self.limits.deadline),
            self.pause_deadline(),
            self.outstanding.next_deadline(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    fn pending_step(&self) -> Option<PendingStep> {
        let step = match self.phase {
            Phase::Permit(_) => Step::Permit,
            // A query about a call is no progress of the call.
            Phase::Run(_) | Phase::Query { .. } | Phase::QueryPause { .. } => Step::Run,
            Phase::Created
            | Phase::Route
            | Phase::RoutePause(_)
            | Phase::KeyPause(_)
            | Phase::Ended => return None,
        };
        Some(PendingStep {
            server: self.server.clone(),
            step,
            attempt: self.attempt,
            next_sequence: SequenceNumber::ZERO,
        })
    }
}
