//! KV caches whose prefill server changes before they are used.

mod support;

use cuminlead_direct_core::{
    Action, CacheRef, Call, RegistryUpdate, RequestKind, Reservation, ServerKey, ServerState,
    ServingState, Stage,
};
use cuminlead_types::{DurationUs, UnixMs};
use support::{id, key, model_spec, ms, publish, record, serving};

struct Case {
    name: &'static str,
    change: fn(&mut ServingState),
    is_used: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "unchanged",
        change: |_| {},
        is_used: true,
    },
    Case {
        name: "draining",
        change: |serving| {
            let mut draining = record("p1", "notes", "a1", Some(Stage::Prefill));
            draining.state = ServerState::Draining;
            serving.apply(ms(101), RegistryUpdate::Server(draining));
        },
        is_used: true,
    },
    Case {
        name: "entry removed",
        change: |serving| {
            let id = "p1".parse().expect("a valid fixture");
            let retention = DurationUs::from_ms(1_400);
            serving.servers.remove(ms(100), retention, &id);
        },
        is_used: true,
    },
    Case {
        name: "restarted under its id",
        change: |serving| {
            let mut restarted = record("p1", "notes", "a1", Some(Stage::Prefill));
            restarted.started_at_ms = UnixMs(90);
            serving.apply(ms(101), RegistryUpdate::Server(restarted));
        },
        is_used: false,
    },
    Case {
        name: "another server at its address",
        change: |serving| {
            let mut follower = record("p9", "notes", "a1", Some(Stage::Prefill));
            follower.address = record("p1", "notes", "a1", None).address;
            follower.started_at_ms = UnixMs(90);
            serving.apply(ms(101), RegistryUpdate::Server(follower));
        },
        is_used: false,
    },
];

/// Decode server and prefill server of a call that has reserved its slot.
fn prepare(serving: &mut ServingState, call: &mut Call) -> (ServerKey, ServerKey) {
    let Action::Reserve { server: decode, .. } = call.next(ms(0), serving) else {
        panic!("a reservation comes first");
    };
    call.reserved(decode, Reservation::Agent, true);
    let Action::Prefill {
        server: prefill, ..
    } = call.next(ms(1), serving)
    else {
        panic!("a prefill follows the reservation");
    };
    (decode, prefill)
}

/// Guards against a run that names a KV cache of an incarnation that has ended: the server that
/// follows it may give the same name to the cache of another request.
#[test]
fn cache_of_an_ended_incarnation_is_not_used() {
    for case in CASES {
        let mut serving = serving();
        publish(&mut serving, &["p1 notes a1 prefill", "d1 notes a1 decode"]);
        let kind = RequestKind::Stream { resumable: false };
        let mut call = Call::new(model_spec(kind, 1));
        let (decode, prefill) = prepare(&mut serving, &mut call);
        assert_eq!(prefill, key(&serving, "p1"), "{}", case.name);
        let cache = CacheRef {
            server: prefill,
            region: Some("a".parse().expect("a valid fixture")),
            handle: "h1".to_string(),
        };
        call.prefill_done(ms(100), &mut serving, cache);
        (case.change)(&mut serving);
        let Action::Run { server, cache, .. } = call.next(ms(102), &mut serving) else {
            panic!("{}: the run follows the prefill", case.name);
        };
        assert_eq!(id(&serving, server), id(&serving, decode), "{}", case.name);
        assert_eq!(cache.is_some(), case.is_used, "{}", case.name);
    }
}
