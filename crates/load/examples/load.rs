//! Runs open-loop load on the real processes, or measures the delay that they add.
//!
//! Prints the table of `measure`, with the results of real processes and stand-ins in place of
//! those of the simulation.

use std::error::Error;
use std::fs;
use std::io;
use std::time::Duration;

use cuminlead_fleet::deployment::Deployment;
use cuminlead_fleet::{Fleet, FleetConfig};
use cuminlead_load::table::{self, Counts};
use cuminlead_load::{AddedDelay, AddedPlan, LoadPlan, Target, added_delay, run, target};
use cuminlead_measure::{HEADER, Site};
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
    #[options(
        help = "routing policy of the fleets that this tool starts; repeat for several",
        no_short
    )]
    policy: Vec<String>,
    #[options(help = "seconds in which requests are sent", default = "60", no_short)]
    seconds: u64,
    #[options(
        help = "output of `dev/demo --keep`: use its processes instead of starting some",
        meta = "FILE",
        no_short
    )]
    fleet: Option<String>,
    #[options(help = "measure the delay that entry and agent add", no_short)]
    added_delay: bool,
    #[options(help = "prompt tokens with --added-delay", default = "1000", no_short)]
    prompt_tokens: usize,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let deployment: Deployment = arguments.deployment.parse()?;
    if arguments.added_delay {
        return measure_added_delay(&arguments, deployment);
    }
    if let Some(path) = &arguments.fleet {
        if !arguments.policy.is_empty() {
            return Err(
                "--policy cannot be combined with --fleet: a running fleet has its policy already"
                    .into(),
            );
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
        let printed = print_rows(&site, &Target::from_fleet(&fleet)?, &arguments, &policy);
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
        println!(
            "{}",
            table::row(site, target, &plan, &run, &before)?.to_tsv()
        );
        for line in table::summary_lines(&run) {
            println!("# {line}");
        }
    }
    Ok(())
}

fn measure_added_delay(
    arguments: &Arguments,
    deployment: Deployment,
) -> Result<(), Box<dyn Error>> {
    let plan = AddedPlan {
        seed: arguments.seed,
        length: Duration::from_secs(arguments.seconds),
        prompt_tokens: arguments.prompt_tokens,
    };
    if let Some(path) = &arguments.fleet {
        let target = Target::parse(deployment, &fs::read_to_string(path)?)?;
        return Ok(print_added(&target, plan)?);
    }
    let mut config = FleetConfig::new(deployment);
    config.engine_arguments = added_delay::ENGINE_ARGUMENTS.map(str::to_string).to_vec();
    let fleet = Fleet::start(config)?;
    let printed = print_added(&Target::from_fleet(&fleet)?, plan);
    printed.map_err(|error| fleet.explain(&error))?;
    Ok(fleet.stop()?)
}

fn print_added(target: &Target, plan: AddedPlan) -> io::Result<()> {
    let (seed, seconds, tokens) = (plan.seed, plan.length.as_secs(), plan.prompt_tokens);
    println!("# seed {seed}, {seconds} s, {tokens} prompt tokens");
    let delay = AddedDelay::measure(target, plan)?;
    println!("{}", added_delay::HEADER);
    for line in delay.lines() {
        println!("{line}");
    }
    Ok(())
}
