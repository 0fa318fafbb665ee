//! Stages of engines: which compute prompts.

use cuminlead_direct_core::Stage;
use cuminlead_direct_core::stages::{PrefillShare, StagedEngine, target_stage};
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
