//! Metrics, readiness and the status page.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use std::sync::{Arc, Mutex, PoisonError};

use cuminlead_direct_core::placement::{Distance, LearnedServer};
use cuminlead_direct_core::{RefusalReason, ServingState, StepOutcome};
use cuminlead_process::admin::AdminSource;
use cuminlead_process::response_head::InvalidResponse;
use cuminlead_telemetry::metrics::{
    Counters, Gauges, RouteLabels, RouteLatencies, RowCounters, start_at_zero,
};
use cuminlead_telemetry::{Label, Metrics};
use cuminlead_types::{BackendServerId, Bytes, DurationUs, EntryId, TeamName, TimeUs, Tokens};
use http::StatusCode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use serde_json::json;
use strum::IntoEnumIterator;

use crate::configuration_metrics::ConfigurationMetrics;

const US_PER_SECOND: f64 = 1_000_000.0;

/// Outcomes of requests, besides the reasons of refusals.
const ANSWERED_OUTCOMES: [&str; 3] = ["answered", "failed", "streaming"];
/// How relayed streams end.
const STREAM_ENDS: [&str; 5] = ["whole", "lost", "timed_out", "caller_gone", "caller_slow"];
/// Statuses of responses that this process generates itself.
const STATUSES: [&str; 9] = [
    "400", "401", "404", "408", "413", "429", "502", "503", "504",
];
/// Steps that may fail at a server.
const STEPS: [&str; 4] = ["reserve", "prefill", "run", "stream"];

/// Why prefill work is discarded, besides the outcomes of failed prefills.
const DISCARD_CAUSES: [&str; 2] = ["lapsed", "unused"];
/// Directions of bytes between this process and servers.
const DIRECTIONS: [&str; 2] = ["sent", "received"];
/// Peers for which bytes are held.
const PEERS: [&str; 2] = ["caller", "server"];
/// Lifecycle states of servers.
const LIFECYCLE_STATES: [&str; 4] = ["usable", "paused", "full", "leaving"];
/// Most routes, and most teams, with series of their own. A configuration of the users has up to 400 routes.
const LABELS_MAX_COUNT: usize = 1_000;
/// Label of the highest value of all servers.
const HIGHEST_LABEL: &str = "highest";
/// Label of all further ones.
const OTHER_LABEL: &str = "other";

fn failure_labels(step: &'static str, outcome: StepOutcome) -> [(&'static str, &'static str); 3] {
    [
        ("step", step),
        ("outcome", outcome.into()),
        ("kind", "direct"),
    ]
}

/// Name as a label, or [`OTHER_LABEL`] if there are too many names.
fn bounded_label(known: &Mutex<HashSet<String>>, name: &str) -> String {
    let mut known = known.lock().unwrap_or_else(PoisonError::into_inner);
    if known.len() < LABELS_MAX_COUNT || known.contains(name) {
        known.insert(name.to_string());
        return name.to_string();
    }
    OTHER_LABEL.to_string()
}

/// Metrics of an entry that calls backend servers directly.
#[derive(Clone, Debug)]
pub struct DirectMetrics {
    requests: Counters,
    streams: Counters,
    statuses: Counters,
    step_failures: RowCounters,
    retries: Counters,
    discarded_prefill: Counters,
    bytes: RowCounters,
    latencies: RouteLatencies,
    routes: Arc<Mutex<HashSet<String>>>,
    servers: Gauges,
    free_tokens: Gauges,
    prefill_rates: Gauges,
    slowness: Gauges,
    work_in_progress_ms: Gauges,
    retries_left: Gauges,
    configuration: ConfigurationMetrics,
    held_bytes: Gauges,
    /// Connections opened to backend servers.
    pub connections_opened: Counter,
    /// Responses of backend servers that did not belong to the request.
    pub foreign_responses: Counter,
    invalid_responses: Counters,
    /// Requests refused because their key is unknown or missing.
    pub unknown_keys: Counter,
    usage_admitted_units: Counters,
    usage_refused_units: Counters,
    teams: Arc<Mutex<HashSet<String>>>,
    /// Charges sent to the owners of teams' usage.
    pub usage_charges: Counter,
    /// Charges to which no owner replied.
    pub usage_owners_unreachable: Counter,
    /// Callers' connections closed because the maximum number is open.
    pub connections_refused: Counter,
    connections_closed: Counters,
    connection_memory_bytes: Gauge,
    /// Registry entries that were ignored as unusable.
    pub unusable_entries: Counter,
    /// Records of servers that were not used because the configuration does not name their service.
    pub unconfigured_entries: Counter,
    /// Queries to the registry.
    pub registry_calls: Counter,
    /// Restores of the registry from an older copy.
    pub era_changes: Counter,
    /// Records of servers that were not used because only the restored copy may hold them.
    pub held_back_entries: Counter,
    /// Questions to agents for the configuration.
    pub agent_configuration_queries: Counter,
    /// Configurations that came through an agent and were newer.
    pub agent_configurations: Counter,
}

/// Direction of bytes between this process and a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From this process to the server.
    Sent,
    /// From the server to this process.
    Received,
}

impl Direction {
    fn name(self) -> &'static str {
        match self {
            Self::Sent => DIRECTIONS[0],
            Self::Received => DIRECTIONS[1],
        }
    }
}

/// Bytes that count as held for a peer until dropped.
#[derive(Debug)]
pub struct HeldCount {
    gauge: Gauge,
    bytes_count: i64,
}

impl HeldCount {
    fn new(metrics: &DirectMetrics, peer: &'static str, bytes_count: usize) -> Self {
        let gauge = metrics
            .held_bytes
            .get_or_create(&Label::new("peer", peer))
            .clone();
        let bytes_count = i64::try_from(bytes_count).unwrap_or(i64::MAX);
        gauge.inc_by(bytes_count);
        Self { gauge, bytes_count }
    }

    /// Bytes of a response that its caller has not taken.
    pub(crate) fn caller(metrics: &DirectMetrics, bytes_count: usize) -> Self {
        Self::new(metrics, PEERS[0], bytes_count)
    }

    /// Bytes of a request that were not written to its server in full.
    pub(crate) fn server(metrics: &DirectMetrics, bytes_count: usize) -> Self {
        Self::new(metrics, PEERS[1], bytes_count)
    }
}

impl Drop for HeldCount {
    fn drop(&mut self) {
        self.gauge.dec_by(self.bytes_count);
    }
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
            retries: metrics.counters(
                "direct_retries",
                "Sends after the first one, by the outcome before",
            ),
            discarded_prefill: metrics.counters(
                "direct_wasted_prefill_tokens",
                "Prompt tokens sent to be computed in vain, by cause",
            ),
            bytes: metrics.row_counters(
                "direct_bytes",
                "Bytes of bodies to and from backend servers, by distance",
            ),
            latencies: metrics.route_latencies(
                "direct_latency_seconds",
                "Time until the answer or the first event, until the end of a stream, and its longest pause",
            ),
            routes: Arc::default(),
            servers: metrics.gauges("direct_servers", "Backend servers by standing"),
            free_tokens: metrics.gauges(
                "direct_server_free_tokens",
                "Free memory of an engine, as its agent said last",
            ),
            prefill_rates: metrics.gauges(
                "direct_server_prefill_tokens_per_s",
                "Learned rate at which a server computes prompts",
            ),
            slowness: metrics.gauges(
                "direct_server_slowness_percent",
                "Learned service time of a server relative to all servers of its service",
            ),
            work_in_progress_ms: metrics.gauges(
                "direct_server_work_in_progress_ms",
                "Time that a server still needs for the work of this entry",
            ),
            retries_left: metrics.gauges("direct_retries_left", "Repeats that a service has left"),
            configuration: ConfigurationMetrics::register(metrics),
            held_bytes: metrics.gauges(
                "direct_held_bytes",
                "Bytes of bodies held until the peer takes them",
            ),
            registry_calls: metrics.counter("direct_registry_calls", "Questions to the registry"),
            era_changes: metrics.counter(
                "direct_registry_era_changes",
                "Restores of the registry from an older copy",
            ),
            held_back_entries: metrics.counter(
                "direct_held_back_entries",
                "Entries of the registry that only a restored copy may hold",
            ),
            agent_configuration_queries: metrics.counter(
                "direct_agent_configuration_queries",
                "Questions to agents for the configuration",
            ),
            agent_configurations: metrics.counter(
                "direct_agent_configurations",
                "Newer configurations that came through an agent",
            ),
            connections_opened: metrics.counter(
                "direct_channels_opened",
                "Connections opened to backend servers",
            ),
            foreign_responses: metrics.counter(
                "direct_foreign_responses",
                "Responses of backend servers that did not belong to the request",
            ),
            invalid_responses: metrics.counters(
                "direct_invalid_responses",
                "Responses of backend servers that are invalid or not complete, by reason",
            ),
            unknown_keys: metrics.counter(
                "direct_unknown_keys",
                "Requests refused because their key is unknown or missing",
            ),
            usage_admitted_units: metrics.counters(
                "direct_usage_admitted_units",
                "Units of requests that their team's limit admitted",
            ),
            usage_refused_units: metrics.counters(
                "direct_usage_refused_units",
                "Units of requests that their team's limit refused",
            ),
            teams: Arc::default(),
            usage_charges: metrics.counter(
                "direct_usage_charges",
                "Charges sent to the owners of teams' usage",
            ),
            usage_owners_unreachable: metrics.counter(
                "direct_usage_owners_unreachable",
                "Charges of teams' usage to which no owner replied",
            ),
            connections_refused: metrics.counter(
                "direct_connections_refused",
                "Connections of callers closed because too many are open",
            ),
            connections_closed: metrics.counters(
                "direct_connections_closed",
                "Connections of callers closed to make room or because they are slow",
            ),
            connection_memory_bytes: metrics.gauge(
                "direct_connection_memory_bytes",
                "Memory that connections of callers are charged",
            ),
            unusable_entries: metrics.counter(
                "direct_unusable_entries",
                "Entries of the registry that were left out",
            ),
            unconfigured_entries: metrics.counter(
                "direct_unconfigured_entries",
                "Entries of servers whose service the configuration does not name",
            ),
        };
        direct.start_at_zero();
        direct
    }

    /// Creates all series, so that each is exported from the start.
    fn start_at_zero(&self) {
        start_at_zero(&self.requests, "outcome", &ANSWERED_OUTCOMES);
        let reasons: Vec<&'static str> = RefusalReason::iter().map(Into::into).collect();
        start_at_zero(&self.requests, "outcome", &reasons);
        start_at_zero(&self.streams, "end", &STREAM_ENDS);
        let invalid: Vec<&'static str> = InvalidResponse::iter().map(Into::into).collect();
        start_at_zero(&self.invalid_responses, "reason", &invalid);
        start_at_zero(&self.statuses, "status", &STATUSES);
        start_at_zero(&self.usage_admitted_units, "team", &[OTHER_LABEL]);
        start_at_zero(&self.usage_refused_units, "team", &[OTHER_LABEL]);
        start_at_zero(
            &self.connections_closed,
            "cause",
            &["room", "slow", "pipelined"],
        );
        for step in STEPS {
            for outcome in StepOutcome::iter() {
                drop(
                    self.step_failures
                        .get_or_create(&failure_labels(step, outcome)),
                );
            }
        }
        let outcomes: Vec<&'static str> = StepOutcome::iter().map(Into::into).collect();
        start_at_zero(&self.retries, "outcome", &outcomes);
        start_at_zero(&self.discarded_prefill, "cause", &outcomes);
        start_at_zero(&self.discarded_prefill, "cause", &DISCARD_CAUSES);
        for direction in DIRECTIONS {
            for distance in Distance::iter() {
                drop(self.bytes.get_or_create(&byte_labels(direction, distance)));
            }
        }
        self.update_learned(&[]);
        for peer in PEERS {
            drop(self.held_bytes.get_or_create(&Label::new("peer", peer)));
        }
        for state in LIFECYCLE_STATES {
            drop(self.servers.get_or_create(&Label::new("standing", state)));
        }
    }

    /// Updates the gauges from the local view at `now`.
    pub fn update_gauges(&self, now: TimeUs, serving: &mut ServingState) {
        let mut state_counts = [0_u32; LIFECYCLE_STATES.len()];
        self.retries_left.clear();
        for service in serving.services() {
            let counts = serving.server_counts(now, &service);
            state_counts[0] += counts.usable_count;
            state_counts[1] += counts.paused_count;
            state_counts[2] += counts.full_count;
            state_counts[3] += counts.draining_count;
            let left = serving.budget(&service).left(now);
            let label = Label::new("service", service.to_string());
            self.retries_left.get_or_create(&label).set(i64::from(left));
        }
        for (state, count) in LIFECYCLE_STATES.into_iter().zip(state_counts) {
            let label = Label::new("standing", state);
            self.servers.get_or_create(&label).set(i64::from(count));
        }
        self.free_tokens.clear();
        for (_, server) in serving.servers.iter() {
            if let Some(memory) = server.memory {
                self.set_free_tokens(&server.record.id, memory.free_tokens);
            }
        }
        self.configuration.update(now, serving);
    }

    /// Sets the free memory of an engine as its agent reported it.
    pub fn set_free_tokens(&self, server: &BackendServerId, free_tokens: Tokens) {
        let label = Label::new("server", server.to_string());
        self.free_tokens
            .get_or_create(&label)
            .set(to_i64(free_tokens.0));
    }

    /// Sets the gauges of what the placement policy has learned about servers.
    pub fn update_learned(&self, learned: &[LearnedServer]) {
        for gauges in self.learned() {
            gauges.clear();
        }
        let mut highest = [0, 0, 0];
        for server in learned.iter().take(LABELS_MAX_COUNT) {
            let values = [
                server.prefill_tokens_per_ms.map(|rate| rate * 1_000.0),
                server.slowness.map(|slowness| slowness * 100.0),
                Some(server.work_in_progress_ms),
            ];
            for ((gauges, value), highest) in self.learned().zip(values).zip(&mut highest) {
                if let Some(value) = value.map(rounded) {
                    let label = Label::new("server", server.server.to_string());
                    gauges.get_or_create(&label).set(value);
                    *highest = value.max(*highest);
                }
            }
        }
        for (gauges, highest) in self.learned().zip(highest) {
            let label = Label::new("server", HIGHEST_LABEL);
            gauges.get_or_create(&label).set(highest);
        }
    }

    /// Gauges of what the placement policy has learned.
    fn learned(&self) -> impl Iterator<Item = &Gauges> {
        let gauges = [
            &self.prefill_rates,
            &self.slowness,
            &self.work_in_progress_ms,
        ];
        gauges.into_iter()
    }

    /// Counts a repeated send; `outcome` is that of the previous one.
    pub fn count_retry(&self, outcome: StepOutcome) {
        let label = Label::new("outcome", <&'static str>::from(outcome));
        self.retries.get_or_create(&label).inc();
    }

    /// Counts prompt tokens whose prefill work was, or may have been, discarded.
    pub fn count_discarded_prefill(&self, cause: &'static str, tokens: Tokens) {
        let label = Label::new("cause", cause);
        self.discarded_prefill
            .get_or_create(&label)
            .inc_by(tokens.0);
    }

    /// Counts bytes of a request or response body.
    pub fn count_bytes(&self, direction: Direction, distance: Distance, bytes_count: u64) {
        let row = byte_labels(direction.name(), distance);
        self.bytes.get_or_create(&row).inc_by(bytes_count);
    }

    /// Counts a request whose response is complete or has started.
    pub fn count_request(&self, route: &str, outcome: &'static str, took: DurationUs) {
        self.requests
            .get_or_create(&Label::new("outcome", outcome))
            .inc();
        let kind = if outcome == "streaming" {
            "first_event"
        } else {
            "answer"
        };
        self.observe(kind, route, outcome, took);
    }

    /// Counts the units of a request that was admitted or refused by its team's limit.
    pub fn count_usage(&self, team: &TeamName, units: u64, is_admitted: bool) {
        let label = Label::new("team", bounded_label(&self.teams, team.as_str()));
        let counters = if is_admitted {
            &self.usage_admitted_units
        } else {
            &self.usage_refused_units
        };
        counters.get_or_create(&label).inc_by(units);
    }

    /// Counts a relayed stream; `gap_max` is the longest time between two chunks.
    pub fn count_stream(
        &self,
        route: &str,
        end: &'static str,
        took: DurationUs,
        gap_max: DurationUs,
    ) {
        self.streams.get_or_create(&Label::new("end", end)).inc();
        self.observe("stream", route, end, took);
        self.observe("gap", route, end, gap_max);
    }

    /// Counts a response that is invalid or not complete.
    pub fn count_invalid_response(&self, reason: InvalidResponse) {
        let label = Label::new("reason", <&'static str>::from(reason));
        self.invalid_responses.get_or_create(&label).inc();
    }

    /// Counts a failed step at a server.
    pub fn count_step_failure(&self, step: &'static str, outcome: StepOutcome) {
        let row = failure_labels(step, outcome);
        self.step_failures.get_or_create(&row).inc();
    }

    /// Counts a caller's connection that was closed to make `room`, because it is `slow`, or after
    /// too many `pipelined` requests.
    pub fn count_connection_closed(&self, cause: &'static str) {
        let label = Label::new("cause", cause);
        self.connections_closed.get_or_create(&label).inc();
    }

    /// Sets the memory that callers' connections are charged.
    pub fn set_connection_memory(&self, used: Bytes) {
        self.connection_memory_bytes.set(to_i64(used.0));
    }

    /// Counts a response that this process generated itself.
    pub fn count_status(&self, status: StatusCode) {
        let label = Label::new("status", status.as_str());
        self.statuses.get_or_create(&label).inc();
    }

    #[allow(
        clippy::cast_precision_loss,
        reason = "durations are far below 2^52 us"
    )]
    fn observe(&self, kind: &'static str, route: &str, outcome: &'static str, took: DurationUs) {
        let route = bounded_label(&self.routes, route);
        let labels = RouteLabels {
            kind,
            route,
            outcome,
        };
        let latency = self.latencies.get_or_create(&labels);
        latency.observe(took.0 as f64 / US_PER_SECOND);
    }
}

pub(crate) fn to_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "bounded estimates, and the conversion saturates"
)]
fn rounded(value: f64) -> i64 {
    value.round() as i64
}

fn byte_labels(direction: &'static str, distance: Distance) -> [(&'static str, &'static str); 3] {
    [
        ("direction", direction),
        ("distance", distance.into()),
        ("kind", "direct"),
    ]
}

/// State of the traffic thread that other threads may read.
#[derive(Debug, Default)]
pub struct SharedStatus {
    /// Whether the configuration and the servers have been read.
    pub is_synced: AtomicBool,
    /// Whether a shutdown was requested.
    pub is_stopping: AtomicBool,
    /// Active version of the configuration.
    pub config_version: AtomicU64,
    /// Number of known backend servers.
    pub servers_count: AtomicU32,
    /// Open connections of callers.
    pub connections_count: AtomicU32,
}

/// Data source of the admin address.
#[derive(Debug)]
pub struct DirectAdmin {
    /// Name of the entry process.
    pub name: EntryId,
    /// Metrics of the process.
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
