//! Budget of callers' connections, on virtual time.

use cuminlead_direct_core::connection_budget::{
    Activity, ConnectionBudget, ConnectionId, ConnectionLimits, NoRoom,
};
use cuminlead_types::{Bytes, DurationUs, TimeUs};

fn limits() -> ConnectionLimits {
    ConnectionLimits {
        connections_max_count: 10,
        requests_max_count: 3,
        memory_max: Bytes(1_000),
        bodies_max: Bytes(100),
        share_max: Bytes(500),
        connection_bytes: Bytes(10),
        stalled_after: DurationUs::from_ms(1_000),
        rate_grace: DurationUs::from_ms(15_000),
        min_bytes_per_s: 1_000,
        response_max: DurationUs::from_ms(60_000),
    }
}

fn at(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

fn open(budget: &mut ConnectionBudget, ms: u64) -> ConnectionId {
    let mut closed = Vec::new();
    let id = budget.open(at(ms), &mut closed).expect("room");
    assert!(closed.is_empty());
    id
}

/// Guards against bodies that exceed their memory together, and against memory that stays in use
/// after its requests have ended.
#[test]
fn bodies_stay_within_their_memory_together() {
    let mut budget = ConnectionBudget::new(limits());
    let [first, second, third] = [0; 3].map(|ms| open(&mut budget, ms));
    let mut closed = Vec::new();
    for id in [first, second] {
        assert_eq!(budget.set_activity(at(0), id, Activity::Serving), Ok(()));
    }
    let mut set = |budget: &mut ConnectionBudget, id, size| {
        budget.set_body(at(0), id, Bytes(size), &mut closed)
    };
    assert_eq!(set(&mut budget, first, 40), Ok(()));
    assert_eq!(set(&mut budget, second, 60), Ok(()));
    assert_eq!(set(&mut budget, first, 41), Err(NoRoom));
    assert_eq!(budget.used_by_bodies(), Bytes(100));
    assert_eq!(set(&mut budget, third, 1), Err(NoRoom));
    budget.close(second);
    assert_eq!(set(&mut budget, first, 100), Ok(()));
    assert_eq!(set(&mut budget, third, 1), Err(NoRoom));
    budget.close(first);
    budget.close(third);
    assert_eq!(
        (budget.used(), budget.used_by_bodies()),
        (Bytes(0), Bytes(0))
    );
    assert!(closed.is_empty());
}

/// Guards against a process that closes connections in another order than the stated one, or one
/// whose request is at a server.
#[test]
fn stalled_connections_are_closed_before_idle_ones() {
    let mut budget = ConnectionBudget::new(limits());
    let ids: Vec<_> = (0..10).map(|ms| open(&mut budget, ms)).collect();
    for id in &ids[..3] {
        assert_eq!(budget.set_activity(at(100), *id, Activity::Serving), Ok(()));
    }
    let refused = budget.set_activity(at(100), ids[3], Activity::Serving);
    assert_eq!(refused, Err(NoRoom), "too many requests are served");
    let receiving = budget.set_activity(at(100), ids[8], Activity::ReceivingHead);
    assert_eq!(receiving, Ok(()));
    let mut closed = Vec::new();
    for _ in 0..7 {
        let id = budget.open(at(2_000), &mut closed).expect("room");
        let receiving = budget.set_activity(at(2_000), id, Activity::ReceivingHead);
        assert_eq!(receiving, Ok(()));
    }
    let order = [8, 3, 4, 5, 6, 7, 9].map(|number: usize| ids[number]);
    assert_eq!(closed, order);
    // Heads that have just begun are not closed for a further connection.
    assert_eq!(budget.open(at(2_500), &mut closed), Err(NoRoom));
}

/// Guards against one connection that uses the memory of all, and against connections that are
/// closed in vain.
#[test]
fn no_connection_exceeds_its_share() {
    let mut budget = ConnectionBudget::new(limits());
    let [idle, large] = [0; 2].map(|ms| open(&mut budget, ms));
    let mut closed = Vec::new();
    let refused = budget.set_buffers(at(0), large, Bytes(501), &mut closed);
    assert_eq!(refused, Err(NoRoom));
    let set = budget.set_buffers(at(0), large, Bytes(500), &mut closed);
    assert_eq!((set, closed.len()), (Ok(()), 0));
    let refused = budget.set_buffers(at(0), idle, Bytes(500), &mut closed);
    assert_eq!(
        (refused, closed.len()),
        (Ok(()), 1),
        "the idle connection makes room"
    );
}

/// Guards against callers that keep a connection by sending or reading very little, and against
/// ending those that are fast enough or wait for a server.
#[test]
fn callers_below_the_minimum_rate_are_overdue() {
    let mut budget = ConnectionBudget::new(limits());
    let ids: Vec<_> = (0..4).map(|_| open(&mut budget, 0)).collect();
    let activities = [
        Activity::ReceivingBody,
        Activity::ReceivingBody,
        Activity::Sending,
        Activity::Serving,
    ];
    for (id, activity) in ids.iter().zip(activities) {
        assert_eq!(budget.set_activity(at(0), *id, activity), Ok(()));
    }
    budget.record_progress(at(14_000), ids[1], Bytes(70_000));
    budget.record_progress(at(14_000), ids[2], Bytes(10_000));
    assert!(budget.remove_overdue(at(14_999)).is_empty());
    assert_eq!(budget.remove_overdue(at(15_000)), [ids[0], ids[2]]);
    assert!(budget.remove_overdue(at(60_000)).is_empty());
    assert_eq!(budget.remove_overdue(at(70_001)), [ids[1]]);
}
