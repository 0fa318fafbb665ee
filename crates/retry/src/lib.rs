//! The retry table and retry budgets.

pub mod table;

pub use table::{CallKind, Decision, Evidence, Step};
