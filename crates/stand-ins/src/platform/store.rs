//! Published parts and host lists with their revisions.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Published part of the lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Key, such as `plans/main`.
    pub key: String,
    /// Revision of its last publication.
    pub revision: u64,
    /// TOML document.
    pub text: String,
}

/// All parts, or those that changed after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsDocument {
    /// Revision that this document leads to.
    pub revision: u64,
    /// Revision that the changes start from; absent when `parts` is full.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// Parts, sorted by key.
    pub parts: Vec<Part>,
    /// Keys of parts removed after `since`; empty in a full document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

/// Host in the published list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Host id, unique in the list.
    pub host: String,
    /// Region that its availability zone belongs to.
    pub region: String,
    /// Availability zone of the host.
    pub availability_zone: String,
    /// `live` or `leaving`.
    pub state: String,
    /// `entry` or `agent`.
    pub process: String,
    /// IP address and port at which other processes reach it.
    pub address: String,
    /// Backend server beside an agent; absent for an entry.
    #[serde(default)]
    pub server: Option<String>,
}

/// Host list at one revision, or its changes after an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsDocument {
    /// Revision that this document leads to; 0 before the first list.
    pub revision: u64,
    /// Revision that the changes start from; absent when `hosts` is full.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// All hosts, or those added or changed after `since`.
    pub hosts: Vec<HostRecord>,
    /// Ids of hosts removed after `since`; empty in a full document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

#[derive(Clone)]
struct HostListVersion {
    published_at: Instant,
    document: HostsDocument,
}

/// Published state of the platform.
#[derive(Clone, Default)]
pub(super) struct Store {
    revision: u64,
    parts: BTreeMap<String, Part>,
    /// Revision of the removal, for each key that was removed and not published again.
    removed: BTreeMap<String, u64>,
    host_lists: Vec<HostListVersion>,
    /// Changes are known from this revision on; the history before it was discarded.
    parts_history_start: u64,
    /// The same for host lists.
    hosts_history_start: u64,
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

    /// Removes a part; an unknown key leaves the revision unchanged.
    pub(super) fn remove(&mut self, key: &str) -> u64 {
        if self.parts.remove(key).is_some() {
            self.revision += 1;
            self.removed.insert(key.to_string(), self.revision);
        }
        self.revision
    }

    /// Discards the history before the current revisions.
    pub(super) fn discard_history(&mut self) {
        self.parts_history_start = self.revision;
        self.hosts_history_start = self.host_lists.last().map_or(0, |l| l.document.revision);
    }

    /// Changes after `since`, or all parts when that history was discarded. A replica that has not
    /// reached `since` returns its own revision without parts.
    pub(super) fn parts_since(&self, since: u64) -> PartsDocument {
        let has_history = since > 0 && since >= self.parts_history_start;
        let base_revision = if has_history { since } else { 0 };
        let parts = self.parts.values();
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, at)| has_history && **at > base_revision);
        PartsDocument {
            revision: self.revision,
            since: has_history.then_some(since),
            parts: parts
                .filter(|p| p.revision > base_revision)
                .cloned()
                .collect(),
            removed: removed.map(|(key, _)| key.clone()).collect(),
        }
    }

    pub(super) fn replace_hosts(&mut self, hosts: Vec<HostRecord>) -> u64 {
        let revision = self.host_lists.last().map_or(0, |l| l.document.revision) + 1;
        self.host_lists.push(HostListVersion {
            published_at: Instant::now(),
            document: HostsDocument {
                revision,
                hosts,
                ..HostsDocument::default()
            },
        });
        revision
    }

    /// Last list published at or before `visible_at`; an empty list when there is none.
    pub(super) fn host_list_at(&self, visible_at: Option<Instant>) -> HostsDocument {
        let mut lists = self.host_lists.iter().rev();
        lists
            .find(|list| visible_at.is_some_and(|at| list.published_at <= at))
            .map(|list| list.document.clone())
            .unwrap_or_default()
    }

    /// Changes from `since` to the list visible at `visible_at`, or the full list when that history
    /// was discarded.
    pub(super) fn hosts_since(&self, visible_at: Option<Instant>, since: u64) -> HostsDocument {
        let visible = self.host_list_at(visible_at);
        if since == 0 || since < self.hosts_history_start {
            return visible;
        }
        let mut delta = HostsDocument {
            revision: visible.revision,
            since: Some(since),
            ..HostsDocument::default()
        };
        if since >= visible.revision {
            return delta;
        }
        let mut lists = self.host_lists.iter().map(|list| &list.document);
        let Some(earlier) = lists.find(|document| document.revision == since) else {
            return visible;
        };
        let is_listed = |host: &HostRecord| visible.hosts.iter().any(|h| h.host == host.host);
        let unlisted = earlier.hosts.iter().filter(|host| !is_listed(host));
        delta.removed = unlisted.map(|host| host.host.clone()).collect();
        delta.hosts.clone_from(&visible.hosts);
        delta.hosts.retain(|host| !earlier.hosts.contains(host));
        delta
    }
}
