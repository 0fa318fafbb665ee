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
//! | [`notice`] | drain state and stalled calls of one server |

pub mod backoff;
pub mod membership;
pub mod notice;

pub use backoff::{BACKOFF_FAILURES, BACKOFF_FIRST, BACKOFF_LONGEST, Backoff, PROBE_TIMEOUT};
pub use membership::{DRAIN_PROBE_INTERVAL, FORGET_AFTER, Membership, ServerStatus};
pub use notice::{AgentNotice, STALL_LIMIT, STALL_MEMORY, Stall};
