//! Mean load of a group of servers, used as the estimate for a server with a stale load
//! report.
//!
//! Load reports arrive only with replies, so an entry of a large fleet has no recent report of most
//! servers. A fixed estimate is wrong at some load: if it is above the load of the other servers, a
//! server without a report gets no requests and therefore never reports; if it is below while the
//! other servers are nearly full, the server gets too many requests.

use cuminlead_protocol::LoadReport;
use cuminlead_types::{DurationUs, TimeUs, Tokens};

use crate::config::RoutingConfig;

/// Number of reports that the moving mean covers: a new report has a weight of 1/16.
const MEAN_REPORTS: u64 = 16;
/// Fixed-point units in one whole number.
const FIXED_POINT_SCALE: u64 = 256;

/// Exponential moving mean in fixed-point arithmetic.
#[derive(Clone, Copy, Debug, Default)]
struct MovingMean {
    scaled: u64,
}

impl MovingMean {
    fn add(&mut self, value: u64, is_first: bool) {
        let scaled = value.saturating_mul(FIXED_POINT_SCALE);
        self.scaled = if is_first {
            scaled
        } else {
            (self.scaled.saturating_mul(MEAN_REPORTS - 1)).saturating_add(scaled) / MEAN_REPORTS
        };
    }

    fn multiply(self, duration: DurationUs) -> DurationUs {
        DurationUs(duration.get().saturating_mul(self.scaled) / FIXED_POINT_SCALE)
    }

    fn rounded(self) -> u64 {
        (self.scaled + FIXED_POINT_SCALE / 2) / FIXED_POINT_SCALE
    }
}

/// Mean load that the servers of one group recently reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanLoad {
    reported_at: Option<TimeUs>,
    running: MovingMean,
    queued: MovingMean,
    pending_prompt_tokens: MovingMean,
}

impl MeanLoad {
    /// Records the load report of any server of the group. If the previous report is stale, the
    /// mean starts again from this one.
    pub fn observe(&mut self, now: TimeUs, report: &LoadReport, config: &RoutingConfig) {
        let is_first = !self.has_recent_report(now, config);
        self.running.add(u64::from(report.running_count), is_first);
        self.queued.add(u64::from(report.queued_count), is_first);
        self.pending_prompt_tokens
            .add(report.pending_prompt_tokens.get(), is_first);
        self.reported_at = Some(now);
    }

    /// Estimated time until a server of the group has computed all queued prompts.
    pub fn prefill_wait(&self, now: TimeUs, config: &RoutingConfig) -> DurationUs {
        if !self.has_recent_report(now, config) {
            return config.unknown_load_cost_us;
        }
        let tokens = Tokens(self.pending_prompt_tokens.rounded());
        config.prefill_rate.time_for(tokens)
    }

    /// Estimated time until a server of the group has a free decode slot, plus the cost of the
    /// requests in its batch.
    pub fn decode_wait(&self, now: TimeUs, config: &RoutingConfig) -> DurationUs {
        if !self.has_recent_report(now, config) {
            return config.unknown_load_cost_us;
        }
        let batch = self.running.multiply(config.decode_request_cost_us);
        batch.saturating_add(self.queued.multiply(config.decode_departure_interval_us))
    }

    /// Mean number of running and queued requests of a server of the group; zero if all
    /// reports are stale.
    pub fn request_count(&self, now: TimeUs, config: &RoutingConfig) -> u64 {
        if !self.has_recent_report(now, config) {
            return 0;
        }
        self.running.rounded() + self.queued.rounded()
    }

    fn has_recent_report(&self, now: TimeUs, config: &RoutingConfig) -> bool {
        self.reported_at
            .is_some_and(|at| now.since(at) < config.report_max_age_us)
    }
}
