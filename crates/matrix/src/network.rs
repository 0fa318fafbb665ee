//! Connections between entries and agents.
//!
//! A packet that is sent while its way is cut waits and arrives when the way works again, unless
//! the connection was given up meanwhile. A silent connection loses every packet for good, and a
//! fresh one works. An entry gives up a connection whose keep-alive is not answered.

use std::collections::BTreeSet;

use cuminlead_retry::Evidence;
use cuminlead_types::{DurationUs, TimeUs};

use super::event::{CarriedId, ConnectionId, NodeId, Packet, ProcessEvent};
use super::simulation::Simulation;

/// Time after which a connection attempt has failed; as in `clients.rs` of the entry.
const CONNECT_TIMEOUT: DurationUs = DurationUs::from_ms(1_000);
/// Interval and timeout of keep-alive together; as in `clients.rs` of the entry.
const KEEP_ALIVE: DurationUs = DurationUs::from_ms(2_000);

/// Connection between an entry and an agent.
#[derive(Debug)]
pub struct Connection {
    pub(super) entry: NodeId,
    pub(super) agent: NodeId,
    agent_generation: u64,
    ready_at: TimeUs,
    last_to_agent: TimeUs,
    last_to_entry: TimeUs,
    is_silent: bool,
    is_open: bool,
    /// Messages and streams under way.
    pub(super) carried: BTreeSet<CarriedId>,
    waiting: Vec<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    from: NodeId,
    to: NodeId,
    packet: Packet,
}

/// A way from one host to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Way {
    pub(super) from: NodeId,
    pub(super) to: NodeId,
}

impl Simulation {
    /// One-way latency between two hosts.
    pub(super) fn latency(&self, from: NodeId, to: NodeId) -> DurationUs {
        let (a, b) = (&self.places[from.0], &self.places[to.0]);
        if a.region != b.region {
            self.config.far_latency_us
        } else if a.zone != b.zone {
            self.config.region_latency_us
        } else {
            self.config.zone_latency_us
        }
    }

    pub(super) fn is_cut(&self, from: NodeId, to: NodeId) -> bool {
        self.cuts.contains(&Way { from, to })
    }

    fn is_cut_off(&self, a: NodeId, b: NodeId) -> bool {
        self.is_cut(a, b) || self.is_cut(b, a)
    }

    /// Connection for a message, or nothing when none can be made.
    pub(super) fn connect(
        &mut self,
        entry: NodeId,
        agent: NodeId,
        fresh: bool,
        carried: CarriedId,
    ) -> Option<ConnectionId> {
        if fresh {
            self.entry_mut(entry).connections.remove(&agent);
        }
        if let Some(kept) = self.entry_mut(entry).connections.get(&agent) {
            return Some(*kept);
        }
        if self.is_cut_off(entry, agent) {
            self.push_process(CONNECT_TIMEOUT, entry, ProcessEvent::NotConnected(carried));
            return None;
        }
        let round_trip = DurationUs(2 * self.latency(entry, agent).get());
        if !self.nodes[agent.0].is_running {
            self.push_process(round_trip, entry, ProcessEvent::NotConnected(carried));
            return None;
        }
        let id = ConnectionId(self.connections_count);
        self.connections_count += 1;
        let connection = Connection {
            entry,
            agent,
            agent_generation: self.nodes[agent.0].generation,
            ready_at: self.now + round_trip,
            last_to_agent: TimeUs::ZERO,
            last_to_entry: TimeUs::ZERO,
            is_silent: false,
            is_open: true,
            carried: BTreeSet::new(),
            waiting: Vec::new(),
        };
        self.connections.insert(id, connection);
        self.entry_mut(entry).connections.insert(agent, id);
        Some(id)
    }

    /// Sends a packet of one end to the other.
    pub(super) fn transmit(&mut self, id: ConnectionId, from: NodeId, packet: Packet) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let is_from_entry = connection.entry == from;
        let to = match is_from_entry {
            true => connection.agent,
            false => connection.entry,
        };
        if !connection.is_open || connection.is_silent {
            self.watch(id);
            return;
        }
        if self.is_cut(from, to) {
            self.keep_waiting(id, from, to, packet);
            self.watch(id);
            return;
        }
        if is_from_entry && self.is_blocked(id) {
            self.watch(id);
        }
        self.arrive(id, from, to, packet);
    }

    fn arrive(&mut self, id: ConnectionId, from: NodeId, to: NodeId, packet: Packet) {
        let generation = self.connections.get(&id).map(|c| c.agent_generation);
        let is_to_later_life =
            self.agents.contains_key(&to) && generation != Some(self.nodes[to.0].generation);
        if is_to_later_life {
            self.watch(id);
            return;
        }
        let delay = self.delay(id, from, to) + self.link_delay(from, to, &packet);
        let event = ProcessEvent::Packet {
            connection: id,
            packet: Box::new(packet),
        };
        self.push_process(delay, to, event);
    }

    /// Time until a packet arrives, in the order of the packets of its way.
    fn delay(&mut self, id: ConnectionId, from: NodeId, to: NodeId) -> DurationUs {
        let latency = self.latency(from, to) + self.jitter();
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&id) else {
            return latency;
        };
        let last_at = match from == connection.entry {
            true => &mut connection.last_to_agent,
            false => &mut connection.last_to_entry,
        };
        let at = (now.max(connection.ready_at) + latency).max(*last_at);
        *last_at = at;
        at.since(now)
    }

    /// Whether keep-alive packets are not answered.
    fn is_blocked(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&id) else {
            return false;
        };
        let agent = &self.nodes[connection.agent.0];
        let is_gone = !agent.is_running || agent.generation != connection.agent_generation;
        connection.is_silent
            || is_gone
            || agent.is_paused
            || self.is_cut_off(connection.entry, connection.agent)
    }

    fn watch(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id) {
            let entry = connection.entry;
            self.push_process(KEEP_ALIVE, entry, ProcessEvent::KeepAlive(id));
        }
    }

    /// Starts the keep-alive of all connections that a fault may have blocked.
    pub(super) fn watch_all(&mut self, node: NodeId) {
        let ids = self.connections.iter();
        let of_node = ids.filter(|(_, c)| c.is_open && (c.entry == node || c.agent == node));
        let ids: Vec<ConnectionId> = of_node.map(|(id, _)| *id).collect();
        for id in ids {
            self.watch(id);
        }
    }

    pub(super) fn keep_alive(&mut self, id: ConnectionId) {
        let is_used = self
            .connections
            .get(&id)
            .is_some_and(|c| c.is_open && !c.carried.is_empty());
        if is_used && self.is_blocked(id) {
            self.give_up(id);
        }
    }

    /// The entry gives up a connection.
    fn give_up(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (entry, agent) = (connection.entry, connection.agent);
        for carried in self.close_entry_end(id) {
            self.push_process(DurationUs::ZERO, entry, ProcessEvent::Lost(carried));
        }
        self.forget(entry, agent, id);
    }

    /// Closes the entry's end. Its host still delivers what was sent before, however late, and then
    /// the close; only a silent connection delivers nothing.
    fn close_entry_end(&mut self, id: ConnectionId) -> Vec<CarriedId> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        connection.is_open = false;
        let (entry, agent) = (connection.entry, connection.agent);
        let is_silent = connection.is_silent;
        connection.waiting.retain(|waiting| waiting.from == entry);
        let carried: Vec<CarriedId> = std::mem::take(&mut connection.carried)
            .into_iter()
            .collect();
        for carried in &carried {
            let packet = Packet::CallDropped(*carried);
            if !is_silent && self.is_cut(entry, agent) {
                self.keep_waiting(id, entry, agent, packet);
            } else if !is_silent {
                self.arrive(id, entry, agent, packet);
            }
        }
        carried
    }

    fn keep_waiting(&mut self, id: ConnectionId, from: NodeId, to: NodeId, packet: Packet) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.waiting.push(Waiting { from, to, packet });
        }
    }

    /// Makes the next message use a new connection.
    pub(super) fn forget(&mut self, entry: NodeId, agent: NodeId, id: ConnectionId) {
        let connections = &mut self.entry_mut(entry).connections;
        if connections.get(&agent) == Some(&id) {
            connections.remove(&agent);
        }
    }

    /// All connections of a dead process end; the other sides notice when they can be reached.
    pub(super) fn reset_connections(&mut self, node: NodeId) {
        let ids = self.connections.iter();
        let of_node = ids.filter(|(_, c)| c.is_open && (c.entry == node || c.agent == node));
        let ids: Vec<ConnectionId> = of_node.map(|(id, _)| *id).collect();
        for id in ids {
            self.reset(id, node);
        }
    }

    fn reset(&mut self, id: ConnectionId, dead: NodeId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (entry, agent, is_silent) = (connection.entry, connection.agent, connection.is_silent);
        if entry == dead {
            self.close_entry_end(id);
            return;
        }
        if is_silent || self.is_cut(agent, entry) {
            self.watch(id);
            return;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_open = false;
        connection.waiting.clear();
        let carried = std::mem::take(&mut connection.carried);
        let delay = self.latency(agent, entry);
        for carried in carried {
            self.push_process(delay, entry, ProcessEvent::Lost(carried));
        }
        self.forget(entry, agent, id);
    }

    /// A host that loses power says nothing to the other ends of its connections.
    pub(super) fn silence_all(&mut self, node: NodeId) {
        for connection in self.connections.values_mut() {
            if connection.entry == node || connection.agent == node {
                connection.is_silent = true;
                connection.waiting.clear();
            }
        }
        self.watch_all(node);
    }

    /// Makes the present connection between two hosts silent.
    pub(super) fn silence(&mut self, entry: NodeId, agent: NodeId) {
        let Some(id) = self.entry_mut(entry).connections.get(&agent).copied() else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_silent = true;
        }
        self.watch(id);
    }

    pub(super) fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cuts.insert(Way { from, to });
        self.watch_all(from);
        self.watch_all(to);
    }

    pub(super) fn join(&mut self, from: NodeId, to: NodeId) {
        self.cuts.remove(&Way { from, to });
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            self.send_waiting(id, from, to);
        }
    }

    fn send_waiting(&mut self, id: ConnectionId, from: NodeId, to: NodeId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let waiting = std::mem::take(&mut connection.waiting);
        let is_ready = |waiting: &Waiting| waiting.from == from && waiting.to == to;
        let (ready, rest): (Vec<Waiting>, Vec<Waiting>) = waiting.into_iter().partition(is_ready);
        connection.waiting = rest;
        for waiting in ready {
            self.arrive(id, from, to, waiting.packet);
        }
    }

    /// Whether a packet that arrives is still of use to its receiver.
    pub(super) fn is_current(&self, id: ConnectionId, to: NodeId) -> bool {
        let Some(connection) = self.connections.get(&id) else {
            return false;
        };
        let is_agent = connection.agent == to;
        is_agent || connection.is_open
    }

    /// Evidence of a stream that ended with its connection.
    pub(super) const LOST_STREAM: Evidence = Evidence::Unresponsive;
}
