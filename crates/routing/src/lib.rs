//! Routing policies as plug-ins and load estimates.
//!
//! A policy chooses servers from precomputed pools; the router around it keeps the pools, the load
//! estimates, the retry budgets and the volume of paid links.
//!
//! | module | holds |
//! |---|---|
//! | [`request`] | what a call needs a server for, and the servers chosen |
//! | [`config`] | settings of a router |
//! | [`usability`] | the question that membership answers |
//! | [`load`] | load of one server: its last report and own decisions since |
//! | [`mean_load`] | estimate for a server without a recent report |
//! | [`prefix`] | which servers have lately computed which prompt prefixes |
//! | [`link`] | volume and backlog of the paid links between regions |
//! | [`ring`] | consistent hashing over the servers of a pool |
//! | [`servers`] | backend servers known to a router |
//! | [`pools`] | servers for each plan and model or service, by region and role |
//! | [`policy`] | the trait of policies, and their registration |
//! | [`policies`] | the policies |
//! | [`router`] | [`Router`], the context of an entry |

pub mod config;
pub mod link;
pub mod load;
pub mod mean_load;
pub mod policies;
pub mod policy;
pub mod pools;
pub mod prefix;
pub mod request;
pub mod ring;
pub mod router;
pub mod servers;
pub mod usability;

pub use config::RoutingConfig;
pub use link::LinkUse;
pub use policy::{PolicyPlugin, RoutingPolicy, UnknownPolicy};
pub use request::*;
pub use router::Router;
pub use usability::Usability;
