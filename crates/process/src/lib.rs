//! What the entry and agent processes share.
//!
//! | module | holds |
//! |---|---|
//! | [`admin`] | the HTTP address for metrics, health and status |
//! | [`cli`] | the command line of both binaries |
//! | [`error`] | why a process cannot start |
//! | [`feed`] | lists and hosts of this process, fed by platform and peers |
//! | [`http_client`] | the HTTP client of back ends and the platform |
//! | [`peer`] | the tonic service that hands lists to other processes |
//! | [`platform`] | the client of the configuration service and host list |
//! | [`secret`] | the secret that processes of a deployment share |
//! | [`signal`] | the signals that ask a process to stop |
//! | [`start`] | steps that both processes take when they start |

pub mod admin;
pub mod cli;
pub mod error;
pub mod feed;
pub mod http_client;
pub mod peer;
pub mod platform;
pub mod secret;
pub mod signal;
pub mod start;

pub use error::StartError;
