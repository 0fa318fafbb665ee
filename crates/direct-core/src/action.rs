//! Requirements of a request, and the actions that a call returns.

use cuminlead_types::{DurationUs, PromptPartId, RegionName, ServiceName, TimeUs, Tokens};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::operator_config::RequestKind;
use crate::placement::{Demand, RouteId, Work};
use crate::server::Stage;
use crate::servers::ServerKey;

/// Requirements of a request, fixed at its arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSpec {
    /// Service that it is for.
    pub service: ServiceName,
    /// Kind of request by which service times are learned.
    pub route: RouteId,
    /// How it is answered, and whether it may run again.
    pub kind: RequestKind,
    /// Requirements of a model call; `None` for plain services.
    pub model: Option<ModelRequirements>,
    /// Parts of a model call's prompt that other requests may share, in order.
    pub prompt_parts: Vec<PromptPartId>,
    /// Most servers on which it may run.
    pub attempts_max_count: u32,
    /// Time from its arrival within which the response is of full use.
    pub latency_target: DurationUs,
    /// When this process received it.
    pub arrived_at: TimeUs,
    /// When the caller or the route gives up.
    pub deadline: TimeUs,
    /// Whether the caller retries a refused request, so that its latency target has passed.
    pub is_caller_retry: bool,
    /// Whether callers that get no slot are told different times to come back.
    pub spreads_retries: bool,
}

impl CallSpec {
    /// What the request is likely to cost a server.
    pub fn demand(&self) -> Demand {
        let model = self.model.unwrap_or_default();
        Demand {
            route: self.route,
            prompt_tokens: model.prompt_tokens,
            output_tokens: model.answer_tokens,
            is_repeatable: matches!(
                self.kind,
                RequestKind::Idempotent | RequestKind::Stream { resumable: true }
            ),
        }
    }

    /// Work of a prefill.
    pub fn prefill_work(&self) -> Work {
        self.demand().work(Some(Stage::Prefill), true)
    }

    /// Work of a run, with or without a KV cache to import.
    pub fn run_work(&self, has_cache: bool) -> Work {
        let stage = self.model.map(|_| Stage::Decode);
        self.demand().work(stage, !has_cache)
    }
}

/// What a model call requires of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelRequirements {
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// The caller's estimate of the output's length, if it sent one.
    pub answer_tokens: Option<Tokens>,
    /// Longest reservation of a slot; `None` if the engines take no reservations.
    pub reservation_max: Option<DurationUs>,
    /// Time for which a prefill server retains an unused KV cache; `None` if unknown.
    pub cache_ttl: Option<DurationUs>,
}

/// KV cache that a prefill server retains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheRef {
    /// Server that computed it.
    pub server: ServerKey,
    /// Region of that server, which the cache does not leave.
    pub region: Option<RegionName>,
    /// Name of the cache at that server.
    pub handle: String,
}

/// Decode slot and KV memory that are reserved for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// Made by the agent beside the engine; the engine does not know of it.
    Agent,
    /// Made by the engine under the given name.
    Engine(String),
}

impl Reservation {
    /// Name of a reservation that the engine made; `None` for one of its agent.
    pub fn engine_name(&self) -> Option<&str> {
        match self {
            Self::Engine(name) => Some(name),
            Self::Agent => None,
        }
    }
}

/// Next step of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reserve a slot and KV memory at a decode server.
    Reserve {
        /// Engine that is to generate the output.
        server: ServerKey,
        /// Requirements of the model call.
        model: ModelRequirements,
        /// Time after which an unused reservation expires.
        ttl: DurationUs,
        /// Whether the request can no longer meet its latency target.
        is_late: bool,
        /// Whether the server computes the prompt itself.
        computes_prompt: bool,
    },
    /// Request the next action again after a pause.
    Wait(DurationUs),
    /// Compute the prompt at a prefill server.
    Prefill {
        /// Engine that is to compute the prompt.
        server: ServerKey,
        /// Time after which the call continues without the cache.
        timeout: DurationUs,
    },
    /// Run the request.
    Run {
        /// Server that runs it.
        server: ServerKey,
        /// KV cache to import, if there is one.
        cache: Option<CacheRef>,
        /// Reservation of the request, if it has one.
        reservation: Option<Reservation>,
        /// Time until the first part of the response; `None` if no other attempt may follow.
        timeout: Option<DurationUs>,
    },
    /// Forward the failure response of the last server.
    ForwardFailure,
    /// Refuse the request without a server's response.
    Refuse(Refusal),
}

/// Why a call ends without a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No server can accept the request.
    NoServer,
    /// All servers have reached the limits that they named.
    Limited,
    /// No engine has a free slot in time.
    #[strum(serialize = "no_place")]
    NoSlot,
    /// Servers rejected the request.
    #[strum(serialize = "turned_away")]
    Rejected,
    /// A part of the prompt is in quarantine because it crashes engines.
    Quarantined,
    /// The caller's team has reached its usage limit.
    UsageLimit,
    /// No memory is left for the body of the request.
    NoMemory,
    /// The retry budget of the service is exhausted.
    RetryBudget,
    /// The deadline is exceeded.
    TimedOut,
    /// The request was sent, and its outcome is unknown.
    OutcomeUnknown,
    /// The process ends before a response could be complete.
    Stopping,
}

/// Response of the entry itself, without a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request is known not to have run and never to run.
    pub is_not_run: bool,
    /// Cause, which is also logged and counted.
    pub reason: RefusalReason,
    /// Time after which the caller may retry, if the request has not run.
    pub retry_after: DurationUs,
}
