//! First-hand evidence of an entry about a server whose calls make no progress.

use cuminlead_matrix::guard_hooks::NoGuardHooks;
use cuminlead_matrix::{Ending, PathKind, RequestSpec, Simulation, SimulationConfig, TimedFault};
use cuminlead_types::{BackendServerId, DurationUs, RequestId, TimeUs, Tokens};

const START: TimeUs = TimeUs(10_000_000);
const INTERVAL: DurationUs = DurationUs::from_ms(100);
/// Longer than all requests of the test.
const HANG: DurationUs = DurationUs::from_ms(30_000);

fn sent_at(number: u64) -> TimeUs {
    START + DurationUs(INTERVAL.get() * number)
}

/// Guards against new calls for a server that hangs behind an open connection: no reply of its agent
/// can report the stall. The entry prefers others 3 s after its oldest call began to wait, before the
/// call times out (10 s) and failures lead to a back-off, and uses the server again afterwards.
#[test]
fn hanging_server_is_not_chosen_while_another_exists() {
    let config = SimulationConfig {
        entries_count: 1,
        // The other server always has open calls too, so the number of them does not tell.
        service_run_us: DurationUs::from_ms(2_000),
        ..SimulationConfig::default()
    };
    let limit = config.call.run_timeout_us;
    let mut world = Simulation::new(config, Box::new(NoGuardHooks));
    let entry = world.entry_nodes()[0];
    let hung: BackendServerId = "counter-0".parse().expect("valid name");
    let node = world.host_of(&hung).expect("the layout has the server");
    world.inject_at(START, TimedFault::EngineHangs(node, HANG));
    for number in 1..=90 {
        let spec = RequestSpec::new(number, PathKind::Idempotent, entry, Tokens::ZERO);
        world.send_at(sent_at(number), spec);
    }
    let mut chosen = Vec::new();
    for number in 1..=90 {
        world.run_until(sent_at(number) + DurationUs::from_ms(50));
        let is_hung = world
            .servers_of(RequestId(u128::from(number)))
            .contains(&hung);
        chosen.extend(is_hung.then_some(number));
    }
    assert!(chosen.iter().any(|number| *number < 30), "{chosen:?}");
    let first = sent_at(chosen[0]) + DurationUs::from_ms(3_100);
    let late = chosen.iter().filter(|number| sent_at(**number) > first);
    assert_eq!(late.count(), 0, "{chosen:?}");
    assert!(sent_at(90) < sent_at(chosen[0]) + limit);
    world.run_until(START + HANG + HANG);
    let later = RequestSpec::new(200, PathKind::Idempotent, entry, Tokens::ZERO);
    world.send_at(world.now(), later);
    world.run_until(world.now() + HANG);
    let result = &world.results()[&RequestId(200)];
    assert_eq!(result.ending, Some(Ending::Answered));
    assert!(world.unusable_servers().is_empty());
}
