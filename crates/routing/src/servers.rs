//! Records of all backend servers in the lists.

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
    /// Key of a backend server within one router.
    pub struct ServerKey;
}

/// Group of servers with comparable load, which share a [`MeanLoad`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumCount)]
pub enum ServerGroup {
    /// Engines with the prefill role.
    #[default]
    Prefill,
    /// Engines with the decode role.
    Decode,
    /// Servers of plain services.
    Service,
}

/// Location of a backend server, from the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Host of the server's agent.
    pub host: HostId,
    /// Region of the host.
    pub region: RegionName,
    /// Availability zone of the host.
    pub zone: AvailabilityZoneName,
    /// Whether the host is published as live, not as leaving.
    pub is_live: bool,
}

/// State of a backend server in the local view of the entry.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Id of the server in the lists.
    pub id: BackendServerId,
    /// Location; absent while no host in the host list runs the server.
    pub location: Option<Location>,
    /// Group whose mean load is the estimate while the server's own load report is stale.
    pub group: ServerGroup,
    /// Newest incarnation that the server's agent reported; zero before the first report.
    pub incarnation: Incarnation,
    /// Salt of the server in the prefix table. It changes when the agent restarts or the server
    /// moves to another host, because the engine's cache is empty afterwards.
    pub salt: u64,
    /// Load estimate.
    pub load: ServerLoad,
    /// Budget of retries sent to the server.
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

    /// Sets the location. On another host the server starts without load and with an empty cache.
    fn set_location(&mut self, location: Option<Location>) {
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

/// All backend servers in the lists.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    records: SlotMap<ServerKey, ServerRecord>,
    keys: HashMap<BackendServerId, ServerKey>,
    mean_loads: [MeanLoad; ServerGroup::COUNT],
}

impl Servers {
    /// Sets the servers from the lists and their locations from the host list. The estimates of
    /// servers that remain in the lists are kept.
    pub fn apply(&mut self, lists: &Lists, hosts: &HostList) {
        let hosts_by_server = hosts_by_server(hosts);
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
                record.set_location(hosts_by_server.get(id).map(|host| location(host)));
            }
        }
    }

    /// Mean load that the servers of a group recently reported.
    pub fn mean_load(&self, group: ServerGroup) -> &MeanLoad {
        &self.mean_loads[group as usize]
    }

    /// Record of a server; `None` if it is no longer in the lists.
    pub fn get(&self, key: ServerKey) -> Option<&ServerRecord> {
        self.records.get(key)
    }

    /// Mutable record of a server; `None` if it is no longer in the lists.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut ServerRecord> {
        self.records.get_mut(key)
    }

    /// Key of a server; `None` if it is not in the lists.
    pub fn key(&self, id: &BackendServerId) -> Option<ServerKey> {
        self.keys.get(id).copied()
    }

    /// Records the state reported by an agent; a report of an earlier incarnation is ignored.
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

/// Host of each backend server. If a server is on two hosts during a move, a live host takes
/// precedence over a leaving one.
fn hosts_by_server(hosts: &HostList) -> HashMap<&BackendServerId, &HostEntry> {
    let mut hosts_by_server: HashMap<&BackendServerId, &HostEntry> = HashMap::new();
    for host in &hosts.hosts {
        let Some(server) = &host.server else {
            continue;
        };
        if host.process != ProcessKind::Agent {
            continue;
        }
        let has_live_host = hosts_by_server
            .get(server)
            .is_some_and(|other| other.state == HostState::Live);
        if !has_live_host || host.state == HostState::Live {
            hosts_by_server.insert(server, host);
        }
    }
    hosts_by_server
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
