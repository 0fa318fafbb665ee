//! Table of all backend servers.
//!
//! A server whose entry is removed stays in the table for a retention period as a fallback server:
//! it gets work only if its service has no other server. All entries expire together while the
//! registry is unreachable, and are published again within two seconds of its return.

use std::collections::HashMap;
use std::net::SocketAddr;

use cuminlead_types::{
    BackendServerId, DurationUs, MillirequestsPerSecond, RegionName, ServiceName, TimeUs, Tokens,
};
use slotmap::{SlotMap, new_key_type};

use crate::address_claim::AddressClaim;
use crate::health::Health;
use crate::server::{ServerRecord, ServerState};
use crate::server_notices::{
    Incarnation, NamedLimit, NoticeChanges, NoticeStore, ServerNotice, next_limit,
};

/// Time for which a removed server is a fallback server. A draining server must get no work 2.5 s
/// after the registry has that update, and a removal is read up to half a second later.
pub const REMOVED_RETENTION: DurationUs = DurationUs::from_ms(1_500);
/// Time for which a server removed after a registry outage is a fallback server. Expired entries
/// are published again within two seconds.
pub const EXPIRED_RETENTION: DurationUs = DurationUs::from_ms(2_200);
/// Grace period after a server begins to drain in which requests that were prepared for it may
/// still run there. A prefill takes less, unless the queue is long.
pub const PREPARED_GRACE: DurationUs = DurationUs::from_ms(1_200);

/// Time within which a permit is used; later it would add to the requests of another moment.
const PERMIT_LIFETIME: DurationUs = DurationUs::from_ms(500);
/// Shortest time for which a server without permits is not asked for one again.
const LIMIT_PAUSE_MIN: DurationUs = DurationUs::from_ms(20);

new_key_type! {
    /// Key of a server in the table.
    pub struct ServerKey;
}

/// Whether a server may get new work according to its published entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerLifecycle {
    /// Published as ready.
    Ready,
    /// Its entry was removed; it is a fallback server until the given time.
    Removed {
        /// End of its time as a fallback server.
        until: TimeUs,
    },
    /// Published as draining; it gets no new work since the given time.
    Draining(TimeUs),
}

/// Free KV memory of an engine, as its agent last reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeMemory {
    /// Usable memory beyond the highest forecast use.
    pub free_tokens: Tokens,
    /// All KV memory of the engine, free or in use.
    pub total_tokens: Tokens,
    /// When the report was received.
    pub reported_at: TimeUs,
}

/// Permits for requests to a server with a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnusedPermits {
    count: u32,
    expires_at: TimeUs,
}

impl UnusedPermits {
    /// Adds permits; they replace earlier ones that have expired.
    pub fn add(&mut self, now: TimeUs, count: u32) {
        let unexpired_count = if now < self.expires_at { self.count } else { 0 };
        self.count = unexpired_count.saturating_add(count);
        self.expires_at = now + PERMIT_LIFETIME;
    }

    /// Uses a permit, if there is one.
    pub fn take(&mut self, now: TimeUs) -> bool {
        let has_permit = now < self.expires_at && self.count > 0;
        if has_permit {
            self.count -= 1;
        }
        has_permit
    }
}

/// Backend server with this process's view of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Entry that the server last published.
    pub record: ServerRecord,
    /// Region of its availability zone; `None` if the zone is not configured.
    pub region: Option<RegionName>,
    /// Lifecycle state according to the published entry.
    pub lifecycle: ServerLifecycle,
    /// What speaks for and against the server at its address.
    address_claim: AddressClaim,
    /// Failures that this process observed.
    pub health: Health,
    /// In-flight requests of this process at the server.
    pub in_flight_count: u32,
    /// When it last had no free slot for a request.
    pub full_at: Option<TimeUs>,
    /// Limit that the server has named last; `None` if its last response had none.
    pub limit: Option<NamedLimit>,
    /// Until when the server wants no requests from this process.
    pub pause_until: TimeUs,
    /// Until when the server's limit permits no request.
    pub limited_until: TimeUs,
    /// Permits that this process has taken from their owner and not used yet.
    pub permits: UnusedPermits,
    /// Free memory of an engine; `None` before its agent's first report.
    pub memory: Option<FreeMemory>,
}

impl Server {
    /// Records the limit that a response names; returns whether it has changed.
    pub fn record_limit(
        &mut self,
        now: TimeUs,
        sent_at: TimeUs,
        rate: Option<MillirequestsPerSecond>,
    ) -> bool {
        let known = self.limit;
        self.limit = next_limit(now, sent_at, known, rate);
        if self.limit.is_none() {
            self.limited_until = TimeUs::ZERO;
        }
        self.limit.map(|limit| limit.rate) != known.map(|limit| limit.rate)
    }

    /// Records that the server wants no requests for the given time. Responses to other requests do
    /// not shorten it.
    pub fn record_pause(&mut self, now: TimeUs, pause: DurationUs) {
        self.pause_until = self.pause_until.max(now + pause);
    }

    /// Whether the server gets no requests now, because it failed or asked for a pause.
    pub fn is_paused(&self, now: TimeUs) -> bool {
        now < self.paused_until()
    }

    fn paused_until(&self) -> TimeUs {
        self.health.paused_until().max(self.pause_until)
    }

    /// Records that the server's limit permits no request for the given time.
    pub fn hold_back(&mut self, now: TimeUs, pause: DurationUs) {
        let until = now + pause.max(LIMIT_PAUSE_MIN);
        self.limited_until = self.limited_until.max(until);
    }

    /// When the server may get its next request; `None` if it may get one now.
    pub fn held_back_until(&self, now: TimeUs) -> Option<TimeUs> {
        let until = self.paused_until().max(self.limited_until);
        (now < until).then_some(until)
    }

    /// Whether another server is believed to have its address.
    pub fn is_displaced(&self, now: TimeUs) -> bool {
        self.address_claim.is_doubted(now)
    }

    /// Whether a request that was prepared for this server may still run here.
    pub fn accepts_prepared(&self, now: TimeUs) -> bool {
        if self.is_displaced(now) {
            return false;
        }
        match self.lifecycle {
            ServerLifecycle::Ready => true,
            ServerLifecycle::Removed { until } => now < until,
            ServerLifecycle::Draining(since) => now.since(since) < PREPARED_GRACE,
        }
    }
}

/// All backend servers, by key, id, service and address.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: SlotMap<ServerKey, Server>,
    by_id: HashMap<BackendServerId, ServerKey>,
    by_service: HashMap<ServiceName, Vec<ServerKey>>,
    by_address: HashMap<SocketAddr, Vec<ServerKey>>,
    notices: NoticeStore,
}

impl ServerTable {
    /// Server of a key; `None` once it was dropped from the table.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Mutable access to the server of a key; `None` once it was dropped from the table.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Servers of a service, whatever their state.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = (ServerKey, &Server)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| self.servers.get(*key).map(|server| (*key, server)))
    }

    /// All servers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Number of addresses at which servers are published.
    pub fn addresses_count(&self) -> usize {
        self.by_address.len()
    }

    /// Key of the server with an id.
    pub fn key_of(&self, id: &BackendServerId) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Applies a published entry; returns the servers that are displaced by it.
    ///
    /// An entry under a known id with another address, service or start time belongs to another
    /// incarnation: the state of the earlier one is dropped.
    pub fn publish(
        &mut self,
        now: TimeUs,
        record: ServerRecord,
        region: Option<RegionName>,
    ) -> Vec<BackendServerId> {
        let notices = self.notices.find(&record.id, record.started_at_ms).copied();
        let leaving_since = notices.and_then(|notices| notices.leaving_since);
        let lifecycle = match (leaving_since, record.state) {
            // A server's own word is newer than what the registry publishes.
            (Some(since), _) => ServerLifecycle::Draining(since),
            (None, ServerState::Ready) => ServerLifecycle::Ready,
            (None, ServerState::Draining) => ServerLifecycle::Draining(now),
        };
        let (id, service, address) = (record.id.clone(), record.service.clone(), record.address);
        if let Some(key) = self.key_of(&id) {
            if let Some(server) = self.servers.get_mut(key)
                && is_same_incarnation(&server.record, &record)
            {
                if server.record != record {
                    server.address_claim.forget_rejections();
                }
                server.record = record;
                server.region = region;
                let was_draining = matches!(server.lifecycle, ServerLifecycle::Draining(_));
                if !was_draining || lifecycle == ServerLifecycle::Ready {
                    server.lifecycle = lifecycle;
                }
                return self.weigh_claims(now, address);
            }
            self.drop_server(now, key);
        }
        let key = self.servers.insert(Server {
            record,
            region,
            lifecycle,
            address_claim: AddressClaim::default(),
            health: Health::default(),
            in_flight_count: 0,
            full_at: None,
            limit: notices.and_then(|notices| notices.limit),
            pause_until: notices.map_or(TimeUs::ZERO, |notices| notices.pause_until),
            limited_until: TimeUs::ZERO,
            permits: UnusedPermits::default(),
            memory: None,
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        self.by_address.entry(address).or_default().push(key);
        self.weigh_claims(now, address)
    }

    /// Weighs the claims of the servers at an address again; returns those that are displaced since
    /// now.
    fn weigh_claims(&mut self, now: TimeUs, address: SocketAddr) -> Vec<BackendServerId> {
        let keys = self.by_address.get(&address).cloned().unwrap_or_default();
        let is_published =
            |server: &Server| !matches!(server.lifecycle, ServerLifecycle::Removed { .. });
        let published: Vec<_> = keys
            .iter()
            .filter_map(|key| self.servers.get(*key))
            .filter(|server| is_published(server))
            .map(|server| (server.record.started_at_ms, server.address_claim))
            .collect();
        let mut displaced = Vec::new();
        for key in keys {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            let started_at_ms = server.record.started_at_ms;
            let later: Vec<_> = published
                .iter()
                .filter(|(other_ms, _)| *other_ms > started_at_ms)
                .map(|(_, claim)| *claim)
                .collect();
            if server.address_claim.weigh(now, &later) {
                displaced.push(server.record.id.clone());
            }
        }
        displaced
    }

    /// Records a response of a server to a request that names its incarnation.
    pub fn record_response(&mut self, now: TimeUs, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if server.address_claim.record_response() {
            let address = server.record.address;
            self.weigh_claims(now, address);
        }
    }

    /// Records that another incarnation has responded at the address of a server.
    pub fn record_other_incarnation(&mut self, now: TimeUs, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.address_claim.record_rejection(now);
        let address = server.record.address;
        self.weigh_claims(now, address);
    }

    /// Applies the removal of an entry: a ready server becomes a fallback server for the given time,
    /// and a draining one is dropped.
    pub fn remove(&mut self, now: TimeUs, retention: DurationUs, id: &BackendServerId) {
        let Some(key) = self.key_of(id) else { return };
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        match server.lifecycle {
            ServerLifecycle::Ready => {
                let until = now + retention;
                server.lifecycle = ServerLifecycle::Removed { until };
                let address = server.record.address;
                self.weigh_claims(now, address);
            }
            ServerLifecycle::Removed { .. } => {}
            ServerLifecycle::Draining(_) => self.drop_server(now, key),
        }
    }

    /// Records that a server says itself that it is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, now: TimeUs, key: ServerKey) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let is_new = self.notices.record_leaving(now, server);
        if is_new && !matches!(server.lifecycle, ServerLifecycle::Draining(_)) {
            server.lifecycle = ServerLifecycle::Draining(now);
        }
        is_new
    }

    /// Incarnation of a server.
    pub fn incarnation(&self, key: ServerKey) -> Option<Incarnation> {
        let record = &self.servers.get(key)?.record;
        Some(Incarnation {
            id: record.id.clone(),
            started_at_ms: record.started_at_ms,
        })
    }

    /// Records what an incarnation says about itself in the response to a request, also if the
    /// table has dropped it meanwhile.
    pub fn record_notice(
        &mut self,
        now: TimeUs,
        sent_at: TimeUs,
        incarnation: &Incarnation,
        notice: &ServerNotice,
    ) -> NoticeChanges {
        let found = self
            .key_of(&incarnation.id)
            .and_then(|key| Some((key, self.servers.get_mut(key)?)))
            .filter(|(_, server)| server.record.started_at_ms == incarnation.started_at_ms);
        let Some((key, server)) = found else {
            self.notices.record(now, sent_at, incarnation, notice);
            return NoticeChanges::default();
        };
        let is_limit_changed = server.record_limit(now, sent_at, notice.limit);
        if let Some(pause) = notice.pause {
            server.record_pause(now, pause);
        }
        NoticeChanges {
            is_limit_changed,
            is_leaving_new: notice.is_leaving && self.record_leaving(now, key),
        }
    }

    /// Drops a server that is known to have ended.
    pub fn drop_server(&mut self, now: TimeUs, key: ServerKey) {
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        self.notices.keep(&server);
        if self.by_id.get(&server.record.id) == Some(&key) {
            self.by_id.remove(&server.record.id);
        }
        if let Some(keys) = self.by_service.get_mut(&server.record.service) {
            keys.retain(|other| *other != key);
        }
        let address = server.record.address;
        if let Some(keys) = self.by_address.get_mut(&address) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_address.remove(&address);
            }
        }
        self.weigh_claims(now, address);
    }

    /// Drops removed servers whose time as fallback servers is over, and forgets what servers said
    /// long ago.
    pub fn expire(&mut self, now: TimeUs) {
        self.notices.expire(now);
        let is_expired = |server: &Server| match server.lifecycle {
            ServerLifecycle::Removed { until } => now >= until,
            ServerLifecycle::Ready | ServerLifecycle::Draining(_) => false,
        };
        let keys: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, server)| is_expired(server))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.drop_server(now, key);
        }
    }
}

fn is_same_incarnation(known: &ServerRecord, published: &ServerRecord) -> bool {
    known.address == published.address
        && known.service == published.service
        && known.started_at_ms == published.started_at_ms
}
