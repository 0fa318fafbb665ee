//! Backend servers known to a router.

use std::collections::HashMap;

use cuminlead_lists::{
    AssignedRole, HostEntry, HostList, HostState, Lists, ProcessKind, ServerAssignment,
};
use cuminlead_protocol::AgentState;
use cuminlead_retry::RetryBudget;
use cuminlead_types::{
    AvailabilityZoneName, BackendServerId, HostId, Incarnation, RegionName, TimeUs,
};
use slotmap::{SlotMap, new_key_type};
use strum::EnumCount;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::config::RoutingConfig;
use crate::load::ServerLoad;
use crate::mean_load::MeanLoad;

new_key_type! {
    /// Backend server within one router.
    pub struct ServerKey;
}

/// Servers whose loads are alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumCount)]
pub enum ServerGroup {
    /// Engines that compute prompts.
    #[default]
    Prefill,
    /// Engines that generate answers.
    Decode,
    /// Servers of plain services.
    Service,
}

/// Place of a backend server, from the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Host.
    pub host: HostId,
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
    /// Servers that it is compared with.
    pub group: ServerGroup,
    /// Life of its agent, as last reported.
    pub incarnation: Incarnation,
    /// Salt of the server in the prefix memory; a restart or another host changes it, because the
    /// cache is empty then.
    pub salt: u64,
    /// Load.
    pub load: ServerLoad,
    /// Retry budget.
    pub budget: RetryBudget,
}

impl ServerRecord {
    fn new(id: BackendServerId) -> Self {
        Self {
            salt: salt(&id, None, Incarnation::ZERO),
            id,
            location: None,
            group: ServerGroup::default(),
            incarnation: Incarnation::ZERO,
            load: ServerLoad::default(),
            budget: RetryBudget::default(),
        }
    }

    fn host(&self) -> Option<&HostId> {
        self.location.as_ref().map(|location| &location.host)
    }

    /// Takes a place; on another host the server starts without load and with an empty cache.
    fn place(&mut self, location: Option<Location>) {
        let host = location.as_ref().map(|location| &location.host);
        if host.is_some() && host != self.host() {
            self.load = ServerLoad::default();
            self.salt = salt(&self.id, host, self.incarnation);
        }
        self.location = location;
    }
}

fn salt(id: &BackendServerId, host: Option<&HostId>, incarnation: Incarnation) -> u64 {
    let host = host.map_or("", HostId::as_str);
    let names = [id.as_str(), host].join("\0");
    xxh3_64_with_seed(names.as_bytes(), incarnation.get())
}

/// All backend servers of the lists.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    records: SlotMap<ServerKey, ServerRecord>,
    keys: HashMap<BackendServerId, ServerKey>,
    mean_loads: [MeanLoad; ServerGroup::COUNT],
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
        for (id, server) in lists.servers.iter() {
            let key = self.key_or_insert(id);
            if let Some(record) = self.records.get_mut(key) {
                record.group = group_of(&server.assignment);
                record.place(places.get(id).map(|host| location(host)));
            }
        }
    }

    /// Load that servers of a group lately reported.
    pub fn mean_load(&self, group: ServerGroup) -> &MeanLoad {
        &self.mean_loads[group as usize]
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
            record.salt = salt(&record.id, record.host(), state.incarnation);
        }
        record.load.observe(now, state.load, config);
        self.mean_loads[record.group as usize].observe(now, &state.load, config);
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

fn group_of(assignment: &ServerAssignment) -> ServerGroup {
    match assignment {
        ServerAssignment::Engine(engine) if engine.role == AssignedRole::Prefill => {
            ServerGroup::Prefill
        }
        ServerAssignment::Engine(_) => ServerGroup::Decode,
        ServerAssignment::Service(_) => ServerGroup::Service,
    }
}

fn location(host: &HostEntry) -> Location {
    Location {
        host: host.host.clone(),
        region: host.region.clone(),
        zone: host.zone.clone(),
        is_live: host.state == HostState::Live,
    }
}
