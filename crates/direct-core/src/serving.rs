//! Operator configuration, servers and retry budgets: the state on which requests are decided.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cuminlead_quarantine::{PromptQuarantine, ReportBudget};
use cuminlead_retry::{RetryBudget, RetryLimits};
use cuminlead_types::{
    AvailabilityZoneName, BackendServerId, DurationUs, RegionName, Revision, ServiceName, TimeUs,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::operator_config::{OperatorConfig, Route};
use crate::outcome::{StepOutcome, record_outcome};
use crate::placement::{
    ClientLocality, Distance, FixedCost, LearnedServer, PlacementPolicy, Work, WorkId, distance,
};
use crate::registry::RegistryUpdate;
use crate::server::ServerRecord;
use crate::servers::{
    EXPIRED_RETENTION, REMOVED_RETENTION, Server, ServerKey, ServerLifecycle, ServerTable,
};

/// Time for which an engine without a free slot counts as full in logs and metrics.
const FULL_STATE_PERIOD: DurationUs = DurationUs::from_ms(1_000);

/// Time after a registry outage in which a removed entry may have expired during the outage: the
/// changes made during it arrive within a few responses.
const OUTAGE_RECOVERY_PERIOD: DurationUs = DurationUs::from_ms(4_000);

/// Settings of the serving state.
#[derive(Clone, Debug)]
pub struct ServingConfig {
    /// Region and availability zone of this process.
    pub locality: ClientLocality,
    /// Region of each availability zone.
    pub regions: HashMap<AvailabilityZoneName, RegionName>,
    /// Number of requests of a service for which one retry is allowed.
    pub requests_per_retry: u32,
    /// Retries that all processes together may make beyond that in the window of the budget.
    pub retries_extra_count: u32,
    /// Seed of random choices.
    pub seed: u64,
}

/// Servers of a service by their ability to get work, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Published as ready, not paused and not full.
    pub usable_count: u32,
    /// Excluded after failures.
    pub paused_count: u32,
    /// Draining, with a removed entry, or with an address that another server is believed to have.
    pub draining_count: u32,
    /// Without a permit under the limit that they named.
    pub limited_count: u32,
    /// Engines that recently had no free slot.
    pub full_count: u32,
}

/// Active version of the operator's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveVersion {
    /// Version number that the operator assigned.
    pub version: Revision,
    /// When it became active in this process.
    pub at: TimeUs,
}

/// Effect of a registry update that the update itself does not show.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdateEffect {
    /// Server that is not used, because the configuration does not name its service.
    pub unconfigured: Option<BackendServerId>,
    /// Servers that get no requests, because a later one is published at their address.
    pub displaced: Vec<BackendServerId>,
}

/// State on which requests are decided; owned by the traffic thread.
#[derive(Debug)]
pub struct ServingState {
    pub(crate) config: ServingConfig,
    operator_config: Option<Arc<OperatorConfig>>,
    activated_at: TimeUs,
    /// All published records, also those of services that the configuration does not name.
    published: BTreeMap<BackendServerId, ServerRecord>,
    /// Backend servers in use.
    pub servers: ServerTable,
    /// Prompt parts that crash engines, as far as this process knows.
    pub quarantine: PromptQuarantine,
    /// Crash reports that this process may send to agents.
    pub crash_reports: ReportBudget,
    budgets: HashMap<ServiceName, RetryBudget>,
    is_synced: bool,
    /// When the registry responded again after an outage.
    registry_regained_at: Option<TimeUs>,
    pub(crate) placement: Box<dyn PlacementPolicy>,
    pub(crate) rng: SmallRng,
}

impl ServingState {
    /// Serving state before the first update, with placement by fixed costs.
    pub fn new(config: ServingConfig) -> Self {
        Self::with_placement(config, Box::new(FixedCost))
    }

    /// Serving state before the first update.
    pub fn with_placement(config: ServingConfig, placement: Box<dyn PlacementPolicy>) -> Self {
        let rng = SmallRng::seed_from_u64(config.seed);
        Self {
            config,
            operator_config: None,
            activated_at: TimeUs::ZERO,
            published: BTreeMap::new(),
            servers: ServerTable::default(),
            quarantine: PromptQuarantine::default(),
            crash_reports: ReportBudget::default(),
            budgets: HashMap::new(),
            is_synced: false,
            registry_regained_at: None,
            placement,
            rng,
        }
    }

    /// Applies an update of the registry's contents.
    pub fn apply(&mut self, now: TimeUs, update: RegistryUpdate) -> UpdateEffect {
        let mut effect = UpdateEffect::default();
        match update {
            RegistryUpdate::OperatorConfig(ref operator_config) => {
                if !self.is_outdated(&update) {
                    self.operator_config = Some(Arc::clone(operator_config));
                    self.activated_at = now;
                    effect.displaced = self.use_configured_servers(now);
                }
            }
            RegistryUpdate::Server(record) => {
                self.published.insert(record.id.clone(), record.clone());
                if self.is_in_use(&record) {
                    effect.displaced = self.publish(now, record);
                } else {
                    self.remove_server(now, &record.id);
                    effect.unconfigured = Some(record.id);
                }
            }
            RegistryUpdate::ServerRemoved(id) => {
                self.published.remove(&id);
                self.remove_server(now, &id);
            }
            RegistryUpdate::Synced(_) => self.is_synced = true,
            // Records may have expired while the registry was being restored.
            RegistryUpdate::Regained | RegistryUpdate::EraChanged { .. } => {
                self.registry_regained_at = Some(now);
            }
            // Servers that are missing after the recovery had their time to be published again.
            RegistryUpdate::EraRecovered => self.registry_regained_at = None,
            RegistryUpdate::Unusable { .. }
            | RegistryUpdate::Lost(_)
            | RegistryUpdate::HeldBack(_) => {}
        }
        effect
    }

    /// Whether a published record is of a server in use.
    ///
    /// A record of a service that the configuration does not name may come from another writer, and
    /// must not affect the server whose id or address it has. Servers of a service that is dropped
    /// from the configuration stay in use for the requests of the earlier version.
    fn is_in_use(&self, record: &ServerRecord) -> bool {
        let known = self.servers.key_of(&record.id);
        let known = known.and_then(|key| self.servers.get(key));
        let is_known = known.is_some_and(|server| server.record.service == record.service);
        let operator_config = self.operator_config.as_ref();
        is_known || operator_config.is_some_and(|known| known.service(&record.service).is_some())
    }

    /// Publishes the servers that a new configuration brings into use; returns those that are
    /// displaced by them.
    fn use_configured_servers(&mut self, now: TimeUs) -> Vec<BackendServerId> {
        let is_published = |record: &ServerRecord| {
            let known = self.servers.key_of(&record.id);
            let known = known.and_then(|key| self.servers.get(key));
            known.is_some_and(|server| server.record == *record)
        };
        let records = self.published.values();
        let records: Vec<_> = records
            .filter(|record| !is_published(record) && self.is_in_use(record))
            .cloned()
            .collect();
        let records = records.into_iter();
        records
            .flat_map(|record| self.publish(now, record))
            .collect()
    }

    fn publish(&mut self, now: TimeUs, record: ServerRecord) -> Vec<BackendServerId> {
        let region = self.config.regions.get(&record.availability_zone).cloned();
        self.servers.publish(now, record, region)
    }

    fn remove_server(&mut self, now: TimeUs, id: &BackendServerId) {
        let is_after_outage = self
            .registry_regained_at
            .is_some_and(|at| now.since(at) < OUTAGE_RECOVERY_PERIOD);
        let retention = if is_after_outage {
            EXPIRED_RETENTION
        } else {
            REMOVED_RETENTION
        };
        self.servers.remove(now, retention, id);
    }

    /// Whether an update is a configuration that is not newer than the active one, which may have come
    /// another way.
    pub fn is_outdated(&self, update: &RegistryUpdate) -> bool {
        let RegistryUpdate::OperatorConfig(operator_config) = update else {
            return false;
        };
        let known = self.operator_config.as_ref();
        known.is_some_and(|known| operator_config.version() <= known.version())
    }

    /// Active configuration; `None` before the first one arrives.
    pub fn operator_config(&self) -> Option<&Arc<OperatorConfig>> {
        self.operator_config.as_ref()
    }

    /// Active version, and since when it is active.
    pub fn active_version(&self) -> Option<ActiveVersion> {
        self.operator_config
            .as_ref()
            .map(|operator_config| ActiveVersion {
                version: operator_config.version(),
                at: self.activated_at,
            })
    }

    /// Services of the active configuration.
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

    /// Service for a request of a route, chosen at random by the route's weights.
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

    /// Retry budget of a service.
    pub fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let limits = self.retry_limits();
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.set_limits(limits);
        budget
    }

    /// Retry limits of this process. The extra retries are shared without communication between
    /// processes: there are fewer processes than backend servers, and each process takes half of
    /// one server's share.
    fn retry_limits(&self) -> RetryLimits {
        let servers_count = u32::try_from(self.servers.addresses_count()).unwrap_or(u32::MAX);
        RetryLimits {
            requests_per_retry: self.config.requests_per_retry,
            retries_min_count: self.config.retries_extra_count / servers_count.max(1) / 2,
        }
    }

    /// Servers of a service by their ability to get work.
    pub fn server_counts(&self, now: TimeUs, service: &ServiceName) -> ServerCounts {
        let mut counts = ServerCounts::default();
        for (_, server) in self.servers.of_service(service) {
            if server.lifecycle != ServerLifecycle::Ready || server.is_displaced(now) {
                counts.draining_count += 1;
            } else if server.is_paused(now) {
                counts.paused_count += 1;
            } else if now < server.limited_until {
                counts.limited_count += 1;
            } else if server
                .full_at
                .is_some_and(|at| now.since(at) < FULL_STATE_PERIOD)
            {
                counts.full_count += 1;
            } else {
                counts.usable_count += 1;
            }
        }
        counts
    }

    /// Distance of a server from this process.
    pub fn distance(&self, server: &Server) -> Distance {
        distance(server, &self.config.locality)
    }

    /// Counts a request as in flight at a server.
    pub fn begin_request(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight_count += 1;
        }
    }

    /// Records work that was sent to a server, for the placement of further requests.
    pub fn begin_work(&mut self, now: TimeUs, key: ServerKey, work: Work) -> WorkId {
        self.placement.begin(now, &self.servers, key, work)
    }

    /// Records that work at a server has ended. `took` is the time until its response, or until the
    /// first event of a stream; `None` if the response is incomplete or reports a failure.
    pub fn end_work(&mut self, now: TimeUs, key: ServerKey, id: WorkId, took: Option<DurationUs>) {
        self.placement.end(now, key, id, took);
    }

    /// Records that a server sends nothing for too long.
    pub fn record_unresponsive(&mut self, now: TimeUs, key: ServerKey) {
        record_outcome(now, self, key, StepOutcome::TimedOut);
    }

    /// What the placement policy has learned about servers.
    pub fn learned_servers(&self, now: TimeUs) -> Vec<LearnedServer> {
        self.placement.learned(now, &self.servers)
    }

    /// Counts an in-flight request at a server as ended.
    pub fn end_request(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight_count = server.in_flight_count.saturating_sub(1);
        }
    }
}
