//! Open-loop load on the real processes.
//!
//! Prints the table of `measure`, with what real processes and stand-ins did in place of the bench.

use std::error::Error;
use std::fs;
use std::io;

use cuminlead_dev::fleet::Fleet;
use cuminlead_dev::fleet::deployment::Deployment;
use cuminlead_dev::load::table::{self, Counts};
use cuminlead_dev::load::{LoadPlan, Target, run, target};
use cuminlead_dev::measure::{HEADER, Site};
use cuminlead_types::DurationUs;
use gumdrop::Options;

const POLICY: &str = "prefix-cost";
const LOADS: [f64; 3] = [0.5, 0.9, 1.3];

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
    #[options(help = "policy of started fleets; repeat for several", no_short)]
    policy: Vec<String>,
    #[options(help = "seconds in which requests are sent", default = "60", no_short)]
    seconds: u64,
    #[options(
        help = "output of `dev/demo --keep`: use its processes instead of starting some",
        meta = "FILE",
        no_short
    )]
    fleet: Option<String>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let deployment: Deployment = arguments.deployment.parse()?;
    if let Some(path) = &arguments.fleet {
        if !arguments.policy.is_empty() {
            return Err("--policy needs a fleet that this tool starts".into());
        }
        let target = Target::parse(deployment.clone(), &fs::read_to_string(path)?)?;
        let site = target::demo_site(deployment);
        print_head(&site, &arguments);
        return Ok(print_rows(&site, &target, &arguments, "(running)")?);
    }
    let site = Site::new(deployment);
    print_head(&site, &arguments);
    let policies = match arguments.policy.is_empty() {
        true => vec![POLICY.to_string()],
        false => arguments.policy.clone(),
    };
    for policy in policies {
        let fleet = Fleet::start(target::fleet_config(&site, &policy))?;
        let printed = print_rows(&site, &Target::of(&fleet)?, &arguments, &policy);
        printed.map_err(|error| fleet.explain(&error))?;
        fleet.stop()?;
    }
    Ok(())
}

fn print_head(site: &Site, arguments: &Arguments) {
    println!("# {}", site.capacity());
    println!("# seed {}, {} s", arguments.seed, arguments.seconds);
    println!("{HEADER}");
}

fn print_rows(site: &Site, target: &Target, arguments: &Arguments, policy: &str) -> io::Result<()> {
    let loads = match arguments.load.is_empty() {
        true => &LOADS[..],
        false => &arguments.load,
    };
    for load in loads {
        let plan = LoadPlan {
            policy: policy.to_string(),
            load: *load,
            seed: arguments.seed,
            length: DurationUs::from_ms(arguments.seconds * 1_000),
            answers_to_limit: arguments.fleet.is_none(),
        };
        let before = Counts::read(target)?;
        let run = run(site, target, &plan)?;
        println!("{}", table::row(site, target, &plan, &run, &before)?.line());
        for note in table::notes(&run) {
            println!("# {note}");
        }
    }
    Ok(())
}
