//! Leases, queue, fair share and output retention of an agent.
//!
//! [`Admission`] decides what may use the engine and for how long. It reads no clock and does no
//! I/O: each function takes the present time and appends [`AdmissionAction`]s. The plan of the
//! customer is checked by the caller, which passes what the plan gives as [`SchedulingTerms`].
//!
//! | module | holds |
//! |---|---|
//! | [`action`] | what the agent must do after a decision |
//! | [`config`] | limits |
//! | [`ledger`] | slots and KV pieces in use |
//! | [`fair`] | weighted fair share among customers |
//! | [`estimate`] | when the engine has computed the prompts that it was given |
//! | [`queue`] | requests that wait, and their order |
//! | [`lease`] | what an attempt holds, until when |
//! | [`output`] | chunks that the entry has not acknowledged |
//! | [`released`] | attempts that their entry has released |
//! | [`context`] | the context and the grant of places |
//! | [`verify`] | check of the internal state, for tests |
//!
//! The private modules implement the events of the context: arrival of messages, decode streams,
//! engine events, inventory and expiry.

pub mod action;
mod arrival;
pub mod config;
pub mod context;
mod engine;
pub mod estimate;
mod expiry;
pub mod fair;
mod inventory;
pub mod lease;
pub mod ledger;
pub mod output;
pub mod queue;
pub mod released;
mod stream;
pub mod verify;

pub use action::{
    AdmissionAction, AdmissionRecord, CallRef, ReleaseCause, StreamMessage, StreamRef,
};
pub use config::AdmissionConfig;
pub use context::{Admission, SchedulingTerms};
pub use queue::{Purpose, Waiting};
pub use verify::Violation;
