//! Intervals and limits, and how they add up to the 9 s of P8.
//!
//! The longest way of a change to a process that reaches a reader or the platform, after both
//! readers of its zone went silent just before the change:
//!
//! | step | ends after |
//! |---|---|
//! | the followed reader counts as silent ([`SILENCE`]) | 3 s |
//! | the other reader does not answer ([`OPEN_TIMEOUT`]) | 5 s |
//! | jitter before the platform is asked ([`QUERY_JITTER_MAX`]) | 8 s |
//! | answer of the platform, in milliseconds | below 9 s |
//!
//! Peers that refuse connections are given up sooner, so that the questions for the lists would come
//! together with those for the host list; they then use only the part of the jitter after these.
//!
//! A reader that lost the platform is as slow: its confirmation is too old after 3 s
//! ([`CONFIRM_LIMIT`]), which its next heartbeat tells within 2 s ([`HEARTBEAT_MAX`]).
//!
//! Later changes must not wait for the next question 10 s later, so the hosts ranked after the
//! readers take over as standbys as soon as they hear no reader, and followers look for them.
//!
//! A host list must be known within the 5 s of P6. A process that hears of no confirmed host list asks
//! the platform itself, without a try of other peers:
//!
//! | step | ends after |
//! |---|---|
//! | the followed reader counts as silent ([`SILENCE`]) | 3 s |
//! | jitter before the platform is asked ([`HOSTS_QUERY_JITTER_MAX`]) | 4.7 s |
//! | answer of the platform, in milliseconds | below 5 s |
//!
//! A reader of the host list that lost the platform tells so at once after [`HOSTS_READ_LIMIT`]. The
//! other readers then read it themselves, and say so after [`HOSTS_GRACE`] if they cannot.
//!
//! A process that reaches the platform and no other process cannot be told of a change, so it
//! learns the first one after the fault in time and later ones within [`QUERY_INTERVAL_MIN`].

use cuminlead_types::DurationUs;

/// Fewest readers of an availability zone, and readers that a follower prefers; two, so that one may
/// fail without a question to the platform.
pub const READERS_COUNT: usize = 2;

/// Readers of an availability zone with `hosts_count` live hosts.
///
/// A reader sends a heartbeat to each of its followers. With two readers for 445 hosts that would
/// be 150 messages a second, above the 2 KB/s that control may cost a node. The square root keeps
/// followers and the calls to the platform growing more slowly than the fleet: 6 zones of 445 hosts
/// have 126 readers with about 20 followers each.
pub const fn readers_count(hosts_count: usize) -> usize {
    let root = hosts_count.isqrt();
    if root > READERS_COUNT {
        root
    } else {
        READERS_COUNT
    }
}
/// Hosts of each zone that read while they hear no confirmed reader. A limit is needed because a
/// fleet whose processes do not reach each other would otherwise watch as a whole.
pub const STANDBYS_COUNT: usize = 2;

/// Longest time that the platform lets a watch wait. A waiting watch counts as one call in each
/// second, so a shorter one costs nothing and tells sooner that the platform is gone.
pub const WATCH_WAIT: DurationUs = DurationUs::from_ms(1_000);
/// Time without an answer after which a call to the platform has failed.
pub const CALL_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);
/// Shortest interval between the starts of two watches, in case that they are answered at once.
pub const WATCH_INTERVAL_MIN: DurationUs = DurationUs::from_ms(250);
/// Interval between the starts of two readings of the host list, which cannot be watched.
pub const HOSTS_INTERVAL: DurationUs = DurationUs::from_ms(1_000);
/// Age of the last reading of the host list from which a reader does not rely on it: one late answer
/// is allowed for.
pub const HOSTS_READ_LIMIT: DurationUs = DurationUs::from_ms(2_000);
/// Age of a host list that a followed peer tells, from which it counts as unconfirmed. The peer itself
/// keeps [`HOSTS_READ_LIMIT`]; a reader that takes the list from another one adds the time between two
/// heartbeats. The limit ends confirmations that processes with different host lists repeat to each
/// other.
pub const HOSTS_HEARD_LIMIT: DurationUs = DurationUs::from_ms(4_000);
/// Time in which a process that began to read the host list may still say that it relies on it.
pub const HOSTS_GRACE: DurationUs = DurationUs::from_ms(500);
/// Longest jitter before a process asks for the host list: 2,670 processes then cause 1,571 calls/s,
/// within the 2,000 calls/s of the configuration service. Questions for the lists wait until they are over.
pub const HOSTS_QUERY_JITTER_MAX: DurationUs = DurationUs::from_ms(1_700);
/// Pause after a failed watch.
pub const WATCH_RETRY: DurationUs = DurationUs::from_ms(1_000);
/// Longest jitter before a process asks the platform.
pub const QUERY_JITTER_MAX: DurationUs = DurationUs::from_ms(3_000);
/// Shortest interval between two questions of one process to the platform: 2,670 processes then
/// cause 267 calls/s for each source, within the 2,000 calls/s of the configuration service.
pub const QUERY_INTERVAL_MIN: DurationUs = DurationUs::from_ms(10_000);

/// Shortest interval of heartbeats to followers.
pub const HEARTBEAT_MIN: DurationUs = DurationUs::from_ms(1_000);
/// Longest interval of heartbeats to followers.
pub const HEARTBEAT_MAX: DurationUs = DurationUs::from_ms(2_000);
/// Time without a message after which a followed peer is silent.
pub const SILENCE: DurationUs = DurationUs::from_ms(3_000);
/// Time without a first message after which a newly followed peer is silent. The peer sends it at
/// once, so the time is shorter than that between heartbeats.
pub const OPEN_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);
/// Age of a peer's confirmation from which it is no source of confirmation. A healthy reader's is
/// at most twice [`WATCH_WAIT`] and the ways of two answers, because it counts from the start of
/// the last call that was answered.
pub const CONFIRM_LIMIT: DurationUs = DurationUs::from_ms(3_000);
/// Interval in which a follower asks its reader for a confirmation, well below the 600 s after
/// which agents refuse keyed calls.
pub const CONFIRM_INTERVAL: DurationUs = DurationUs::from_ms(60_000);
/// Shortest interval between two such questions.
pub const CONFIRM_RETRY: DurationUs = DurationUs::from_ms(5_000);
/// Shortest interval between two attempts to follow, for peers that refuse at once.
pub const OPEN_INTERVAL_MIN: DurationUs = DurationUs::from_ms(200);
/// Pause before peers are tried again when none of them answered.
pub const SWEEP_PAUSE_ALONE: DurationUs = DurationUs::from_ms(1_000);
/// Pause before peers are tried again while one answers that cannot confirm.
pub const SWEEP_PAUSE: DurationUs = DurationUs::from_ms(10_000);
/// Interval of attempts to return from another confirmed source to a reader of the own zone.
pub const RETURN_INTERVAL: DurationUs = DurationUs::from_ms(10_000);

/// Time without an answer after which a pull has failed.
pub const PULL_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);
/// Shortest interval between two pulls, as every message of a newer peer asks for one.
pub const PULL_INTERVAL_MIN: DurationUs = DurationUs::from_ms(200);
/// Peers that a fresh process asks.
pub const STARTUP_PEERS_COUNT: usize = 3;
