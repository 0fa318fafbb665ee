//! Metrics of the operator's configuration in force.

use cuminlead_direct_core::{ServingState, Teams};
use cuminlead_telemetry::Metrics;
use cuminlead_types::TimeUs;
use prometheus_client::metrics::gauge::Gauge;

use crate::status::to_i64;

/// Gauges of the configuration; all are 0 before the first one.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationMetrics {
    version: Gauge,
    age_ms: Gauge,
    keys_required: Gauge,
    known_keys: Gauge,
}

impl ConfigurationMetrics {
    /// Registers the gauges.
    pub(crate) fn register(metrics: &mut Metrics) -> Self {
        Self {
            version: metrics.gauge("direct_config_version", "Configuration in force"),
            age_ms: metrics.gauge(
                "direct_config_age_ms",
                "Time since the configuration was put in force",
            ),
            keys_required: metrics.gauge(
                "direct_keys_required",
                "Whether requests need the key of a team: 1 or 0",
            ),
            known_keys: metrics.gauge("direct_known_keys", "Keys of all teams"),
        }
    }

    /// Updates the gauges from the local view at `now`.
    pub(crate) fn update(&self, now: TimeUs, serving: &ServingState) {
        if let Some(applied) = serving.active_version() {
            self.version.set(to_i64(applied.version.0));
            self.age_ms.set(to_i64(now.since(applied.at).as_ms()));
        }
        if let Some(operator_config) = serving.operator_config() {
            let teams = operator_config.teams();
            self.keys_required.set(i64::from(teams.is_some()));
            let keys_count = teams.map_or(0, Teams::keys_count);
            self.known_keys.set(to_i64(keys_count as u64));
        }
    }
}
