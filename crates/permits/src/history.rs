//! Whether a key without a record may have been run before.
//!
//! A missing record proves nothing as long as an earlier incarnation, or another owner under earlier
//! lists, may have run the key within the retention period. An owner that is cut off from the
//! configuration service keeps running keyed calls until its lists have been unconfirmed for the
//! staleness limit, so after a change of the lists both periods must pass one after the other.

use cuminlead_lists::Lists;
use cuminlead_types::{BackendServerId, DurationUs, Now, ServiceName, TimeUs, UnixMs};

use crate::config::PermitsConfig;

/// What an agent knows about the owners of keys in the recent past.
#[derive(Clone, Debug)]
pub struct History {
    started: Now,
    service: Option<ServiceName>,
    servers: Vec<BackendServerId>,
    applied: Option<Now>,
    changed: Option<Now>,
    confirmed: Option<TimeUs>,
}

impl History {
    /// History of an incarnation that started at `started`.
    pub fn new(started: Now) -> Self {
        Self {
            started,
            service: None,
            servers: Vec::new(),
            applied: None,
            changed: None,
            confirmed: None,
        }
    }

    /// Takes lists into force; notes a change of the servers of the agent's service.
    pub fn apply(&mut self, now: Now, lists: &Lists, service: Option<&ServiceName>) {
        let servers: Vec<_> = service
            .map(|service| lists.servers_of_service(service).cloned().collect())
            .unwrap_or_default();
        let is_first = self.applied.is_none();
        let is_same = self.servers == servers && self.service.as_ref() == service;
        if is_first {
            self.applied = Some(now);
        } else if !is_same {
            self.changed = Some(now);
        }
        self.servers = servers;
        self.service = service.cloned();
    }

    /// Notes that the lists in force were confirmed as the newest.
    pub fn confirm(&mut self, now: TimeUs) {
        self.confirmed = self.confirmed.max(Some(now));
    }

    /// Whether the lists were confirmed recently enough to accept keyed calls.
    pub fn is_confirmed(&self, now: TimeUs, config: &PermitsConfig) -> bool {
        self.confirmed
            .is_some_and(|at| now.since(at) < config.key_staleness_us)
    }

    /// Whether a key without a record could have run before.
    pub fn could_have_run(
        &self,
        now: Now,
        issued_at: Option<UnixMs>,
        config: &PermitsConfig,
    ) -> bool {
        if self.is_old_enough(now.mono_us, config) {
            return false;
        }
        let margin = config.clock_margin_us;
        let plausible = issued_at.filter(|at| *at <= later(now.unix_ms, margin));
        plausible.is_none_or(|at| at < self.trusted_from(config))
    }

    /// Whether every earlier owner's runs are older than the retention.
    ///
    /// The first lists of an incarnation count as a change, because it cannot know when they were
    /// published.
    fn is_old_enough(&self, now: TimeUs, config: &PermitsConfig) -> bool {
        let after_change = config
            .key_retention_us
            .saturating_add(config.key_staleness_us);
        let last_change = self.changed.or(self.applied);
        now.since(self.started.mono_us) >= config.key_retention_us
            && last_change.is_none_or(|at| now.since(at.mono_us) >= after_change)
    }

    /// Earliest wall-clock time at which a key must have been made to be certainly new.
    ///
    /// An owner under earlier lists may run keys until its lists are stale, so a key made shortly
    /// after a change is not certain to be new. The first lists count as a change, because an
    /// incarnation cannot know when they were published.
    fn trusted_from(&self, config: &PermitsConfig) -> UnixMs {
        let start = self.started.unix_ms.max(UnixMs(config.incarnation.get()));
        let last_change = self.changed.or(self.applied);
        let stale = |at: Now| later(at.unix_ms, config.key_staleness_us);
        let last = last_change.map_or(start, |at| stale(at).max(start));
        later(last, config.clock_margin_us)
    }
}

fn later(time: UnixMs, by: DurationUs) -> UnixMs {
    time.saturating_add(UnixMs(by.as_ms()))
}
