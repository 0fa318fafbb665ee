//! Watcher of the registry whose view never returns to an older state.
//!
//! The watcher lists the published entries, then watches for changes from the revision of the first
//! page, because the pages are not one snapshot. If the registry no longer keeps the changes after
//! the last known revision, or if they do not arrive in full, the watcher lists again; the earlier
//! view stays active meanwhile. Changes name each version of the configuration in full, so they may
//! be larger than a response may be, while a listing has only the newest one. A server's entry is
//! applied only if its revision is newer, and a configuration only if its version is newer, so
//! neither a late response nor a second listing reverts anything.
//!
//! A registry may be restored from an older copy, which begins a new era. The watcher then lists
//! again, keeps what it knows until the servers have written their records again, and ignores
//! responses of an earlier era; see `registry_view`.

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

use cuminlead_types::{BackendServerId, DurationUs, Era, Revision, TimeUs};
use strum::Display;

use crate::operator_config::OperatorConfig;
use crate::registry_view::{RegistryView, Verdict};
use crate::server::ServerRecord;

/// Longest wait of one watch. An unresponsive connection is noticed when its watch is overdue, so
/// this bounds the age of the local view. Together with the response timeout it stays below 4 s,
/// after which a machine must act on new configurations again.
pub const WATCH_WAIT_MAX: DurationUs = DurationUs::from_ms(2_500);
/// Longest wait of a watch while the registry does not respond. A watch that is sent just before
/// the registry returns may be lost, and a long one would delay the next one.
const OUTAGE_WATCH_WAIT_MAX: DurationUs = DurationUs::from_ms(100);
/// Pause after a watch that returned changes. Each call to the registry has a cost, and changes
/// come in series. The pause is short because a draining server must get no work 2.5 s later.
const CHANGE_BATCH_PAUSE: DurationUs = DurationUs::from_ms(400);
/// Pause after the first failed query.
const PAUSE_INITIAL: DurationUs = DurationUs::from_ms(50);
/// Longest pause between failed queries; a fleet of 370 then sends fewer than 1,000 queries per
/// second.
const PAUSE_MAX: DurationUs = DurationUs::from_ms(400);

/// Part of the registry that is listed separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Collection {
    /// The operator's configuration.
    Configuration,
    /// Entries of backend servers.
    Servers,
}

/// Query to the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Lists one page of a collection.
    List {
        /// Collection to list.
        collection: Collection,
        /// Last key of the previous page; `None` for the first page.
        after: Option<String>,
        /// Whether the response may be some seconds old, which costs less.
        is_stale_allowed: bool,
    },
    /// Waits for changes after a revision.
    Watch {
        /// Last known revision.
        after: Revision,
        /// Longest time until the response; changes end the wait sooner.
        wait: DurationUs,
    },
}

/// Decoded content of one registry entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Published {
    /// The operator's configuration.
    OperatorConfig(Box<OperatorConfig>),
    /// Entry of a backend server.
    Server(ServerRecord),
    /// The entry of a backend server was removed.
    ServerRemoved(BackendServerId),
    /// An entry that cannot be used.
    Unusable {
        /// Key in the registry.
        key: String,
        /// Server whose earlier entry it replaces, if the key names one.
        server: Option<BackendServerId>,
        /// Why the entry cannot be used.
        reason: String,
    },
}

/// Registry entry with the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryEntry {
    /// Revision of the change.
    pub revision: Revision,
    /// Decoded content.
    pub published: Published,
}

/// Response of the registry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Entries or changes, oldest first.
    pub entries: Vec<RegistryEntry>,
    /// Key after which the next page begins; `None` on the last page.
    pub next: Option<String>,
    /// Revision of the registry at the time of the response.
    pub revision: Revision,
    /// Era of the registry; `None` if it has no eras.
    pub era: Option<Era>,
}

/// Why a query has no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryError {
    /// The registry no longer keeps the changes after the revision.
    HistoryGone,
    /// The response began and did not arrive in full, with the reason.
    Incomplete(String),
    /// No usable response, with the reason.
    Unavailable(String),
    /// The response is of an earlier era than one before.
    EarlierEra {
        /// Era of the response; `None` if it states none.
        era: Option<Era>,
    },
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryGone => f.write_str(
                "the registry no longer keeps the changes after the last known revision",
            ),
            Self::Incomplete(reason) => {
                write!(f, "incomplete response from the registry: {reason}")
            }
            Self::Unavailable(reason) => {
                write!(f, "no usable response from the registry: {reason}")
            }
            Self::EarlierEra { era: Some(era) } => {
                write!(f, "response of an earlier era of the registry: {era}")
            }
            Self::EarlierEra { era: None } => {
                f.write_str("response of the registry without an era, after one with an era")
            }
        }
    }
}

impl std::error::Error for RegistryError {}

/// Source of the published configuration and backend servers.
pub trait Registry: Send {
    /// Sends a query and blocks until it has a result.
    fn query(&mut self, query: &Query) -> Result<Page, RegistryError>;
}

/// Configuration as the registry publishes it. Has no debug form, as it contains keys.
#[derive(Clone, PartialEq, Eq)]
pub struct PublishedConfiguration {
    /// Version number that the operator assigned.
    pub version: Revision,
    /// Published bytes.
    pub bytes: Vec<u8>,
}

/// Source of the published configuration in its encoded form, for agents that pass it on.
pub trait ConfigurationSource: Send {
    /// Reads the newest configuration and blocks until it has a result; `None` if there is none.
    fn read_configuration(&mut self) -> Result<Option<PublishedConfiguration>, RegistryError>;
}

/// Change of the local view of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryUpdate {
    /// A newer version of the operator's configuration.
    OperatorConfig(Arc<OperatorConfig>),
    /// New or changed entry of a backend server.
    Server(ServerRecord),
    /// The entry of a backend server was removed.
    ServerRemoved(BackendServerId),
    /// An entry is ignored because it cannot be used.
    Unusable {
        /// Key in the registry.
        key: String,
        /// Why the entry cannot be used.
        reason: String,
    },
    /// All entries have been read; the watch begins at the given revision.
    Synced(Revision),
    /// The registry no longer responds, with the first error.
    Lost(RegistryError),
    /// The registry responds again.
    Regained,
    /// The registry was restored from an older copy; what it lost is being written again.
    EraChanged {
        /// Earlier era; `None` if the registry had none.
        from: Option<Era>,
        /// Era from now on.
        to: Option<Era>,
    },
    /// The record of an unknown server is not used, because only the restored copy may hold it.
    HeldBack(BackendServerId),
    /// What a restored registry lost had time to be written again; servers that are missing now were
    /// removed.
    EraRecovered,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Listing {
        collection: Collection,
        after: Option<String>,
        /// Revision of the first page, where the watch begins.
        start: Option<Revision>,
        /// When the listing began.
        began_at: TimeUs,
        seen: HashSet<BackendServerId>,
    },
    Watching {
        after: Revision,
    },
}

impl Phase {
    fn start_listing(now: TimeUs, collection: Collection) -> Self {
        Self::Listing {
            collection,
            after: None,
            start: None,
            began_at: now,
            seen: HashSet::new(),
        }
    }
}

/// Lists and watches the registry: returns the next query and turns responses into updates.
#[derive(Clone, Debug)]
pub struct RegistryWatcher {
    phase: Phase,
    version: Option<Revision>,
    view: RegistryView,
    era: Option<Era>,
    /// Whether all entries have been read once.
    is_synced: bool,
    /// Whether only servers are listed, by responses that may be some seconds old.
    lists_stale_servers: bool,
    failures_count: u32,
    paused_until: TimeUs,
    handled_at: TimeUs,
}

impl Default for RegistryWatcher {
    fn default() -> Self {
        Self {
            phase: Phase::start_listing(TimeUs::ZERO, Collection::Configuration),
            version: None,
            view: RegistryView::default(),
            era: None,
            is_synced: false,
            lists_stale_servers: false,
            failures_count: 0,
            paused_until: TimeUs::ZERO,
            handled_at: TimeUs::ZERO,
        }
    }
}

impl RegistryWatcher {
    /// Watcher with an empty view, which begins with a listing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Watcher that lists only the servers, by responses that may be some seconds old.
    pub fn for_stale_listings() -> Self {
        Self {
            phase: Phase::start_listing(TimeUs::ZERO, Collection::Servers),
            lists_stale_servers: true,
            ..Self::default()
        }
    }

    /// Begins a listing. The next queries list until an update [`RegistryUpdate::Synced`].
    pub fn start_listing(&mut self, now: TimeUs) {
        let collection = if self.lists_stale_servers {
            Collection::Servers
        } else {
            Collection::Configuration
        };
        self.phase = Phase::start_listing(now, collection);
    }

    /// Era of the registry; `None` if it has no eras.
    pub fn era(&self) -> Option<Era> {
        self.era
    }

    /// Whether the registry was restored so recently that its servers may not all be published
    /// again.
    pub fn is_recovering(&self, now: TimeUs) -> bool {
        self.view.is_recovering(now)
    }

    /// Time before which no query is to be sent.
    pub fn paused_until(&self) -> TimeUs {
        self.paused_until
    }

    /// Next query to send.
    pub fn query(&self) -> Query {
        match &self.phase {
            Phase::Listing {
                collection, after, ..
            } => Query::List {
                collection: *collection,
                after: after.clone(),
                is_stale_allowed: self.lists_stale_servers,
            },
            Phase::Watching { after } => Query::Watch {
                after: *after,
                wait: self.watch_wait(),
            },
        }
    }

    /// Wait of the next watch. It ends when the next listing is due.
    fn watch_wait(&self) -> DurationUs {
        if self.failures_count > 0 {
            return OUTAGE_WATCH_WAIT_MAX;
        }
        let sent_at = self.handled_at.max(self.paused_until);
        let lists_at = self.view.lists_at();
        lists_at.map_or(WATCH_WAIT_MAX, |at| {
            at.since(sent_at)
                .max(DurationUs::from_ms(1))
                .min(WATCH_WAIT_MAX)
        })
    }

    /// Processes the response to [`Self::query`] and returns the resulting updates.
    pub fn handle(
        &mut self,
        now: TimeUs,
        response: Result<Page, RegistryError>,
    ) -> Vec<RegistryUpdate> {
        self.handled_at = now;
        let updates = match response {
            Ok(page) if page.era < self.era => {
                self.handle_error(now, RegistryError::EarlierEra { era: page.era })
            }
            Ok(page) if page.era > self.era && self.has_state() => self.begin_era(now, &page),
            Ok(page) => {
                self.era = page.era;
                if matches!(self.phase, Phase::Watching { .. }) && !page.entries.is_empty() {
                    self.paused_until = now + CHANGE_BATCH_PAUSE;
                }
                self.handle_page(now, page)
            }
            Err(error) => self.handle_error(now, error),
        };
        let is_watching = matches!(self.phase, Phase::Watching { .. });
        if is_watching && self.view.lists_at().is_some_and(|at| now >= at) {
            self.start_listing(now);
        }
        updates
    }

    /// Whether anything of the registry has been read. A page of the first listing may have been
    /// empty.
    fn has_state(&self) -> bool {
        let is_first = matches!(&self.phase, Phase::Listing { start: None, .. });
        self.is_synced || self.version.is_some() || !is_first || !self.view.is_unused()
    }

    /// Begins a new era with a listing. The page that shows it is not used: a watch from a revision
    /// of the earlier era misses changes, and the pages of a listing must be of one era.
    fn begin_era(&mut self, now: TimeUs, page: &Page) -> Vec<RegistryUpdate> {
        let mut updates = Vec::new();
        if std::mem::take(&mut self.failures_count) > 0 {
            updates.push(RegistryUpdate::Regained);
        }
        let from = std::mem::replace(&mut self.era, page.era);
        self.view.begin_era(now, page.revision, self.is_synced);
        self.start_listing(now);
        updates.push(RegistryUpdate::EraChanged { from, to: page.era });
        updates
    }

    fn handle_error(&mut self, now: TimeUs, error: RegistryError) -> Vec<RegistryUpdate> {
        if error == RegistryError::HistoryGone {
            self.start_listing(now);
            return Vec::new();
        }
        let is_watching = matches!(self.phase, Phase::Watching { .. });
        if is_watching && matches!(error, RegistryError::Incomplete(_)) {
            // The same watch would have the same response and more.
            self.start_listing(now);
        }
        let factor = 1_u64 << self.failures_count.min(8);
        let pause = DurationUs(PAUSE_INITIAL.0 * factor).min(PAUSE_MAX);
        self.paused_until = now + pause;
        self.failures_count = self.failures_count.saturating_add(1);
        if self.failures_count == 1 {
            vec![RegistryUpdate::Lost(error)]
        } else {
            Vec::new()
        }
    }

    fn handle_page(&mut self, now: TimeUs, page: Page) -> Vec<RegistryUpdate> {
        let mut updates = Vec::new();
        if std::mem::take(&mut self.failures_count) > 0 {
            updates.push(RegistryUpdate::Regained);
        }
        let listed: Vec<_> = page.entries.iter().filter_map(listed_server).collect();
        for entry in page.entries {
            self.apply_entry(now, entry, &mut updates);
        }
        self.advance(now, page.next, page.revision, listed, &mut updates);
        updates
    }

    fn advance(
        &mut self,
        now: TimeUs,
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
                began_at,
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
                    let (began_at, seen) = (*began_at, std::mem::take(seen));
                    self.phase = Phase::Watching { after: first };
                    self.end_listing(now, began_at, &seen, updates);
                    self.is_synced = true;
                    updates.push(RegistryUpdate::Synced(first));
                }
            }
        }
    }

    fn end_listing(
        &mut self,
        now: TimeUs,
        began_at: TimeUs,
        seen: &HashSet<BackendServerId>,
        updates: &mut Vec<RegistryUpdate>,
    ) {
        let ended = self.view.end_listing(now, began_at, seen);
        if ended.ends_recovery {
            updates.push(RegistryUpdate::EraRecovered);
        }
        updates.extend(
            ended
                .unlisted
                .into_iter()
                .map(RegistryUpdate::ServerRemoved),
        );
    }

    fn apply_entry(
        &mut self,
        now: TimeUs,
        entry: RegistryEntry,
        updates: &mut Vec<RegistryUpdate>,
    ) {
        let revision = entry.revision;
        match entry.published {
            Published::OperatorConfig(operator_config) => {
                self.apply_operator_config(*operator_config, updates)
            }
            Published::Server(record) => match self.view.publish(now, &record, revision) {
                Verdict::Apply => updates.push(RegistryUpdate::Server(record)),
                Verdict::Ignore => {}
                Verdict::HoldBack => updates.push(RegistryUpdate::HeldBack(record.id)),
            },
            Published::ServerRemoved(id) => {
                if self.view.remove(now, &id, revision) {
                    updates.push(RegistryUpdate::ServerRemoved(id));
                }
            }
            Published::Unusable {
                key,
                server,
                reason,
            } => {
                // The entry no longer describes the server that published it before.
                if let Some(id) = server
                    && self.view.remove_unusable(now, &id, revision)
                {
                    updates.push(RegistryUpdate::ServerRemoved(id));
                }
                updates.push(RegistryUpdate::Unusable { key, reason });
            }
        }
    }

    fn apply_operator_config(
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
}

fn listed_server(entry: &RegistryEntry) -> Option<BackendServerId> {
    match &entry.published {
        Published::Server(record) => Some(record.id.clone()),
        Published::OperatorConfig(_) | Published::ServerRemoved(_) | Published::Unusable { .. } => {
            None
        }
    }
}
