//! Decisions of an entry that calls backend servers itself, without agents.
//!
//! Nothing here does I/O or reads a clock; `cuminlead-direct` carries the decisions out.
//!
//! | module | holds |
//! |---|---|
//! | [`catalogue`] | routes, services and limits of one version of the configuration |
//! | [`server`] | what is known of one backend server |
//! | [`servers`] | the table of all backend servers |
//! | [`health`] | failures seen first hand, and the pause that follows them |
//! | [`placement`] | which server a request goes to |
//! | [`places`] | decode places of one engine, by a forecast of its memory |
//! | [`action`] | what a request needs and what is done for it next |
//! | [`outcome`] | what became of a step, and what that proves |
//! | `preparation` | place and cache of a model call before its run |
//! | [`call`] | the state of one request |
//! | [`serving`] | catalogue, servers and budgets, as one context |
//! | [`follow`] | following the registry without ever going back |
//! | [`stopping`] | what a process still takes after it was asked to stop |
//! | [`stages`] | which engines compute prompts |
//! | [`events`] | boundaries of events in a stream |

pub mod action;
pub mod call;
pub mod catalogue;
pub mod events;
pub mod follow;
pub mod health;
pub mod outcome;
pub mod placement;
pub mod places;
mod preparation;
pub mod server;
pub mod servers;
pub mod serving;
pub mod stages;
pub mod stopping;

pub use action::{Action, CacheRef, CallSpec, ModelNeed, Refusal, RefusalReason, Reservation};
pub use call::Call;
pub use catalogue::{
    CallerLimits, Catalogue, EngineSpec, RequestKind, Route, RouteMatch, ServiceSpec,
    WeightedService,
};
pub use events::EventScanner;
pub use follow::{Follower, Published, Query, Registry, RegistryError, Update};
pub use outcome::Outcome;
pub use places::{EngineReport, LedgerUse, PlaceLedger, PlaceReply, PlaceRequest, RunReport};
pub use server::{ServerRecord, ServerState, Stage};
pub use servers::{ServerKey, ServerTable};
pub use serving::Serving;
