//! Settings of a router and their defaults.

use cuminlead_types::{BitsPerSecond, DurationUs, RegionName, Tokens, TokensPerSecond};

/// Settings of a router; the defaults follow `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingConfig {
    /// Region of the entry.
    pub region: RegionName,
    /// Start of the sequence that spreads choices; differs between entries, so that entries with
    /// the same reports do not all choose the same server.
    pub spread_seed: u64,
    /// Weight of recomputed prompt tokens and of paid volume against time to first token; at 100 a
    /// microsecond of recomputation or of paid transfer counts like one of waiting.
    pub waste_weight_percent: u64,
    /// Prefill rate of an engine.
    pub prefill_rate: TokensPerSecond,
    /// Rate at which KV cache moves between engines of a region.
    pub transfer_rate: TokensPerSecond,
    /// Tokens in one block of the prefix hashes.
    pub block_tokens: Tokens,
    /// Time that an engine's prefix cache is taken to keep a prefix.
    pub prefix_hold_us: DurationUs,
    /// Mean time between two requests that leave a full decode engine.
    pub decode_turn_us: DurationUs,
    /// Longer time between tokens for each request in a batch, as a cost.
    pub decode_slot_cost_us: DurationUs,
    /// Cost of a pair in two availability zones.
    pub cross_zone_us: DurationUs,
    /// Round trip to another region.
    pub cross_region_us: DurationUs,
    /// Part of a link between regions that this entry may use.
    pub link_rate: BitsPerSecond,
    /// Age from which a report says nothing about the present load.
    pub report_valid_us: DurationUs,
    /// Cost of a server without a valid report while no server of its group has one.
    pub unknown_load_us: DurationUs,
    /// Cost of a server whose last call failed less than `report_valid_us` ago.
    pub failure_cost_us: DurationUs,
    /// Time after a decision from which reports of the server include it.
    pub report_lag_us: DurationUs,
    /// Time after which a decision is no longer counted when no report came.
    pub decision_hold_us: DurationUs,
}

impl RoutingConfig {
    /// Defaults for an entry in a region.
    pub fn new(region: RegionName, spread_seed: u64) -> Self {
        Self {
            region,
            spread_seed,
            waste_weight_percent: 100,
            prefill_rate: TokensPerSecond(20_000),
            transfer_rate: TokensPerSecond(1_000_000),
            block_tokens: Tokens(256),
            prefix_hold_us: DurationUs::from_ms(60_000),
            decode_turn_us: DurationUs::from_ms(50),
            decode_slot_cost_us: DurationUs(300),
            cross_zone_us: DurationUs::from_ms(3),
            cross_region_us: DurationUs::from_ms(40),
            link_rate: BitsPerSecond(10_000_000),
            report_valid_us: DurationUs::from_ms(3_000),
            unknown_load_us: DurationUs::from_ms(2),
            failure_cost_us: DurationUs::from_ms(50),
            report_lag_us: DurationUs::from_ms(20),
            decision_hold_us: DurationUs::from_ms(2_000),
        }
    }
}
