//! The entry process: accepts HTTP requests from callers and runs them through the agents of the
//! backend servers.
//!
//! Any entry can serve any request. The state of a request is owned by the traffic thread that
//! serves it; routing, membership and the lists are owned by the control thread.
//!
//! | module | contents |
//! |---|---|
//! | [`connections`] | HTTP/2 connections to agents |
//! | [`controller`] | state and event loop of the control thread |
//! | [`driver`] | execution of the actions of one call |
//! | [`http`] | HTTP API for callers |
//! | [`process`] | start-up and shutdown |
//! | [`rate_limit`] | request rate limits of customers |
//! | [`status`] | metrics and the status page |

pub mod connections;
pub mod controller;
pub mod driver;
pub mod http;
pub mod process;
pub mod rate_limit;
pub mod status;
