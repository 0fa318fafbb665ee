//! Components shared by the entry and agent processes.
//!
//! | module | contents |
//! |---|---|
//! | [`admin`] | HTTP endpoint for metrics, health and status |
//! | `backend_transport` | connections of the HTTP client to backend servers |
//! | [`cli`] | command line of both binaries |
//! | [`descriptors`] | number of descriptors that the process may open |
//! | [`error`] | errors that prevent a process from starting |
//! | [`feed`] | lists and host list of this process, kept current from the platform and peers |
//! | [`http_client`] | HTTP client for back ends and the platform |
//! | [`peer`] | gRPC service that distributes lists to other processes, and its client |
//! | [`platform`] | client of the configuration service and the host list |
//! | [`response_head`] | whether the head of a response is valid, and what ends its body |
//! | [`secret`] | shared secret of the processes of a deployment |
//! | [`signal`] | signals that stop a process or announce changed settings |
//! | [`start`] | runtime and tracing set-up at start |

pub mod admin;
mod backend_transport;
pub mod cli;
pub mod descriptors;
pub mod error;
pub mod feed;
pub mod http_client;
pub mod peer;
pub mod platform;
pub mod response_head;
pub mod secret;
pub mod signal;
pub mod start;

pub use error::StartError;
