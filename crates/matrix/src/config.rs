//! Settings of a run.

use cuminlead_entry_core::CallConfig;
use cuminlead_types::{
    BitsPerSecond, DurationUs, KvPieces, Slots, TimeUs, Tokens, TokensPerSecond,
};

use super::duty::DutyChange;
use super::layout::NodeSpec;

/// Settings of a run; the defaults are a small fleet with the latencies of `docs/design.md`.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Seed of everything that varies between runs.
    pub seed: u64,
    /// Places of all hosts; when empty, they follow from the counts below.
    pub places: Vec<NodeSpec>,
    /// Entries.
    pub entries_count: usize,
    /// Prefill engines in each region.
    pub prefills_count: usize,
    /// Decode engines in each region.
    pub decodes_count: usize,
    /// Servers of the plain service.
    pub services_count: usize,
    /// Regions; each has two availability zones.
    pub regions_count: usize,
    /// Routing policy.
    pub policy: String,
    /// Weight of wasted prefill against time to first token.
    pub waste_weight_percent: u64,
    /// Limits of the calls.
    pub call: CallConfig,
    /// Target for the time to first token in the plan.
    pub first_token_us: DurationUs,
    /// Target for the time between tokens in the plan.
    pub between_tokens_us: DurationUs,
    /// Whether the engines check fencing numbers.
    pub is_fenced: bool,
    /// What the lists change of one decode engine, at [`SimulationConfig::change_at`].
    pub change: Option<DutyChange>,
    /// When the lists change it.
    pub change_at: Vec<TimeUs>,
    /// Time by which an order arrives late whose agent died before the engine read it; drawn with
    /// the seed up to twice this time when runs have jitter.
    pub late_order_us: DurationUs,
    /// One-way latency within an availability zone.
    pub zone_latency_us: DurationUs,
    /// One-way latency between availability zones of a region.
    pub region_latency_us: DurationUs,
    /// One-way latency between regions.
    pub far_latency_us: DurationUs,
    /// Longest addition to each latency between hosts, drawn with the seed.
    pub jitter_us: DurationUs,
    /// Longest time between a step and the injection of its fault, drawn with the seed.
    pub injection_delay_us: DurationUs,
    /// One-way latency between callers and entries.
    pub caller_latency_us: DurationUs,
    /// One-way latency between an agent and its back end.
    pub backend_latency_us: DurationUs,
    /// Time from a change of the lists until a process has it.
    pub lists_delay_us: DurationUs,
    /// Time from a change of the host list until a process has it.
    pub hosts_delay_us: DurationUs,
    /// Time that a process needs to start again.
    pub restart_us: DurationUs,
    /// Age of unconfirmed lists from which agents refuse keyed calls; longer than the 30 s between two
    /// confirmations, and short so that runs need not wait 10 minutes for a key to be trusted.
    pub key_staleness_us: DurationUs,
    /// Places in the batch of a decode engine.
    pub slots: Slots,
    /// KV pieces of an engine.
    pub pieces: KvPieces,
    /// Rate at which an engine computes prompts.
    pub prefill_rate: TokensPerSecond,
    /// Rate at which KV cache moves between engines.
    pub transfer_rate: TokensPerSecond,
    /// Time of a decode step with one sequence.
    pub decode_step_us: DurationUs,
    /// Longer decode step for each further sequence.
    pub decode_slot_us: DurationUs,
    /// Rate of each direction of the link between two regions, or unlimited.
    pub region_link: Option<BitsPerSecond>,
    /// Memory of an engine's prefix cache.
    pub cache: Tokens,
    /// Time after which an engine drops a finished prefill that was not imported.
    pub kv_life_us: Option<DurationUs>,
    /// Whether an answer has as many tokens as asked for; otherwise the prompt gives the number.
    pub has_whole_outputs: bool,
    /// Time that the plain service runs a call.
    pub service_run_us: DurationUs,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            places: Vec::new(),
            entries_count: 2,
            prefills_count: 2,
            decodes_count: 2,
            services_count: 2,
            regions_count: 1,
            policy: "prefix-cost".to_string(),
            waste_weight_percent: 100,
            call: CallConfig::default(),
            first_token_us: DurationUs::from_ms(2_000),
            between_tokens_us: DurationUs::from_ms(60),
            is_fenced: true,
            change: None,
            change_at: Vec::new(),
            late_order_us: DurationUs::from_ms(13_000),
            zone_latency_us: DurationUs(200),
            region_latency_us: DurationUs(1_500),
            far_latency_us: DurationUs::from_ms(20),
            jitter_us: DurationUs::ZERO,
            injection_delay_us: DurationUs::ZERO,
            caller_latency_us: DurationUs::from_ms(3),
            backend_latency_us: DurationUs(100),
            lists_delay_us: DurationUs::from_ms(1_000),
            hosts_delay_us: DurationUs::from_ms(2_000),
            restart_us: DurationUs::from_ms(1_500),
            key_staleness_us: DurationUs::from_ms(45_000),
            slots: Slots(20),
            pieces: KvPieces(256),
            prefill_rate: TokensPerSecond(20_000),
            transfer_rate: TokensPerSecond(1_000_000),
            decode_step_us: DurationUs::from_ms(15),
            decode_slot_us: DurationUs(300),
            region_link: None,
            cache: Tokens::ZERO,
            kv_life_us: None,
            has_whole_outputs: false,
            service_run_us: DurationUs::from_ms(20),
        }
    }
}
