//! Limits and timeouts of admission.

use cuminlead_types::{Bytes, DurationUs, Incarnation, KvPieces, Slots, TokensPerSecond};

/// Limits of admission; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Life of the agent, carried by each chunk.
    pub incarnation: Incarnation,
    /// Places in the engine's batch.
    pub slots: Slots,
    /// KV pieces that may be used.
    pub pieces: KvPieces,
    /// Most requests that wait.
    pub queue_max_count: usize,
    /// Most bytes of the prompts of requests that wait.
    pub queue_max_bytes: Bytes,
    /// Longest lease without a sign of the entry.
    pub lease_max_us: DurationUs,
    /// Time after which an attempt without an attached entry is cancelled.
    pub orphan_us: DurationUs,
    /// Time that a finished prefill is held.
    pub kv_hold_us: DurationUs,
    /// Time that a finished answer is retained.
    pub answer_hold_us: DurationUs,
    /// Time after which an import has failed.
    pub import_timeout_us: DurationUs,
    /// Pause before an engine's stream is resumed again although the last resumption brought nothing.
    pub resume_pause_us: DurationUs,
    /// Most resumptions of an engine's stream in a row without progress.
    pub resumes_max_count: u32,
    /// Longest silence on a decode stream.
    pub heartbeat_us: DurationUs,
    /// Prefill rate of the engine.
    pub prefill_rate: TokensPerSecond,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            incarnation: Incarnation::ZERO,
            slots: Slots(20),
            pieces: KvPieces(256),
            queue_max_count: 64,
            queue_max_bytes: Bytes(8_388_608),
            lease_max_us: DurationUs::from_ms(30_000),
            orphan_us: DurationUs::from_ms(5_000),
            kv_hold_us: DurationUs::from_ms(10_000),
            answer_hold_us: DurationUs::from_ms(5_000),
            import_timeout_us: DurationUs::from_ms(2_000),
            // Four resumptions, the first one at once, take 1.5 s: less than the 5 s after which a
            // decode without its entry is given up.
            resume_pause_us: DurationUs::from_ms(500),
            resumes_max_count: 4,
            heartbeat_us: DurationUs::from_ms(1_000),
            prefill_rate: TokensPerSecond(20_000),
        }
    }
}

impl AdmissionConfig {
    /// Longest time that a request may wait or compute without a sign of its entry.
    ///
    /// A finished prefill is held for `kv_hold_us` more, and both together must not exceed the
    /// longest lease, which bounds how long memory is held for an entry that is gone.
    pub fn silent_max_us(&self) -> DurationUs {
        self.lease_max_us.saturating_sub(self.kv_hold_us)
    }
}
