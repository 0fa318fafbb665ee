//! Choice of the server for a request.
//!
//! A [`PlacementPolicy`] chooses among the servers that may get the request. [`fixed`] adds fixed
//! costs for what the process knows of a server; [`expected`] estimates when the request would be
//! complete there, from what earlier requests took.

pub mod estimates;
pub mod expected;
pub mod fixed;
pub mod work;

use std::fmt;

use cuminlead_types::{
    AvailabilityZoneName, BackendServerId, DurationUs, RegionName, ServiceName, TimeUs,
};
use rand::Rng;
use strum::{Display, EnumIter, IntoStaticStr};

pub use self::expected::ExpectedCost;
pub use self::fixed::{FixedCost, choose};
pub use self::work::{Demand, RouteId, Work, WorkId};
use crate::outcome::StepOutcome;
use crate::server::Stage;
use crate::servers::{Server, ServerKey, ServerLifecycle, ServerTable};

/// Network round trip to a server in the same availability zone.
const SAME_ZONE_ROUND_TRIP_MS: f64 = 0.4;
/// Network round trip to a server in another availability zone of the region.
const OTHER_ZONE_ROUND_TRIP_MS: f64 = 2.8;
/// Network round trip to a server in another region, with the transfer time of the request's bytes
/// on the shared link.
const OTHER_REGION_ROUND_TRIP_MS: f64 = 42.0;
/// Region and availability zone that a request's bytes come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientLocality {
    /// Availability zone of the process that has received the request.
    pub availability_zone: AvailabilityZoneName,
    /// Region of that availability zone.
    pub region: RegionName,
}

/// Constraints of one placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service of the server.
    pub service: &'a ServiceName,
    /// Stage of an engine; `None` for plain services.
    pub stage: Option<Stage>,
    /// Where the request's bytes come from.
    pub client_locality: &'a ClientLocality,
    /// Restricts the choice to servers of this region.
    pub region: Option<&'a RegionName>,
    /// Servers that have rejected or failed this request.
    pub excluded: &'a [ServerKey],
    /// What the request is likely to cost a server.
    pub demand: Demand,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// All are paused; the first pause ends at the given time.
    PausedUntil(TimeUs),
    /// All are paused or have reached the limits that they named; one with a limit is the first that
    /// may get a request, at the given time.
    LimitedUntil(TimeUs),
    /// None is published, or all have rejected or failed this request.
    None,
}

/// Chooses servers, and may learn from the requests that this process sends.
pub trait PlacementPolicy: fmt::Debug {
    /// Chooses a server. Fallback servers are used only if no ready server can be chosen.
    fn choose(
        &self,
        now: TimeUs,
        servers: &ServerTable,
        request: PlacementRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Result<ServerKey, PlacementError>;

    /// Records that work was sent to a server.
    fn begin(&mut self, _: TimeUs, _: &ServerTable, _: ServerKey, _: Work) -> WorkId {
        WorkId::default()
    }

    /// Records that work at a server has ended. `took` is the time until its response, or until the
    /// first event of a stream; `None` if the response is incomplete or reports a failure.
    fn end(&mut self, _: TimeUs, _: ServerKey, _: WorkId, _took: Option<DurationUs>) {}

    /// Records that a step failed at a server.
    fn record_failure(&mut self, _: TimeUs, _: &ServerTable, _: ServerKey, _: StepOutcome) {}

    /// Latency targets for which a prompt may be queued behind others before its prefill is
    /// abandoned.
    fn prefill_wait_targets(&self) -> u64 {
        1
    }

    /// What the policy has learned about servers, for metrics and logs.
    fn learned(&self, _: TimeUs, _: &ServerTable) -> Vec<LearnedServer> {
        Vec::new()
    }
}

/// What a policy has learned about one server.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedServer {
    /// Server that the estimates are for.
    pub server: BackendServerId,
    /// Rate at which it computes prompts, in tokens per ms; `None` if it has computed none.
    pub prefill_tokens_per_ms: Option<f64>,
    /// Its time for a response relative to that of all servers; `None` if it has sent none.
    pub slowness: Option<f64>,
    /// Share of recent steps that failed.
    pub failure_rate: f64,
    /// Time that the work of this process at the server still takes, in ms.
    pub work_in_progress_ms: f64,
}

/// Whether [`choose`] would find a server.
pub fn has_server(now: TimeUs, servers: &ServerTable, request: PlacementRequest<'_>) -> bool {
    let mut of_service = servers.of_service(request.service);
    of_service.any(|(key, server)| {
        (is_ready(now, server) || is_fallback(now, server))
            && is_eligible(server, request)
            && !request.excluded.contains(&key)
            && server.held_back_until(now).is_none()
    })
}

/// Whether a server is published as ready and believed to have its address.
fn is_ready(now: TimeUs, server: &Server) -> bool {
    server.lifecycle == ServerLifecycle::Ready && !server.is_displaced(now)
}

/// Whether a server's entry was removed recently, so that it is used if there is no other.
fn is_fallback(now: TimeUs, server: &Server) -> bool {
    match server.lifecycle {
        ServerLifecycle::Removed { until } => now < until && !server.is_displaced(now),
        ServerLifecycle::Ready | ServerLifecycle::Draining(_) => false,
    }
}

/// Servers that may get a request now.
struct Usable<'a> {
    servers: Vec<(ServerKey, &'a Server)>,
    /// When the first of those that may not gets its next request, and whether a limit holds it
    /// back.
    first_usable: Option<(TimeUs, bool)>,
}

impl Usable<'_> {
    /// Why no server can be chosen, if there is none.
    fn error(&self) -> PlacementError {
        match self.first_usable {
            Some((until, true)) => PlacementError::LimitedUntil(until),
            Some((until, false)) => PlacementError::PausedUntil(until),
            None => PlacementError::None,
        }
    }
}

fn usable<'a>(
    now: TimeUs,
    servers: &'a ServerTable,
    request: PlacementRequest<'_>,
    is_allowed: impl Fn(&Server) -> bool,
) -> Usable<'a> {
    let mut usable = Usable {
        servers: Vec::new(),
        first_usable: None,
    };
    for (key, server) in servers.of_service(request.service) {
        if !is_allowed(server) || !is_eligible(server, request) || request.excluded.contains(&key) {
            continue;
        }
        if let Some(until) = server.held_back_until(now) {
            let held_back = (until, until == server.limited_until);
            let first = usable.first_usable;
            usable.first_usable = Some(first.map_or(held_back, |first| first.min(held_back)));
            continue;
        }
        usable.servers.push((key, server));
    }
    usable
}

fn is_eligible(server: &Server, request: PlacementRequest<'_>) -> bool {
    let is_stage = request.stage.is_none() || server.record.stage == request.stage;
    let is_region = request.region.is_none() || server.region.as_ref() == request.region;
    is_stage && is_region
}

/// Distance of a server from the process, by availability zone and region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Distance {
    /// In the same availability zone.
    SameZone,
    /// In another availability zone of the region.
    OtherZone,
    /// In another region.
    OtherRegion,
}

/// Distance of a server from the given locality.
pub fn distance(server: &Server, client_locality: &ClientLocality) -> Distance {
    if server.record.availability_zone == client_locality.availability_zone {
        Distance::SameZone
    } else if server.region.as_ref() == Some(&client_locality.region) {
        Distance::OtherZone
    } else {
        Distance::OtherRegion
    }
}

fn round_trip_ms(server: &Server, client_locality: &ClientLocality) -> f64 {
    match distance(server, client_locality) {
        Distance::SameZone => SAME_ZONE_ROUND_TRIP_MS,
        Distance::OtherZone => OTHER_ZONE_ROUND_TRIP_MS,
        Distance::OtherRegion => OTHER_REGION_ROUND_TRIP_MS,
    }
}

/// Time after which a refused caller may find a server, as far as this is known.
pub fn retry_after(now: TimeUs, error: PlacementError) -> DurationUs {
    match error {
        PlacementError::PausedUntil(until) | PlacementError::LimitedUntil(until) => {
            until.since(now).max(RETRY_AFTER_MIN)
        }
        PlacementError::None => RETRY_AFTER_UNKNOWN,
    }
}

/// Shortest announced time; a caller that retries sooner gets the same refusal.
const RETRY_AFTER_MIN: DurationUs = DurationUs::from_ms(200);
/// Announced time when no server is known. Published entries are renewed about every second.
const RETRY_AFTER_UNKNOWN: DurationUs = DurationUs::from_ms(1_000);
