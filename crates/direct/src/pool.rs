//! Kept connections.
//!
//! The connection used last is used next, so that those beyond the present need grow old and are
//! closed. A connection is kept for less than the server announces, because a request that crosses
//! the server's close is lost.

use std::collections::HashMap;

use cuminlead_direct_core::ServerKey;
use cuminlead_types::{DurationUs, TimeUs};
use http::HeaderMap;

use crate::channel::Channel;

/// Longest idle time of a connection whose server announces none.
const IDLE_DEFAULT: DurationUs = DurationUs::from_ms(4_000);
/// Time before the announced end of a connection at which it is closed.
const IDLE_MARGIN: DurationUs = DurationUs::from_ms(800);
/// Longest idle time of a connection for a request that may not be repeated. A middlebox or a
/// server that drops idle connections without notice takes the next request with it.
pub const IDLE_MAX_ONCE: DurationUs = DurationUs::from_ms(1_000);

#[derive(Debug)]
struct Kept {
    channel: Channel,
    idle_since: TimeUs,
    idle_max: DurationUs,
}

/// Kept connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    kept: HashMap<ServerKey, Vec<Kept>>,
}

impl Pool {
    /// Takes the connection that was used last, if it was idle for no longer than `idle_max`.
    pub fn take(
        &mut self,
        now: TimeUs,
        server: ServerKey,
        idle_max: Option<DurationUs>,
    ) -> Option<Channel> {
        let kept = self.kept.get_mut(&server)?;
        kept.retain(|kept| is_kept(now, kept));
        let last = kept.last()?;
        if idle_max.is_some_and(|idle_max| now.since(last.idle_since) > idle_max) {
            return None;
        }
        kept.pop().map(|kept| kept.channel)
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&mut self, now: TimeUs, server: ServerKey, channel: Channel, idle_max: DurationUs) {
        if channel.is_closed() || idle_max == DurationUs::ZERO {
            return;
        }
        self.kept.entry(server).or_default().push(Kept {
            channel,
            idle_since: now,
            idle_max,
        });
    }

    /// Closes connections that were idle for too long, and those to servers that are gone.
    pub fn sweep(&mut self, now: TimeUs, is_known: impl Fn(ServerKey) -> bool) {
        self.kept.retain(|server, kept| {
            kept.retain(|kept| is_kept(now, kept));
            is_known(*server) && !kept.is_empty()
        });
    }

    /// Closes all kept connections to a server. One that went silent shows that whatever kept track
    /// of the connections has lost them.
    pub fn forget(&mut self, server: ServerKey) {
        self.kept.remove(&server);
    }

    /// Number of kept connections.
    pub fn len(&self) -> usize {
        self.kept.values().map(Vec::len).sum()
    }

    /// Whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn is_kept(now: TimeUs, kept: &Kept) -> bool {
    !kept.channel.is_closed() && now.since(kept.idle_since) < kept.idle_max
}

/// Longest idle time that the head of an answer allows its connection.
pub fn idle_max(headers: &HeaderMap) -> DurationUs {
    let connection = headers.get(http::header::CONNECTION);
    let is_close = connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    if is_close {
        return DurationUs::ZERO;
    }
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(timeout_of);
    match announced {
        Some(timeout) => timeout.saturating_sub(IDLE_MARGIN),
        None => IDLE_DEFAULT,
    }
}

/// Value of `timeout=SECONDS` among the parameters of a `Keep-Alive` header.
fn timeout_of(parameters: &str) -> Option<DurationUs> {
    let mut parameters = parameters.split(',');
    let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(DurationUs::from_ms(seconds.saturating_mul(1_000)))
}
