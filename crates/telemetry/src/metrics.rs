//! Counters, gauges and histograms of both processes.
//!
//! Label values come from closed enumerations, the configuration or the lists, so the number of
//! series is bounded and callers of the router cannot create series.

use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label set of a single label.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Label {
    name: &'static str,
    value: String,
}

impl Label {
    /// Label `name` with the value `value`.
    pub fn new(name: &'static str, value: impl Into<String>) -> Self {
        Self {
            name,
            value: value.into(),
        }
    }
}

impl EncodeLabelSet for Label {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        use prometheus_client::encoding::EncodeLabel;
        (self.name, self.value.as_str()).encode(encoder.encode_label())
    }
}

/// Constructor of latency histograms in seconds, with exponential buckets from 1 ms to about 100 s.
#[derive(Clone, Copy, Debug)]
pub struct LatencyBuckets;

impl MetricConstructor<Histogram> for LatencyBuckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(exponential_buckets(0.001, 1.5, 29))
    }
}

/// Counters with one label.
pub type Counters = Family<Label, Counter>;
/// Counters with three labels whose values come from closed enumerations.
pub type RowCounters = Family<[(&'static str, &'static str); 3], Counter>;
/// Latency histograms by kind, route and outcome, in seconds.
pub type RouteLatencies = Family<RouteLabels, Histogram, LatencyBuckets>;

/// Labels of a latency histogram of a route. Routes come from the configuration, the other values
/// from closed enumerations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouteLabels {
    /// Measured interval.
    pub kind: &'static str,
    /// Name of the route in the configuration.
    pub route: String,
    /// Outcome of the request.
    pub outcome: &'static str,
}

impl EncodeLabelSet for RouteLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        use prometheus_client::encoding::EncodeLabel;
        ("kind", self.kind).encode(encoder.encode_label())?;
        ("route", self.route.as_str()).encode(encoder.encode_label())?;
        ("outcome", self.outcome).encode(encoder.encode_label())
    }
}

/// Gauges with one label.
pub type Gauges = Family<Label, Gauge>;
/// Latency histograms with one label, in seconds.
pub type Latencies = Family<Label, Histogram, LatencyBuckets>;

/// Metrics that the entry and the agent have in common.
#[derive(Clone, Debug, Default)]
pub struct CommonMetrics {
    /// Active revision, by list (`lists` or `hosts`).
    pub revision: Gauges,
    /// Staleness of the lists: milliseconds since they were confirmed as the newest.
    pub confirmed_age_ms: Gauge,
    /// List snapshots that were not installed because they are invalid.
    pub invalid_snapshots: Counter,
    /// Bytes of control messages, by direction (`sent` or `received`).
    pub control_bytes: Counters,
    /// Calls to the configuration service.
    pub platform_calls: Counter,
    /// Microseconds that the control thread spent in handling events.
    pub control_busy_us: Counter,
}

/// Accumulates the busy time of the control thread. Most events take less than 1 µs, so the
/// remainder below 1 µs is carried over to the next event.
#[derive(Debug, Default)]
pub struct BusyTime {
    remainder_ns: u64,
}

impl BusyTime {
    /// Adds the handling time of one event to `busy_us`, in full microseconds.
    pub fn add(&mut self, time: Duration, busy_us: &Counter) {
        let time_ns = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        let total_ns = self.remainder_ns.saturating_add(time_ns);
        busy_us.inc_by(total_ns / 1_000);
        self.remainder_ns = total_ns % 1_000;
    }
}

/// Creates a counter for each value of a label, so that every series is exported from the start
/// with zero.
pub fn start_at_zero(counters: &Counters, label: &'static str, values: &[&'static str]) {
    for value in values {
        drop(counters.get_or_create(&Label::new(label, *value)));
    }
}

impl CommonMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "revision",
            "Revision in force by list",
            self.revision.clone(),
        );
        registry.register(
            "lists_confirmed_age_ms",
            "Time since the lists were confirmed as the newest",
            self.confirmed_age_ms.clone(),
        );
        registry.register(
            "lists_invalid_snapshots",
            "Refused list snapshots",
            self.invalid_snapshots.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of control messages by direction",
            self.control_bytes.clone(),
        );
        registry.register(
            "platform_calls",
            "Calls to the configuration service",
            self.platform_calls.clone(),
        );
        registry.register(
            "control_busy_us",
            "Microseconds that the control thread spent on its events",
            self.control_busy_us.clone(),
        );
        for list in ["lists", "hosts"] {
            drop(self.revision.get_or_create(&Label::new("list", list)));
        }
        start_at_zero(&self.control_bytes, "direction", &["sent", "received"]);
    }
}

/// Metrics registry of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Common metrics, registered by [`Metrics::new`].
    pub common: CommonMetrics,
}

impl Metrics {
    /// Registry in which every metric name begins with `prefix`.
    pub fn new(prefix: &str) -> Self {
        let mut registry = Registry::with_prefix(prefix);
        let common = CommonMetrics::default();
        common.register(&mut registry);
        Self { registry, common }
    }

    /// Registers counters with one label.
    pub fn counters(&mut self, name: &str, help: &str) -> Counters {
        let family = Counters::default();
        self.registry.register(name, help, family.clone());
        family
    }

    /// Registers counters with three labels.
    pub fn row_counters(&mut self, name: &str, help: &str) -> RowCounters {
        let family = RowCounters::default();
        self.registry.register(name, help, family.clone());
        family
    }

    /// Registers one counter.
    pub fn counter(&mut self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.registry.register(name, help, counter.clone());
        counter
    }

    /// Registers one gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.register(name, help, gauge.clone());
        gauge
    }

    /// Registers gauges with one label.
    pub fn gauges(&mut self, name: &str, help: &str) -> Gauges {
        let family = Gauges::default();
        self.registry.register(name, help, family.clone());
        family
    }

    /// Registers latency histograms by kind, route and outcome.
    pub fn route_latencies(&mut self, name: &str, help: &str) -> RouteLatencies {
        let family = RouteLatencies::new_with_constructor(LatencyBuckets);
        self.registry.register(name, help, family.clone());
        family
    }

    /// Registers latency histograms with one label.
    pub fn latencies(&mut self, name: &str, help: &str) -> Latencies {
        let family = Latencies::new_with_constructor(LatencyBuckets);
        self.registry.register(name, help, family.clone());
        family
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
