//! Exchanges of the entries: messages that wait for a reply, and open decode streams.

use cuminlead_entry_core::{CallEvent, CallStreamRef, SendOutcome, SendRef};
use cuminlead_protocol::DecodeEvent;
use cuminlead_retry::Evidence;
use cuminlead_types::{BackendServerId, RequestId};

use super::event::{ConnectionId, ExchangeId, NodeId, Packet};
use super::simulation::Simulation;

/// Message that waits for its reply, or open stream.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub(super) entry: NodeId,
    pub(super) agent: NodeId,
    pub(super) connection: Option<ConnectionId>,
    pub(super) origin: Origin,
}

/// Receiver of the outcome of an exchange.
#[derive(Clone, Debug)]
pub enum Origin {
    /// A call that sent a message.
    Send(RequestId, SendRef),
    /// A call that opened a stream.
    Stream(RequestId, CallStreamRef),
    /// Membership, which probes a server.
    Probe(BackendServerId),
}

impl Simulation {
    pub(super) fn start_exchange(
        &mut self,
        node: NodeId,
        agent: NodeId,
        origin: Origin,
        fresh: bool,
        packet: impl FnOnce(ExchangeId) -> Packet,
    ) -> ExchangeId {
        let id = ExchangeId(self.exchanges_count);
        self.exchanges_count += 1;
        let connection = self.connect(node, agent, fresh, id);
        let exchange = Exchange {
            entry: node,
            agent,
            connection,
            origin,
        };
        self.exchanges.insert(id, exchange);
        if let Some(connection) = connection {
            if let Some(connection) = self.connections.get_mut(&connection) {
                connection.exchanges.insert(id);
            }
            self.transmit(connection, node, packet(id));
        }
        id
    }

    pub(super) fn send_packet(&mut self, id: ExchangeId, packet: Packet) {
        let Some(exchange) = self.exchanges.get(&id).cloned() else {
            return;
        };
        if let Some(connection) = exchange.connection {
            self.transmit(connection, exchange.entry, packet);
        }
    }

    pub(super) fn stream_of(
        &mut self,
        node: NodeId,
        request: RequestId,
        stream: CallStreamRef,
    ) -> Option<ExchangeId> {
        let slot = self.entry_mut(node).calls.get(&request)?;
        slot.streams.get(&stream).copied()
    }

    pub(super) fn finish_exchange(&mut self, id: ExchangeId) -> Option<Exchange> {
        let exchange = self.exchanges.remove(&id)?;
        let connection = exchange
            .connection
            .and_then(|c| self.connections.get_mut(&c));
        if let Some(connection) = connection {
            connection.exchanges.remove(&id);
        }
        Some(exchange)
    }

    pub(super) fn entry_packet(&mut self, node: NodeId, connection: ConnectionId, packet: Packet) {
        match packet {
            Packet::Reply(id, reply) => {
                self.entry_observe(node, &reply.state);
                let outcome = SendOutcome::Reply(reply);
                self.exchange_ended(node, id, outcome);
            }
            Packet::Stream(id, event) => self.stream_packet(node, id, event),
            Packet::Closed(id, evidence) => {
                if let Some(exchange) = self.finish_exchange(id)
                    && let Origin::Stream(request, stream) = exchange.origin
                {
                    let event = CallEvent::StreamLost { stream, evidence };
                    self.call_event(node, request, event);
                }
            }
            _ => {
                // Entries never receive the packets that are meant for agents.
                debug_assert!(
                    false,
                    "entry received a packet for an agent on {connection:?}"
                );
            }
        }
    }

    pub(super) fn stream_packet(&mut self, node: NodeId, id: ExchangeId, event: DecodeEvent) {
        match &event {
            DecodeEvent::Imported(state)
            | DecodeEvent::Heartbeat(state)
            | DecodeEvent::Failed { state, .. } => self.entry_observe(node, &state.clone()),
            DecodeEvent::Chunk(_) => {}
        }
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        if let Origin::Stream(request, stream) = exchange.origin {
            self.call_event(node, request, CallEvent::Stream { stream, event });
        }
    }

    pub(super) fn exchange_ended(&mut self, node: NodeId, id: ExchangeId, outcome: SendOutcome) {
        let Some(exchange) = self.finish_exchange(id) else {
            return;
        };
        if let (SendOutcome::Lost, Some(connection)) = (&outcome, exchange.connection) {
            self.remove_connection(node, exchange.agent, connection);
        }
        match exchange.origin {
            Origin::Send(request, send) => {
                self.call_event(node, request, CallEvent::Reply { send, outcome });
            }
            Origin::Stream(request, stream) => {
                let evidence = match outcome {
                    SendOutcome::ConnectFailed => Evidence::ConnectFailed,
                    _ => Self::LOST_STREAM,
                };
                self.call_event(node, request, CallEvent::StreamLost { stream, evidence });
            }
            Origin::Probe(server) => {
                let now = self.now;
                let is_success = matches!(outcome, SendOutcome::Reply(_));
                let entry = self.entry_mut(node);
                entry.membership.record_probe(now, &server, is_success);
                self.schedule_probes(node);
            }
        }
    }
}
