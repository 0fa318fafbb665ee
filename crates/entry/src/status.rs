//! Metrics and the status page of an entry.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use cuminlead_entry_core::ErrorCode;
use cuminlead_process::admin::AdminSource;
use cuminlead_process::feed::FeedView;
use cuminlead_retry::Evidence;
use cuminlead_routing::LinkUse;
use cuminlead_telemetry::metrics::{Counters, Gauges, Latencies};
use cuminlead_telemetry::{CommonMetrics, Label, Metrics};
use cuminlead_types::{DurationUs, EntryId, Revision, Tokens};
use serde_json::json;

use crate::controller::EntryFlags;

const US_PER_SECOND: f64 = 1_000_000.0;

/// Metrics of an entry.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Metrics that both processes have.
    pub common: CommonMetrics,
    requests: Counters,
    errors: Counters,
    retries: Counters,
    wasted_prefill_tokens: Counters,
    latencies: Latencies,
    link_bytes: Gauges,
}

impl EntryMetrics {
    /// Registers the metrics of an entry.
    pub fn new(metrics: &mut Metrics) -> Self {
        Self {
            common: metrics.common.clone(),
            requests: metrics.counters(
                "requests",
                "Completed requests by whether both latency targets were met",
            ),
            errors: metrics.counters("errors", "Requests that ended with an error, by code"),
            retries: metrics.counters("retries", "Retries by the evidence that led to them"),
            wasted_prefill_tokens: metrics.counters(
                "wasted_prefill_tokens",
                "Prompt tokens computed and then discarded, by cause",
            ),
            latencies: metrics.latencies(
                "latency_seconds",
                "Time to first token and mean time between tokens",
            ),
            link_bytes: metrics.gauges("link_bytes", "Bytes over the paid link by direction"),
        }
    }

    /// Counts a completed model request.
    pub fn count_model(&self, first_token_us: DurationUs, between_us: DurationUs, is_good: bool) {
        let latency = |kind: &str| Label::new("kind", kind);
        let seconds = |duration: DurationUs| duration.0 as f64 / US_PER_SECOND;
        self.latencies
            .get_or_create(&latency("first_token"))
            .observe(seconds(first_token_us));
        self.latencies
            .get_or_create(&latency("between_tokens"))
            .observe(seconds(between_us));
        let result = if is_good { "within_targets" } else { "late" };
        self.requests
            .get_or_create(&Label::new("result", result))
            .inc();
    }

    /// Counts an answered application call.
    pub fn count_application(&self) {
        self.requests
            .get_or_create(&Label::new("result", "answered"))
            .inc();
    }

    /// Counts a request that ended with an error.
    pub fn count_error(&self, code: ErrorCode) {
        self.errors
            .get_or_create(&Label::new("code", code.to_string()))
            .inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, evidence: Evidence) {
        self.retries
            .get_or_create(&Label::new("evidence", evidence.to_string()))
            .inc();
    }

    /// Counts discarded prompt tokens.
    pub fn count_wasted_prefill(&self, tokens: Tokens, cause: Evidence) {
        let label = Label::new("cause", cause.to_string());
        self.wasted_prefill_tokens
            .get_or_create(&label)
            .inc_by(tokens.0);
    }

    /// Shows a revision in force.
    pub fn set_revision(&self, list: &str, revision: Revision) {
        let value = i64::try_from(revision.0).unwrap_or(i64::MAX);
        self.common
            .revision
            .get_or_create(&Label::new("list", list))
            .set(value);
    }

    /// Shows the use of the paid link.
    pub fn set_link(&self, link: LinkUse) {
        let show = |direction: &str, bytes: u64| {
            let value = i64::try_from(bytes).unwrap_or(i64::MAX);
            self.link_bytes
                .get_or_create(&Label::new("direction", direction))
                .set(value);
        };
        show("prompts", link.prompt_bytes.0);
        show("answers", link.answer_bytes.0);
    }
}

/// What the admin address of an entry reports.
#[derive(Debug)]
pub struct EntryAdmin {
    /// This entry.
    pub name: EntryId,
    /// Registry.
    pub metrics: Metrics,
    /// State shared with other threads.
    pub flags: Arc<EntryFlags>,
    /// Lists and hosts.
    pub view: Arc<ArcSwap<FeedView>>,
}

impl AdminSource for EntryAdmin {
    fn metrics(&self) -> String {
        self.metrics.encode().unwrap_or_default()
    }

    fn is_ready(&self) -> bool {
        self.flags.is_ready.load(Ordering::Relaxed)
    }

    fn status(&self) -> String {
        let view = self.view.load();
        json!({
            "process": "entry",
            "name": self.name.to_string(),
            "ready": self.is_ready(),
            "open_requests": self.flags.open_requests.load(Ordering::Relaxed),
            "lists_revision": view.lists.revision.0,
            "hosts_revision": view.hosts.revision.0,
        })
        .to_string()
    }
}
