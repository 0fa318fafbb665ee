//! How revisions of the lists and of the host list reach every process.
//!
//! Two readers in each availability zone hold watches at the platform; the other processes follow
//! a reader. A process that hears no confirmed reader looks for one among the others and asks the
//! platform itself, seldom enough that the whole fleet stays within the platform's call rate.
//!
//! The platform is the configuration service, which publishes the parts of the lists, together
//! with the list of hosts; each is a [`PublishedResource`] with revisions of its own.
//!
//! | module | holds |
//! |---|---|
//! | [`context`] | [`Distribution`], the context that combines the other modules |
//! | [`event`] | what it decides on |
//! | [`action`] | what it asks for |
//! | [`limits`] | intervals and limits, and how they add up to 9 s |
//! | [`election`] | which hosts read, and whom a process may follow |
//! | `service` | calls to the platform |
//! | `follow` | the choice of a peer to follow |
//! | `pull` | single questions to peers |
//! | `serve` | followers of this process |
//! | `update` | what a process tells another one |
//! | `startup` | what a fresh process asks before it is ready |

pub mod action;
pub mod context;
pub mod election;
pub mod event;
mod follow;
pub mod limits;
mod pull;
mod serve;
mod service;
mod startup;
mod update;

pub use action::*;
pub use context::Distribution;
pub use election::{Candidates, Identity, Peer, candidates, readers_of_zone};
pub use event::*;
