//! Settings of a simulation.

use cuminlead_entry_core::CallConfig;
use cuminlead_types::{
    BitsPerSecond, DurationUs, KvPieces, Slots, TimeUs, Tokens, TokensPerSecond,
};

use super::assignment::AssignmentChange;
use super::layout::NodeSpec;

/// Settings of a simulation. The defaults describe a small fleet with the latencies of
/// `docs/design.md`.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Seed of all randomness: jitter, delays of faults, routing. Equal seeds and settings give
    /// equal records.
    pub seed: u64,
    /// All hosts with their region and availability zone. When empty, the hosts follow from the
    /// counts below.
    pub places: Vec<NodeSpec>,
    /// Number of entry hosts, spread over all regions and zones.
    pub entries_count: usize,
    /// Number of prefill engines in each region.
    pub prefills_count: usize,
    /// Number of decode engines in each region.
    pub decodes_count: usize,
    /// Number of servers of the plain service, spread over all regions and zones.
    pub services_count: usize,
    /// Number of regions, each with two availability zones.
    pub regions_count: usize,
    /// Name under which the routing policy is registered in the router.
    pub policy: String,
    /// Weight of discarded prefill work relative to TTFT in the routing cost, in percent.
    pub waste_weight_percent: u64,
    /// Timeouts and retry limits of the calls.
    pub call: CallConfig,
    /// TTFT target that the plan states.
    pub first_token_us: DurationUs,
    /// Target for the time between tokens that the plan states.
    pub between_tokens_us: DurationUs,
    /// Whether the engines check fencing numbers of orders.
    pub is_fenced: bool,
    /// What the lists change in the assignment of one decode engine, if anything.
    pub change: Option<AssignmentChange>,
    /// Times at which the lists make the successive changes of that engine.
    pub change_at: Vec<TimeUs>,
    /// Delay of an order whose agent died before the engine read it. With a seed other than the
    /// exact one, the delay is drawn from zero to twice this value.
    pub late_order_us: DurationUs,
    /// One-way latency within an availability zone.
    pub zone_latency_us: DurationUs,
    /// One-way latency between availability zones of a region.
    pub region_latency_us: DurationUs,
    /// One-way latency between regions.
    pub cross_region_latency_us: DurationUs,
    /// Upper limit of the random delay added to each latency between hosts; zero turns jitter off.
    pub jitter_us: DurationUs,
    /// Upper limit of the random delay between an injection point and the injection of its fault.
    pub injection_delay_us: DurationUs,
    /// One-way latency between callers and entries.
    pub caller_latency_us: DurationUs,
    /// One-way latency between an agent and its backend server.
    pub backend_latency_us: DurationUs,
    /// Time from the publication of lists until a process receives them.
    pub lists_delay_us: DurationUs,
    /// Time from the publication of a host list until a process receives it.
    pub hosts_delay_us: DurationUs,
    /// Time from the end of a process or backend server until its restart.
    pub restart_us: DurationUs,
    /// Staleness of the lists from which agents refuse keyed calls. Longer than the 30 s between
    /// two confirmations, and short so that runs need not wait 10 minutes until a key can be
    /// trusted.
    pub key_staleness_us: DurationUs,
    /// Decode slots of an engine.
    pub slots: Slots,
    /// KV memory of an engine, in KV pieces.
    pub pieces: KvPieces,
    /// Rate at which an engine computes prompt tokens.
    pub prefill_rate: TokensPerSecond,
    /// Rate at which KV cache is transferred between engines.
    pub transfer_rate: TokensPerSecond,
    /// Duration of a decode step with one sequence.
    pub decode_step_us: DurationUs,
    /// Increase of the step duration for each further sequence in the batch.
    pub decode_slot_us: DurationUs,
    /// Bandwidth of the link between two regions in each direction; unlimited when not set.
    pub region_link: Option<BitsPerSecond>,
    /// Capacity of an engine's prefix cache, in tokens; zero turns the cache off.
    pub cache: Tokens,
    /// Time for which an engine retains a finished prefill that was not imported; without limit
    /// when not set.
    pub kv_life_us: Option<DurationUs>,
    /// Whether every output has exactly the maximum number of tokens that the request allows.
    /// Otherwise the prompt determines the length, as in the stand-in engine.
    pub has_whole_outputs: bool,
    /// Time for which the plain service executes a call.
    pub service_run_us: DurationUs,
    /// Text in a prompt on which an engine crashes when it generates the first token; none when not
    /// set.
    pub crashing_text: Option<String>,
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
            cross_region_latency_us: DurationUs::from_ms(20),
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
            crashing_text: None,
        }
    }
}
