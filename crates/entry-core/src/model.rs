//! [`ModelCall`]: the state machine of a model request.
//!
//! Without failures, a call reserves a decode slot, prefills the prompt on another engine, has the
//! decode engine import the KV cache, and streams the output to the caller.
//!
//! | module | contents |
//! |---|---|
//! | `state` | phase, current attempt, delivered output |
//! | `resources` | resources that agents may hold for the call, and their release |
//! | `messages` | construction of messages to agents |
//! | `prefix` | hashes of the prompt's leading blocks |
//! | `steps` | the steps from routing to the open stream, and replies to messages |
//! | `stream` | events of the decode stream |
//! | `recover` | retries after a failed step, by the retry table |
//! | `reuse` | use of a finished prefill at another decode server |
//! | `completion` | completion, failure and cancellation of the call |

use cuminlead_protocol::ModelTarget;
use cuminlead_retry::Step;
use cuminlead_types::{
    BackendServerId, CustomerId, DurationUs, EntryId, Priority, PromptPartId, RequestId, Revision,
    TimeUs, Tokens,
};

use crate::call::{Call, CallAction, CallEvent};
use crate::cause::Cause;
use crate::config::CallConfig;
use crate::outstanding::OutstandingMessages;
use crate::stall::PendingStep;
use crate::turn::Turn;

mod completion;
mod messages;
mod prefix;
mod recover;
mod resources;
mod reuse;
mod state;
mod steps;
mod stream;

use resources::AgentResources;
use state::{AttemptState, DeliveredOutput, Limits, Phase};

/// Model request that the customer's plan allows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelRequest {
    /// Identifies the request in messages, logs and traces.
    pub id: RequestId,
    /// Entry process that handles the request.
    pub entry: EntryId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Model, adapter and version, from the plan.
    pub target: ModelTarget,
    /// Scheduling priority, from the plan.
    pub priority: Priority,
    /// Restricts the choice of servers; empty for all servers that the plan allows.
    pub servers: Vec<BackendServerId>,
    /// Prompt text, not tokenized.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub output_max_tokens: Tokens,
    /// Target for the time to first token, from the start of the call.
    pub first_token_us: DurationUs,
    /// Revision of the lists that the request was checked against.
    pub lists_revision: Revision,
    /// Active revision of the host list at the entry process.
    pub hosts_revision: Revision,
    /// W3C `traceparent` sent to agents; empty without tracing.
    pub traceparent: String,
}

/// State machine of one model request.
#[derive(Debug)]
pub struct ModelCall {
    config: CallConfig,
    request: ModelRequest,
    prefix_hashes: Vec<u64>,
    prompt_parts: Vec<PromptPartId>,
    phase: Phase,
    attempt: AttemptState,
    delivered: DeliveredOutput,
    limits: Limits,
    excluded: Vec<BackendServerId>,
    resources: AgentResources,
    outstanding: OutstandingMessages,
    stream_count: u64,
    last_cause: Option<Cause>,
}

impl ModelCall {
    /// Call for an accepted request; [`CallEvent::Start`] begins it.
    pub fn new(config: CallConfig, request: ModelRequest) -> Self {
        let prefix_hashes = prefix::hashes(&request.prompt, config.prefix_block_tokens);
        let prompt_parts = prefix::parts(&request.prompt, &prefix_hashes);
        Self {
            config,
            request,
            prefix_hashes,
            prompt_parts,
            phase: Phase::Created,
            attempt: AttemptState::default(),
            delivered: DeliveredOutput::default(),
            limits: Limits::default(),
            excluded: Vec::new(),
            resources: AgentResources::default(),
            outstanding: OutstandingMessages::default(),
            stream_count: 0,
            last_cause: None,
        }
    }

    fn handle_event(&mut self, turn: &mut Turn, event: CallEvent) {
        match event {
            CallEvent::Start => self.start(turn),
            CallEvent::Routed(result) => self.on_routed(turn, result),
            CallEvent::Reply { send, outcome } => self.on_reply(turn, send, outcome),
            CallEvent::Stream { stream, event } => self.on_stream_event(turn, stream, event),
            CallEvent::StreamLost { stream, evidence } => {
                self.on_stream_lost(turn, stream, evidence)
            }
            CallEvent::Deadline => {}
            CallEvent::CallerDisconnected => self.on_caller_disconnected(turn),
        }
    }
}

impl Call for ModelCall {
    fn handle(&mut self, now: TimeUs, event: CallEvent, actions: &mut Vec<CallAction>) {
        let turn = &mut Turn::new(now, actions);
        self.check_request_deadline(turn);
        self.handle_event(turn, event);
        self.check_timeouts(turn);
    }

    fn next_deadline(&self) -> Option<TimeUs> {
        let deadlines = [
            self.request_deadline(),
            self.stream_deadline(),
            self.outstanding.next_deadline(),
            self.resources.next_deadline(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn is_ended(&self) -> bool {
        let is_released =
            self.outstanding.next_deadline().is_none() && self.resources.next_deadline().is_none();
        self.phase == Phase::Ended && is_released
    }

    fn pending_step(&self) -> Option<PendingStep> {
        let (server, step) = match &self.phase {
            Phase::Prefill(_) => (&self.attempt.prefill_server, Step::Prefill),
            Phase::Stream(_) => (&self.attempt.decode_server, self.stream_step()),
            // A reservation may wait in the queue of a fully loaded server, which is not a stall.
            Phase::Created
            | Phase::RoutePair
            | Phase::Reserve(_)
            | Phase::RoutePrefill
            | Phase::Ended => return None,
        };
        Some(PendingStep {
            server: server.clone(),
            step,
            attempt: self.attempt.number,
            next_sequence: self.delivered.next_sequence,
        })
    }
}
