//! Stand-ins for the systems around the entry and agent processes, used by tests and benchmarks.
//!
//! Each stand-in runs in the process that starts it, or as an example executable. Faults are
//! injected over HTTP, so that tests in the same process and launchers of executables use the
//! same interface.
//!
//! | module | contents |
//! |---|---|
//! | [`behaviour`] | faults that can be injected into a stand-in |
//! | [`http`] | HTTP listener shared by the stand-ins |
//! | [`collector`] | OTLP trace collector |
//! | [`client`] | JSON client for stand-ins and processes |
//! | [`engine`] | inference engine with prefill and decode roles |
//! | [`service`] | plain service that counts the effects of its calls |
//! | [`platform`] | configuration service and host list |
//! | [`ports`] | ports chosen for processes before their start |
//! | [`relay`] | TCP relay that blocks the traffic of connections |

pub mod behaviour;
pub mod client;
pub mod collector;
pub mod engine;
pub mod http;
pub mod platform;
pub mod ports;
pub mod relay;
pub mod service;
