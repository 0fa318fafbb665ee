//! Newtypes for ids, sizes, rates and times.
//!
//! Every value that crosses a module border has a type of its own, so that a token count is never
//! taken for a byte count. Each type prints with `Display` and parses back with `FromStr`.
//!
//! | module | holds |
//! |---|---|
//! | [`ids`] | names of customers, hosts, backend servers, models and requests |
//! | [`sizes`] | tokens, KV pieces, bytes, slots |
//! | [`rates`] | amounts for each second |
//! | [`time`] | monotonic time, wall-clock time and durations |
//! | [`findings`] | problems found in input, each with its place |

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
