//! Measures what a process costs as the number of customers, servers, hosts and requests grows.
//!
//! Each module drives the production decision code at several sizes and adds samples to a
//! [`Report`], which fits a line to each quantity. The sizes of `docs/design.md` 1.5 are among them
//! where the machine allows it.
//!
//! | module | measures |
//! |---|---|
//! | [`report`] | collects samples, fits lines and prints both |
//! | `measure` | execution times and heap use |
//! | `fixture` | builds lists, hosts and messages of a given size |
//! | `routing` | decisions of a router, its memory and the installation of new lists |
//! | `agent` | decisions and memory of an agent |
//! | `model_call` | processing and memory of a model call at an entry |
//! | `lists` | parsing, validation and memory of lists |
//! | `hosts` | memory and updates of host lists |
//! | `wire` | sizes, encoding and decoding of messages |
//! | `reader` | updates that a reader sends to its followers |
//! | `simulation` | processes and a platform in simulated time |
//! | `propagation` | calls of a fleet to the platform, and time until a change is in effect |
//! | `process` | resident memory and CPU time of real processes |

mod agent;
mod fixture;
mod hosts;
mod lists;
mod measure;
mod model_call;
mod process;
mod propagation;
mod reader;
pub mod report;
mod routing;
mod simulation;
mod wire;

use std::io;

pub use report::Report;

/// Selects which measurements to skip.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Skips the measurement of real processes.
    pub without_processes: bool,
    /// Skips the fleets in simulated time.
    pub without_fleets: bool,
}

/// Runs all measurements that `options` doesn't skip and adds their samples to the report. Fails if
/// a fleet of real processes cannot be started or does not respond.
pub fn run(options: Options, report: &mut Report) -> io::Result<()> {
    routing::run(report);
    agent::run(report);
    model_call::run(report);
    lists::run(report);
    hosts::run(report);
    wire::run(report);
    reader::run(report);
    if !options.without_processes {
        process::run(report)?;
    }
    if !options.without_fleets {
        propagation::run(report);
    }
    Ok(())
}
