//! Settings of the entry process.

use std::net::SocketAddr;

use cuminlead_types::{AvailabilityZoneName, BitsPerSecond, Bytes, EntryId, HostId, RegionName};

use crate::macros::settings;
use crate::reader::Reader;
use crate::value::{
    AdapterName, Count, DurationMs, Fraction, LogLevel, PlacementName, RoundedCount,
    RoutingPolicyName, Secret, ZoneRegions,
};

settings! {
    /// Settings of the entry process.
    EntrySettings checked by check {
        /// Name of this entry, unique among all entries.
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
        /// Address that serves metrics, health and status.
        admin_address: SocketAddr = Required("\"127.0.0.1:8082\"");
        /// Address of the configuration service and the host list.
        platform_address: SocketAddr = Required("\"127.0.0.1:8000\"");
        /// Address of the trace collector. Without it, no traces are sent.
        collector_address: Option<SocketAddr> = Optional("\"127.0.0.1:4317\"");
        /// Largest request body. A larger one is refused with status 413.
        body_max_bytes: Bytes = Default("4194304") in 1024..=67108864;
        /// Largest number of requests served concurrently, each by a worker thread.
        workers_max_count: Count = Default("512") in 1..=65536;
        /// Longest total time of all attempts of one request.
        request_max_ms: DurationMs = Default("100000") in 100..=600000;
        /// Largest number of attempts of one request.
        attempts_max_count: Count = Default("3") in 1..=10;
        /// Time without a chunk or heartbeat after which a stream counts as unresponsive. Agents
        /// send a heartbeat every 1000 ms.
        silence_ms: DurationMs = Default("2000") in 1100..=30000;
        /// Time without a reply after which a short message counts as lost.
        message_timeout_ms: DurationMs = Default("2000") in 10..=30000;
        /// Longest time that a request may wait in a server's queue.
        wait_max_ms: DurationMs = Default("5000") in 0..=100000;
        /// Time on shutdown from failing the readiness check until new requests are refused, so
        /// that the load balancer can notice.
        drain_delay_ms: DurationMs = Default("3000") in 0..=60000;
        /// Longest time that a shutdown waits for in-flight requests. It must be longer than
        /// request_max_ms.
        drain_max_ms: DurationMs = Default("120000") in 100..=900000;
        /// Name of the routing policy plug-in.
        routing_policy: RoutingPolicyName = Default("\"prefix-cost\"");
        /// Weight of discarded prefill work and paid volume relative to goodput. At 0.0, only
        /// goodput counts.
        wasted_prefill_weight: Fraction = Default("0.5");
        /// Bandwidth between regions, in each direction.
        link_bits_per_second: BitsPerSecond = Default("30000000") in 1000..=1000000000000;
        /// Adapter of a platform whose backend servers are called directly. Without it, requests
        /// go through agents.
        adapter: Option<AdapterName> = Optional("\"users-platform\"");
        /// Region of each availability zone, used for the distance to backend servers that are
        /// called directly.
        zone_regions: ZoneRegions = Default("\"\"");
        /// How backend servers that are called directly are chosen: by fixed costs, or by the time at
        /// which the request is expected to be complete, from what earlier requests took.
        placement: PlacementName = Default("\"fixed\"");
        /// Port, on the hosts of the engines, of the agents that reserve decode slots. Without it,
        /// slots are reserved at the engines themselves.
        place_port: Option<Count> = Optional("7660");
        /// Retries in 10 s, in addition to a fifth of the requests, that all entries together may
        /// make for each service when backend servers are called directly. May have a fraction, which
        /// is dropped.
        retries_extra_count: RoundedCount = Default("54") in 0..=4294967295;
        /// Largest number of open connections of callers when backend servers are called directly.
        /// Each connection uses a file descriptor, and each in-flight request uses another.
        connections_max_count: Count = Default("2500") in 1..=65536;
        /// Time without progress of a caller while data of its backend server wait for it, after which
        /// the connection to the caller is closed. Backend servers that are called directly abort a
        /// response that remains unread for a few seconds.
        slow_caller_ms: DurationMs = Default("1500") in 100..=1900;
        /// Memory that the process may use, in millions of bytes. When backend servers are called
        /// directly, four fifths of what is beyond 24 are for callers' connections with all that
        /// they hold, and at most two fifths of the whole for the bodies of their requests.
        memory_max_mb: Count = Default("256") in 16..=1000000;
        /// Descriptors that the process may open, if the system allows so many. When backend
        /// servers are called directly, three fifths are for callers' connections and three tenths
        /// for requests that are being served.
        descriptors_max_count: Count = Default("4096") in 64..=1048576;
        /// Time without a byte after which a head, body or response that is under way may be
        /// closed when memory or descriptors run low.
        stalled_ms: DurationMs = Default("1000") in 100..=60000;
        /// Least bytes per second of a body, and of the reading of a response, after rate_grace_ms.
        min_bytes_per_s: Count = Default("1024") in 1..=1000000000;
        /// Time after which min_bytes_per_s applies.
        rate_grace_ms: DurationMs = Default("15000") in 100..=600000;
        /// Longest time for which a response may continuously wait for its caller to read.
        response_read_max_ms: DurationMs = Default("60000") in 100..=3600000;
        /// Requests on one connection of a caller that may arrive before the response to the one
        /// before is ready. The connection ends with the response to the last of them.
        pipelined_max_count: Count = Default("16") in 1..=1000000;
        /// Largest number of open connections to the admin address. One beyond it replaces the
        /// connection that has been without a request for the longest time.
        admin_connections_max_count: Count = Default("64") in 2..=4096;
        /// Least severe level of log lines that are written.
        log_level: LogLevel = Default("\"info\"");
        /// Shared secret that entries present to agents, the same for all processes. Agents without
        /// one accept all entries.
        peer_secret: Option<Secret> = Optional("\"<16 or more visible characters>\"");
    }
}

fn check(settings: &EntrySettings, reader: &mut Reader<'_>) {
    if settings.drain_max_ms <= settings.request_max_ms {
        let message = "must be longer than request_max_ms, otherwise a shutdown aborts requests";
        reader.add("drain_max_ms", message);
    }
    if settings.silence_ms >= settings.request_max_ms {
        reader.add("silence_ms", "must be shorter than request_max_ms");
    }
    if settings.wait_max_ms > settings.request_max_ms {
        reader.add("wait_max_ms", "must not be longer than request_max_ms");
    }
    if is_same_address(settings.peer_address, settings.listen_address) {
        reader.add("peer_address", "same as listen_address");
    }
    if is_same_address(settings.admin_address, settings.listen_address) {
        reader.add("admin_address", "same as listen_address");
    }
    if is_same_address(settings.admin_address, settings.peer_address) {
        reader.add("admin_address", "same as peer_address");
    }
}

/// Whether two listening addresses conflict. Port 0 never does, since the operating system assigns
/// a free port.
pub(crate) fn is_same_address(one: SocketAddr, other: SocketAddr) -> bool {
    one.port() != 0 && one == other
}
