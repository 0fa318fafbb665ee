//! What a call needs a server for, and the servers chosen.

use cuminlead_protocol::ModelTarget;
use cuminlead_types::{
    BackendServerId, CustomerId, DurationUs, IdempotencyKey, RegionName, ServiceName, Tokens,
};

/// Backend servers chosen for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Decode and prefill server of a model call, in one region.
    Pair {
        /// Region of both.
        region: RegionName,
        /// Decode server.
        decode: BackendServerId,
        /// Prefill server.
        prefill: BackendServerId,
    },
    /// Another prefill server for a held decode place.
    Prefill(BackendServerId),
    /// Server of a plain service.
    Service(BackendServerId),
}

/// Why no server was chosen; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No usable server.
    NoServer,
    /// The retry budget is used up.
    RetryBudget,
}

/// What a call needs a server for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// Customer, for keyed routing and logs.
    pub customer: CustomerId,
    /// Kind of server needed.
    pub kind: RouteKind,
    /// Narrows the servers that the customer's plan allows under the router's lists; empty for all
    /// of them.
    ///
    /// The router looks up the plan itself, because a list of 2,300 names in each request costs more
    /// than the decision.
    pub allowed: Vec<BackendServerId>,
    /// Servers that failed this call already; without effect on the owner of a key.
    pub excluded: Vec<BackendServerId>,
    /// Whether this is a retry, which draws from the retry budget.
    pub is_retry: bool,
}

/// Kind of server needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Decode and prefill server for a model call.
    Pair(ModelRequirements),
    /// Another prefill server in the region of a held decode place.
    Prefill {
        /// Region of the decode place.
        region: RegionName,
        /// What is to be computed.
        need: ModelRequirements,
    },
    /// Any server of a service, or the owner of a key.
    Service {
        /// Service.
        service: ServiceName,
        /// Caller's key, which fixes the server.
        key: Option<IdempotencyKey>,
    },
}

/// Size of a model call, for estimates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelRequirements {
    /// Model, adapter and version.
    pub target: ModelTarget,
    /// Hashes of the prompt's leading blocks, each covering all blocks before it.
    pub prefix_hashes: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Bytes of the prompt, for the paid link.
    pub prompt_bytes: u64,
    /// Most tokens of the answer.
    pub output_max_tokens: Tokens,
    /// Time left until the first token is due.
    pub due_us: DurationUs,
}
