//! The entry: the process between callers and agents.
//!
//! Any entry can serve any request. A request's state lives in the traffic thread that serves it;
//! routing, membership and the lists belong to the control thread.
//!
//! | module | holds |
//! |---|---|
//! | [`clients`] | connections to agents |
//! | [`controller`] | the state owned by the control thread |
//! | [`driver`] | carries out the actions of one call |
//! | [`http`] | the address for callers |
//! | [`probe`] | probes of agents that get no work |
//! | [`process`] | start and stop |
//! | [`rate`] | the rates of customers |
//! | [`status`] | metrics and the status page |

pub mod clients;
pub mod controller;
pub mod driver;
pub mod http;
pub mod probe;
pub mod process;
pub mod rate;
pub mod status;
