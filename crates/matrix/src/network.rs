//! Connections between entries and agents.
//!
//! A packet that is sent while its network path is cut is queued and arrives once the path works
//! again, unless the entry closed the connection meanwhile. An unresponsive connection loses every
//! packet permanently, while a new connection between the same hosts works. An entry closes a
//! connection whose keep-alive gets no response.

use std::collections::BTreeSet;

use cuminlead_retry::Evidence;
use cuminlead_types::{DurationUs, TimeUs};

use super::event::{ConnectionId, ExchangeId, NodeId, Packet, ProcessEvent};
use super::simulation::Simulation;

/// Timeout of a connection attempt; the same as in the entry process.
const CONNECT_TIMEOUT: DurationUs = DurationUs::from_ms(1_000);
/// Sum of the interval and the timeout of keep-alive in the entry process.
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
    is_unresponsive: bool,
    is_open: bool,
    /// Messages and streams on the connection that have not ended.
    pub(super) exchanges: BTreeSet<ExchangeId>,
    queued: Vec<QueuedPacket>,
}

#[derive(Debug)]
struct QueuedPacket {
    from: NodeId,
    to: NodeId,
    packet: Packet,
}

/// Network path from one host to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NetworkPath {
    pub(super) from: NodeId,
    pub(super) to: NodeId,
}

impl Simulation {
    pub(super) fn latency(&self, from: NodeId, to: NodeId) -> DurationUs {
        let (a, b) = (&self.node_specs[from.0], &self.node_specs[to.0]);
        if a.region != b.region {
            self.config.cross_region_latency_us
        } else if a.zone != b.zone {
            self.config.region_latency_us
        } else {
            self.config.zone_latency_us
        }
    }

    pub(super) fn is_cut(&self, from: NodeId, to: NodeId) -> bool {
        self.cut_paths.contains(&NetworkPath { from, to })
    }

    fn is_cut_off(&self, a: NodeId, b: NodeId) -> bool {
        self.is_cut(a, b) || self.is_cut(b, a)
    }

    /// Returns the connection for a message or stream, opening one if needed. When that is
    /// impossible, schedules [`ProcessEvent::NotConnected`] and returns none.
    pub(super) fn connect(
        &mut self,
        entry: NodeId,
        agent: NodeId,
        fresh: bool,
        exchange: ExchangeId,
    ) -> Option<ConnectionId> {
        if fresh {
            self.entry_mut(entry).connections.remove(&agent);
        }
        if let Some(kept) = self.entry_mut(entry).connections.get(&agent) {
            return Some(*kept);
        }
        if self.is_cut_off(entry, agent) {
            self.push_process(CONNECT_TIMEOUT, entry, ProcessEvent::NotConnected(exchange));
            return None;
        }
        let round_trip = DurationUs(2 * self.latency(entry, agent).get());
        if !self.processes[agent.0].is_running {
            self.push_process(round_trip, entry, ProcessEvent::NotConnected(exchange));
            return None;
        }
        let id = ConnectionId(self.connections_count);
        self.connections_count += 1;
        let connection = Connection {
            entry,
            agent,
            agent_generation: self.processes[agent.0].generation,
            ready_at: self.now + round_trip,
            last_to_agent: TimeUs::ZERO,
            last_to_entry: TimeUs::ZERO,
            is_unresponsive: false,
            is_open: true,
            exchanges: BTreeSet::new(),
            queued: Vec::new(),
        };
        self.connections.insert(id, connection);
        self.entry_mut(entry).connections.insert(agent, id);
        Some(id)
    }

    /// Sends a packet from one end of a connection to the other.
    pub(super) fn transmit(&mut self, id: ConnectionId, from: NodeId, packet: Packet) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let is_from_entry = connection.entry == from;
        let to = match is_from_entry {
            true => connection.agent,
            false => connection.entry,
        };
        if !connection.is_open || connection.is_unresponsive {
            self.schedule_keep_alive(id);
            return;
        }
        if self.is_cut(from, to) {
            self.queue_packet(id, from, to, packet);
            self.schedule_keep_alive(id);
            return;
        }
        if is_from_entry && self.is_blocked(id) {
            self.schedule_keep_alive(id);
        }
        self.arrive(id, from, to, packet);
    }

    fn arrive(&mut self, id: ConnectionId, from: NodeId, to: NodeId, packet: Packet) {
        let generation = self.connections.get(&id).map(|c| c.agent_generation);
        let is_to_later_life =
            self.agents.contains_key(&to) && generation != Some(self.processes[to.0].generation);
        if is_to_later_life {
            self.schedule_keep_alive(id);
            return;
        }
        let delay = self.delay(id, from, to) + self.link_delay(from, to, &packet);
        let event = ProcessEvent::Packet {
            connection: id,
            packet: Box::new(packet),
        };
        self.push_process(delay, to, event);
    }

    /// Time until a packet arrives. Packets of one direction of a connection stay in order.
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

    /// Whether keep-alive packets get no response.
    fn is_blocked(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&id) else {
            return false;
        };
        let agent = &self.processes[connection.agent.0];
        let is_gone = !agent.is_running || agent.generation != connection.agent_generation;
        connection.is_unresponsive
            || is_gone
            || agent.is_paused
            || self.is_cut_off(connection.entry, connection.agent)
    }

    fn schedule_keep_alive(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id) {
            let entry = connection.entry;
            self.push_process(KEEP_ALIVE, entry, ProcessEvent::KeepAlive(id));
        }
    }

    /// Schedules a keep-alive check for all connections of a host, which a fault may have blocked.
    pub(super) fn schedule_keep_alives_of(&mut self, node: NodeId) {
        let ids = self.connections.iter();
        let of_node = ids.filter(|(_, c)| c.is_open && (c.entry == node || c.agent == node));
        let ids: Vec<ConnectionId> = of_node.map(|(id, _)| *id).collect();
        for id in ids {
            self.schedule_keep_alive(id);
        }
    }

    pub(super) fn keep_alive(&mut self, id: ConnectionId) {
        let is_used = self
            .connections
            .get(&id)
            .is_some_and(|c| c.is_open && !c.exchanges.is_empty());
        if is_used && self.is_blocked(id) {
            self.give_up(id);
        }
    }

    /// Closes a connection whose keep-alive got no response, and reports its exchanges as lost.
    fn give_up(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (entry, agent) = (connection.entry, connection.agent);
        for exchange in self.close_entry_end(id) {
            self.push_process(DurationUs::ZERO, entry, ProcessEvent::Lost(exchange));
        }
        self.remove_connection(entry, agent, id);
    }

    /// Closes the entry's end and returns the exchanges that were on it. The host of the entry
    /// still delivers what was sent before, with any delay, and then the close. An unresponsive
    /// connection delivers nothing.
    fn close_entry_end(&mut self, id: ConnectionId) -> Vec<ExchangeId> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        connection.is_open = false;
        let (entry, agent) = (connection.entry, connection.agent);
        let is_unresponsive = connection.is_unresponsive;
        connection.queued.retain(|queued| queued.from == entry);
        let exchanges: Vec<ExchangeId> = std::mem::take(&mut connection.exchanges)
            .into_iter()
            .collect();
        for exchange in &exchanges {
            let packet = Packet::CallDropped(*exchange);
            if !is_unresponsive && self.is_cut(entry, agent) {
                self.queue_packet(id, entry, agent, packet);
            } else if !is_unresponsive {
                self.arrive(id, entry, agent, packet);
            }
        }
        exchanges
    }

    fn queue_packet(&mut self, id: ConnectionId, from: NodeId, to: NodeId, packet: Packet) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued.push(QueuedPacket { from, to, packet });
        }
    }

    /// Removes a connection from the entry's table, so that the next message opens a new one.
    pub(super) fn remove_connection(&mut self, entry: NodeId, agent: NodeId, id: ConnectionId) {
        let connections = &mut self.entry_mut(entry).connections;
        if connections.get(&agent) == Some(&id) {
            connections.remove(&agent);
        }
    }

    /// Closes all connections of a process that ended. The other ends notice it once they are
    /// reachable.
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
        let (entry, agent, is_unresponsive) = (
            connection.entry,
            connection.agent,
            connection.is_unresponsive,
        );
        if entry == dead {
            self.close_entry_end(id);
            return;
        }
        if is_unresponsive || self.is_cut(agent, entry) {
            self.schedule_keep_alive(id);
            return;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_open = false;
        connection.queued.clear();
        let exchanges = std::mem::take(&mut connection.exchanges);
        let delay = self.latency(agent, entry);
        for exchange in exchanges {
            self.push_process(delay, entry, ProcessEvent::Lost(exchange));
        }
        self.remove_connection(entry, agent, id);
    }

    /// Makes all connections of a host that loses power unresponsive, because it sends no close to
    /// the other ends.
    pub(super) fn make_all_unresponsive(&mut self, node: NodeId) {
        for connection in self.connections.values_mut() {
            if connection.entry == node || connection.agent == node {
                connection.is_unresponsive = true;
                connection.queued.clear();
            }
        }
        self.schedule_keep_alives_of(node);
    }

    /// Makes the current connection between two hosts unresponsive.
    pub(super) fn make_unresponsive(&mut self, entry: NodeId, agent: NodeId) {
        let Some(id) = self.entry_mut(entry).connections.get(&agent).copied() else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_unresponsive = true;
        }
        self.schedule_keep_alive(id);
    }

    pub(super) fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cut_paths.insert(NetworkPath { from, to });
        self.schedule_keep_alives_of(from);
        self.schedule_keep_alives_of(to);
    }

    pub(super) fn restore_path(&mut self, from: NodeId, to: NodeId) {
        self.cut_paths.remove(&NetworkPath { from, to });
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            self.send_waiting(id, from, to);
        }
    }

    fn send_waiting(&mut self, id: ConnectionId, from: NodeId, to: NodeId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let queued = std::mem::take(&mut connection.queued);
        let is_ready = |queued: &QueuedPacket| queued.from == from && queued.to == to;
        let (ready, rest): (Vec<QueuedPacket>, Vec<QueuedPacket>) =
            queued.into_iter().partition(is_ready);
        connection.queued = rest;
        for queued in ready {
            self.arrive(id, from, to, queued.packet);
        }
    }

    /// Whether the receiver still processes packets of a connection. Agents always do; an entry
    /// ignores packets on a connection that it has closed.
    pub(super) fn is_current(&self, id: ConnectionId, to: NodeId) -> bool {
        let Some(connection) = self.connections.get(&id) else {
            return false;
        };
        let is_agent = connection.agent == to;
        is_agent || connection.is_open
    }

    /// Evidence for a stream that was lost with its connection.
    pub(super) const LOST_STREAM: Evidence = Evidence::Unresponsive;
}
