//! Catalogue, servers and budgets, as the one context that requests decide over.

use std::collections::HashMap;
use std::sync::Arc;

use cuminlead_retry::{RetryBudget, RetryLimits};
use cuminlead_types::{
    AvailabilityZoneName, DurationUs, RegionName, Revision, ServiceName, TimeUs,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::operator_config::{OperatorConfig, Route};
use crate::placement::{ClientLocality, Distance, distance};
use crate::registry::RegistryUpdate;
use crate::servers::{LAPSED_HOLD, REMOVED_HOLD, Server, ServerKey, ServerLifecycle, ServerTable};

/// Time for which an engine without room counts as full in explanations.
const FULL_KNOWN_FOR: DurationUs = DurationUs::from_ms(1_000);

/// Time after an outage of the registry in which a removed entry may have lapsed in it: the history
/// of the outage arrives within a few answers.
const AFTER_OUTAGE: DurationUs = DurationUs::from_ms(4_000);

/// Settings of the context.
#[derive(Clone, Debug)]
pub struct ServingConfig {
    /// Where this process runs.
    pub client_locality: ClientLocality,
    /// Region of each availability zone.
    pub regions: HashMap<AvailabilityZoneName, RegionName>,
    /// One repeat is allowed for this many requests of a service.
    pub requests_per_retry: u32,
    /// Repeats that all processes together may make beyond that in the window of the budget.
    pub retries_extra_count: u32,
    /// Seed of random choices.
    pub seed: u64,
}

/// Servers of a service by whether they may get work, for explanations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Published as ready and not paused.
    pub usable_count: u32,
    /// Left out after failures.
    pub paused_count: u32,
    /// Leaving, or their entry is gone.
    pub leaving_count: u32,
    /// Engines that had no room when they were asked last.
    pub full_count: u32,
}

/// Configuration in force and the time since which it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Version.
    pub version: Revision,
    /// When it was put in force.
    pub at: TimeUs,
}

/// What requests decide over; owned by the traffic thread.
#[derive(Debug)]
pub struct ServingState {
    pub(crate) config: ServingConfig,
    operator_config: Option<Arc<OperatorConfig>>,
    applied_at: TimeUs,
    /// Backend servers.
    pub servers: ServerTable,
    budgets: HashMap<ServiceName, RetryBudget>,
    is_synced: bool,
    /// When the registry answered again after it had been away.
    regained_at: Option<TimeUs>,
    pub(crate) rng: SmallRng,
}

impl ServingState {
    /// Context that knows nothing yet.
    pub fn new(config: ServingConfig) -> Self {
        let rng = SmallRng::seed_from_u64(config.seed);
        Self {
            config,
            operator_config: None,
            applied_at: TimeUs::ZERO,
            servers: ServerTable::default(),
            budgets: HashMap::new(),
            is_synced: false,
            regained_at: None,
            rng,
        }
    }

    /// Applies a change of what is published.
    pub fn apply(&mut self, now: TimeUs, update: RegistryUpdate) {
        match update {
            RegistryUpdate::OperatorConfig(operator_config) => {
                let is_newer = self
                    .operator_config
                    .as_ref()
                    .is_none_or(|known| operator_config.version() > known.version());
                if is_newer {
                    self.operator_config = Some(operator_config);
                    self.applied_at = now;
                }
            }
            RegistryUpdate::Server(record) => {
                let region = self.config.regions.get(&record.availability_zone).cloned();
                self.servers.publish(now, record, region);
            }
            RegistryUpdate::ServerRemoved(id) => {
                let is_after_outage = self
                    .regained_at
                    .is_some_and(|at| now.since(at) < AFTER_OUTAGE);
                let hold = if is_after_outage {
                    LAPSED_HOLD
                } else {
                    REMOVED_HOLD
                };
                self.servers.remove(now + hold, &id);
            }
            RegistryUpdate::Synced(_) => self.is_synced = true,
            RegistryUpdate::Regained => self.regained_at = Some(now),
            RegistryUpdate::Unusable { .. } | RegistryUpdate::Lost(_) => {}
        }
    }

    /// Configuration in force.
    pub fn operator_config(&self) -> Option<&Arc<OperatorConfig>> {
        self.operator_config.as_ref()
    }

    /// Version of the configuration in force, and since when it is.
    pub fn applied(&self) -> Option<Applied> {
        self.operator_config
            .as_ref()
            .map(|operator_config| Applied {
                version: operator_config.version(),
                at: self.applied_at,
            })
    }

    /// Services of the configuration in force.
    pub fn services(&self) -> Vec<ServiceName> {
        let services = self
            .operator_config
            .iter()
            .flat_map(|known| known.services());
        services.map(|service| service.name.clone()).collect()
    }

    /// Whether requests can be served: the configuration and the servers have been read.
    pub fn is_ready(&self) -> bool {
        self.is_synced && self.operator_config.is_some()
    }

    /// Service for a request of a route, by the weights of the route.
    pub fn pick_service(&mut self, route: &Route) -> Option<ServiceName> {
        use rand::RngExt;
        let total: u32 = route.services.iter().map(|part| part.weight).sum();
        if total == 0 {
            return route.services.first().map(|part| part.service.clone());
        }
        let mut drawn = self.rng.random_range(0..total);
        for part in &route.services {
            if drawn < part.weight {
                return Some(part.service.clone());
            }
            drawn -= part.weight;
        }
        None
    }

    /// Budget of repeats for a service.
    pub fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let limits = self.retry_limits();
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.set_limits(limits);
        budget
    }

    /// Limits of this process. The extra repeats are shared without any exchange between
    /// processes: there are fewer of them than backend servers, and each takes half of its share.
    fn retry_limits(&self) -> RetryLimits {
        let servers_count = u32::try_from(self.servers.iter().count()).unwrap_or(u32::MAX);
        RetryLimits {
            requests_per_retry: self.config.requests_per_retry,
            retries_min_count: self.config.retries_extra_count / servers_count.max(1) / 2,
        }
    }

    /// Servers of a service by whether they may get work.
    pub fn server_counts(&self, now: TimeUs, service: &ServiceName) -> ServerCounts {
        let mut counts = ServerCounts::default();
        for (_, server) in self.servers.of_service(service) {
            if server.lifecycle != ServerLifecycle::Ready {
                counts.leaving_count += 1;
            } else if server.health.is_paused(now) {
                counts.paused_count += 1;
            } else if server
                .full_at
                .is_some_and(|at| now.since(at) < FULL_KNOWN_FOR)
            {
                counts.full_count += 1;
            } else {
                counts.usable_count += 1;
            }
        }
        counts
    }

    /// How far a server is from this process.
    pub fn distance(&self, server: &Server) -> Distance {
        distance(server, &self.config.client_locality)
    }

    /// Counts a request as under way at a server.
    pub fn begin(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight_count += 1;
        }
    }

    /// Counts a request as ended at a server.
    pub fn end(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight_count = server.in_flight_count.saturating_sub(1);
        }
    }
}
