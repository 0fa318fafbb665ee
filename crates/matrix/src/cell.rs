//! Cells of the fault matrix: one request on a path, and the faults injected into it.
//!
//! After the faults have ended the run goes on until every time bound of `docs/design.md` has
//! passed. Then engine memory must be empty, no call may be left at an entry, the same request sent
//! afresh must be answered, and the record must keep all promises.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use cuminlead_types::{DurationUs, RequestId, TimeUs, Tokens};
use cuminlead_verifier::{Bounds, verify};
use strum::IntoEnumIterator;

use super::caller::{CallerResult, Ending, PathKind, RequestSpec};
use super::config::SimulationConfig;
use super::fault::Fault;
use super::guard_hooks::GuardHooks;
use super::service::response_to;
use super::simulation::Simulation;
use super::step::{Injection, InjectionPoint, Plan};

/// Start of the request; later than the start of the processes by more than the 50 s after which a
/// key is known to be new (`SimulationConfig::key_staleness_us` and the margin of clocks).
const SENT_AT: TimeUs = TimeUs(55_000_000);
/// Time during which other requests are sent, longer than a leaving server may get work.
const OTHERS_TIME: DurationUs = DurationUs::from_ms(20_000);
/// Interval of other requests.
const OTHERS_INTERVAL: DurationUs = DurationUs::from_ms(2_000);
/// Shortest time for faults; longer than the longest one lasts.
const FAULTS_MIN: DurationUs = DurationUs::from_ms(50_000);
/// Longest time for two faults and the recovery in between.
const FAULTS_MAX: DurationUs = DurationUs::from_ms(260_000);
/// Interval at which the end of the faults is looked for.
const LOOK_INTERVAL: DurationUs = DurationUs::from_ms(5_000);
/// Time after which every bound has passed: a request lasts 100 s at most, and its memory is free
/// 30 s later.
const SETTLE: DurationUs = DurationUs::from_ms(131_000);
/// Time for the request that is sent afresh, and for its memory to be free.
const FRESH: DurationUs = DurationUs::from_ms(35_000);
/// Run time of a service that is slow enough for its outcome to be asked for (2 s).
const SLOW_RUN: DurationUs = DurationUs::from_ms(2_800);

/// Seed of runs without jitter, in which each fault is injected exactly at its step.
pub const EXACT_SEED: u64 = 1;
/// Jitter with other seeds: a third of the latency between zones, so packets of different
/// connections overtake each other.
const JITTER: DurationUs = DurationUs(500);
/// Delay of faults with other seeds: long enough to fall between any two steps.
const STRIKE_DELAY: DurationUs = DurationUs::from_ms(20);

/// Times at which the lists change what an engine should serve: a role that has changed is changed
/// back while an order that was late by `SimulationConfig::late_order_us` is still under way.
const CHANGES_AFTER: [DurationUs; 3] = [
    DurationUs::from_ms(0),
    DurationUs::from_ms(20_000),
    DurationUs::from_ms(45_000),
];
/// Time during which requests run through the changes: the last one, its hysteresis (10 s) and the
/// order.
const CHANGES_TIME: DurationUs = DurationUs::from_ms(60_000);
const THROUGH_INTERVAL: DurationUs = DurationUs::from_ms(700);
/// With the step below an answer takes 2.4 s, so every engine has work at any time.
const THROUGH_OUTPUT: Tokens = Tokens(40);
const THROUGH_STEP: DurationUs = DurationUs::from_ms(60);
const FIRST_THROUGH: u64 = 1_000;

const PROMPT: Tokens = Tokens(4_000);
const TARGET: u64 = 1;
const FRESH_TARGET: u64 = 2;
const FIRST_OTHER: u64 = 100;
const FIRST_REPEAT: u64 = 10;
/// Times after a keyed call at which its caller repeats it.
const REPEATS_AFTER: [DurationUs; 3] = [
    DurationUs::from_ms(1_200),
    DurationUs::from_ms(12_000),
    DurationUs::from_ms(49_000),
];

/// Request on a path, and the faults injected into it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Path of the request.
    pub path: PathKind,
    /// Faults in the order in which they are injected.
    pub injections: Vec<Injection>,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path)?;
        for injection in &self.injections {
            write!(f, " {}:{}", injection.step, injection.fault)?;
        }
        Ok(())
    }
}

/// Text that is not a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseCellError(String);

impl fmt::Display for ParseCellError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a cell", self.0)
    }
}

impl std::error::Error for ParseCellError {}

impl FromStr for Cell {
    type Err = ParseCellError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseCellError(text.to_string());
        let mut words = text.split_whitespace();
        let path = words.next().and_then(|word| word.parse().ok());
        let mut injections = Vec::new();
        for word in words {
            let (step, fault) = word.split_once(':').ok_or_else(error)?;
            injections.push(Injection {
                step: step.parse().map_err(|_| error())?,
                fault: fault.parse().map_err(|_| error())?,
            });
        }
        Ok(Self {
            path: path.ok_or_else(error)?,
            injections,
        })
    }
}

/// What came of a cell.
#[derive(Clone, Debug)]
pub struct CellReport {
    /// Faults that were injected.
    pub injected_count: usize,
    /// How the request ended for its caller.
    pub ending: String,
    /// Everything that is wrong, one finding each.
    pub findings: Vec<String>,
    /// Promises that the record breaks, such as `P1`.
    pub broken: BTreeSet<String>,
    /// Record as text.
    pub record: String,
}

/// Faults that can be injected into a path at a step.
fn injections_of(path: PathKind, step: InjectionPoint) -> impl Iterator<Item = Injection> {
    let faults = Fault::iter().filter(move |fault| fault.applies_to(path));
    faults.map(move |fault| Injection { step, fault })
}

fn steps_of(path: PathKind) -> impl Iterator<Item = InjectionPoint> {
    InjectionPoint::iter().filter(move |step| step.paths().contains(&path))
}

/// All cells with one fault.
pub fn singles() -> Vec<Cell> {
    let mut cells = Vec::new();
    for path in PathKind::iter() {
        for step in steps_of(path) {
            let injections = injections_of(path, step);
            cells.extend(injections.map(|injection| Cell {
                path,
                injections: vec![injection],
            }));
        }
    }
    cells
}

/// All cells with two faults, the second one at the same or a later step.
pub fn pairs() -> Vec<Cell> {
    let mut cells = Vec::new();
    for first in singles() {
        let path = first.path;
        let step = first.injections[0].step;
        for later in steps_of(path).filter(|later| *later >= step) {
            cells.extend(injections_of(path, later).map(|second| Cell {
                path,
                injections: vec![first.injections[0], second],
            }));
        }
    }
    cells
}

/// Paths and faults that make no cell, because the path has nothing that the fault affects.
pub fn not_applicable() -> Vec<String> {
    let mut names = Vec::new();
    for path in PathKind::iter() {
        let faults = Fault::iter().filter(|fault| !fault.applies_to(path));
        names.extend(faults.map(|fault| format!("{path}:{fault}")));
    }
    names
}

/// Settings for a cell.
pub fn config_of(cell: &Cell, seed: u64) -> SimulationConfig {
    let mut config = SimulationConfig {
        seed,
        ..SimulationConfig::default()
    };
    if seed != EXACT_SEED {
        config.jitter_us = JITTER;
        config.injection_delay_us = STRIKE_DELAY;
    }
    config.is_fenced = cell.path.is_fenced();
    config.change = cell.path.change();
    if config.change.is_some() {
        config.change_at = CHANGES_AFTER.map(|after| SENT_AT + after).to_vec();
        config.has_whole_outputs = true;
        config.decode_step_us = THROUGH_STEP;
    }
    if cell.injections.iter().any(|s| s.step.needs_slow_service()) {
        config.service_run_us = SLOW_RUN;
    }
    config
}

/// Runs a cell.
pub fn run_cell(cell: &Cell, seed: u64, tamper: Box<dyn GuardHooks>) -> CellReport {
    let mut world = Simulation::new(config_of(cell, seed), tamper);
    let entry = world.entry_nodes()[0];
    let target = RequestSpec::new(TARGET, cell.path, entry, PROMPT);
    world.set_plan(Plan::new(target.request, &cell.injections));
    send_repeats(&mut world, &target);
    world.send_at(SENT_AT, target);
    send_others(&mut world);
    send_through_changes(&mut world);
    run_faults(&mut world);
    let mut findings = Vec::new();
    let settled_at = world.now() + SETTLE;
    world.run_until(settled_at);
    for unused in world.unusable_servers() {
        findings.push(format!("{unused} after the faults"));
    }
    check_empty(&world, "after the faults", &mut findings);
    let fresh = RequestSpec::new(FRESH_TARGET, cell.path, entry, PROMPT);
    let fresh_id = fresh.request;
    world.send_at(settled_at, fresh);
    world.run_until(settled_at + FRESH);
    check_empty(&world, "after the fresh request", &mut findings);
    check_fresh(&world, fresh_id, &mut findings);
    check_graceful(&world, cell, &mut findings);
    check_keys(&world, &mut findings);
    let found = verify(world.record(), world.now(), &bounds_of(cell));
    findings.extend(found.iter().map(ToString::to_string));
    let broken = found
        .iter()
        .filter_map(|finding| finding.location.key.split(' ').next());
    CellReport {
        broken: broken.map(ToString::to_string).collect(),
        injected_count: world.plan().injected_count(),
        ending: ending_of(&world),
        findings,
        record: world.record().to_string(),
    }
}

/// Bounds of the design; those on engine memory leave out the time for which nobody can free it.
fn bounds_of(cell: &Cell) -> Bounds {
    let mut bounds = Bounds::default();
    for injection in &cell.injections {
        bounds.free_us += injection.fault.memory_blocked_us();
        bounds.cancel_us += injection.fault.cancel_blocked_us();
    }
    bounds
}

/// Other requests through all entries, whose answers must not be mixed up with the target's.
fn send_others(world: &mut Simulation) {
    let entries = world.entry_nodes();
    let count = OTHERS_TIME.get() / OTHERS_INTERVAL.get();
    for number in 0..count {
        let index = usize::try_from(number).unwrap_or(0);
        let entry = entries[(index + 1) % entries.len()];
        let at = SENT_AT + DurationUs(number * OTHERS_INTERVAL.get());
        let model = FIRST_OTHER + 2 * number;
        world.send_at(at, RequestSpec::new(model, PathKind::Model, entry, PROMPT));
        let spec = RequestSpec::new(model + 1, PathKind::NonIdempotent, entry, PROMPT);
        world.send_at(at, spec);
    }
}

/// The caller of a keyed call sends it again, early and after every fault has ended.
fn send_repeats(world: &mut Simulation, target: &RequestSpec) {
    if target.key.is_none() {
        return;
    }
    let entries = world.entry_nodes();
    for (index, after) in REPEATS_AFTER.into_iter().enumerate() {
        let entry = entries[(index + 1) % entries.len()];
        let spec = target.repeat(FIRST_REPEAT + index as u64, entry, SENT_AT);
        world.send_at(SENT_AT + after, spec);
    }
}

/// Model calls that run at all engines while the lists change what one of them should serve.
fn send_through_changes(world: &mut Simulation) {
    if world.config().change.is_none() {
        return;
    }
    let entries = world.entry_nodes();
    let count = CHANGES_TIME.get() / THROUGH_INTERVAL.get();
    for number in 0..count {
        let index = usize::try_from(number).unwrap_or(0);
        let entry = entries[index % entries.len()];
        let at = SENT_AT + DurationUs(number * THROUGH_INTERVAL.get());
        let mut spec = RequestSpec::new(FIRST_THROUGH + number, PathKind::Model, entry, PROMPT);
        spec.output_max_tokens = THROUGH_OUTPUT;
        world.send_at(at, spec);
    }
}

fn run_faults(world: &mut Simulation) {
    world.run_until(SENT_AT + FAULTS_MIN);
    if world.config().change.is_some() {
        world.run_until(SENT_AT + CHANGES_TIME);
    }
    let until = SENT_AT + FAULTS_MAX;
    while world.now() < until && !is_over(world) {
        world.run_until(world.now() + LOOK_INTERVAL);
    }
}

fn is_over(world: &Simulation) -> bool {
    let results = world.results().values();
    let are_ended = results.into_iter().all(|result| result.ending.is_some());
    are_ended && world.is_healed() && world.are_duties_published()
}

fn check_empty(world: &Simulation, when: &str, findings: &mut Vec<String>) {
    let sequences_count = world.sequences_count();
    if sequences_count > 0 {
        findings.push(format!("{sequences_count} sequences in engines {when}"));
    }
    let calls_count = world.calls_count();
    if calls_count > 0 {
        findings.push(format!("{calls_count} calls left at entries {when}"));
    }
}

/// Requests with one key get the answer of the one that ran, whichever that was.
fn check_keys(world: &Simulation, findings: &mut Vec<String>) {
    let answered = world.results().values();
    let answered = answered.filter(|result| result.ending == Some(Ending::Answered));
    let keyed: Vec<&CallerResult> = answered.filter(|r| r.spec.key.is_some()).collect();
    for result in &keyed {
        let same_key = |other: &&&CallerResult| other.spec.key == result.spec.key;
        let is_same = keyed
            .iter()
            .filter(same_key)
            .all(|other| other.text == result.text);
        let of_key = world.results().values();
        let mut of_key = of_key.filter(|other| other.spec.key == result.spec.key);
        let is_of_key = of_key.any(|other| response_to(other.spec.request).body == result.text);
        if !is_same || !is_of_key {
            let request = result.spec.request;
            findings.push(format!("{request} got the answer to another call"));
        }
    }
}

/// A graceful shutdown alone must not keep a request from its answer. Only a call with a key may be
/// refused, because no other server may run it.
fn check_graceful(world: &Simulation, cell: &Cell, findings: &mut Vec<String>) {
    if !cell
        .injections
        .iter()
        .all(|injection| injection.fault.is_graceful())
    {
        return;
    }
    let ending = ending_of(world);
    let is_refused = cell.path == PathKind::Keyed && ending == "not_run";
    if ending != "answered" && !is_refused {
        findings.push(format!(
            "a graceful shutdown ended the request with {ending}"
        ));
    }
}

fn ending_of(world: &Simulation) -> String {
    let results = world.results();
    let target = results.get(&RequestId(u128::from(TARGET)));
    match target.and_then(|result| result.ending.as_ref()) {
        Some(Ending::Failed(outcome)) => outcome.to_string(),
        Some(Ending::Answered) => "answered".to_string(),
        Some(Ending::Gone) => "caller_gone".to_string(),
        Some(Ending::CutOff) => "cut_off".to_string(),
        None => "none".to_string(),
    }
}

fn check_fresh(world: &Simulation, request: RequestId, findings: &mut Vec<String>) {
    let result = &world.results()[&request];
    if result.ending != Some(Ending::Answered) {
        let ending = &result.ending;
        let error = &result.error;
        findings.push(format!("the fresh request ended with {ending:?}: {error}"));
    }
}
