//! State of the lists and of the host list in one process, and the decisions through which it
//! learns of new revisions.

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
    Event, NEVER_CONFIRMED, PartEncoding, PlatformCallRef, PlatformResponse, PullRef, Revisions,
    Update,
};
use crate::followers::Followers;
use crate::limits::{
    CONFIRM_AGE_MAX, CONFIRM_INTERVAL, CONFIRM_RETRY_INTERVAL, HOSTS_READ_AGE_MAX,
    HOSTS_READ_GRACE, STARTUP_PEERS_COUNT,
};
use crate::peer_selection::{PeerRequirement, PeerSelection, Sender};
use crate::platform_calls::{PlatformCallOutcome, PlatformCalls};
use crate::pull::Pulls;
use crate::startup::Startup;
use crate::update::{ConfirmationAges, LocalState};

/// Last notice to a peer that it lacks a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RevisionNotice {
    host: HostId,
    revisions: Revisions,
}

/// Lists and host list of one process, kept up to date from the platform and from peers.
#[derive(Debug)]
pub struct Distribution {
    local: Identity,
    rng: StdRng,
    lists: ListStore,
    patches: PatchLog,
    /// Encoding of parts to request: in full after a patch did not match.
    encoding: PartEncoding,
    hosts: HostStore,
    confirmed_at: Option<TimeUs>,
    /// Last time at which this process's own watch of the lists confirmed them.
    watch_fresh_at: TimeUs,
    /// Last time at which this process read the host list and found its own to be the newest. A
    /// process that begins to read starts with a time that counts for [`HOSTS_READ_GRACE`].
    hosts_fresh_at: TimeUs,
    /// Whether followers were last told that this process has a valid confirmation of its host
    /// list.
    reports_confirmed_hosts: bool,
    confirmation_requested_at: TimeUs,
    confirm_interval: DurationUs,
    last_notice: Option<RevisionNotice>,
    startup: Startup,
    platform_calls: PlatformCalls,
    peer_selection: PeerSelection,
    pulls: Pulls,
    followers: Followers,
}

impl Distribution {
    /// Creates the state of a starting process without lists or hosts. `rng` supplies the jitter of
    /// calls and heartbeats.
    pub fn new(local: Identity, rng: StdRng) -> Self {
        Self {
            local,
            rng,
            lists: ListStore::new(),
            patches: PatchLog::default(),
            encoding: PartEncoding::default(),
            hosts: HostStore::new(),
            confirmed_at: None,
            watch_fresh_at: TimeUs::ZERO,
            hosts_fresh_at: TimeUs::ZERO,
            reports_confirmed_hosts: false,
            confirmation_requested_at: TimeUs::ZERO,
            confirm_interval: CONFIRM_INTERVAL,
            last_notice: None,
            startup: Startup::New,
            platform_calls: PlatformCalls::default(),
            peer_selection: PeerSelection::default(),
            pulls: Pulls::default(),
            followers: Followers::default(),
        }
    }

    /// Sets the interval at which a follower requests confirmations, for agents that require
    /// younger ones than [`CONFIRM_INTERVAL`] provides.
    pub fn with_confirm_interval(mut self, interval: DurationUs) -> Self {
        self.confirm_interval = interval;
        self
    }

    /// Active lists; empty until the first revision is installed.
    pub fn lists(&self) -> &ListStore {
        &self.lists
    }

    /// Active host list; absent until the first one is known.
    pub fn hosts(&self) -> Option<&Arc<HostList>> {
        self.hosts.list()
    }

    /// Revisions of the active lists and of the host list.
    pub fn revisions(&self) -> Revisions {
        Revisions {
            lists: self.lists.revision(),
            hosts: self.hosts.revision(),
        }
    }

    /// Whether the process may accept requests.
    pub fn is_ready(&self) -> bool {
        self.startup == Startup::Ready
    }

    /// Whether the process watches the lists at the configuration service.
    pub fn is_watching(&self) -> bool {
        self.platform_calls.is_watching(PublishedResource::Lists)
    }

    /// Whether the process reads the host list from the platform at regular intervals.
    pub fn is_reading_hosts(&self) -> bool {
        self.platform_calls.is_watching(PublishedResource::Hosts)
    }

    /// Time since the active lists were confirmed as the newest; [`NEVER_CONFIRMED`] if they never
    /// were.
    pub fn confirmed_age(&self, now: TimeUs) -> DurationUs {
        self.confirmed_at
            .map_or(NEVER_CONFIRMED, |at| now.since(at))
    }

    /// Peer on a host, to identify the sender of a message; `None` if the host is not in the host
    /// list.
    pub fn peer_on(&self, host: &HostId) -> Option<Peer> {
        let mut hosts = self.hosts.list()?.hosts.iter();
        hosts.find(|entry| entry.host == *host).map(Peer::from)
    }

    /// Builds the reply to a pull: the changes since the peer's revisions. The process also passes
    /// the revisions of the pull to [`Self::handle`] as [`Event::RevisionsSeen`].
    pub fn update_since(&self, now: TimeUs, since: Revisions, encoding: PartEncoding) -> Update {
        let local_state = LocalState {
            lists: &self.lists,
            patches: &self.patches,
            hosts: &self.hosts,
            ages: self.ages(now),
        };
        local_state.update_since(since, encoding)
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: TimeUs, event: Event, actions: &mut Vec<Action>) {
        if self.carries_known_revisions(&event) {
            return;
        }
        match event {
            Event::Start => self.on_start(now),
            Event::PlatformResponded { call, answer } => self.on_answer(now, call, answer, actions),
            Event::CallFailed { call } => {
                self.platform_calls
                    .finish(now, call, PlatformCallOutcome::Failed);
            }
            Event::FollowUpdate { follow, update } => {
                if let Some(sender) = self
                    .peer_selection
                    .on_message(now, follow, &update, actions)
                {
                    self.apply_update(now, &sender, &update, actions);
                }
            }
            Event::FollowStreamClosed { follow } => self.peer_selection.on_stream_lost(now, follow),
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
                encoding,
                peer,
            } => {
                self.followers.join(now, follower, revisions, encoding);
                self.on_revisions(now, revisions, peer.as_ref(), actions);
            }
            Event::FollowerLeft { follower } => self.followers.leave(follower),
            Event::Tick => {}
        }
        self.run_due(now, actions);
    }

    /// Every message between processes carries revisions, so an event without newer ones must be
    /// cheap.
    fn carries_known_revisions(&self, event: &Event) -> bool {
        let Event::RevisionsSeen { revisions, .. } = event else {
            return false;
        };
        let known = self.known_revisions();
        revisions.lists <= known.lists && revisions.hosts <= known.hosts
    }

    fn on_start(&mut self, now: TimeUs) {
        if self.startup == Startup::New {
            self.startup = Startup::AskingPlatform;
            self.platform_calls.query_at_startup(now);
        }
    }

    fn on_answer(
        &mut self,
        now: TimeUs,
        call: PlatformCallRef,
        answer: PlatformResponse,
        actions: &mut Vec<Action>,
    ) {
        let outcome = match answer {
            PlatformResponse::Unreadable(_) => PlatformCallOutcome::Failed,
            _ => PlatformCallOutcome::Answered,
        };
        let finished = self.platform_calls.finish(now, call, outcome);
        let served = match answer {
            PlatformResponse::Lists(snapshot) => {
                let revision = snapshot.revision();
                self.install_lists(snapshot, actions);
                revision
            }
            PlatformResponse::Hosts(list) => {
                let revision = list.revision;
                let is_newer = self.hosts.install_if_newer(list);
                self.activate_hosts(now, is_newer, actions);
                revision
            }
            PlatformResponse::ListChanges(delta) => {
                let delta = delta.rebased_onto(self.lists.revision());
                let revision = delta.revision;
                self.apply_delta(delta, &[], actions);
                revision
            }
            PlatformResponse::HostChanges(delta) => {
                let delta = delta.rebased_onto(self.hosts.revision());
                let is_newer = self.hosts.apply(&delta).is_ok();
                self.activate_hosts(now, is_newer, actions);
                delta.revision
            }
            PlatformResponse::Unreadable(findings) => {
                report_refusal(Revision::ZERO, findings, actions);
                return;
            }
            PlatformResponse::Unchanged { revision } => revision,
        };
        // A stale replica of the platform serves an earlier revision and confirms nothing.
        let Some(finished_call) = finished else {
            return;
        };
        if finished_call.resource == PublishedResource::Hosts && served == self.hosts.revision() {
            self.hosts_fresh_at = self.hosts_fresh_at.max(finished_call.sent_at);
        }
        if finished_call.resource == PublishedResource::Lists && self.is_active_or_refused(served) {
            self.watch_fresh_at = self.watch_fresh_at.max(finished_call.sent_at);
            self.record_confirmation(now, finished_call.sent_at, actions);
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
                created_after: Some(pull.sent_at),
            };
            self.apply_update(now, &sender, update, actions);
        }
    }

    /// Pulls if the sender's revisions are newer; if they are older, the sender pulls. A refused
    /// revision is not requested again.
    fn on_revisions(
        &mut self,
        now: TimeUs,
        seen: Revisions,
        peer: Option<&Peer>,
        actions: &mut Vec<Action>,
    ) {
        let known = self.known_revisions();
        if seen.lists <= known.lists && seen.hosts <= known.hosts {
            return;
        }
        let since = self.revisions();
        if let Some(peer) = peer.or(self.peer_selection.peer_to_query()) {
            self.pulls
                .begin_if_idle(now, peer, since, self.encoding, actions);
        }
    }

    /// Whether a revision is active, or was refused so that the last valid one stays active.
    fn is_active_or_refused(&self, lists: Revision) -> bool {
        lists == self.lists.revision() || Some(lists) == self.lists.refused_revision()
    }

    /// Revisions that need not be sent to this process again: the active ones, or a refused newer
    /// one.
    fn known_revisions(&self) -> Revisions {
        let local = self.revisions();
        let refused = self.lists.refused_revision().unwrap_or_default();
        Revisions {
            lists: local.lists.max(refused),
            hosts: local.hosts,
        }
    }

    fn apply_update(
        &mut self,
        now: TimeUs,
        sender: &Sender,
        update: &Update,
        actions: &mut Vec<Action>,
    ) {
        self.apply_delta(update.lists.clone(), &update.patches, actions);
        let is_newer = self.hosts.apply(&update.hosts).is_ok();
        self.activate_hosts(now, is_newer, actions);
        self.apply_confirmation(now, sender, update, actions);
        let seen = Revisions {
            lists: update.lists.revision,
            hosts: update.hosts.revision,
        };
        self.on_revisions(now, seen, Some(&sender.peer), actions);
        let local = self.revisions();
        if seen.lists < local.lists || seen.hosts < local.hosts {
            self.send_notice(now, &sender.peer, actions);
        }
    }

    /// Only a message created after a known time confirms. Any other message may have been in
    /// flight for an unknown time.
    fn apply_confirmation(
        &mut self,
        now: TimeUs,
        sender: &Sender,
        update: &Update,
        actions: &mut Vec<Action>,
    ) {
        let is_active_or_refused = self.is_active_or_refused(update.lists.revision);
        let Some(created_after) = sender.created_after.filter(|_| is_active_or_refused) else {
            return;
        };
        if update.confirmed_age <= DurationUs(created_after.get()) {
            self.record_confirmation(now, created_after - update.confirmed_age, actions);
        }
    }

    /// Informs a peer of the active revisions by a pull, so that it pulls in turn; not if the last
    /// notice was the same or a pull is open.
    fn send_notice(&mut self, now: TimeUs, peer: &Peer, actions: &mut Vec<Action>) {
        let notice = RevisionNotice {
            host: peer.host.clone(),
            revisions: self.revisions(),
        };
        if self.last_notice.as_ref() != Some(&notice) && !self.pulls.is_open() {
            let since = notice.revisions;
            self.pulls.begin(now, peer, since, self.encoding, actions);
            self.last_notice = Some(notice);
        }
    }

    fn apply_delta(&mut self, mut delta: Delta, patches: &[PartPatch], actions: &mut Vec<Action>) {
        let initial = Snapshot::default();
        let base = self.lists.snapshot().unwrap_or(&initial);
        let is_applicable = delta.is_full || delta.from_revision == base.revision();
        if delta.revision <= base.revision() || !is_applicable {
            return;
        }
        match patched_parts(base, patches) {
            Ok(parts) => delta.parts.extend(parts),
            Err(_) => {
                self.encoding = PartEncoding::Full;
                return;
            }
        }
        if let Ok(snapshot) = base.apply(&delta) {
            self.install_lists(snapshot, actions);
        }
    }

    fn install_lists(&mut self, snapshot: Snapshot, actions: &mut Vec<Action>) {
        let revision = snapshot.revision();
        let is_known = self.lists.refused_revision() == Some(revision);
        self.encoding = PartEncoding::Patch;
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
            InstallOutcome::Invalid(findings) if !is_known => {
                report_refusal(revision, findings, actions)
            }
            InstallOutcome::Invalid(_) | InstallOutcome::Older => {}
        }
    }

    fn activate_hosts(&mut self, now: TimeUs, is_newer: bool, actions: &mut Vec<Action>) {
        let Some(list) = self.hosts.list().filter(|_| is_newer) else {
            return;
        };
        self.peer_selection
            .set_candidates(now, candidates(list, &self.local));
        actions.push(Action::ApplyHosts(Arc::clone(list)));
    }

    fn record_confirmation(&mut self, now: TimeUs, at: TimeUs, actions: &mut Vec<Action>) {
        if self.lists.has_lists() && self.confirmed_at < Some(at) {
            self.confirmed_at = Some(at);
            actions.push(Action::Confirmed { age: now.since(at) });
        }
    }

    /// Does the work that is due after an event.
    fn run_due(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        self.pulls.expire(now);
        // Calls that timed out must count as ended before the startup continues.
        self.step_platform_calls(now, actions);
        self.advance_startup(now, actions);
        if self.startup.has_asked() {
            self.update_role(now, actions);
            self.step_platform_calls(now, actions);
        }
        self.send_updates(now, actions);
    }

    fn step_platform_calls(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let (known, active) = (self.known_revisions(), self.revisions());
        self.platform_calls.step(now, known, active, actions);
    }

    fn advance_startup(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        if self.startup == Startup::AskingPlatform && !self.platform_calls.is_query_pending() {
            if self.hosts.list().is_some() {
                self.query_startup_peers(now, actions);
                self.startup = Startup::AskingPeers;
            } else {
                for resource in PublishedResource::iter() {
                    self.platform_calls
                        .request_query(now, resource, &mut self.rng);
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

    /// Queries the nearest peers and the farthest one, as a network partition rarely cuts off all
    /// of them.
    fn query_startup_peers(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let since = self.revisions();
        let peers = &self.peer_selection.candidates().peers;
        let nearest_count = STARTUP_PEERS_COUNT - 1;
        let nearest = peers.iter().take(nearest_count);
        let farthest = peers.iter().skip(nearest_count).next_back();
        for peer in nearest.chain(farthest) {
            self.pulls.begin(now, peer, since, self.encoding, actions);
        }
    }

    fn update_role(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
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
    fn hosts_confirmed_at(&self, now: TimeUs) -> Option<TimeUs> {
        if !self.is_reading_hosts() {
            return self.peer_selection.hosts_confirmed_at();
        }
        let is_fresh = now.since(self.hosts_fresh_at) <= HOSTS_READ_AGE_MAX;
        is_fresh.then_some(self.hosts_fresh_at)
    }

    fn ages(&self, now: TimeUs) -> ConfirmationAges {
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

    fn send_updates(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let reports_confirmed_hosts = self.hosts_confirmed_at(now).is_some();
        if self.reports_confirmed_hosts && !reports_confirmed_hosts {
            self.followers.expedite_heartbeats(now);
        }
        self.reports_confirmed_hosts = reports_confirmed_hosts;
        let ages = self.ages(now);
        let local = self.revisions();
        let local_state = LocalState {
            lists: &self.lists,
            patches: &self.patches,
            hosts: &self.hosts,
            ages,
        };
        let update_since = |since, encoding| local_state.update_since(since, encoding);
        let rng = &mut self.rng;
        self.followers.step(now, local, update_since, rng, actions);
    }

    /// Latest time for the next [`Event::Tick`]; `None` if nothing is due, as before the start.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        let role = self.startup.has_asked().then(|| self.next_role_deadline());
        let deadlines = [
            self.platform_calls.next_deadline(),
            self.pulls.next_deadline(),
            self.followers.next_deadline(),
            role.flatten(),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn next_role_deadline(&self) -> Option<TimeUs> {
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

fn report_refusal(revision: Revision, findings: Findings, actions: &mut Vec<Action>) {
    actions.push(Action::Refused { revision, findings });
}
