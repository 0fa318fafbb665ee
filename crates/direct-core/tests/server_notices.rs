//! What servers say about themselves, while their registry entries come and go.

mod support;

use cuminlead_direct_core::servers::ServerLifecycle;
use cuminlead_direct_core::{RegistryUpdate, ServerNotice, ServingState};
use cuminlead_types::{DurationUs, MillirequestsPerSecond, TimeUs, UnixMs};
use support::{PLAIN, key, ms, publish, record, serving};

const LIMIT: MillirequestsPerSecond = MillirequestsPerSecond(1_000);
/// Later than the retention of any removed server.
const PUBLISHED_AGAIN_AT: TimeUs = TimeUs(5_000_000);

/// When a notice arrives.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Arrival {
    BeforeTheRemoval,
    AfterTheDrop,
}

/// Notices of `s1` before its entry is published again.
struct Case {
    name: &'static str,
    notices: &'static [(Arrival, ServerNotice)],
    /// Start of the incarnation that is published again; the one with the notices has started at 1.
    started_at_ms: u64,
    /// State of the server afterwards.
    expected: &'static str,
}

const LIMITED: ServerNotice = ServerNotice {
    limit: Some(LIMIT),
    is_leaving: false,
    pause: None,
};
const LEAVING: ServerNotice = ServerNotice {
    limit: None,
    is_leaving: true,
    pause: None,
};
const PAUSED: ServerNotice = ServerNotice {
    limit: None,
    is_leaving: false,
    pause: Some(DurationUs::from_ms(20_000)),
};
const SILENT: ServerNotice = ServerNotice {
    limit: None,
    is_leaving: false,
    pause: None,
};

const CASES: &[Case] = &[
    Case {
        name: "limit",
        notices: &[(Arrival::BeforeTheRemoval, LIMITED)],
        started_at_ms: 1,
        expected: "limited",
    },
    Case {
        name: "limit that was lifted",
        notices: &[
            (Arrival::BeforeTheRemoval, LIMITED),
            (Arrival::AfterTheDrop, SILENT),
        ],
        started_at_ms: 1,
        expected: "",
    },
    Case {
        name: "limit in a late response",
        notices: &[(Arrival::AfterTheDrop, LIMITED)],
        started_at_ms: 1,
        expected: "limited",
    },
    Case {
        name: "pause",
        notices: &[(Arrival::BeforeTheRemoval, PAUSED)],
        started_at_ms: 1,
        expected: "paused",
    },
    Case {
        name: "pause in a late response, after a limit",
        notices: &[
            (Arrival::BeforeTheRemoval, LIMITED),
            (
                Arrival::AfterTheDrop,
                ServerNotice {
                    limit: Some(LIMIT),
                    ..PAUSED
                },
            ),
        ],
        started_at_ms: 1,
        expected: "limited paused",
    },
    Case {
        name: "leaving",
        notices: &[
            (Arrival::BeforeTheRemoval, LEAVING),
            (Arrival::AfterTheDrop, SILENT),
        ],
        started_at_ms: 1,
        expected: "draining",
    },
    Case {
        name: "leaving in a late response",
        notices: &[(Arrival::AfterTheDrop, LEAVING)],
        started_at_ms: 1,
        expected: "draining",
    },
    Case {
        name: "another incarnation",
        notices: &[
            (Arrival::BeforeTheRemoval, LIMITED),
            (Arrival::BeforeTheRemoval, PAUSED),
            (Arrival::AfterTheDrop, LEAVING),
        ],
        started_at_ms: 2,
        expected: "",
    },
];

fn apply_server(serving: &mut ServingState, now: TimeUs, started_at_ms: u64) {
    let mut published = record("s1", PLAIN, "a1", None);
    published.started_at_ms = UnixMs(started_at_ms);
    serving.apply(now, RegistryUpdate::Server(published));
}

fn state(serving: &ServingState) -> String {
    let server = serving.servers.get(key(serving, "s1")).expect("published");
    let is_draining = matches!(server.lifecycle, ServerLifecycle::Draining(_));
    let states = [
        (server.limit.is_some(), "limited"),
        (server.is_paused(PUBLISHED_AGAIN_AT), "paused"),
        (is_draining, "draining"),
    ];
    let states = states.iter().filter(|(is_set, _)| *is_set);
    states.map(|(_, name)| *name).collect::<Vec<_>>().join(" ")
}

/// Guards against requests to a server that has asked not to get them, after its registry entry has
/// lapsed and is published again.
#[test]
fn notices_outlast_the_registry_entry() {
    for case in CASES {
        let mut serving = serving();
        publish(&mut serving, &["s1 counter a1 -"]);
        let server = key(&serving, "s1");
        let incarnation = serving.servers.incarnation(server).expect("published");
        let record = |serving: &mut ServingState, arrival: Arrival, at: TimeUs| {
            for (_, notice) in case.notices.iter().filter(|(due, _)| *due == arrival) {
                let servers = &mut serving.servers;
                servers.record_notice(at, at, &incarnation, notice);
            }
        };
        record(&mut serving, Arrival::BeforeTheRemoval, ms(100));
        let id = "s1".parse().expect("a valid fixture");
        serving.apply(ms(200), RegistryUpdate::ServerRemoved(id));
        serving.servers.expire(ms(4_000));
        assert!(serving.servers.get(server).is_none(), "{}", case.name);
        record(&mut serving, Arrival::AfterTheDrop, ms(4_500));
        apply_server(&mut serving, PUBLISHED_AGAIN_AT, case.started_at_ms);
        assert_eq!(state(&serving), case.expected, "{}", case.name);
    }
}

/// Guards against a notice of an ended incarnation that applies to its successor, and against one
/// that makes the successor's own be forgotten.
#[test]
fn notices_apply_to_their_incarnation_only() {
    let mut serving = serving();
    publish(&mut serving, &["s1 counter a1 -"]);
    let server = key(&serving, "s1");
    let ended = serving.servers.incarnation(server).expect("published");
    apply_server(&mut serving, ms(100), 2);
    let server = key(&serving, "s1");
    let successor = serving.servers.incarnation(server).expect("published");
    let servers = &mut serving.servers;
    servers.record_notice(ms(200), ms(200), &successor, &LEAVING);
    let changes = servers.record_notice(ms(300), ms(300), &ended, &LIMITED);
    assert!(!changes.is_limit_changed);
    servers.drop_server(ms(300), server);
    apply_server(&mut serving, PUBLISHED_AGAIN_AT, 2);
    assert_eq!(state(&serving), "draining");
}
