//! Estimates of the speed of servers and of the service time of routes, from completed requests.
//!
//! Each entry sees only its own share of the requests, often one in ten seconds at a server, so an
//! estimate has a prior that counts as a stated number of observations: what is known about all
//! servers of the kind. Observations lose half of their weight in [`HALF_LIFE`], so that a server
//! that has been slow is tried again.

use cuminlead_types::{DurationUs, TimeUs};

use super::work::as_ms;

/// Time in which the weight of observations of a speed halves. A server that has become slow is
/// tried again after one to two of these; each trial makes one request slow.
const HALF_LIFE: DurationUs = DurationUs::from_ms(15_000);
/// Time in which the weight of a failure halves.
const FAILURE_HALF_LIFE: DurationUs = DurationUs::from_ms(10_000);

/// Rate of prefills before the first observation, in tokens per ms: 5,200 tokens in 95 ms.
pub(crate) const PREFILL_RATE_PRIOR: f64 = 55.0;
/// Bounds of the rate of a prefill server.
const PREFILL_RATE_RANGE: (f64, f64) = (1.0, 500.0);
/// Busy time that the prior of a prefill rate counts for; about one prompt.
const PREFILL_PRIOR_MS: f64 = 100.0;
/// Most busy time that the observed rate of a server stands for, about four prompts, so that two slow
/// prompts outweigh all fast ones before.
pub(crate) const SERVER_PREFILL_WEIGHT_MAX_MS: f64 = 400.0;
/// Most busy time that the observed rate of all servers stands for.
pub(crate) const SERVICE_PREFILL_WEIGHT_MAX_MS: f64 = 4_000.0;

/// Service time of a route before its first observation; those of known deployments are 15 to 60 ms.
const SERVICE_TIME_PRIOR_MS: f64 = 25.0;
/// Variance of the logarithm of a route's service times before its first observation.
const SERVICE_LOG_VARIANCE_PRIOR: f64 = 0.25;
/// Bounds of a service time, in ms.
const SERVICE_TIME_RANGE_MS: (f64, f64) = (0.5, 30_000.0);
/// Most observations that a route's service time is averaged over.
const SERVICE_WEIGHT_MAX: f64 = 50.0;
/// Largest variance that is used, so that a single outlier does not multiply the expectation.
const LOG_VARIANCE_MAX: f64 = 1.0;

/// Variance of the logarithm of the speeds of servers of one kind: most are within a factor of 1.6.
const SLOWNESS_LOG_VARIANCE: f64 = 0.25;
/// Most observations that the slowness of a server is averaged over, so that it follows a change.
const SLOWNESS_WEIGHT_MAX: f64 = 6.0;
/// Largest slowness or speed-up of a server, as a factor.
const SLOWNESS_MAX: f64 = 20.0;

/// Number of outcomes that the failure rate of all servers of the kind counts for.
const FAILURE_PRIOR_WEIGHT: f64 = 2.0;

/// Rate at which prompts are computed: tokens and busy time of recent prefills.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PrefillRate {
    tokens: f64,
    busy_ms: f64,
    updated_at: TimeUs,
}

impl PrefillRate {
    /// Includes a prompt; earlier ones stand for at most `weight_max_ms` of busy time.
    pub(crate) fn observe(&mut self, now: TimeUs, tokens: f64, busy_ms: f64, weight_max_ms: f64) {
        let kept = decay_factor(now.since(self.updated_at), HALF_LIFE);
        let bound = weight_max_ms / (self.busy_ms * kept).max(weight_max_ms);
        self.tokens = self.tokens * kept * bound + tokens;
        self.busy_ms = self.busy_ms * kept * bound + busy_ms;
        self.updated_at = self.updated_at.max(now);
    }

    /// Rate in tokens per ms; `prior` is assumed as far as little is known.
    pub(crate) fn rate(&self, now: TimeUs, prior: f64) -> f64 {
        let kept = decay_factor(now.since(self.updated_at), HALF_LIFE);
        let rate = (self.tokens * kept + prior * PREFILL_PRIOR_MS)
            / (self.busy_ms * kept + PREFILL_PRIOR_MS);
        rate.clamp(PREFILL_RATE_RANGE.0, PREFILL_RATE_RANGE.1)
    }

    pub(crate) fn is_observed(&self) -> bool {
        self.tokens > 0.0
    }
}

/// Typical service time of a route over all servers, with its spread.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceTime {
    /// Mean of the logarithm. A few requests take many times longer than the others.
    mean_log: f64,
    log_variance: f64,
    weight: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            mean_log: SERVICE_TIME_PRIOR_MS.ln(),
            log_variance: SERVICE_LOG_VARIANCE_PRIOR,
            weight: 1.0,
        }
    }
}

impl ServiceTime {
    /// Includes the time of a request, divided by the slowness of its server; returns how far the
    /// logarithm of `took_ms` is from the mean.
    pub(crate) fn observe(&mut self, took_ms: f64, slowness_log: f64) -> f64 {
        let (min, max) = SERVICE_TIME_RANGE_MS;
        let log = took_ms.clamp(min, max).ln();
        let ratio_log = log - self.mean_log;
        let deviation = ratio_log - slowness_log;
        self.weight = (self.weight + 1.0).min(SERVICE_WEIGHT_MAX);
        self.mean_log += deviation / self.weight;
        self.log_variance += (deviation * deviation - self.log_variance) / self.weight;
        ratio_log
    }

    /// Mean service time at a server of the given slowness.
    pub(crate) fn mean_ms(&self, slowness_log: f64) -> f64 {
        let mean = (self.mean_log + slowness_log + self.variance() / 2.0).exp();
        mean.clamp(SERVICE_TIME_RANGE_MS.0, SERVICE_TIME_RANGE_MS.1)
    }

    /// Variance of the logarithm of service times at one server.
    pub(crate) fn variance(&self) -> f64 {
        self.log_variance.min(LOG_VARIANCE_MAX)
    }
}

/// Service times of one server relative to those of all servers, as a logarithm.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Slowness {
    mean_log: f64,
    weight: f64,
    updated_at: TimeUs,
}

impl Slowness {
    pub(crate) fn observe(&mut self, now: TimeUs, ratio_log: f64) {
        let kept = decay_factor(now.since(self.updated_at), HALF_LIFE);
        self.weight = (self.weight * kept + 1.0).min(SLOWNESS_WEIGHT_MAX);
        self.mean_log += (ratio_log - self.mean_log) / self.weight;
        self.updated_at = self.updated_at.max(now);
    }

    /// Logarithm of the slowness; zero before the first observation. `variance` is that of service
    /// times at one server: the wider they differ, the less one observation says.
    pub(crate) fn log(&self, now: TimeUs, variance: f64) -> f64 {
        let weight = self.weight * decay_factor(now.since(self.updated_at), HALF_LIFE);
        let prior_weight = variance / SLOWNESS_LOG_VARIANCE;
        let log = self.mean_log * weight / (weight + prior_weight.max(0.1));
        let bound = SLOWNESS_MAX.ln();
        log.clamp(-bound, bound)
    }

    /// Standard deviation of the logarithm.
    pub(crate) fn deviation_log(&self, now: TimeUs, variance: f64) -> f64 {
        let weight = self.weight * decay_factor(now.since(self.updated_at), HALF_LIFE);
        let prior_weight = (variance / SLOWNESS_LOG_VARIANCE).max(0.1);
        (SLOWNESS_LOG_VARIANCE * prior_weight / (weight + prior_weight)).sqrt()
    }

    pub(crate) fn is_observed(&self) -> bool {
        self.weight > 0.0
    }
}

/// Share of recent steps that failed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct FailureRate {
    failed_weight: f64,
    total_weight: f64,
    updated_at: TimeUs,
}

impl FailureRate {
    pub(crate) fn observe(&mut self, now: TimeUs, is_failure: bool) {
        let kept = decay_factor(now.since(self.updated_at), FAILURE_HALF_LIFE);
        let failed = if is_failure { 1.0 } else { 0.0 };
        self.failed_weight = self.failed_weight * kept + failed;
        self.total_weight = self.total_weight * kept + 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    /// Failure rate from 0 to 1; `prior` is assumed as far as little is known.
    pub(crate) fn rate(&self, now: TimeUs, prior: f64) -> f64 {
        let kept = decay_factor(now.since(self.updated_at), FAILURE_HALF_LIFE);
        (self.failed_weight * kept + prior * FAILURE_PRIOR_WEIGHT)
            / (self.total_weight * kept + FAILURE_PRIOR_WEIGHT)
    }
}

fn decay_factor(age: DurationUs, half_life: DurationUs) -> f64 {
    0.5_f64.powf(as_ms(age) / as_ms(half_life))
}
