//! The context that owns the lists and the host list of one process and decides how it learns of
//! changes.

use std::sync::Arc;

use cuminlead_lists::{
    Delta, HostList, HostStore, InstallOutcome, ListStore, PartPatch, PatchLog, Snapshot,
    patched_parts,
};
use cuminlead_types::{DurationUs, Findings, HostId, Revision, TimeUs};
use rand::rngs::StdRng;
use strum::IntoEnumIterator;

use crate::action::{Action, PublishedResource};
use crate::election::{Identity, Peer, candidates};
use crate::event::{
    Answer, Event, NEVER_CONFIRMED, PartEncoding, PlatformCallRef, PullRef, Revisions, Update,
};
use crate::follow::{Following, Need, Sender};
use crate::limits::{
    CONFIRM_INTERVAL, CONFIRM_LIMIT, CONFIRM_RETRY, HOSTS_GRACE, HOSTS_READ_LIMIT,
    STARTUP_PEERS_COUNT,
};
use crate::pull::Pulls;
use crate::serve::Followers;
use crate::service::{Outcome, ServiceCalls};
use crate::startup::Startup;
use crate::update::{Ages, Holdings};

/// Peer that was told of a revision that it lacked.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Hint {
    host: HostId,
    revisions: Revisions,
}

/// How the revisions of the lists and of the host list reach one process.
#[derive(Debug)]
pub struct Distribution {
    own: Identity,
    rng: StdRng,
    lists: ListStore,
    patches: PatchLog,
    /// Form of the parts to ask for: whole after a patch that did not fit.
    form: PartEncoding,
    hosts: HostStore,
    confirmed_at: Option<TimeUs>,
    /// Last time at which the own watch confirmed.
    watch_fresh_at: TimeUs,
    /// Last time at which an own reading of the host list found it to be the newest.
    hosts_fresh_at: TimeUs,
    /// Whether followers were told that this process relies on its host list.
    is_hosts_told: bool,
    confirm_asked_at: TimeUs,
    confirm_interval: DurationUs,
    hint: Option<Hint>,
    startup: Startup,
    service: ServiceCalls,
    following: Following,
    pulls: Pulls,
    followers: Followers,
}

impl Distribution {
    /// Distribution of a process that knows nothing; `rng` makes the jitter.
    pub fn new(own: Identity, rng: StdRng) -> Self {
        Self {
            own,
            rng,
            lists: ListStore::new(),
            patches: PatchLog::default(),
            form: PartEncoding::default(),
            hosts: HostStore::new(),
            confirmed_at: None,
            watch_fresh_at: TimeUs::ZERO,
            hosts_fresh_at: TimeUs::ZERO,
            is_hosts_told: false,
            confirm_asked_at: TimeUs::ZERO,
            confirm_interval: CONFIRM_INTERVAL,
            hint: None,
            startup: Startup::New,
            service: ServiceCalls::default(),
            following: Following::default(),
            pulls: Pulls::default(),
            followers: Followers::default(),
        }
    }

    /// Asks for confirmations at another interval, for agents that accept younger ones only.
    pub fn with_confirm_interval(mut self, interval: DurationUs) -> Self {
        self.confirm_interval = interval;
        self
    }

    /// Lists in force.
    pub fn lists(&self) -> &ListStore {
        &self.lists
    }

    /// Host list in use.
    pub fn hosts(&self) -> Option<&Arc<HostList>> {
        self.hosts.list()
    }

    /// Revisions in force.
    pub fn revisions(&self) -> Revisions {
        Revisions {
            lists: self.lists.revision(),
            hosts: self.hosts.revision(),
        }
    }

    /// Whether the process may accept work.
    pub fn is_ready(&self) -> bool {
        self.startup == Startup::Ready
    }

    /// Whether the process watches the configuration service.
    pub fn is_watching(&self) -> bool {
        self.service.is_watching(PublishedResource::Lists)
    }

    /// Whether the process reads the host list of the platform.
    pub fn is_reading_hosts(&self) -> bool {
        self.service.is_watching(PublishedResource::Hosts)
    }

    /// Time since the lists in force were confirmed as the newest.
    pub fn confirmed_age(&self, now: TimeUs) -> DurationUs {
        self.confirmed_at
            .map_or(NEVER_CONFIRMED, |at| now.since(at))
    }

    /// Peer on a listed host, to tell who sent a message.
    pub fn peer_on(&self, host: &HostId) -> Option<Peer> {
        let mut hosts = self.hosts.list()?.hosts.iter();
        hosts.find(|entry| entry.host == *host).map(Peer::from)
    }

    /// Answer to a pull: what a peer at these revisions lacks. The process hands the revisions of
    /// the request on as [`Event::RevisionsSeen`].
    pub fn update_since(&self, now: TimeUs, since: Revisions, form: PartEncoding) -> Update {
        let holdings = Holdings {
            lists: &self.lists,
            patches: &self.patches,
            hosts: &self.hosts,
            ages: self.ages(now),
        };
        holdings.update_since(since, form)
    }

    /// Decides on an event and appends the resulting actions.
    pub fn handle(&mut self, now: TimeUs, event: Event, actions: &mut Vec<Action>) {
        if self.is_nothing_new(&event) {
            return;
        }
        match event {
            Event::Start => self.on_start(now),
            Event::Answered { call, answer } => self.on_answer(now, call, answer, actions),
            Event::CallFailed { call } => {
                self.service.finish(now, call, Outcome::Failed);
            }
            Event::FollowUpdate { follow, update } => {
                if let Some(sender) = self.following.hear(now, follow, &update, actions) {
                    self.take_update(now, &sender, &update, actions);
                }
            }
            Event::FollowLost { follow } => self.following.lose(now, follow),
            Event::PullReply { pull, update } => self.on_pull_reply(now, pull, &update, actions),
            Event::PullFailed { pull } => {
                self.pulls.finish(pull);
            }
            Event::RevisionsSeen { revisions, peer } => {
                self.on_revisions(now, revisions, peer.as_ref(), actions);
            }
            Event::FollowerJoined {
                follower,
                revisions,
                form,
                peer,
            } => {
                self.followers.join(now, follower, revisions, form);
                self.on_revisions(now, revisions, peer.as_ref(), actions);
            }
            Event::FollowerLeft { follower } => self.followers.leave(follower),
            Event::Tick => {}
        }
        self.settle(now, actions);
    }

    /// Every message between processes carries revisions, so those that are known must cost little.
    fn is_nothing_new(&self, event: &Event) -> bool {
        let Event::RevisionsSeen { revisions, .. } = event else {
            return false;
        };
        let known = self.known();
        revisions.lists <= known.lists && revisions.hosts <= known.hosts
    }

    fn on_start(&mut self, now: TimeUs) {
        if self.startup == Startup::New {
            self.startup = Startup::AskingPlatform;
            self.service.query_at_start(now);
        }
    }

    fn on_answer(
        &mut self,
        now: TimeUs,
        call: PlatformCallRef,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let outcome = match answer {
            Answer::Unreadable(_) => Outcome::Failed,
            _ => Outcome::Answered,
        };
        let finished = self.service.finish(now, call, outcome);
        let served = match answer {
            Answer::Lists(snapshot) => {
                let revision = snapshot.revision();
                self.offer_lists(snapshot, actions);
                revision
            }
            Answer::Hosts(list) => {
                let revision = list.revision;
                let is_newer = self.hosts.install_if_newer(list);
                self.use_hosts(now, is_newer, actions);
                revision
            }
            Answer::ListChanges(delta) => {
                let delta = delta.rebased_onto(self.lists.revision());
                let revision = delta.revision;
                self.take_lists(delta, &[], actions);
                revision
            }
            Answer::HostChanges(delta) => {
                let delta = delta.rebased_onto(self.hosts.revision());
                let is_newer = self.hosts.apply(&delta).is_ok();
                self.use_hosts(now, is_newer, actions);
                delta.revision
            }
            Answer::Unreadable(findings) => {
                refuse(Revision::ZERO, findings, actions);
                return;
            }
            Answer::Unchanged { revision } => revision,
        };
        // A stale replica of the platform serves an earlier revision and confirms nothing.
        let Some(asked) = finished else {
            return;
        };
        if asked.source == PublishedResource::Hosts && served == self.hosts.revision() {
            self.hosts_fresh_at = self.hosts_fresh_at.max(asked.sent_at);
        }
        if asked.source == PublishedResource::Lists && self.is_taken(served) {
            self.watch_fresh_at = self.watch_fresh_at.max(asked.sent_at);
            self.confirm(now, asked.sent_at, actions);
        }
    }

    fn on_pull_reply(
        &mut self,
        now: TimeUs,
        pull: PullRef,
        update: &Update,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pull) = self.pulls.finish(pull) {
            let sender = Sender {
                peer: pull.peer,
                made_after: Some(pull.sent_at),
            };
            self.take_update(now, &sender, update, actions);
        }
    }

    /// Whichever side is behind pulls; a revision that was refused is not asked for again.
    fn on_revisions(
        &mut self,
        now: TimeUs,
        seen: Revisions,
        peer: Option<&Peer>,
        actions: &mut Vec<Action>,
    ) {
        let known = self.known();
        if seen.lists <= known.lists && seen.hosts <= known.hosts {
            return;
        }
        let since = self.revisions();
        if let Some(peer) = peer.or(self.following.peer_to_ask()) {
            self.pulls.ask(now, peer, since, self.form, actions);
        }
    }

    /// Whether a revision is in force, or was refused so that the last valid one stays in force.
    fn is_taken(&self, lists: Revision) -> bool {
        lists == self.lists.revision() || Some(lists) == self.lists.refused_revision()
    }

    /// Revisions that need not be sent again: those in force, or refused after them.
    fn known(&self) -> Revisions {
        let own = self.revisions();
        let refused = self.lists.refused_revision().unwrap_or_default();
        Revisions {
            lists: own.lists.max(refused),
            hosts: own.hosts,
        }
    }

    fn take_update(
        &mut self,
        now: TimeUs,
        sender: &Sender,
        update: &Update,
        actions: &mut Vec<Action>,
    ) {
        self.take_lists(update.lists.clone(), &update.patches, actions);
        let is_newer = self.hosts.apply(&update.hosts).is_ok();
        self.use_hosts(now, is_newer, actions);
        self.take_confirmation(now, sender, update, actions);
        let seen = Revisions {
            lists: update.lists.revision,
            hosts: update.hosts.revision,
        };
        self.on_revisions(now, seen, Some(&sender.peer), actions);
        let own = self.revisions();
        if seen.lists < own.lists || seen.hosts < own.hosts {
            self.hint(now, &sender.peer, actions);
        }
    }

    /// Only a message made after a known time confirms: another one may have been under way for
    /// longer than anyone can tell.
    fn take_confirmation(
        &mut self,
        now: TimeUs,
        sender: &Sender,
        update: &Update,
        actions: &mut Vec<Action>,
    ) {
        let is_taken = self.is_taken(update.lists.revision);
        let Some(made_after) = sender.made_after.filter(|_| is_taken) else {
            return;
        };
        if update.confirmed_age <= DurationUs(made_after.get()) {
            self.confirm(now, made_after - update.confirmed_age, actions);
        }
    }

    /// Tells a peer of the revisions in force by a pull, once, so that it pulls in turn.
    fn hint(&mut self, now: TimeUs, peer: &Peer, actions: &mut Vec<Action>) {
        let hint = Hint {
            host: peer.host.clone(),
            revisions: self.revisions(),
        };
        if self.hint.as_ref() != Some(&hint) && !self.pulls.is_open() {
            let since = hint.revisions;
            self.pulls.begin(now, peer, since, self.form, actions);
            self.hint = Some(hint);
        }
    }

    fn take_lists(&mut self, mut delta: Delta, patches: &[PartPatch], actions: &mut Vec<Action>) {
        let initial = Snapshot::default();
        let base = self.lists.snapshot().unwrap_or(&initial);
        let is_based = delta.is_full || delta.from_revision == base.revision();
        if delta.revision <= base.revision() || !is_based {
            return;
        }
        match patched_parts(base, patches) {
            Ok(parts) => delta.parts.extend(parts),
            Err(_) => {
                self.form = PartEncoding::Full;
                return;
            }
        }
        if let Ok(snapshot) = base.apply(&delta) {
            self.offer_lists(snapshot, actions);
        }
    }

    fn offer_lists(&mut self, snapshot: Snapshot, actions: &mut Vec<Action>) {
        let revision = snapshot.revision();
        let is_known = self.lists.refused_revision() == Some(revision);
        self.form = PartEncoding::Patch;
        let mut patches = self.patches.clone();
        if let Some(earlier) = self.lists.snapshot() {
            patches.record(earlier, &snapshot);
        }
        match self.lists.install_if_newer(snapshot) {
            InstallOutcome::Applied => {
                self.patches = patches;
                if let (Some(lists), Some(keys)) = (self.lists.lists(), self.lists.keys()) {
                    actions.push(Action::ApplyLists {
                        lists: Arc::clone(lists),
                        keys: Arc::clone(keys),
                    });
                }
            }
            InstallOutcome::Invalid(findings) if !is_known => refuse(revision, findings, actions),
            InstallOutcome::Invalid(_) | InstallOutcome::Older => {}
        }
    }

    fn use_hosts(&mut self, now: TimeUs, is_newer: bool, actions: &mut Vec<Action>) {
        let Some(list) = self.hosts.list().filter(|_| is_newer) else {
            return;
        };
        self.following
            .set_candidates(now, candidates(list, &self.own));
        actions.push(Action::ApplyHosts(Arc::clone(list)));
    }

    fn confirm(&mut self, now: TimeUs, at: TimeUs, actions: &mut Vec<Action>) {
        if self.lists.has_lists() && self.confirmed_at < Some(at) {
            self.confirmed_at = Some(at);
            actions.push(Action::Confirmed { age: now.since(at) });
        }
    }

    /// Does what is due after an event.
    fn settle(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        self.pulls.expire(now);
        // Calls that were given up must count as ended before the start goes on.
        self.step_service(now, actions);
        self.go_on_starting(now, actions);
        if self.startup.has_asked() {
            self.settle_role(now, actions);
            self.step_service(now, actions);
        }
        self.serve(now, actions);
    }

    fn step_service(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let (known, held) = (self.known(), self.revisions());
        self.service.step(now, known, held, actions);
    }

    fn go_on_starting(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        if self.startup == Startup::AskingPlatform && !self.service.is_query_open() {
            if self.hosts.list().is_some() {
                self.ask_peers(now, actions);
                self.startup = Startup::AskingPeers;
            } else {
                for source in PublishedResource::iter() {
                    self.service.request_query(now, source, &mut self.rng);
                }
            }
        }
        if self.startup == Startup::AskingPeers && !self.pulls.is_open() {
            self.startup = Startup::Asked;
        }
        if self.startup == Startup::Asked && self.lists.has_lists() {
            self.startup = Startup::Ready;
            actions.push(Action::Ready);
        }
    }

    /// Asks the nearest peers and the farthest one, which a partition rarely cuts off together.
    fn ask_peers(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let since = self.revisions();
        let peers = &self.following.candidates().peers;
        let nearest_count = STARTUP_PEERS_COUNT - 1;
        let nearest = peers.iter().take(nearest_count);
        let farthest = peers.iter().skip(nearest_count).next_back();
        for peer in nearest.chain(farthest) {
            self.pulls.begin(now, peer, since, self.form, actions);
        }
    }

    fn settle_role(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        self.settle_watch(actions);
        let need = self.need(now);
        self.following.step(now, need, self.revisions(), actions);
        self.settle_watch(actions);
        self.settle_hosts(now, actions);
        let is_cut_off = !self.following.is_confirmed() && self.following.have_primaries_failed();
        if is_cut_off || !self.lists.has_lists() {
            self.service
                .request_query(now, PublishedResource::Lists, &mut self.rng);
        } else {
            self.service.cancel_query(PublishedResource::Lists);
        }
        if self.confirm_due_at().is_some_and(|at| now >= at) {
            self.ask_for_confirmation(now, actions);
        }
    }

    /// Time at which a follower asks its reader for a confirmation.
    fn confirm_due_at(&self) -> Option<TimeUs> {
        if !self.following.is_confirmed() || self.following.need() == Need::Primary {
            return None;
        }
        let confirmed_at = self.confirmed_at.unwrap_or_default();
        let retry_at = self.confirm_asked_at + CONFIRM_RETRY;
        Some(retry_at.max(confirmed_at + self.confirm_interval))
    }

    fn ask_for_confirmation(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        self.confirm_asked_at = now;
        let since = self.revisions();
        if let Some(peer) = self.following.peer_to_ask() {
            self.pulls.ask(now, peer, since, self.form, actions);
        }
    }

    fn settle_watch(&mut self, actions: &mut Vec<Action>) {
        let candidates = self.following.candidates();
        let must_watch = candidates.is_standby() && self.following.have_primaries_failed();
        let is_acting = candidates.is_reader() || must_watch;
        self.service
            .set_watching(PublishedResource::Lists, is_acting, actions);
    }

    /// The first two readers read the host list. The other readers and the standbys read it while they
    /// hear of no confirmed one, and all others ask for it then.
    fn settle_hosts(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let candidates = self.following.candidates();
        let is_heard = self.following.hosts_confirmed_at().is_some();
        let may_read = candidates.own_rank.is_some();
        let must_read = candidates.is_hosts_reader() || (may_read && !is_heard);
        if must_read && !self.is_reading_hosts() {
            let fresh_until = now + HOSTS_GRACE;
            let fresh_at = TimeUs(fresh_until.get().saturating_sub(HOSTS_READ_LIMIT.get()));
            self.hosts_fresh_at = self.hosts_fresh_at.max(fresh_at);
        }
        self.service
            .set_watching(PublishedResource::Hosts, must_read, actions);
        if must_read || is_heard {
            self.service.cancel_query(PublishedResource::Hosts);
        } else {
            self.service
                .request_query(now, PublishedResource::Hosts, &mut self.rng);
        }
    }

    /// Time of the reading of the host list that this process relies on.
    fn hosts_confirmed_at(&self, now: TimeUs) -> Option<TimeUs> {
        if !self.is_reading_hosts() {
            return self.following.hosts_confirmed_at();
        }
        let is_fresh = now.since(self.hosts_fresh_at) <= HOSTS_READ_LIMIT;
        is_fresh.then_some(self.hosts_fresh_at)
    }

    fn ages(&self, now: TimeUs) -> Ages {
        let hosts_at = self.hosts_confirmed_at(now);
        Ages {
            lists: self.confirmed_age(now),
            hosts: hosts_at.map_or(NEVER_CONFIRMED, |at| now.since(at)),
        }
    }

    fn need(&self, now: TimeUs) -> Need {
        let is_watch_fresh = now.since(self.watch_fresh_at) <= CONFIRM_LIMIT;
        if self.is_watching() && is_watch_fresh {
            Need::Primary
        } else {
            Need::Anyone
        }
    }

    fn serve(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let is_hosts_told = self.hosts_confirmed_at(now).is_some();
        if self.is_hosts_told && !is_hosts_told {
            self.followers.hurry(now);
        }
        self.is_hosts_told = is_hosts_told;
        let ages = self.ages(now);
        let own = self.revisions();
        let holdings = Holdings {
            lists: &self.lists,
            patches: &self.patches,
            hosts: &self.hosts,
            ages,
        };
        let update_since = |since, form| holdings.update_since(since, form);
        let rng = &mut self.rng;
        self.followers.step(now, own, update_since, rng, actions);
    }

    /// Time at which a `Tick` is needed at the latest.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        let role = self.startup.has_asked().then(|| self.next_role_deadline());
        let deadlines = [
            self.service.next_deadline(),
            self.pulls.next_deadline(),
            self.followers.next_deadline(),
            role.flatten(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn next_role_deadline(&self) -> Option<TimeUs> {
        let is_relying_on_watch = self.is_watching() && self.following.need() == Need::Primary;
        let hosts_stale_at = self.hosts_fresh_at + HOSTS_READ_LIMIT + DurationUs(1);
        let watch_stale_at = self.watch_fresh_at + CONFIRM_LIMIT + DurationUs(1);
        let deadlines = [
            self.following.next_deadline(),
            self.confirm_due_at(),
            is_relying_on_watch.then_some(watch_stale_at),
            (self.is_reading_hosts() && self.is_hosts_told).then_some(hosts_stale_at),
        ];
        deadlines.into_iter().flatten().min()
    }
}

fn refuse(revision: Revision, findings: Findings, actions: &mut Vec<Action>) {
    actions.push(Action::Refused { revision, findings });
}
