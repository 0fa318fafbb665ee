//! Permits for requests to servers that have named a limit.
//!
//! A server names one limit for all processes together, and each process alone knows only what it
//! sends itself. One agent therefore owns the permits of each server: the one beside an engine, and
//! for other servers an agent of the region that all entries choose by the same hash. Entries ask
//! it before they send, and place a request elsewhere or refuse it if there is no permit.
//!
//! Alternatives: a fixed share of the limit for each process wastes most of it, because requests
//! come unevenly, and is less than one request for the limits of engines. Shares in proportion to
//! the demand that processes report suit high limits only.
//!
//! Permits that are not used at once remain for a short time, so that the rate is used up although
//! requests arrive unevenly. A new owner begins with one permit only: it may follow one that has
//! ended or that is not reached, and would otherwise add to what that one has just granted. Processes without a permit are told different times to come back, one
//! after the other at the rate, so that they do not ask in vain again and again.

use std::collections::HashMap;
use std::net::SocketAddr;

use cuminlead_types::{BackendServerId, DurationUs, MillirequestsPerSecond, TimeUs};
use xxhash_rust::xxh3::xxh3_64;

/// Fewest permits that may be taken at once after a pause.
const BURST_COUNT: u64 = 3;
/// Time for which unused permits remain, if they are more than [`BURST_COUNT`]. More at once would
/// overflow the queue of a server.
const BURST_TIME: DurationUs = DurationUs::from_ms(250);
/// Longest time that a process without a permit is told to wait. Processes that do not come back
/// leave their turns to others.
const TURN_MAX: DurationUs = DurationUs::from_ms(250);
/// Time whose permits one process takes at once from the owner, to ask less often.
const BATCH_TIME: DurationUs = DurationUs::from_ms(50);
/// Rate for servers that name a lower one: without any request it would not be known when they
/// name a higher one.
const RATE_MIN: MillirequestsPerSecond = MillirequestsPerSecond(250);
/// Time without requests for permits after which a server is forgotten.
const IDLE_RETENTION: DurationUs = DurationUs::from_ms(60_000);
const US_PER_SECOND: u64 = 1_000_000;

/// Reply to a request for permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitReply {
    /// Number of requests that may be sent.
    pub granted_count: u32,
    /// Time until the next permit, if none was granted.
    pub retry_after: DurationUs,
}

/// Time between two requests at a rate.
fn request_interval(rate: MillirequestsPerSecond) -> DurationUs {
    DurationUs(1_000 * US_PER_SECOND / rate.max(RATE_MIN).0)
}

/// Number of permits that a process asks for at once.
pub fn batch_count(rate: MillirequestsPerSecond) -> u32 {
    let count = BATCH_TIME.0 / request_interval(rate).0.max(1);
    u32::try_from(count).unwrap_or(u32::MAX).max(1)
}

/// Permits of the servers that one process owns.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    servers: HashMap<BackendServerId, ServerPermits>,
}

/// The permits are described by the time at which all of them are used up at the present rate.
#[derive(Clone, Copy, Debug)]
struct ServerPermits {
    used_until: TimeUs,
    /// Last time at which a process was told to come back.
    last_turn_at: TimeUs,
    asked_at: TimeUs,
}

impl RateLimiter {
    /// Takes up to `count` permits for a server with the given limit.
    pub fn take(
        &mut self,
        now: TimeUs,
        server: &BackendServerId,
        rate: MillirequestsPerSecond,
        count: u32,
    ) -> PermitReply {
        self.servers
            .retain(|_, permits| now.since(permits.asked_at) < IDLE_RETENTION);
        let interval = request_interval(rate);
        let burst = DurationUs(interval.0.saturating_mul(BURST_COUNT)).max(BURST_TIME);
        let permits = self.servers.entry(server.clone()).or_insert(ServerPermits {
            // Another process may have granted permits until now.
            used_until: now + burst.saturating_sub(interval),
            last_turn_at: TimeUs::ZERO,
            asked_at: now,
        });
        permits.asked_at = now;
        permits.used_until = permits.used_until.max(now);
        let unused = burst.saturating_sub(permits.used_until.since(now));
        let available_count = unused.0 / interval.0.max(1);
        let granted_count = u32::try_from(available_count)
            .unwrap_or(u32::MAX)
            .min(count);
        permits.used_until =
            permits.used_until + DurationUs(interval.0.saturating_mul(u64::from(granted_count)));
        let retry_after = if granted_count > 0 {
            DurationUs::ZERO
        } else {
            let next_permit = interval.saturating_sub(unused);
            let next_turn = (permits.last_turn_at + interval).since(now);
            let turn = next_permit.max(next_turn.min(TURN_MAX));
            permits.last_turn_at = now + turn;
            turn
        };
        PermitReply {
            granted_count,
            retry_after,
        }
    }
}

/// Owners of a server's permits, or of a team's usage, in the order in which they are asked: the same
/// at all processes that know the same agents.
pub fn owners(owned: &impl std::fmt::Display, mut agents: Vec<SocketAddr>) -> Vec<SocketAddr> {
    agents.sort_by_cached_key(|agent| {
        let text = format!("{owned} {agent}");
        (xxh3_64(text.as_bytes()), *agent)
    });
    agents.dedup();
    agents
}
