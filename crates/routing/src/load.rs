//! Load estimate of one server: its last load report plus the decisions that this entry made since.
//!
//! Load reports arrive only with replies and lag behind the load of the server. A decision counts
//! on top of the last report until a newer report can include it. If no report arrives, it is
//! dropped after [`RoutingConfig::decision_hold_us`].

use std::collections::VecDeque;

use cuminlead_protocol::LoadReport;
use cuminlead_types::{DurationUs, KvPieces, TimeUs, Tokens};

use crate::config::RoutingConfig;
use crate::mean_load::MeanLoad;

/// What a decision adds to the load of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Prompt tokens to compute.
    pub prompt_tokens: Tokens,
    /// Requests that take a place.
    pub slots: u32,
    /// KV pieces.
    pub pieces: KvPieces,
}

#[derive(Clone, Copy, Debug)]
struct Decided {
    at: TimeUs,
    demand: Demand,
}

/// Load of one server as the entry knows it.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    report: LoadReport,
    reported_at: Option<TimeUs>,
    failed_at: Option<TimeUs>,
    decided: VecDeque<Decided>,
    sum: Demand,
}

impl ServerLoad {
    /// Last report, or an empty one.
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Demand of the decisions that the report does not include.
    pub fn own_demand(&self) -> Demand {
        self.sum
    }

    /// Adds a decision.
    pub fn decide(&mut self, now: TimeUs, demand: Demand, config: &RoutingConfig) {
        self.forget_before(now - config.decision_hold_us);
        self.decided.push_back(Decided { at: now, demand });
        self.sum.prompt_tokens += demand.prompt_tokens;
        self.sum.slots += demand.slots;
        self.sum.pieces += demand.pieces;
    }

    /// Takes a report, which includes the decisions that are older than the lag.
    pub fn observe(&mut self, now: TimeUs, report: LoadReport, config: &RoutingConfig) {
        self.report = report;
        self.reported_at = Some(now);
        self.forget_before(now - config.report_lag_us);
    }

    /// Drops the oldest decision, whose call has ended.
    pub fn finish_one(&mut self, now: TimeUs, is_ok: bool) {
        self.failed_at = (!is_ok).then_some(now);
        if let Some(decided) = self.decided.pop_front() {
            self.subtract(decided.demand);
        }
    }

    /// Time until the server has computed the prompts that wait.
    pub fn prefill_wait(&self, now: TimeUs, mean: &MeanLoad, config: &RoutingConfig) -> DurationUs {
        let own = config.prefill_rate.time_for(self.sum.prompt_tokens);
        let reported = match self.report_age(now, config) {
            Some(age) => config
                .prefill_rate
                .time_for(self.report.pending_prompt_tokens)
                .saturating_sub(age),
            None => mean.prefill_wait(now, config),
        };
        own.saturating_add(reported)
            .saturating_add(self.failure_cost(now, config))
    }

    /// Time until the server has a place for a decode of this size.
    pub fn decode_wait(
        &self,
        now: TimeUs,
        pieces: KvPieces,
        mean: &MeanLoad,
        config: &RoutingConfig,
    ) -> DurationUs {
        let reported = match self.report_age(now, config) {
            Some(_) => {
                let running = u64::from(self.report.running_count);
                let batch = times(config.decode_slot_cost_us, running);
                batch.saturating_add(self.queue_wait(pieces, config))
            }
            None => mean.decode_wait(now, config),
        };
        times(config.decode_slot_cost_us, u64::from(self.sum.slots))
            .saturating_add(reported)
            .saturating_add(self.failure_cost(now, config))
    }

    /// Requests that the server has.
    pub fn requests(&self, now: TimeUs, mean: &MeanLoad, config: &RoutingConfig) -> u64 {
        let reported = match self.report_age(now, config) {
            Some(_) => u64::from(self.report.running_count) + u64::from(self.report.queued_count),
            None => mean.requests(now, config),
        };
        reported + u64::from(self.sum.slots)
    }

    /// Time until a place is free, by the report and the own decisions since.
    fn queue_wait(&self, pieces: KvPieces, config: &RoutingConfig) -> DurationUs {
        let has_slot = self.report.free_slots.get() > self.sum.slots;
        let has_pieces = self.report.free_pieces >= self.sum.pieces.saturating_add(pieces);
        if has_slot && has_pieces && self.report.queued_count == 0 {
            return DurationUs::ZERO;
        }
        let ahead = u64::from(self.report.queued_count) + u64::from(self.sum.slots);
        times(config.decode_turn_us, ahead + 1)
    }

    /// Cost of a server whose last call has failed lately.
    fn failure_cost(&self, now: TimeUs, config: &RoutingConfig) -> DurationUs {
        let failed_lately = self
            .failed_at
            .is_some_and(|at| now.since(at) < config.report_valid_us);
        if failed_lately {
            config.failure_cost_us
        } else {
            DurationUs::ZERO
        }
    }

    fn report_age(&self, now: TimeUs, config: &RoutingConfig) -> Option<DurationUs> {
        self.reported_at
            .map(|at| now.since(at))
            .filter(|age| *age < config.report_valid_us)
    }

    fn forget_before(&mut self, time: TimeUs) {
        while let Some(decided) = self.decided.front().copied()
            && decided.at < time
        {
            self.decided.pop_front();
            self.subtract(decided.demand);
        }
    }

    fn subtract(&mut self, demand: Demand) {
        self.sum.prompt_tokens -= demand.prompt_tokens;
        self.sum.slots -= demand.slots;
        self.sum.pieces -= demand.pieces;
    }
}

fn times(duration: DurationUs, count: u64) -> DurationUs {
    DurationUs(duration.get().saturating_mul(count))
}
