//! Tracks which backend servers may receive new requests.
//!
//! Three sources show that a server is draining or failing: the published host list, the reports of
//! the server's agent, and locally observed failures of calls. Any one of them is enough to take
//! the server out of use, because the other two may lag or be unreachable.
//!
//! | module | contents |
//! |---|---|
//! | [`membership`] | [`Membership`], which combines the sources |
//! | [`backoff`] | back-off and probes of one server |
//! | [`crash_probes`] | probes that learn whether an engine has crashed |
//! | [`health`] | drain state and stalled calls of one server |

pub mod backoff;
pub mod crash_probes;
pub mod health;
pub mod membership;

pub use backoff::{BACKOFF_FAILURES, BACKOFF_INITIAL, BACKOFF_MAX, Backoff, PROBE_TIMEOUT};
pub use crash_probes::{CRASH_PROBE_DELAY, CrashProbes};
pub use health::{DrainState, STALL_RETENTION, STALL_THRESHOLD, Stall};
pub use membership::{DRAIN_PROBE_INTERVAL, Membership, ServerStatus, UNPUBLISHED_RETENTION};
