//! Routes, services and limits of one version of the operator's configuration.
//!
//! A version is immutable and replaced as a whole by a newer one, so a request sees the same
//! version from start to end.

use std::collections::HashMap;

use cuminlead_types::{Bytes, DurationUs, Revision, ServiceName};

use crate::teams::Teams;

/// How a request is answered, and whether it may run again after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answered by a stream of events.
    Stream {
        /// Whether another server may resume the stream.
        resumable: bool,
    },
}

/// Priority of a request; the lowest number is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPriority(u8);

impl RequestPriority {
    /// Most urgent priority.
    pub const HIGHEST: Self = Self(0);
    /// Least urgent priority.
    pub const LOWEST: Self = Self(9);

    /// Priority of a number; numbers above that of the least urgent one count as it.
    pub fn new(number: u64) -> Self {
        u8::try_from(number).map_or(Self::LOWEST, |number| Self(number).min(Self::LOWEST))
    }

    /// Number of the priority.
    pub fn number(self) -> u8 {
        self.0
    }
}

impl Default for RequestPriority {
    fn default() -> Self {
        Self(5)
    }
}

/// Service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Share relative to the other services of the route.
    pub weight: u32,
}

/// Rule for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in log lines and metric labels.
    pub name: String,
    /// Host name, in lower case, without port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How its requests are answered, and whether they may run again.
    pub kind: RequestKind,
    /// Services that receive the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Longest time until the response is complete.
    pub timeout: DurationUs,
    /// Time within which a response is of full use.
    pub latency_target: DurationUs,
    /// Most servers on which one request may run.
    pub attempts_max_count: u32,
    /// Priority of its requests.
    pub priority: RequestPriority,
    /// Whether requests need the key of a team, if the configuration has teams.
    pub checks_keys: bool,
}

/// Service of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name by which routes refer to it.
    pub name: ServiceName,
    /// Properties of its servers if they are model engines; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// Properties of a service's model engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineSpec {
    /// Longest time for which a slot and KV memory can be reserved for a request; `None` if the
    /// engines take no reservations.
    pub reservation_max: Option<DurationUs>,
    /// Time for which a prefill server retains an unused KV cache; `None` if it is not published.
    pub cache_ttl: Option<DurationUs>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_max_bytes: Bytes,
    /// Largest request body.
    pub body_max_bytes: Bytes,
    /// Longest time for a request head to arrive.
    pub head_timeout: DurationUs,
    /// Longest time that a kept-alive connection may be idle.
    pub idle_timeout: DurationUs,
}

impl Default for CallerLimits {
    /// Limits before the first configuration arrives; only refusals are sent until then.
    fn default() -> Self {
        Self {
            head_max_bytes: Bytes(16 * 1024),
            body_max_bytes: Bytes(4 * 1024 * 1024),
            head_timeout: DurationUs::from_ms(3_000),
            idle_timeout: DurationUs::from_ms(15_000),
        }
    }
}

/// Result of a route lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// Route with the longest matching prefix.
    Found(&'a Route),
    /// The configuration has no route for the request.
    NoRoute,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    version: Revision,
    routes: Vec<Route>,
    /// Indexes of each host's routes, those with the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    services: HashMap<ServiceName, ServiceSpec>,
    limits: CallerLimits,
    teams: Option<Teams>,
}

impl OperatorConfig {
    /// Configuration of one version.
    pub fn new(
        version: Revision,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        Self {
            version,
            routes,
            by_host,
            services: services
                .into_iter()
                .map(|spec| (spec.name.clone(), spec))
                .collect(),
            limits,
            teams: None,
        }
    }

    /// The configuration with teams, whose keys requests need.
    pub fn with_teams(mut self, teams: Teams) -> Self {
        self.teams = Some(teams);
        self
    }

    /// Teams of callers; `None` if callers need no key.
    pub fn teams(&self) -> Option<&Teams> {
        self.teams.as_ref()
    }

    /// Version number that the operator assigned.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Limits on the requests and connections of callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Service of a name; `None` if this version does not have it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Route of a request: among the routes of its host, the one with the longest prefix of its
    /// path.
    ///
    /// A port in `authority` is ignored.
    pub fn route(&self, authority: &str, path: &str) -> RouteMatch<'_> {
        let host = host_of(authority).to_ascii_lowercase();
        let found = self.by_host.get(&host).and_then(|indexes| {
            let mut routes = indexes.iter().map(|index| &self.routes[*index]);
            routes.find(|route| path.starts_with(&route.prefix))
        });
        found.map_or(RouteMatch::NoRoute, RouteMatch::Found)
    }
}

/// Host part of `host` or `host:port`.
fn host_of(authority: &str) -> &str {
    match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => authority,
    }
}
