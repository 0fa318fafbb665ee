//! Decision logic of an agent.
//!
//! [`AgentContext`] takes an event and the current time and appends actions. It reads no clock and
//! does no I/O, so the agent process, the fault matrix and the measurement tools run the same code.
//!
//! | module | contents |
//! |---|---|
//! | [`event`] | events that an agent handles |
//! | [`action`] | actions that the agent process carries out |
//! | [`config`] | limits and timeouts |
//! | [`context`] | the decision state and the dispatch of events |
//! | [`active_lists`] | active lists of the agent, and the checks of requests against them |
//! | [`pending_orders`] | engine orders whose effect is not yet known |
//! | [`inventory_poll`] | polling of the engine's inventory |
//! | [`crash_detector`] | engine crashes that a sequence may have caused |
//! | [`running_calls`] | application calls in progress |
//!
//! The private modules implement the handling of model calls (`model_calls`), application calls
//! (`application_calls`) and engine orders (`engine_orders`).

pub mod action;
pub mod active_lists;
mod application_calls;
pub mod config;
pub mod context;
pub mod crash_detector;
mod engine_orders;
pub mod event;
pub mod inventory_poll;
mod model_calls;
pub mod pending_orders;
pub mod running_calls;

pub use action::{AgentAction, AgentRecord, ReleaseCause};
pub use config::AgentConfig;
pub use context::AgentContext;
pub use event::{AgentEvent, CallRef, StreamRef};
