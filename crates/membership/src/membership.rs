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
use crate::notice::{AgentNotice, Stall};

/// Interval of probes to a published server whose agent drains. A drain notice is cleared only by
/// a newer incarnation, and a server without new work sends no reply that could show one.
pub const DRAIN_PROBE_INTERVAL: DurationUs = DurationUs::from_ms(2_000);
/// Time after which a server that is not published any more is forgotten. It exceeds the longest
/// drain, so that a notice outlives the incarnation that gave it.
pub const FORGET_AFTER: DurationUs = DurationUs::from_ms(600_000);

/// Whether a server may get new work, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ServerStatus {
    /// It may get new work.
    Usable,
    /// The host list does not name it.
    Unpublished,
    /// The host list says that it leaves.
    Leaving,
    /// Its agent takes no new work.
    Draining,
    /// Calls to it failed.
    BackOff,
}

/// Which backend servers may get new work.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    hosts_revision: Revision,
    servers: BTreeMap<BackendServerId, Member>,
}

/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct Member {
    published: Option<HostEntry>,
    unpublished_at: TimeUs,
    notice: AgentNotice,
    drain_probe_at: TimeUs,
    backoff: Backoff,
    reported_stall: Stall,
    observed_stall: Stall,
}

impl Membership {
    /// Membership without any server.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets everything, for reuse.
    pub fn clear(&mut self) {
        self.hosts_revision = Revision::ZERO;
        self.servers.clear();
    }

    /// Revision of the host list in use.
    pub fn hosts_revision(&self) -> Revision {
        self.hosts_revision
    }

    /// Takes a host list; returns whether it is newer than the one in use.
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
        self.servers.retain(|_, member| !member.is_forgotten(now));
        true
    }

    /// Takes the report that an agent's reply carries.
    pub fn record_report(&mut self, now: TimeUs, state: &AgentState) {
        let member = self.member(now, &state.server);
        let was_draining = member.notice.is_draining();
        if !member.notice.record(state) {
            return;
        }
        if member.notice.is_draining() && !was_draining {
            member.drain_probe_at = now + DRAIN_PROBE_INTERVAL;
        }
        member
            .reported_stall
            .record(now, state.load.oldest_stall_us);
    }

    /// Takes the age of this process's oldest call to the server without progress.
    pub fn record_stall(&mut self, now: TimeUs, server: &BackendServerId, age: DurationUs) {
        self.member(now, server).observed_stall.record(now, age);
    }

    /// A call to the server succeeded.
    pub fn record_success(&mut self, now: TimeUs, server: &BackendServerId) {
        self.member(now, server).backoff.record_success();
    }

    /// A call to the server failed by a fault of server or connection; a refusal is no failure.
    pub fn record_failure(&mut self, now: TimeUs, server: &BackendServerId) {
        self.member(now, server).backoff.record_failure(now);
    }

    /// A probe that [`Self::take_due_probes`] asked for succeeded or failed.
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

    /// Servers to send a probe to now; each has at most one probe under way.
    pub fn take_due_probes(&mut self, now: TimeUs) -> Vec<BackendServerId> {
        let mut due = Vec::new();
        for (id, member) in &mut self.servers {
            if member.take_probe(now) {
                due.push(id.clone());
            }
        }
        due
    }

    /// Time at which [`Self::take_due_probes`] is needed at the latest.
    pub fn next_probe_at(&self) -> Option<TimeUs> {
        let members = self.servers.values();
        members.filter_map(Member::next_probe_at).min()
    }

    /// Whether the server may get new work, and why not.
    pub fn status(&self, server: &BackendServerId) -> ServerStatus {
        self.servers
            .get(server)
            .map_or(ServerStatus::Unpublished, Member::status)
    }

    /// Whether the server may get new work. A back-off ends with a probe and not with time, so the
    /// answer changes only with events.
    pub fn is_usable(&self, _now: TimeUs, server: &BackendServerId) -> bool {
        self.status(server) == ServerStatus::Usable
    }

    /// Whether the server is usable and its calls make progress.
    pub fn is_preferred(&self, now: TimeUs, server: &BackendServerId) -> bool {
        let member = self.servers.get(server);
        member.is_some_and(|member| {
            member.status() == ServerStatus::Usable && !member.is_stalled(now)
        })
    }

    /// Servers that may get new work, in order of id.
    pub fn usable_servers(&self) -> impl Iterator<Item = &BackendServerId> {
        self.servers
            .iter()
            .filter(|(_, member)| member.status() == ServerStatus::Usable)
            .map(|(id, _)| id)
    }

    /// Region of a published server.
    pub fn region_of(&self, server: &BackendServerId) -> Option<&RegionName> {
        self.published(server).map(|entry| &entry.region)
    }

    /// Availability zone of a published server.
    pub fn zone_of(&self, server: &BackendServerId) -> Option<&AvailabilityZoneName> {
        self.published(server).map(|entry| &entry.zone)
    }

    /// Host of the agent of a published server.
    pub fn host_of(&self, server: &BackendServerId) -> Option<&HostId> {
        self.published(server).map(|entry| &entry.host)
    }

    /// Address of the agent of a published server.
    pub fn address_of(&self, server: &BackendServerId) -> Option<&str> {
        self.published(server).map(|entry| entry.address.as_str())
    }

    /// Newest incarnation that the server's agent reported.
    pub fn incarnation_of(&self, server: &BackendServerId) -> Option<Incarnation> {
        let member = self.servers.get(server)?;
        let incarnation = member.notice.incarnation();
        (incarnation > Incarnation::ZERO).then_some(incarnation)
    }

    fn published(&self, server: &BackendServerId) -> Option<&HostEntry> {
        self.servers.get(server)?.published.as_ref()
    }
}

/// Host of each server; a live host takes precedence over a leaving one that it replaces.
fn published_servers(list: &HostList) -> BTreeMap<BackendServerId, &HostEntry> {
    let mut published: BTreeMap<BackendServerId, &HostEntry> = BTreeMap::new();
    for entry in &list.hosts {
        let Some(server) = &entry.server else {
            continue;
        };
        let is_replaced = published
            .get(server)
            .is_some_and(|other| other.state == HostState::Live);
        if !is_replaced {
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
            // Failures of the process at the earlier address say nothing about this one.
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

    fn is_forgotten(&self, now: TimeUs) -> bool {
        self.published.is_none() && now.since(self.unpublished_at) >= FORGET_AFTER
    }

    fn status(&self) -> ServerStatus {
        match &self.published {
            None => ServerStatus::Unpublished,
            Some(entry) if entry.state == HostState::Leaving => ServerStatus::Leaving,
            Some(_) if self.notice.is_draining() => ServerStatus::Draining,
            Some(_) if self.backoff.is_active() => ServerStatus::BackOff,
            Some(_) => ServerStatus::Usable,
        }
    }

    fn is_stalled(&self, now: TimeUs) -> bool {
        self.reported_stall.is_over_limit(now) || self.observed_stall.is_over_limit(now)
    }

    fn take_probe(&mut self, now: TimeUs) -> bool {
        match self.status() {
            ServerStatus::BackOff => self.backoff.take_probe(now),
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
