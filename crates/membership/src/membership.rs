//! Combines the host list, the reports of agents and the results of calls into a status per server.

use std::collections::BTreeMap;

use cuminlead_lists::{HostEntry, HostList, HostState};
use cuminlead_protocol::AgentState;
use cuminlead_types::{
    AvailabilityZoneName, BackendServerId, DurationUs, HostId, Incarnation, RegionName, Revision,
    TimeUs,
};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::backoff::Backoff;
use crate::health::{DrainState, Stall};

/// Interval between probes to a published server whose agent is draining. Only a newer incarnation
/// clears the drain state, and a server without new requests sends no replies that could show one.
pub const DRAIN_PROBE_INTERVAL: DurationUs = DurationUs::from_ms(2_000);
/// Retention period of the state of a server that is no longer published. It exceeds the longest
/// drain, so that the drain state outlives the incarnation that reported it.
pub const UNPUBLISHED_RETENTION: DurationUs = DurationUs::from_ms(600_000);

/// Whether a server may receive new requests, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ServerStatus {
    /// The server may receive new requests.
    Usable,
    /// The host list does not contain the server.
    Unpublished,
    /// The host list publishes the server as leaving.
    Leaving,
    /// The server's agent is draining and accepts no new requests.
    Draining,
    /// A back-off is in progress because calls to the server failed.
    BackOff,
}

/// Status of all backend servers in the local view of this process.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    hosts_revision: Revision,
    servers: BTreeMap<BackendServerId, Member>,
}

/// State of one server.
#[derive(Clone, Debug, Default)]
struct Member {
    published: Option<HostEntry>,
    unpublished_at: TimeUs,
    drain_state: DrainState,
    drain_probe_at: TimeUs,
    backoff: Backoff,
    reported_stall: Stall,
    observed_stall: Stall,
}

impl Membership {
    /// Creates a membership without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes all state, so that the value can be reused.
    pub fn clear(&mut self) {
        self.hosts_revision = Revision::ZERO;
        self.servers.clear();
    }

    /// Revision of the host list in effect; zero before the first one.
    pub fn hosts_revision(&self) -> Revision {
        self.hosts_revision
    }

    /// Puts a host list into effect if it is newer than the current one; returns whether it is.
    pub fn update_hosts(&mut self, now: TimeUs, list: &HostList) -> bool {
        if list.revision <= self.hosts_revision {
            return false;
        }
        self.hosts_revision = list.revision;
        let published = published_servers(list);
        for (id, member) in &mut self.servers {
            if !published.contains_key(id) {
                member.unpublish(now);
            }
        }
        for (id, entry) in published {
            let member = self.servers.entry(id).or_default();
            member.publish(now, entry);
        }
        self.servers.retain(|_, member| !member.is_expired(now));
        true
    }

    /// Records the agent state that a reply carries. A report of an earlier incarnation is ignored.
    pub fn record_report(&mut self, now: TimeUs, state: &AgentState) {
        let member = self.member(now, &state.server);
        let was_draining = member.drain_state.is_draining();
        if !member.drain_state.record(state) {
            return;
        }
        if member.drain_state.is_draining() && !was_draining {
            member.drain_probe_at = now + DRAIN_PROBE_INTERVAL;
        }
        member
            .reported_stall
            .record(now, state.load.oldest_stall_us);
    }

    /// Records the age of this process's oldest call to the server that makes no progress.
    pub fn record_stall(&mut self, now: TimeUs, server: &BackendServerId, age: DurationUs) {
        self.member(now, server).observed_stall.record(now, age);
    }

    /// Records that a call to the server succeeded.
    pub fn record_success(&mut self, now: TimeUs, server: &BackendServerId) {
        self.member(now, server).backoff.record_success();
    }

    /// Records that a call failed through a fault of the server or the connection. A refusal is not
    /// a failure.
    pub fn record_failure(&mut self, now: TimeUs, server: &BackendServerId) {
        self.member(now, server).backoff.record_failure(now);
    }

    /// Records the result of a probe that [`Self::take_due_probes`] returned.
    pub fn record_probe(&mut self, now: TimeUs, server: &BackendServerId, is_success: bool) {
        let member = self.member(now, server);
        member.backoff.record_probe(now, is_success);
    }

    fn member(&mut self, now: TimeUs, server: &BackendServerId) -> &mut Member {
        self.servers
            .entry(server.clone())
            .or_insert_with(|| Member {
                unpublished_at: now,
                ..Member::default()
            })
    }

    /// Servers to which a probe must be sent now. A server in back-off has at most one probe in
    /// flight.
    pub fn take_due_probes(&mut self, now: TimeUs) -> Vec<BackendServerId> {
        let mut due = Vec::new();
        for (id, member) in &mut self.servers {
            if member.take_due_probe(now) {
                due.push(id.clone());
            }
        }
        due
    }

    /// Latest time at which [`Self::take_due_probes`] must be called; absent if no probe is
    /// planned.
    pub fn next_probe_at(&self) -> Option<TimeUs> {
        let members = self.servers.values();
        members.filter_map(Member::next_probe_at).min()
    }

    /// Status of a server; an unknown server is [`ServerStatus::Unpublished`].
    pub fn status(&self, server: &BackendServerId) -> ServerStatus {
        self.servers
            .get(server)
            .map_or(ServerStatus::Unpublished, Member::status)
    }

    /// Whether the server may receive new requests. A back-off ends with a probe and not with the
    /// passage of time, so the result does not depend on the time.
    pub fn is_usable(&self, _now: TimeUs, server: &BackendServerId) -> bool {
        self.status(server) == ServerStatus::Usable
    }

    /// Whether the server is usable and no call to it is stalled.
    pub fn is_preferred(&self, now: TimeUs, server: &BackendServerId) -> bool {
        let member = self.servers.get(server);
        member.is_some_and(|member| {
            member.status() == ServerStatus::Usable && !member.is_stalled(now)
        })
    }

    /// Servers that may receive new requests, ordered by id.
    pub fn usable_servers(&self) -> impl Iterator<Item = &BackendServerId> {
        self.servers
            .iter()
            .filter(|(_, member)| member.status() == ServerStatus::Usable)
            .map(|(id, _)| id)
    }

    /// Region of a server; absent if the server is not published.
    pub fn region_of(&self, server: &BackendServerId) -> Option<&RegionName> {
        self.published(server).map(|entry| &entry.region)
    }

    /// Availability zone of a server; absent if the server is not published.
    pub fn zone_of(&self, server: &BackendServerId) -> Option<&AvailabilityZoneName> {
        self.published(server).map(|entry| &entry.zone)
    }

    /// Host of a server's agent; absent if the server is not published.
    pub fn host_of(&self, server: &BackendServerId) -> Option<&HostId> {
        self.published(server).map(|entry| &entry.host)
    }

    /// Address of a server's agent; absent if the server is not published.
    pub fn address_of(&self, server: &BackendServerId) -> Option<&str> {
        self.published(server).map(|entry| entry.address.as_str())
    }

    /// Newest incarnation that the server's agent reported; absent before the first report.
    pub fn incarnation_of(&self, server: &BackendServerId) -> Option<Incarnation> {
        let member = self.servers.get(server)?;
        let incarnation = member.drain_state.incarnation();
        (incarnation > Incarnation::ZERO).then_some(incarnation)
    }

    fn published(&self, server: &BackendServerId) -> Option<&HostEntry> {
        self.servers.get(server)?.published.as_ref()
    }
}

/// Host entry of each server. A live host takes precedence over a leaving one that it replaces.
fn published_servers(list: &HostList) -> BTreeMap<BackendServerId, &HostEntry> {
    let mut published: BTreeMap<BackendServerId, &HostEntry> = BTreeMap::new();
    for entry in &list.hosts {
        let Some(server) = &entry.server else {
            continue;
        };
        let has_live_host = published
            .get(server)
            .is_some_and(|other| other.state == HostState::Live);
        if !has_live_host {
            published.insert(server.clone(), entry);
        }
    }
    published
}

impl Member {
    fn publish(&mut self, now: TimeUs, entry: &HostEntry) {
        let is_same_process = self
            .published
            .as_ref()
            .is_some_and(|known| known.host == entry.host && known.address == entry.address);
        if !is_same_process {
            // Failures and stalls of the process at the earlier address do not apply to this one.
            self.backoff = Backoff::default();
            self.reported_stall = Stall::default();
            self.observed_stall = Stall::default();
            self.drain_probe_at = now;
        }
        self.published = Some(entry.clone());
    }

    fn unpublish(&mut self, now: TimeUs) {
        if self.published.take().is_some() {
            self.unpublished_at = now;
        }
    }

    fn is_expired(&self, now: TimeUs) -> bool {
        self.published.is_none() && now.since(self.unpublished_at) >= UNPUBLISHED_RETENTION
    }

    fn status(&self) -> ServerStatus {
        match &self.published {
            None => ServerStatus::Unpublished,
            Some(entry) if entry.state == HostState::Leaving => ServerStatus::Leaving,
            Some(_) if self.drain_state.is_draining() => ServerStatus::Draining,
            Some(_) if self.backoff.is_active() => ServerStatus::BackOff,
            Some(_) => ServerStatus::Usable,
        }
    }

    fn is_stalled(&self, now: TimeUs) -> bool {
        self.reported_stall.exceeds_threshold(now) || self.observed_stall.exceeds_threshold(now)
    }

    fn take_due_probe(&mut self, now: TimeUs) -> bool {
        match self.status() {
            ServerStatus::BackOff => self.backoff.take_due_probe(now),
            ServerStatus::Draining if now >= self.drain_probe_at => {
                self.drain_probe_at = now + DRAIN_PROBE_INTERVAL;
                true
            }
            _ => false,
        }
    }

    fn next_probe_at(&self) -> Option<TimeUs> {
        match self.status() {
            ServerStatus::BackOff => self.backoff.next_probe_at(),
            ServerStatus::Draining => Some(self.drain_probe_at),
            _ => None,
        }
    }
}
