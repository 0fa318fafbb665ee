//! [`ModelCall`]: the state machine of a model request.
//!
//! Without failures, a call reserves a decode slot, prefills the prompt on another engine, has the
//! decode engine import the KV cache, and streams the output to the caller.
//!
//! | module | contents |
//! |---|---|
//! | `state` | phase, current attempt, delivered output |
//! | `holds` | resources that agents may hold for the call, and their release |
//! | `messages` | construction of messages to agents |
//! | `prefix` | hashes of the prompt's leading blocks |
//! | `steps` | the steps from routing to the open stream, and replies to messages |
//! | `stream` | events of the decode stream |
//! | `recover` | retries after a failed step, by the retry table |
//! | `reuse` | use of a finished prefill at another decode server |
//! | `ending` | completion, failure and cancellation of the call |

use cuminlead_protocol::ModelTarget;
use cuminlead_retry::Step;
use cuminlead_types::{
    BackendServerId, CustomerId, DurationUs, EntryId, Priority, RequestId, Revision, TimeUs, Tokens,
};

use crate::call::{Call, CallAction, CallEvent};
use crate::cause::Cause;
use crate::config::CallConfig;
use crate::sends::Sends;
use crate::turn::Turn;
use crate::watch::Awaited;

mod ending;
mod holds;
mod messages;
mod prefix;
mod recover;
mod reuse;
mod state;
mod steps;
mod stream;

use holds::Holds;
use state::{Answer, AttemptState, Limits, Phase};

/// A model request inside its customer's plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelRequest {
    /// Request.
    pub id: RequestId,
    /// This entry.
    pub entry: EntryId,
    /// Customer.
    pub customer: CustomerId,
    /// Model, adapter and version from the plan.
    pub target: ModelTarget,
    /// Priority from the plan.
    pub priority: Priority,
    /// Servers that the plan allows.
    pub servers: Vec<BackendServerId>,
    /// Prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    pub output_max_tokens: Tokens,
    /// Target for the time to first token.
    pub first_token_us: DurationUs,
    /// Revision of the lists that the request was checked against.
    pub lists_revision: Revision,
    /// Revision of the host list at the entry.
    pub hosts_revision: Revision,
    /// W3C trace context, or empty.
    pub traceparent: String,
}

/// State of one model request.
#[derive(Debug)]
pub struct ModelCall {
    config: CallConfig,
    request: ModelRequest,
    prefix_hashes: Vec<u64>,
    phase: Phase,
    attempt: AttemptState,
    answer: Answer,
    limits: Limits,
    excluded: Vec<BackendServerId>,
    holds: Holds,
    sends: Sends,
    stream_count: u64,
    last_cause: Option<Cause>,
}

impl ModelCall {
    /// State of a request that was just accepted.
    pub fn new(config: CallConfig, request: ModelRequest) -> Self {
        let prefix_hashes = prefix::hashes(&request.prompt, config.prefix_block_tokens);
        Self {
            config,
            request,
            prefix_hashes,
            phase: Phase::Created,
            attempt: AttemptState::default(),
            answer: Answer::default(),
            limits: Limits::default(),
            excluded: Vec::new(),
            holds: Holds::default(),
            sends: Sends::default(),
            stream_count: 0,
            last_cause: None,
        }
    }

    fn handle_event(&mut self, turn: &mut Turn, event: CallEvent) {
        match event {
            CallEvent::Start => self.start(turn),
            CallEvent::Routed(result) => self.routed(turn, result),
            CallEvent::Reply { send, outcome } => self.replied(turn, send, outcome),
            CallEvent::Stream { stream, event } => self.stream_event(turn, stream, event),
            CallEvent::StreamLost { stream, evidence } => self.stream_lost(turn, stream, evidence),
            CallEvent::Deadline => {}
            CallEvent::CallerGone => self.caller_gone(turn),
        }
    }
}

impl Call for ModelCall {
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>) {
        let turn = &mut Turn::new(now, actions);
        self.check_time_limit(turn);
        self.handle_event(turn, event);
        self.check_deadlines(turn);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        let deadlines = [
            self.time_limit(),
            self.stream_deadline(),
            self.sends.next_deadline(),
            self.holds.next_deadline(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn is_ended(&self) -> bool {
        let is_settled =
            self.sends.next_deadline().is_none() && self.holds.next_deadline().is_none();
        self.phase == Phase::Ended && is_settled
    }

    fn awaited(&self) -> Option<Awaited> {
        let (server, step) = match &self.phase {
            Phase::Prefill(_) => (&self.attempt.prefill, Step::Prefill),
            Phase::Stream(_) => (&self.attempt.decode, self.stream_step()),
            // A reservation waits in the queue of a full server, which is no sign of a stall.
            Phase::Created
            | Phase::RoutePair
            | Phase::Reserve(_)
            | Phase::RoutePrefill
            | Phase::Ended => return None,
        };
        Some(Awaited {
            server: server.clone(),
            step,
            attempt: self.attempt.number,
            next: self.answer.next,
        })
    }
}
