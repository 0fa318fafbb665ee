//! One undisturbed run of each path through the driver.

use cuminlead_matrix::cell::{Cell, EXACT_SEED, run_cell};
use cuminlead_matrix::guard_hooks::NoGuardHooks;
use cuminlead_matrix::{Ending, NodeId, PathKind, RequestSpec, Simulation, SimulationConfig};
use cuminlead_types::{RequestId, TimeUs, Tokens};
use cuminlead_verifier::{Bounds, verify};
use yare::parameterized;

/// Later than the start by more than the 5 s after which a key is known to be new.
const SENT_AT: TimeUs = TimeUs(55_000_000);
const END: TimeUs = TimeUs(80_000_000);

fn world(config: SimulationConfig) -> Simulation {
    Simulation::new(config, Box::new(NoGuardHooks))
}

fn first_entry(world: &Simulation) -> NodeId {
    world.entry_nodes()[0]
}

/// Guards against a driver in which a path does not work at all, so that no fault can be injected.
#[parameterized(
    model = { PathKind::Model },
    idempotent = { PathKind::Idempotent },
    non_idempotent = { PathKind::NonIdempotent },
    keyed = { PathKind::Keyed },
)]
fn answers(path: PathKind) {
    let mut world = world(SimulationConfig::default());
    let entry = first_entry(&world);
    world.send_at(SENT_AT, RequestSpec::new(1, path, entry, Tokens(2_000)));
    world.run_until(END);
    let result = &world.results()[&RequestId(1)];
    assert_eq!(result.ending, Some(Ending::Answered), "{}", result.error);
    assert_eq!(world.sequences_count(), 0);
    let findings = verify(world.record(), END, &Bounds::default());
    assert!(findings.is_empty(), "{findings}{}", world.record());
}

/// Guards against a change of the lists that disturbs requests without any fault.
#[parameterized(
    role = { PathKind::RoleChange },
    role_unfenced = { PathKind::RoleChangeUnfenced },
    models = { PathKind::ModelChange },
    models_unfenced = { PathKind::ModelChangeUnfenced },
)]
fn changed_duty_disturbs_no_request(path: PathKind) {
    let cell = Cell {
        path,
        injections: Vec::new(),
    };
    let report = run_cell(&cell, EXACT_SEED, Box::new(NoGuardHooks));
    assert_eq!(report.findings, Vec::<String>::new());
    let count = |text: &str| report.record.matches(text).count();
    assert_eq!(count("request_failed"), 0);
    assert_eq!(count("sequence_cut_off"), 0);
    assert!(count("order_carried_out") > 3, "{}", report.record);
}

/// Guards against runs that differ with the same seed, which could not be repeated.
#[test]
fn same_seed_gives_the_same_record() {
    let run = || {
        let mut world = world(SimulationConfig::default());
        let entry = first_entry(&world);
        for number in 1..50 {
            let at = SENT_AT + cuminlead_types::DurationUs::from_ms(number * 7);
            let spec = RequestSpec::new(number, PathKind::Model, entry, Tokens(500));
            world.send_at(at, spec);
        }
        world.run_until(END);
        world.record().to_string()
    };
    assert_eq!(run(), run());
}
