//! Settings of the agent.

use std::net::SocketAddr;

use cuminlead_types::{
    AvailabilityZoneName, BackendServerId, Bytes, HostId, KvPieces, RegionName, Slots,
    TokensPerSecond,
};

use crate::entry::is_same;
use crate::macros::settings;
use crate::reader::Reader;
use crate::value::{
    AdapterName, AgentName, BackendKind, Count, DurationMs, LogLevel, Secret, ZoneRegions,
};

/// Imports that a prefill is held for: one and its repeat.
const IMPORTS_COUNT: u64 = 2;

settings! {
    /// Settings of the agent.
    AgentSettings checked by check {
        /// Name of this agent, unique in the fleet.
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
        /// Address of metrics, health and status.
        admin_address: SocketAddr = Required("\"127.0.0.1:9002\"");
        /// Address of the configuration service and the host list.
        platform_address: SocketAddr = Required("\"127.0.0.1:8000\"");
        /// Address of the collector of traces; none are sent without it.
        collector_address: Option<SocketAddr> = Optional("\"127.0.0.1:4317\"");
        /// Places in the engine's batch.
        slots_count: Slots = Default("20") in 1..=4096;
        /// Pieces of engine memory, each for 4096 tokens.
        kv_pieces_count: KvPieces = Default("256") in 1..=1048576;
        /// Most requests that wait. A request that finds the queue full is refused.
        queue_max_count: Count = Default("64") in 0..=65536;
        /// Most bytes of the prompts of requests that wait, two of the largest that entries accept
        /// by default. A request that would exceed them is refused like one that finds the queue
        /// full.
        queue_max_bytes: Bytes = Default("8388608") in 0..=1073741824;
        /// Longest lease of a reserved place. Memory of a request that is gone must be free
        /// within 30000 ms.
        lease_max_ms: DurationMs = Default("30000") in 100..=30000;
        /// Time without an attached entry after which a running decode is cancelled. Entries
        /// acknowledge every 1000 ms.
        orphan_ms: DurationMs = Default("5000") in 1100..=30000;
        /// Time that a finished prefill is held. It must cover two imports.
        kv_hold_ms: DurationMs = Default("10000") in 100..=30000;
        /// Time that a finished answer is retained until it is acknowledged.
        answer_hold_ms: DurationMs = Default("5000") in 100..=30000;
        /// Time after which an import of a KV cache has failed.
        import_timeout_ms: DurationMs = Default("2000") in 10..=30000;
        /// Time until an unused permit expires.
        permit_ttl_ms: DurationMs = Default("2000") in 100..=30000;
        /// Time that idempotency keys and their outcomes are remembered.
        key_retention_ms: DurationMs = Default("600000") in 1000..=86400000;
        /// Age of unconfirmed lists from which keyed calls are refused.
        key_staleness_ms: DurationMs = Default("600000") in 1000..=86400000;
        /// Prefill rate of the engine, for estimates.
        prefill_tokens_per_second: TokensPerSecond = Default("20000") in 1..=100000000;
        /// Longest time that held leases and permits may take on shutdown.
        drain_max_ms: DurationMs = Default("120000") in 100..=900000;
        /// Adapter of a platform whose entries call backend servers directly. The agent then gives
        /// out the decode places of its engine.
        adapter: Option<AdapterName> = Optional("\"users-platform\"");
        /// Region of each availability zone, for the engines of this agent's region.
        zone_regions: ZoneRegions = Default("\"\"");
        /// Part of a region's engines that compute prompts. Agents change the stages of engines
        /// beyond it. Without it, stages stay as they are.
        prefill_share_percent: Option<Count> = Optional("22") in 1..=99;
        /// Least severe log lines that are written.
        log_level: LogLevel = Default("\"info\"");
        /// Token that entries must present, the same at all processes. Without it, all entries
        /// are accepted.
        peer_secret: Option<Secret> = Optional("\"<16 or more visible characters>\"");
    }
}

fn check(settings: &AgentSettings, reader: &mut Reader<'_>) {
    if settings.kv_hold_ms.0 < IMPORTS_COUNT * settings.import_timeout_ms.0 {
        let message = "must be at least twice import_timeout_ms";
        reader.add("kv_hold_ms", message);
    }
    if settings.drain_max_ms <= settings.lease_max_ms {
        let message = "must be longer than lease_max_ms, or a shutdown cuts requests off";
        reader.add("drain_max_ms", message);
    }
    if is_same(settings.admin_address, settings.peer_address) {
        reader.add("admin_address", "same as peer_address");
    }
    if settings.backend_address == settings.peer_address {
        reader.add("backend_address", "same as peer_address");
    }
}
