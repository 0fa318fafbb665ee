//! Metrics and the status page of an agent.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use cuminlead_admission::ReleaseCause;
use cuminlead_agent_core::AgentRecord;
use cuminlead_orders::OrderReport;
use cuminlead_process::admin::AdminSource;
use cuminlead_process::feed::FeedView;
use cuminlead_protocol::{LoadReport, RefusalReason};
use cuminlead_telemetry::metrics::{Counters, start_at_zero};
use cuminlead_telemetry::{CommonMetrics, Label, Metrics};
use cuminlead_types::{BackendServerId, Incarnation, Revision};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use serde_json::json;
use strum::IntoEnumIterator;

use crate::controller::AgentFlags;

/// Metrics of an agent.
#[derive(Clone, Debug)]
pub struct AgentMetrics {
    /// Metrics that entries and agents share.
    pub common: CommonMetrics,
    refusals: Counters,
    leases_held: Gauge,
    requests_queued: Gauge,
    free_slots: Gauge,
    free_kv_pieces: Gauge,
    releases: Counters,
    wasted_prefill_tokens: Counters,
    unknown_sequences: Counter,
    suspected_sequences: Counter,
    permits: Counters,
    order_failures: Counters,
}

impl AgentMetrics {
    /// Registers the metrics of an agent and exports known labels with the value 0.
    pub fn new(metrics: &mut Metrics) -> Self {
        let agent = Self {
            common: metrics.common.clone(),
            leases_held: metrics.gauge("leases_held", "Leases and application calls held"),
            requests_queued: metrics.gauge("requests_queued", "Requests that wait for a place"),
            free_slots: metrics.gauge("free_slots", "Free places in the engine's batch"),
            free_kv_pieces: metrics.gauge("free_kv_pieces", "Free pieces of engine memory"),
            refusals: metrics.counters("refusals", "Refused messages by reason"),
            releases: metrics.counters("leases_released", "Released attempts by cause"),
            wasted_prefill_tokens: metrics.counters(
                "wasted_prefill_tokens",
                "Prompt tokens computed and not used by a decode, by cause",
            ),
            unknown_sequences: metrics.counter(
                "unknown_sequences",
                "Engine sequences that the agent did not know",
            ),
            suspected_sequences: metrics.counter(
                "suspected_sequences",
                "Sequences that may have crashed the engine",
            ),
            permits: metrics.counters("permits", "Permits by what became of them"),
            order_failures: metrics.counters(
                "order_failures",
                "Engine orders that had no effect, by cause",
            ),
        };
        agent.start_at_zero();
        agent
    }

    fn start_at_zero(&self) {
        start_at_zero(&self.refusals, "reason", &names::<RefusalReason>());
        for counters in [&self.releases, &self.wasted_prefill_tokens] {
            start_at_zero(counters, "cause", &names::<ReleaseCause>());
        }
        start_at_zero(&self.permits, "outcome", &["voided", "started"]);
        start_at_zero(&self.order_failures, "cause", &["fenced_out", "failed"]);
    }

    /// Sets the gauges of leases, queued requests, free decode slots and free KV pieces.
    pub fn set_load(&self, load: &LoadReport) {
        self.leases_held.set(load.running_count.into());
        self.requests_queued.set(load.queued_count.into());
        self.free_slots.set(load.free_slots.0.into());
        self.free_kv_pieces.set(load.free_pieces.0.into());
    }

    /// Counts a decision that the agent recorded.
    pub fn count(&self, record: &AgentRecord) {
        match record {
            AgentRecord::Refused { reason, .. } => {
                inc(&self.refusals, "reason", &reason.to_string(), 1);
            }
            AgentRecord::Released {
                cause,
                wasted_prefill_tokens,
                ..
            } => {
                inc(&self.releases, "cause", &cause.to_string(), 1);
                if wasted_prefill_tokens.0 > 0 {
                    let wasted = &self.wasted_prefill_tokens;
                    inc(wasted, "cause", &cause.to_string(), wasted_prefill_tokens.0);
                }
            }
            AgentRecord::EngineCrashed { .. } => {
                self.suspected_sequences.inc();
            }
            AgentRecord::UnknownSequence { .. } => {
                self.unknown_sequences.inc();
            }
            AgentRecord::PermitVoided { .. } => inc(&self.permits, "outcome", "voided", 1),
            AgentRecord::PermitStarted { .. } => inc(&self.permits, "outcome", "started", 1),
            AgentRecord::Order(OrderReport::FencedOut { .. }) => {
                inc(&self.order_failures, "cause", "fenced_out", 1);
            }
            AgentRecord::Order(OrderReport::Failed { .. }) => {
                inc(&self.order_failures, "cause", "failed", 1);
            }
        }
    }

    /// Sets the revision in effect of `list`, which is `lists` or `hosts`.
    pub fn set_revision(&self, list: &str, revision: Revision) {
        let value = i64::try_from(revision.0).unwrap_or(i64::MAX);
        self.common
            .revision
            .get_or_create(&Label::new("list", list))
            .set(value);
    }
}

/// Label values of all variants.
fn names<T: IntoEnumIterator + Into<&'static str>>() -> Vec<&'static str> {
    T::iter().map(Into::into).collect()
}

fn inc(counters: &Counters, label: &'static str, value: &str, amount: u64) {
    counters
        .get_or_create(&Label::new(label, value))
        .inc_by(amount);
}

/// Data that the admin address of an agent serves.
#[derive(Debug)]
pub struct AgentAdmin {
    /// Backend server beside the agent.
    pub server: BackendServerId,
    /// Incarnation of the agent: one start of the process.
    pub incarnation: Incarnation,
    /// Metrics registry of this process.
    pub metrics: Metrics,
    /// Readiness and draining, written by the control thread.
    pub flags: Arc<AgentFlags>,
    /// Lists and hosts in effect, written by the control thread.
    pub view: Arc<ArcSwap<FeedView>>,
}

impl AdminSource for AgentAdmin {
    fn metrics(&self) -> String {
        self.metrics.encode().unwrap_or_default()
    }

    fn is_ready(&self) -> bool {
        self.flags.is_ready.load(Ordering::Relaxed)
            && !self.flags.is_draining.load(Ordering::Relaxed)
    }

    fn status(&self) -> String {
        let view = self.view.load();
        json!({
            "process": "agent",
            "server": self.server.to_string(),
            "incarnation": self.incarnation.0,
            "ready": self.is_ready(),
            "reader": view.is_reader,
            "draining": self.flags.is_draining.load(Ordering::Relaxed),
            "lists_revision": view.lists.revision.0,
            "hosts_revision": view.hosts.revision.0,
        })
        .to_string()
    }
}
