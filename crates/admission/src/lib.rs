//! Admission control of an agent: leases, request queue, fair share and retained output.
//!
//! [`Admission`] decides which requests may use the engine, in which order and for how long. It
//! reads no clock and does no I/O: each function takes the current time and appends
//! [`AdmissionAction`]s, which the caller carries out. The caller also checks a request against the
//! customer's plan and passes the priority and weight that the plan grants as [`SchedulingTerms`].
//!
//! | module | contents |
//! |---|---|
//! | [`action`] | actions that the agent carries out after a decision |
//! | [`config`] | limits and timeouts |
//! | [`capacity`] | accounting of batch slots and KV pieces |
//! | [`fair_share`] | weighted fair share among customers |
//! | [`backlog`] | estimated time at which the engine has computed its prompts |
//! | [`queue`] | requests that wait for capacity, and their order |
//! | [`lease`] | state and expiry of what an attempt has allocated |
//! | [`output`] | chunks that the entry has not acknowledged |
//! | [`released`] | attempts that their entry has released |
//! | [`context`] | [`Admission`], and granting capacity to queued requests |
//! | [`verify`] | consistency check of the state, for tests |
//!
//! The private modules implement the event handlers of [`Admission`]: incoming messages, decode
//! streams, engine events, engine inventories and expiry.

pub mod action;
mod arrival;
pub mod backlog;
pub mod capacity;
pub mod config;
pub mod context;
mod engine;
mod expiry;
pub mod fair_share;
mod inventory;
pub mod lease;
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
pub use queue::{Purpose, QueuedRequest};
pub use verify::Violation;
