//! Decisions of an entry that calls backend servers itself, without agents.
//!
//! Nothing here does I/O or reads a clock; `cuminlead-direct` carries the decisions out.
//!
//! | module | holds |
//! |---|---|
//! | [`operator_config`] | routes, services and limits of one version of the configuration |
//! | [`server`] | what is known of one backend server |
//! | [`servers`] | the table of all backend servers |
//! | [`health`] | failures seen first hand, and the pause that follows them |
//! | [`placement`] | which server a request goes to |
//! | [`reservation`] | decode places of one engine, by a forecast of its memory |
//! | [`action`] | what a request needs and what is done for it next |
//! | [`outcome`] | what became of a step, and what that proves |
//! | `preparation` | place and cache of a model call before its run |
//! | [`call`] | the state of one request |
//! | [`serving`] | catalogue, servers and budgets, as one context |
//! | [`registry`] | following the registry without ever going back |
//! | [`shutdown`] | what a process still takes after it was asked to stop |
//! | [`stages`] | which engines compute prompts |
//! | [`events`] | boundaries of events in a stream |

pub mod action;
pub mod call;
pub mod events;
pub mod health;
pub mod operator_config;
pub mod outcome;
pub mod placement;
mod preparation;
pub mod registry;
pub mod reservation;
pub mod server;
pub mod servers;
pub mod serving;
pub mod shutdown;
pub mod stages;

pub use action::{
    Action, CacheRef, CallSpec, ModelRequirements, Refusal, RefusalReason, Reservation,
};
pub use call::Call;
pub use events::EventScanner;
pub use operator_config::{
    CallerLimits, EngineSpec, OperatorConfig, RequestKind, Route, RouteMatch, ServiceSpec,
    WeightedService,
};
pub use outcome::StepOutcome;
pub use registry::{Published, Query, Registry, RegistryError, RegistryUpdate, RegistryWatcher};
pub use reservation::{
    EngineReport, LedgerUse, ReservationReply, ReservationRequest, ReservationTable, RunReport,
};
pub use server::{ServerRecord, ServerState, Stage};
pub use servers::{ServerKey, ServerTable};
pub use serving::ServingState;
