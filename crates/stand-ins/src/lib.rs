//! Stand-ins of the systems that the product meets.
//!
//! | module | holds |
//! |---|---|
//! | [`behaviour`] | faults that a stand-in can be told to show |
//! | [`http`] | the HTTP listener that all stand-ins share |
//! | [`collector`] | collector of traces |
//! | [`client`] | short JSON calls to stand-ins and processes |
//! | [`engine`] | model engine |
//! | [`service`] | plain service that counts its effects |
//! | [`platform`] | configuration service and host list |
//! | [`relay`] | TCP relay that cuts connections |

pub mod behaviour;
pub mod client;
pub mod collector;
pub mod engine;
pub mod http;
pub mod platform;
pub mod relay;
pub mod service;
