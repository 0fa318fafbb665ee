//! Intervals and limits, and how they add up to the bounds of the design.
//!
//! Promise P8 requires that a change of the lists takes effect everywhere within 9 s. The slowest
//! case is a process that still reaches a reader or the platform, after both readers of its zone
//! became unresponsive just before the change:
//!
//! | step | ends after |
//! |---|---|
//! | the followed reader is found unresponsive ([`FOLLOW_SILENCE_TIMEOUT`]) | 3 s |
//! | the other reader does not reply ([`FOLLOW_OPEN_TIMEOUT`]) | 5 s |
//! | jitter before the query to the platform ([`QUERY_JITTER_MAX`]) | 8 s |
//! | response of the platform, in milliseconds | below 9 s |
//!
//! Peers that refuse connections fail sooner, so that the queries for the lists would coincide with
//! those for the host list. The queries for the lists then use only the part of their jitter that
//! is left after those for the host list.
//!
//! A reader that lost the platform takes as long: its confirmation is too old after 3 s
//! ([`CONFIRM_AGE_MAX`]), and its next heartbeat, which reports this, follows within 2 s
//! ([`HEARTBEAT_MAX`]).
//!
//! Later changes must not wait for the next query 10 s later. The hosts ranked after the readers
//! therefore take over as standbys as soon as no reader is confirmed, and followers search for
//! them.
//!
//! Promise P6 requires that a change of the host list is known within 5 s. A process whose followed
//! peer has no confirmed host list queries the platform itself, without trying other peers first:
//!
//! | step | ends after |
//! |---|---|
//! | the followed reader is found unresponsive ([`FOLLOW_SILENCE_TIMEOUT`]) | 3 s |
//! | jitter before the query to the platform ([`HOSTS_QUERY_JITTER_MAX`]) | 4.7 s |
//! | response of the platform, in milliseconds | below 5 s |
//!
//! A reader of the host list that lost the platform reports this immediately after
//! [`HOSTS_READ_AGE_MAX`]. The other readers then read the host list themselves, and report after
//! [`HOSTS_READ_GRACE`] if they cannot.
//!
//! A process that reaches the platform but no other process cannot be notified of changes. It
//! learns of the first change after the fault in time and of later ones within
//! [`QUERY_INTERVAL_MIN`].

use cuminlead_types::DurationUs;

/// Smallest number of readers in an availability zone, and number of readers that a follower
/// prefers. With two, one may fail without any query to the platform.
pub const READERS_COUNT: usize = 2;

/// Number of readers in an availability zone with `hosts_count` live hosts.
///
/// A reader sends heartbeats to each of its followers. With two readers for 445 hosts that would be
/// 150 messages a second, above the 2 KB/s that control traffic may cost a node. With the square
/// root, the followers of a reader and the calls to the platform grow more slowly than the fleet: 6
/// zones of 445 hosts have 126 readers with about 20 followers each.
pub const fn readers_count(hosts_count: usize) -> usize {
    let root = hosts_count.isqrt();
    if root > READERS_COUNT {
        root
    } else {
        READERS_COUNT
    }
}

/// Number of hosts of each zone that watch the platform while they find no confirmed reader.
/// Without a limit, a fleet whose processes cannot reach each other would watch as a whole.
pub const STANDBYS_COUNT: usize = 2;

/// Longest time for which the platform may delay its response to a watch. A waiting watch counts as
/// one call per second, so a longer wait would save nothing, and this one detects earlier that the
/// platform is unreachable.
pub const WATCH_WAIT: DurationUs = DurationUs::from_ms(1_000);
/// Timeout of a call to the platform.
pub const CALL_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);
/// Shortest interval between the starts of two watches, in case the platform responds immediately.
pub const WATCH_INTERVAL_MIN: DurationUs = DurationUs::from_ms(250);
/// Interval between the starts of two reads of the host list, which cannot be watched.
pub const HOSTS_READ_INTERVAL: DurationUs = DurationUs::from_ms(1_000);
/// Greatest age of the last read of the host list at which a reader reports the list as confirmed;
/// allows for one late response.
pub const HOSTS_READ_AGE_MAX: DurationUs = DurationUs::from_ms(2_000);
/// Greatest age of a followed peer's host list at which it counts as confirmed. The peer itself
/// applies [`HOSTS_READ_AGE_MAX`]; a reader that gets the list from another reader adds the
/// interval between two heartbeats. The limit ends confirmations that processes with different host
/// lists repeat to each other.
pub const HOSTS_PEER_AGE_MAX: DurationUs = DurationUs::from_ms(4_000);
/// Time for which a process that has just begun to read the host list may still report the list as
/// confirmed.
pub const HOSTS_READ_GRACE: DurationUs = DurationUs::from_ms(500);
/// Longest jitter before a query for the host list. 2,670 processes then cause 1,571 calls/s,
/// within the 2,000 calls/s of the configuration service. Queries for the lists wait until those
/// for the host list are over.
pub const HOSTS_QUERY_JITTER_MAX: DurationUs = DurationUs::from_ms(1_700);
/// Delay before the next watch after a failed one.
pub const WATCH_RETRY_DELAY: DurationUs = DurationUs::from_ms(1_000);
/// Longest jitter before a query for the lists.
pub const QUERY_JITTER_MAX: DurationUs = DurationUs::from_ms(3_000);
/// Shortest interval between two queries of one process to the platform. 2,670 processes then cause
/// 267 calls/s for each resource, within the 2,000 calls/s of the configuration service.
pub const QUERY_INTERVAL_MIN: DurationUs = DurationUs::from_ms(10_000);

/// Shortest interval between heartbeats to a follower.
pub const HEARTBEAT_MIN: DurationUs = DurationUs::from_ms(1_000);
/// Longest interval between heartbeats to a follower.
pub const HEARTBEAT_MAX: DurationUs = DurationUs::from_ms(2_000);
/// Time without a message after which a followed peer counts as unresponsive.
pub const FOLLOW_SILENCE_TIMEOUT: DurationUs = DurationUs::from_ms(3_000);
/// Time without a first message after which a newly followed peer counts as unresponsive. The peer
/// sends its first message immediately, so this is shorter than [`FOLLOW_SILENCE_TIMEOUT`], which
/// covers the interval between heartbeats.
pub const FOLLOW_OPEN_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);
/// Greatest age at which a peer's confirmation counts. The confirmation of a healthy reader is at
/// most as old as two times [`WATCH_WAIT`] and the network time of two responses, because its age
/// counts from the start of the last call that got a response.
pub const CONFIRM_AGE_MAX: DurationUs = DurationUs::from_ms(3_000);
/// Interval at which a follower requests a confirmation from its reader, well below the 600 s after
/// which agents refuse calls with an idempotency key.
pub const CONFIRM_INTERVAL: DurationUs = DurationUs::from_ms(60_000);
/// Shortest interval between two requests for a confirmation.
pub const CONFIRM_RETRY_INTERVAL: DurationUs = DurationUs::from_ms(5_000);
/// Shortest interval between two attempts to follow a peer, for peers that refuse connections
/// immediately.
pub const FOLLOW_OPEN_INTERVAL_MIN: DurationUs = DurationUs::from_ms(200);
/// Pause before the next search through all peers while no peer is followed.
pub const SEARCH_PAUSE_WITHOUT_PEER: DurationUs = DurationUs::from_ms(1_000);
/// Pause before the next search through all peers while an unconfirmed peer is followed.
pub const SEARCH_PAUSE: DurationUs = DurationUs::from_ms(10_000);
/// Interval between attempts to return from another confirmed peer to a reader of the process's own
/// zone.
pub const PRIMARY_RETRY_INTERVAL: DurationUs = DurationUs::from_ms(10_000);

/// Timeout of a pull.
pub const PULL_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);
/// Shortest interval between two pulls; each message of a peer with newer revisions would otherwise
/// cause one.
pub const PULL_INTERVAL_MIN: DurationUs = DurationUs::from_ms(200);
/// Number of peers that a starting process queries.
pub const STARTUP_PEERS_COUNT: usize = 3;
