//! Latencies of answered calls against the targets of the plan.

use cuminlead_types::DurationUs;
use hdrhistogram::Histogram;

use super::site::as_f64;

/// Longest time that a histogram tells apart; a request lasts 100 s at most.
const LONGEST_US: u64 = 200_000_000;
/// Three digits keep percentiles within 0.1%.
const DIGITS: u8 = 3;

/// Latency targets of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Time to the first token.
    pub first_token_us: DurationUs,
    /// Time between two tokens.
    pub between_tokens_us: DurationUs,
}

/// Latencies of the answered calls of one run.
#[derive(Clone, Debug)]
pub struct Latencies {
    targets: Targets,
    first: Times,
    between: Times,
    /// Calls answered within both targets.
    pub good: u64,
    /// Calls answered after the target for the first token.
    pub late_first: u64,
    /// Calls answered in which a token came later after the one before than the target.
    pub late_between: u64,
}

impl Latencies {
    /// No calls yet.
    pub fn new(targets: Targets) -> Self {
        Self {
            targets,
            first: Times::default(),
            between: Times::default(),
            good: 0,
            late_first: 0,
            late_between: 0,
        }
    }

    /// Adds an answered call: its time to the first token and its longest time between two tokens.
    pub fn record(&mut self, first: DurationUs, longest_gap: DurationUs) {
        self.first.record(first);
        self.between.record(longest_gap);
        let is_late_first = first > self.targets.first_token_us;
        let is_late_between = longest_gap > self.targets.between_tokens_us;
        self.late_first += u64::from(is_late_first);
        self.late_between += u64::from(is_late_between);
        self.good += u64::from(!is_late_first && !is_late_between);
    }

    /// 50th, 95th and 99th percentile of the time to the first token.
    pub fn first_ms(&self) -> [f64; 3] {
        self.first.percentiles_ms()
    }

    /// The same percentiles of the longest time between two tokens.
    pub fn between_ms(&self) -> [f64; 3] {
        self.between.percentiles_ms()
    }
}

/// Times of which percentiles are wanted.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Times {
    /// Adds a time.
    pub fn record(&mut self, time: DurationUs) {
        self.0.saturating_record(time.get());
    }

    /// 50th, 95th and 99th percentile in milliseconds.
    pub fn percentiles_ms(&self) -> [f64; 3] {
        [0.50, 0.95, 0.99].map(|share| as_f64(self.0.value_at_quantile(share)) / 1_000.0)
    }

    /// Longest time in milliseconds.
    pub fn max_ms(&self) -> f64 {
        as_f64(self.0.max()) / 1_000.0
    }

    /// Number of times.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}
