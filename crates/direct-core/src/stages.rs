//! Stage of each engine: prefill or decode.
//!
//! Designed for prompts that are processed quickly and long outputs: a prompt takes a tenth of a
//! second of an engine, whereas an output occupies KV memory for seconds. Pools of equal size would
//! leave prefill engines idle while requests wait for decode memory.
//!
//! Each agent decides only for its own engine, and only that agent sends the engine orders. All
//! agents apply the same rule to the same published list, so they agree without coordination. While
//! their lists differ for a short time, one engine too many or too few changes its stage.

use std::net::SocketAddr;

use cuminlead_types::{BackendServerId, UnixMs};

use crate::server::{ServerRecord, Stage};

/// Published engine of one service and region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagedEngine {
    /// Id under which it is published.
    pub id: BackendServerId,
    /// Published stage.
    pub stage: Stage,
}

/// Record of the engine at an address that reports the given start; `None` if there is none. A start
/// of zero is unknown: it contradicts no other, but an equal one is preferred.
///
/// A record at the address may be of an engine that has ended or come from another writer. Only what
/// the engine reports of itself tells which record is its own.
pub fn own_engine<'a>(
    records: impl IntoIterator<Item = &'a ServerRecord>,
    address: SocketAddr,
    started_at_ms: UnixMs,
) -> Option<&'a ServerRecord> {
    let has_its_start = |record: &ServerRecord| record.started_at_ms == started_at_ms;
    let may_have_its_start = |record: &ServerRecord| {
        has_its_start(record) || [record.started_at_ms, started_at_ms].contains(&UnixMs(0))
    };
    let records = records.into_iter().filter(|record| {
        record.address == address && record.stage.is_some() && may_have_its_start(record)
    });
    records.max_by_key(|record| has_its_start(record))
}

/// Share of a region's engines that compute prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillShare {
    /// Percent of the engines. The resulting count is rounded up and is at least one.
    pub percent: u32,
}

/// Stage that the engine `own` should change to; `None` if it keeps its stage or is not published.
///
/// If there are more prefill engines than planned, those after the first ones by id become decode
/// engines. If there is none, the first of several decode engines by id becomes a prefill engine,
/// because decode engines that compute prompts delay their outputs. A pool that is merely smaller
/// than planned stays as it is, since a change takes an engine out of service for seconds.
pub fn target_stage(
    engines: &[StagedEngine],
    own: &BackendServerId,
    share: PrefillShare,
) -> Option<Stage> {
    let own_stage = engines.iter().find(|engine| engine.id == *own)?.stage;
    let planned_count = planned_prefill_count(engines.len(), share);
    let mut prefill = ids_of_stage(engines, Stage::Prefill);
    let mut decode = ids_of_stage(engines, Stage::Decode);
    prefill.sort();
    decode.sort();
    match own_stage {
        Stage::Prefill => {
            let rank = prefill.iter().position(|id| *id == own)?;
            (rank >= planned_count).then_some(Stage::Decode)
        }
        Stage::Decode => {
            let is_first = decode.first() == Some(&own) && decode.len() > 1;
            (prefill.is_empty() && is_first).then_some(Stage::Prefill)
        }
    }
}

fn ids_of_stage(engines: &[StagedEngine], stage: Stage) -> Vec<&BackendServerId> {
    let of_stage = engines.iter().filter(|engine| engine.stage == stage);
    of_stage.map(|engine| &engine.id).collect()
}

fn planned_prefill_count(engines_count: usize, share: PrefillShare) -> usize {
    (engines_count * share.percent as usize)
        .div_ceil(100)
        .max(1)
}
