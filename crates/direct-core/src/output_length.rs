//! Expected length of outputs, from callers' estimates and from the outputs that have ended.
//!
//! Lengths differ by an order of magnitude between deployments, so no length is assumed for an
//! engine whose outputs are known: the assumption that holds before the first output ends counts as
//! one observed output. A caller's estimate is right at the median but often off by half, and is
//! combined with the typical length only to the extent that the latter is based on observations.

use cuminlead_types::Tokens;

/// Typical length that is assumed before any output has ended.
const INITIAL_TOKENS: f64 = 1_000.0;
/// Variance of the logarithm of lengths that is assumed before any output has ended; outputs of one
/// service differ by about half.
const INITIAL_LOG_VARIANCE: f64 = 0.25;
/// Variance of the logarithm of a length around the caller's estimate, which is often off by half.
const ESTIMATE_LOG_VARIANCE: f64 = 0.25;
/// Largest variance that is used, so that a single outlier does not multiply the expectation.
const LOG_VARIANCE_MAX: f64 = 1.0;
/// Number of outputs that the initial assumption counts for.
const INITIAL_WEIGHT: f64 = 1.0;
/// Most outputs that the typical length is averaged over, so that it follows the load.
const WEIGHT_MAX: f64 = 20.0;
/// Weight of the typical length against a caller's estimate once many outputs have ended.
const TYPICAL_SHARE_MAX: f64 = 0.5;
/// Number of observed outputs at which the typical length has half of that weight.
const TYPICAL_SHARE_HALF_COUNT: f64 = 5.0;

/// Estimator of the lengths of one engine's outputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutputLengthEstimator {
    /// Natural logarithm of the typical length in tokens. The geometric mean is used because a few
    /// outputs are many times longer than the others.
    typical_log: f64,
    /// Variance of that logarithm.
    log_variance: f64,
    /// Number of outputs that the typical length stands for, the initial assumption included.
    weight: f64,
}

impl Default for OutputLengthEstimator {
    fn default() -> Self {
        Self {
            typical_log: INITIAL_TOKENS.ln(),
            log_variance: INITIAL_LOG_VARIANCE,
            weight: INITIAL_WEIGHT,
        }
    }
}

impl OutputLengthEstimator {
    /// Includes the length of an output that has ended, or the estimate of one that begins. Estimates
    /// are right at the median, and are known seconds before the lengths.
    pub fn observe(&mut self, length: Tokens) {
        self.weight = (self.weight + 1.0).min(WEIGHT_MAX);
        let deviation = log_of(length) - self.typical_log;
        self.typical_log += deviation / self.weight;
        self.log_variance += (deviation * deviation - self.log_variance) / self.weight;
    }

    /// Expected length of an output; `estimate` is the caller's. Without one, this is the mean
    /// length, which exceeds the typical one if lengths differ widely.
    pub fn expected(&self, estimate: Option<Tokens>) -> Tokens {
        let Some(estimate) = estimate else {
            let log_variance = self.log_variance.min(LOG_VARIANCE_MAX);
            return tokens_of(self.typical_log + log_variance / 2.0);
        };
        let observed_count = self.weight - INITIAL_WEIGHT;
        let share =
            TYPICAL_SHARE_MAX * observed_count / (observed_count + TYPICAL_SHARE_HALF_COUNT);
        let log_variance = (1.0 - share) * ESTIMATE_LOG_VARIANCE;
        let median_log = share * self.typical_log + (1.0 - share) * log_of(estimate);
        tokens_of(median_log + log_variance / 2.0)
    }
}

#[allow(clippy::cast_precision_loss, reason = "token counts are small")]
fn log_of(tokens: Tokens) -> f64 {
    (tokens.0.max(1) as f64).ln()
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the exponential of a finite logarithm of a token count"
)]
fn tokens_of(log: f64) -> Tokens {
    Tokens(log.exp() as u64)
}
