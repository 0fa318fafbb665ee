//! Limits of an agent's decisions.

use cuminlead_admission::AdmissionConfig;
use cuminlead_permits::PermitsConfig;
use cuminlead_types::{
    BackendServerId, Bytes, DurationUs, Incarnation, KvPieces, Slots, TokensPerSecond,
};

/// Limits of an agent's decisions; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentConfig {
    /// Backend server beside the agent.
    pub server: BackendServerId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Places in the engine's batch.
    pub slots: Slots,
    /// KV pieces of the engine.
    pub pieces: KvPieces,
    /// Most requests that wait.
    pub queue_max_count: u32,
    /// Most bytes of the prompts of requests that wait.
    pub queue_max_bytes: Bytes,
    /// Longest reserved lease.
    pub lease_max_us: DurationUs,
    /// Time after which a decode without an attached entry is cancelled.
    pub orphan_us: DurationUs,
    /// Time that a finished prefill is held.
    pub kv_hold_us: DurationUs,
    /// Time that a finished answer is retained for its entry.
    pub answer_hold_us: DurationUs,
    /// Time after which an import has failed.
    pub import_timeout_us: DurationUs,
    /// Interval of heartbeats on decode streams.
    pub heartbeat_us: DurationUs,
    /// Interval of engine inventories.
    pub inventory_us: DurationUs,
    /// Time until an unused permit expires.
    pub permit_ttl_us: DurationUs,
    /// Time that idempotency keys are remembered.
    pub key_retention_us: DurationUs,
    /// Age of unconfirmed lists from which keyed calls are refused.
    pub key_staleness_us: DurationUs,
    /// Prefill rate of the engine, for estimates.
    pub prefill_rate: TokensPerSecond,
}

impl AgentConfig {
    /// Defaults for a backend server.
    pub fn new(server: BackendServerId, incarnation: Incarnation) -> Self {
        Self {
            server,
            incarnation,
            slots: Slots(20),
            pieces: KvPieces(256),
            queue_max_count: 64,
            queue_max_bytes: Bytes(8_388_608),
            lease_max_us: DurationUs::from_ms(30_000),
            orphan_us: DurationUs::from_ms(5_000),
            kv_hold_us: DurationUs::from_ms(10_000),
            answer_hold_us: DurationUs::from_ms(5_000),
            import_timeout_us: DurationUs::from_ms(2_000),
            heartbeat_us: DurationUs::from_ms(1_000),
            inventory_us: DurationUs::from_ms(2_000),
            permit_ttl_us: DurationUs::from_ms(2_000),
            key_retention_us: DurationUs::from_ms(600_000),
            key_staleness_us: DurationUs::from_ms(600_000),
            prefill_rate: TokensPerSecond(20_000),
        }
    }

    pub(crate) fn admission(&self) -> AdmissionConfig {
        AdmissionConfig {
            incarnation: self.incarnation,
            slots: self.slots,
            pieces: self.pieces,
            queue_max_count: usize::try_from(self.queue_max_count).unwrap_or(usize::MAX),
            queue_max_bytes: self.queue_max_bytes,
            lease_max_us: self.lease_max_us,
            orphan_us: self.orphan_us,
            kv_hold_us: self.kv_hold_us,
            answer_hold_us: self.answer_hold_us,
            import_timeout_us: self.import_timeout_us,
            heartbeat_us: self.heartbeat_us,
            prefill_rate: self.prefill_rate,
            ..AdmissionConfig::default()
        }
    }

    pub(crate) fn permits(&self) -> PermitsConfig {
        PermitsConfig {
            permit_ttl_us: self.permit_ttl_us,
            key_retention_us: self.key_retention_us,
            key_staleness_us: self.key_staleness_us,
            ..PermitsConfig::new(self.server.clone(), self.incarnation)
        }
    }
}
