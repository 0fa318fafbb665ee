//! Reconciliation of a simulated engine, and cases of role changes, fencing and retries.

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

fn sent_order(command: Option<EngineCommand>) -> Option<(FencingNumber, EngineOrder)> {
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

/// Simulated engine that executes orders; `checks_fencing` tells whether it checks fencing numbers.
#[derive(Default)]
struct Engine {
    state: EngineInventory,
    highest: FencingNumber,
    checks_fencing: bool,
}

impl Engine {
    fn execute(&mut self, fencing: FencingNumber, order: EngineOrder) -> EngineEvent {
        let highest = self.highest;
        if self.checks_fencing && fencing <= highest {
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

    fn inventory(&self) -> EngineInventory {
        let mut state = self.state.clone();
        state.models.sort();
        state.models.dedup();
        state.adapters.sort();
        state.adapters.dedup();
        state
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum OrderResult {
    Done,
    Failed,
    Lost,
    DoneWithoutEffect,
    Unreachable,
    LateEarlierOrder,
}

/// Guards against an engine that never reaches its assignment after lost, failed and late orders,
/// against two orders in flight, and against fencing numbers that do not increase.
#[test]
fn engine_reaches_its_assignment() {
    let result = prop_oneof![
        4 => Just(OrderResult::Done),
        1 => Just(OrderResult::Failed),
        1 => Just(OrderResult::Lost),
        1 => Just(OrderResult::DoneWithoutEffect),
        1 => Just(OrderResult::Unreachable),
        1 => Just(OrderResult::LateEarlierOrder),
    ];
    let models = proptest::collection::btree_set(0..4_u8, 0..4);
    let input = (
        proptest::collection::vec(result, 0..12),
        models,
        any::<bool>(),
    );
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let run = |(results, models, checks_fencing): (
        Vec<OrderResult>,
        std::collections::BTreeSet<u8>,
        bool,
    )| {
        let models: Vec<_> = models.into_iter().collect();
        let assigned = assignment(AssignedRole::Decode, &models, &models);
        let mut orders = Orders::new(OrdersConfig::new(Incarnation(2)));
        orders.set_assignment(at(0), Some(&assigned));
        let mut engine = Engine {
            checks_fencing,
            ..Engine::default()
        };
        let mut results = results.into_iter();
        let mut last = FencingNumber::default();
        // An inventory and at most one order every 2 s, for longer than all retry delays together.
        for now in (0..2_000).map(|step| at(step * 2_000)) {
            orders.expire(now);
            orders.handle(now, &EngineEvent::Inventory(engine.inventory()));
            let Some((fencing, order)) =
                sent_order(orders.next_order(now, &ResourcesInUse::default()))
            else {
                continue;
            };
            prop_assert!(fencing > last, "{fencing} after {last}");
            last = fencing;
            prop_assert_eq!(orders.next_order(now, &ResourcesInUse::default()), None);
            let event = match results.next().unwrap_or(OrderResult::Done) {
                OrderResult::Done => engine.execute(fencing, order),
                OrderResult::Failed => EngineEvent::OrderFailed { fencing },
                OrderResult::Lost => continue,
                OrderResult::DoneWithoutEffect => EngineEvent::OrderDone { fencing },
                OrderResult::Unreachable => EngineEvent::Unreachable,
                OrderResult::LateEarlierOrder => {
                    let earlier = FencingNumber {
                        incarnation: Incarnation(1),
                        order: 9,
                    };
                    let event = engine.execute(fencing, order);
                    engine.execute(
                        earlier,
                        EngineOrder::SetRole {
                            role: EngineRole::Prefill,
                        },
                    );
                    event
                }
            };
            orders.handle(now, &event);
        }
        prop_assert!(orders.is_reconciled(), "{orders:?}");
        prop_assert_eq!(engine.inventory().role, EngineRole::Decode);
        prop_assert_eq!(engine.inventory().models.len(), models.len());
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&input, run)
        .unwrap();
}

/// Guards against a role change before the assigned role is stable, and against one that interrupts
/// running requests.
#[parameterized(
    too_early = { 9_999, 0, false, false },
    in_time = { 10_000, 0, false, true },
    leases_held = { 10_000, 1, false, false },
    assigned_role_flapped = { 14_999, 0, true, false },
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
    let in_use = ResourcesInUse {
        role_lease_count: leases,
        ..ResourcesInUse::default()
    };
    let order = sent_order(orders.next_order(at(now_ms), &in_use));
    assert_eq!(order.is_some(), is_sent, "{order:?}");
}

/// Guards against unloading a model that a running request uses.
#[test]
fn model_in_use_is_not_unloaded() {
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
    let in_use = ResourcesInUse {
        models: vec![model],
        ..ResourcesInUse::default()
    };
    assert_eq!(orders.next_order(at(0), &in_use), None);
    let order = sent_order(orders.next_order(at(0), &ResourcesInUse::default()));
    assert!(
        matches!(order, Some((_, EngineOrder::UnloadModel { .. }))),
        "{order:?}"
    );
}

/// Guards against an agent that continues to send orders after a later one took over, and against
/// one that stops because its own orders arrived out of sequence.
#[parameterized(
    later_agent = { 8, 1, true },
    own_number = { 7, 1, false },
    number_never_given = { 7, 99, true },
    earlier_agent = { 6, 99, false },
)]
fn rejected_order(incarnation: u64, order: u64, stops: bool) {
    let mut orders = orders(7);
    let (fencing, _) =
        sent_order(orders.next_order(at(10_000), &ResourcesInUse::default())).unwrap();
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
            .next_order(at(500_000), &ResourcesInUse::default())
            .is_none(),
        stops
    );
    let again = orders.handle(at(500_000), &EngineEvent::OrderFenced { fencing, highest });
    assert_eq!(again, None, "takeover reported twice");
}

/// Guards against repeating a load before an inventory could show its effect, and against orders
/// that are based on the inventory of an engine that may have restarted since.
#[parameterized(done = { true }, unreachable = { false })]
fn next_order_waits_for_an_inventory(is_done: bool) {
    let mut orders = orders(1);
    orders.set_assignment(at(0), Some(&assignment(AssignedRole::Prefill, &[1], &[])));
    let (fencing, order) =
        sent_order(orders.next_order(at(0), &ResourcesInUse::default())).unwrap();
    let failed = Some(OrderReport::Failed { order, failures: 1 });
    let answer = match is_done {
        true => EngineEvent::OrderDone { fencing },
        false => EngineEvent::Unreachable,
    };
    let at_answer = orders.handle(at(0), &answer);
    assert_eq!(
        orders.next_order(at(60_000), &ResourcesInUse::default()),
        None
    );
    let inventory = EngineEvent::Inventory(EngineInventory::default());
    let at_inventory = orders.handle(at(60_000), &inventory);
    assert_eq!(at_answer.or(at_inventory), failed);
    assert!(
        orders
            .next_order(at(70_000), &ResourcesInUse::default())
            .is_some()
    );
}

/// Guards against a model that cannot be loaded and delays the loads of others.
#[test]
fn failed_load_does_not_delay_other_loads() {
    let mut orders = orders(1);
    orders.set_assignment(
        at(0),
        Some(&assignment(AssignedRole::Prefill, &[1, 2], &[])),
    );
    let (fencing, failing) =
        sent_order(orders.next_order(at(0), &ResourcesInUse::default())).unwrap();
    orders.handle(at(0), &EngineEvent::OrderFailed { fencing });
    let (_, other) = sent_order(orders.next_order(at(0), &ResourcesInUse::default())).unwrap();
    assert_ne!(failing, other);
}

/// Guards against requesting a failed load from the weight store again immediately, and against a
/// retry delay that does not grow or has no bound.
#[test]
fn failed_load_is_retried_with_growing_delay() {
    let mut orders = orders(1);
    orders.set_assignment(at(0), Some(&assignment(AssignedRole::Prefill, &[1], &[])));
    let (mut now, mut waits) = (at(0), Vec::new());
    for _ in 0..9 {
        let (fencing, _) = sent_order(orders.next_order(now, &ResourcesInUse::default())).unwrap();
        orders.handle(now, &EngineEvent::OrderFailed { fencing });
        let due = orders.next_deadline(now).unwrap();
        assert_eq!(
            orders.next_order(due - DurationUs(1), &ResourcesInUse::default()),
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
