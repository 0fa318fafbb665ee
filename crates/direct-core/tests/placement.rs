//! Choice of the server for a request.

mod support;

use cuminlead_direct_core::placement::{PlacementError, PlacementRequest, choose, retry_after};
use cuminlead_direct_core::servers::{FreeMemory, REMOVED_RETENTION};
use cuminlead_direct_core::{Demand, RegistryUpdate, ServerState, ServingState, Stage};
use cuminlead_types::{DurationUs, TimeUs, Tokens, UnixMs};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::{ENGINES, PLAIN, id, key, ms, publish, record, serving};
use yare::parameterized;

fn chosen(serving: &ServingState, now: TimeUs, service: &str, stage: Option<Stage>) -> String {
    let client_locality = cuminlead_direct_core::placement::ClientLocality {
        availability_zone: "a1".parse().expect("a valid fixture"),
        region: "a".parse().expect("a valid fixture"),
    };
    let request = PlacementRequest {
        service: &service.parse().expect("a valid fixture"),
        stage,
        client_locality: &client_locality,
        region: None,
        excluded: &[],
        demand: Demand::default(),
    };
    match choose(
        now,
        &serving.servers,
        request,
        &mut SmallRng::seed_from_u64(1),
    ) {
        Ok(key) => id(serving, key),
        Err(error) => format!("{error:?}"),
    }
}

fn plain_serving() -> ServingState {
    let mut serving = serving();
    publish(
        &mut serving,
        &["s1 counter a1 -", "s2 counter a2 -", "s3 counter b1 -"],
    );
    serving
}

/// Guards against requests that leave their availability zone without need, and against overloading
/// a near server while others are idle.
#[parameterized(
    idle = { &[], "s1" },
    near_is_busy = { &["s1"], "s2" },
    region_is_busy = { &["s1", "s1", "s1", "s1", "s2", "s2", "s2", "s2"], "s3" },
)]
fn work_spreads_by_distance(in_flight: &[&str], expected: &str) {
    let mut serving = plain_serving();
    for id in in_flight {
        let key = key(&serving, id);
        serving.begin_request(key);
    }
    assert_eq!(chosen(&serving, ms(0), PLAIN, None), expected);
}

/// Guards against sending work to a server that fails requests while its health probe succeeds.
#[test]
fn failing_server_gets_less_work() {
    let mut serving = plain_serving();
    let key = key(&serving, "s1");
    let server = serving.servers.get_mut(key).expect("a valid fixture");
    for _ in 0..4 {
        server.health.record_failure(ms(0));
        server.health.record_success(ms(0));
    }
    assert_eq!(chosen(&serving, ms(0), PLAIN, None), "s2");
    assert_eq!(
        chosen(&serving, ms(20_000), PLAIN, None),
        "s1",
        "failures lose their weight"
    );
}

/// Guards against every request trying a crashed server, and against a server that is never tried
/// again.
#[test]
fn unreachable_server_is_paused() {
    let mut serving = plain_serving();
    let key = key(&serving, "s1");
    let health = |serving: &mut ServingState, now| {
        serving
            .servers
            .get_mut(key)
            .expect("a valid fixture")
            .health
            .record_unreachable(now);
    };
    health(&mut serving, ms(0));
    health(&mut serving, ms(1));
    assert_eq!(chosen(&serving, ms(100), PLAIN, None), "s2");
    let server = serving.servers.get(key).expect("a valid fixture");
    assert!(
        !server.health.is_paused(ms(400)),
        "concurrent failures do not extend the pause"
    );
}

/// Guards against new work for a draining server, and against losing all servers when entries
/// expire together while the registry is unreachable.
#[test]
fn draining_and_removed_servers() {
    let mut serving = plain_serving();
    let mut draining = record("s1", PLAIN, "a1", None);
    draining.state = ServerState::Draining;
    serving.apply(ms(0), RegistryUpdate::Server(draining));
    serving.apply(
        ms(0),
        RegistryUpdate::ServerRemoved("s2".parse().expect("a valid fixture")),
    );
    assert_eq!(
        chosen(&serving, ms(0), PLAIN, None),
        "s3",
        "a removed server is a fallback"
    );
    serving.apply(
        ms(0),
        RegistryUpdate::ServerRemoved("s3".parse().expect("a valid fixture")),
    );
    assert_eq!(chosen(&serving, ms(1), PLAIN, None), "s2");
    let late = ms(0) + REMOVED_RETENTION;
    assert_eq!(chosen(&serving, late, PLAIN, None), "None");
    serving.servers.expire(late);
    assert_eq!(
        serving.servers.iter().count(),
        1,
        "only the draining server is published"
    );
}

/// Guards against new work for a server that has said itself that it is leaving, whatever the
/// registry publishes about the same incarnation afterwards.
#[test]
fn leaving_server_gets_no_new_requests_from_any_published_state() {
    struct Case {
        name: &'static str,
        updates: Vec<RegistryUpdate>,
        expected: &'static str,
    }
    let published = |started_at_ms| {
        let mut entry = record("s1", PLAIN, "a1", None);
        entry.started_at_ms = UnixMs(started_at_ms);
        RegistryUpdate::Server(entry)
    };
    let removed = || RegistryUpdate::ServerRemoved("s1".parse().expect("a valid fixture"));
    let cases = [
        Case {
            name: "nothing published",
            updates: vec![],
            expected: "s2",
        },
        Case {
            name: "published as ready",
            updates: vec![published(1)],
            expected: "s2",
        },
        Case {
            name: "removed and published as ready",
            updates: vec![removed(), published(1)],
            expected: "s2",
        },
        Case {
            name: "started again",
            updates: vec![published(2)],
            expected: "s1",
        },
    ];
    for case in cases {
        let mut serving = plain_serving();
        let server = key(&serving, "s1");
        assert!(serving.servers.record_leaving(ms(0), server));
        assert!(!serving.servers.record_leaving(ms(10), server));
        for update in case.updates {
            serving.apply(ms(1_000), update);
        }
        assert_eq!(
            chosen(&serving, ms(1_000), PLAIN, None),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// Guards against requests to a server that has asked for a pause, also after other requests of
/// this process succeeded there.
#[test]
fn server_gets_no_requests_in_the_pause_that_it_asked_for() {
    let mut serving = plain_serving();
    let server = key(&serving, "s1");
    let server = serving.servers.get_mut(server).expect("a valid fixture");
    server.record_pause(ms(0), DurationUs::from_ms(3_000));
    server.record_pause(ms(100), DurationUs::from_ms(500));
    server.health.record_success(ms(200));
    assert_eq!(chosen(&serving, ms(2_999), PLAIN, None), "s2");
    assert_eq!(chosen(&serving, ms(3_000), PLAIN, None), "s1");
}

/// Guards against work for a server 2.5 s after the registry removed its entry, if the server never
/// published that it drains; and against requests without a server while entries that expired in an
/// outage are published again.
#[test]
fn removed_servers_are_retained_longer_after_an_outage() {
    struct Case {
        regained_ms: Option<u64>,
        removed_ms: u64,
        until_ms: u64,
    }
    let case = |regained_ms, removed_ms, until_ms| Case {
        regained_ms,
        removed_ms,
        until_ms,
    };
    let cases = [
        case(None, 1_000, 2_500),
        case(Some(1_000), 1_000, 3_200),
        case(Some(1_000), 4_999, 7_199),
        case(Some(1_000), 5_000, 6_500),
    ];
    for case in cases {
        let mut serving = plain_serving();
        if let Some(at) = case.regained_ms {
            serving.apply(ms(at), RegistryUpdate::Regained);
        }
        for id in ["s1", "s2", "s3"] {
            let id = id.parse().expect("a valid fixture");
            serving.apply(ms(case.removed_ms), RegistryUpdate::ServerRemoved(id));
        }
        let last = ms(case.until_ms - 1);
        assert_eq!(chosen(&serving, last, PLAIN, None), "s1");
        assert_eq!(chosen(&serving, ms(case.until_ms), PLAIN, None), "None");
    }
}

/// Guards against a request to an earlier incarnation of a server that has restarted under its id,
/// or whose address now belongs to another service.
#[test]
fn restart_under_the_same_id_is_another_server() {
    let mut serving = plain_serving();
    let before = key(&serving, "s1");
    let mut restarted = record("s1", PLAIN, "a1", None);
    restarted.started_at_ms = cuminlead_types::UnixMs(2);
    serving.apply(ms(0), RegistryUpdate::Server(restarted));
    assert!(serving.servers.get(before).is_none());
    assert_ne!(key(&serving, "s1"), before);
}

/// Guards against requests to servers that have ended, whose entries are still published while
/// another server has their address: each such request is rejected, and counts as an arrival at a
/// server.
#[test]
fn newer_server_at_an_address_replaces_the_earlier_one() {
    let mut serving = plain_serving();
    let before = key(&serving, "s1");
    let mut newer = record("s9", PLAIN, "a1", None);
    newer.address = record("s1", PLAIN, "a1", None).address;
    newer.started_at_ms = cuminlead_types::UnixMs(5);
    serving.apply(ms(0), RegistryUpdate::Server(newer));
    let earlier = serving.servers.get(before).expect("still published");
    assert!(earlier.is_displaced(ms(0)) && !earlier.accepts_prepared(ms(0)));
    assert_eq!(chosen(&serving, ms(0), PLAIN, None), "s9");
}

/// Guards against decodes on an engine whose memory is full according to the forecast.
#[test]
fn engine_with_free_memory_is_preferred() {
    let mut serving = serving();
    publish(&mut serving, &["d1 notes a1 decode", "d2 notes a2 decode"]);
    for (id, free) in [("d1", 2_000), ("d2", 60_000)] {
        let key = key(&serving, id);
        serving
            .servers
            .get_mut(key)
            .expect("a valid fixture")
            .memory = Some(FreeMemory {
            free_tokens: Tokens(free),
            total_tokens: Tokens(80_000),
            reported_at: ms(0),
        });
    }
    let decode = Some(Stage::Decode);
    assert_eq!(chosen(&serving, ms(0), ENGINES, decode), "d2");
    assert_eq!(
        chosen(&serving, ms(5_000), ENGINES, decode),
        "d1",
        "the report is stale"
    );
}

/// Guards against callers that retry before a server can be tried.
#[parameterized(
    paused = { PlacementError::PausedUntil(TimeUs(1_700_000)), 700 },
    soon = { PlacementError::PausedUntil(TimeUs(1_010_000)), 200 },
    none = { PlacementError::None, 1_000 },
)]
fn retry_after_is_the_time_until_the_next_attempt(error: PlacementError, expected_ms: u64) {
    assert_eq!(
        retry_after(ms(1_000), error),
        DurationUs::from_ms(expected_ms)
    );
}

/// Guards against decodes in a region where the decode engines would have to compute the prompts,
/// while another region has prefill servers.
#[test]
fn decode_is_placed_where_prompts_can_be_computed() {
    let mut serving = serving();
    publish(
        &mut serving,
        &[
            "p1 notes a1 prefill",
            "d1 notes a1 decode",
            "p2 notes b1 prefill",
            "d2 notes b1 decode",
        ],
    );
    let decode = Some(Stage::Decode);
    assert_eq!(chosen(&serving, ms(0), ENGINES, decode), "d1");
    let near = key(&serving, "p1");
    let server = serving.servers.get_mut(near).expect("p1 is published");
    server.health.record_unreachable(ms(0));
    assert_eq!(chosen(&serving, ms(0), ENGINES, decode), "d2");
    let server = serving.servers.get_mut(near).expect("p1 is published");
    server.health.record_success(ms(0));
    for _ in 0..2 {
        serving.begin_request(near);
    }
    assert_eq!(
        chosen(&serving, ms(60_000), ENGINES, decode),
        "d2",
        "two prompts are queued in region a"
    );
}
