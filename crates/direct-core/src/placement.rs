//! Choice of the server for a request.
//!
//! Designed for engines and services below half of their capacity, with short bursts, and for
//! servers that fail. The cost of a server is the time that the request is expected to spend there
//! beyond its own work: the network round trip, the delay by this process's in-flight requests at
//! the server, and the time lost if the server fails. Load reports are not read: they lag by a
//! second, whereas in-flight requests are known at once and decrease together with a burst.

use std::cmp::Ordering;
use std::collections::HashMap;

use cuminlead_types::{AvailabilityZoneName, DurationUs, RegionName, ServiceName, TimeUs};
use rand::{Rng, RngExt};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::server::Stage;
use crate::servers::{Server, ServerKey, ServerLifecycle, ServerTable};

/// Network round trip to a server in the same availability zone.
const SAME_ZONE_ROUND_TRIP_MS: f64 = 0.4;
/// Network round trip to a server in another availability zone of the region.
const OTHER_ZONE_ROUND_TRIP_MS: f64 = 2.8;
/// Network round trip to a server in another region, with the transfer time of the request's bytes
/// on the shared link.
const OTHER_REGION_ROUND_TRIP_MS: f64 = 42.0;
/// Time lost by a request that a server fails: the retry and the time until the failure is
/// detected.
const FAILURE_COST_MS: f64 = 400.0;
/// Delay by one in-flight plain request at a server.
const PLAIN_REQUEST_COST_MS: f64 = 12.0;
/// Delay by one prompt that is being computed: 5,200 tokens at 55 tokens per ms.
const PREFILL_COST_MS: f64 = 95.0;
/// Delay by one output that is being generated, from the longer steps of a fuller batch.
const DECODE_COST_MS: f64 = 12.0;
/// Cost of a server that recently had no free slot; it is tried after the others.
const FULL_COST_MS: f64 = 100.0;
/// Time for which a server without a free slot is tried last.
const FULL_COST_PERIOD: DurationUs = DurationUs::from_ms(300);
/// Cost of an engine whose memory is full according to the forecast; lower use costs proportionally
/// less.
const MEMORY_COST_MS: f64 = 60.0;
/// Age at which a report of free memory is stale, because outputs have begun and ended.
const MEMORY_REPORT_MAX_AGE: DurationUs = DurationUs::from_ms(1_500);
/// Cost of a region without a usable prefill server: a decode engine computes the prompt at half
/// the speed and delays the outputs that it generates.
const NO_PREFILL_COST_MS: f64 = 250.0;
/// Costs closer than this count as equal, so that work is spread.
const COST_TIE_MS: f64 = 0.5;

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

/// Chooses the server with the lowest cost, and one at random among equals. Fallback servers are
/// used only if no ready server can be chosen.
pub fn choose(
    now: TimeUs,
    servers: &ServerTable,
    request: PlacementRequest<'_>,
    rng: &mut dyn Rng,
) -> Result<ServerKey, PlacementError> {
    let is_fallback_now = |server: &Server| is_fallback(now, server);
    let ready = cheapest(now, servers, request, rng, is_ready);
    match ready {
        Ok(key) => Ok(key),
        Err(error) => cheapest(now, servers, request, rng, is_fallback_now).map_err(|_| error),
    }
}

/// Whether [`choose`] would find a server.
pub fn has_server(now: TimeUs, servers: &ServerTable, request: PlacementRequest<'_>) -> bool {
    let mut of_service = servers.of_service(request.service);
    of_service.any(|(key, server)| {
        (is_ready(server) || is_fallback(now, server))
            && is_eligible(server, request)
            && !request.excluded.contains(&key)
            && server.held_back_until(now).is_none()
    })
}

fn is_ready(server: &Server) -> bool {
    server.lifecycle == ServerLifecycle::Ready
}

/// Whether a server's entry was removed recently, so that it is used if there is no other.
fn is_fallback(now: TimeUs, server: &Server) -> bool {
    match server.lifecycle {
        ServerLifecycle::Removed { until } => now < until,
        ServerLifecycle::Ready | ServerLifecycle::Draining(_) => false,
    }
}

fn cheapest(
    now: TimeUs,
    servers: &ServerTable,
    request: PlacementRequest<'_>,
    rng: &mut dyn Rng,
    is_allowed: impl Fn(&Server) -> bool,
) -> Result<ServerKey, PlacementError> {
    let mut best: Option<(f64, ServerKey)> = None;
    let mut ties = 1_u32;
    let mut first_usable: Option<(TimeUs, bool)> = None;
    let prefill_costs = prefill_costs(now, servers, request);
    for (key, server) in servers.of_service(request.service) {
        if !is_allowed(server) || !is_eligible(server, request) || request.excluded.contains(&key) {
            continue;
        }
        if let Some(until) = server.held_back_until(now) {
            let is_limited = until == server.limited_until;
            let usable = (until, is_limited);
            first_usable = Some(first_usable.map_or(usable, |first| first.min(usable)));
            continue;
        }
        let cost = cost_ms(now, server, request) + prefill_cost_ms(&prefill_costs, server);
        let order = best.map_or(Ordering::Less, |(least, _)| compare(cost, least));
        match order {
            Ordering::Less => {
                best = Some((cost, key));
                ties = 1;
            }
            Ordering::Equal => {
                ties += 1;
                if rng.random_range(0..ties) == 0 {
                    best = Some((cost, key));
                }
            }
            Ordering::Greater => {}
        }
    }
    match (best, first_usable) {
        (Some((_, key)), _) => Ok(key),
        (None, Some((until, true))) => Err(PlacementError::LimitedUntil(until)),
        (None, Some((until, false))) => Err(PlacementError::PausedUntil(until)),
        (None, None) => Err(PlacementError::None),
    }
}

/// Lowest cost of a prefill in each region, for requests that need a decode server; `None` for
/// others. A KV cache does not cross regions, so the choice of the decode server determines where
/// the prompt is computed.
fn prefill_costs(
    now: TimeUs,
    servers: &ServerTable,
    request: PlacementRequest<'_>,
) -> Option<HashMap<RegionName, f64>> {
    if request.stage != Some(Stage::Decode) {
        return None;
    }
    let prefill = PlacementRequest {
        stage: Some(Stage::Prefill),
        region: None,
        excluded: &[],
        ..request
    };
    let mut costs = HashMap::new();
    for (_, server) in servers.of_service(request.service) {
        let is_usable =
            server.lifecycle == ServerLifecycle::Ready && server.held_back_until(now).is_none();
        let Some(region) = server.region.as_ref().filter(|_| is_usable) else {
            continue;
        };
        if is_eligible(server, prefill) {
            // The round trip is counted with the decode server, which is in the same region.
            let cost =
                cost_ms(now, server, prefill) - round_trip_ms(server, request.client_locality);
            let least = costs.entry(region.clone()).or_insert(cost);
            *least = cost.min(*least);
        }
    }
    Some(costs)
}

fn prefill_cost_ms(costs: &Option<HashMap<RegionName, f64>>, server: &Server) -> f64 {
    let Some(costs) = costs else { return 0.0 };
    let cost = server.region.as_ref().and_then(|region| costs.get(region));
    cost.copied().unwrap_or(NO_PREFILL_COST_MS)
}

fn is_eligible(server: &Server, request: PlacementRequest<'_>) -> bool {
    let is_stage = request.stage.is_none() || server.record.stage == request.stage;
    let is_region = request.region.is_none() || server.region.as_ref() == request.region;
    is_stage && is_region
}

fn compare(cost: f64, least: f64) -> Ordering {
    if (cost - least).abs() < COST_TIE_MS {
        Ordering::Equal
    } else {
        cost.total_cmp(&least)
    }
}

/// Expected time of a request at a server beyond its own work, in milliseconds.
pub fn cost_ms(now: TimeUs, server: &Server, request: PlacementRequest<'_>) -> f64 {
    let request_cost_ms = match request.stage {
        Some(Stage::Prefill) => PREFILL_COST_MS,
        Some(Stage::Decode) => DECODE_COST_MS,
        None => PLAIN_REQUEST_COST_MS,
    };
    let is_full = server
        .full_at
        .is_some_and(|at| now.since(at) < FULL_COST_PERIOD);
    let full_ms = if is_full { FULL_COST_MS } else { 0.0 };
    round_trip_ms(server, request.client_locality)
        + full_ms
        + memory_ms(now, server)
        + f64::from(server.in_flight_count) * request_cost_ms
        + server.health.failure_rate(now) * FAILURE_COST_MS
}

/// Cost of the memory in use; engines without a recent report count as half full.
#[allow(clippy::cast_precision_loss, reason = "token counts are small")]
fn memory_ms(now: TimeUs, server: &Server) -> f64 {
    let reported = server
        .memory
        .filter(|memory| now.since(memory.reported_at) < MEMORY_REPORT_MAX_AGE);
    let used = reported.map_or(0.5, |memory| {
        1.0 - memory.free_tokens.0 as f64 / memory.total_tokens.0.max(1) as f64
    });
    if server.record.stage == Some(Stage::Decode) {
        used * MEMORY_COST_MS
    } else {
        0.0
    }
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
