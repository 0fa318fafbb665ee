//! Health of a backend server, from locally observed failures.
//!
//! Published states lag by seconds, and a health probe may succeed while requests fail, so health
//! is derived from the outcomes of this process's own requests. A failure rate that decays within a
//! few seconds moves work away from a server that fails some of its requests; a failure to reach a
//! server excludes it for a pause.

use cuminlead_types::{DurationUs, TimeUs};

/// Time in which the weight of an outcome halves.
const FAILURE_HALF_LIFE: DurationUs = DurationUs::from_ms(2_000);
/// Weight, in outcomes, of the assumption that a server without outcomes does not fail.
const PRIOR_WEIGHT: f64 = 2.0;
/// Pause after the first failure to reach a server. A crashed server returns after seconds.
const PAUSE_INITIAL: DurationUs = DurationUs::from_ms(400);
/// Longest pause. After it, one request at a time tests whether the server has returned.
const PAUSE_MAX: DurationUs = DurationUs::from_ms(3_200);

/// Locally observed failures of one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    failed_weight: f64,
    total_weight: f64,
    updated_at: TimeUs,
    /// Length of the current or last pause; zero if the server has responded since.
    pause: DurationUs,
    paused_until: TimeUs,
}

impl Health {
    /// Records a request that the server answered.
    pub fn record_success(&mut self, now: TimeUs) {
        self.decay(now);
        self.total_weight += 1.0;
        self.pause = DurationUs::ZERO;
        self.paused_until = TimeUs::ZERO;
    }

    /// Records a request that failed at a reachable server.
    pub fn record_failure(&mut self, now: TimeUs) {
        self.decay(now);
        self.total_weight += 1.0;
        self.failed_weight += 1.0;
    }

    /// Records that the server could not be reached or did not respond.
    ///
    /// Concurrent requests fail together, so a pause that is still running is not extended.
    pub fn record_unreachable(&mut self, now: TimeUs) {
        self.record_failure(now);
        if now < self.paused_until {
            return;
        }
        let doubled = self.pause.saturating_add(self.pause);
        self.pause = doubled.clamp(PAUSE_INITIAL, PAUSE_MAX);
        self.paused_until = now + self.pause;
    }

    /// Share of recent requests that failed, from 0 to 1; recent outcomes count more.
    pub fn failure_rate(&self, now: TimeUs) -> f64 {
        let factor = decay_factor(now.since(self.updated_at));
        self.failed_weight * factor / (self.total_weight * factor + PRIOR_WEIGHT)
    }

    /// Whether the server currently gets no requests.
    pub fn is_paused(&self, now: TimeUs) -> bool {
        now < self.paused_until
    }

    /// End of the current or last pause; zero if the server has responded since.
    pub fn paused_until(&self) -> TimeUs {
        self.paused_until
    }

    fn decay(&mut self, now: TimeUs) {
        let factor = decay_factor(now.since(self.updated_at));
        self.failed_weight *= factor;
        self.total_weight *= factor;
        self.updated_at = self.updated_at.max(now);
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "durations are far below 2^52 us"
)]
fn decay_factor(age: DurationUs) -> f64 {
    0.5_f64.powf(age.0 as f64 / FAILURE_HALF_LIFE.0 as f64)
}
