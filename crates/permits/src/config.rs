//! Timeouts, retention periods and limits of permits and idempotency keys.

use cuminlead_types::{BackendServerId, Bytes, DurationUs, Incarnation};

/// Times and bounds; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitsConfig {
    /// Backend server beside the agent.
    pub server: BackendServerId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Time until an unused permit expires.
    pub permit_ttl_us: DurationUs,
    /// Time that the outcome of a permit without key is retained.
    pub outcome_hold_us: DurationUs,
    /// Time that idempotency keys are remembered after their call ended.
    pub key_retention_us: DurationUs,
    /// Age of unconfirmed lists from which keyed calls are refused.
    pub key_staleness_us: DurationUs,
    /// Margin for clock differences in comparisons with a caller's wall-clock time.
    pub clock_margin_us: DurationUs,
    /// Most bytes of retained responses.
    pub retained_max_bytes: Bytes,
    /// Most records of permits.
    pub record_max_count: usize,
}

impl PermitsConfig {
    /// Defaults for a backend server.
    ///
    /// The outcome of a permit outlives the longest request (100 s). The bounds on bytes and
    /// records keep the agent within its 32 MB.
    pub fn new(server: BackendServerId, incarnation: Incarnation) -> Self {
        Self {
            server,
            incarnation,
            permit_ttl_us: DurationUs::from_ms(2_000),
            outcome_hold_us: DurationUs::from_ms(120_000),
            key_retention_us: DurationUs::from_ms(600_000),
            key_staleness_us: DurationUs::from_ms(600_000),
            clock_margin_us: DurationUs::from_ms(5_000),
            retained_max_bytes: Bytes(8 << 20),
            record_max_count: 30_000,
        }
    }
}
