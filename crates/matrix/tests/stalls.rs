//! Stall detection of an entry: its own calls to a server make no progress.

use cuminlead_matrix::guard_hooks::NoGuardHooks;
use cuminlead_matrix::{Ending, PathKind, RequestSpec, Simulation, SimulationConfig, TimedFault};
use cuminlead_types::{BackendServerId, DurationUs, RequestId, TimeUs, Tokens};

const START: TimeUs = TimeUs(10_000_000);
const INTERVAL: DurationUs = DurationUs::from_ms(100);
/// Longer than all requests of the test run.
const HANG: DurationUs = DurationUs::from_ms(30_000);

fn sent_at(number: u64) -> TimeUs {
    START + DurationUs(INTERVAL.get() * number)
}

/// Guards against new calls to a server that hangs behind an open connection, so that no reply of
/// its agent can report the stall. The entry must prefer other servers 3 s after its oldest call
/// began to wait, which is before the call times out (10 s) and failures lead to a back-off. It
/// must use the server again once it works.
#[test]
fn hanging_server_is_not_chosen_while_another_exists() {
    let config = SimulationConfig {
        entries_count: 1,
        // The other server always has open calls too, so that their number gives no hint.
        service_run_us: DurationUs::from_ms(2_000),
        ..SimulationConfig::default()
    };
    let limit = config.call.run_timeout_us;
    let mut simulation = Simulation::new(config, Box::new(NoGuardHooks));
    let entry = simulation.entry_nodes()[0];
    let hung: BackendServerId = "counter-0".parse().expect("valid name");
    let node = simulation
        .host_of(&hung)
        .expect("the layout has the server");
    simulation.inject_at(START, TimedFault::EngineHangs(node, HANG));
    for number in 1..=90 {
        let spec = RequestSpec::new(number, PathKind::Idempotent, entry, Tokens::ZERO);
        simulation.send_at(sent_at(number), spec);
    }
    let mut chosen = Vec::new();
    for number in 1..=90 {
        simulation.run_until(sent_at(number) + DurationUs::from_ms(50));
        let is_hung = simulation
            .servers_of(RequestId(u128::from(number)))
            .contains(&hung);
        chosen.extend(is_hung.then_some(number));
    }
    assert!(chosen.iter().any(|number| *number < 30), "{chosen:?}");
    let first = sent_at(chosen[0]) + DurationUs::from_ms(3_100);
    let late = chosen.iter().filter(|number| sent_at(**number) > first);
    assert_eq!(late.count(), 0, "{chosen:?}");
    assert!(sent_at(90) < sent_at(chosen[0]) + limit);
    simulation.run_until(START + HANG + HANG);
    let later = RequestSpec::new(200, PathKind::Idempotent, entry, Tokens::ZERO);
    simulation.send_at(simulation.now(), later);
    simulation.run_until(simulation.now() + HANG);
    let result = &simulation.results()[&RequestId(200)];
    assert_eq!(result.ending, Some(Ending::Answered));
    assert!(simulation.unusable_servers().is_empty());
}
