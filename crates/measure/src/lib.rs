//! Measures routing policies in simulation: goodput, latency and wasted prefill of both test
//! deployments under load and faults.
//!
//! Runs the production decision code in the deterministic simulation of [`cuminlead_matrix`], with
//! the topology and engine parameters of a deployment. A table depends only on the arguments and
//! the seed, so differences between rows come from the policy, the load or the fault.
//!
//! | module | contents |
//! |---|---|
//! | [`site`] | topology, engine parameters and capacity of a deployment |
//! | [`workload`] | requests: prompts, arrival times and cancellations |
//! | [`run`] | executes one run, or several in parallel |
//! | [`latency`] | latencies of answered calls, compared with the targets |
//! | [`row`] | results of one run and their table format |
//! | [`plot`] | charts of goodput and wasted prefill against load |

pub mod latency;
pub mod plot;
pub mod row;
pub mod run;
pub mod site;
pub mod workload;

pub use row::{HEADER, Row};
pub use run::{RunFault, RunPlan, run, run_all};
pub use site::Site;
