//! Latencies of answered calls, compared with the latency targets of a plan.

use cuminlead_types::DurationUs;
use hdrhistogram::Histogram;

use super::site::as_f64;

/// Upper bound of the histograms, longer than any request: a request lasts 100 s at most.
const MAX_DURATION_US: u64 = 200_000_000;
/// Three significant digits keep percentiles within 0.1%.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency targets of a plan; a call counts towards goodput if it meets both.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTargets {
    /// Target for the time to first token (TTFT).
    pub first_token_us: DurationUs,
    /// Target for the time between two consecutive tokens.
    pub between_tokens_us: DurationUs,
}

/// Latencies of the answered calls of one run.
#[derive(Clone, Debug)]
pub struct Latencies {
    targets: LatencyTargets,
    first_token: DurationHistogram,
    between_tokens: DurationHistogram,
    /// Number of calls answered within both targets.
    pub within_targets: u64,
    /// Number of calls answered whose first token missed its target.
    pub late_first_token: u64,
    /// Number of calls answered in which the longest gap between two tokens missed its target.
    pub late_between_tokens: u64,
}

impl Latencies {
    /// Creates empty statistics for calls with these targets.
    pub fn new(targets: LatencyTargets) -> Self {
        Self {
            targets,
            first_token: DurationHistogram::default(),
            between_tokens: DurationHistogram::default(),
            within_targets: 0,
            late_first_token: 0,
            late_between_tokens: 0,
        }
    }

    /// Records an answered call: its time to first token and its longest gap between two tokens.
    pub fn record(&mut self, first_token: DurationUs, longest_gap: DurationUs) {
        self.first_token.record(first_token);
        self.between_tokens.record(longest_gap);
        let is_late_first = first_token > self.targets.first_token_us;
        let is_late_between = longest_gap > self.targets.between_tokens_us;
        self.late_first_token += u64::from(is_late_first);
        self.late_between_tokens += u64::from(is_late_between);
        self.within_targets += u64::from(!is_late_first && !is_late_between);
    }

    /// Time to first token in milliseconds: 50th, 95th and 99th percentile.
    pub fn first_token_ms(&self) -> [f64; 3] {
        self.first_token.percentiles_ms()
    }

    /// Longest gap between two tokens of a call in milliseconds: 50th, 95th and 99th percentile.
    pub fn between_tokens_ms(&self) -> [f64; 3] {
        self.between_tokens.percentiles_ms()
    }
}

/// Histogram of durations in microseconds; values above `MAX_DURATION_US` are recorded as that
/// bound.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl DurationHistogram {
    /// Records one duration.
    pub fn record(&mut self, time: DurationUs) {
        self.0.saturating_record(time.get());
    }

    /// 50th, 95th and 99th percentile in milliseconds; zeros if nothing is recorded.
    pub fn percentiles_ms(&self) -> [f64; 3] {
        [0.50, 0.95, 0.99].map(|share| as_f64(self.0.value_at_quantile(share)) / 1_000.0)
    }

    /// Longest recorded duration in milliseconds.
    pub fn max_ms(&self) -> f64 {
        as_f64(self.0.max()) / 1_000.0
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}
