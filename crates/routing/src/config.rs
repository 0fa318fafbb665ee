//! Settings of a router and their defaults.

use cuminlead_types::{BitsPerSecond, DurationUs, RegionName, Tokens, TokensPerSecond};

/// Settings of a router; the defaults follow `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingConfig {
    /// Region of the entry, which policies prefer.
    pub region: RegionName,
    /// Seed of the first decision. It differs between entries, so that entries with the same load
    /// reports do not all sample the same servers.
    pub initial_sample_seed: u64,
    /// Additional weight of prompt computation and of transfer on paid links in the cost, relative
    /// to time to first token; at 100 a microsecond of either adds as much to the cost as a
    /// microsecond of waiting.
    pub waste_weight_percent: u64,
    /// Rate at which one engine computes prompt tokens.
    pub prefill_rate: TokensPerSecond,
    /// Rate at which the KV cache of a prompt is transferred between engines of a region.
    pub transfer_rate: TokensPerSecond,
    /// Tokens in each block of the prefix hashes.
    pub block_tokens: Tokens,
    /// Time for which an engine is assumed to retain a prefix in its cache.
    pub prefix_retention_us: DurationUs,
    /// Mean interval between completed requests of a full decode engine.
    pub decode_departure_interval_us: DurationUs,
    /// Cost of each request in the batch of an engine, for the longer time between tokens.
    pub decode_request_cost_us: DurationUs,
    /// Cost of a pair whose servers are in different availability zones.
    pub cross_zone_cost_us: DurationUs,
    /// Round-trip time to another region.
    pub cross_region_rtt_us: DurationUs,
    /// Rate that this entry may use on a link between two regions.
    pub link_rate: BitsPerSecond,
    /// Age from which a load report is stale and no longer used.
    pub report_max_age_us: DurationUs,
    /// Cost of a server with a stale load report if all reports of its group are stale.
    pub unknown_load_cost_us: DurationUs,
    /// Cost of a server whose last call failed less than `report_max_age_us` ago.
    pub failure_cost_us: DurationUs,
    /// Time after a decision from which the load reports of the server include it.
    pub report_lag_us: DurationUs,
    /// Time for which a decision counts if no load report arrives.
    pub decision_retention_us: DurationUs,
}

impl RoutingConfig {
    /// Default settings for an entry in a region.
    pub fn new(region: RegionName, initial_sample_seed: u64) -> Self {
        Self {
            region,
            initial_sample_seed,
            waste_weight_percent: 100,
            prefill_rate: TokensPerSecond(20_000),
            transfer_rate: TokensPerSecond(1_000_000),
            block_tokens: Tokens(256),
            prefix_retention_us: DurationUs::from_ms(60_000),
            decode_departure_interval_us: DurationUs::from_ms(50),
            decode_request_cost_us: DurationUs(300),
            cross_zone_cost_us: DurationUs::from_ms(3),
            cross_region_rtt_us: DurationUs::from_ms(40),
            link_rate: BitsPerSecond(10_000_000),
            report_max_age_us: DurationUs::from_ms(3_000),
            unknown_load_cost_us: DurationUs::from_ms(2),
            failure_cost_us: DurationUs::from_ms(50),
            report_lag_us: DurationUs::from_ms(20),
            decision_retention_us: DurationUs::from_ms(2_000),
        }
    }
}
