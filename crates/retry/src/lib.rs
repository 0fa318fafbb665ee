//! Retry decisions and retry budgets for calls to backend servers.
//!
//! | module | contents |
//! |---|---|
//! | [`table`] | call kinds, steps, evidence of a failure, and the retry decision [`decide`] |
//! | [`budget`] | limit on the retries sent to one backend server |

pub mod budget;
pub mod table;

pub use budget::{RetryBudget, RetryLimits};
pub use table::{
    ATTEMPTS_MAX, CallKind, Decision, Evidence, Step, decide, decide_without_retry, may_have_run,
};
