//! A deterministic driver of the product's decision code.
//!
//! One queue of events on virtual time runs entries (router, membership, calls) and agents
//! ([`cuminlead_agent_core::AgentContext`]) as the processes do, with small fakes at their
//! interfaces: model engines, plain services, the configuration service and the connections between
//! hosts. The same seed and settings give the same run. Everything observable is appended to a
//! [`cuminlead_verifier::Record`]. The fault matrix and load measurement use the driver.
//!
//! | module | holds |
//! |---|---|
//! | [`config`] | settings of a run |
//! | [`layout`] | hosts, lists and host list |
//! | [`queue`] | the event queue |
//! | [`event`] | events and what travels on connections |
//! | [`network`] | connections, cuts and silence |
//! | [`engine`] | fake model engine |
//! | [`duty`] | what engines should serve, and its changes |
//! | `cache` | prefix cache of the engine |
//! | [`service`] | fake plain service |
//! | [`platform`] | fake configuration service and host list |
//! | [`agent`] | agents |
//! | [`entry`] | entries and their calls |
//! | [`timed_fault`] | faults that are injected at a time |
//! | [`tally`] | counts for measurements |
//! | [`carry`] | messages and streams under way |
//! | [`caller`] | requests and what their callers receive |
//! | [`step`] | steps of the paths at which a fault can be injected |
//! | [`fault`] | faults and their healing |
//! | [`cell`] | cells of the fault matrix |
//! | [`guard_hooks`] | places at which a test can remove a guard |
//! | [`life`] | lives of processes and back ends |
//! | [`simulation`] | [`Simulation`], which owns all of it |

pub mod agent;
mod cache;
pub mod caller;
pub mod carry;
pub mod cell;
pub mod config;
pub mod duty;
pub mod engine;
pub mod entry;
pub mod event;
pub mod fault;
pub mod guard_hooks;
pub mod layout;
pub mod life;
pub mod network;
pub mod platform;
pub mod queue;
pub mod service;
pub mod simulation;
pub mod step;
pub mod tally;
pub mod timed_fault;

pub use caller::{CallerResult, Ending, PathKind, RequestSpec};
pub use cell::{Cell, CellReport};
pub use config::SimulationConfig;
pub use event::NodeId;
pub use fault::Fault;
pub use guard_hooks::GuardHooks;
pub use simulation::Simulation;
pub use step::{Injection, InjectionPoint, Plan};
pub use tally::Tally;
pub use timed_fault::TimedFault;
