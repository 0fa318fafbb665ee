//! What a request needs, and what is to be done for it next.

use cuminlead_types::{DurationUs, RegionName, ServiceName, TimeUs, Tokens};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::operator_config::RequestKind;
use crate::servers::ServerKey;

/// What a request needs, fixed at its arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSpec {
    /// Service.
    pub service: ServiceName,
    /// What may be repeated.
    pub kind: RequestKind,
    /// What a model call needs of engines.
    pub model: Option<ModelRequirements>,
    /// Most servers on which it may run.
    pub attempts_max_count: u32,
    /// Time within which the answer is of full use.
    pub latency_target: DurationUs,
    /// When it arrived.
    pub arrived_at: TimeUs,
    /// Time at which the caller or the route gives up.
    pub deadline: TimeUs,
    /// Whether the caller comes back after a refusal, so that its goal has passed.
    pub is_caller_retry: bool,
}

/// What a model call needs of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelRequirements {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// The caller's estimate of the answer.
    pub answer_tokens: Option<Tokens>,
    /// Longest reservation at an engine; none if engines take no reservations.
    pub reservation_max: Option<DurationUs>,
    /// Time for which a prefill server keeps a KV cache that nobody takes, if it is known.
    pub cache_ttl: Option<DurationUs>,
}

/// KV cache that waits at a prefill server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheRef {
    /// Server that computed it.
    pub server: ServerKey,
    /// Its region, which caches do not leave. The server may be forgotten before its cache is used.
    pub region: Option<RegionName>,
    /// Name of the cache at that server.
    pub handle: String,
}

/// Place that is held for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// Held by the agent beside the engine; the engine does not know of it.
    Agent,
    /// Held by the engine under a name.
    Engine(String),
}

impl Reservation {
    /// Name of a reservation that the engine holds.
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
    /// Have a place and memory held at the decode server.
    Reserve {
        /// Decode server.
        server: ServerKey,
        /// What the request needs.
        model: ModelRequirements,
        /// Time for which they are held.
        ttl: DurationUs,
        /// Whether the request cannot meet its goal any more.
        is_late: bool,
        /// Whether the server computes the prompt itself.
        computes_prompt: bool,
    },
    /// Ask again after a pause.
    Wait(DurationUs),
    /// Have the prompt computed.
    Prefill {
        /// Prefill server.
        server: ServerKey,
        /// Time after which the call goes on without.
        timeout: DurationUs,
    },
    /// Run the request.
    Run {
        /// Server.
        server: ServerKey,
        /// KV cache to take, if there is one.
        cache: Option<CacheRef>,
        /// Place that is held for the request, if there is one.
        reservation: Option<Reservation>,
        /// Time until the first part of the answer, if another attempt may follow.
        timeout: Option<DurationUs>,
    },
    /// Pass on the failure that the server answered.
    Deliver,
    /// Answer the caller without a server.
    Refuse(Refusal),
}

/// Why a call ends without an answer of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No server can take it.
    NoServer,
    /// No engine has room for it in time.
    #[strum(serialize = "no_place")]
    NoSlot,
    /// Servers turned it away.
    #[strum(serialize = "turned_away")]
    Rejected,
    /// Repeats of the service have used up their budget.
    RetryBudget,
    /// Its time is over.
    TimedOut,
    /// It was sent, and what became of it is not known.
    OutcomeUnknown,
    /// The process stops before an answer could be whole.
    Stopping,
}

/// Answer without a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request is known not to have run and never to run.
    pub is_not_run: bool,
    /// Why.
    pub reason: RefusalReason,
    /// Time after which to come back, if it has not run.
    pub retry_after: DurationUs,
}
