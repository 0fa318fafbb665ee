//! Newtypes for ids, sizes, rates and times.
//!
//! Every value that crosses a module interface has its own type, so that a token count cannot be
//! mistaken for a byte count. Ids and numbers print with `Display` and parse back with `FromStr`.
//!
//! | module | contents |
//! |---|---|
//! | [`ids`] | names of customers, hosts, backend servers, models and requests |
//! | [`sizes`] | tokens, KV pieces, bytes, slots |
//! | [`rates`] | amounts per second |
//! | [`time`] | monotonic time, wall-clock time and durations |
//! | [`findings`] | problems found in input, each with its location |

pub mod findings;
pub mod ids;
mod macros;
pub mod rates;
pub mod sizes;
pub mod time;

pub use findings::{Finding, Findings, SourceLocation};
pub use ids::*;
pub use rates::*;
pub use sizes::*;
pub use time::*;
