//! Cases of the fault matrix: one request on a path, and the faults injected into it.
//!
//! After the faults have ended, the run continues until every time bound of `docs/design.md` has
//! passed. Then no engine memory may be in use, no call may be left at an entry, the same request
//! sent again must be answered, and the record must keep all promises (P1 to P8 and the rules for
//! orders).

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
use super::injection::{Injection, InjectionPlan, InjectionPoint};
use super::service::response_to;
use super::simulation::Simulation;

/// Start of the request. Agents trust a key as new only 50 s after their start, which is
/// `SimulationConfig::key_staleness_us` (45 s) plus the clock margin (5 s).
const SENT_AT: TimeUs = TimeUs(55_000_000);
/// Time during which background requests are sent; longer than a draining server may get work.
const BACKGROUND_TIME: DurationUs = DurationUs::from_ms(20_000);
/// Interval of the background requests.
const BACKGROUND_INTERVAL: DurationUs = DurationUs::from_ms(2_000);
/// Shortest time for faults; longer than the longest fault lasts.
const FAULTS_MIN: DurationUs = DurationUs::from_ms(50_000);
/// Longest time for two faults and the recovery between them.
const FAULTS_MAX: DurationUs = DurationUs::from_ms(260_000);
/// Interval at which the run checks whether all faults have ended.
const POLL_INTERVAL: DurationUs = DurationUs::from_ms(5_000);
/// Time after which every bound has passed: a request lasts at most 100 s, and its memory is free
/// 30 s later.
const SETTLE_TIME: DurationUs = DurationUs::from_ms(131_000);
/// Time for the final request and for its memory to be released.
const FINAL_REQUEST_TIME: DurationUs = DurationUs::from_ms(35_000);
/// Execution time of a slow service, beyond the 2 s after which an entry queries the outcome.
const SLOW_RUN: DurationUs = DurationUs::from_ms(2_800);

/// Seed of runs without jitter, in which each fault is injected exactly at its injection point.
pub const EXACT_SEED: u64 = 1;
/// Jitter with other seeds: a third of the latency between zones, so that packets on different
/// connections overtake each other.
const JITTER: DurationUs = DurationUs(500);
/// Longest delay of faults with other seeds, so that faults fall between any two injection points.
const INJECTION_DELAY: DurationUs = DurationUs::from_ms(20);

/// Times at which the lists change the assignment of an engine. A changed role is changed back
/// while an order delayed by `SimulationConfig::late_order_us` has not yet arrived.
const CHANGES_AFTER: [DurationUs; 3] = [
    DurationUs::from_ms(0),
    DurationUs::from_ms(20_000),
    DurationUs::from_ms(45_000),
];
/// Time during which requests run while the lists change: until the last change, plus its
/// hysteresis (10 s) and the order.
const CHANGES_TIME: DurationUs = DurationUs::from_ms(60_000);
const LOAD_INTERVAL: DurationUs = DurationUs::from_ms(700);
/// With `LOAD_DECODE_STEP` an output takes 2.4 s, so every engine always has work.
const LOAD_OUTPUT: Tokens = Tokens(40);
const LOAD_DECODE_STEP: DurationUs = DurationUs::from_ms(60);
const FIRST_LOAD: u64 = 1_000;

const PROMPT: Tokens = Tokens(4_000);
const TARGET_REQUEST: u64 = 1;
const FINAL_REQUEST: u64 = 2;
const FIRST_BACKGROUND: u64 = 100;
const FIRST_REPEAT: u64 = 10;
/// Times after a keyed call at which its caller repeats it.
const REPEATS_AFTER: [DurationUs; 3] = [
    DurationUs::from_ms(1_200),
    DurationUs::from_ms(12_000),
    DurationUs::from_ms(49_000),
];

/// Request on a path, and the faults injected into it. The text form is the path followed by
/// `point:fault` for each injection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultCase {
    /// Path of the request.
    pub path: PathKind,
    /// Faults in the order in which they are injected.
    pub injections: Vec<Injection>,
}

impl fmt::Display for FaultCase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path)?;
        for injection in &self.injections {
            write!(f, " {}:{}", injection.point, injection.fault)?;
        }
        Ok(())
    }
}

/// Error for a text that names no fault-matrix case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseFaultCaseError(String);

impl fmt::Display for ParseFaultCaseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} does not name a fault-matrix case: expected a path and point:fault pairs",
            self.0
        )
    }
}

impl std::error::Error for ParseFaultCaseError {}

impl FromStr for FaultCase {
    type Err = ParseFaultCaseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseFaultCaseError(text.to_string());
        let mut words = text.split_whitespace();
        let path = words.next().and_then(|word| word.parse().ok());
        let mut injections = Vec::new();
        for word in words {
            let (point, fault) = word.split_once(':').ok_or_else(error)?;
            injections.push(Injection {
                point: point.parse().map_err(|_| error())?,
                fault: fault.parse().map_err(|_| error())?,
            });
        }
        Ok(Self {
            path: path.ok_or_else(error)?,
            injections,
        })
    }
}

/// Result of a fault-matrix case.
#[derive(Clone, Debug)]
pub struct CaseReport {
    /// Number of injected faults; lower than planned if an injection point was not reached.
    pub injected_count: usize,
    /// How the request ended for its caller.
    pub ending: String,
    /// All violations, one text each; empty if the case passed.
    pub findings: Vec<String>,
    /// Promises that the record breaks, such as `P1`.
    pub broken: BTreeSet<String>,
    /// Text form of the record.
    pub record: String,
}

/// Faults that can be injected into a path at an injection point.
fn injections_of(path: PathKind, point: InjectionPoint) -> impl Iterator<Item = Injection> {
    let faults = Fault::iter().filter(move |fault| fault.applies_to(path));
    faults.map(move |fault| Injection { point, fault })
}

fn points_of(path: PathKind) -> impl Iterator<Item = InjectionPoint> {
    InjectionPoint::iter().filter(move |point| point.paths().contains(&path))
}

/// All cases with one fault.
pub fn singles() -> Vec<FaultCase> {
    let mut cases = Vec::new();
    for path in PathKind::iter() {
        for point in points_of(path) {
            let injections = injections_of(path, point);
            cases.extend(injections.map(|injection| FaultCase {
                path,
                injections: vec![injection],
            }));
        }
    }
    cases
}

/// All cases with two faults, the second one at the same or a later injection point.
pub fn pairs() -> Vec<FaultCase> {
    let mut cases = Vec::new();
    for first in singles() {
        let path = first.path;
        let point = first.injections[0].point;
        for later in points_of(path).filter(|later| *later >= point) {
            cases.extend(injections_of(path, later).map(|second| FaultCase {
                path,
                injections: vec![first.injections[0], second],
            }));
        }
    }
    cases
}

/// Combinations `path:fault` without a case, because the path has nothing that the fault affects.
pub fn not_applicable() -> Vec<String> {
    let mut names = Vec::new();
    for path in PathKind::iter() {
        let faults = Fault::iter().filter(|fault| !fault.applies_to(path));
        names.extend(faults.map(|fault| format!("{path}:{fault}")));
    }
    names
}

/// Settings of a case; a seed other than [`EXACT_SEED`] adds jitter and delays faults.
pub fn config_of(case: &FaultCase, seed: u64) -> SimulationConfig {
    let mut config = SimulationConfig {
        seed,
        ..SimulationConfig::default()
    };
    if seed != EXACT_SEED {
        config.jitter_us = JITTER;
        config.injection_delay_us = INJECTION_DELAY;
    }
    config.is_fenced = case.path.is_fenced();
    config.change = case.path.change();
    if config.change.is_some() {
        config.change_at = CHANGES_AFTER.map(|after| SENT_AT + after).to_vec();
        config.has_whole_outputs = true;
        config.decode_step_us = LOAD_DECODE_STEP;
    }
    if case.injections.iter().any(|i| i.point.needs_slow_service()) {
        config.service_run_us = SLOW_RUN;
    }
    config
}

/// Runs a case with a seed and checks the result.
pub fn run_case(case: &FaultCase, seed: u64, guard_hooks: Box<dyn GuardHooks>) -> CaseReport {
    let mut simulation = Simulation::new(config_of(case, seed), guard_hooks);
    let entry = simulation.entry_nodes()[0];
    let target = RequestSpec::new(TARGET_REQUEST, case.path, entry, PROMPT);
    simulation.set_plan(InjectionPlan::new(target.request, &case.injections));
    send_repeats(&mut simulation, &target);
    simulation.send_at(SENT_AT, target);
    send_background(&mut simulation);
    send_load_during_changes(&mut simulation);
    run_faults(&mut simulation);
    let mut findings = Vec::new();
    let settled_at = simulation.now() + SETTLE_TIME;
    simulation.run_until(settled_at);
    for unusable in simulation.unusable_servers() {
        findings.push(format!("server not usable after the faults: {unusable}"));
    }
    check_empty(&simulation, "after the faults", &mut findings);
    let final_request = RequestSpec::new(FINAL_REQUEST, case.path, entry, PROMPT);
    let final_id = final_request.request;
    simulation.send_at(settled_at, final_request);
    simulation.run_until(settled_at + FINAL_REQUEST_TIME);
    check_empty(&simulation, "after the final request", &mut findings);
    check_final_request(&simulation, final_id, &mut findings);
    check_graceful(&simulation, case, &mut findings);
    check_keys(&simulation, &mut findings);
    let found = verify(simulation.record(), simulation.now(), &bounds_of(case));
    findings.extend(found.iter().map(ToString::to_string));
    let broken = found
        .iter()
        .filter_map(|finding| finding.location.key.split(' ').next());
    CaseReport {
        broken: broken.map(ToString::to_string).collect(),
        injected_count: simulation.plan().injected_count(),
        ending: ending_of(&simulation),
        findings,
        record: simulation.record().to_string(),
    }
}

/// Bounds of the design. Those on engine memory exclude the time for which nothing can release it.
fn bounds_of(case: &FaultCase) -> Bounds {
    let mut bounds = Bounds::default();
    for injection in &case.injections {
        bounds.free_us += injection.fault.memory_blocked_us();
        bounds.cancel_us += injection.fault.cancel_blocked_us();
    }
    bounds
}

/// Sends background requests through all entries; their responses must not be mixed up with the
/// target's.
fn send_background(simulation: &mut Simulation) {
    let entries = simulation.entry_nodes();
    let count = BACKGROUND_TIME.get() / BACKGROUND_INTERVAL.get();
    for number in 0..count {
        let index = usize::try_from(number).unwrap_or(0);
        let entry = entries[(index + 1) % entries.len()];
        let at = SENT_AT + DurationUs(number * BACKGROUND_INTERVAL.get());
        let model = FIRST_BACKGROUND + 2 * number;
        simulation.send_at(at, RequestSpec::new(model, PathKind::Model, entry, PROMPT));
        let spec = RequestSpec::new(model + 1, PathKind::NonIdempotent, entry, PROMPT);
        simulation.send_at(at, spec);
    }
}

/// Lets the caller of a keyed call repeat it, both early and after every fault has ended.
fn send_repeats(simulation: &mut Simulation, target: &RequestSpec) {
    if target.key.is_none() {
        return;
    }
    let entries = simulation.entry_nodes();
    for (index, after) in REPEATS_AFTER.into_iter().enumerate() {
        let entry = entries[(index + 1) % entries.len()];
        let spec = target.repeat(FIRST_REPEAT + index as u64, entry, SENT_AT);
        simulation.send_at(SENT_AT + after, spec);
    }
}

/// Sends model calls that keep all engines busy while the lists change the assignment of one of
/// them.
fn send_load_during_changes(simulation: &mut Simulation) {
    if simulation.config().change.is_none() {
        return;
    }
    let entries = simulation.entry_nodes();
    let count = CHANGES_TIME.get() / LOAD_INTERVAL.get();
    for number in 0..count {
        let index = usize::try_from(number).unwrap_or(0);
        let entry = entries[index % entries.len()];
        let at = SENT_AT + DurationUs(number * LOAD_INTERVAL.get());
        let mut spec = RequestSpec::new(FIRST_LOAD + number, PathKind::Model, entry, PROMPT);
        spec.output_max_tokens = LOAD_OUTPUT;
        simulation.send_at(at, spec);
    }
}

fn run_faults(simulation: &mut Simulation) {
    simulation.run_until(SENT_AT + FAULTS_MIN);
    if simulation.config().change.is_some() {
        simulation.run_until(SENT_AT + CHANGES_TIME);
    }
    let until = SENT_AT + FAULTS_MAX;
    while simulation.now() < until && !is_finished(simulation) {
        simulation.run_until(simulation.now() + POLL_INTERVAL);
    }
}

fn is_finished(simulation: &Simulation) -> bool {
    let results = simulation.results().values();
    let are_ended = results.into_iter().all(|result| result.ending.is_some());
    are_ended && simulation.is_healed() && simulation.are_assignments_published()
}

fn check_empty(simulation: &Simulation, when: &str, findings: &mut Vec<String>) {
    let sequences_count = simulation.sequences_count();
    if sequences_count > 0 {
        findings.push(format!(
            "{sequences_count} sequences left in engine memory {when}"
        ));
    }
    let calls_count = simulation.calls_count();
    if calls_count > 0 {
        findings.push(format!("{calls_count} calls not ended at entries {when}"));
    }
}

/// Checks that requests with the same key get the same response, namely that of one of them.
fn check_keys(simulation: &Simulation, findings: &mut Vec<String>) {
    let answered = simulation.results().values();
    let answered = answered.filter(|result| result.ending == Some(Ending::Answered));
    let keyed: Vec<&CallerResult> = answered.filter(|r| r.spec.key.is_some()).collect();
    for result in &keyed {
        let same_key = |other: &&&CallerResult| other.spec.key == result.spec.key;
        let is_same = keyed
            .iter()
            .filter(same_key)
            .all(|other| other.text == result.text);
        let of_key = simulation.results().values();
        let mut of_key = of_key.filter(|other| other.spec.key == result.spec.key);
        let is_of_key = of_key.any(|other| response_to(other.spec.request).body == result.text);
        if !is_same || !is_of_key {
            let request = result.spec.request;
            findings.push(format!(
                "response to request {request} does not match the calls with the same key"
            ));
        }
    }
}

/// Checks that a graceful shutdown alone prevents no response. Only a call with a key may be
/// refused, because no other server may execute it.
fn check_graceful(simulation: &Simulation, case: &FaultCase, findings: &mut Vec<String>) {
    if !case
        .injections
        .iter()
        .all(|injection| injection.fault.is_graceful())
    {
        return;
    }
    let ending = ending_of(simulation);
    let is_refused = case.path == PathKind::Keyed && ending == "not_run";
    if ending != "answered" && !is_refused {
        findings.push(format!(
            "request ended with {ending} although all faults were graceful shutdowns"
        ));
    }
}

fn ending_of(simulation: &Simulation) -> String {
    let results = simulation.results();
    let target = results.get(&RequestId(u128::from(TARGET_REQUEST)));
    match target.and_then(|result| result.ending.as_ref()) {
        Some(Ending::Failed(outcome)) => outcome.to_string(),
        Some(Ending::Answered) => "answered".to_string(),
        Some(Ending::Gone) => "caller_gone".to_string(),
        Some(Ending::CutOff) => "cut_off".to_string(),
        None => "none".to_string(),
    }
}

fn check_final_request(simulation: &Simulation, request: RequestId, findings: &mut Vec<String>) {
    let result = &simulation.results()[&request];
    if result.ending != Some(Ending::Answered) {
        let ending = &result.ending;
        let error = &result.error;
        findings.push(format!("final request ended with {ending:?}: {error}"));
    }
}
