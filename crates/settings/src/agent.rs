//! Settings of the agent.

use std::net::SocketAddr;

use cuminlead_types::{
    AvailabilityZoneName, BackendServerId, Bytes, HostId, KvPieces, RegionName, Slots,
    TokensPerSecond,
};

use crate::entry::is_same_address;
use crate::macros::settings;
use crate::reader::Reader;
use crate::value::{
    AdapterName, AgentName, BackendKind, Count, DurationMs, LogLevel, Secret, ZoneRegions,
};

/// KV imports that the retention period of a finished prefill must cover: the first and one retry.
const COVERED_IMPORTS_COUNT: u64 = 2;

settings! {
    /// Settings of the agent.
    AgentSettings checked by check {
        /// Name of this agent, unique among all agents.
        name: AgentName = Required("\"agent-1\"");
        /// Host that the process runs on, as in the platform's host list.
        host: HostId = Required("\"host-2\"");
        /// Region of the host.
        region: RegionName = Required("\"litoral\"");
        /// Availability zone of the host.
        availability_zone: AvailabilityZoneName = Required("\"litoral-a\"");
        /// Backend server beside this agent, as in the allowances.
        server: BackendServerId = Required("\"notes-1\"");
        /// Kind of the backend server.
        backend: BackendKind = Required("\"engine\"");
        /// Address of the backend server.
        backend_address: SocketAddr = Required("\"127.0.0.1:9000\"");
        /// Address that other processes of the system connect to.
        peer_address: SocketAddr = Required("\"127.0.0.1:9001\"");
        /// Address that serves metrics, health and status.
        admin_address: SocketAddr = Required("\"127.0.0.1:9002\"");
        /// Address of the configuration service and the host list.
        platform_address: SocketAddr = Required("\"127.0.0.1:8000\"");
        /// Address of the trace collector. Without it, no traces are sent.
        collector_address: Option<SocketAddr> = Optional("\"127.0.0.1:4317\"");
        /// Decode slots in the engine's batch.
        slots_count: Slots = Default("20") in 1..=4096;
        /// KV memory of the engine, in KV pieces of 4096 tokens.
        kv_pieces_count: KvPieces = Default("256") in 1..=1048576;
        /// Largest number of queued requests. A request that finds the queue full is refused.
        queue_max_count: Count = Default("64") in 0..=65536;
        /// Largest total size of the prompts of queued requests. The default fits two prompts of
        /// the largest size that entries accept by default. A request that would exceed the limit
        /// is refused like one that finds the queue full.
        queue_max_bytes: Bytes = Default("8388608") in 0..=1073741824;
        /// Longest lease of a reserved decode slot. Memory of an abandoned request must be released
        /// within 30000 ms.
        lease_max_ms: DurationMs = Default("30000") in 100..=30000;
        /// Time without an attached entry after which a running decode is cancelled. Entries
        /// acknowledge every 1000 ms.
        orphan_ms: DurationMs = Default("5000") in 1100..=30000;
        /// Retention period of a finished prefill. It must cover two imports of its KV cache.
        kv_hold_ms: DurationMs = Default("10000") in 100..=30000;
        /// Longest time that a finished output is retained for its acknowledgement.
        answer_hold_ms: DurationMs = Default("5000") in 100..=30000;
        /// Time-out of the import of a KV cache.
        import_timeout_ms: DurationMs = Default("2000") in 10..=30000;
        /// Time until an unused permit expires.
        permit_ttl_ms: DurationMs = Default("2000") in 100..=30000;
        /// Retention period of idempotency keys and the outcomes of their calls.
        key_retention_ms: DurationMs = Default("600000") in 1000..=86400000;
        /// Staleness of the lists (time since they were confirmed as the newest) from which calls
        /// with an idempotency key are refused.
        key_staleness_ms: DurationMs = Default("600000") in 1000..=86400000;
        /// Prefill throughput of the engine, used in estimates.
        prefill_tokens_per_second: TokensPerSecond = Default("20000") in 1..=100000000;
        /// Longest time that a shutdown waits for outstanding leases and permits.
        drain_max_ms: DurationMs = Default("120000") in 100..=900000;
        /// Adapter of a platform whose entries call backend servers directly. The agent then
        /// reserves the decode slots of its engine for them.
        adapter: Option<AdapterName> = Optional("\"users-platform\"");
        /// Region of each availability zone, to find the engines of this agent's region.
        zone_regions: ZoneRegions = Default("\"\"");
        /// Percentage of a region's engines that run prefill. Agents change the stages of engines
        /// beyond it. Without it, agents change no stages.
        prefill_share_percent: Option<Count> = Optional("22") in 1..=99;
        /// Descriptors that the process may open, if the system allows so many. Three fifths are for
        /// connections of entries when these call backend servers directly.
        descriptors_max_count: Count = Default("4096") in 64..=1048576;
        /// Largest number of open connections of entries that call backend servers directly. One
        /// beyond it replaces the connection that has been silent for the longest time.
        entry_connections_max_count: Count = Default("400") in 2..=65536;
        /// Largest number of open connections to the admin address. One beyond it replaces the
        /// connection that has been without a request for the longest time.
        admin_connections_max_count: Count = Default("64") in 2..=4096;
        /// Least severe level of log lines that are written.
        log_level: LogLevel = Default("\"info\"");
        /// Shared secret that entries must present, the same for all processes. Without it, all
        /// entries are accepted.
        peer_secret: Option<Secret> = Optional("\"<16 or more visible characters>\"");
    }
}

fn check(settings: &AgentSettings, reader: &mut Reader<'_>) {
    if settings.kv_hold_ms.0 < COVERED_IMPORTS_COUNT * settings.import_timeout_ms.0 {
        let message = "must be at least twice import_timeout_ms";
        reader.add("kv_hold_ms", message);
    }
    if settings.drain_max_ms <= settings.lease_max_ms {
        let message = "must be longer than lease_max_ms, otherwise a shutdown aborts requests";
        reader.add("drain_max_ms", message);
    }
    if is_same_address(settings.admin_address, settings.peer_address) {
        reader.add("admin_address", "same as peer_address");
    }
    if settings.backend_address == settings.peer_address {
        reader.add("backend_address", "same as peer_address");
    }
}
