//! Single-use permits and idempotency keys.
//!
//! A permit lets one non-idempotent call run once at one incarnation of one agent. An idempotency
//! key maps to the latest permit issued for it, so one record holds what is known about both.
//!
//! | module | holds |
//! |---|---|
//! | [`config`] | times and bounds |
//! | [`owner`] | the server that owns an idempotency key |
//! | [`history`] | whether a key without a record could have run before |
//! | [`table`] | records of permits, by number, key and deadline |
//! | [`permits`] | [`Permits`], the context of an agent |

pub mod config;
pub mod history;
pub mod owner;
pub mod permits;
pub mod table;

pub use config::PermitsConfig;
pub use owner::{KeyId, owner_of};
pub use permits::{Permits, RunOutcome};
