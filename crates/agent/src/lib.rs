//! The agent: the process beside one backend server.
//!
//! The agent alone decides what its backend server takes. Its control thread owns the
//! `AgentContext`; the tonic service and the back-end driver turn input into events and carry out
//! the actions.
//!
//! | module | holds |
//! |---|---|
//! | [`backend`] | drivers of the kinds of backend server |
//! | [`controller`] | the state owned by the control thread |
//! | [`hops`] | spans of the hops to the back end |
//! | [`process`] | start and stop |
//! | [`rpc`] | the tonic service for entries |
//! | [`status`] | metrics and the status page |

pub mod backend;
pub mod controller;
pub mod hops;
pub mod process;
pub mod rpc;
pub mod status;
