//! Which requests a plain service runs while callers send more than it can.
//!
//! Designed for bursts of a few seconds in which a third of the requests and more are too many. Servers
//! queue requests for about as long as the latency target before they reject any, so without a
//! decision before them nearly all responses are a little late, and callers that were rejected come
//! back late and take the place of those that could be on time.
//!
//! - A request is refused at once when recent responses show that it would probably be late: with a
//!   probability that rises from 0 at a share of the latency target ([`OverloadConfig::shed_at_percent`])
//!   to 1 at [`SHED_ALL_PERCENT`] of it. The queues at the servers stay shorter, so those that are sent
//!   are on time.
//! - A late request waits while the service is overloaded, as long as its deadline allows it, and does
//!   not take the place of one that is on time.
//!
//! Each entry decides by the latencies and rejections that it has seen itself: in an overload it sees
//! tens of them in a second. Alternatives: limits on requests in flight for each server, of which 30
//! entries before 6 servers with 30 places would have one each; rejections alone, which begin when the
//! queues are full; and a queue for all entries, for which plain services have no process.

use std::collections::HashMap;

use cuminlead_types::{DurationUs, ServiceName, TimeUs};
use rand::{Rng, RngExt};

/// Share of the latency target, in percent, at which all requests would be refused. A service that
/// can run half of what is sent then settles half-way between it and where refusals begin.
const SHED_ALL_PERCENT: u64 = 125;
/// Weight of one response in the mean latency: that of the last six or seven, about 300 ms of one
/// entry's requests in an overload.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Time in which a mean latency without new responses halves. Queues drain while less is sent.
const HALF_LIFE: DurationUs = DurationUs::from_ms(300);
/// Time after a rejection within which a service counts as overloaded.
const REJECTION_PERIOD: DurationUs = DurationUs::from_ms(250);
/// Pause between two looks at whether the overload is over.
pub(crate) const WAIT_INTERVAL: DurationUs = DurationUs::from_ms(100);
/// Time before the deadline, in latency targets, at which a late request is sent in any case: for the
/// queue of a full server and the run itself.
const RUN_TARGETS: u64 = 2;

/// Settings of the decisions under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OverloadConfig {
    /// Share of the latency target, in percent, at which requests begin to be refused; 0 for never.
    pub shed_at_percent: u32,
    /// Longest time that a late request waits.
    pub late_wait_max: DurationUs,
}

/// Request for a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlainRequest {
    /// When the process received it.
    pub arrived_at: TimeUs,
    /// When its caller gives up.
    pub deadline: TimeUs,
    /// Time within which the response is of full use.
    pub latency_target: DurationUs,
    /// Whether the latency target has passed, because the caller comes back after a refusal.
    pub is_late: bool,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadDecision {
    /// It is sent.
    Send,
    /// It waits until the overload is over.
    Wait,
    /// It is refused, because it would probably be late.
    Refuse,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLoad {
    mean_latency_us: f64,
    observed_at: TimeUs,
    rejected_at: Option<TimeUs>,
}

impl ServiceLoad {
    #[allow(
        clippy::cast_precision_loss,
        reason = "durations are far below 2^52 us"
    )]
    fn latency_us(&self, now: TimeUs) -> f64 {
        let age = now.since(self.observed_at);
        self.mean_latency_us * 0.5_f64.powf(age.0 as f64 / HALF_LIFE.0 as f64)
    }

    #[allow(
        clippy::cast_precision_loss,
        reason = "durations are far below 2^52 us"
    )]
    fn observe(&mut self, now: TimeUs, latency: DurationUs) {
        // The mean falls while nothing is observed, so that the first response after a pause counts
        // more.
        let mean_us = self.latency_us(now);
        self.mean_latency_us = mean_us + (latency.0 as f64 - mean_us) * SAMPLE_WEIGHT;
        self.observed_at = now;
    }

    fn was_rejected(&self, now: TimeUs) -> bool {
        self.rejected_at
            .is_some_and(|at| now.since(at) < REJECTION_PERIOD)
    }
}

/// Load of plain services, as this process sees it.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoads {
    services: HashMap<ServiceName, ServiceLoad>,
}

impl ServiceLoads {
    /// Records the time from the sending of a request to its complete response.
    pub fn record_response(&mut self, now: TimeUs, service: &ServiceName, latency: DurationUs) {
        let load = self.services.entry(service.clone()).or_default();
        load.observe(now, latency);
    }

    /// Records that a server rejected a request that could still be on time. Its queue takes about as
    /// long as the latency target.
    pub fn record_rejection(
        &mut self,
        now: TimeUs,
        service: &ServiceName,
        latency_target: DurationUs,
    ) {
        let load = self.services.entry(service.clone()).or_default();
        load.observe(now, latency_target);
        load.rejected_at = Some(now);
    }

    /// Decides on a request.
    #[allow(
        clippy::cast_precision_loss,
        reason = "durations are far below 2^52 us"
    )]
    pub fn decide(
        &self,
        now: TimeUs,
        service: &ServiceName,
        request: PlainRequest,
        config: OverloadConfig,
        rng: &mut dyn Rng,
    ) -> OverloadDecision {
        let Some(load) = self.services.get(service) else {
            return OverloadDecision::Send;
        };
        let share_percent = load.latency_us(now) * 100.0 / request.latency_target.0.max(1) as f64;
        let shed_at = f64::from(config.shed_at_percent);
        let is_shedding = config.shed_at_percent > 0 && share_percent > shed_at;
        if request.is_late {
            let must_wait = (is_shedding || load.was_rejected(now))
                && may_wait(now, request, config.late_wait_max);
            return if must_wait {
                OverloadDecision::Wait
            } else {
                OverloadDecision::Send
            };
        }
        let excess = (share_percent - shed_at) / (SHED_ALL_PERCENT as f64 - shed_at).max(1.0);
        if is_shedding && rng.random_range(0.0..1.0) < excess {
            OverloadDecision::Refuse
        } else {
            OverloadDecision::Send
        }
    }
}

/// Whether a late request can wait and still be run before its deadline.
fn may_wait(now: TimeUs, request: PlainRequest, wait_max: DurationUs) -> bool {
    let run_time = DurationUs(request.latency_target.0.saturating_mul(RUN_TARGETS));
    let is_time_left = request.deadline.since(now) > run_time.saturating_add(WAIT_INTERVAL);
    is_time_left && now.since(request.arrived_at) < wait_max
}
