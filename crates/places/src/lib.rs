//! Decode places of engines: the agent that gives them out and the client that asks.
//!
//! The agent beside an engine alone knows what the engine runs and has promised, so it alone
//! decides who gets a place. Entries keep the path of requests and answers to themselves; an agent
//! that is gone costs places, never requests.
//!
//! | module | holds |
//! |---|---|
//! | [`monitor`] | the borders by which a platform reads an engine's report and gives it orders |
//! | [`stage_control`] | the thread that keeps the engine's stage |
//! | [`agent`] | start and stop of the agent |
//! | [`rpc`] | the service that entries ask |
//! | [`client`] | the entry's side |

pub mod agent;
pub mod client;
pub mod monitor;
pub mod rpc;
pub mod stage_control;

pub use client::{ReservationClient, ReservationError};
pub use monitor::{AgentPlatform, EngineMonitor, EngineOrders, MonitorPlugin};
