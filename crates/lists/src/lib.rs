//! Plans and allowances ("the lists") and the platform's host list: parsing, validation, snapshots
//! and deltas.
//!
//! The platform publishes the lists as parts. All parts at one revision form a snapshot, which
//! takes effect only if it is valid as a whole. Processes exchange snapshots as deltas.
//!
//! | module | contents |
//! |---|---|
//! | [`part`] | published TOML documents that make up the lists |
//! | [`snapshot`] | all parts at one revision, and deltas from earlier revisions |
//! | [`patch`] | text patches with which processes exchange changed parts |
//! | `rebase` | deltas from the platform that arrive after a peer has advanced the lists |
//! | [`store`] | the lists in effect in one process |
//! | [`lists`] | the validated lists and queries on them |
//! | [`keys`] | look-up of customers by API key |
//! | [`hosts`] | the platform's list of live and leaving hosts |
//! | [`host_store`] | the host list in use in one process, and deltas from earlier revisions |

mod check;
pub mod host_store;
pub mod hosts;
mod hosts_json;
mod incremental;
pub mod keys;
pub mod lists;
mod parse;
pub mod part;
pub mod patch;
mod rebase;
pub mod snapshot;
pub mod store;
mod text;
mod toml_reader;

pub use host_store::*;
pub use hosts::*;
pub use keys::*;
pub use lists::*;
pub use parse::{PRIORITY_MAX, SCHEMA};
pub use part::*;
pub use patch::*;
pub use snapshot::*;
pub use store::*;
