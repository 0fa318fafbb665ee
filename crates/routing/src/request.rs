//! Constraints of a routing decision, and its result.

use cuminlead_protocol::ModelTarget;
use cuminlead_types::{
    BackendServerId, CustomerId, DurationUs, IdempotencyKey, PromptPartId, RegionName, ServiceName,
    Tokens,
};

/// Backend servers chosen for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Decode and prefill server of a model call; both are in one region.
    Pair {
        /// Region of both servers.
        region: RegionName,
        /// Engine that generates the output.
        decode: BackendServerId,
        /// Engine that computes the prompt.
        prefill: BackendServerId,
    },
    /// New prefill server for a call that has reserved a decode slot.
    Prefill(BackendServerId),
    /// Server of a plain service.
    Service(BackendServerId),
}

/// Why no server was chosen; the call was not sent to any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No server fulfils the constraints and is usable.
    NoServer,
    /// The servers that could otherwise be used have exhausted their retry budgets.
    RetryBudget,
    /// A part of the prompt is in quarantine because it crashes engines.
    Quarantined,
}

/// Constraints of one routing decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// Customer, whose plan determines the allowed servers and who is part of the identity of a
    /// key.
    pub customer: CustomerId,
    /// Kind of servers to choose.
    pub kind: RouteKind,
    /// Restricts the servers that the customer's plan allows; empty for no further restriction.
    ///
    /// The router looks up the plan itself, because passing a list of 2,300 names with each request
    /// costs more than the decision.
    pub allowed: Vec<BackendServerId>,
    /// Servers that have already failed this call; not applied to the owner of a key.
    pub excluded: Vec<BackendServerId>,
    /// Whether the call is a retry, which needs retry budget of the chosen servers.
    pub is_retry: bool,
}

/// Kind of servers to choose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Decode and prefill server for a model call.
    Pair(ModelRequirements),
    /// New prefill server in the region of the reserved decode slot.
    Prefill {
        /// Region of the decode server.
        region: RegionName,
        /// Requirements of the model call.
        requirements: ModelRequirements,
    },
    /// Any server of a service, or the server that owns a key.
    Service {
        /// Service that the call addresses.
        service: ServiceName,
        /// Idempotency key of the caller, if any; its owner is the only possible server.
        key: Option<IdempotencyKey>,
    },
}

/// Target and size of a model call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelRequirements {
    /// Model, adapter and version.
    pub target: ModelTarget,
    /// Hashes of the leading blocks of the prompt; each also covers all blocks before its own.
    pub prefix_hashes: Vec<u64>,
    /// Prefixes of the prompt that other prompts may share, shortest first.
    pub prompt_parts: Vec<PromptPartId>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: Tokens,
    /// Size of the prompt on a paid link, in bytes.
    pub prompt_bytes: u64,
    /// Maximum length of the output in tokens.
    pub output_max_tokens: Tokens,
    /// Remaining time to the latency target for the first token.
    pub due_us: DurationUs,
}
