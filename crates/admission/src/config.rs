//! Limits and timeouts of admission.

use cuminlead_types::{Bytes, DurationUs, Incarnation, KvPieces, Slots, TokensPerSecond};

/// Limits and timeouts of admission; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Incarnation of the agent, which each chunk carries.
    pub incarnation: Incarnation,
    /// Slots of the engine's batch.
    pub slots: Slots,
    /// KV pieces that may be allocated; an engine that reports fewer lowers the limit.
    pub pieces: KvPieces,
    /// Maximum number of queued requests.
    pub queue_max_count: usize,
    /// Maximum number of bytes of all queued prompts.
    pub queue_max_bytes: Bytes,
    /// Longest lease without contact from the entry.
    pub lease_max_us: DurationUs,
    /// Time without contact from the entry after which a prefill or decode is cancelled.
    pub orphan_timeout_us: DurationUs,
    /// Retention period of a finished prefill's KV cache.
    pub kv_retention_us: DurationUs,
    /// Retention period of a complete output that is not acknowledged.
    pub output_retention_us: DurationUs,
    /// Time after which an import of a KV cache counts as failed.
    pub import_timeout_us: DurationUs,
    /// Pause before an engine's stream is resumed after a resumption without progress.
    pub resume_pause_us: DurationUs,
    /// Maximum number of consecutive resumptions of an engine's stream without progress.
    pub resumes_max_count: u32,
    /// Idle time of a decode stream after which a heartbeat is sent.
    pub heartbeat_interval_us: DurationUs,
    /// Rate at which the engine computes prompts, for estimates.
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
            orphan_timeout_us: DurationUs::from_ms(5_000),
            kv_retention_us: DurationUs::from_ms(10_000),
            output_retention_us: DurationUs::from_ms(5_000),
            import_timeout_us: DurationUs::from_ms(2_000),
            // Four resumptions, the first without a pause, take 1.5 s. This is less than the 5 s
            // after which a decode without contact from its entry is cancelled.
            resume_pause_us: DurationUs::from_ms(500),
            resumes_max_count: 4,
            heartbeat_interval_us: DurationUs::from_ms(1_000),
            prefill_rate: TokensPerSecond(20_000),
        }
    }
}

impl AdmissionConfig {
    /// Longest time that a request may be queued or computed without contact from its entry.
    ///
    /// A finished prefill is retained for another `kv_retention_us`. Both together must not exceed
    /// `lease_max_us`, which bounds how long memory stays allocated for an entry that has failed.
    pub fn no_contact_max_us(&self) -> DurationUs {
        self.lease_max_us.saturating_sub(self.kv_retention_us)
    }
}
