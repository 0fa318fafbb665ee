//! Backend servers known to a router.

use std::collections::HashMap;

use cuminlead_lists::{HostEntry, HostList, HostState, Lists, ProcessKind};
use cuminlead_protocol::AgentState;
use cuminlead_retry::RetryBudget;
use cuminlead_types::{AvailabilityZoneName, BackendServerId, Incarnation, RegionName, TimeUs};
use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::config::RoutingConfig;
use crate::load::ServerLoad;

new_key_type! {
    /// Backend server within one router.
    pub struct ServerKey;
}

/// Place of a backend server, from the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: AvailabilityZoneName,
    /// Whether the host is published as live.
    pub is_live: bool,
}

/// Backend server and what is known about it.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Id.
    pub id: BackendServerId,
    /// Place; a server that no host runs has none.
    pub location: Option<Location>,
    /// Life of its agent, as last reported.
    pub incarnation: Incarnation,
    /// Salt of the server in the prefix memory; a restart changes it, because it empties the cache.
    pub salt: u64,
    /// Load.
    pub load: ServerLoad,
    /// Retry budget.
    pub budget: RetryBudget,
}

impl ServerRecord {
    fn new(id: BackendServerId) -> Self {
        Self {
            salt: salt(&id, Incarnation::ZERO),
            id,
            location: None,
            incarnation: Incarnation::ZERO,
            load: ServerLoad::default(),
            budget: RetryBudget::default(),
        }
    }
}

fn salt(id: &BackendServerId, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), incarnation.get())
}

/// All backend servers of the lists.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    records: SlotMap<ServerKey, ServerRecord>,
    keys: HashMap<BackendServerId, ServerKey>,
}

impl Servers {
    /// Takes the servers of the lists and their places; estimates of known servers are kept.
    pub fn apply(&mut self, lists: &Lists, hosts: &HostList) {
        let places = places(hosts);
        self.keys.retain(|id, key| {
            let is_listed = lists.servers.contains_key(id);
            if !is_listed {
                self.records.remove(*key);
            }
            is_listed
        });
        for id in lists.servers.keys() {
            let key = self.key_or_insert(id);
            if let Some(record) = self.records.get_mut(key) {
                record.location = places.get(id).map(|host| location(host));
            }
        }
    }

    /// Record of a server.
    pub fn get(&self, key: ServerKey) -> Option<&ServerRecord> {
        self.records.get(key)
    }

    /// Record of a server, for changes.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut ServerRecord> {
        self.records.get_mut(key)
    }

    /// Key of a server.
    pub fn key(&self, id: &BackendServerId) -> Option<ServerKey> {
        self.keys.get(id).copied()
    }

    /// Takes a report; one of an earlier incarnation is ignored.
    pub fn observe(&mut self, now: TimeUs, state: &AgentState, config: &RoutingConfig) {
        let record = self
            .key(&state.server)
            .and_then(|key| self.records.get_mut(key));
        let Some(record) = record else {
            return;
        };
        if state.incarnation < record.incarnation {
            return;
        }
        let is_first = record.incarnation == Incarnation::ZERO;
        if state.incarnation > record.incarnation && !is_first {
            record.load = ServerLoad::default();
        }
        if state.incarnation > record.incarnation {
            record.incarnation = state.incarnation;
            record.salt = salt(&record.id, state.incarnation);
        }
        record.load.observe(now, state.load, config);
    }

    fn key_or_insert(&mut self, id: &BackendServerId) -> ServerKey {
        if let Some(key) = self.keys.get(id) {
            return *key;
        }
        let key = self.records.insert(ServerRecord::new(id.clone()));
        self.keys.insert(id.clone(), key);
        key
    }
}

/// Host of each backend server; a live one wins while a server moves between hosts.
fn places(hosts: &HostList) -> HashMap<&BackendServerId, &HostEntry> {
    let mut places: HashMap<&BackendServerId, &HostEntry> = HashMap::new();
    for host in &hosts.hosts {
        let Some(server) = &host.server else {
            continue;
        };
        if host.process != ProcessKind::Agent {
            continue;
        }
        let is_taken = places
            .get(server)
            .is_some_and(|other| other.state == HostState::Live);
        if !is_taken || host.state == HostState::Live {
            places.insert(server, host);
        }
    }
    places
}

fn location(host: &HostEntry) -> Location {
    Location {
        region: host.region.clone(),
        zone: host.zone.clone(),
        is_live: host.state == HostState::Live,
    }
}
