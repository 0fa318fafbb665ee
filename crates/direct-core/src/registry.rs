//! Following the registry without ever going back.
//!
//! The follower lists what is published, then watches for changes from the revision of the first
//! page, because pages are not a snapshot. When the history is gone it lists again; what it knew
//! stays in force meanwhile. Every entry is applied by its revision, and a configuration only by
//! its version, so neither a late answer nor a second listing takes anything back.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use cuminlead_types::{BackendServerId, DurationUs, Revision, TimeUs};
use strum::Display;

use crate::operator_config::OperatorConfig;
use crate::server::ServerRecord;

/// Longest wait of one watch. A connection that went silent shows when its watch is overdue, so
/// this bounds the age of what is believed. With the time for an answer it stays below 4 s, after
/// which a machine must act on new configurations again.
pub const WATCH_WAIT: DurationUs = DurationUs::from_ms(2_500);
/// Longest wait of a watch while the registry does not answer. A watch that is sent just before the
/// registry returns may be lost, and a long one would hold the next one back.
const PROBE_WAIT: DurationUs = DurationUs::from_ms(100);
/// Pause after a watch that brought changes. Each call is paid for, and changes come in series; a
/// leaving server must get no work 2.5 s later.
const CHANGES_PAUSE: DurationUs = DurationUs::from_ms(400);
/// Pause after the first failed query.
const PAUSE_FIRST: DurationUs = DurationUs::from_ms(50);
/// Longest pause between failed queries; a fleet of 370 asks below 1,000 times a second then.
const PAUSE_LONGEST: DurationUs = DurationUs::from_ms(400);

/// Part of the registry that is listed by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Collection {
    /// The operator's configuration.
    Configuration,
    /// Entries of backend servers.
    Servers,
}

/// Question to the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// A page of a collection, after the given key.
    List {
        /// Collection.
        collection: Collection,
        /// Last key of the page before.
        after: Option<String>,
        /// Whether an answer may be some seconds old, which costs less.
        is_stale_allowed: bool,
    },
    /// Changes after a revision, as soon as there are some.
    Watch {
        /// Last known revision.
        after: Revision,
        /// Longest wait.
        wait: DurationUs,
    },
}

/// Decoded meaning of one entry of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Published {
    /// The newest configuration.
    OperatorConfig(Box<OperatorConfig>),
    /// Entry of a backend server.
    Server(ServerRecord),
    /// The entry of a backend server is gone.
    ServerRemoved(BackendServerId),
    /// An entry that cannot be used, with the reason.
    Unusable {
        /// Key in the registry.
        key: String,
        /// Server whose earlier entry it replaces.
        server: Option<BackendServerId>,
        /// What is wrong with it.
        reason: String,
    },
}

/// Entry with the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryEntry {
    /// Revision of the change.
    pub revision: Revision,
    /// What it says.
    pub published: Published,
}

/// Answer of the registry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Entries or changes, oldest first.
    pub entries: Vec<RegistryEntry>,
    /// Key after which the next page begins.
    pub next: Option<String>,
    /// Revision of the registry when it answered.
    pub revision: Revision,
}

/// Why a query has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryError {
    /// The changes after the revision are no longer kept.
    HistoryGone,
    /// No usable answer, with the reason.
    Unavailable(String),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryGone => f.write_str("the registry no longer keeps these changes"),
            Self::Unavailable(reason) => write!(f, "the registry did not answer: {reason}"),
        }
    }
}

impl std::error::Error for RegistryError {}

/// Where configuration and backend servers are published.
pub trait Registry: Send {
    /// Answers a query; blocks until then.
    fn query(&mut self, query: &Query) -> Result<Page, RegistryError>;
}

/// Change of what the process believes.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryUpdate {
    /// A newer configuration.
    OperatorConfig(Arc<OperatorConfig>),
    /// New or changed entry of a backend server.
    Server(ServerRecord),
    /// The entry of a backend server is gone.
    ServerRemoved(BackendServerId),
    /// An entry was left out.
    Unusable {
        /// Key in the registry.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// Everything published has been read at least once.
    Synced(Revision),
    /// The registry stopped answering.
    Lost(RegistryError),
    /// The registry answers again.
    Regained,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Listing {
        collection: Collection,
        after: Option<String>,
        /// Revision of the first page, from which the watch begins.
        start: Option<Revision>,
        seen: HashSet<BackendServerId>,
    },
    Watching {
        after: Revision,
    },
}

impl Phase {
    fn list_anew() -> Self {
        Self::Listing {
            collection: Collection::Configuration,
            after: None,
            start: None,
            seen: HashSet::new(),
        }
    }
}

/// Follows the registry: asks what to query next and turns answers into updates.
#[derive(Clone, Debug)]
pub struct RegistryWatcher {
    phase: Phase,
    version: Option<Revision>,
    servers: HashMap<BackendServerId, Revision>,
    failures_count: u32,
    paused_until: TimeUs,
}

impl Default for RegistryWatcher {
    fn default() -> Self {
        Self {
            phase: Phase::list_anew(),
            version: None,
            servers: HashMap::new(),
            failures_count: 0,
            paused_until: TimeUs::ZERO,
        }
    }
}

impl RegistryWatcher {
    /// Follower that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Time before which nothing is to be asked.
    pub fn paused_until(&self) -> TimeUs {
        self.paused_until
    }

    /// Next question.
    pub fn query(&self) -> Query {
        match &self.phase {
            Phase::Listing {
                collection, after, ..
            } => Query::List {
                collection: *collection,
                after: after.clone(),
                is_stale_allowed: false,
            },
            Phase::Watching { after } => Query::Watch {
                after: *after,
                wait: if self.failures_count > 0 {
                    PROBE_WAIT
                } else {
                    WATCH_WAIT
                },
            },
        }
    }

    /// Takes the answer to [`Self::query`].
    pub fn handle(
        &mut self,
        now: TimeUs,
        answer: Result<Page, RegistryError>,
    ) -> Vec<RegistryUpdate> {
        match answer {
            Ok(page) => {
                if matches!(self.phase, Phase::Watching { .. }) && !page.entries.is_empty() {
                    self.paused_until = now + CHANGES_PAUSE;
                }
                self.take_page(page)
            }
            Err(error) => self.take_error(now, error),
        }
    }

    fn take_error(&mut self, now: TimeUs, error: RegistryError) -> Vec<RegistryUpdate> {
        if error == RegistryError::HistoryGone {
            self.phase = Phase::list_anew();
            return Vec::new();
        }
        let factor = 1_u64 << self.failures_count.min(8);
        let pause = DurationUs(PAUSE_FIRST.0 * factor).min(PAUSE_LONGEST);
        self.paused_until = now + pause;
        self.failures_count = self.failures_count.saturating_add(1);
        if self.failures_count == 1 {
            vec![RegistryUpdate::Lost(error)]
        } else {
            Vec::new()
        }
    }

    fn take_page(&mut self, page: Page) -> Vec<RegistryUpdate> {
        let mut updates = Vec::new();
        if std::mem::take(&mut self.failures_count) > 0 {
            updates.push(RegistryUpdate::Regained);
        }
        let listed: Vec<_> = page.entries.iter().filter_map(listed_server).collect();
        for entry in page.entries {
            self.take_entry(entry, &mut updates);
        }
        self.advance(page.next, page.revision, listed, &mut updates);
        updates
    }

    fn advance(
        &mut self,
        next: Option<String>,
        revision: Revision,
        listed: Vec<BackendServerId>,
        updates: &mut Vec<RegistryUpdate>,
    ) {
        match &mut self.phase {
            Phase::Watching { after } => *after = revision.max(*after),
            Phase::Listing {
                collection,
                after,
                start,
                seen,
            } => {
                let first = *start.get_or_insert(revision);
                seen.extend(listed);
                if next.is_some() {
                    *after = next;
                } else if *collection == Collection::Configuration {
                    *collection = Collection::Servers;
                    *after = None;
                } else {
                    let seen = std::mem::take(seen);
                    self.phase = Phase::Watching { after: first };
                    self.remove_unlisted(&seen, updates);
                    updates.push(RegistryUpdate::Synced(first));
                }
            }
        }
    }

    fn remove_unlisted(
        &mut self,
        seen: &HashSet<BackendServerId>,
        updates: &mut Vec<RegistryUpdate>,
    ) {
        let unlisted: Vec<_> = self
            .servers
            .keys()
            .filter(|id| !seen.contains(*id))
            .cloned()
            .collect();
        for id in unlisted {
            self.servers.remove(&id);
            updates.push(RegistryUpdate::ServerRemoved(id));
        }
    }

    fn take_entry(&mut self, entry: RegistryEntry, updates: &mut Vec<RegistryUpdate>) {
        match entry.published {
            Published::OperatorConfig(operator_config) => {
                self.take_catalogue(*operator_config, updates)
            }
            Published::Server(record) => {
                if self.is_newer(&record.id, entry.revision) {
                    self.servers.insert(record.id.clone(), entry.revision);
                    updates.push(RegistryUpdate::Server(record));
                }
            }
            Published::ServerRemoved(id) => {
                if self.is_newer(&id, entry.revision) && self.servers.remove(&id).is_some() {
                    updates.push(RegistryUpdate::ServerRemoved(id));
                }
            }
            Published::Unusable {
                key,
                server,
                reason,
            } => {
                // The server that wrote the entry before is no longer what the entry names.
                if let Some(id) = server
                    && self.servers.remove(&id).is_some()
                {
                    updates.push(RegistryUpdate::ServerRemoved(id));
                }
                updates.push(RegistryUpdate::Unusable { key, reason });
            }
        }
    }

    fn take_catalogue(
        &mut self,
        operator_config: OperatorConfig,
        updates: &mut Vec<RegistryUpdate>,
    ) {
        if self
            .version
            .is_some_and(|version| operator_config.version() <= version)
        {
            return;
        }
        self.version = Some(operator_config.version());
        updates.push(RegistryUpdate::OperatorConfig(Arc::new(operator_config)));
    }

    fn is_newer(&self, id: &BackendServerId, revision: Revision) -> bool {
        self.servers.get(id).is_none_or(|known| revision > *known)
    }
}

fn listed_server(entry: &RegistryEntry) -> Option<BackendServerId> {
    match &entry.published {
        Published::Server(record) => Some(record.id.clone()),
        Published::OperatorConfig(_) | Published::ServerRemoved(_) | Published::Unusable { .. } => {
            None
        }
    }
}
