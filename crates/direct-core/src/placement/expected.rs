//! Placement by expected completion time.
//!
//! The cost of a server is the time until the request is expected to be complete there: the network
//! round trip, the work of this process that the server has not completed, the request's own work at
//! the speed of the server, and the time lost if the server fails. Speeds are those that this process
//! has seen; estimates belong to one incarnation of a server.
//!
//! Many entries see the same idle server, and none knows what the others send. A server is therefore
//! drawn at random among those of nearly equal cost, the cheaper ones more often.

use std::collections::HashMap;

use cuminlead_types::{DurationUs, RegionName, ServiceName, TimeUs, Tokens};
use rand::{Rng, RngExt};
use slotmap::SecondaryMap;

use super::estimates::{
    FailureRate, PREFILL_RATE_PRIOR, PrefillRate, SERVER_PREFILL_WEIGHT_MAX_MS,
    SERVICE_PREFILL_WEIGHT_MAX_MS, ServiceTime, Slowness,
};
use super::fixed::{DECODE_COST_MS, FULL_COST_MS, FULL_COST_PERIOD, NO_PREFILL_COST_MS, memory_ms};
use super::work::{RouteId, SentWork, Work, WorkId, WorkInProgress, as_ms};
use super::{
    ClientLocality, LearnedServer, PlacementError, PlacementPolicy, PlacementRequest, is_fallback,
    is_ready, round_trip_ms, usable,
};
use crate::outcome::StepOutcome;
use crate::output_length::OutputLengthEstimator;
use crate::server::Stage;
use crate::servers::{Server, ServerKey, ServerTable};

/// Time lost by a request that a server fails and that another one then serves.
const FAILURE_COST_MS: f64 = 400.0;
/// Time lost by a prefill that fails: most fail by their timeout, a latency target and more, and the
/// decode server then computes the prompt at half the speed, which delays its other outputs.
const PREFILL_FAILURE_COST_MS: f64 = 1_500.0;
/// Cost of the failure of a request that may not be sent to another server.
const FINAL_FAILURE_COST_MS: f64 = 2_000.0;
/// Speed of a decode server that computes a prompt between the tokens of its outputs, relative to a
/// prefill server.
const DECODE_PREFILL_SPEED: f64 = 0.5;
/// Cost of one output in progress, as a multiple of that of an output of typical length.
const OUTPUT_WEIGHT_RANGE: (f64, f64) = (0.25, 4.0);
/// Latency targets for which a prompt may be queued behind others. A prefill that is abandoned after
/// one target has often begun: it is computed for nothing, computed again by the decode server, and
/// counts as a retry, for which the budget may refuse the request. Callers wait four targets.
const PREFILL_WAIT_TARGETS: u64 = 2;
/// Difference of costs at which a server is drawn e times less often, as a share of the request's own
/// work.
const DRAW_SCALE_SHARE: f64 = 0.15;
/// Smallest such difference, for requests with little work.
const DRAW_SCALE_MIN_MS: f64 = 1.0;
/// Multiple of that difference beyond which a server is not drawn.
const DRAW_RANGE: f64 = 4.0;
/// Most routes with a service time of their own; further ones share one.
const ROUTES_MAX_COUNT: usize = 1_000;

/// What is known about one server.
#[derive(Clone, Debug, Default)]
struct ServerEstimate {
    work: WorkInProgress,
    prefill: PrefillRate,
    slowness: Slowness,
    failures: FailureRate,
}

/// What is known about all servers of a service.
#[derive(Clone, Debug, Default)]
struct ServiceEstimate {
    prefill: PrefillRate,
    failures: FailureRate,
    output_length: OutputLengthEstimator,
}

/// Expected time of a request at a server.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Time until it is complete.
    total_ms: f64,
    /// Part of it for the request's own work.
    own_ms: f64,
}

/// Policy of expected completion times.
#[derive(Debug)]
pub struct ExpectedCost {
    locality: ClientLocality,
    /// Standard deviations of a server's speed that are added to the expected time.
    spread_weight: f64,
    servers: SecondaryMap<ServerKey, ServerEstimate>,
    services: HashMap<ServiceName, ServiceEstimate>,
    routes: HashMap<RouteId, ServiceTime>,
    work_count: u64,
}

impl ExpectedCost {
    /// Policy of a process at the given locality that has seen no request.
    pub fn new(locality: ClientLocality) -> Self {
        Self::with_spread(locality, 0.0)
    }

    /// Policy that prefers servers of known speed: `spread_weight` standard deviations of a
    /// server's speed are added to the expected time.
    pub fn with_spread(locality: ClientLocality, spread_weight: f64) -> Self {
        Self {
            locality,
            spread_weight,
            servers: SecondaryMap::new(),
            services: HashMap::new(),
            routes: HashMap::new(),
            work_count: 0,
        }
    }

    fn draw(
        &self,
        now: TimeUs,
        servers: &ServerTable,
        request: PlacementRequest<'_>,
        rng: &mut dyn Rng,
        is_allowed: impl Fn(&Server) -> bool,
    ) -> Result<ServerKey, PlacementError> {
        let usable = usable(now, servers, request, is_allowed);
        let prefill_costs = self.prefill_costs(now, servers, request);
        let cost = |&(key, server): &(ServerKey, &Server)| {
            let mut cost = self.cost(now, key, server, request);
            if let Some(costs) = &prefill_costs {
                let region = server.region.as_ref();
                let prefill_ms = region.and_then(|region| costs.get(region)).copied();
                cost.total_ms += prefill_ms.unwrap_or_else(|| {
                    let tokens = request.demand.prompt_tokens;
                    NO_PREFILL_COST_MS + self.decode_prefill_ms(now, request.service, tokens)
                });
            }
            (key, cost)
        };
        let costs: Vec<_> = usable.servers.iter().map(cost).collect();
        let least = costs
            .iter()
            .map(|(_, cost)| cost)
            .min_by(|one, other| one.total_ms.total_cmp(&other.total_ms));
        let Some(least) = least.copied() else {
            return Err(usable.error());
        };
        let scale_ms = (least.own_ms * DRAW_SCALE_SHARE).max(DRAW_SCALE_MIN_MS);
        let weight = |cost: Cost| {
            let difference = (cost.total_ms - least.total_ms) / scale_ms;
            if difference > DRAW_RANGE {
                0.0
            } else {
                (-difference).exp()
            }
        };
        let total: f64 = costs.iter().map(|(_, cost)| weight(*cost)).sum();
        let mut drawn = rng.random::<f64>() * total;
        let mut chosen = None;
        for (key, cost) in &costs {
            let weight = weight(*cost);
            if weight > 0.0 {
                chosen = Some(*key);
                drawn -= weight;
                if drawn < 0.0 {
                    break;
                }
            }
        }
        chosen.ok_or_else(|| usable.error())
    }

    /// Least expected time of the prefill in each region, for requests that need a decode server.
    fn prefill_costs(
        &self,
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
        let is_usable = |server: &Server| is_ready(now, server);
        let mut costs = HashMap::new();
        for (key, server) in usable(now, servers, prefill, is_usable).servers {
            let Some(region) = server.region.clone() else {
                continue;
            };
            // The round trip is counted with the decode server, which is in the same region.
            let cost = self.cost(now, key, server, prefill).total_ms
                - round_trip_ms(server, request.client_locality);
            let least = costs.entry(region).or_insert(cost);
            *least = cost.min(*least);
        }
        Some(costs)
    }

    fn cost(
        &self,
        now: TimeUs,
        key: ServerKey,
        server: &Server,
        request: PlacementRequest<'_>,
    ) -> Cost {
        let unknown = ServerEstimate::default();
        let known = self.servers.get(key).unwrap_or(&unknown);
        let service = self.services.get(request.service);
        let demand = request.demand;
        let (own_ms, delay_ms) = match request.stage {
            Some(Stage::Prefill) => (
                tokens_f64(demand.prompt_tokens) / self.prefill_rate(now, known, request.service),
                known.work.prefill_ms(now),
            ),
            Some(Stage::Decode) => (
                self.service_ms(now, known, demand.route),
                known.work.remaining_ms(now)
                    + outputs_ms(known, service)
                    + memory_ms(now, server)
                    + full_ms(now, server),
            ),
            None => (
                self.service_ms(now, known, demand.route),
                known.work.remaining_ms(now) / f64::from(server.record.slots.0.max(1)),
            ),
        };
        let prior = service.map_or(0.0, |service| service.failures.rate(now, 0.0));
        let failure_ms = if request.stage == Some(Stage::Prefill) {
            PREFILL_FAILURE_COST_MS
        } else if demand.is_repeatable {
            FAILURE_COST_MS + own_ms
        } else {
            FINAL_FAILURE_COST_MS
        };
        let failure_rate = known.failures.rate(now, prior);
        let failure_rate = failure_rate.max(server.health.failure_rate(now));
        Cost {
            total_ms: round_trip_ms(server, request.client_locality)
                + delay_ms
                + own_ms
                + failure_rate * failure_ms,
            own_ms,
        }
    }

    fn service_ms(&self, now: TimeUs, known: &ServerEstimate, route: RouteId) -> f64 {
        let unknown = ServiceTime::default();
        let service_time = self.route(route).unwrap_or(&unknown);
        let variance = service_time.variance();
        let deviation = known.slowness.deviation_log(now, variance);
        service_time.mean_ms(known.slowness.log(now, variance) + self.spread_weight * deviation)
    }

    fn route(&self, route: RouteId) -> Option<&ServiceTime> {
        let other = || self.routes.get(&RouteId::default());
        self.routes.get(&route).or_else(other)
    }

    fn route_mut(&mut self, route: RouteId) -> &mut ServiceTime {
        let is_own = self.routes.len() < ROUTES_MAX_COUNT || self.routes.contains_key(&route);
        let route = if is_own { route } else { RouteId::default() };
        self.routes.entry(route).or_default()
    }

    fn prefill_rate(&self, now: TimeUs, known: &ServerEstimate, service: &ServiceName) -> f64 {
        known
            .prefill
            .rate(now, self.service_prefill_rate(now, service))
    }

    fn service_prefill_rate(&self, now: TimeUs, service: &ServiceName) -> f64 {
        let service = self.services.get(service);
        service.map_or(PREFILL_RATE_PRIOR, |service| {
            service.prefill.rate(now, PREFILL_RATE_PRIOR)
        })
    }

    /// Time of a decode server for a prompt that it computes itself.
    fn decode_prefill_ms(&self, now: TimeUs, service: &ServiceName, tokens: Tokens) -> f64 {
        tokens_f64(tokens) / (self.service_prefill_rate(now, service) * DECODE_PREFILL_SPEED)
    }

    /// Estimates of a server; they are new for a new incarnation, which has a new key.
    fn estimate_mut(&mut self, key: ServerKey) -> Option<&mut ServerEstimate> {
        if !self.servers.contains_key(key) {
            self.servers.insert(key, ServerEstimate::default());
        }
        self.servers.get_mut(key)
    }

    fn observe_prefill(&mut self, now: TimeUs, key: ServerKey, sent: &SentWork, tokens: Tokens) {
        let Some(known) = self.servers.get_mut(key) else {
            return;
        };
        let busy_ms = known.work.complete_prefill(now, sent);
        let tokens = tokens_f64(tokens);
        let max_ms = SERVER_PREFILL_WEIGHT_MAX_MS;
        known.prefill.observe(now, tokens, busy_ms, max_ms);
        let service = self.services.entry(sent.service.clone()).or_default();
        let max_ms = SERVICE_PREFILL_WEIGHT_MAX_MS;
        service.prefill.observe(now, tokens, busy_ms, max_ms);
    }

    fn observe_service_time(
        &mut self,
        now: TimeUs,
        key: ServerKey,
        sent: &SentWork,
        route: RouteId,
        took: DurationUs,
    ) {
        let Some(known) = self.servers.get(key) else {
            return;
        };
        if sent.is_behind_own {
            return;
        }
        let variance = self.route(route).map_or(1.0, ServiceTime::variance);
        let slowness_log = known.slowness.log(now, variance);
        let took_ms = as_ms(took) - sent.round_trip_ms;
        let ratio_log = self.route_mut(route).observe(took_ms, slowness_log);
        if let Some(known) = self.servers.get_mut(key) {
            known.slowness.observe(now, ratio_log);
        }
    }
}

impl PlacementPolicy for ExpectedCost {
    fn choose(
        &self,
        now: TimeUs,
        servers: &ServerTable,
        request: PlacementRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Result<ServerKey, PlacementError> {
        let is_ready_now = |server: &Server| is_ready(now, server);
        let is_fallback_now = |server: &Server| is_fallback(now, server);
        match self.draw(now, servers, request, rng, is_ready_now) {
            Ok(key) => Ok(key),
            Err(error) => self
                .draw(now, servers, request, rng, is_fallback_now)
                .map_err(|_| error),
        }
    }

    fn begin(&mut self, now: TimeUs, servers: &ServerTable, key: ServerKey, work: Work) -> WorkId {
        self.work_count += 1;
        let id = WorkId(self.work_count);
        let Some(server) = servers.get(key).filter(|_| work != Work::Command) else {
            return id;
        };
        let service_name = server.record.service.clone();
        if let Work::Decode {
            output_tokens: Some(tokens),
            ..
        } = work
        {
            let service = self.services.entry(service_name.clone()).or_default();
            service.output_length.observe(tokens);
        }
        let unknown = ServerEstimate::default();
        let known = self.servers.get(key).unwrap_or(&unknown);
        let expected_ms = match work {
            Work::Command => 0.0,
            Work::Plain { route } => self.service_ms(now, known, route),
            Work::Prefill { prompt_tokens } => {
                tokens_f64(prompt_tokens) / self.prefill_rate(now, known, &service_name)
            }
            Work::Decode {
                computed_tokens, ..
            } => self.decode_prefill_ms(now, &service_name, computed_tokens),
        };
        let slots = usize::try_from(server.record.slots.0).unwrap_or(usize::MAX);
        let sent = SentWork {
            id,
            work,
            sent_at: now,
            expected_ms,
            round_trip_ms: round_trip_ms(server, &self.locality),
            is_behind_own: known.work.count() >= slots,
            service: service_name,
        };
        if let Some(known) = self.estimate_mut(key) {
            known.work.begin(sent);
        }
        id
    }

    fn end(&mut self, now: TimeUs, key: ServerKey, id: WorkId, took: Option<DurationUs>) {
        let known = self.servers.get_mut(key);
        let Some(sent) = known.and_then(|known| known.work.end(id)) else {
            return;
        };
        let Some(took) = took else { return };
        match sent.work {
            Work::Prefill { prompt_tokens } => {
                self.observe_prefill(now, key, &sent, prompt_tokens);
            }
            Work::Decode {
                route,
                computed_tokens: Tokens::ZERO,
                ..
            }
            | Work::Plain { route } => self.observe_service_time(now, key, &sent, route, took),
            Work::Decode { .. } | Work::Command => {}
        }
        if let Some(known) = self.servers.get_mut(key) {
            known.failures.observe(now, false);
        }
        let service = self.services.entry(sent.service).or_default();
        service.failures.observe(now, false);
    }

    fn record_failure(
        &mut self,
        now: TimeUs,
        servers: &ServerTable,
        key: ServerKey,
        outcome: StepOutcome,
    ) {
        // A server that rejects requests is full for a moment; `Health` remembers that for as long.
        let is_failure = !matches!(
            outcome,
            StepOutcome::Limited
                | StepOutcome::CacheUnavailable
                | StepOutcome::OtherIncarnation
                | StepOutcome::Rejected
        );
        let Some(server) = servers.get(key).filter(|_| is_failure) else {
            return;
        };
        let service = self.services.entry(server.record.service.clone());
        service.or_default().failures.observe(now, true);
        if let Some(known) = self.estimate_mut(key) {
            known.failures.observe(now, true);
            if outcome == StepOutcome::Unreachable {
                // A server that returns after this has been restarted or replaced.
                known.prefill = PrefillRate::default();
                known.slowness = Slowness::default();
            }
        }
    }

    fn prefill_wait_targets(&self) -> u64 {
        PREFILL_WAIT_TARGETS
    }

    fn learned(&self, now: TimeUs, servers: &ServerTable) -> Vec<LearnedServer> {
        let mut learned = Vec::new();
        for (key, server) in servers.iter() {
            let Some(known) = self.servers.get(key) else {
                continue;
            };
            let service = &server.record.service;
            let rate = self.prefill_rate(now, known, service);
            let prior = self.services.get(service);
            let prior = prior.map_or(0.0, |service| service.failures.rate(now, 0.0));
            let is_prefill = known.prefill.is_observed();
            let slowness = if is_prefill {
                Some(self.service_prefill_rate(now, service) / rate)
            } else {
                let is_observed = known.slowness.is_observed();
                is_observed.then(|| known.slowness.log(now, 0.0).exp())
            };
            learned.push(LearnedServer {
                server: server.record.id.clone(),
                prefill_tokens_per_ms: is_prefill.then_some(rate),
                slowness,
                failure_rate: known.failures.rate(now, prior),
                work_in_progress_ms: known.work.prefill_ms(now) + known.work.remaining_ms(now),
            });
        }
        learned
    }
}

/// Delay by outputs in progress, from the longer steps of a fuller batch; a longer output delays for
/// longer.
fn outputs_ms(known: &ServerEstimate, service: Option<&ServiceEstimate>) -> f64 {
    let estimator = service.map(|service| service.output_length);
    let estimator = estimator.unwrap_or_default();
    let typical = tokens_f64(estimator.expected(None)).max(1.0);
    let weight = |estimate: Option<Tokens>| {
        let (min, max) = OUTPUT_WEIGHT_RANGE;
        (tokens_f64(estimator.expected(estimate)) / typical).clamp(min, max)
    };
    known.work.outputs().map(weight).sum::<f64>() * DECODE_COST_MS
}

fn full_ms(now: TimeUs, server: &Server) -> f64 {
    let is_full = |at| now.since(at) < FULL_COST_PERIOD;
    if server.full_at.is_some_and(is_full) {
        FULL_COST_MS
    } else {
        0.0
    }
}

#[allow(clippy::cast_precision_loss, reason = "token counts are small")]
fn tokens_f64(tokens: Tokens) -> f64 {
    tokens.0 as f64
}
