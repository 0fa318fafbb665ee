//! One budget of memory and descriptors for all that callers' connections hold.
//!
//! Separate bounds on heads, bodies and connections allow their product, which exceeds the memory
//! of a host by far. Here every buffer of a connection counts toward one bound. When the budget
//! runs low, connections are closed in this order: first those whose caller has neither sent nor
//! read anything for a while although a message is under way, then idle ones, each by the time
//! since their last byte. A connection whose request is at a server is never closed. If nothing can
//! be closed, what is new is refused.

use std::collections::BTreeMap;

use cuminlead_types::{Bytes, DurationUs, TimeUs};

/// Identifies an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// The next request of the caller.
    Idle,
    /// The rest of a head.
    ReceivingHead,
    /// The rest of a body.
    ReceivingBody,
    /// A server, or this process.
    Serving,
    /// The caller, who has to read before more can be sent.
    Sending,
}

/// Bounds of a [`ConnectionBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Open connections.
    pub connections_max_count: usize,
    /// Requests that are served at the same time; each may need a connection to a server.
    pub requests_max_count: usize,
    /// Memory of all connections.
    pub memory_max: Bytes,
    /// Part of it that bodies may use; the rest is a reserve for requests that are being served.
    pub bodies_max: Bytes,
    /// Part of it that one connection may use.
    pub share_max: Bytes,
    /// Memory of a connection that holds no message.
    pub connection_bytes: Bytes,
    /// Time without a byte after which a message under way counts as stalled.
    pub stalled_after: DurationUs,
    /// Time after which the minimum rate applies to a body or an unread response.
    pub rate_grace: DurationUs,
    /// Least bytes per second of a body and of the reading of a response.
    pub min_bytes_per_s: u64,
    /// Longest time that a response may wait for its caller without a pause in between.
    pub response_max: DurationUs,
}

/// The budget has no room, and no connection may be closed for more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

#[derive(Clone, Copy, Debug)]
struct Connection {
    activity: Activity,
    /// Time of the last byte, or of the last change of the activity.
    progress_at: TimeUs,
    /// Start of the activity, and the bytes moved since.
    began_at: TimeUs,
    moved_bytes: u64,
    /// Heads and responses, without the fixed part of the connection.
    buffer_bytes: u64,
    body_bytes: u64,
}

/// Connections of callers and what they hold.
#[derive(Debug)]
pub struct ConnectionBudget {
    limits: ConnectionLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: u64,
    used_bytes: u64,
    body_bytes: u64,
    serving_count: usize,
}

/// What a new charge needs.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    connections_count: usize,
    bytes: u64,
    body_bytes: u64,
}

impl ConnectionBudget {
    /// Budget without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            next_id: 0,
            used_bytes: 0,
            body_bytes: 0,
            serving_count: 0,
        }
    }

    /// Memory in use.
    pub fn used(&self) -> Bytes {
        Bytes(self.used_bytes)
    }

    /// Memory that bodies use.
    pub fn used_by_bodies(&self) -> Bytes {
        Bytes(self.body_bytes)
    }

    /// Adds a connection. `closed` gets the connections that must be closed for it.
    pub fn open(
        &mut self,
        now: TimeUs,
        closed: &mut Vec<ConnectionId>,
    ) -> Result<ConnectionId, NoRoom> {
        let need = Need {
            connections_count: 1,
            bytes: self.limits.connection_bytes.0,
            body_bytes: 0,
        };
        self.make_room(now, None, need, closed)?;
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.used_bytes += need.bytes;
        let connection = Connection {
            activity: Activity::Idle,
            progress_at: now,
            began_at: now,
            moved_bytes: 0,
            buffer_bytes: 0,
            body_bytes: 0,
        };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Removes a connection and all that it holds; without effect if it was removed before.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.serving_count -= usize::from(connection.activity == Activity::Serving);
        self.body_bytes -= connection.body_bytes;
        self.used_bytes -=
            self.limits.connection_bytes.0 + connection.buffer_bytes + connection.body_bytes;
    }

    /// Activity of a connection that is open.
    pub fn activity(&self, id: ConnectionId) -> Option<Activity> {
        Some(self.connections.get(&id)?.activity)
    }

    /// Changes what a connection waits for. Fails for [`Activity::Serving`] if too many requests are
    /// served.
    pub fn set_activity(
        &mut self,
        now: TimeUs,
        id: ConnectionId,
        activity: Activity,
    ) -> Result<(), NoRoom> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Ok(());
        };
        let was_serving = connection.activity == Activity::Serving;
        let is_serving = activity == Activity::Serving;
        // The rest of a response that was being sent belongs to a request that was admitted.
        let is_new = !was_serving && connection.activity != Activity::Sending;
        if is_serving && is_new && self.serving_count >= self.limits.requests_max_count {
            return Err(NoRoom);
        }
        self.serving_count += usize::from(is_serving);
        self.serving_count -= usize::from(was_serving);
        connection.activity = activity;
        connection.progress_at = now;
        connection.began_at = now;
        connection.moved_bytes = 0;
        Ok(())
    }

    /// Records that bytes of the caller arrived or were taken by it.
    pub fn record_progress(&mut self, now: TimeUs, id: ConnectionId, moved: Bytes) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress_at = now;
            connection.moved_bytes = connection.moved_bytes.saturating_add(moved.0);
        }
    }

    /// Sets the size of the heads and responses of a connection.
    pub fn set_buffers(
        &mut self,
        now: TimeUs,
        id: ConnectionId,
        size: Bytes,
        closed: &mut Vec<ConnectionId>,
    ) -> Result<(), NoRoom> {
        let Some(connection) = self.connections.get(&id) else {
            return Err(NoRoom);
        };
        let (old, body) = (connection.buffer_bytes, connection.body_bytes);
        let need = Need {
            bytes: size.0.saturating_sub(old),
            ..Need::default()
        };
        if need.bytes > 0 {
            self.check_share(size.0 + body)?;
            self.make_room(now, Some(id), need, closed)?;
        }
        self.used_bytes = self.used_bytes + size.0 - old;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.buffer_bytes = size.0;
        }
        Ok(())
    }

    /// Sets the size of the body of a connection's request.
    pub fn set_body(
        &mut self,
        now: TimeUs,
        id: ConnectionId,
        size: Bytes,
        closed: &mut Vec<ConnectionId>,
    ) -> Result<(), NoRoom> {
        let Some(connection) = self.connections.get(&id) else {
            return Err(NoRoom);
        };
        let (old, buffers) = (connection.body_bytes, connection.buffer_bytes);
        let added = size.0.saturating_sub(old);
        if added > 0 {
            self.check_share(size.0 + buffers)?;
            let need = Need {
                bytes: added,
                body_bytes: added,
                ..Need::default()
            };
            self.make_room(now, Some(id), need, closed)?;
        }
        self.used_bytes = self.used_bytes + size.0 - old;
        self.body_bytes = self.body_bytes + size.0 - old;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.body_bytes = size.0;
        }
        Ok(())
    }

    /// Removes and returns the connections whose caller sends a body or reads a response too slowly.
    pub fn remove_overdue(&mut self, now: TimeUs) -> Vec<ConnectionId> {
        let limits = self.limits;
        let is_overdue = |connection: &Connection| {
            let elapsed = now.since(connection.began_at);
            let is_slow = elapsed >= limits.rate_grace
                && u128::from(connection.moved_bytes) * 1_000_000
                    < u128::from(limits.min_bytes_per_s) * u128::from(elapsed.0);
            match connection.activity {
                Activity::ReceivingBody => is_slow,
                Activity::Sending => is_slow || elapsed >= limits.response_max,
                Activity::Idle | Activity::ReceivingHead | Activity::Serving => false,
            }
        };
        let overdue = self.connections.iter();
        let overdue = overdue.filter(|(_, connection)| is_overdue(connection));
        let overdue: Vec<_> = overdue.map(|(id, _)| *id).collect();
        for id in &overdue {
            self.close(*id);
        }
        overdue
    }

    fn check_share(&self, size: u64) -> Result<(), NoRoom> {
        if size > self.limits.share_max.0 {
            return Err(NoRoom);
        }
        Ok(())
    }

    fn has_room(&self, need: Need) -> bool {
        self.connections.len() + need.connections_count <= self.limits.connections_max_count
            && self.used_bytes + need.bytes <= self.limits.memory_max.0
            && self.body_bytes + need.body_bytes <= self.limits.bodies_max.0
    }

    /// Closes connections other than `kept` in the stated order until there is room. Closes none if
    /// that would not be enough.
    fn make_room(
        &mut self,
        now: TimeUs,
        kept: Option<ConnectionId>,
        need: Need,
        closed: &mut Vec<ConnectionId>,
    ) -> Result<(), NoRoom> {
        if self.has_room(need) {
            return Ok(());
        }
        let lacks_body_memory = self.body_bytes + need.body_bytes > self.limits.bodies_max.0;
        let mut candidates: Vec<_> = self
            .connections
            .iter()
            .filter(|(id, _)| Some(**id) != kept)
            .filter_map(|(id, connection)| {
                let rank = self.closing_rank(now, connection)?;
                Some((rank, connection.progress_at, *id))
            })
            .collect();
        candidates.sort_unstable();
        let (mut freed_bytes, mut freed_body_bytes, mut chosen) = (0, 0, Vec::new());
        for (_, _, id) in candidates {
            let Some(connection) = self.connections.get(&id) else {
                continue;
            };
            if lacks_body_memory && connection.body_bytes == 0 {
                continue;
            }
            freed_bytes +=
                self.limits.connection_bytes.0 + connection.buffer_bytes + connection.body_bytes;
            freed_body_bytes += connection.body_bytes;
            chosen.push(id);
            let rest_count = self.connections.len() - chosen.len();
            let is_enough = rest_count + need.connections_count
                <= self.limits.connections_max_count
                && self.used_bytes - freed_bytes + need.bytes <= self.limits.memory_max.0
                && self.body_bytes - freed_body_bytes + need.body_bytes <= self.limits.bodies_max.0;
            if is_enough {
                for id in &chosen {
                    self.close(*id);
                }
                closed.extend(chosen);
                return Ok(());
            }
        }
        Err(NoRoom)
    }

    /// Order in which a connection is closed; `None` if it must not be.
    fn closing_rank(&self, now: TimeUs, connection: &Connection) -> Option<u8> {
        match connection.activity {
            Activity::Idle => Some(1),
            Activity::Serving => None,
            Activity::ReceivingHead | Activity::ReceivingBody | Activity::Sending => {
                let silence = now.since(connection.progress_at);
                (silence >= self.limits.stalled_after).then_some(0)
            }
        }
    }
}
