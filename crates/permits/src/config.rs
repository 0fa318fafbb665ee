//! Timeouts, retention periods and limits of permits and idempotency keys.

use cuminlead_types::{BackendServerId, Bytes, DurationUs, Incarnation};

/// Timeouts, retention periods and limits; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitsConfig {
    /// Backend server that the agent runs beside.
    pub server: BackendServerId,
    /// Incarnation of the agent, which is part of each permit.
    pub incarnation: Incarnation,
    /// Time after which an unused permit is voided.
    pub permit_ttl_us: DurationUs,
    /// Retention period of the outcome of a permit without key, and of any voided permit.
    pub outcome_retention_us: DurationUs,
    /// Retention period of an idempotency key after the end of its call.
    pub key_retention_us: DurationUs,
    /// Time since the last confirmation of the lists from which keyed calls are refused.
    pub key_staleness_us: DurationUs,
    /// Clock difference that comparisons with a caller's wall-clock time allow for.
    pub clock_margin_us: DurationUs,
    /// Maximum number of bytes of retained responses.
    pub retained_max_bytes: Bytes,
    /// Maximum number of permit records.
    pub record_max_count: usize,
}

impl PermitsConfig {
    /// Default configuration for a backend server.
    ///
    /// The outcome of a permit is retained for longer than the longest request (100 s). The limits
    /// on bytes and records keep the agent within its 32 MB.
    pub fn new(server: BackendServerId, incarnation: Incarnation) -> Self {
        Self {
            server,
            incarnation,
            permit_ttl_us: DurationUs::from_ms(2_000),
            outcome_retention_us: DurationUs::from_ms(120_000),
            key_retention_us: DurationUs::from_ms(600_000),
            key_staleness_us: DurationUs::from_ms(600_000),
            clock_margin_us: DurationUs::from_ms(5_000),
            retained_max_bytes: Bytes(8 << 20),
            record_max_count: 30_000,
        }
    }
}
