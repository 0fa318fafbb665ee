//! Distribution of new revisions of the lists and of the host list to every process of a fleet.
//!
//! A few processes of each availability zone, the readers, watch the platform; all other processes
//! follow a reader on a stream. A process that follows no peer with a recent confirmation tries the
//! other peers and queries the platform itself, rarely enough that the whole fleet stays within the
//! platform's call rate.
//!
//! The platform is the configuration service, which publishes the parts of the lists, together with
//! the list of hosts. Each of the two is a [`PublishedResource`] with its own revisions.
//!
//! The package does no I/O and reads no clock: [`Distribution`] handles an [`Event`] at a given time
//! and appends the resulting [`Action`]s, which the process carries out.
//!
//! | module | contents |
//! |---|---|
//! | [`context`] | [`Distribution`], the state of one process, which combines the other modules |
//! | [`event`] | input events |
//! | [`action`] | resulting actions |
//! | [`limits`] | intervals and limits, and how they add up to 9 s |
//! | [`election`] | which hosts are readers, and which peers a process may follow |
//! | `platform_calls` | calls to the platform |
//! | `peer_selection` | selection of the peer to follow |
//! | `pull` | single queries to peers |
//! | `followers` | streams of the peers that follow this process |
//! | `update` | messages from one process to another |
//! | `startup` | queries of a starting process before it is ready |

pub mod action;
pub mod context;
pub mod election;
pub mod event;
mod followers;
pub mod limits;
mod peer_selection;
mod platform_calls;
mod pull;
mod startup;
mod update;

pub use action::*;
pub use context::Distribution;
pub use election::{Candidates, Identity, Peer, candidates, readers_of_zone};
pub use event::*;
