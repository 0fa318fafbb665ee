//! Metrics, readiness and the status page.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use cuminlead_direct_core::{Outcome, RefusalReason};
use cuminlead_process::admin::AdminSource;
use cuminlead_telemetry::metrics::{Counters, Latencies, RowCounters, start_at_zero};
use cuminlead_telemetry::{Label, Metrics};
use cuminlead_types::{DurationUs, EntryId};
use http::StatusCode;
use serde_json::json;
use strum::IntoEnumIterator;

const US_PER_SECOND: f64 = 1_000_000.0;

/// Outcomes of requests beside the reasons of refusals.
const ANSWERS: [&str; 3] = ["answered", "failed", "streaming"];
/// Ends of relayed streams.
const STREAM_ENDS: [&str; 4] = ["whole", "lost", "timed_out", "caller_gone"];
/// Statuses of answers without a server.
const STATUSES: [&str; 7] = ["400", "404", "408", "413", "502", "503", "504"];
/// Steps that may fail at a server.
const STEPS: [&str; 4] = ["reserve", "prefill", "run", "stream"];

/// Labels of a failed step.
fn failure_row(step: &'static str, outcome: Outcome) -> [(&'static str, &'static str); 3] {
    [
        ("step", step),
        ("outcome", outcome.into()),
        ("kind", "direct"),
    ]
}

/// Metrics of an entry that calls backend servers itself.
#[derive(Clone, Debug)]
pub struct DirectMetrics {
    requests: Counters,
    streams: Counters,
    statuses: Counters,
    step_failures: RowCounters,
    latencies: Latencies,
    /// Connections opened to backend servers.
    pub channels_opened: prometheus_client::metrics::counter::Counter,
    /// Connections of callers that were closed because too many are open.
    pub connections_refused: prometheus_client::metrics::counter::Counter,
    /// Unusable entries of the registry.
    pub unusable_entries: prometheus_client::metrics::counter::Counter,
}

impl DirectMetrics {
    /// Registers the metrics.
    pub fn new(metrics: &mut Metrics) -> Self {
        let direct = Self {
            requests: metrics.counters("direct_requests", "Requests by outcome"),
            streams: metrics.counters("direct_streams", "Relayed streams by how they ended"),
            statuses: metrics.counters("direct_refusals", "Answers without a server, by status"),
            step_failures: metrics.row_counters(
                "direct_step_failures",
                "Failed prefills and runs by outcome",
            ),
            latencies: metrics.latencies(
                "direct_latency_seconds",
                "Time until the answer, or until the first event and the end of a stream",
            ),
            channels_opened: metrics.counter(
                "direct_channels_opened",
                "Connections opened to backend servers",
            ),
            connections_refused: metrics.counter(
                "direct_connections_refused",
                "Connections of callers closed because too many are open",
            ),
            unusable_entries: metrics.counter(
                "direct_unusable_entries",
                "Entries of the registry that were left out",
            ),
        };
        direct.start_at_zero();
        direct
    }

    /// Creates all series, so that each of them is there from the start.
    fn start_at_zero(&self) {
        start_at_zero(&self.requests, "outcome", &ANSWERS);
        let reasons: Vec<&'static str> = RefusalReason::iter().map(Into::into).collect();
        start_at_zero(&self.requests, "outcome", &reasons);
        start_at_zero(&self.streams, "end", &STREAM_ENDS);
        start_at_zero(&self.statuses, "status", &STATUSES);
        for step in STEPS {
            for outcome in Outcome::iter() {
                drop(
                    self.step_failures
                        .get_or_create(&failure_row(step, outcome)),
                );
            }
        }
        for kind in ["answer", "stream", "gap"] {
            drop(self.latencies.get_or_create(&Label::new("kind", kind)));
        }
    }

    /// Counts a request whose answer, or the first part of it, is known.
    pub fn count_request(&self, outcome: &'static str, took: DurationUs) {
        self.requests
            .get_or_create(&Label::new("outcome", outcome))
            .inc();
        self.observe("answer", took);
    }

    /// Counts a relayed stream with its longest pause between two parts.
    pub fn count_stream(&self, end: &'static str, took: DurationUs, gap_max: DurationUs) {
        self.streams.get_or_create(&Label::new("end", end)).inc();
        self.observe("stream", took);
        self.observe("gap", gap_max);
    }

    /// Counts a failed prefill or run.
    pub fn count_step_failure(&self, step: &'static str, outcome: Outcome) {
        let row = failure_row(step, outcome);
        self.step_failures.get_or_create(&row).inc();
    }

    /// Counts an answer without a server.
    pub fn count_status(&self, status: StatusCode) {
        let label = Label::new("status", status.as_str());
        self.statuses.get_or_create(&label).inc();
    }

    #[allow(
        clippy::cast_precision_loss,
        reason = "durations are far below 2^52 us"
    )]
    fn observe(&self, kind: &'static str, took: DurationUs) {
        let latency = self.latencies.get_or_create(&Label::new("kind", kind));
        latency.observe(took.0 as f64 / US_PER_SECOND);
    }
}

/// What other threads may read of the traffic thread.
#[derive(Debug, Default)]
pub struct SharedStatus {
    /// Whether the configuration and the servers have been read.
    pub is_synced: AtomicBool,
    /// Whether the process was asked to stop.
    pub is_stopping: AtomicBool,
    /// Version of the configuration in force.
    pub config_version: AtomicU64,
    /// Known backend servers.
    pub servers_count: AtomicU32,
    /// Open connections of callers.
    pub connections_count: AtomicU32,
}

/// Source of the admin address.
#[derive(Debug)]
pub struct DirectAdmin {
    /// Name of the process.
    pub name: EntryId,
    /// Metrics.
    pub metrics: Metrics,
    /// State of the traffic thread.
    pub status: Arc<SharedStatus>,
}

impl AdminSource for DirectAdmin {
    fn metrics(&self) -> String {
        self.metrics.encode().unwrap_or_default()
    }

    fn is_ready(&self) -> bool {
        self.status.is_synced.load(Ordering::Relaxed)
            && !self.status.is_stopping.load(Ordering::Relaxed)
    }

    fn status(&self) -> String {
        json!({
            "name": self.name.to_string(),
            "ready": self.is_ready(),
            "stopping": self.status.is_stopping.load(Ordering::Relaxed),
            "config_version": self.status.config_version.load(Ordering::Relaxed),
            "connections": self.status.connections_count.load(Ordering::Relaxed),
            "servers": self.status.servers_count.load(Ordering::Relaxed),
        })
        .to_string()
    }
}
