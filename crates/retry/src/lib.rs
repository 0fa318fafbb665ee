//! The retry table and retry budgets.
//!
//! | module | holds |
//! |---|---|
//! | [`table`] | kinds, steps, evidence and [`decide`] |
//! | [`budget`] | how many retries a backend server may get |

pub mod budget;
pub mod table;

pub use budget::{RetryBudget, RetryLimits};
pub use table::{
    ATTEMPTS_MAX, CallKind, Decision, Evidence, Step, decide, decide_without_retry, may_have_run,
};
