//! Construction of a model call's route requests and messages to agents.

use cuminlead_protocol::{
    AgentRequest, DecodeMode, DecodeOpen, DecodeResume, DecodeStart, Envelope, Prefill, Release,
    Reserve,
};
use cuminlead_routing::request::ModelRequirements;
use cuminlead_routing::{RouteKind, RouteRequest};
use cuminlead_types::{Attempt, AttemptId, DurationUs, TimeUs, Tokens};

use super::ModelCall;

impl ModelCall {
    pub(super) fn envelope(&self, attempt: Attempt) -> Envelope {
        let request = &self.request;
        Envelope {
            entry: request.entry.clone(),
            id: AttemptId {
                request: request.id,
                attempt,
            },
            customer: request.customer.clone(),
            lists_revision: request.lists_revision,
            hosts_revision: request.hosts_revision,
            traceparent: request.traceparent.clone(),
        }
    }

    pub(super) fn reserve_message(&self, now: TimeUs) -> AgentRequest {
        AgentRequest::Reserve(Reserve {
            envelope: self.envelope(self.attempt.number),
            target: self.request.target.clone(),
            priority: self.request.priority,
            prompt_tokens: self.prompt_tokens(),
            prompt_parts: self.prompt_parts.clone(),
            output_max_tokens: self.remaining_output(),
            lease_us: self.lease_duration(),
            due_us: self.first_token_due_in(now),
            wait_max_us: self.queue_wait_max(now),
        })
    }

    pub(super) fn prefill_message(&self, now: TimeUs) -> AgentRequest {
        AgentRequest::Prefill(Prefill {
            envelope: self.envelope(self.attempt.number),
            target: self.request.target.clone(),
            priority: self.request.priority,
            prompt: self.prompt_with_output(),
            prompt_tokens: self.prompt_tokens(),
            due_us: self.prefill_due_in(now),
            wait_max_us: self.queue_wait_max(now),
        })
    }

    pub(super) fn release_message(&self, attempt: Attempt) -> AgentRequest {
        AgentRequest::Release(Release {
            envelope: self.envelope(attempt),
        })
    }

    pub(super) fn open_message(&self) -> DecodeOpen {
        let mode = if self.attempt.is_kv_imported {
            DecodeMode::Resume(DecodeResume {
                incarnation: self.attempt.incarnation,
                next_sequence: self.delivered.next_sequence,
            })
        } else {
            DecodeMode::Start(self.decode_start())
        };
        DecodeOpen {
            envelope: self.envelope(self.attempt.number),
            mode,
        }
    }

    fn decode_start(&self) -> DecodeStart {
        let prefilled = self.attempt.prefilled.clone().unwrap_or_default();
        DecodeStart {
            kv: prefilled.kv,
            first_sequence: self.delivered.next_sequence,
            output_max_tokens: self.remaining_output(),
        }
    }

    pub(super) fn route_request(&self, kind: RouteKind) -> RouteRequest {
        RouteRequest {
            customer: self.request.customer.clone(),
            kind,
            allowed: self.request.servers.clone(),
            excluded: self.excluded.clone(),
            is_retry: self.limits.route_count > 1,
        }
    }

    pub(super) fn model_requirements(&self, now: TimeUs) -> ModelRequirements {
        let prompt_bytes = self.request.prompt.len() + self.delivered.text.len();
        ModelRequirements {
            target: self.request.target.clone(),
            prefix_hashes: self.prefix_hashes.clone(),
            prompt_parts: self.prompt_parts.clone(),
            prompt_tokens: self.prompt_tokens(),
            prompt_bytes: prompt_bytes as u64,
            output_max_tokens: self.remaining_output(),
            due_us: self.first_token_due_in(now),
        }
    }

    /// Prompt of the request, followed by the text already delivered to the caller.
    fn prompt_with_output(&self) -> String {
        let mut prompt = self.request.prompt.clone();
        prompt.push_str(&self.delivered.text);
        prompt
    }

    pub(super) fn prompt_tokens(&self) -> Tokens {
        Tokens::estimate(&self.request.prompt) + self.delivered.tokens
    }

    pub(super) fn remaining_output(&self) -> Tokens {
        self.request
            .output_max_tokens
            .saturating_sub(self.delivered.tokens)
    }

    pub(super) fn prefill_estimate(&self) -> DurationUs {
        self.config.prefill_rate.time_for(self.prompt_tokens())
    }

    fn lease_duration(&self) -> DurationUs {
        let length = self
            .prefill_estimate()
            .saturating_add(self.config.lease_margin_us);
        length.min(self.config.lease_max_us)
    }

    /// Time left until the first token is due. A request that missed its target while it waited
    /// gets the full target again, because an agent refuses a message with no time left, and a late
    /// output is better for the caller than none.
    fn first_token_due_in(&self, now: TimeUs) -> DurationUs {
        if self.limits.first_token_due_at <= now {
            return self.request.first_token_us;
        }
        self.limits.first_token_due_at.since(now)
    }

    /// Time left until the prefill must finish. The agent knows only its own step, and would accept
    /// a prompt that it can finish in time but whose first token reaches the caller too late. A
    /// call without time for the steps after the prefill is refused: renewing its target before the
    /// target has passed would put the call ahead of calls that are in time.
    fn prefill_due_in(&self, now: TimeUs) -> DurationUs {
        self.first_token_due_in(now)
            .saturating_sub(self.config.post_prefill_us)
    }

    fn queue_wait_max(&self, now: TimeUs) -> DurationUs {
        self.config
            .queue_wait_max_us
            .min(self.limits.deadline.since(now))
    }
}
