//! Measurement of what a process costs as customers, servers, hosts and requests grow.
//!
//! Each module drives the product's own decision code at several sizes and adds samples to a
//! [`Report`], which fits a line to each quantity. Sizes of `docs/design.md` 1.5 are among them
//! where the machine allows it.
//!
//! | module | measures |
//! |---|---|
//! | [`report`] | samples, fitted lines and their text |
//! | [`measure`] | times and heap bytes |
//! | [`fixture`] | lists, hosts and messages of a size |
//! | `routing` | decisions of a router, its memory and the taking of new lists |
//! | `agent` | decisions and memory of an agent |
//! | `call` | handling and memory of a model call |
//! | `lists` | parsing, checking and memory of lists |
//! | `hosts` | memory and taking of host lists |
//! | `wire` | encoded messages and their conversions |
//! | `serve` | sends of a reader to its followers |
//! | `world` | processes and a platform on virtual time |
//! | `spread` | calls of a fleet to the platform and time until a change is in force |
//! | `process` | resident memory and processor time of real processes |

mod agent;
mod call;
mod fixture;
mod hosts;
mod lists;
mod measure;
mod process;
pub mod report;
mod routing;
mod serve;
mod spread;
mod wire;
mod world;

use std::io;

pub use report::Report;

/// What to leave out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Skips real processes.
    pub without_processes: bool,
    /// Skips fleets on virtual time.
    pub without_fleets: bool,
}

/// Measures everything and adds it to the report.
pub fn run(options: Options, report: &mut Report) -> io::Result<()> {
    routing::run(report);
    agent::run(report);
    call::run(report);
    lists::run(report);
    hosts::run(report);
    wire::run(report);
    serve::run(report);
    if !options.without_processes {
        process::run(report)?;
    }
    if !options.without_fleets {
        spread::run(report);
    }
    Ok(())
}
