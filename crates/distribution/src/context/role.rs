//! Role of the process: what it reads from the platform itself, and which peer confirms the rest.

use cuminlead_types::{DurationUs, TimeUs};

use super::Distribution;
use crate::action::{Action, PublishedResource};
use crate::event::NEVER_CONFIRMED;
use crate::limits::{
    CONFIRM_AGE_MAX, CONFIRM_RETRY_INTERVAL, HOSTS_READ_AGE_MAX, HOSTS_READ_GRACE,
};
use crate::peer_selection::PeerRequirement;
use crate::update::ConfirmationAges;

impl Distribution {
    pub(super) fn update_role(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        self.update_lists_watch(actions);
        let requirement = self.peer_requirement(now);
        self.peer_selection
            .step(now, requirement, self.revisions(), actions);
        self.update_lists_watch(actions);
        self.update_hosts_reading(now, actions);
        let is_isolated =
            !self.peer_selection.is_confirmed() && self.peer_selection.have_primaries_failed();
        if is_isolated || !self.lists.has_lists() {
            self.platform_calls
                .request_query(now, PublishedResource::Lists, &mut self.rng);
        } else {
            self.platform_calls.cancel_query(PublishedResource::Lists);
        }
        if self.confirm_due_at().is_some_and(|at| now >= at) {
            self.request_confirmation(now, actions);
        }
    }

    /// Time at which a follower next requests a confirmation from its reader.
    fn confirm_due_at(&self) -> Option<TimeUs> {
        if !self.peer_selection.is_confirmed()
            || self.peer_selection.requirement() == PeerRequirement::Primary
        {
            return None;
        }
        let confirmed_at = self.confirmed_at.unwrap_or_default();
        let retry_at = self.confirmation_requested_at + CONFIRM_RETRY_INTERVAL;
        Some(retry_at.max(confirmed_at + self.confirm_interval))
    }

    fn request_confirmation(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        self.confirmation_requested_at = now;
        let since = self.revisions();
        if let Some(peer) = self.peer_selection.peer_to_query() {
            self.pulls
                .begin_if_idle(now, peer, since, self.encoding, actions);
        }
    }

    fn update_lists_watch(&mut self, actions: &mut Vec<Action>) {
        let candidates = self.peer_selection.candidates();
        let must_watch = candidates.is_standby() && self.peer_selection.have_primaries_failed();
        let should_watch = candidates.is_reader() || must_watch;
        self.platform_calls
            .set_watching(PublishedResource::Lists, should_watch, actions);
    }

    /// The first two readers of a zone always read the host list. The other readers and the
    /// standbys read it while the followed peer has no confirmed one; all other processes then
    /// query it.
    fn update_hosts_reading(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let candidates = self.peer_selection.candidates();
        let has_confirmed_hosts = self.peer_selection.hosts_confirmed_at().is_some();
        let may_read = candidates.own_rank.is_some();
        let must_read = candidates.is_hosts_reader() || (may_read && !has_confirmed_hosts);
        if must_read && !self.is_reading_hosts() {
            let fresh_until = now + HOSTS_READ_GRACE;
            let fresh_at = TimeUs(fresh_until.get().saturating_sub(HOSTS_READ_AGE_MAX.get()));
            self.hosts_fresh_at = self.hosts_fresh_at.max(fresh_at);
        }
        self.platform_calls
            .set_watching(PublishedResource::Hosts, must_read, actions);
        if must_read || has_confirmed_hosts {
            self.platform_calls.cancel_query(PublishedResource::Hosts);
        } else {
            self.platform_calls
                .request_query(now, PublishedResource::Hosts, &mut self.rng);
        }
    }

    /// Time at which the host list of this process was last read as the newest, by itself or by the
    /// reader that it follows; `None` if that is too long ago.
    pub(super) fn hosts_confirmed_at(&self, now: TimeUs) -> Option<TimeUs> {
        if !self.is_reading_hosts() {
            return self.peer_selection.hosts_confirmed_at();
        }
        let is_fresh = now.since(self.hosts_fresh_at) <= HOSTS_READ_AGE_MAX;
        is_fresh.then_some(self.hosts_fresh_at)
    }

    pub(super) fn ages(&self, now: TimeUs) -> ConfirmationAges {
        let hosts_at = self.hosts_confirmed_at(now);
        ConfirmationAges {
            lists: self.confirmed_age(now),
            hosts: hosts_at.map_or(NEVER_CONFIRMED, |at| now.since(at)),
        }
    }

    fn peer_requirement(&self, now: TimeUs) -> PeerRequirement {
        let is_watch_fresh = now.since(self.watch_fresh_at) <= CONFIRM_AGE_MAX;
        if self.is_watching() && is_watch_fresh {
            PeerRequirement::Primary
        } else {
            PeerRequirement::AnyConfirmed
        }
    }

    pub(super) fn next_role_deadline(&self) -> Option<TimeUs> {
        let is_relying_on_watch =
            self.is_watching() && self.peer_selection.requirement() == PeerRequirement::Primary;
        let hosts_stale_at = self.hosts_fresh_at + HOSTS_READ_AGE_MAX + DurationUs(1);
        let watch_stale_at = self.watch_fresh_at + CONFIRM_AGE_MAX + DurationUs(1);
        let deadlines = [
            self.peer_selection.next_deadline(),
            self.confirm_due_at(),
            is_relying_on_watch.then_some(watch_stale_at),
            (self.is_reading_hosts() && self.reports_confirmed_hosts).then_some(hosts_stale_at),
        ];
        deadlines.into_iter().flatten().min()
    }
}
