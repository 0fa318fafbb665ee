//! The table of all backend servers.
//!
//! A removed entry is not forgotten at once. Entries lapse together while the registry is away and
//! come back within two seconds of its return, so a removed server stays for a while as a last
//! resort: it gets work only if its service has no other server.

use std::collections::HashMap;
use std::net::SocketAddr;

use cuminlead_types::{BackendServerId, DurationUs, RegionName, ServiceName, TimeUs, Tokens};
use slotmap::{SlotMap, new_key_type};

use crate::health::Health;
use crate::server::{ServerRecord, ServerState};

/// Time for which a removed server is a last resort. A leaving server must get no work 2.5 s after
/// the registry has its word, and a removal is read up to half a second later.
pub const REMOVED_HOLD: DurationUs = DurationUs::from_ms(1_500);
/// The same after an outage of the registry: the two seconds in which lapsed entries come back.
pub const LAPSED_HOLD: DurationUs = DurationUs::from_ms(2_200);
/// Time for which a request keeps a leaving server that it has prepared its answer at. Its prefill
/// takes less, but for a long queue.
pub const PREPARED_HOLD: DurationUs = DurationUs::from_ms(1_200);

new_key_type! {
    /// Reference to a server of the table.
    pub struct ServerKey;
}

/// Whether a server may get new work, as far as it is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerLifecycle {
    /// Published as ready.
    Ready,
    /// Its entry is gone; it is a last resort until the given time.
    Removed {
        /// End of that.
        until: TimeUs,
    },
    /// It gets no new work since the given time.
    Leaving(TimeUs),
}

/// Free memory of an engine at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeMemory {
    /// Memory beyond the highest forecast use.
    pub free_tokens: Tokens,
    /// Memory in all.
    pub total_tokens: Tokens,
    /// When the agent said so.
    pub known_at: TimeUs,
}

/// A backend server with what this process knows of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Published entry.
    pub record: ServerRecord,
    /// Region of its availability zone.
    pub region: Option<RegionName>,
    /// Whether it may get new work.
    pub lifecycle: ServerLifecycle,
    /// First-hand evidence.
    pub health: Health,
    /// Requests of this process that are under way there.
    pub in_flight_count: u32,
    /// When it last had no room for a request.
    pub full_at: Option<TimeUs>,
    /// Free memory of an engine, as its agent said last.
    pub memory: Option<FreeMemory>,
}

impl Server {
    /// Whether a request that has prepared its answer here may still run here.
    pub fn takes_prepared(&self, now: TimeUs) -> bool {
        match self.lifecycle {
            ServerLifecycle::Ready => true,
            ServerLifecycle::Removed { until } => now < until,
            ServerLifecycle::Leaving(since) => now.since(since) < PREPARED_HOLD,
        }
    }
}

/// All backend servers, by key, id and service.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: SlotMap<ServerKey, Server>,
    by_id: HashMap<BackendServerId, ServerKey>,
    by_service: HashMap<ServiceName, Vec<ServerKey>>,
    by_address: HashMap<SocketAddr, ServerKey>,
}

impl ServerTable {
    /// Server, unless it is gone.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Server for changes, unless it is gone.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Servers of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = (ServerKey, &Server)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| self.servers.get(*key).map(|server| (*key, server)))
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Key of an id.
    pub fn key_of(&self, id: &BackendServerId) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Applies a published entry.
    ///
    /// An entry under a known id with another address, service or start is another incarnation:
    /// what was known of the earlier one does not hold for it.
    pub fn publish(
        &mut self,
        now: TimeUs,
        record: ServerRecord,
        region: Option<RegionName>,
    ) -> ServerKey {
        let lifecycle = match record.state {
            ServerState::Ready => ServerLifecycle::Ready,
            ServerState::Draining => ServerLifecycle::Leaving(now),
        };
        if let Some(key) = self.key_of(&record.id) {
            if let Some(server) = self.servers.get_mut(key)
                && is_same_incarnation(&server.record, &record)
            {
                server.record = record;
                server.region = region;
                let was_leaving = matches!(server.lifecycle, ServerLifecycle::Leaving(_));
                if !was_leaving || lifecycle == ServerLifecycle::Ready {
                    server.lifecycle = lifecycle;
                }
                return key;
            }
            self.forget(key);
        }
        self.supersede(&record);
        let (id, service, address) = (record.id.clone(), record.service.clone(), record.address);
        let key = self.servers.insert(Server {
            record,
            region,
            lifecycle,
            health: Health::default(),
            in_flight_count: 0,
            full_at: None,
            memory: None,
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        self.by_address.insert(address, key);
        key
    }

    /// Forgets an earlier server at the address of a new one. Entries of servers that have ended
    /// stay published for seconds, and each request to one of them is turned away by the server
    /// that has its address now.
    fn supersede(&mut self, record: &ServerRecord) {
        let Some(key) = self.by_address.get(&record.address).copied() else {
            return;
        };
        let is_earlier = |server: &Server| server.record.started_at_ms <= record.started_at_ms;
        if self.servers.get(key).is_some_and(is_earlier) {
            self.forget(key);
        }
    }

    /// Applies the removal of an entry; its server is a last resort until a time.
    pub fn remove(&mut self, until: TimeUs, id: &BackendServerId) {
        let Some(key) = self.key_of(id) else { return };
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        match server.lifecycle {
            ServerLifecycle::Ready => server.lifecycle = ServerLifecycle::Removed { until },
            ServerLifecycle::Removed { .. } => {}
            ServerLifecycle::Leaving(_) => self.forget(key),
        }
    }

    /// Forgets a server that is known to have ended, such as one whose address answers as another.
    pub fn forget(&mut self, key: ServerKey) {
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        if self.by_id.get(&server.record.id) == Some(&key) {
            self.by_id.remove(&server.record.id);
        }
        if self.by_address.get(&server.record.address) == Some(&key) {
            self.by_address.remove(&server.record.address);
        }
        if let Some(keys) = self.by_service.get_mut(&server.record.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Forgets removed servers that are no last resort any more.
    pub fn expire(&mut self, now: TimeUs) {
        let is_expired = |server: &Server| match server.lifecycle {
            ServerLifecycle::Removed { until } => now >= until,
            ServerLifecycle::Ready | ServerLifecycle::Leaving(_) => false,
        };
        let keys: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, server)| is_expired(server))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.forget(key);
        }
    }
}

fn is_same_incarnation(known: &ServerRecord, published: &ServerRecord) -> bool {
    known.address == published.address
        && known.service == published.service
        && known.started_at_ms == published.started_at_ms
}
