//! Measurement of routing policies: goodput and waste of both deployments under load and faults.
//!
//! Runs the decision code in the driver of [`cuminlead_matrix`] with the sizes and places of a
//! deployment. The same seed gives the same table.
//!
//! | module | holds |
//! |---|---|
//! | [`site`] | places, engine parameters and capacity of a deployment |
//! | [`workload`] | requests, their prompts, arrival times and cancels |
//! | [`run`] | one run, and many of them in parallel |
//! | [`latency`] | latencies of answered calls against the targets |
//! | [`row`] | figures of one run, and the table |
//! | [`plot`] | goodput and wasted prefill over load as a picture |

pub mod latency;
pub mod plot;
pub mod row;
pub mod run;
pub mod site;
pub mod workload;

pub use row::{HEADER, Row};
pub use run::{RunFault, RunPlan, run, run_all};
pub use site::Site;
