//! Single-use permits and idempotency keys.
//!
//! A permit allows one non-idempotent call to run once, at one incarnation of one agent. An
//! idempotency key maps to the latest permit issued for it, so a single record holds the state of
//! both.
//!
//! | module | contents |
//! |---|---|
//! | [`config`] | timeouts, retention periods and limits |
//! | [`owner`] | choice of the server that owns an idempotency key |
//! | [`history`] | whether a key without a record may have been run before |
//! | [`table`] | permit records, indexed by number, key and expiry |
//! | [`permits`] | [`Permits`], the permits and keys of one agent |

pub mod config;
pub mod history;
pub mod owner;
pub mod permits;
pub mod table;

pub use config::PermitsConfig;
pub use owner::{KeyId, owner_of};
pub use permits::{Permits, RunOutcome};
