//! Placement by fixed costs.
//!
//! Designed for engines and services below half of their capacity, with short bursts, and for
//! servers that fail. The cost of a server is the time that the request is expected to spend there
//! beyond its own work: the network round trip, the delay by this process's in-flight requests at
//! the server, and the time lost if the server fails. Load reports are not read: they lag by a
//! second, whereas in-flight requests are known at once and decrease together with a burst.

use std::cmp::Ordering;
use std::collections::HashMap;

use cuminlead_types::{DurationUs, RegionName, TimeUs};
use rand::{Rng, RngExt};

use super::{
    PlacementError, PlacementPolicy, PlacementRequest, is_eligible, is_fallback, is_ready,
    round_trip_ms, usable,
};
use crate::server::Stage;
use crate::servers::{Server, ServerKey, ServerTable};

/// Time lost by a request that a server fails: the retry and the time until the failure is
/// detected.
pub(super) const FAILURE_COST_MS: f64 = 400.0;
/// Delay by one in-flight plain request at a server.
const PLAIN_REQUEST_COST_MS: f64 = 12.0;
/// Delay by one prompt that is being computed: 5,200 tokens at 55 tokens per ms.
const PREFILL_COST_MS: f64 = 95.0;
/// Delay by one output that is being generated, from the longer steps of a fuller batch.
pub(super) const DECODE_COST_MS: f64 = 12.0;
/// Cost of a server that recently had no free slot; it is tried after the others.
pub(super) const FULL_COST_MS: f64 = 100.0;
/// Time for which a server without a free slot is tried last.
pub(super) const FULL_COST_PERIOD: DurationUs = DurationUs::from_ms(300);
/// Cost of an engine whose memory is full according to the forecast; lower use costs proportionally
/// less.
pub(super) const MEMORY_COST_MS: f64 = 60.0;
/// Age at which a report of free memory is stale, because outputs have begun and ended.
const MEMORY_REPORT_MAX_AGE: DurationUs = DurationUs::from_ms(1_500);
/// Cost of a region without a usable prefill server: a decode engine computes the prompt at half
/// the speed and delays the outputs that it generates.
pub(super) const NO_PREFILL_COST_MS: f64 = 250.0;
/// Costs closer than this count as equal, so that work is spread.
const COST_TIE_MS: f64 = 0.5;

/// Policy of fixed costs; it learns nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedCost;

impl PlacementPolicy for FixedCost {
    fn choose(
        &self,
        now: TimeUs,
        servers: &ServerTable,
        request: PlacementRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Result<ServerKey, PlacementError> {
        choose(now, servers, request, rng)
    }
}

/// Chooses the server with the lowest cost, and one at random among equals. Fallback servers are
/// used only if no ready server can be chosen.
pub fn choose(
    now: TimeUs,
    servers: &ServerTable,
    request: PlacementRequest<'_>,
    rng: &mut dyn Rng,
) -> Result<ServerKey, PlacementError> {
    let is_ready_now = |server: &Server| is_ready(now, server);
    let is_fallback_now = |server: &Server| is_fallback(now, server);
    let ready = cheapest(now, servers, request, rng, is_ready_now);
    match ready {
        Ok(key) => Ok(key),
        Err(error) => cheapest(now, servers, request, rng, is_fallback_now).map_err(|_| error),
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
    let prefill_costs = prefill_costs(now, servers, request);
    let usable = usable(now, servers, request, is_allowed);
    for (key, server) in usable.servers.iter().copied() {
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
    best.map(|(_, key)| key).ok_or_else(|| usable.error())
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
        let is_usable = is_ready(now, server) && server.held_back_until(now).is_none();
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

fn compare(cost: f64, least: f64) -> Ordering {
    if (cost - least).abs() < COST_TIE_MS {
        Ordering::Equal
    } else {
        cost.total_cmp(&least)
    }
}

/// Expected time of a request at a server beyond its own work, in milliseconds.
fn cost_ms(now: TimeUs, server: &Server, request: PlacementRequest<'_>) -> f64 {
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
pub(super) fn memory_ms(now: TimeUs, server: &Server) -> f64 {
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
