//! Row of a run: what callers saw, and what engines, services and entries count.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use cuminlead_types::DurationUs;

use super::open_loop::{Ended, LoadPlan, LoadRun, Outcome};
use super::target::Target;
use cuminlead_measure::latency::{DurationHistogram, Latencies, LatencyTargets};
use cuminlead_measure::{Row, Site};
use cuminlead_stand_ins::engine::EngineConfig;

/// Longest time that memory of a request that is gone may stay held (design 5.3).
const SETTLE_MAX: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(100);

/// Counts before or after a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    computed_tokens: u64,
    exported_tokens: u64,
    region_bytes: u64,
    retries: u64,
}

impl Counts {
    /// Present counts.
    pub fn read(target: &Target) -> io::Result<Self> {
        Ok(Self {
            computed_tokens: target.count("computed_tokens")?,
            exported_tokens: target.count("exported_tokens")?,
            region_bytes: target.metric("cuminlead_entry_link_bytes")?,
            retries: target.metric("cuminlead_entry_retries")?,
        })
    }
}

/// Waits until the engines hold nothing and gives the row of a run.
///
/// Wasted are the computed tokens that no engine imported and the prompts of incomplete answers.
/// Bytes between regions are those that the entries count.
pub fn row(
    site: &Site,
    target: &Target,
    plan: &LoadPlan,
    run: &LoadRun,
    before: &Counts,
) -> io::Result<Row> {
    let held_pieces = settle(target)?;
    let after = Counts::read(target)?;
    let computed_tokens = after.computed_tokens - before.computed_tokens;
    let imported = after.exported_tokens - before.exported_tokens;
    let mut row = Row {
        policy: plan.policy.clone(),
        fault: "none".to_string(),
        load: plan.load,
        held_pieces,
        computed_tokens,
        wasted_tokens: computed_tokens.saturating_sub(imported),
        region_bytes: after.region_bytes - before.region_bytes,
        retries: after.retries - before.retries,
        duplicates: duplicates(target, &run.reference)?,
        ..Row::default()
    };
    let mut latencies = Latencies::new(LatencyTargets {
        first_token_us: site.config.first_token_us,
        between_tokens_us: site.config.between_tokens_us,
    });
    for outcome in run.outcomes.iter().filter(|outcome| outcome.is_model) {
        count(&mut row, &mut latencies, outcome);
        row.kv_region_bytes += kv_region_bytes(target, outcome);
    }
    row.wasted_tokens = row.wasted_tokens.min(computed_tokens);
    row.set_latencies(&latencies);
    let rate = site.config.region_link.map_or(0, |rate| rate.get());
    row.set_link_share(rate, plan.length.as_ms() / 1_000);
    Ok(row)
}

fn count(row: &mut Row, latencies: &mut Latencies, outcome: &Outcome) {
    row.offered += 1;
    match outcome.ended {
        Ended::Answered => {
            row.completed += 1;
            latencies.record(micros(outcome.first), micros(outcome.longest_gap));
        }
        Ended::Gone => row.cancelled += 1,
        Ended::NotRun => row.not_run += 1,
        Ended::Incomplete => {
            row.incomplete += 1;
            row.wasted_tokens += outcome.prompt_tokens;
        }
    }
}

/// KV cache that must have crossed regions: no region has both a prefill and a decode server of the
/// call.
fn kv_region_bytes(target: &Target, outcome: &Outcome) -> u64 {
    let places = outcome.servers.iter().filter_map(|id| target.place(id));
    let mut roles: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for place in places {
        let of_region = roles.entry(&place.region).or_default();
        of_region.extend(place.role());
    }
    let has_pair = |roles: &Vec<&str>| roles.contains(&"prefill") && roles.contains(&"decode");
    match outcome.ended == Ended::Answered && !roles.values().any(has_pair) {
        true => outcome.prompt_tokens * EngineConfig::default().kv_bytes_per_token,
        false => 0,
    }
}

/// Pieces that are still held when the longest allowed time is over.
fn settle(target: &Target) -> io::Result<u64> {
    let until = Instant::now() + SETTLE_MAX;
    loop {
        let held = target.held_pieces()?;
        if held == 0 || Instant::now() >= until {
            return Ok(held);
        }
        thread::sleep(POLL);
    }
}

fn duplicates(target: &Target, reference: &str) -> io::Result<u64> {
    let effects = target.effects()?;
    let own = effects
        .iter()
        .filter(|effect| effect.0.starts_with(reference));
    Ok(own.filter(|effect| *effect.1 > 1).count() as u64)
}

/// How late requests were sent, and the codes of errors, as lines of a comment.
pub fn notes(run: &LoadRun) -> Vec<String> {
    let mut late = DurationHistogram::default();
    let mut errors: BTreeMap<&str, u64> = BTreeMap::new();
    for outcome in &run.outcomes {
        late.record(micros(outcome.late));
        if let Some(error) = &outcome.error {
            *errors.entry(error).or_default() += 1;
        }
    }
    let [p50, p95, p99] = late.percentiles_ms();
    let calls = run.outcomes.iter().filter(|outcome| !outcome.is_model);
    let answered = calls.clone().filter(|call| call.ended == Ended::Answered);
    let mut lines = vec![
        format!(
            "sent late: p50 {p50:.2} ms, p95 {p95:.2} ms, p99 {p99:.2} ms, most {:.2} ms",
            late.max_ms()
        ),
        format!(
            "application calls: {} offered, {} answered",
            calls.count(),
            answered.count()
        ),
    ];
    lines.extend(
        errors
            .iter()
            .map(|(code, count)| format!("error {code}: {count}")),
    );
    lines
}

/// Microseconds of a duration.
pub(super) fn micros(duration: Duration) -> DurationUs {
    DurationUs(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
