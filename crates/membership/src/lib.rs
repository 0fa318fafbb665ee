//! Which backend servers may get new work.
//!
//! Three sources tell that a server leaves or fails: the published host list, the reports of its
//! agent, and first-hand evidence of calls. The first one that says so takes the server out of use,
//! because the others lag or may be cut off.
//!
//! | module | holds |
//! |---|---|
//! | [`membership`] | [`Membership`], the context that combines the sources |
//! | [`backoff`] | back-off and probes of one server |
//! | [`notice`] | drain notices and stalls of one server |

pub mod backoff;
pub mod membership;
pub mod notice;

pub use backoff::{BACKOFF_FAILURES, BACKOFF_FIRST, BACKOFF_LONGEST, Backoff, PROBE_TIMEOUT};
pub use membership::{DRAIN_PROBE_INTERVAL, FORGET_AFTER, Membership, ServerStatus};
pub use notice::{AgentNotice, STALL_LIMIT, STALL_MEMORY, Stall};
