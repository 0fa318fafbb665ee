//! The decision context of an agent.
//!
//! [`AgentContext`] takes an event and the present time and returns actions. It reads no clock and
//! does no I/O, so the agent process, the fault matrix and the measuring tool run the same code.

pub mod action;
pub mod config;
pub mod context;
pub mod event;

pub use action::{AgentAction, AgentRecord, ReleaseCause};
pub use config::AgentConfig;
pub use context::AgentContext;
pub use event::{AgentEvent, CallRef, StreamRef};
