//! Time and retry limits of a call.

use cuminlead_retry::ATTEMPTS_MAX;
use cuminlead_types::{DurationUs, Tokens, TokensPerSecond};

/// Limits of a call's decisions; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallConfig {
    /// Longest time that one request may take, all attempts together.
    pub request_max_us: DurationUs,
    /// Most attempts of one request.
    pub attempts_max_count: u32,
    /// Time without a chunk or heartbeat after which a stream is silent.
    pub silence_us: DurationUs,
    /// Interval of acknowledgements on a decode stream.
    pub acknowledge_us: DurationUs,
    /// Time without an answer after which a short message is lost.
    pub message_timeout_us: DurationUs,
    /// Longest wait for a place in a queue.
    pub wait_max_us: DurationUs,
    /// Most repeats of one lost message, and most resumptions in a row without a chunk.
    pub repeats_max_count: u32,
    /// Pause before a release, a question or a key is tried again.
    pub repeat_pause_us: DurationUs,
    /// Time without an answer after which an idempotent application call is lost.
    pub run_timeout_us: DurationUs,
    /// Prefill rate of an engine, for estimates.
    pub prefill_rate: TokensPerSecond,
    /// Tokens in one block of the prefix hashes; the same as in the routing settings.
    pub prefix_block_tokens: Tokens,
    /// Time that a decode lease is asked for beyond the estimated prefill.
    pub lease_margin_us: DurationUs,
    /// Longest decode lease that an agent grants.
    pub lease_max_us: DurationUs,
    /// Time from the end of a prefill to the first token at the caller.
    pub after_prefill_us: DurationUs,
    /// Whether the prefill runs before a decode place is reserved; only for comparisons.
    pub prefill_first: bool,
}

impl Default for CallConfig {
    fn default() -> Self {
        Self {
            request_max_us: DurationUs::from_ms(100_000),
            attempts_max_count: ATTEMPTS_MAX,
            silence_us: DurationUs::from_ms(2_000),
            acknowledge_us: DurationUs::from_ms(1_000),
            message_timeout_us: DurationUs::from_ms(2_000),
            wait_max_us: DurationUs::from_ms(5_000),
            // Three windows of `message_timeout_us` outlast `wait_max_us`, so a server that only
            // queues has answered before its message is given up.
            repeats_max_count: 2,
            repeat_pause_us: DurationUs::from_ms(500),
            run_timeout_us: DurationUs::from_ms(10_000),
            prefill_rate: TokensPerSecond(20_000),
            prefix_block_tokens: Tokens(256),
            // Covers the longest wait in the prefill queue and one lost message.
            lease_margin_us: DurationUs::from_ms(8_000),
            lease_max_us: DurationUs::from_ms(30_000),
            // Transfer of a prompt of 30,000 tokens (30 ms), one step of a full batch (60 ms) and
            // the ways between zones and to the caller.
            after_prefill_us: DurationUs::from_ms(100),
            prefill_first: false,
        }
    }
}
