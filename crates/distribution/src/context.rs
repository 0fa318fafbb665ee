//! State of the lists and of the host list in one process, and the decisions through which it
//! learns of new revisions.
//!
//! | module | contents |
//! |---|---|
//! | `installation` | installation of what responses and messages carry |
//! | `role` | what the process reads itself, and which peer confirms the rest |

mod installation;
mod role;

use std::sync::Arc;

use cuminlead_lists::{HostList, HostStore, ListStore, PatchLog};
use cuminlead_types::{DurationUs, HostId, TimeUs};
use rand::rngs::StdRng;
use strum::IntoEnumIterator;

use crate::action::{Action, PublishedResource};
use crate::election::{Identity, Peer};
use crate::event::{Event, NEVER_CONFIRMED, PartEncoding, Revisions, Update};
use crate::followers::Followers;
use crate::limits::{CONFIRM_INTERVAL, STARTUP_PEERS_COUNT};
use crate::peer_selection::PeerSelection;
use crate::platform_calls::{PlatformCallOutcome, PlatformCalls};
use crate::pull::Pulls;
use crate::startup::Startup;
use crate::update::LocalState;

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
}
