//! One run, and many of them in parallel.

use std::sync::Mutex;

use cuminlead_protocol::EngineRole;
use cuminlead_types::{DurationUs, TimeUs};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::row::Row;
use super::site::Site;
use super::workload::{Arrival, Work, arrivals};
use cuminlead_matrix::guard_hooks::NoGuardHooks;
use cuminlead_matrix::{NodeId, PathKind, RequestSpec, Simulation, TimedFault};

/// Lists, hosts and inventories are known everywhere by then.
const START: TimeUs = TimeUs(8_000_000);
/// Time after the last request in which calls end and memory is freed: the longest request (100 s)
/// and the longest lease (30 s).
const SETTLE: DurationUs = DurationUs::from_ms(130_000);
/// Cuts and stalls begin after a third of the run.
const CUT: DurationUs = DurationUs::from_ms(10_000);
const HANG: DurationUs = DurationUs::from_ms(15_000);
const STALL: DurationUs = DurationUs::from_ms(6_000);
const PLATFORM_DOWN: DurationUs = DurationUs::from_ms(20_000);
/// Runs at once; the machine is shared.
const THREADS_MAX: usize = 4;

/// Fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RunFault {
    /// A decode engine and its agent die and start again.
    RunnerLost,
    /// A prefill engine does nothing for a while, and its agent answers.
    EngineHangs,
    /// An availability zone of the first region is cut off.
    ZoneCut,
    /// The second region is cut off.
    RegionCut,
    /// The configuration service is down.
    ConfigDown,
    /// Transfers of KV cache stall.
    StalledTransfers,
}

/// What varies between the runs of a table.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Policy.
    pub policy: String,
    /// Share of capacity.
    pub load: f64,
    /// Fault.
    pub fault: Option<RunFault>,
    /// Seed of the requests.
    pub seed: u64,
    /// Time in which requests are sent.
    pub length: DurationUs,
}

/// Runs a plan.
pub fn run(site: &Site, plan: &RunPlan) -> Row {
    let mut config = site.config.clone();
    config.seed = plan.seed;
    config.policy.clone_from(&plan.policy);
    config.call.prefill_first = plan.policy == "prefill-first";
    config.call.prefill_rate = config.prefill_rate;
    let mut world = Simulation::new(config, Box::new(NoGuardHooks));
    send_all(site, plan, &mut world);
    if let Some(fault) = plan.fault {
        let at = START + DurationUs(plan.length.get() / 3);
        if let Some(disturbance) = disturbance(site, fault) {
            world.inject_at(at, disturbance);
        }
    }
    world.run_until(START + plan.length + SETTLE);
    Row::of(plan, &world, plan.length.as_ms() / 1_000)
}

/// Runs all plans, a few at a time, and gives the rows in the order of the plans.
pub fn run_all(site: &Site, plans: &[RunPlan]) -> Vec<Row> {
    let next = Mutex::new(0);
    let rows = Mutex::new(vec![Row::default(); plans.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS_MAX.min(plans.len()) {
            scope.spawn(|| {
                while let Some((index, plan)) = take(&next, plans) {
                    let row = run(site, plan);
                    rows.lock().expect("no run panics")[index] = row;
                }
            });
        }
    });
    rows.into_inner().expect("no run panics")
}

fn take<'a>(next: &Mutex<usize>, plans: &'a [RunPlan]) -> Option<(usize, &'a RunPlan)> {
    let mut next = next.lock().expect("no run panics");
    let index = *next;
    *next += 1;
    plans.get(index).map(|plan| (index, plan))
}

fn send_all(site: &Site, plan: &RunPlan, world: &mut Simulation) {
    let rate = site.capacity().rate() * plan.load;
    let regions = site.regions();
    let entries: Vec<Vec<NodeId>> = regions.iter().map(|name| site.entries(name)).collect();
    let arrivals = arrivals(&site.shape, plan.seed, rate, START, plan.length);
    for (number, arrival) in (1..).zip(arrivals) {
        let region = usize::from(!arrival.is_in_first_region);
        let entry = entries[region][0];
        send(world, number, entry, arrival);
    }
}

fn send(world: &mut Simulation, number: u64, entry: NodeId, arrival: Arrival) {
    let Work::Model {
        prompt,
        output_tokens,
        leaves_after_us,
    } = arrival.work
    else {
        let none = cuminlead_types::Tokens::ZERO;
        let spec = RequestSpec::new(number, PathKind::NonIdempotent, entry, none);
        world.send_at(arrival.at, spec);
        return;
    };
    let none = cuminlead_types::Tokens::ZERO;
    let mut spec = RequestSpec::new(number, PathKind::Model, entry, none);
    spec.prompt = prompt.text(number);
    spec.output_max_tokens = output_tokens;
    let request = spec.request;
    world.send_at(arrival.at, spec);
    if let Some(after) = leaves_after_us {
        world.inject_at(arrival.at + after, TimedFault::CallerLeaves(request));
    }
}

fn disturbance(site: &Site, fault: RunFault) -> Option<TimedFault> {
    let first = site.first_engine(EngineRole::Decode)?;
    let places = &site.config.places;
    Some(match fault {
        RunFault::RunnerLost => TimedFault::RunnerLost(first),
        RunFault::EngineHangs => {
            let node = site.first_engine(EngineRole::Prefill)?;
            TimedFault::EngineHangs(node, HANG)
        }
        RunFault::ZoneCut => TimedFault::ZoneCut(places[first.0].zone.clone(), CUT),
        RunFault::RegionCut => {
            let second = places.iter().find(|p| p.region != places[0].region)?;
            TimedFault::RegionCut(second.region.clone(), CUT)
        }
        RunFault::ConfigDown => TimedFault::PlatformDown(PLATFORM_DOWN),
        RunFault::StalledTransfers => TimedFault::TransferStall(STALL),
    })
}
