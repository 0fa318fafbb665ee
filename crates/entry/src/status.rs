//! Metrics and the status page of an entry.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use cuminlead_entry_core::ErrorCode;
use cuminlead_process::admin::AdminSource;
use cuminlead_process::feed::FeedView;
use cuminlead_retry::{CallKind, Evidence, Step};
use cuminlead_routing::LinkUse;
use cuminlead_telemetry::metrics::{Counters, Latencies, RowCounters, start_at_zero};
use cuminlead_telemetry::{CommonMetrics, Label, Metrics};
use cuminlead_types::{Bytes, DurationUs, EntryId, Revision, Tokens};
use prometheus_client::metrics::counter::Counter;
use serde_json::json;
use strum::IntoEnumIterator;

use crate::controller::EntryFlags;

const US_PER_SECOND: f64 = 1_000_000.0;

/// Metrics of an entry.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Metrics that entries and agents share.
    pub common: CommonMetrics,
    requests: Counters,
    errors: Counters,
    retries: RowCounters,
    wasted_prefill_tokens: Counters,
    latencies: Latencies,
    link_bytes: Counters,
    quarantined_parts: Counter,
}

impl EntryMetrics {
    /// Registers the metrics of an entry and exports known labels with the value 0.
    pub fn new(metrics: &mut Metrics) -> Self {
        let entry = Self {
            common: metrics.common.clone(),
            requests: metrics.counters(
                "requests",
                "Completed requests by whether both latency targets were met",
            ),
            errors: metrics.counters("errors", "Requests that ended with an error, by code"),
            retries: metrics.row_counters(
                "retries",
                "Retries by row of the retry table: kind of call, step and evidence",
            ),
            wasted_prefill_tokens: metrics.counters(
                "wasted_prefill_tokens",
                "Prompt tokens computed and then discarded, by cause",
            ),
            latencies: metrics.latencies(
                "latency_seconds",
                "Time to first token and mean time between tokens",
            ),
            link_bytes: metrics.counters(
                "link_bytes",
                "Bytes of prompts to and answers from other regions",
            ),
            quarantined_parts: metrics.counter(
                "quarantined_parts",
                "Quarantines of prompt parts that crash engines",
            ),
        };
        entry.start_at_zero();
        entry
    }

    fn start_at_zero(&self) {
        start_at_zero(
            &self.requests,
            "result",
            &["within_targets", "late", "answered"],
        );
        start_at_zero(&self.errors, "code", &names::<ErrorCode>());
        start_at_zero(&self.wasted_prefill_tokens, "cause", &names::<Evidence>());
        start_at_zero(&self.link_bytes, "direction", &["prompts", "answers"]);
        for kind in ["first_token", "between_tokens"] {
            drop(self.latencies.get_or_create(&Label::new("kind", kind)));
        }
    }

    /// Counts a completed model request and its latencies. `between_tokens_us` is the mean time
    /// between tokens.
    pub fn count_model_call(
        &self,
        first_token_us: DurationUs,
        between_tokens_us: DurationUs,
        is_within_targets: bool,
    ) {
        let latency = |kind: &str| Label::new("kind", kind);
        let seconds = |duration: DurationUs| duration.0 as f64 / US_PER_SECOND;
        self.latencies
            .get_or_create(&latency("first_token"))
            .observe(seconds(first_token_us));
        self.latencies
            .get_or_create(&latency("between_tokens"))
            .observe(seconds(between_tokens_us));
        let result = if is_within_targets {
            "within_targets"
        } else {
            "late"
        };
        self.requests
            .get_or_create(&Label::new("result", result))
            .inc();
    }

    /// Counts an application call that the service answered, with any HTTP status.
    pub fn count_application(&self) {
        self.requests
            .get_or_create(&Label::new("result", "answered"))
            .inc();
    }

    /// Counts a request that ended with an error, before or after it reached a server.
    pub fn count_error(&self, code: ErrorCode) {
        self.errors
            .get_or_create(&Label::new("code", code.to_string()))
            .inc();
    }

    /// Counts a retry in its row of the retry table.
    pub fn count_retry(&self, kind: CallKind, step: Step, evidence: Evidence) {
        let row = [
            ("kind", kind.into()),
            ("step", step.into()),
            ("evidence", evidence.into()),
        ];
        self.retries.get_or_create(&row).inc();
    }

    /// Counts prompt tokens that were computed and then discarded.
    pub fn count_wasted_prefill(&self, tokens: Tokens, cause: Evidence) {
        let label = Label::new("cause", cause.to_string());
        self.wasted_prefill_tokens
            .get_or_create(&label)
            .inc_by(tokens.0);
    }

    /// Counts a prompt part that is put into quarantine.
    pub fn count_quarantine(&self) {
        self.quarantined_parts.inc();
    }

    /// Sets the revision in effect of `list`, which is `lists` or `hosts`.
    pub fn set_revision(&self, list: &str, revision: Revision) {
        let value = i64::try_from(revision.0).unwrap_or(i64::MAX);
        self.common
            .revision
            .get_or_create(&Label::new("list", list))
            .set(value);
    }

    /// Counts the bytes sent over the paid link between regions since `before`.
    pub fn count_link_use(&self, before: LinkUse, link: LinkUse) {
        let count = |direction: &str, bytes: Bytes| {
            self.link_bytes
                .get_or_create(&Label::new("direction", direction))
                .inc_by(bytes.0);
        };
        let prompt_bytes = link.prompt_bytes.saturating_sub(before.prompt_bytes);
        let answer_bytes = link.answer_bytes.saturating_sub(before.answer_bytes);
        count("prompts", prompt_bytes);
        count("answers", answer_bytes);
    }
}

/// Label values of all variants.
fn names<T: IntoEnumIterator + Into<&'static str>>() -> Vec<&'static str> {
    T::iter().map(Into::into).collect()
}

/// Data that the admin address of an entry serves.
#[derive(Debug)]
pub struct EntryAdmin {
    /// Name of this entry.
    pub name: EntryId,
    /// Metrics registry of this process.
    pub metrics: Metrics,
    /// Readiness and open requests, written by the control and traffic threads.
    pub flags: Arc<EntryFlags>,
    /// Lists and hosts in effect, written by the control thread.
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
            "reader": view.is_reader,
            "open_requests": self.flags.open_requests.load(Ordering::Relaxed),
            "lists_revision": view.lists.revision.0,
            "hosts_revision": view.hosts.revision.0,
        })
        .to_string()
    }
}
