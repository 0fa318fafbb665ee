//! Executes simulation runs, one by one or several in parallel.

use std::sync::Mutex;

use cuminlead_protocol::EngineRole;
use cuminlead_types::{DurationUs, TimeUs};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::row::Row;
use super::site::Site;
use super::workload::{Arrival, RequestKind, arrivals};
use cuminlead_matrix::guard_hooks::NoGuardHooks;
use cuminlead_matrix::{NodeId, PathKind, RequestSpec, Simulation, TimedFault};

/// First arrival; lists, host lists and inventories have reached all processes by then.
const REQUESTS_START_AT: TimeUs = TimeUs(8_000_000);
/// Time after the last arrival in which calls end and memory is released: covers the longest
/// request (100 s) and the longest lease (30 s).
const SETTLE_DURATION: DurationUs = DurationUs::from_ms(130_000);
/// Durations of the injected faults, which begin after a third of the run.
const PARTITION_DURATION: DurationUs = DurationUs::from_ms(10_000);
const ENGINE_HANG_DURATION: DurationUs = DurationUs::from_ms(15_000);
const TRANSFER_STALL_DURATION: DurationUs = DurationUs::from_ms(6_000);
const PLATFORM_OUTAGE_DURATION: DurationUs = DurationUs::from_ms(20_000);
/// Limit on concurrent runs, because other work shares the machine.
const PARALLEL_RUNS_MAX: usize = 4;

/// Fault injected into a run, named in kebab case in arguments and in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RunFault {
    /// A decode engine and its agent crash and restart.
    RunnerLost,
    /// A prefill engine makes no progress for a time, while its agent still responds.
    EngineHangs,
    /// An availability zone of the first region is partitioned from the rest for a time.
    ZoneCut,
    /// The second region is partitioned from the rest for a time.
    RegionCut,
    /// The configuration service is unavailable for a time.
    ConfigDown,
    /// Transfers of KV cache stall for a time.
    StalledTransfers,
}

/// Parameters that vary between the runs of a table.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Routing policy.
    pub policy: String,
    /// Offered load as a share of the capacity of the site.
    pub load: f64,
    /// Fault to inject after a third of `length`, if any.
    pub fault: Option<RunFault>,
    /// Seed of the requests and of the simulation.
    pub seed: u64,
    /// Time during which requests arrive.
    pub length: DurationUs,
}

/// Executes one run and returns its results.
pub fn run(site: &Site, plan: &RunPlan) -> Row {
    let mut config = site.config.clone();
    config.seed = plan.seed;
    config.policy.clone_from(&plan.policy);
    config.call.prefill_first = plan.policy == "prefill-first";
    config.call.prefill_rate = config.prefill_rate;
    let mut simulation = Simulation::new(config, Box::new(NoGuardHooks));
    schedule_requests(site, plan, &mut simulation);
    if let Some(fault) = plan.fault {
        let at = REQUESTS_START_AT + DurationUs(plan.length.get() / 3);
        if let Some(timed_fault) = timed_fault(site, fault) {
            simulation.inject_at(at, timed_fault);
        }
    }
    simulation.run_until(REQUESTS_START_AT + plan.length + SETTLE_DURATION);
    Row::from_simulation(plan, &simulation, plan.length.as_ms() / 1_000)
}

/// Executes all plans, at most `PARALLEL_RUNS_MAX` concurrently, and returns the rows in the order
/// of the plans.
pub fn run_all(site: &Site, plans: &[RunPlan]) -> Vec<Row> {
    let next = Mutex::new(0);
    let rows = Mutex::new(vec![Row::default(); plans.len()]);
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS_MAX.min(plans.len()) {
            scope.spawn(|| {
                while let Some((index, plan)) = next_plan(&next, plans) {
                    let row = run(site, plan);
                    rows.lock().expect("no run panics")[index] = row;
                }
            });
        }
    });
    rows.into_inner().expect("no run panics")
}

fn next_plan<'a>(next: &Mutex<usize>, plans: &'a [RunPlan]) -> Option<(usize, &'a RunPlan)> {
    let mut next = next.lock().expect("no run panics");
    let index = *next;
    *next += 1;
    plans.get(index).map(|plan| (index, plan))
}

fn schedule_requests(site: &Site, plan: &RunPlan, simulation: &mut Simulation) {
    let rate = site.capacity().rate() * plan.load;
    let regions = site.regions();
    let entries: Vec<Vec<NodeId>> = regions.iter().map(|name| site.entries(name)).collect();
    let arrivals = arrivals(&site.shape, plan.seed, rate, REQUESTS_START_AT, plan.length);
    for (number, arrival) in (1..).zip(arrivals) {
        let region = usize::from(!arrival.is_in_first_region);
        let entry = entries[region][0];
        schedule_request(simulation, number, entry, arrival);
    }
}

fn schedule_request(simulation: &mut Simulation, number: u64, entry: NodeId, arrival: Arrival) {
    let RequestKind::Model {
        prompt,
        output_tokens,
        cancel_after_us,
    } = arrival.kind
    else {
        let none = cuminlead_types::Tokens::ZERO;
        let spec = RequestSpec::new(number, PathKind::NonIdempotent, entry, none);
        simulation.send_at(arrival.at, spec);
        return;
    };
    let none = cuminlead_types::Tokens::ZERO;
    let mut spec = RequestSpec::new(number, PathKind::Model, entry, none);
    spec.prompt = prompt.render(number);
    spec.output_max_tokens = output_tokens;
    let request = spec.request;
    simulation.send_at(arrival.at, spec);
    if let Some(after) = cancel_after_us {
        simulation.inject_at(arrival.at + after, TimedFault::CallerLeaves(request));
    }
}

fn timed_fault(site: &Site, fault: RunFault) -> Option<TimedFault> {
    let first = site.first_engine(EngineRole::Decode)?;
    let places = &site.config.places;
    Some(match fault {
        RunFault::RunnerLost => TimedFault::RunnerLost(first),
        RunFault::EngineHangs => {
            let node = site.first_engine(EngineRole::Prefill)?;
            TimedFault::EngineHangs(node, ENGINE_HANG_DURATION)
        }
        RunFault::ZoneCut => TimedFault::ZoneCut(places[first.0].zone.clone(), PARTITION_DURATION),
        RunFault::RegionCut => {
            let second = places.iter().find(|p| p.region != places[0].region)?;
            TimedFault::RegionCut(second.region.clone(), PARTITION_DURATION)
        }
        RunFault::ConfigDown => TimedFault::PlatformDown(PLATFORM_OUTAGE_DURATION),
        RunFault::StalledTransfers => TimedFault::TransferStall(TRANSFER_STALL_DURATION),
    })
}
