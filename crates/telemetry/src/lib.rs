//! Logs, metrics and spans.
//!
//! | module | contents |
//! |---|---|
//! | [`log`] | log lines of key=value pairs on standard error |
//! | [`metrics`] | counters, gauges and histograms of both processes |
//! | [`trace`] | a span for each hop, with W3C trace context |

pub mod log;
pub mod metrics;
pub mod trace;

pub use metrics::{BusyTime, CommonMetrics, Label, Metrics};
pub use trace::{HopSpan, Tracing};
