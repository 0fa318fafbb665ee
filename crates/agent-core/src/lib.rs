//! The decision context of an agent.
//!
//! [`AgentContext`] takes an event and the present time and returns actions. It reads no clock and
//! does no I/O, so the agent process, the fault matrix and the measuring tool run the same code.
//!
//! | module | holds |
//! |---|---|
//! | [`event`] | what happens to an agent |
//! | [`action`] | what the agent process must do |
//! | [`config`] | limits |
//! | [`context`] | the context and its dispatch |
//! | [`gate`] | checks of a request against the agent's own lists and engine |
//! | [`pending`] | orders whose effect is not yet known |
//! | [`poll`] | reading of the engine's inventory |
//! | [`runs`] | application calls that are running |
//!
//! The private modules hold the paths of model calls (`model`), application calls
//! (`application`) and orders (`ordering`).

pub mod action;
mod application;
pub mod config;
pub mod context;
pub mod event;
pub mod gate;
mod model;
mod ordering;
pub mod pending;
pub mod poll;
pub mod runs;

pub use action::{AgentAction, AgentRecord, ReleaseCause};
pub use config::AgentConfig;
pub use context::AgentContext;
pub use event::{AgentEvent, CallRef, StreamRef};
