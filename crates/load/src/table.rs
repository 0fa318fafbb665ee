//! Table row of a run, from what callers observed and what engines, services and entries counted.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use cuminlead_types::DurationUs;

use super::open_loop::{Ending, LoadPlan, LoadRun, RequestOutcome};
use super::target::Target;
use cuminlead_measure::latency::{DurationHistogram, Latencies, LatencyTargets};
use cuminlead_measure::{Row, Site};
use cuminlead_stand_ins::engine::EngineConfig;

/// Longest time for which KV memory of a request that has ended may stay allocated (design 5.3).
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Counters of engines and entries before or after a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    computed_tokens: u64,
    exported_tokens: u64,
    region_bytes: u64,
    retries: u64,
}

impl Counts {
    /// Reads the current counters. Fails if a process does not respond or lacks a counter.
    pub fn read(target: &Target) -> io::Result<Self> {
        Ok(Self {
            computed_tokens: target.sum_engine_count("computed_tokens")?,
            exported_tokens: target.sum_engine_count("exported_tokens")?,
            region_bytes: target.sum_entry_metric("cuminlead_entry_link_bytes")?,
            retries: target.sum_entry_metric("cuminlead_entry_retries")?,
        })
    }
}

/// Waits until the engines have released all KV memory and returns the row of a run.
///
/// Wasted prefill consists of the computed tokens that no engine imported and the prompts of
/// incomplete answers. Bytes between regions are those that the entries count.
pub fn row(
    site: &Site,
    target: &Target,
    plan: &LoadPlan,
    run: &LoadRun,
    before: &Counts,
) -> io::Result<Row> {
    let held_pieces = wait_for_release(target)?;
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
        count_outcome(&mut row, &mut latencies, outcome);
        row.kv_region_bytes += kv_region_bytes(target, outcome);
    }
    row.wasted_tokens = row.wasted_tokens.min(computed_tokens);
    row.set_latencies(&latencies);
    let rate = site.config.region_link.map_or(0, |rate| rate.get());
    row.set_link_share(rate, plan.length.as_ms() / 1_000);
    Ok(row)
}

fn count_outcome(row: &mut Row, latencies: &mut Latencies, outcome: &RequestOutcome) {
    row.offered += 1;
    match outcome.ending {
        Ending::Answered => {
            row.completed += 1;
            latencies.record(micros(outcome.first_token), micros(outcome.longest_gap));
        }
        Ending::Disconnected => row.cancelled += 1,
        Ending::NotRun => row.not_run += 1,
        Ending::Incomplete => {
            row.incomplete += 1;
            row.wasted_tokens += outcome.prompt_tokens;
        }
    }
}

/// KV cache that must have crossed regions: no region has both a prefill and a decode server of the
/// call.
fn kv_region_bytes(target: &Target, outcome: &RequestOutcome) -> u64 {
    let specs = outcome
        .servers
        .iter()
        .filter_map(|id| target.server_spec(id));
    let mut roles: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for spec in specs {
        let of_region = roles.entry(&spec.region).or_default();
        of_region.extend(spec.role());
    }
    let has_pair = |roles: &Vec<&str>| roles.contains(&"prefill") && roles.contains(&"decode");
    match outcome.ending == Ending::Answered && !roles.values().any(has_pair) {
        true => outcome.prompt_tokens * EngineConfig::default().kv_bytes_per_token,
        false => 0,
    }
}

/// Waits until the engines hold no KV pieces; returns the number still held at the timeout.
fn wait_for_release(target: &Target) -> io::Result<u64> {
    let until = Instant::now() + RELEASE_TIMEOUT;
    loop {
        let held = target.held_pieces()?;
        if held == 0 || Instant::now() >= until {
            return Ok(held);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn duplicates(target: &Target, reference: &str) -> io::Result<u64> {
    let effects = target.effects()?;
    let own = effects
        .iter()
        .filter(|effect| effect.0.starts_with(reference));
    Ok(own.filter(|effect| *effect.1 > 1).count() as u64)
}

/// Comment lines for the table: delays between planned and actual sending, application calls, and
/// the number of errors by code.
pub fn summary_lines(run: &LoadRun) -> Vec<String> {
    let mut send_delays = DurationHistogram::default();
    let mut errors: BTreeMap<&str, u64> = BTreeMap::new();
    for outcome in &run.outcomes {
        send_delays.record(micros(outcome.send_delay));
        if let Some(error) = &outcome.error {
            *errors.entry(error).or_default() += 1;
        }
    }
    let [p50, p95, p99] = send_delays.percentiles_ms();
    let calls = run.outcomes.iter().filter(|outcome| !outcome.is_model);
    let answered = calls.clone().filter(|call| call.ending == Ending::Answered);
    let mut lines = vec![
        format!(
            "sent late: p50 {p50:.2} ms, p95 {p95:.2} ms, p99 {p99:.2} ms, most {:.2} ms",
            send_delays.max_ms()
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

/// Converts to microseconds.
pub(super) fn micros(duration: Duration) -> DurationUs {
    DurationUs(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
