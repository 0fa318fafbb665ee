//! Time and retry limits of a call.

use cuminlead_retry::ATTEMPTS_MAX;
use cuminlead_types::{DurationUs, Tokens, TokensPerSecond};

/// Time and retry limits of a call. The defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallConfig {
    /// Longest duration of a request, over all attempts.
    pub request_max_us: DurationUs,
    /// Maximum number of attempts of a request, the first included. Counted by route requests.
    pub attempts_max_count: u32,
    /// Time without a chunk or heartbeat after which a decode stream counts as unresponsive. Also
    /// the time without a reply after which the owner of the permit of a `RunCall` is queried.
    pub unresponsive_timeout_us: DurationUs,
    /// Interval of acknowledgements on a decode stream, and of queries about a call that is still
    /// running.
    pub acknowledge_interval_us: DurationUs,
    /// Time without a reply after which a message counts as lost. A prefill message gets its
    /// estimated duration in addition.
    pub message_timeout_us: DurationUs,
    /// Longest time that a message may wait in an agent's queue.
    pub queue_wait_max_us: DurationUs,
    /// Maximum number of repeats of one lost message, and of consecutive stream resumptions without
    /// a chunk.
    pub repeats_max_count: u32,
    /// Pause before a lost release is repeated, an owner that did not reply is queried again, or
    /// the permit or the owner of a key is requested again.
    pub repeat_pause_us: DurationUs,
    /// Time without a reply after which an idempotent application call counts as lost.
    pub run_timeout_us: DurationUs,
    /// Assumed prefill throughput of an engine, for estimates.
    pub prefill_rate: TokensPerSecond,
    /// Block size of the prefix hashes. Must equal the block size in the routing settings.
    pub prefix_block_tokens: Tokens,
    /// Time added to the estimated prefill duration for the requested duration of a decode lease.
    pub lease_margin_us: DurationUs,
    /// Longest decode lease that agents grant.
    pub lease_max_us: DurationUs,
    /// Time allowed from the end of the prefill until the caller gets the first token.
    pub post_prefill_us: DurationUs,
    /// Whether the prefill runs before a decode slot is reserved. Used only as a baseline for
    /// comparisons.
    pub prefill_first: bool,
}

impl Default for CallConfig {
    fn default() -> Self {
        Self {
            request_max_us: DurationUs::from_ms(100_000),
            attempts_max_count: ATTEMPTS_MAX,
            unresponsive_timeout_us: DurationUs::from_ms(2_000),
            acknowledge_interval_us: DurationUs::from_ms(1_000),
            message_timeout_us: DurationUs::from_ms(2_000),
            queue_wait_max_us: DurationUs::from_ms(5_000),
            // Three periods of `message_timeout_us` exceed `queue_wait_max_us`, so a server that
            // only queues a message has replied before the call stops waiting for it.
            repeats_max_count: 2,
            repeat_pause_us: DurationUs::from_ms(500),
            run_timeout_us: DurationUs::from_ms(10_000),
            prefill_rate: TokensPerSecond(20_000),
            prefix_block_tokens: Tokens(256),
            // Covers the longest wait in the prefill queue and one lost message.
            lease_margin_us: DurationUs::from_ms(8_000),
            lease_max_us: DurationUs::from_ms(30_000),
            // KV transfer for a prompt of 30,000 tokens (30 ms), one step of a full batch (60 ms),
            // and the network paths between zones and to the caller.
            post_prefill_us: DurationUs::from_ms(100),
            prefill_first: false,
        }
    }
}
