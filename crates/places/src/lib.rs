//! Reservation of an engine's decode slots: the agent that reserves them and the client that
//! entries use.
//!
//! Only the agent beside an engine knows both what the engine runs and which slots are reserved, so
//! it alone decides on reservations. Requests and responses do not pass through the agent. If an
//! agent is unreachable, its engine's slots can't be reserved through it, but no request is lost.
//!
//! | module | contents |
//! |---|---|
//! | [`monitor`] | interfaces by which a platform reads an engine's report and sends it orders |
//! | [`stage_control`] | thread that controls the engine's stage |
//! | [`agent`] | start and shutdown of the agent |
//! | [`configuration`] | thread that reads the configuration for entries |
//! | [`rpc`] | gRPC service of the agent |
//! | [`client`] | client of the service, used by entries |
//! | [`incoming`] | bounded connections of entries to the service |

pub mod agent;
pub mod client;
pub mod configuration;
pub mod incoming;
pub mod monitor;
pub mod rpc;
pub mod stage_control;

pub use client::{ReservationClient, ReservationError};
pub use monitor::{AgentPlatform, EngineMonitor, EngineOrders, MonitorPlugin};
