//! Limits and timeouts of an agent.

use cuminlead_admission::AdmissionConfig;
use cuminlead_permits::PermitsConfig;
use cuminlead_types::{
    BackendServerId, Bytes, DurationUs, Incarnation, KvPieces, Slots, TokensPerSecond,
};

/// Limits and timeouts of an agent; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentConfig {
    /// Backend server that the agent manages.
    pub server: BackendServerId,
    /// Identifies this start of the agent process.
    pub incarnation: Incarnation,
    /// Decode slots of the engine's batch.
    pub slots: Slots,
    /// KV memory of the engine.
    pub pieces: KvPieces,
    /// Maximum number of queued requests.
    pub queue_max_count: u32,
    /// Maximum total size of the prompts of queued requests.
    pub queue_max_bytes: Bytes,
    /// Upper bound on the lease that an entry may request for a reservation.
    pub lease_max_us: DurationUs,
    /// Timeout after which a decode without an attached entry is cancelled.
    pub orphan_timeout_us: DurationUs,
    /// Retention period of the KV memory of a finished prefill.
    pub kv_retention_us: DurationUs,
    /// Retention period of complete output that the entry has not acknowledged, and of the last
    /// outcome of an application call while the agent drains.
    pub output_retention_us: DurationUs,
    /// Timeout of the import of a KV cache.
    pub import_timeout_us: DurationUs,
    /// Interval of heartbeats on decode streams without other messages.
    pub heartbeat_interval_us: DurationUs,
    /// Polling interval of the engine's inventory.
    pub inventory_interval_us: DurationUs,
    /// Time to live of an unused permit.
    pub permit_ttl_us: DurationUs,
    /// Retention period of idempotency keys after their call has ended.
    pub key_retention_us: DurationUs,
    /// Staleness of the lists (time since their last confirmation as newest) from which calls with
    /// an idempotency key are refused.
    pub key_staleness_us: DurationUs,
    /// Prefill throughput of the engine, from which completion times are estimated.
    pub prefill_rate: TokensPerSecond,
}

impl AgentConfig {
    /// Default limits for a backend server.
    pub fn new(server: BackendServerId, incarnation: Incarnation) -> Self {
        Self {
            server,
            incarnation,
            slots: Slots(20),
            pieces: KvPieces(256),
            queue_max_count: 64,
            queue_max_bytes: Bytes(8_388_608),
            lease_max_us: DurationUs::from_ms(30_000),
            orphan_timeout_us: DurationUs::from_ms(5_000),
            kv_retention_us: DurationUs::from_ms(10_000),
            output_retention_us: DurationUs::from_ms(5_000),
            import_timeout_us: DurationUs::from_ms(2_000),
            heartbeat_interval_us: DurationUs::from_ms(1_000),
            inventory_interval_us: DurationUs::from_ms(2_000),
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
            orphan_timeout_us: self.orphan_timeout_us,
            kv_retention_us: self.kv_retention_us,
            output_retention_us: self.output_retention_us,
            import_timeout_us: self.import_timeout_us,
            heartbeat_interval_us: self.heartbeat_interval_us,
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
