//! Measures routing policies in simulated time and prints a table of tab-separated values.

use std::error::Error;
use std::path::Path;

use cuminlead_fleet::deployment::Deployment;
use cuminlead_measure::{HEADER, RunFault, RunPlan, Site, plot, run_all};
use cuminlead_types::DurationUs;
use gumdrop::Options;

const POLICIES: [&str; 4] = [
    "round-robin",
    "least-loaded",
    "prefill-first",
    "prefix-cost",
];
const LOADS: [f64; 6] = [0.5, 0.7, 0.9, 1.0, 1.1, 1.3];
const FAULT_LOAD: f64 = 0.9;

#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "relojeria or bucaramanga", default = "relojeria")]
    deployment: String,
    #[options(help = "seed of the requests", default = "1")]
    seed: u64,
    #[options(help = "share of capacity; repeat for several", no_short)]
    load: Vec<f64>,
    #[options(help = "policy; repeat for several", no_short)]
    policy: Vec<String>,
    #[options(help = "fault; repeat for several", no_short)]
    fault: Vec<RunFault>,
    #[options(help = "seconds in which requests are sent", default = "60", no_short)]
    seconds: u64,
    #[options(help = "chart to write as an SVG file", meta = "FILE.svg", no_short)]
    plot: Option<String>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let deployment: Deployment = arguments.deployment.parse()?;
    let site = Site::new(deployment);
    println!("# {}", site.capacity());
    println!("# seed {}, {} s", arguments.seed, arguments.seconds);
    let rows = run_all(&site, &plans(&arguments));
    println!("{HEADER}");
    for row in &rows {
        println!("{}", row.to_tsv());
    }
    if let Some(path) = &arguments.plot {
        plot::write(Path::new(path), site.deployment.name, &rows)?;
    }
    Ok(())
}

/// Builds one plan for each combination of policy, fault and load.
fn plans(arguments: &Arguments) -> Vec<RunPlan> {
    let or = |given: &[f64], default: &[f64]| match given {
        [] => default.to_vec(),
        given => given.to_vec(),
    };
    let policies = match arguments.policy.is_empty() {
        true => POLICIES.map(str::to_string).to_vec(),
        false => arguments.policy.clone(),
    };
    let (faults, loads) = match arguments.fault.is_empty() {
        true => (vec![None], or(&arguments.load, &LOADS)),
        false => {
            let faults = arguments.fault.iter().map(|fault| Some(*fault));
            (faults.collect(), or(&arguments.load, &[FAULT_LOAD]))
        }
    };
    let mut plans = Vec::new();
    for policy in policies {
        for fault in &faults {
            let of_load = loads.iter().map(|load| RunPlan {
                policy: policy.clone(),
                load: *load,
                fault: *fault,
                seed: arguments.seed,
                length: DurationUs::from_ms(arguments.seconds * 1_000),
            });
            plans.extend(of_load);
        }
    }
    plans
}
