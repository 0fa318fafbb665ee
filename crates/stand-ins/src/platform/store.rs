//! Published parts and host lists.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// One published value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Key, such as `plans/main`.
    pub key: String,
    /// Revision at which it was published.
    pub revision: u64,
    /// TOML text.
    pub text: String,
}

/// Parts that changed after a revision, or all parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsDocument {
    /// Revision of the whole.
    pub revision: u64,
    /// Revision that the changes start from; missing when `parts` holds all parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// Parts in order of key.
    pub parts: Vec<Part>,
    /// Keys of the parts that were removed after `since`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

/// One host of the published list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Host.
    pub host: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub availability_zone: String,
    /// `live` or `leaving`.
    pub state: String,
    /// `entry` or `agent`.
    pub process: String,
    /// IP address and port for other processes.
    pub address: String,
    /// Backend server beside an agent.
    #[serde(default)]
    pub server: Option<String>,
}

/// Host list at one revision, or what changed in it after an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsDocument {
    /// Revision.
    pub revision: u64,
    /// Revision that the changes start from; missing when `hosts` holds all hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// Hosts.
    pub hosts: Vec<HostRecord>,
    /// Hosts that are not listed any more since then.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

#[derive(Clone)]
struct DatedHosts {
    published_at: Instant,
    document: HostsDocument,
}

/// Everything that the platform serves.
#[derive(Clone, Default)]
pub(super) struct Store {
    revision: u64,
    parts: BTreeMap<String, Part>,
    /// Revisions at which parts were removed that do not exist now.
    removed: BTreeMap<String, u64>,
    host_lists: Vec<DatedHosts>,
    /// Changes after an earlier revision than this one are not known any more.
    parts_known_from: u64,
    /// The same for the host list.
    hosts_known_from: u64,
}

impl Store {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn publish(&mut self, key: String, text: String) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let part = Part {
            key: key.clone(),
            revision,
            text,
        };
        self.removed.remove(&key);
        self.parts.insert(key, part);
        revision
    }

    /// Removes a part, if there is one with this key.
    pub(super) fn remove(&mut self, key: &str) -> u64 {
        if self.parts.remove(key).is_some() {
            self.revision += 1;
            self.removed.insert(key.to_string(), self.revision);
        }
        self.revision
    }

    /// Forgets what changed before the present revisions.
    pub(super) fn forget(&mut self) {
        self.parts_known_from = self.revision;
        self.hosts_known_from = self.host_lists.last().map_or(0, |l| l.document.revision);
    }

    /// Changes after `since`, or all parts when they are not known. A replica that has not reached
    /// `since` answers with its own revision and without parts.
    pub(super) fn parts_since(&self, since: u64) -> PartsDocument {
        let is_known = since > 0 && since >= self.parts_known_from;
        let base = if is_known { since } else { 0 };
        let parts = self.parts.values();
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, at)| is_known && **at > base);
        PartsDocument {
            revision: self.revision,
            since: is_known.then_some(since),
            parts: parts.filter(|p| p.revision > base).cloned().collect(),
            removed: removed.map(|(key, _)| key.clone()).collect(),
        }
    }

    pub(super) fn replace_hosts(&mut self, hosts: Vec<HostRecord>) -> u64 {
        let revision = self.host_lists.last().map_or(0, |l| l.document.revision) + 1;
        self.host_lists.push(DatedHosts {
            published_at: Instant::now(),
            document: HostsDocument {
                revision,
                hosts,
                ..HostsDocument::default()
            },
        });
        revision
    }

    /// Last list published by `shown_at`; the empty list when there is none.
    pub(super) fn hosts_at(&self, shown_at: Option<Instant>) -> HostsDocument {
        let mut lists = self.host_lists.iter().rev();
        lists
            .find(|list| shown_at.is_some_and(|at| list.published_at <= at))
            .map(|list| list.document.clone())
            .unwrap_or_default()
    }

    /// Changes after `since` in the list shown, or the whole list when they are not known.
    pub(super) fn hosts_since(&self, shown_at: Option<Instant>, since: u64) -> HostsDocument {
        let shown = self.hosts_at(shown_at);
        if since == 0 || since < self.hosts_known_from {
            return shown;
        }
        let mut delta = HostsDocument {
            revision: shown.revision,
            since: Some(since),
            ..HostsDocument::default()
        };
        if since >= shown.revision {
            return delta;
        }
        let mut lists = self.host_lists.iter().map(|list| &list.document);
        let Some(earlier) = lists.find(|document| document.revision == since) else {
            return shown;
        };
        let is_listed = |host: &HostRecord| shown.hosts.iter().any(|h| h.host == host.host);
        let gone = earlier.hosts.iter().filter(|host| !is_listed(host));
        delta.removed = gone.map(|host| host.host.clone()).collect();
        delta.hosts.clone_from(&shown.hosts);
        delta.hosts.retain(|host| !earlier.hosts.contains(host));
        delta
    }
}
