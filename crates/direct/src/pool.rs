//! Pool of idle connections to backend servers.
//!
//! The most recently used connection is reused first, so that surplus connections reach their idle
//! timeout and are closed. A connection is kept for less time than the server announces, because a
//! request sent while the server closes the connection is lost.

use std::collections::HashMap;

use cuminlead_direct_core::ServerKey;
use cuminlead_types::{DurationUs, TimeUs};
use http::HeaderMap;

use crate::connection::Connection;

/// Idle timeout of a connection whose server announces none.
const IDLE_MAX_DEFAULT: DurationUs = DurationUs::from_ms(4_000);
/// How long before the announced idle timeout a connection is closed.
const IDLE_MARGIN: DurationUs = DurationUs::from_ms(800);
/// Longest idle time of a connection that a non-repeatable request may reuse. A middlebox or a
/// server that drops idle connections without notice loses the next request sent on one.
pub const IDLE_MAX_NOT_REPEATABLE: DurationUs = DurationUs::from_ms(1_000);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: TimeUs,
    idle_max: DurationUs,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<ServerKey, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection, unless it was idle for longer than `idle_max`.
    pub fn take(
        &mut self,
        now: TimeUs,
        server: ServerKey,
        idle_max: Option<DurationUs>,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(&server)?;
        idle.retain(|idle| is_reusable(now, idle));
        let last = idle.last()?;
        if idle_max.is_some_and(|idle_max| now.since(last.idle_since) > idle_max) {
            return None;
        }
        idle.pop().map(|idle| idle.connection)
    }

    /// Adds a connection whose response was read to its end; one that is closed or must not be
    /// reused is dropped.
    pub fn put(
        &mut self,
        now: TimeUs,
        server: ServerKey,
        connection: Connection,
        idle_max: DurationUs,
    ) {
        if connection.is_closed() || idle_max == DurationUs::ZERO {
            return;
        }
        self.idle.entry(server).or_default().push(IdleConnection {
            connection,
            idle_since: now,
            idle_max,
        });
    }

    /// Closes connections past their idle timeout, and those to servers that are no longer known.
    pub fn evict(&mut self, now: TimeUs, is_known: impl Fn(ServerKey) -> bool) {
        self.idle.retain(|server, idle| {
            idle.retain(|idle| is_reusable(now, idle));
            is_known(*server) && !idle.is_empty()
        });
    }

    /// Closes all idle connections to a server. An unresponsive server suggests that a device on
    /// the path which tracks connections, or the server itself, has lost the state of all of them.
    pub fn close_all(&mut self, server: ServerKey) {
        self.idle.remove(&server);
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether the pool has no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn is_reusable(now: TimeUs, idle: &IdleConnection) -> bool {
    !idle.connection.is_closed() && now.since(idle.idle_since) < idle.idle_max
}

/// Idle timeout that the headers of a response allow for its connection; zero if it must be closed.
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
        None => IDLE_MAX_DEFAULT,
    }
}

/// Value of `timeout=SECONDS` among the parameters of a `Keep-Alive` header.
fn timeout_of(parameters: &str) -> Option<DurationUs> {
    let mut parameters = parameters.split(',');
    let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(DurationUs::from_ms(seconds.saturating_mul(1_000)))
}
