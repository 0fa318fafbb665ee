//! Settings of the entry process.

use std::net::SocketAddr;

use cuminlead_types::{AvailabilityZoneName, BitsPerSecond, Bytes, EntryId, HostId, RegionName};

use crate::macros::settings;
use crate::reader::Reader;
use crate::value::{
    AdapterName, Count, DurationMs, Fraction, LogLevel, RoutingPolicyName, Secret, ZoneRegions,
};

settings! {
    /// Settings of the entry process.
    EntrySettings checked by check {
        /// Name of this entry, unique in the fleet.
        name: EntryId = Required("\"entry-1\"");
        /// Host that the process runs on, as in the platform's host list.
        host: HostId = Required("\"host-1\"");
        /// Region of the host.
        region: RegionName = Required("\"litoral\"");
        /// Availability zone of the host.
        availability_zone: AvailabilityZoneName = Required("\"litoral-a\"");
        /// Address that callers connect to.
        listen_address: SocketAddr = Required("\"127.0.0.1:8080\"");
        /// Address that other processes of the system connect to.
        peer_address: SocketAddr = Required("\"127.0.0.1:8081\"");
        /// Address of metrics, health and status.
        admin_address: SocketAddr = Required("\"127.0.0.1:8082\"");
        /// Address of the configuration service and the host list.
        platform_address: SocketAddr = Required("\"127.0.0.1:8000\"");
        /// Address of the collector of traces; none are sent without it.
        collector_address: Option<SocketAddr> = Optional("\"127.0.0.1:4317\"");
        /// Largest body of a request. A larger one is refused with status 413.
        body_max_bytes: Bytes = Default("4194304") in 1024..=67108864;
        /// Most requests served at once, each by a worker thread.
        workers_max_count: Count = Default("512") in 1..=65536;
        /// Longest time that one request may take, all attempts together.
        request_max_ms: DurationMs = Default("100000") in 100..=600000;
        /// Most attempts of one request.
        attempts_max_count: Count = Default("3") in 1..=10;
        /// Time without a chunk or heartbeat after which a stream counts as silent. Agents send
        /// a heartbeat every 1000 ms.
        silence_ms: DurationMs = Default("2000") in 1100..=30000;
        /// Time without an answer after which a short message counts as lost.
        message_timeout_ms: DurationMs = Default("2000") in 10..=30000;
        /// Longest wait for a place in a server's queue.
        wait_max_ms: DurationMs = Default("5000") in 0..=100000;
        /// Time between failing readiness and refusing new requests on shutdown, for the
        /// balancer to notice.
        drain_delay_ms: DurationMs = Default("3000") in 0..=60000;
        /// Longest time that running requests may take on shutdown. It must be longer than
        /// request_max_ms.
        drain_max_ms: DurationMs = Default("120000") in 100..=900000;
        /// Routing policy, by the name of its plug-in.
        routing_policy: RoutingPolicyName = Default("\"prefix-cost\"");
        /// Weight of wasted prefill and paid volume against goodput: 0.0 counts goodput only.
        wasted_prefill_weight: Fraction = Default("0.5");
        /// Bandwidth between regions, each way.
        link_bits_per_second: BitsPerSecond = Default("30000000") in 1000..=1000000000000;
        /// Adapter of a platform whose backend servers are called directly. Without it, requests
        /// go through agents.
        adapter: Option<AdapterName> = Optional("\"users-platform\"");
        /// Region of each availability zone, for distances to backend servers that are called
        /// directly.
        zone_regions: ZoneRegions = Default("\"\"");
        /// Port of the agents that give out decode places, on the hosts of the engines. Without it,
        /// places are reserved at the engines themselves.
        place_port: Option<Count> = Optional("7660");
        /// Repeats of requests, beyond a fifth of them, that all entries together may make in 10 s
        /// for each service when backend servers are called directly.
        retries_extra_count: Count = Default("54") in 0..=1000000;
        /// Most open connections of callers when backend servers are called directly. Each one
        /// takes a descriptor, and a request under way takes another.
        connections_max_count: Count = Default("2500") in 1..=65536;
        /// Least severe log lines that are written.
        log_level: LogLevel = Default("\"info\"");
        /// Token that entries present to agents, the same at all processes. Agents that have none
        /// set accept all entries.
        peer_secret: Option<Secret> = Optional("\"<16 or more visible characters>\"");
    }
}

fn check(settings: &EntrySettings, reader: &mut Reader<'_>) {
    if settings.drain_max_ms <= settings.request_max_ms {
        let message = "must be longer than request_max_ms, or a shutdown cuts requests off";
        reader.add("drain_max_ms", message);
    }
    if settings.silence_ms >= settings.request_max_ms {
        reader.add("silence_ms", "must be shorter than request_max_ms");
    }
    if settings.wait_max_ms > settings.request_max_ms {
        reader.add("wait_max_ms", "must not be longer than request_max_ms");
    }
    if is_same(settings.peer_address, settings.listen_address) {
        reader.add("peer_address", "same as listen_address");
    }
    if is_same(settings.admin_address, settings.listen_address) {
        reader.add("admin_address", "same as listen_address");
    }
    if is_same(settings.admin_address, settings.peer_address) {
        reader.add("admin_address", "same as peer_address");
    }
}

/// Whether two listening addresses are the same; with port 0 the system chooses a free one.
pub(crate) fn is_same(one: SocketAddr, other: SocketAddr) -> bool {
    one.port() != 0 && one == other
}
