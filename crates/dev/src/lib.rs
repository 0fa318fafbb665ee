//! Stand-ins, demo, load and measuring tools.
//!
//! | module | holds |
//! |---|---|
//! | [`bench`] | deterministic driver of the decision code |
//! | [`behaviour`] | faults that a stand-in can be told to show |
//! | [`http`] | the HTTP listener that all stand-ins share |
//! | [`collector`] | collector of traces |
//! | [`client`] | short JSON calls to stand-ins and processes |
//! | [`engine`] | model engine |
//! | [`service`] | plain service that counts its effects |
//! | [`platform`] | configuration service and host list |
//! | [`fleet`] | launcher of a whole system on loopback |
//! | [`caller`] | requests to entries, as callers send them |
//! | [`load`] | load on the real processes, and the delay that they add |
//! | [`measure`] | measurement of routing policies |
//! | [`relay`] | TCP relay that cuts connections |

pub mod behaviour;
pub mod bench;
pub mod caller;
pub mod client;
pub mod collector;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod load;
pub mod measure;
pub mod platform;
pub mod relay;
pub mod service;
