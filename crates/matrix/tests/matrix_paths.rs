//! One run of each path through the simulation without faults.

use cuminlead_matrix::fault_case::{EXACT_SEED, FaultCase, run_case};
use cuminlead_matrix::guard_hooks::NoGuardHooks;
use cuminlead_matrix::{Ending, NodeId, PathKind, RequestSpec, Simulation, SimulationConfig};
use cuminlead_types::{RequestId, TimeUs, Tokens};
use cuminlead_verifier::{Bounds, verify};
use yare::parameterized;

/// Start of the requests. Agents trust a key as new only 50 s after their start: the key staleness
/// (45 s) plus the clock margin (5 s).
const SENT_AT: TimeUs = TimeUs(55_000_000);
const END: TimeUs = TimeUs(80_000_000);

fn simulation(config: SimulationConfig) -> Simulation {
    Simulation::new(config, Box::new(NoGuardHooks))
}

fn first_entry(simulation: &Simulation) -> NodeId {
    simulation.entry_nodes()[0]
}

/// Guards against a simulation in which a path does not work without faults, so that no fault can
/// be injected into it.
#[parameterized(
    model = { PathKind::Model },
    idempotent = { PathKind::Idempotent },
    non_idempotent = { PathKind::NonIdempotent },
    keyed = { PathKind::Keyed },
)]
fn answers(path: PathKind) {
    let mut simulation = simulation(SimulationConfig::default());
    let entry = first_entry(&simulation);
    simulation.send_at(SENT_AT, RequestSpec::new(1, path, entry, Tokens(2_000)));
    simulation.run_until(END);
    let result = &simulation.results()[&RequestId(1)];
    assert_eq!(result.ending, Some(Ending::Answered), "{}", result.error);
    assert_eq!(simulation.sequences_count(), 0);
    let findings = verify(simulation.record(), END, &Bounds::default());
    assert!(findings.is_empty(), "{findings}{}", simulation.record());
}

/// Guards against a change of the lists that makes requests fail or cuts sequences off without any
/// fault.
#[parameterized(
    role = { PathKind::RoleChange },
    role_unfenced = { PathKind::RoleChangeUnfenced },
    models = { PathKind::ModelChange },
    models_unfenced = { PathKind::ModelChangeUnfenced },
)]
fn changed_duty_disturbs_no_request(path: PathKind) {
    let case = FaultCase {
        path,
        injections: Vec::new(),
    };
    let report = run_case(&case, EXACT_SEED, Box::new(NoGuardHooks));
    assert_eq!(report.findings, Vec::<String>::new());
    let count = |text: &str| report.record.matches(text).count();
    assert_eq!(count("request_failed"), 0);
    assert_eq!(count("sequence_cut_off"), 0);
    assert!(count("order_carried_out") > 3, "{}", report.record);
}

/// Guards against runs that differ although their seed is the same, and so cannot be repeated.
#[test]
fn same_seed_gives_the_same_record() {
    let run = || {
        let mut simulation = simulation(SimulationConfig::default());
        let entry = first_entry(&simulation);
        for number in 1..50 {
            let at = SENT_AT + cuminlead_types::DurationUs::from_ms(number * 7);
            let spec = RequestSpec::new(number, PathKind::Model, entry, Tokens(500));
            simulation.send_at(at, spec);
        }
        simulation.run_until(END);
        simulation.record().to_string()
    };
    assert_eq!(run(), run());
}
