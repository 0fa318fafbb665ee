//! Servers that are published at one address.

mod support;

use cuminlead_direct_core::{
    Action, Call, RegistryUpdate, RequestKind, Reservation, ServerKey, ServerRecord, ServerState,
    ServingState, Stage, StepOutcome,
};
use cuminlead_types::{DurationUs, TimeUs, UnixMs};
use support::{ENGINES, PLAIN, model_spec, ms, plain_spec, publish, record, serving};

/// Time after which a record of a server that has ended has expired.
const EXPIRY_MS: u64 = 5_000;

/// Record of a server of another id at the address of `s1`, which started at 1.
fn at_address_of_s1(id: &str, service: &str, started_at_ms: u64) -> ServerRecord {
    let mut other = record(id, service, "a1", None);
    other.address = record("s1", PLAIN, "a1", None).address;
    other.started_at_ms = UnixMs(started_at_ms);
    other
}

fn apply(serving: &mut ServingState, now: TimeUs, record: ServerRecord) {
    serving.apply(now, RegistryUpdate::Server(record));
}

fn withdraw(serving: &mut ServingState, now: TimeUs, id: &str) {
    let id = id.parse().expect("a valid fixture");
    serving.apply(now, RegistryUpdate::ServerRemoved(id));
}

/// Runs a plain request that gets the given result; returns the server that it was sent to.
fn run(serving: &mut ServingState, now: TimeUs, result: Result<(), StepOutcome>) -> Option<String> {
    let mut spec = plain_spec(RequestKind::NonIdempotent, 1);
    spec.arrived_at = now;
    spec.deadline = now + DurationUs::from_ms(800);
    let mut call = Call::new(spec);
    let Action::Run { server, .. } = call.next(now, serving) else {
        return None;
    };
    let id = serving.servers.get(server)?.record.id.to_string();
    match result {
        Ok(()) => call.run_answered(now, serving, server),
        Err(outcome) => call.run_failed(now, serving, server, outcome),
    }
    Some(id)
}

/// Whether a server may get requests.
fn is_used(serving: &ServingState, now: TimeUs, id: &str) -> bool {
    let key = serving
        .servers
        .key_of(&id.parse().expect("a valid fixture"));
    let server = key.and_then(|key| serving.servers.get(key));
    server.is_some_and(|server| server.accepts_prepared(now))
}

struct Case {
    name: &'static str,
    /// What happens after `s1` was published.
    events: fn(&mut ServingState),
    /// Whether `s1` gets requests at the given times in ms.
    expected: &'static [(u64, bool)],
}

const REJECTED: Result<(), StepOutcome> = Err(StepOutcome::OtherIncarnation);

const CASES: &[Case] = &[
    Case {
        name: "later record without a request",
        events: |serving| apply(serving, ms(0), at_address_of_s1("x", PLAIN, 5)),
        expected: &[
            (0, false),
            (EXPIRY_MS - 1, false),
            (EXPIRY_MS, true),
            (60_000, true),
        ],
    },
    Case {
        name: "later record of another service",
        events: |serving| apply(serving, ms(0), at_address_of_s1("x", ENGINES, 5)),
        expected: &[(0, false), (EXPIRY_MS, true)],
    },
    Case {
        name: "later records one after the other",
        events: |serving| {
            for (at, id) in [(0, "x"), (2_000, "y"), (4_000, "z")] {
                apply(serving, ms(at), at_address_of_s1(id, PLAIN, 5 + at));
            }
        },
        expected: &[(4_000, false), (EXPIRY_MS, true), (60_000, true)],
    },
    Case {
        name: "earlier record",
        events: |serving| apply(serving, ms(0), at_address_of_s1("x", PLAIN, 0)),
        expected: &[(0, true), (60_000, true)],
    },
    Case {
        name: "record with the same start",
        events: |serving| apply(serving, ms(0), at_address_of_s1("x", PLAIN, 1)),
        expected: &[(0, true), (60_000, true)],
    },
    Case {
        name: "later record that is withdrawn",
        events: |serving| {
            apply(serving, ms(0), at_address_of_s1("x", PLAIN, 5));
            withdraw(serving, ms(100), "x");
        },
        expected: &[(100, true), (60_000, true)],
    },
    Case {
        name: "later record whose server is another one",
        events: |serving| {
            apply(serving, ms(0), at_address_of_s1("x", PLAIN, 5));
            assert_eq!(run(serving, ms(100), REJECTED).as_deref(), Some("x"));
        },
        expected: &[(100, true), (60_000, true)],
    },
    Case {
        name: "later record whose server responds",
        events: |serving| {
            apply(serving, ms(0), at_address_of_s1("x", PLAIN, 5));
            assert_eq!(run(serving, ms(100), Ok(())).as_deref(), Some("x"));
        },
        expected: &[(100, false), (60_000, false)],
    },
    Case {
        name: "later record that is draining, whose server has responded",
        events: |serving| {
            apply(serving, ms(0), at_address_of_s1("x", PLAIN, 5));
            assert_eq!(run(serving, ms(100), Ok(())).as_deref(), Some("x"));
            let mut draining = at_address_of_s1("x", PLAIN, 5);
            draining.state = ServerState::Draining;
            apply(serving, ms(200), draining);
        },
        expected: &[(200, false), (60_000, false)],
    },
    Case {
        name: "rejected as another incarnation",
        events: |serving| {
            assert_eq!(run(serving, ms(0), REJECTED).as_deref(), Some("s1"));
        },
        expected: &[(0, false), (4_999, false), (5_000, true)],
    },
    Case {
        name: "rejected again and again",
        events: |serving| {
            for at in [0, 5_000, 15_000] {
                assert_eq!(run(serving, ms(at), REJECTED).as_deref(), Some("s1"));
            }
        },
        expected: &[(15_000, false), (34_999, false), (35_000, true)],
    },
    Case {
        name: "rejected, and published with another record",
        events: |serving| {
            assert_eq!(run(serving, ms(0), REJECTED).as_deref(), Some("s1"));
            let mut changed = record("s1", PLAIN, "a1", None);
            changed.slots.0 += 1;
            apply(serving, ms(100), changed);
        },
        expected: &[(100, true)],
    },
];

/// Guards against a sound server that gets no requests for good because of another record at its
/// address or of one rejection, and against requests to a server that has ended while its successor
/// has its address: each of them is rejected and counts against the retry budget.
#[test]
fn server_at_a_shared_address_is_told_by_evidence() {
    for case in CASES {
        let mut serving = serving();
        publish(&mut serving, &["s1 counter a1 -"]);
        (case.events)(&mut serving);
        for (at, expected) in case.expected {
            let found = is_used(&serving, ms(*at), "s1");
            assert_eq!(found, *expected, "{} at {at} ms", case.name);
        }
    }
}

/// Guards against an engine that is lost for good: it rejects a prefill that was sent before its
/// change of stage was read, and its record does not change again.
#[test]
fn engine_that_changed_its_stage_is_not_lost() {
    let mut serving = serving();
    publish(
        &mut serving,
        &[
            "e1 notes a1 prefill",
            "e2 notes a1 decode",
            "e3 notes a1 prefill",
        ],
    );
    let stream = RequestKind::Stream { resumable: false };
    let mut call = Call::new(model_spec(stream, 1));
    let Action::Reserve { server, .. } = call.next(ms(0), &mut serving) else {
        panic!("a reservation comes first");
    };
    call.reserved(server, Reservation::Agent, true);
    let Action::Prefill { server, .. } = call.next(ms(1), &mut serving) else {
        panic!("a prefill follows the reservation");
    };
    let changed: ServerKey = server;
    let id = serving
        .servers
        .get(changed)
        .expect("published")
        .record
        .id
        .to_string();
    apply(
        &mut serving,
        ms(50),
        record(&id, ENGINES, "a1", Some(Stage::Decode)),
    );
    call.prefill_failed(ms(60), &mut serving, changed, StepOutcome::OtherIncarnation);
    assert!(is_used(&serving, ms(60 + EXPIRY_MS), &id));
}

/// Guards against a service without servers for longer than the records of ended servers stay
/// published, although all its servers are sound.
#[test]
fn service_survives_later_records_at_all_its_addresses() {
    let mut serving = serving();
    publish(&mut serving, &["s1 counter a1 -", "s2 counter a1 -"]);
    for (id, of) in [("x1", "s1"), ("x2", "s2")] {
        let mut other = record(id, PLAIN, "a1", None);
        other.address = record(of, PLAIN, "a1", None).address;
        other.started_at_ms = UnixMs(5);
        apply(&mut serving, ms(0), other);
    }
    for _ in 0..2 {
        let server = run(&mut serving, ms(100), REJECTED).expect("published");
        assert!(["x1", "x2"].contains(&server.as_str()), "{server}");
    }
    for at in 100..200 {
        let server = run(&mut serving, ms(at), Ok(())).expect("a sound server");
        assert!(["s1", "s2"].contains(&server.as_str()), "{server}");
    }
}
