//! Routes, services and limits of one version of the configuration.
//!
//! A catalogue is immutable; a newer version replaces it as a whole, so that a request sees one
//! version from its start to its end.

use std::collections::HashMap;

use cuminlead_types::{Bytes, DurationUs, Revision, ServiceName};

/// What a request may do when it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answered by a series of events.
    Stream {
        /// Whether another server may continue the series.
        resumable: bool,
    },
}

/// Service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Share relative to the other services of the route.
    pub weight: u32,
}

/// Rule for the requests to one host and prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host name, in lower case, without port.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Services that take the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Longest time until the whole answer.
    pub timeout: DurationUs,
    /// Time within which an answer is of full use.
    pub latency_target: DurationUs,
    /// Most servers on which one request may run.
    pub attempts_max_count: u32,
}

/// Service of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Shape of its servers, if they are model engines.
    pub engine: Option<EngineSpec>,
}

/// Shape of a service's model engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineSpec {
    /// Longest time for which an engine holds a place and memory for a request that is to come;
    /// none if it holds none.
    pub reservation_max: Option<DurationUs>,
    /// Time for which a prefill server keeps a KV cache that nobody takes, if it is published.
    pub cache_ttl: Option<DurationUs>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_max_bytes: Bytes,
    /// Largest request body.
    pub body_max_bytes: Bytes,
    /// Longest time for a head to arrive.
    pub head_timeout: DurationUs,
    /// Longest time that a kept connection may be idle.
    pub idle_timeout: DurationUs,
}

impl Default for CallerLimits {
    /// Limits before the first configuration arrives; only refusals are sent then.
    fn default() -> Self {
        Self {
            head_max_bytes: Bytes(16 * 1024),
            body_max_bytes: Bytes(4 * 1024 * 1024),
            head_timeout: DurationUs::from_ms(3_000),
            idle_timeout: DurationUs::from_ms(15_000),
        }
    }
}

/// Result of a search for a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// Route with the longest prefix.
    Found(&'a Route),
    /// The configuration has no route for the request.
    NoRoute,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    version: Revision,
    routes: Vec<Route>,
    /// Routes of each host, those with the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    services: HashMap<ServiceName, ServiceSpec>,
    limits: CallerLimits,
}

impl OperatorConfig {
    /// Catalogue of a version.
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
        }
    }

    /// Version as numbered by the operator.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Route of a request: the longest prefix of its path among the routes of its host.
    ///
    /// `authority` may carry a port, which does not select routes.
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
