//! Messages of a model call to agents.

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
            output_max_tokens: self.output_left(),
            lease_us: self.lease_length(),
            due_us: self.due_in(now),
            wait_max_us: self.wait_max(now),
        })
    }

    pub(super) fn prefill_message(&self, now: TimeUs) -> AgentRequest {
        AgentRequest::Prefill(Prefill {
            envelope: self.envelope(self.attempt.number),
            target: self.request.target.clone(),
            priority: self.request.priority,
            prompt: self.prompt(),
            prompt_tokens: self.prompt_tokens(),
            due_us: self.prefill_due_in(now),
            wait_max_us: self.wait_max(now),
        })
    }

    pub(super) fn release_message(&self, attempt: Attempt) -> AgentRequest {
        AgentRequest::Release(Release {
            envelope: self.envelope(attempt),
        })
    }

    pub(super) fn open_message(&self) -> DecodeOpen {
        let mode = if self.attempt.is_imported {
            DecodeMode::Resume(DecodeResume {
                incarnation: self.attempt.incarnation,
                next_sequence: self.answer.next,
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
            first_sequence: self.answer.next,
            output_max_tokens: self.output_left(),
        }
    }

    pub(super) fn route_need(&self, kind: RouteKind) -> RouteRequest {
        RouteRequest {
            customer: self.request.customer.clone(),
            kind,
            allowed: self.request.servers.clone(),
            excluded: self.excluded.clone(),
            is_retry: self.limits.route_count > 1,
        }
    }

    pub(super) fn model_need(&self, now: TimeUs) -> ModelRequirements {
        let prompt_bytes = self.request.prompt.len() + self.answer.text.len();
        ModelRequirements {
            target: self.request.target.clone(),
            prefix_hashes: self.prefix_hashes.clone(),
            prompt_tokens: self.prompt_tokens(),
            prompt_bytes: prompt_bytes as u64,
            output_max_tokens: self.output_left(),
            due_us: self.due_in(now),
        }
    }

    /// Original prompt and the text that the caller already has.
    fn prompt(&self) -> String {
        let mut prompt = self.request.prompt.clone();
        prompt.push_str(&self.answer.text);
        prompt
    }

    pub(super) fn prompt_tokens(&self) -> Tokens {
        Tokens::estimate(&self.request.prompt) + self.answer.tokens
    }

    pub(super) fn output_left(&self) -> Tokens {
        self.request
            .output_max_tokens
            .saturating_sub(self.answer.tokens)
    }

    pub(super) fn prefill_estimate(&self) -> DurationUs {
        self.config.prefill_rate.time_for(self.prompt_tokens())
    }

    fn lease_length(&self) -> DurationUs {
        let length = self
            .prefill_estimate()
            .saturating_add(self.config.lease_margin_us);
        length.min(self.config.lease_max_us)
    }

    /// Time left until the first token is due. A request that has missed its target while it waited
    /// gets the target anew, because an agent refuses whatever comes with no time left, and a late
    /// answer is better for its caller than none.
    fn due_in(&self, now: TimeUs) -> DurationUs {
        if self.limits.due_at <= now {
            return self.request.first_token_us;
        }
        self.limits.due_at.since(now)
    }

    /// Time left until the prefill must end. An agent knows only its own part of the way to the
    /// first token, and would take a prompt that ends in time for itself and too late for the caller.
    /// A call without time for what follows the prefill is refused, because a target given anew
    /// before the old one has passed would put it before calls that are in time.
    fn prefill_due_in(&self, now: TimeUs) -> DurationUs {
        self.due_in(now)
            .saturating_sub(self.config.after_prefill_us)
    }

    fn wait_max(&self, now: TimeUs) -> DurationUs {
        self.config.wait_max_us.min(self.limits.ends_at.since(now))
    }
}
