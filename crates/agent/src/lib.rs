//! The agent process, which runs beside one backend server.
//!
//! The agent alone decides which requests its backend server accepts. Its control thread owns the
//! `AgentContext`, which makes these decisions without I/O. The tonic service and the driver of the
//! back end convert input to events and execute the resulting actions.
//!
//! | module | contents |
//! |---|---|
//! | [`backend`] | drivers of the kinds of backend server |
//! | [`backend_spans`] | trace spans of calls to the back end |
//! | [`controller`] | state and event loop of the control thread |
//! | [`process`] | start-up and shutdown |
//! | [`rpc`] | gRPC service for entries |
//! | [`status`] | metrics and the status page |

pub mod backend;
pub mod backend_spans;
pub mod controller;
pub mod process;
pub mod rpc;
pub mod status;
