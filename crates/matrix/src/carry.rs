//! Messages and streams of entries that are under way.

use cuminlead_entry_core::{CallEvent, CallStreamRef, SendOutcome, SendRef};
use cuminlead_protocol::DecodeEvent;
use cuminlead_retry::Evidence;
use cuminlead_types::{BackendServerId, RequestId};

use super::event::{CarriedId, ConnectionId, NodeId, Packet};
use super::simulation::Simulation;

/// Message or stream under way.
#[derive(Clone, Debug)]
pub struct Carried {
    pub(super) entry: NodeId,
    pub(super) agent: NodeId,
    pub(super) connection: Option<ConnectionId>,
    pub(super) origin: Origin,
}

/// Where the outcome of a message or stream goes.
#[derive(Clone, Debug)]
pub enum Origin {
    /// Message of a call.
    Send(RequestId, SendRef),
    /// Stream of a call.
    Stream(RequestId, CallStreamRef),
    /// Probe of membership.
    Probe(BackendServerId),
}

impl Simulation {
    pub(super) fn carry(
        &mut self,
        node: NodeId,
        agent: NodeId,
        origin: Origin,
        fresh: bool,
        packet: impl FnOnce(CarriedId) -> Packet,
    ) -> CarriedId {
        let id = CarriedId(self.carried_count);
        self.carried_count += 1;
        let connection = self.connect(node, agent, fresh, id);
        let carried = Carried {
            entry: node,
            agent,
            connection,
            origin,
        };
        self.carried.insert(id, carried);
        if let Some(connection) = connection {
            if let Some(connection) = self.connections.get_mut(&connection) {
                connection.carried.insert(id);
            }
            self.transmit(connection, node, packet(id));
        }
        id
    }

    pub(super) fn post(&mut self, id: CarriedId, packet: Packet) {
        let Some(carried) = self.carried.get(&id).cloned() else {
            return;
        };
        if let Some(connection) = carried.connection {
            self.transmit(connection, carried.entry, packet);
        }
    }

    pub(super) fn stream_of(
        &mut self,
        node: NodeId,
        request: RequestId,
        stream: CallStreamRef,
    ) -> Option<CarriedId> {
        let slot = self.entry_mut(node).calls.get(&request)?;
        slot.streams.get(&stream).copied()
    }

    pub(super) fn settle_carried(&mut self, id: CarriedId) -> Option<Carried> {
        let carried = self.carried.remove(&id)?;
        let connection = carried
            .connection
            .and_then(|c| self.connections.get_mut(&c));
        if let Some(connection) = connection {
            connection.carried.remove(&id);
        }
        Some(carried)
    }

    pub(super) fn entry_packet(&mut self, node: NodeId, connection: ConnectionId, packet: Packet) {
        match packet {
            Packet::Reply(id, reply) => {
                self.entry_observe(node, &reply.state);
                let outcome = SendOutcome::Reply(reply);
                self.carried_ended(node, id, outcome);
            }
            Packet::Stream(id, event) => self.stream_packet(node, id, event),
            Packet::Closed(id, evidence) => {
                if let Some(carried) = self.settle_carried(id)
                    && let Origin::Stream(request, stream) = carried.origin
                {
                    let event = CallEvent::StreamLost { stream, evidence };
                    self.call_event(node, request, event);
                }
            }
            _ => {
                // Only agents receive the other packets.
                debug_assert!(false, "packet for an agent on {connection:?}");
            }
        }
    }

    pub(super) fn stream_packet(&mut self, node: NodeId, id: CarriedId, event: DecodeEvent) {
        match &event {
            DecodeEvent::Imported(state)
            | DecodeEvent::Heartbeat(state)
            | DecodeEvent::Failed { state, .. } => self.entry_observe(node, &state.clone()),
            DecodeEvent::Chunk(_) => {}
        }
        let Some(carried) = self.carried.get(&id) else {
            return;
        };
        if let Origin::Stream(request, stream) = carried.origin {
            self.call_event(node, request, CallEvent::Stream { stream, event });
        }
    }

    pub(super) fn carried_ended(&mut self, node: NodeId, id: CarriedId, outcome: SendOutcome) {
        let Some(carried) = self.settle_carried(id) else {
            return;
        };
        if let (SendOutcome::Lost, Some(connection)) = (&outcome, carried.connection) {
            self.forget(node, carried.agent, connection);
        }
        match carried.origin {
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
                self.plan_probes(node);
            }
        }
    }
}
