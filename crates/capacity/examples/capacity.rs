//! Measures what processes cost by size and prints tab-separated samples and fitted lines.

use std::alloc::System;
use std::io;

use cuminlead_capacity::Report;
use gumdrop::Options;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts heap bytes; adds two atomic additions to each allocation that is timed.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "skip real processes", no_short)]
    without_processes: bool,
    #[options(help = "skip fleets on virtual time", no_short)]
    without_fleets: bool,
}

fn main() -> io::Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let options = cuminlead_capacity::Options {
        without_processes: arguments.without_processes,
        without_fleets: arguments.without_fleets,
    };
    let mut report = Report::printing();
    cuminlead_capacity::run(options, &mut report)?;
    println!("\nquantity\tunit\tslope\tintercept");
    for fit in report.fits() {
        println!("{fit}");
    }
    Ok(())
}
