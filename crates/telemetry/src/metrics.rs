//! Counters, gauges and histograms of both processes.
//!
//! Label values come from closed enumerations or from the lists, so the number of series is
//! bounded; callers cannot create series.

use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// One label and its value.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Label {
    name: &'static str,
    value: String,
}

impl Label {
    /// Label `name` with a value.
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

/// Builds latency histograms from 1 ms to about 100 s.
#[derive(Clone, Copy, Debug)]
pub struct LatencyBuckets;

impl MetricConstructor<Histogram> for LatencyBuckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(exponential_buckets(0.001, 1.5, 29))
    }
}

/// Counters with one label.
pub type Counters = Family<Label, Counter>;
/// Counters with three labels, whose values come from closed enumerations.
pub type RowCounters = Family<[(&'static str, &'static str); 3], Counter>;
/// Latency histograms with three labels, of which the second comes from the configuration.
pub type RouteLatencies = Family<RouteLabels, Histogram, LatencyBuckets>;

/// What was timed, for which route, and how it ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouteLabels {
    /// What was timed.
    pub kind: &'static str,
    /// Route.
    pub route: String,
    /// How it ended.
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
/// Latency histograms with one label.
pub type Latencies = Family<Label, Histogram, LatencyBuckets>;

/// Metrics that both processes have.
#[derive(Clone, Debug, Default)]
pub struct CommonMetrics {
    /// Revision in force, by list (`lists` or `hosts`).
    pub revision: Gauges,
    /// Milliseconds since the lists were confirmed as the newest.
    pub confirmed_age_ms: Gauge,
    /// Refused list snapshots.
    pub invalid_snapshots: Counter,
    /// Bytes of control messages, by direction (`sent` or `received`).
    pub control_bytes: Counters,
    /// Calls to the configuration service.
    pub platform_calls: Counter,
    /// Microseconds that the control thread spent on its events.
    pub control_busy_us: Counter,
}

/// Time that the control thread was busy. Most events take less than a microsecond, so the rest
/// below one is carried over.
#[derive(Debug, Default)]
pub struct BusyTime {
    rest_ns: u64,
}

impl BusyTime {
    /// Counts the time of one event.
    pub fn add(&mut self, time: Duration, busy_us: &Counter) {
        let time_ns = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        let total_ns = self.rest_ns.saturating_add(time_ns);
        busy_us.inc_by(total_ns / 1_000);
        self.rest_ns = total_ns % 1_000;
    }
}

/// Creates the counters of all values of a label, so that every series starts at zero.
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

/// Registry of a process with the common metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Metrics that both processes have.
    pub common: CommonMetrics,
}

impl Metrics {
    /// Registry whose metrics begin with `prefix`.
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

    /// Registers latency histograms by route.
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

    /// All metrics in the text format of OpenMetrics.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
