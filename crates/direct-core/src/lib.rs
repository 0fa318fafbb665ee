//! Decision logic of an entry that calls backend servers directly, without agents.
//!
//! This package does no I/O and reads no clock; `cuminlead-direct` carries the decisions out.
//!
//! | module | contents |
//! |---|---|
//! | [`operator_config`] | routes, services and limits of one version of the configuration |
//! | [`server`] | published entry of a backend server |
//! | [`server_notices`] | what servers say about themselves in their responses |
//! | [`servers`] | table of all backend servers |
//! | `address_claim` | which of the servers that are published at one address has it |
//! | [`health`] | locally observed failures, and the pause that follows them |
//! | [`placement`] | choice of the server for a request |
//! | [`reservation`] | reservations of decode slots on one engine, by a forecast of its memory |
//! | [`fair_share`] | order in which requests get the slots of an engine that has too few |
//! | [`output_length`] | expected length of outputs |
//! | [`rate_limit`] | permits for requests to servers that have named a limit |
//! | [`owned_counts`] | counts that an agent owns for all entries, and which agent that is |
//! | [`action`] | requirements of a request, and its next action |
//! | [`outcome`] | outcomes of a step, and what they prove |
//! | `preparation` | slot reservation and KV cache of a model call before its run |
//! | [`call`] | state machine of one request |
//! | [`serving`] | operator configuration, servers and retry budgets |
//! | [`connection_budget`] | memory and descriptors of callers' connections, and the order in which they are closed |
//! | [`registry`] | watcher of the registry |
//! | [`registry_view`] | servers that a watcher knows, across restores of the registry |
//! | [`registry_silence`] | when an entry asks agents for the configuration |
//! | [`shutdown`] | admission of requests while a process shuts down |
//! | [`slow_caller`] | whether a caller reads too slowly for the server of its response |
//! | [`stages`] | which engines compute prompts |
//! | [`teams`] | teams of callers, their keys, priorities and usage limits |
//! | [`usage_ledger`] | usage of teams under their limits, at its owner |
//! | [`usage_view`] | what an entry knows about it, and the requests that it admits |
//! | [`events`] | event boundaries in a stream |

pub mod action;
mod address_claim;
pub mod call;
pub mod connection_budget;
pub mod events;
pub mod fair_share;
pub mod health;
pub mod operator_config;
pub mod outcome;
pub mod output_length;
pub mod owned_counts;
pub mod placement;
mod preparation;
pub mod rate_limit;
pub mod registry;
pub mod registry_silence;
pub mod registry_view;
pub mod reservation;
pub mod server;
pub mod server_notices;
pub mod servers;
pub mod serving;
pub mod shutdown;
pub mod slow_caller;
pub mod stages;
pub mod teams;
pub mod usage_ledger;
pub mod usage_view;

pub use action::{
    Action, CacheRef, CallSpec, ModelRequirements, Refusal, RefusalReason, Reservation,
};
pub use call::Call;
pub use events::{EventBoundary, EventScanner};
pub use fair_share::Claim;
pub use operator_config::{
    CallerLimits, EngineSpec, OperatorConfig, RequestKind, RequestPriority, Route, RouteMatch,
    ServiceSpec, WeightedService,
};
pub use outcome::StepOutcome;
pub use owned_counts::OwnedCounts;
pub use placement::{Demand, ExpectedCost, FixedCost, PlacementPolicy, RouteId, Work, WorkId};
pub use rate_limit::{PermitReply, RateLimiter};
pub use registry::{
    ConfigurationSource, Published, PublishedConfiguration, Query, Registry, RegistryError,
    RegistryUpdate, RegistryWatcher,
};
pub use registry_silence::RegistrySilence;
pub use reservation::{
    EngineReport, MemoryUse, OutputReport, ReservationReply, ReservationRequest, ReservationTable,
};
pub use server::{ServerRecord, ServerState, Stage};
pub use server_notices::{Incarnation, ServerNotice};
pub use servers::{ServerKey, ServerTable};
pub use serving::ServingState;
pub use teams::{KeyDigest, Team, Teams, UnknownKey, UsageLimit, UsageUnit};
pub use usage_ledger::{UsageCharge, UsageLedger, UsageReply};
pub use usage_view::{UsageDecision, UsageView};
