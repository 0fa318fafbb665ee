//! Mean load of a group of servers, used as the estimate for a server with a stale load report.
//!
//! Load reports arrive only with replies, so an entry of a large fleet has no recent report of most
//! servers. A fixed estimate is wrong at some load: if it is above the load of the other servers, a
//! server without a report gets no requests and therefore never reports; if it is below while the
//! other servers are nearly full, the server gets too many requests.

use cuminlead_protocol::LoadReport;
use cuminlead_types::{DurationUs, TimeUs, Tokens};

use crate::config::RoutingConfig;

/// Reports over which the mean reaches back.
const MEAN_REPORTS: u64 = 16;
/// Steps of a mean between two whole numbers.
const SCALE: u64 = 256;

/// Moving mean with a fixed point.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    scaled: u64,
}

impl Mean {
    fn add(&mut self, value: u64, is_first: bool) {
        let scaled = value.saturating_mul(SCALE);
        self.scaled = if is_first {
            scaled
        } else {
            (self.scaled.saturating_mul(MEAN_REPORTS - 1)).saturating_add(scaled) / MEAN_REPORTS
        };
    }

    fn times(self, duration: DurationUs) -> DurationUs {
        DurationUs(duration.get().saturating_mul(self.scaled) / SCALE)
    }

    fn rounded(self) -> u64 {
        (self.scaled + SCALE / 2) / SCALE
    }
}

/// Mean load that the servers of a group lately reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanLoad {
    reported_at: Option<TimeUs>,
    running: Mean,
    queued: Mean,
    pending_prompt_tokens: Mean,
}

impl MeanLoad {
    /// Takes the report of any server of the group.
    pub fn observe(&mut self, now: TimeUs, report: &LoadReport, config: &RoutingConfig) {
        let is_first = !self.is_valid(now, config);
        self.running.add(u64::from(report.running_count), is_first);
        self.queued.add(u64::from(report.queued_count), is_first);
        self.pending_prompt_tokens
            .add(report.pending_prompt_tokens.get(), is_first);
        self.reported_at = Some(now);
    }

    /// Time until a server has computed the prompts that wait.
    pub fn prefill_wait(&self, now: TimeUs, config: &RoutingConfig) -> DurationUs {
        if !self.is_valid(now, config) {
            return config.unknown_load_us;
        }
        let tokens = Tokens(self.pending_prompt_tokens.rounded());
        config.prefill_rate.time_for(tokens)
    }

    /// Time until a server has a place for a decode, with the cost of its batch.
    pub fn decode_wait(&self, now: TimeUs, config: &RoutingConfig) -> DurationUs {
        if !self.is_valid(now, config) {
            return config.unknown_load_us;
        }
        let batch = self.running.times(config.decode_slot_cost_us);
        batch.saturating_add(self.queued.times(config.decode_turn_us))
    }

    /// Requests that a server has.
    pub fn requests(&self, now: TimeUs, config: &RoutingConfig) -> u64 {
        if !self.is_valid(now, config) {
            return 0;
        }
        self.running.rounded() + self.queued.rounded()
    }

    fn is_valid(&self, now: TimeUs, config: &RoutingConfig) -> bool {
        self.reported_at
            .is_some_and(|at| now.since(at) < config.report_valid_us)
    }
}
