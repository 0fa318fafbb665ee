//! Whether a key without a record may have been run before.
//!
//! A missing record proves nothing as long as an earlier incarnation, or another owner under
//! earlier lists, may have run the key within the retention period. An owner that is cut off keeps
//! running keyed calls until its lists have been unconfirmed for the staleness limit. After a
//! change of the lists, both periods must therefore pass, one after the other.

use cuminlead_lists::Lists;
use cuminlead_types::{BackendServerId, DurationUs, Now, ServiceName, TimeUs, UnixMs};

use crate::config::PermitsConfig;

/// Times at which the owners of keys changed or the lists were confirmed, as one agent saw them.
#[derive(Clone, Debug)]
pub struct OwnershipHistory {
    started_at: Now,
    service: Option<ServiceName>,
    servers: Vec<BackendServerId>,
    first_applied_at: Option<Now>,
    changed_at: Option<Now>,
    confirmed_at: Option<TimeUs>,
}

impl OwnershipHistory {
    /// History of an incarnation that started at `started_at`.
    pub fn new(started_at: Now) -> Self {
        Self {
            started_at,
            service: None,
            servers: Vec::new(),
            first_applied_at: None,
            changed_at: None,
            confirmed_at: None,
        }
    }

    /// Records lists that took effect, and whether they change the servers of the agent's service.
    ///
    /// `service` is the service that the lists assign to the agent's server, if any.
    pub fn apply(&mut self, now: Now, lists: &Lists, service: Option<&ServiceName>) {
        let servers: Vec<_> = service
            .map(|service| lists.servers_of_service(service).cloned().collect())
            .unwrap_or_default();
        let is_first = self.first_applied_at.is_none();
        let is_same = self.servers == servers && self.service.as_ref() == service;
        if is_first {
            self.first_applied_at = Some(now);
        } else if !is_same {
            self.changed_at = Some(now);
        }
        self.servers = servers;
        self.service = service.cloned();
    }

    /// Records that the lists in effect were confirmed as the newest.
    pub fn confirm(&mut self, now: TimeUs) {
        self.confirmed_at = self.confirmed_at.max(Some(now));
    }

    /// Whether the lists were confirmed recently enough to accept keyed calls.
    pub fn is_confirmed(&self, now: TimeUs, config: &PermitsConfig) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) < config.key_staleness_us)
    }

    /// Whether the call of a key without a record may have run before.
    ///
    /// `issued_at` is the time at which the caller claims to have made the key; absent if it gave
    /// none. A time in the future is ignored if it exceeds the clock margin.
    pub fn may_have_run(
        &self,
        now: Now,
        issued_at: Option<UnixMs>,
        config: &PermitsConfig,
    ) -> bool {
        if self.is_retention_over(now.mono_us, config) {
            return false;
        }
        let margin = config.clock_margin_us;
        let plausible_issued_at = issued_at.filter(|at| *at <= plus(now.unix_ms, margin));
        plausible_issued_at.is_none_or(|at| at < self.certainly_new_from(config))
    }

    /// Whether the retention period has passed since the last possible run by an earlier owner.
    ///
    /// The first lists of an incarnation count as a change, because it cannot know when they were
    /// published.
    fn is_retention_over(&self, now: TimeUs, config: &PermitsConfig) -> bool {
        let after_change = config
            .key_retention_us
            .saturating_add(config.key_staleness_us);
        let last_change = self.changed_at.or(self.first_applied_at);
        now.since(self.started_at.mono_us) >= config.key_retention_us
            && last_change.is_none_or(|at| now.since(at.mono_us) >= after_change)
    }

    /// Wall-clock time from which on a key must have been made to be certainly new.
    ///
    /// An owner under earlier lists may run keys until its lists are stale, so a key made shortly
    /// after a change is not certain to be new. The first lists count as a change, because an
    /// incarnation cannot know when they were published.
    fn certainly_new_from(&self, config: &PermitsConfig) -> UnixMs {
        let start = self
            .started_at
            .unix_ms
            .max(UnixMs(config.incarnation.get()));
        let last_change = self.changed_at.or(self.first_applied_at);
        let stale_at = |at: Now| plus(at.unix_ms, config.key_staleness_us);
        let last = last_change.map_or(start, |at| stale_at(at).max(start));
        plus(last, config.clock_margin_us)
    }
}

fn plus(time: UnixMs, by: DurationUs) -> UnixMs {
    time.saturating_add(UnixMs(by.as_ms()))
}
