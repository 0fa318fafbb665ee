//! Plans and allowances: parts, checking, snapshots and deltas; and the platform's host list.
//!
//! | module | holds |
//! |---|---|
//! | [`part`] | the published values that the lists consist of |
//! | [`snapshot`] | all parts at one revision, and what changed since another one |
//! | [`patch`] | how a changed part travels between processes |
//! | `rebase` | changes of the platform that arrive after the lists have moved on |
//! | [`store`] | the lists in force in one process |
//! | [`lists`] | the checked lists in force and the questions asked of them |
//! | [`keys`] | look-up of customers by key |
//! | [`hosts`] | the platform's list of live and leaving hosts |
//! | [`host_store`] | the host list in use in one process, and what changed since a revision |

mod change;
mod check;
pub mod host_store;
pub mod hosts;
mod hosts_json;
pub mod keys;
pub mod lists;
mod parse;
pub mod part;
pub mod patch;
mod reader;
mod rebase;
pub mod snapshot;
pub mod store;
mod text;

pub use host_store::*;
pub use hosts::*;
pub use keys::*;
pub use lists::*;
pub use parse::{PRIORITY_MAX, SCHEMA};
pub use part::*;
pub use patch::*;
pub use snapshot::*;
pub use store::*;
