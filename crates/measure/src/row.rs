//! Results of one run, and their format as a line of tab-separated values.

use std::collections::BTreeMap;

use cuminlead_types::{DurationUs, RequestId, TimeUs};
use cuminlead_verifier::Observation;

use super::latency::{Latencies, LatencyTargets};
use super::run::RunPlan;
use super::site::as_f64;
use cuminlead_matrix::{CallerResult, Ending, PathKind, Simulation};

/// Header line with the column names, in the order of [`Row::to_tsv`].
pub const HEADER: &str = "policy\tfault\tload\toffered\tcompleted\tgoodput\tttft_p50_ms\t\
    ttft_p95_ms\tttft_p99_ms\ttbt_p50_ms\ttbt_p95_ms\ttbt_p99_ms\twasted_prefill_tokens\t\
    wasted_prefill_share\tcross_region_bytes\tkv_cross_region_bytes\theld_after_run\t\
    duplicate_runs\tcancelled\tnot_run\tincomplete\tretries\tcomputed_prefill_tokens\t\
    paid_bytes_per_request\tlink_share\tlate_first\tlate_between";

/// Results of one run; counts are of model calls unless stated otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// Routing policy.
    pub policy: String,
    /// Injected fault, or `none`.
    pub fault: String,
    /// Offered load as a share of the capacity of the site.
    pub load: f64,
    /// Calls sent.
    pub offered: u64,
    /// Calls answered completely.
    pub completed: u64,
    /// Calls answered within both latency targets.
    pub goodput: u64,
    /// Time to first token in milliseconds: 50th, 95th and 99th percentile of answered calls.
    pub ttft_ms: [f64; 3],
    /// Longest gap between two tokens of a call in milliseconds: the same percentiles.
    pub tbt_ms: [f64; 3],
    /// Prompt tokens whose prefill was discarded or repeated.
    pub wasted_tokens: u64,
    /// Prompt tokens computed by the prefill engines.
    pub computed_tokens: u64,
    /// Bytes sent between regions.
    pub region_bytes: u64,
    /// Bytes of KV cache sent between regions.
    pub kv_region_bytes: u64,
    /// KV pieces still allocated on the engines after the run.
    pub held_pieces: u64,
    /// Service calls executed more than once, and requests answered more than once.
    pub duplicates: u64,
    /// Calls whose caller disconnected.
    pub cancelled: u64,
    /// Calls refused without having run.
    pub not_run: u64,
    /// Calls with an incomplete answer or an unknown outcome.
    pub incomplete: u64,
    /// Retries of all calls, including calls of the plain service.
    pub retries: u64,
    /// Calls answered whose first token missed its target.
    pub late_first_token: u64,
    /// Calls answered in which the longest gap between two tokens missed its target.
    pub late_between_tokens: u64,
    /// Bytes between regions as a share of what the links could carry in both directions while
    /// requests were sent.
    pub link_share: f64,
}

impl Row {
    /// Collects the results of a finished run; `sent_s` is the time in seconds during which
    /// requests were sent.
    pub fn from_simulation(plan: &RunPlan, simulation: &Simulation, sent_s: u64) -> Self {
        let mut row = Self {
            policy: plan.policy.clone(),
            fault: plan.fault.map_or("none".to_string(), |f| f.to_string()),
            load: plan.load,
            region_bytes: simulation.tally().region_bytes.get(),
            kv_region_bytes: simulation.tally().kv_region_bytes.get(),
            held_pieces: simulation.held_pieces(),
            duplicates: duplicates(simulation),
            retries: simulation.retries_count(),
            ..Self::default()
        };
        row.count_prefills(simulation);
        row.count_calls(simulation);
        let rate = simulation.config().region_link.map_or(0, |rate| rate.get());
        row.set_link_share(rate, sent_s);
        row
    }

    /// Sets `link_share` for a link with this rate in each direction, over `sent_s` seconds.
    pub fn set_link_share(&mut self, bits_per_second: u64, sent_s: u64) {
        let capacity_bytes = as_f64(bits_per_second / 8 * sent_s * 2);
        self.link_share = as_f64(self.region_bytes) / capacity_bytes.max(1.0);
    }

    fn count_calls(&mut self, simulation: &Simulation) {
        let config = simulation.config();
        let mut latencies = Latencies::new(LatencyTargets {
            first_token_us: config.first_token_us,
            between_tokens_us: config.between_tokens_us,
        });
        let results = simulation.results().values();
        for result in results.filter(|result| result.spec.path == PathKind::Model) {
            self.offered += 1;
            self.count_ending(result);
            if result.ending != Some(Ending::Answered) {
                continue;
            }
            latencies.record(first_token_us(result), result.longest_gap_us);
        }
        self.set_latencies(&latencies);
    }

    /// Copies the latency percentiles and the counts against the targets.
    pub fn set_latencies(&mut self, latencies: &Latencies) {
        self.ttft_ms = latencies.first_token_ms();
        self.tbt_ms = latencies.between_tokens_ms();
        self.late_first_token = latencies.late_first_token;
        self.late_between_tokens = latencies.late_between_tokens;
        self.goodput = latencies.within_targets;
    }

    fn count_ending(&mut self, result: &CallerResult) {
        use cuminlead_entry_core::CallOutcome;
        match &result.ending {
            Some(Ending::Answered) => self.completed += 1,
            Some(Ending::Gone) => self.cancelled += 1,
            Some(Ending::Failed(CallOutcome::NotRun)) => self.not_run += 1,
            _ => self.incomplete += 1,
        }
    }

    fn count_prefills(&mut self, simulation: &Simulation) {
        for (request, prefill) in &simulation.tally().prefills {
            let ending = simulation
                .results()
                .get(request)
                .and_then(|r| r.ending.clone());
            let is_used = matches!(ending, Some(Ending::Answered | Ending::Gone));
            let used = if is_used {
                prefill.imported_tokens.get()
            } else {
                0
            };
            let computed = prefill.computed_tokens.get();
            self.computed_tokens += computed;
            self.wasted_tokens += computed.saturating_sub(used);
        }
    }

    /// Wasted prompt tokens as a share of all computed prompt tokens.
    pub fn wasted_share(&self) -> f64 {
        as_f64(self.wasted_tokens) / as_f64(self.computed_tokens.max(1))
    }

    /// Formats the row as tab-separated values in the order of [`HEADER`].
    pub fn to_tsv(&self) -> String {
        let [t50, t95, t99] = self.ttft_ms;
        let [b50, b95, b99] = self.tbt_ms;
        let per_request = self.region_bytes / self.offered.max(1);
        let counts = [self.offered, self.completed, self.goodput];
        let [offered, completed, goodput] = counts;
        format!(
            "{}\t{}\t{:.2}\t{offered}\t{completed}\t{goodput}\t{t50:.1}\t{t95:.1}\t{t99:.1}\t\
             {b50:.1}\t{b95:.1}\t{b99:.1}\t{}\t{:.4}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t\
             {per_request}\t{:.4}\t{}\t{}",
            self.policy,
            self.fault,
            self.load,
            self.wasted_tokens,
            self.wasted_share(),
            self.region_bytes,
            self.kv_region_bytes,
            self.held_pieces,
            self.duplicates,
            self.cancelled,
            self.not_run,
            self.incomplete,
            self.retries,
            self.computed_tokens,
            self.link_share,
            self.late_first_token,
            self.late_between_tokens,
        )
    }
}

fn first_token_us(result: &CallerResult) -> DurationUs {
    let first_at = result.first_at.unwrap_or(TimeUs(u64::MAX));
    first_at.since(result.sent_at)
}

/// Counts requests that were executed by a service or answered more than once.
fn duplicates(simulation: &Simulation) -> u64 {
    let mut counts: BTreeMap<RequestId, u64> = BTreeMap::new();
    let mut answers: BTreeMap<RequestId, u64> = BTreeMap::new();
    for observed in simulation.record().iter() {
        match &observed.what {
            Observation::ServiceRan { request, .. } => *counts.entry(*request).or_default() += 1,
            Observation::AnswerEnded { request, .. } => *answers.entry(*request).or_default() += 1,
            _ => {}
        }
    }
    let twice = counts.values().chain(answers.values()).filter(|c| **c > 1);
    twice.count() as u64
}
