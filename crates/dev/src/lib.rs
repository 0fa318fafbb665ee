//! Stand-ins, demo, load and measuring tools.
//!
//! | module | holds |
//! |---|---|
//! | [`behaviour`] | faults that a stand-in can be told to show |
//! | [`http`] | the HTTP listener that all stand-ins share |
//! | [`client`] | short JSON calls to stand-ins and processes |
//! | [`engine`] | model engine |
//! | [`service`] | plain service that counts its effects |
//! | [`platform`] | configuration service and host list |

pub mod behaviour;
pub mod client;
pub mod engine;
pub mod http;
pub mod platform;
pub mod service;
