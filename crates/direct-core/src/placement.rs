//! Which server a request goes to.
//!
//! Answers the load of these deployments: engines and services below half of their capacity, with
//! short bursts, and with servers that fail. The cost of a server is the time that the request is
//! expected to spend there: the way to it, the work of this process already under way at it, and
//! the time lost if it fails. Reports of load are not read: they lag by a second, while the
//! requests under way are known at once and fall together with a burst.

use std::cmp::Ordering;
use std::collections::HashMap;

use cuminlead_types::{AvailabilityZoneName, DurationUs, RegionName, ServiceName, TimeUs};
use rand::{Rng, RngExt};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::server::Stage;
use crate::servers::{Server, ServerKey, ServerLifecycle, ServerTable};

/// Way to a server in the same availability zone and back.
const WITHIN_ZONE_MS: f64 = 0.4;
/// Way to a server in another availability zone of the region and back.
const BETWEEN_ZONES_MS: f64 = 2.8;
/// Way to a server in another region and back, with the time that its bytes take on the shared
/// link.
const BETWEEN_REGIONS_MS: f64 = 42.0;
/// Time lost by a request that a server fails: the repeat and the time until the failure shows.
const FAILURE_MS: f64 = 400.0;
/// Delay by one request that is under way at a server, for plain requests.
const PLAIN_WORK_MS: f64 = 12.0;
/// Delay by one prompt that is being computed: 5,200 tokens at 55 tokens a ms.
const PREFILL_WORK_MS: f64 = 95.0;
/// Delay by one answer that is being generated: the longer steps of a fuller batch.
const DECODE_WORK_MS: f64 = 12.0;
/// Cost of a server that had no room lately; it is asked after the others.
const FULL_MS: f64 = 100.0;
/// Time for which a server without room is asked last.
const FULL_FOR: DurationUs = DurationUs::from_ms(300);
/// Cost of an engine whose memory is full by forecast; an emptier one costs proportionally less.
const MEMORY_MS: f64 = 60.0;
/// Time in which a known amount of free memory loses its meaning, as answers begin and end.
const MEMORY_KNOWN_FOR: DurationUs = DurationUs::from_ms(1_500);
/// Cost of a region without a usable prefill server: a decode engine computes the prompt at half
/// the speed, and delays the answers that it generates.
const NO_PREFILL_MS: f64 = 250.0;
/// Costs closer than this count as equal, so that work spreads.
const TIE_MS: f64 = 0.5;

/// Where a request comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientLocality {
    /// Availability zone.
    pub availability_zone: AvailabilityZoneName,
    /// Region.
    pub region: RegionName,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Stage, for engines.
    pub stage: Option<Stage>,
    /// Where the bytes come from.
    pub client_locality: &'a ClientLocality,
    /// Only servers of this region.
    pub region: Option<&'a RegionName>,
    /// Servers that have refused or failed this request.
    pub excluded: &'a [ServerKey],
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// All are paused; the first pause ends at the given time.
    PausedUntil(TimeUs),
    /// None is published, or all have refused this request.
    None,
}

/// Chooses the server with the lowest cost; among equals, one at random.
pub fn choose(
    now: TimeUs,
    servers: &ServerTable,
    need: PlacementRequest<'_>,
    rng: &mut dyn Rng,
) -> Result<ServerKey, PlacementError> {
    let is_removed = |server: &Server| is_last_resort(now, server);
    let ready = cheapest(now, servers, need, rng, is_ready);
    match ready {
        Ok(key) => Ok(key),
        Err(no_server) => cheapest(now, servers, need, rng, is_removed).map_err(|_| no_server),
    }
}

/// Whether a server can be chosen.
pub fn has_server(now: TimeUs, servers: &ServerTable, need: PlacementRequest<'_>) -> bool {
    let mut of_service = servers.of_service(need.service);
    of_service.any(|(key, server)| {
        (is_ready(server) || is_last_resort(now, server))
            && fits(server, need)
            && !need.excluded.contains(&key)
            && !server.health.is_paused(now)
    })
}

fn is_ready(server: &Server) -> bool {
    server.lifecycle == ServerLifecycle::Ready
}

/// Whether a server's entry has just gone, so that it is used if there is no other.
fn is_last_resort(now: TimeUs, server: &Server) -> bool {
    match server.lifecycle {
        ServerLifecycle::Removed { until } => now < until,
        ServerLifecycle::Ready | ServerLifecycle::Leaving(_) => false,
    }
}

fn cheapest(
    now: TimeUs,
    servers: &ServerTable,
    need: PlacementRequest<'_>,
    rng: &mut dyn Rng,
    is_allowed: impl Fn(&Server) -> bool,
) -> Result<ServerKey, PlacementError> {
    let mut best: Option<(f64, ServerKey)> = None;
    let mut ties = 1_u32;
    let mut first_pause_end: Option<TimeUs> = None;
    let prefill_costs = prefill_costs(now, servers, need);
    for (key, server) in servers.of_service(need.service) {
        if !is_allowed(server) || !fits(server, need) || need.excluded.contains(&key) {
            continue;
        }
        if server.health.is_paused(now) {
            let until = server.health.paused_until();
            first_pause_end = Some(first_pause_end.map_or(until, |first| first.min(until)));
            continue;
        }
        let cost = cost_ms(now, server, need) + prefill_ms(&prefill_costs, server);
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
    match (best, first_pause_end) {
        (Some((_, key)), _) => Ok(key),
        (None, Some(until)) => Err(PlacementError::PausedUntil(until)),
        (None, None) => Err(PlacementError::None),
    }
}

/// Lowest cost of a prefill in each region, for requests that need a decode: a cache does not cross
/// regions, so the decode server decides where the prompt is computed.
fn prefill_costs(
    now: TimeUs,
    servers: &ServerTable,
    need: PlacementRequest<'_>,
) -> Option<HashMap<RegionName, f64>> {
    if need.stage != Some(Stage::Decode) {
        return None;
    }
    let prefill = PlacementRequest {
        stage: Some(Stage::Prefill),
        region: None,
        excluded: &[],
        ..need
    };
    let mut costs = HashMap::new();
    for (_, server) in servers.of_service(need.service) {
        let is_usable = server.lifecycle == ServerLifecycle::Ready && !server.health.is_paused(now);
        let Some(region) = server.region.as_ref().filter(|_| is_usable) else {
            continue;
        };
        if fits(server, prefill) {
            // The way is counted with the decode server, which is in the same region.
            let cost = cost_ms(now, server, prefill) - distance_ms(server, need.client_locality);
            let least = costs.entry(region.clone()).or_insert(cost);
            *least = cost.min(*least);
        }
    }
    Some(costs)
}

fn prefill_ms(costs: &Option<HashMap<RegionName, f64>>, server: &Server) -> f64 {
    let Some(costs) = costs else { return 0.0 };
    let cost = server.region.as_ref().and_then(|region| costs.get(region));
    cost.copied().unwrap_or(NO_PREFILL_MS)
}

fn fits(server: &Server, need: PlacementRequest<'_>) -> bool {
    let is_stage = need.stage.is_none() || server.record.stage == need.stage;
    let is_region = need.region.is_none() || server.region.as_ref() == need.region;
    is_stage && is_region
}

fn compare(cost: f64, least: f64) -> Ordering {
    if (cost - least).abs() < TIE_MS {
        Ordering::Equal
    } else {
        cost.total_cmp(&least)
    }
}

/// Expected time of a request at a server beyond its own work.
pub fn cost_ms(now: TimeUs, server: &Server, need: PlacementRequest<'_>) -> f64 {
    let work_ms = match need.stage {
        Some(Stage::Prefill) => PREFILL_WORK_MS,
        Some(Stage::Decode) => DECODE_WORK_MS,
        None => PLAIN_WORK_MS,
    };
    let is_full = server.full_at.is_some_and(|at| now.since(at) < FULL_FOR);
    let full_ms = if is_full { FULL_MS } else { 0.0 };
    distance_ms(server, need.client_locality)
        + full_ms
        + memory_ms(now, server)
        + f64::from(server.in_flight_count) * work_ms
        + server.health.failure_rate(now) * FAILURE_MS
}

/// Cost of the memory in use; engines of which nothing is known lately count as half full.
#[allow(clippy::cast_precision_loss, reason = "token counts are small")]
fn memory_ms(now: TimeUs, server: &Server) -> f64 {
    let known = server
        .memory
        .filter(|memory| now.since(memory.known_at) < MEMORY_KNOWN_FOR);
    let used = known.map_or(0.5, |memory| {
        1.0 - memory.free_tokens.0 as f64 / memory.total_tokens.0.max(1) as f64
    });
    if server.record.stage == Some(Stage::Decode) {
        used * MEMORY_MS
    } else {
        0.0
    }
}

/// How far a server is from the process.
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

/// How far a server is from the process.
pub fn distance(server: &Server, client_locality: &ClientLocality) -> Distance {
    if server.record.availability_zone == client_locality.availability_zone {
        Distance::SameZone
    } else if server.region.as_ref() == Some(&client_locality.region) {
        Distance::OtherZone
    } else {
        Distance::OtherRegion
    }
}

fn distance_ms(server: &Server, client_locality: &ClientLocality) -> f64 {
    match distance(server, client_locality) {
        Distance::SameZone => WITHIN_ZONE_MS,
        Distance::OtherZone => BETWEEN_ZONES_MS,
        Distance::OtherRegion => BETWEEN_REGIONS_MS,
    }
}

/// Time after which a refused caller finds a server, as far as this is known.
pub fn retry_after(now: TimeUs, no_server: PlacementError) -> DurationUs {
    match no_server {
        PlacementError::PausedUntil(until) => until.since(now).max(RETRY_AFTER_MIN),
        PlacementError::None => RETRY_AFTER_UNKNOWN,
    }
}

/// Shortest announced time; a caller that comes back sooner meets the same refusal.
const RETRY_AFTER_MIN: DurationUs = DurationUs::from_ms(200);
/// Announced time when no server is known. Published entries are renewed about every second.
const RETRY_AFTER_UNKNOWN: DurationUs = DurationUs::from_ms(1_000);
