//! Selection of backend servers for calls, with routing policies as plug-ins.
//!
//! A policy chooses servers from precomputed pools. The router around it maintains the pools, the
//! load estimates, the retry budgets and the traffic counters of the paid links between regions.
//!
//! | module | contents |
//! |---|---|
//! | [`request`] | constraints of a routing decision, and its result |
//! | [`config`] | settings of a router |
//! | [`usability`] | interface to membership: which servers may be used |
//! | [`load`] | load estimate of one server: its last report plus later decisions of this entry |
//! | [`mean_load`] | load estimate for a server with a stale load report |
//! | [`prefix`] | prompt prefixes that each server has recently computed |
//! | [`crashes`] | prompt parts that crash engines |
//! | [`link`] | traffic and backlog of the paid links between regions |
//! | [`ring`] | consistent hashing over the servers of a pool |
//! | [`servers`] | records of all backend servers in the lists |
//! | [`pools`] | servers for each plan and model or service, by region and role |
//! | [`policy`] | the policy trait, its view of the router, and policy registration |
//! | [`policies`] | the policies |
//! | [`router`] | [`Router`], the routing state of an entry |

pub mod config;
pub mod crashes;
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
