//! Stages of engines: which compute prompts.

mod support;

use cuminlead_direct_core::stages::{PrefillShare, StagedEngine, own_engine, target_stage};
use cuminlead_direct_core::{ServerRecord, Stage};
use cuminlead_types::UnixMs;
use support::{ENGINES, record};
use yare::parameterized;

/// Engines as `id:stage` with `p` for prefill and `d` for decode.
fn engines(text: &str) -> Vec<StagedEngine> {
    let engine = |text: &str| {
        let (id, stage) = text.split_once(':').expect("a valid fixture");
        StagedEngine {
            id: id.parse().expect("a valid fixture"),
            stage: if stage == "p" {
                Stage::Prefill
            } else {
                Stage::Decode
            },
        }
    };
    text.split(' ').map(engine).collect()
}

/// Guards against pools out of proportion, a region without prefill engines, and unnecessary stage
/// changes, which take engines out of service.
#[parameterized(
    as_planned = { "a:p b:p c:d d:d e:d f:d", "" },
    too_many = { "a:p b:p c:p d:d e:d f:d", "c:decode" },
    far_too_many = { "a:p b:p c:p d:p e:d f:d", "c:decode d:decode" },
    fewer_than_planned = { "a:p b:d c:d d:d e:d f:d", "" },
    none = { "a:d b:d c:d", "a:prefill" },
    alone = { "a:d", "" },
    all = { "a:p b:p c:p", "b:decode c:decode" },
    order_of_the_list = { "c:p a:p b:p", "b:decode c:decode" },
)]
fn stage_changes(list: &str, expected: &str) {
    let engines = engines(list);
    let share = PrefillShare { percent: 22 };
    let mut changes: Vec<_> = engines
        .iter()
        .filter_map(|engine| {
            let stage = target_stage(&engines, &engine.id, share)?;
            Some(format!("{}:{stage}", engine.id))
        })
        .collect();
    changes.sort();
    assert_eq!(changes.join(" "), expected);
}

/// Guards against stage changes that never settle.
#[test]
fn stage_changes_settle() {
    let mut engines = engines("a:p b:p c:p d:p e:p f:p g:p h:d");
    let share = PrefillShare { percent: 22 };
    for _ in 0..3 {
        let wanted: Vec<_> = engines
            .iter()
            .map(|engine| target_stage(&engines, &engine.id, share))
            .collect();
        for (engine, stage) in engines.iter_mut().zip(wanted) {
            engine.stage = stage.unwrap_or(engine.stage);
        }
    }
    let prefill = engines
        .iter()
        .filter(|engine| engine.stage == Stage::Prefill);
    assert_eq!(prefill.count(), 2);
    for engine in &engines {
        assert_eq!(target_stage(&engines, &engine.id, share), None);
    }
}

/// Guards against an engine order to an engine that is not published, or no longer.
#[test]
fn unpublished_engine_is_left_alone() {
    let engines = engines("a:p b:p");
    let own = "x".parse().expect("a valid fixture");
    assert_eq!(
        target_stage(&engines, &own, PrefillShare { percent: 22 }),
        None
    );
}

/// Guards against an agent that takes another record at the address of its engine for its own, and
/// then gives no orders, or orders for another engine.
#[test]
fn own_engine_is_told_by_its_reported_start() {
    struct Case {
        name: &'static str,
        /// Changes a copy of the engine's record; the copy comes first.
        other: fn(&mut ServerRecord),
        reported_ms: u64,
        expected: Option<&'static str>,
    }
    let case = |name, other, reported_ms, expected| Case {
        name,
        other,
        reported_ms,
        expected,
    };
    let cases = [
        case(
            "elsewhere",
            |other| other.address.set_port(1),
            5,
            Some("own"),
        ),
        case("no engine", |other| other.stage = None, 5, Some("own")),
        case(
            "ended",
            |other| other.started_at_ms = UnixMs(4),
            5,
            Some("own"),
        ),
        case(
            "of another writer",
            |other| other.started_at_ms = UnixMs(9),
            5,
            Some("own"),
        ),
        case("not published yet", |_| {}, 9, None),
        case("no start in the report", |_| {}, 0, Some("own")),
        case(
            "another without a start",
            |other| other.started_at_ms = UnixMs(0),
            5,
            Some("own"),
        ),
        case(
            "no start in the record",
            |other| other.started_at_ms = UnixMs(0),
            9,
            Some("another"),
        ),
    ];
    for case in cases {
        let mut own = record("own", ENGINES, "a1", Some(Stage::Prefill));
        own.started_at_ms = UnixMs(5);
        let mut other = own.clone();
        other.id = "another".parse().expect("a valid fixture");
        (case.other)(&mut other);
        let found = own_engine([&other, &own], own.address, UnixMs(case.reported_ms));
        let found = found.map(|engine| engine.id.to_string());
        assert_eq!(found.as_deref(), case.expected, "{}", case.name);
    }
}
