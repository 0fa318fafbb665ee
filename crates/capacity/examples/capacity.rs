//! Measures what processes cost by size and prints samples and fitted lines as tab-separated
//! values.

use std::alloc::System;
use std::io;

use cuminlead_capacity::Report;
use gumdrop::Options;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts heap bytes. Each allocation in a timed step costs two more atomic additions.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "skip the measurement of real processes", no_short)]
    without_processes: bool,
    #[options(help = "skip the fleets in simulated time", no_short)]
    without_fleets: bool,
}

fn main() -> io::Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let options = cuminlead_capacity::Options {
        without_processes: arguments.without_processes,
        without_fleets: arguments.without_fleets,
    };
    let mut report = Report::with_printed_header();
    cuminlead_capacity::run(options, &mut report)?;
    println!("\nquantity\tunit\tslope\tintercept");
    for fit in report.fits() {
        println!("{fit}");
    }
    Ok(())
}
