//! `ApplicationCall`: permit, run and question of one request to a plain service.
//!
//! At most one `RunCall` of a non-idempotent call is ever without proof of its fate. A permit is
//! used for one `RunCall` only, so a refusal of that message proves that nothing ran under it.
//!
//! | module | holds |
//! |---|---|
//! | `state` | what the call knows: phase, permit, proof |
//! | `messages` | messages to agents |
//! | `steps` | the good path from route to response |
//! | `keys` | replies about idempotency keys |
//! | `recover` | what follows a failure, by the retry table |
//! | `ending` | the one ending of the call |

use cuminlead_protocol::{HttpRequest, PermitIssued};
use cuminlead_retry::Step;
use cuminlead_types::{
    Attempt, BackendServerId, CustomerId, EntryId, IdempotencyKey, RequestId, Revision,
    SequenceNumber, ServiceName, TimeUs, UnixMs,
};

use crate::call::{Call, CallAction, CallEvent};
use crate::cause::Cause;
use crate::config::CallConfig;
use crate::sends::Sends;
use crate::turn::Turn;
use crate::watch::Awaited;

mod ending;
mod keys;
mod messages;
mod recover;
mod state;
mod steps;

use state::{Limits, Phase, Proof};

/// An application request inside its customer's plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApplicationRequest {
    /// Request.
    pub id: RequestId,
    /// This entry.
    pub entry: EntryId,
    /// Customer.
    pub customer: CustomerId,
    /// Service.
    pub service: ServiceName,
    /// Servers that the plan allows.
    pub servers: Vec<BackendServerId>,
    /// Whether the published routes allow a repeat.
    pub is_idempotent: bool,
    /// Caller's key.
    pub key: Option<IdempotencyKey>,
    /// When the caller made the key.
    pub key_issued_at_ms: Option<UnixMs>,
    /// Call to forward.
    pub http: HttpRequest,
    /// Revision of the lists that the request was checked against.
    pub lists_revision: Revision,
    /// Revision of the host list at the entry.
    pub hosts_revision: Revision,
    /// W3C trace context, or empty.
    pub traceparent: String,
}

/// State of one application request.
#[derive(Debug)]
pub struct ApplicationCall {
    config: CallConfig,
    request: ApplicationRequest,
    phase: Phase,
    attempt: Attempt,
    server: BackendServerId,
    permit: Option<PermitIssued>,
    proof: Proof,
    limits: Limits,
    excluded: Vec<BackendServerId>,
    sends: Sends,
    last_cause: Option<Cause>,
}

impl ApplicationCall {
    /// State of a request that was just accepted.
    pub fn new(config: CallConfig, request: ApplicationRequest) -> Self {
        Self {
            config,
            request,
            phase: Phase::Created,
            attempt: Attempt::ZERO,
            server: BackendServerId::default(),
            permit: None,
            proof: Proof::default(),
            limits: Limits::default(),
            excluded: Vec::new(),
            sends: Sends::default(),
            last_cause: None,
        }
    }

    fn handle_event(&mut self, turn: &mut Turn, event: CallEvent) {
        match event {
            CallEvent::Start => self.start(turn),
            CallEvent::Routed(result) => self.routed(turn, result),
            CallEvent::Reply { send, outcome } => self.replied(turn, send, outcome),
            CallEvent::CallerGone => self.caller_gone(),
            CallEvent::Deadline | CallEvent::Stream { .. } | CallEvent::StreamLost { .. } => {}
        }
    }
}

impl Call for ApplicationCall {
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>) {
        let turn = &mut Turn::new(now, actions);
        self.check_time_limit(turn);
        self.handle_event(turn, event);
        self.check_deadlines(turn);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        if !self.is_running() {
            return None;
        }
        let deadlines = [
            Some(self.limits.ends_at),
            self.pause_deadline(),
            self.sends.next_deadline(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    fn awaited(&self) -> Option<Awaited> {
        let step = match self.phase {
            Phase::Permit(_) => Step::Permit,
            // A question about a call is no progress of the call.
            Phase::Run(_) | Phase::Ask { .. } | Phase::AskPause { .. } => Step::Run,
            Phase::Created
            | Phase::Route
            | Phase::RoutePause(_)
            | Phase::KeyPause(_)
            | Phase::Ended => return None,
        };
        Some(Awaited {
            server: self.server.clone(),
            step,
            attempt: self.attempt,
            next: SequenceNumber::ZERO,
        })
    }
}
