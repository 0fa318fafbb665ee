//! `prefix-cost`: the lowest estimated time to first token among a few candidates.
//!
//! Candidates for the prefill are the servers that the hash of the prompt's leading blocks gives,
//! which probably hold its prefix, and a few others, so that a popular prefix spreads when its
//! servers are busy. Candidates for the decode are a sample: its size bounds the time of a decision
//! and still finds a free place when most engines are full.
//!
//! The entry's own region is taken when its estimate meets the first-token target. Otherwise all
//! regions are compared, and the others pay for the round trip and for the volume of the prompt.
//!
//! Alternatives considered: looking at all servers, rejected because the time of a decision must
//! not grow with their number; and an index ordered by load, rejected because all entries would
//! choose the same server between two reports.

use cuminlead_kernel::{PluginInfo, PluginPoint};
use cuminlead_types::{AvailabilityZoneName, Bytes, DurationUs, Tokens};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy::{Candidate, Cost, Pair, PolicyPlugin, RoutingPolicy, View};
use crate::pools::{ModelPool, RegionPool, ServicePool};
use crate::request::ModelRequirements;
use crate::ring::Ring;
use crate::servers::{ServerKey, ServerRecord};

/// Leading blocks whose hash gives the candidates.
const LEADING_BLOCKS: usize = 4;
/// Candidates that probably hold the prefix.
const AFFINITY_CANDIDATES: usize = 3;
/// Further candidates for a prefill.
const SPREAD_CANDIDATES: usize = 3;
/// Candidates for a decode. When six in ten engines are full, a sample of sixteen finds no free
/// place in about one of 3,500 decisions.
const DECODE_CANDIDATES: usize = 16;
/// Candidates for a decode in another region, which is compared only when the own one is late.
const REMOTE_DECODE_CANDIDATES: usize = 6;
/// Candidates for a call of a service.
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
        summary: "lowest estimated time to first token among servers that may hold the prefix",
    }
}

#[derive(Debug)]
struct PrefixCost;

/// Cost of one server and its part of the time to first token.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    time_us: DurationUs,
    first_token_us: DurationUs,
}

/// Server that may be chosen, with its estimate.
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

/// Best server so far.
///
/// A server is admitted only when its estimate could win, because admission asks membership and is
/// the larger part of the work.
struct Best<'v, 'w, F> {
    view: &'w View<'v>,
    estimate: F,
    scored: Option<Scored<'v>>,
}

impl<'v, 'w, F: Fn(&ServerRecord) -> Estimate> Best<'v, 'w, F> {
    fn new(view: &'w View<'v>, estimate: F) -> Self {
        Self {
            view,
            estimate,
            scored: None,
        }
    }

    fn has_preferred(&self) -> bool {
        self.scored
            .is_some_and(|scored| !scored.candidate.is_fallback)
    }

    fn look(&mut self, key: ServerKey) {
        let Some(record) = self.view.record(key) else {
            return;
        };
        let estimate = (self.estimate)(record);
        let cannot_win = |best: Scored<'_>| best.estimate.time_us <= estimate.time_us;
        if self.has_preferred() && self.scored.is_some_and(cannot_win) {
            return;
        }
        let Some(candidate) = self.view.admit(key) else {
            return;
        };
        let scored = Scored {
            candidate,
            estimate,
        };
        if self.scored.is_none_or(|best| scored.cost() < best.cost()) {
            self.scored = Some(scored);
        }
    }

    /// Looks at the servers that the ring gives for a hash.
    fn look_at_ring(&mut self, ring: &Ring, hash: u64) {
        let mut seen = [None; AFFINITY_CANDIDATES];
        let mut count = 0;
        for key in ring.from_hash(hash) {
            if count == AFFINITY_CANDIDATES.min(ring.members().len()) {
                return;
            }
            if !seen.contains(&Some(key)) {
                seen[count] = Some(key);
                count += 1;
                self.look(key);
            }
        }
    }

    /// Looks at a sample of `count` servers; looks on while no preferred server is known, so that
    /// one is found whenever there is one.
    fn look_at_sample(&mut self, servers: &[ServerKey], count: usize) {
        if servers.len() <= count {
            servers.iter().for_each(|key| self.look(*key));
            return;
        }
        let spread = self.view.spread;
        for number in 0..count {
            self.look(servers[place(spread, number, servers.len())]);
        }
        let start = place(spread, count, servers.len());
        let (before, after) = servers.split_at(start);
        let mut rest = after.iter().chain(before);
        while !self.has_preferred()
            && let Some(key) = rest.next()
        {
            self.look(*key);
        }
    }
}

fn place(spread: u64, number: usize, length: usize) -> usize {
    let hash = xxh3_64_with_seed(&spread.to_le_bytes(), number as u64);
    usize::try_from(hash % length as u64).unwrap_or(0)
}

/// Pair with its cost and its time to first token.
#[derive(Clone, Copy, Debug)]
struct ScoredPair<'a> {
    pair: Pair<'a>,
    cost: Cost,
    first_token_us: DurationUs,
}

impl RoutingPolicy for PrefixCost {
    fn pair<'a>(
        &mut self,
        view: &View<'_>,
        pool: &'a ModelPool,
        need: &ModelRequirements,
    ) -> Option<Pair<'a>> {
        let mut best: Option<ScoredPair<'a>> = None;
        for region in view.own_first(&pool.regions, |region| &region.region) {
            if best.is_some_and(|best| best.cost <= remote_cost(view, region, need)) {
                continue;
            }
            let Some(scored) = best_pair(view, pool, region, need) else {
                continue;
            };
            if region.region == view.config.region && is_good(&scored, need) {
                return Some(scored.pair);
            }
            if best.is_none_or(|best| scored.cost < best.cost) {
                best = Some(scored);
            }
        }
        best.map(|best| best.pair)
    }

    fn prefill(
        &mut self,
        view: &View<'_>,
        pool: &ModelPool,
        region: &RegionPool,
        need: &ModelRequirements,
    ) -> Option<ServerKey> {
        best_prefill(view, pool, region, need).map(|scored| scored.candidate.key)
    }

    fn service(&mut self, view: &View<'_>, pool: &ServicePool) -> Option<ServerKey> {
        let mut last_choice = None;
        for region in view.own_first(&pool.regions, |region| &region.region) {
            let mut best = Best::new(view, |record| requests(view, record));
            best.look_at_sample(&region.servers, SERVICE_CANDIDATES);
            let key = best.scored.map(|scored| scored.candidate.key);
            if best.has_preferred() {
                return key;
            }
            last_choice = last_choice.or(key);
        }
        last_choice
    }
}

fn is_good(scored: &ScoredPair<'_>, need: &ModelRequirements) -> bool {
    scored.cost.fallback_count == 0 && scored.first_token_us <= need.due_us
}

/// Estimate for a service, whose calls take about the same time: the number of its requests.
fn requests(view: &View<'_>, record: &ServerRecord) -> Estimate {
    let time_us = DurationUs(view.requests(record));
    Estimate {
        time_us,
        first_token_us: time_us,
    }
}

fn best_pair<'a>(
    view: &View<'_>,
    pool: &ModelPool,
    region: &'a RegionPool,
    need: &ModelRequirements,
) -> Option<ScoredPair<'a>> {
    let prefill = best_prefill(view, pool, region, need)?;
    let decode = best_decode(view, region, prefill.candidate.record, need)?;
    let transfer = view.config.transfer_rate.time_for(need.prompt_tokens);
    let remote = remote_time(view, region, need);
    let remote_cost = remote_cost(view, region, need).time_us;
    let add = DurationUs::saturating_add;
    let (first, second) = (prefill.estimate, decode.estimate);
    let pair_time = add(first.time_us, second.time_us);
    let pair_first_token = add(first.first_token_us, second.first_token_us);
    let on_way = add(transfer, remote);
    Some(ScoredPair {
        pair: Pair {
            region,
            decode: decode.candidate.key,
            prefill: prefill.candidate.key,
        },
        cost: Cost {
            fallback_count: prefill.cost().fallback_count + decode.cost().fallback_count,
            time_us: add(add(pair_time, transfer), remote_cost),
        },
        first_token_us: add(pair_first_token, on_way),
    })
}

/// Round trip and time on the paid link; zero in the entry's own region.
fn remote_time(view: &View<'_>, region: &RegionPool, need: &ModelRequirements) -> DurationUs {
    if region.region == view.config.region {
        return DurationUs::ZERO;
    }
    let size = Bytes(need.prompt_bytes);
    let link = view.links.delay(view.now, &region.region, size);
    view.config.cross_region_us.saturating_add(link)
}

/// Cost of using another region, whatever its servers: the least that a pair there can cost.
fn remote_cost(view: &View<'_>, region: &RegionPool, need: &ModelRequirements) -> Cost {
    let remote = remote_time(view, region, need);
    Cost {
        fallback_count: 0,
        time_us: remote.saturating_add(weighted(view, remote)),
    }
}

fn weighted(view: &View<'_>, time: DurationUs) -> DurationUs {
    DurationUs(time.get().saturating_mul(view.config.waste_weight_percent) / 100)
}

fn best_prefill<'v>(
    view: &View<'v>,
    pool: &ModelPool,
    region: &RegionPool,
    need: &ModelRequirements,
) -> Option<Scored<'v>> {
    let mut best = Best::new(view, |record| estimate_prefill(view, pool, record, need));
    best.look_at_ring(&region.prefill, leading_hash(pool, need));
    best.look_at_sample(region.prefill.members(), SPREAD_CANDIDATES);
    best.scored
}

fn estimate_prefill(
    view: &View<'_>,
    pool: &ModelPool,
    record: &ServerRecord,
    need: &ModelRequirements,
) -> Estimate {
    let blocks = view.cached_blocks(record, pool.target_hash, need) as u64;
    let cached = Tokens(blocks * view.config.block_tokens.get());
    let uncached = need.prompt_tokens.saturating_sub(cached);
    let compute = view.config.prefill_rate.time_for(uncached);
    let wait = view.prefill_wait(record);
    let first_token_us = wait.saturating_add(compute);
    Estimate {
        time_us: first_token_us.saturating_add(weighted(view, compute)),
        first_token_us,
    }
}

fn best_decode<'v>(
    view: &View<'v>,
    region: &RegionPool,
    prefill: &ServerRecord,
    need: &ModelRequirements,
) -> Option<Scored<'v>> {
    let pieces = (need.prompt_tokens + need.output_max_tokens).kv_pieces();
    let mut best = Best::new(view, |record| {
        let wait = view.decode_wait(record, pieces);
        let time_us = wait.saturating_add(zone_time(view, record, prefill));
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
    best.look_at_sample(&region.decode, count);
    best.scored
}

fn zone_time(view: &View<'_>, one: &ServerRecord, other: &ServerRecord) -> DurationUs {
    if zone(one) == zone(other) {
        DurationUs::ZERO
    } else {
        view.config.cross_zone_us
    }
}

fn zone(record: &ServerRecord) -> Option<&AvailabilityZoneName> {
    record.location.as_ref().map(|location| &location.zone)
}

/// Hash of model, adapter, version and leading prompt blocks.
fn leading_hash(pool: &ModelPool, need: &ModelRequirements) -> u64 {
    let count = need.prefix_hashes.len().min(LEADING_BLOCKS);
    let block = count.checked_sub(1).map(|last| need.prefix_hashes[last]);
    xxh3_64_with_seed(&block.unwrap_or(0).to_le_bytes(), pool.target_hash)
}
