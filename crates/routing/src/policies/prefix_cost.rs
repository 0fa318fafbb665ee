//! `prefix-cost`: the lowest estimated time to first token among a few candidates.
//!
//! The candidates for the prefill are the servers at the ring position of the hash of the prompt's
//! leading blocks, which have probably cached the prefix, and a random sample of the pool, so that
//! a popular prefix spreads to more servers when its own are busy. The candidates for the decode
//! are a random sample. Its size bounds the time of a decision and is large enough to find a free
//! decode slot when most engines are full.
//!
//! The entry's own region is used if its estimate meets the target for the first token. Otherwise
//! all regions are compared; the cost of another region includes the round trip and the volume of
//! the prompt on the paid link.
//!
//! Rejected alternatives: examining all servers, because the time of a decision must not grow with
//! their number; and an index ordered by load, because all entries would choose the same server
//! between two load reports.

use cuminlead_kernel::{PluginInfo, PluginPoint};
use cuminlead_types::{AvailabilityZoneName, Bytes, DurationUs, Tokens};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy::{Candidate, Cost, Pair, PolicyPlugin, PolicyView, RoutingPolicy};
use crate::pools::{ModelPool, RegionPool, ServicePool};
use crate::request::ModelRequirements;
use crate::ring::HashRing;
use crate::servers::{ServerKey, ServerRecord};

/// Leading prompt blocks whose hash determines the position on the ring.
const LEADING_BLOCKS: usize = 4;
/// Prefill candidates from the ring, which have probably cached the prefix.
const AFFINITY_CANDIDATES: usize = 3;
/// Sampled prefill candidates.
const SAMPLED_PREFILL_CANDIDATES: usize = 3;
/// Sampled decode candidates in the entry's own region. If six in ten engines are full, a sample of
/// sixteen contains no free decode slot in about one of 3,500 decisions.
const DECODE_CANDIDATES: usize = 16;
/// Sampled decode candidates in another region, which is compared only if the entry's own region
/// misses the target for the first token.
const REMOTE_DECODE_CANDIDATES: usize = 6;
/// Sampled candidates for a call of a service, in each region.
const SERVICE_CANDIDATES: usize = 4;

inventory::submit! {
    PolicyPlugin {
        name: "prefix-cost",
        build: |_| Box::new(PrefixCost),
    }
}

inventory::submit! {
    PluginInfo {
        point: PluginPoint::RoutingPolicy,
        name: "prefix-cost",
        summary: "lowest estimated time to first token, with prefix-cache affinity",
    }
}

#[derive(Debug)]
struct PrefixCost;

/// Cost of one server, and its share of the time to first token.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    time_us: DurationUs,
    first_token_us: DurationUs,
}

/// Candidate with its estimate.
#[derive(Clone, Copy, Debug)]
struct Scored<'v> {
    candidate: Candidate<'v>,
    estimate: Estimate,
}

impl Scored<'_> {
    fn cost(&self) -> Cost {
        Cost {
            fallback_count: u32::from(self.candidate.is_fallback),
            time_us: self.estimate.time_us,
        }
    }
}

/// Search for the server with the lowest cost.
///
/// [`PolicyView::admit`] is called only for a server whose estimate could be the lowest, because it
/// queries membership and is the larger part of the work.
struct CandidateSearch<'v, 'w, F> {
    view: &'w PolicyView<'v>,
    estimate: F,
    best: Option<Scored<'v>>,
}

impl<'v, 'w, F: Fn(&ServerRecord) -> Estimate> CandidateSearch<'v, 'w, F> {
    fn new(view: &'w PolicyView<'v>, estimate: F) -> Self {
        Self {
            view,
            estimate,
            best: None,
        }
    }

    fn has_preferred(&self) -> bool {
        self.best
            .is_some_and(|scored| !scored.candidate.is_fallback)
    }

    fn consider(&mut self, key: ServerKey) {
        let Some(record) = self.view.record(key) else {
            return;
        };
        let estimate = (self.estimate)(record);
        let is_no_better = |best: Scored<'_>| best.estimate.time_us <= estimate.time_us;
        if self.has_preferred() && self.best.is_some_and(is_no_better) {
            return;
        }
        let Some(candidate) = self.view.admit(key) else {
            return;
        };
        let scored = Scored {
            candidate,
            estimate,
        };
        if self.best.is_none_or(|best| scored.cost() < best.cost()) {
            self.best = Some(scored);
        }
    }

    /// Considers the first distinct servers on the ring from a hash on.
    fn consider_ring(&mut self, ring: &HashRing, hash: u64) {
        let mut seen = [None; AFFINITY_CANDIDATES];
        let mut count = 0;
        for key in ring.servers_from(hash) {
            if count == AFFINITY_CANDIDATES.min(ring.members().len()) {
                return;
            }
            if !seen.contains(&Some(key)) {
                seen[count] = Some(key);
                count += 1;
                self.consider(key);
            }
        }
    }

    /// Considers a sample of `count` servers. If it contains no preferred server, considers further
    /// servers until one is found or all have been considered.
    fn consider_sample(&mut self, servers: &[ServerKey], count: usize) {
        if servers.len() <= count {
            servers.iter().for_each(|key| self.consider(*key));
            return;
        }
        let sample_seed = self.view.sample_seed;
        for number in 0..count {
            self.consider(servers[sample_index(sample_seed, number, servers.len())]);
        }
        let start = sample_index(sample_seed, count, servers.len());
        let (before, after) = servers.split_at(start);
        let mut rest = after.iter().chain(before);
        while !self.has_preferred()
            && let Some(key) = rest.next()
        {
            self.consider(*key);
        }
    }
}

fn sample_index(sample_seed: u64, number: usize, length: usize) -> usize {
    let hash = xxh3_64_with_seed(&sample_seed.to_le_bytes(), number as u64);
    usize::try_from(hash % length as u64).unwrap_or(0)
}

/// Pair of servers with its cost and its time to first token.
#[derive(Clone, Copy, Debug)]
struct ScoredPair<'a> {
    pair: Pair<'a>,
    cost: Cost,
    first_token_us: DurationUs,
}

impl RoutingPolicy for PrefixCost {
    fn choose_pair<'a>(
        &mut self,
        view: &PolicyView<'_>,
        pool: &'a ModelPool,
        requirements: &ModelRequirements,
    ) -> Option<Pair<'a>> {
        let mut best: Option<ScoredPair<'a>> = None;
        for region in view.own_region_first(&pool.regions, |region| &region.region) {
            if best.is_some_and(|best| best.cost <= remote_cost(view, region, requirements)) {
                continue;
            }
            let Some(scored) = best_pair(view, pool, region, requirements) else {
                continue;
            };
            if region.region == view.config.region && meets_target(&scored, requirements) {
                return Some(scored.pair);
            }
            if best.is_none_or(|best| scored.cost < best.cost) {
                best = Some(scored);
            }
        }
        best.map(|best| best.pair)
    }

    fn choose_prefill(
        &mut self,
        view: &PolicyView<'_>,
        pool: &ModelPool,
        region: &RegionPool,
        requirements: &ModelRequirements,
    ) -> Option<ServerKey> {
        best_prefill(view, pool, region, requirements).map(|scored| scored.candidate.key)
    }

    fn choose_service(&mut self, view: &PolicyView<'_>, pool: &ServicePool) -> Option<ServerKey> {
        let mut fallback = None;
        for region in view.own_region_first(&pool.regions, |region| &region.region) {
            let mut search = CandidateSearch::new(view, |record| estimate_service(view, record));
            search.consider_sample(&region.servers, SERVICE_CANDIDATES);
            let key = search.best.map(|scored| scored.candidate.key);
            if search.has_preferred() {
                return key;
            }
            fallback = fallback.or(key);
        }
        fallback
    }
}

fn meets_target(scored: &ScoredPair<'_>, requirements: &ModelRequirements) -> bool {
    scored.cost.fallback_count == 0 && scored.first_token_us <= requirements.due_us
}

/// Estimate for a server of a service. The number of its requests stands for the time, because all
/// calls of a service take about the same time.
fn estimate_service(view: &PolicyView<'_>, record: &ServerRecord) -> Estimate {
    let time_us = DurationUs(view.request_count(record));
    Estimate {
        time_us,
        first_token_us: time_us,
    }
}

fn best_pair<'a>(
    view: &PolicyView<'_>,
    pool: &ModelPool,
    region: &'a RegionPool,
    requirements: &ModelRequirements,
) -> Option<ScoredPair<'a>> {
    let prefill = best_prefill(view, pool, region, requirements)?;
    let decode = best_decode(view, region, prefill.candidate.record, requirements)?;
    let transfer = view
        .config
        .transfer_rate
        .time_for(requirements.prompt_tokens);
    let remote = remote_time(view, region, requirements);
    let remote_cost = remote_cost(view, region, requirements).time_us;
    let add = DurationUs::saturating_add;
    let (prefill_estimate, decode_estimate) = (prefill.estimate, decode.estimate);
    let servers_cost = add(prefill_estimate.time_us, decode_estimate.time_us);
    let servers_first_token = add(
        prefill_estimate.first_token_us,
        decode_estimate.first_token_us,
    );
    let network_time = add(transfer, remote);
    Some(ScoredPair {
        pair: Pair {
            region,
            decode: decode.candidate.key,
            prefill: prefill.candidate.key,
        },
        cost: Cost {
            fallback_count: prefill.cost().fallback_count + decode.cost().fallback_count,
            time_us: add(add(servers_cost, transfer), remote_cost),
        },
        first_token_us: add(servers_first_token, network_time),
    })
}

/// Round-trip time plus time on the paid link; zero in the entry's own region.
fn remote_time(
    view: &PolicyView<'_>,
    region: &RegionPool,
    requirements: &ModelRequirements,
) -> DurationUs {
    if region.region == view.config.region {
        return DurationUs::ZERO;
    }
    let size = Bytes(requirements.prompt_bytes);
    let link = view.links.delay(view.now, &region.region, size);
    view.config.cross_region_rtt_us.saturating_add(link)
}

/// Cost of using a region regardless of its servers, which is a lower bound on the cost of a pair
/// there; zero in the entry's own region.
fn remote_cost(
    view: &PolicyView<'_>,
    region: &RegionPool,
    requirements: &ModelRequirements,
) -> Cost {
    let remote = remote_time(view, region, requirements);
    Cost {
        fallback_count: 0,
        time_us: remote.saturating_add(waste_weighted(view, remote)),
    }
}

fn waste_weighted(view: &PolicyView<'_>, time: DurationUs) -> DurationUs {
    DurationUs(time.get().saturating_mul(view.config.waste_weight_percent) / 100)
}

fn best_prefill<'v>(
    view: &PolicyView<'v>,
    pool: &ModelPool,
    region: &RegionPool,
    requirements: &ModelRequirements,
) -> Option<Scored<'v>> {
    let mut search = CandidateSearch::new(view, |record| {
        estimate_prefill(view, pool, record, requirements)
    });
    search.consider_ring(&region.prefill, leading_hash(pool, requirements));
    search.consider_sample(region.prefill.members(), SAMPLED_PREFILL_CANDIDATES);
    search.best
}

fn estimate_prefill(
    view: &PolicyView<'_>,
    pool: &ModelPool,
    record: &ServerRecord,
    requirements: &ModelRequirements,
) -> Estimate {
    let blocks = view.cached_blocks(record, pool.target_hash, requirements) as u64;
    let cached = Tokens(blocks * view.config.block_tokens.get());
    let uncached = requirements.prompt_tokens.saturating_sub(cached);
    let compute = view.config.prefill_rate.time_for(uncached);
    let wait = view.prefill_wait(record);
    let first_token_us = wait.saturating_add(compute);
    Estimate {
        time_us: first_token_us.saturating_add(waste_weighted(view, compute)),
        first_token_us,
    }
}

fn best_decode<'v>(
    view: &PolicyView<'v>,
    region: &RegionPool,
    prefill: &ServerRecord,
    requirements: &ModelRequirements,
) -> Option<Scored<'v>> {
    let pieces = (requirements.prompt_tokens + requirements.output_max_tokens).kv_pieces();
    let mut search = CandidateSearch::new(view, |record| {
        let wait = view.decode_wait(record, pieces);
        let time_us = wait.saturating_add(zone_cost(view, record, prefill));
        Estimate {
            time_us,
            first_token_us: time_us,
        }
    });
    let count = if region.region == view.config.region {
        DECODE_CANDIDATES
    } else {
        REMOTE_DECODE_CANDIDATES
    };
    search.consider_sample(&region.decode, count);
    search.best
}

fn zone_cost(view: &PolicyView<'_>, one: &ServerRecord, other: &ServerRecord) -> DurationUs {
    if zone(one) == zone(other) {
        DurationUs::ZERO
    } else {
        view.config.cross_zone_cost_us
    }
}

fn zone(record: &ServerRecord) -> Option<&AvailabilityZoneName> {
    record.location.as_ref().map(|location| &location.zone)
}

/// Hash of model, adapter, version and leading prompt blocks, the position on the ring.
fn leading_hash(pool: &ModelPool, requirements: &ModelRequirements) -> u64 {
    let count = requirements.prefix_hashes.len().min(LEADING_BLOCKS);
    let block = count
        .checked_sub(1)
        .map(|last| requirements.prefix_hashes[last]);
    xxh3_64_with_seed(&block.unwrap_or(0).to_le_bytes(), pool.target_hash)
}
