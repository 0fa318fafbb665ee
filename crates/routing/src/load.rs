//! Load estimate of one server: its last load report plus the decisions that this entry made since.
//!
//! Load reports arrive only with replies and lag behind the load of the server. A decision counts
//! on top of the last report until a newer report can include it. If no report arrives, it is
//! dropped after [`RoutingConfig::decision_retention_us`].

use std::collections::VecDeque;

use cuminlead_protocol::LoadReport;
use cuminlead_types::{DurationUs, KvPieces, TimeUs, Tokens};

use crate::config::RoutingConfig;
use crate::mean_load::MeanLoad;

/// Load that a decision adds to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Prompt tokens to compute.
    pub prompt_tokens: Tokens,
    /// Decode requests, or calls of a service.
    pub slots: u32,
    /// KV memory of the decode, in KV pieces.
    pub pieces: KvPieces,
}

#[derive(Clone, Copy, Debug)]
struct RecordedDecision {
    at: TimeUs,
    demand: Demand,
}

/// Load of one server in the local view of the entry.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    report: LoadReport,
    reported_at: Option<TimeUs>,
    failed_at: Option<TimeUs>,
    decisions: VecDeque<RecordedDecision>,
    decided_demand: Demand,
}

impl ServerLoad {
    /// Last load report, even if it is stale; empty before the first one.
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Demand of the decisions that the last report does not include.
    pub fn decided_demand(&self) -> Demand {
        self.decided_demand
    }

    /// Records a decision for this server.
    pub fn add_decision(&mut self, now: TimeUs, demand: Demand, config: &RoutingConfig) {
        self.drop_decisions_before(now - config.decision_retention_us);
        self.decisions
            .push_back(RecordedDecision { at: now, demand });
        self.decided_demand.prompt_tokens += demand.prompt_tokens;
        self.decided_demand.slots += demand.slots;
        self.decided_demand.pieces += demand.pieces;
    }

    /// Records a load report and drops the decisions older than the report lag, which the report
    /// includes.
    pub fn observe(&mut self, now: TimeUs, report: LoadReport, config: &RoutingConfig) {
        self.report = report;
        self.reported_at = Some(now);
        self.drop_decisions_before(now - config.report_lag_us);
    }

    /// Drops the oldest decision after a call has ended; `is_ok` is false if the call failed.
    pub fn finish_oldest(&mut self, now: TimeUs, is_ok: bool) {
        self.failed_at = (!is_ok).then_some(now);
        if let Some(decision) = self.decisions.pop_front() {
            self.subtract(decision.demand);
        }
    }

    /// Estimated time until the server has computed all queued prompts.
    pub fn prefill_wait(&self, now: TimeUs, mean: &MeanLoad, config: &RoutingConfig) -> DurationUs {
        let own = config
            .prefill_rate
            .time_for(self.decided_demand.prompt_tokens);
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

    /// Estimated time until the server has a decode slot and KV memory for a request of this size,
    /// plus the cost of the requests in its batch.
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
                let batch = multiply(config.decode_request_cost_us, running);
                batch.saturating_add(self.queue_wait(pieces, config))
            }
            None => mean.decode_wait(now, config),
        };
        multiply(
            config.decode_request_cost_us,
            u64::from(self.decided_demand.slots),
        )
        .saturating_add(reported)
        .saturating_add(self.failure_cost(now, config))
    }

    /// Estimated number of running and queued requests.
    pub fn request_count(&self, now: TimeUs, mean: &MeanLoad, config: &RoutingConfig) -> u64 {
        let reported = match self.report_age(now, config) {
            Some(_) => u64::from(self.report.running_count) + u64::from(self.report.queued_count),
            None => mean.request_count(now, config),
        };
        reported + u64::from(self.decided_demand.slots)
    }

    /// Time until a decode slot and KV memory are free, from the last report and the decisions
    /// since.
    fn queue_wait(&self, pieces: KvPieces, config: &RoutingConfig) -> DurationUs {
        let has_slot = self.report.free_slots.get() > self.decided_demand.slots;
        let has_pieces =
            self.report.free_pieces >= self.decided_demand.pieces.saturating_add(pieces);
        if has_slot && has_pieces && self.report.queued_count == 0 {
            return DurationUs::ZERO;
        }
        let ahead = u64::from(self.report.queued_count) + u64::from(self.decided_demand.slots);
        multiply(config.decode_departure_interval_us, ahead + 1)
    }

    /// Cost of the server if its last call failed recently.
    fn failure_cost(&self, now: TimeUs, config: &RoutingConfig) -> DurationUs {
        let has_recent_failure = self
            .failed_at
            .is_some_and(|at| now.since(at) < config.report_max_age_us);
        if has_recent_failure {
            config.failure_cost_us
        } else {
            DurationUs::ZERO
        }
    }

    fn report_age(&self, now: TimeUs, config: &RoutingConfig) -> Option<DurationUs> {
        self.reported_at
            .map(|at| now.since(at))
            .filter(|age| *age < config.report_max_age_us)
    }

    fn drop_decisions_before(&mut self, time: TimeUs) {
        while let Some(decision) = self.decisions.front().copied()
            && decision.at < time
        {
            self.decisions.pop_front();
            self.subtract(decision.demand);
        }
    }

    fn subtract(&mut self, demand: Demand) {
        self.decided_demand.prompt_tokens -= demand.prompt_tokens;
        self.decided_demand.slots -= demand.slots;
        self.decided_demand.pieces -= demand.pieces;
    }
}

fn multiply(duration: DurationUs, count: u64) -> DurationUs {
    DurationUs(duration.get().saturating_mul(count))
}
