//! Orders against a simulated engine, and cases of role changes and fencing.

use std::fmt::Debug;
use std::str::FromStr;

use cuminlead_lists::{AssignedRole, EngineAssignment, ModelVersion};
use cuminlead_orders::{OrderReport, Orders, OrdersConfig, ResourcesInUse};
use cuminlead_protocol::{
    EngineCommand, EngineEvent, EngineInventory, EngineOrder, EngineRole, LoadedModel,
};
use cuminlead_types::{DurationUs, FencingNumber, Incarnation, TimeUs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yare::parameterized;

fn parse<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn at(ms: u64) -> TimeUs {
    TimeUs::ZERO + DurationUs::from_ms(ms)
}

fn assignment(role: AssignedRole, models: &[u8], adapters: &[u8]) -> EngineAssignment {
    let model = |number: &u8| ModelVersion {
        model: parse(&format!("model-{number}")),
        version: parse("v1"),
    };
    EngineAssignment {
        role,
        models: models.iter().map(model).collect(),
        adapters: adapters
            .iter()
            .map(|n| parse(&format!("adapter-{n}")))
            .collect(),
        fenced: true,
    }
}

fn sent(command: Option<EngineCommand>) -> Option<(FencingNumber, EngineOrder)> {
    match command? {
        EngineCommand::Order { fencing, order } => Some((fencing, order)),
        other => panic!("not an order: {other}"),
    }
}

fn orders(incarnation: u64) -> Orders {
    let mut orders = Orders::new(OrdersConfig::new(Incarnation(incarnation)));
    orders.set_assignment(at(0), Some(&assignment(AssignedRole::Decode, &[], &[])));
    orders.handle(at(0), &EngineEvent::Inventory(EngineInventory::default()));
    orders
}

/// Engine that carries out orders, and may ignore fencing numbers or lose orders.
#[derive(Default)]
struct Engine {
    state: EngineInventory,
    highest: FencingNumber,
    checks: bool,
}

impl Engine {
    fn take(&mut self, fencing: FencingNumber, order: EngineOrder) -> EngineEvent {
        let highest = self.highest;
        if self.checks && fencing <= highest {
            return EngineEvent::OrderFenced { fencing, highest };
        }
        self.highest = highest.max(fencing);
        let state = &mut self.state;
        match order {
            EngineOrder::LoadModel { model, version } => {
                state.models.push(LoadedModel { model, version })
            }
            EngineOrder::LoadAdapter { adapter } => state.adapters.push(adapter),
            EngineOrder::UnloadModel { model, .. } => state.models.retain(|m| m.model != model),
            EngineOrder::UnloadAdapter { adapter } => state.adapters.retain(|a| *a != adapter),
            EngineOrder::SetRole { role } => state.role = role,
        }
        EngineEvent::OrderDone { fencing }
    }

    fn sorted(&self) -> EngineInventory {
        let mut state = self.state.clone();
        state.models.sort();
        state.models.dedup();
        state.adapters.sort();
        state.adapters.dedup();
        state
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Done,
    Failed,
    Lost,
    DoneWithoutEffect,
    Unreachable,
    LateOldOrder,
}

/// Guards against an engine that never reaches the wanted state after lost, failed and late orders,
/// against two orders under way, and against fencing numbers that do not grow.
#[test]
fn engine_agrees_in_the_end() {
    let fate = prop_oneof![
        4 => Just(Fate::Done),
        1 => Just(Fate::Failed),
        1 => Just(Fate::Lost),
        1 => Just(Fate::DoneWithoutEffect),
        1 => Just(Fate::Unreachable),
        1 => Just(Fate::LateOldOrder),
    ];
    let models = proptest::collection::btree_set(0..4_u8, 0..4);
    let input = (
        proptest::collection::vec(fate, 0..12),
        models,
        any::<bool>(),
    );
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let run = |(fates, models, checks): (Vec<Fate>, std::collections::BTreeSet<u8>, bool)| {
        let models: Vec<_> = models.into_iter().collect();
        let wanted = assignment(AssignedRole::Decode, &models, &models);
        let mut orders = Orders::new(OrdersConfig::new(Incarnation(2)));
        orders.set_assignment(at(0), Some(&wanted));
        let mut engine = Engine {
            checks,
            ..Engine::default()
        };
        let mut fates = fates.into_iter();
        let mut last = FencingNumber::default();
        // Every 2 s an inventory and at most one order, for longer than all back-offs together.
        for now in (0..2_000).map(|step| at(step * 2_000)) {
            orders.expire(now);
            orders.handle(now, &EngineEvent::Inventory(engine.sorted()));
            let Some((fencing, order)) = sent(orders.next(now, &ResourcesInUse::default())) else {
                continue;
            };
            prop_assert!(fencing > last, "{fencing} after {last}");
            last = fencing;
            prop_assert_eq!(orders.next(now, &ResourcesInUse::default()), None);
            let event = match fates.next().unwrap_or(Fate::Done) {
                Fate::Done => engine.take(fencing, order),
                Fate::Failed => EngineEvent::OrderFailed { fencing },
                Fate::Lost => continue,
                Fate::DoneWithoutEffect => EngineEvent::OrderDone { fencing },
                Fate::Unreachable => EngineEvent::Unreachable,
                Fate::LateOldOrder => {
                    let old = FencingNumber {
                        incarnation: Incarnation(1),
                        order: 9,
                    };
                    let event = engine.take(fencing, order);
                    engine.take(
                        old,
                        EngineOrder::SetRole {
                            role: EngineRole::Prefill,
                        },
                    );
                    event
                }
            };
            orders.handle(now, &event);
        }
        prop_assert!(orders.is_settled(), "{orders:?}");
        prop_assert_eq!(engine.sorted().role, EngineRole::Decode);
        prop_assert_eq!(engine.sorted().models.len(), models.len());
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&input, run)
        .unwrap();
}

/// Guards against a role change that is hasty or that cuts off running requests.
#[parameterized(
    too_early = { 9_999, 0, false, false },
    in_time = { 10_000, 0, false, true },
    leases_held = { 10_000, 1, false, false },
    wanted_role_flapped = { 14_999, 0, true, false },
    settled_after_flap = { 15_000, 0, true, true },
)]
fn role_change(now_ms: u64, leases: u32, flaps: bool, is_sent: bool) {
    let mut orders = orders(1);
    if flaps {
        orders.set_assignment(
            at(4_000),
            Some(&assignment(AssignedRole::Prefill, &[], &[])),
        );
        orders.set_assignment(at(5_000), Some(&assignment(AssignedRole::Decode, &[], &[])));
    }
    let settled = now_ms >= if flaps { 15_000 } else { 10_000 };
    let draining = settled.then_some(EngineRole::Prefill);
    assert_eq!(orders.draining_role(at(now_ms)), draining);
    let held = ResourcesInUse {
        role_leases_held: leases,
        ..ResourcesInUse::default()
    };
    let order = sent(orders.next(at(now_ms), &held));
    assert_eq!(order.is_some(), is_sent, "{order:?}");
}

/// Guards against unloading what a running request uses.
#[test]
fn used_model_stays() {
    let mut orders = orders(1);
    let model = LoadedModel {
        model: parse("old"),
        version: parse("v1"),
    };
    let state = EngineInventory {
        models: vec![model.clone()],
        ..EngineInventory::default()
    };
    orders.handle(at(0), &EngineEvent::Inventory(state));
    let held = ResourcesInUse {
        models: vec![model],
        ..ResourcesInUse::default()
    };
    assert_eq!(orders.next(at(0), &held), None);
    let order = sent(orders.next(at(0), &ResourcesInUse::default()));
    assert!(
        matches!(order, Some((_, EngineOrder::UnloadModel { .. }))),
        "{order:?}"
    );
}

/// Guards against an agent that goes on ordering after a later one took over, and against one that
/// stops because its own orders arrived out of turn.
#[parameterized(
    later_agent = { 8, 1, true },
    own_number = { 7, 1, false },
    number_never_given = { 7, 99, true },
    earlier_agent = { 6, 99, false },
)]
fn fenced_answer(incarnation: u64, order: u64, stops: bool) {
    let mut orders = orders(7);
    let (fencing, _) = sent(orders.next(at(10_000), &ResourcesInUse::default())).unwrap();
    let highest = FencingNumber {
        incarnation: Incarnation(incarnation),
        order,
    };
    let report = orders.handle(at(10_000), &EngineEvent::OrderFenced { fencing, highest });
    assert_eq!(
        report == Some(OrderReport::FencedOut { highest }),
        stops,
        "{report:?}"
    );
    assert_eq!(orders.fenced_by().is_some(), stops);
    assert_eq!(
        orders
            .next(at(500_000), &ResourcesInUse::default())
            .is_none(),
        stops
    );
    let again = orders.handle(at(500_000), &EngineEvent::OrderFenced { fencing, highest });
    assert_eq!(again, None, "a takeover is reported once");
}

/// Guards against repeating a load before an inventory could show its effect, and against orders
/// that build on the state of an engine that has since restarted.
#[parameterized(done = { true }, unreachable = { false })]
fn next_order_waits_for_an_inventory(is_done: bool) {
    let mut orders = orders(1);
    orders.set_assignment(at(0), Some(&assignment(AssignedRole::Prefill, &[1], &[])));
    let (fencing, order) = sent(orders.next(at(0), &ResourcesInUse::default())).unwrap();
    let failed = Some(OrderReport::Failed { order, failures: 1 });
    let answer = match is_done {
        true => EngineEvent::OrderDone { fencing },
        false => EngineEvent::Unreachable,
    };
    let at_answer = orders.handle(at(0), &answer);
    assert_eq!(orders.next(at(60_000), &ResourcesInUse::default()), None);
    let inventory = EngineEvent::Inventory(EngineInventory::default());
    let at_inventory = orders.handle(at(60_000), &inventory);
    assert_eq!(at_answer.or(at_inventory), failed);
    assert!(
        orders
            .next(at(70_000), &ResourcesInUse::default())
            .is_some()
    );
}

/// Guards against one failing model that holds back the others.
#[test]
fn failed_load_holds_back_nothing_else() {
    let mut orders = orders(1);
    orders.set_assignment(
        at(0),
        Some(&assignment(AssignedRole::Prefill, &[1, 2], &[])),
    );
    let (fencing, failing) = sent(orders.next(at(0), &ResourcesInUse::default())).unwrap();
    orders.handle(at(0), &EngineEvent::OrderFailed { fencing });
    let (_, other) = sent(orders.next(at(0), &ResourcesInUse::default())).unwrap();
    assert_ne!(failing, other);
}

/// Guards against a weight store that is asked again at once, and against a waiting time that does
/// not grow or has no bound.
#[test]
fn failed_load_waits() {
    let mut orders = orders(1);
    orders.set_assignment(at(0), Some(&assignment(AssignedRole::Prefill, &[1], &[])));
    let (mut now, mut waits) = (at(0), Vec::new());
    for _ in 0..9 {
        let (fencing, _) = sent(orders.next(now, &ResourcesInUse::default())).unwrap();
        orders.handle(now, &EngineEvent::OrderFailed { fencing });
        let due = orders.next_deadline(now).unwrap();
        assert_eq!(
            orders.next(due - DurationUs(1), &ResourcesInUse::default()),
            None
        );
        waits.push(due.since(now).as_ms());
        now = due;
    }
    let bounds = [
        3_000, 6_000, 12_000, 24_000, 48_000, 96_000, 96_000, 96_000, 96_000,
    ];
    for (wait, bound) in waits.iter().zip(bounds) {
        assert!((bound..bound + bound / 2).contains(wait), "{waits:?}");
    }
}
