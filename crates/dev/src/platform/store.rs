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

/// Parts that changed after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsDocument {
    /// Revision of the whole.
    pub revision: u64,
    /// Changed parts in order of key.
    pub parts: Vec<Part>,
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

/// Host list at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsDocument {
    /// Revision.
    pub revision: u64,
    /// Hosts.
    pub hosts: Vec<HostRecord>,
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
    host_lists: Vec<DatedHosts>,
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
        self.parts.insert(key, part);
        revision
    }

    pub(super) fn parts_since(&self, since: u64) -> PartsDocument {
        let parts = self.parts.values();
        PartsDocument {
            revision: self.revision,
            parts: parts.filter(|p| p.revision > since).cloned().collect(),
        }
    }

    pub(super) fn replace_hosts(&mut self, hosts: Vec<HostRecord>) -> u64 {
        let revision = self.host_lists.last().map_or(0, |l| l.document.revision) + 1;
        self.host_lists.push(DatedHosts {
            published_at: Instant::now(),
            document: HostsDocument { revision, hosts },
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
}
