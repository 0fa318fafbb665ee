//! Lists and hosts of this process, fed by platform and peers.
//!
//! The feed belongs to the control thread and carries out what `Distribution` decides. Calls to the
//! platform block on pool threads; streams between processes run on the tokio runtime. Both report
//! back as [`FeedEvent`]s. What the feed holds is also published as a [`FeedView`], so that traffic
//! threads check plans without asking the control thread.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use cuminlead_distribution::{
    Action, Distribution, Event, FollowRef, FollowerRef, Identity, PartEncoding, Peer,
    PlatformCallRef, PublishedResource, Revisions, Update,
};
use cuminlead_kernel::WorkerPool;
use cuminlead_lists::{CustomerKeys, HostList, Lists};
use cuminlead_telemetry::{CommonMetrics, Label};
use cuminlead_types::{DurationUs, Findings, Revision, TimeUs};
use cuminlead_wire::proto;
use prost::Message;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use crate::peer::PeerClient;
use crate::platform::PlatformClient;

/// Threads for calls to the platform: two watches and what was dropped but not yet answered.
const PLATFORM_THREADS: usize = 8;

/// Updates that may wait for one follower; one that is further behind is dropped and comes again.
pub const FOLLOWER_QUEUE: usize = 16;

/// Something that a job of the feed reports.
#[derive(Debug)]
pub enum FeedEvent {
    /// Something that `Distribution` decides on.
    Distribution(Event),
    /// A peer began to follow this process.
    Joined {
        /// Host of the peer.
        host: String,
        /// Revisions of the peer.
        revisions: Revisions,
        /// Form of changed parts that it takes.
        form: PartEncoding,
        /// Where its updates go.
        updates: mpsc::Sender<proto::PeerUpdate>,
    },
    /// A peer asks for what it lacks.
    Pull {
        /// Host of the peer.
        host: String,
        /// Revisions of the peer.
        revisions: Revisions,
        /// Form of changed parts.
        form: PartEncoding,
        /// Where the answer goes.
        reply: oneshot::Sender<proto::PeerUpdate>,
    },
}

/// Receiver of the feed's events; hands them to the control thread.
pub type FeedSender = Arc<dyn Fn(FeedEvent) + Send + Sync>;

/// What changed with an event.
#[derive(Clone, Debug, Default)]
pub struct FeedUpdate {
    /// Lists that are now in force.
    pub lists: Option<Arc<Lists>>,
    /// Host list that is now known.
    pub hosts: Option<Arc<HostList>>,
    /// Time since the lists in force were confirmed as the newest, when they were confirmed again.
    pub confirmed_age_us: Option<DurationUs>,
    /// Findings of a snapshot that was refused.
    pub refused: Option<Findings>,
}

/// What the feed holds, for other threads.
#[derive(Clone, Debug, Default)]
pub struct FeedView {
    /// Whether the process knows the newest lists that it could learn and may accept work.
    pub is_ready: bool,
    /// Customer keys of the lists in force.
    pub keys: Arc<CustomerKeys>,
    /// Lists in force.
    pub lists: Arc<Lists>,
    /// Known host list.
    pub hosts: Arc<HostList>,
    /// When the lists were last confirmed as the newest.
    pub confirmed_at_us: Option<TimeUs>,
    /// Whether this process watches the platform itself.
    pub is_reader: bool,
}

/// Parts that a feed is built from.
pub struct FeedParts {
    /// This process.
    pub identity: Identity,
    /// Seed of the jitter.
    pub seed: u64,
    /// Interval at which a follower asks for a confirmation.
    pub confirm_interval_us: DurationUs,
    /// Platform.
    pub platform: PlatformClient,
    /// Connections to peers.
    pub peers: PeerClient,
    /// Runtime of the streams between processes.
    pub runtime: Handle,
    /// Receiver of the feed's events.
    pub sender: FeedSender,
    /// Metrics.
    pub metrics: CommonMetrics,
}

/// Lists and hosts of this process.
pub struct Feed {
    parts: FeedParts,
    pool: WorkerPool,
    distribution: Distribution,
    follows: HashMap<FollowRef, AbortHandle>,
    followers: HashMap<FollowerRef, mpsc::Sender<proto::PeerUpdate>>,
    next_follower: u64,
    /// Followers whose stream was found to be gone.
    left: Vec<FollowerRef>,
    view: Arc<ArcSwap<FeedView>>,
}

impl fmt::Debug for Feed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Feed")
            .field("revisions", &self.distribution.revisions())
            .finish()
    }
}

impl Feed {
    /// Feed that holds nothing yet.
    pub fn new(parts: FeedParts) -> Self {
        let rng = StdRng::seed_from_u64(parts.seed);
        Self {
            pool: WorkerPool::new("platform", PLATFORM_THREADS),
            distribution: Distribution::new(parts.identity.clone(), rng)
                .with_confirm_interval(parts.confirm_interval_us),
            follows: HashMap::new(),
            followers: HashMap::new(),
            next_follower: 0,
            left: Vec::new(),
            view: Arc::default(),
            parts,
        }
    }

    /// View for other threads.
    pub fn view(&self) -> Arc<ArcSwap<FeedView>> {
        Arc::clone(&self.view)
    }

    /// Starts to learn lists and hosts.
    pub fn start(&mut self, now: TimeUs) -> FeedUpdate {
        self.decide(now, Event::Start)
    }

    /// Takes an event in and says what changed.
    pub fn handle(&mut self, now: TimeUs, event: FeedEvent) -> FeedUpdate {
        match event {
            FeedEvent::Distribution(event) => self.decide(now, event),
            FeedEvent::Joined {
                host,
                revisions,
                form,
                updates,
            } => {
                let follower = FollowerRef(self.next_follower);
                self.next_follower += 1;
                self.followers.insert(follower, updates);
                let peer = self.peer_on(&host);
                self.decide(
                    now,
                    Event::FollowerJoined {
                        follower,
                        revisions,
                        form,
                        peer,
                    },
                )
            }
            FeedEvent::Pull {
                host,
                revisions,
                form,
                reply,
            } => {
                let update = self.distribution.update_since(now, revisions, form);
                // The asking peer may be gone.
                let _ = reply.send(self.to_wire(&update));
                // The asking peer may be ahead.
                let peer = self.peer_on(&host);
                self.decide(now, Event::RevisionsSeen { revisions, peer })
            }
        }
    }

    /// Decides on the passing of time.
    pub fn tick(&mut self, now: TimeUs) -> FeedUpdate {
        self.decide(now, Event::Tick)
    }

    /// Time at which `tick` is needed at the latest.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        self.distribution.next_deadline()
    }

    /// Time since the lists in force were confirmed as the newest.
    pub fn confirmed_age(&self, now: TimeUs) -> DurationUs {
        self.distribution.confirmed_age(now)
    }

    fn peer_on(&self, host: &str) -> Option<Peer> {
        let hosts = self.distribution.hosts()?;
        let entry = hosts
            .hosts
            .iter()
            .find(|entry| entry.host.as_str() == host)?;
        Some(Peer {
            host: entry.host.clone(),
            address: entry.address.clone(),
        })
    }

    fn decide(&mut self, now: TimeUs, event: Event) -> FeedUpdate {
        let mut actions = Vec::new();
        self.distribution.handle(now, event, &mut actions);
        let mut update = FeedUpdate::default();
        for action in actions {
            self.carry_out(action, &mut update);
        }
        for follower in std::mem::take(&mut self.left) {
            // Leaving causes no further action that could fail again.
            self.distribution
                .handle(now, Event::FollowerLeft { follower }, &mut Vec::new());
        }
        let age_ms = i64::try_from(self.confirmed_age(now).as_ms()).unwrap_or(i64::MAX);
        self.parts.metrics.confirmed_age_ms.set(age_ms);
        self.publish(now, &update);
        update
    }

    fn carry_out(&mut self, action: Action, update: &mut FeedUpdate) {
        match action {
            Action::WatchService {
                call,
                source,
                after,
                held,
                wait,
            } => {
                self.call_platform(call, source, after, held, wait);
            }
            Action::QueryService {
                call,
                source,
                after,
                held,
            } => {
                self.call_platform(call, source, after, held, DurationUs::ZERO);
            }
            // The call cannot be taken back; `Distribution` ignores its answer.
            Action::StopWatching { .. } => {}
            Action::FollowPeer {
                follow,
                peer,
                revisions,
            } => {
                let task = self.parts.peers.follow(
                    peer.address,
                    revisions,
                    follow,
                    Arc::clone(&self.parts.sender),
                    self.parts.metrics.clone(),
                );
                let handle = self.parts.runtime.spawn(task).abort_handle();
                self.follows.insert(follow, handle);
            }
            Action::StopFollowing { follow } => {
                if let Some(task) = self.follows.remove(&follow) {
                    task.abort();
                }
            }
            Action::PullFromPeer {
                pull,
                peer,
                since,
                form,
            } => {
                let sender = Arc::clone(&self.parts.sender);
                let asked =
                    self.parts
                        .peers
                        .pull(peer.address, since, form, self.parts.metrics.clone());
                self.parts.runtime.spawn(async move {
                    let event = match asked.await {
                        Some(update) => Event::PullReply { pull, update },
                        None => Event::PullFailed { pull },
                    };
                    sender(FeedEvent::Distribution(event));
                });
            }
            Action::SendUpdate { follower, update } => self.send_update(follower, &update),
            Action::ApplyLists { lists, .. } => update.lists = Some(lists),
            Action::ApplyHosts(hosts) => update.hosts = Some(hosts),
            Action::Refused { findings, .. } => {
                self.parts.metrics.invalid_snapshots.inc();
                update.refused = Some(findings);
            }
            Action::Confirmed { age } => update.confirmed_age_us = Some(age),
            Action::Ready => {}
        }
    }

    fn call_platform(
        &self,
        call: PlatformCallRef,
        source: PublishedResource,
        after: Revision,
        held: Revision,
        wait: DurationUs,
    ) {
        let platform = self.parts.platform.clone();
        let sender = Arc::clone(&self.parts.sender);
        self.parts.metrics.platform_calls.inc();
        self.pool.execute(move || {
            let answer = match source {
                PublishedResource::Lists => platform.lists(after, held, wait.into()),
                PublishedResource::Hosts => platform.hosts(held),
            };
            let event = match answer {
                Ok(answer) => Event::Answered { call, answer },
                Err(_) => Event::CallFailed { call },
            };
            sender(FeedEvent::Distribution(event));
        });
    }

    fn send_update(&mut self, follower: FollowerRef, update: &Update) {
        let message = self.to_wire(update);
        let Some(updates) = self.followers.get(&follower) else {
            return;
        };
        if updates.try_send(message).is_err() {
            self.followers.remove(&follower);
            self.left.push(follower);
        }
    }

    fn to_wire(&self, update: &Update) -> proto::PeerUpdate {
        let message = proto::PeerUpdate::from(update);
        let sent = self
            .parts
            .metrics
            .control_bytes
            .get_or_create_owned(&Label::new("direction", "sent"));
        sent.inc_by(message.encoded_len() as u64);
        message
    }

    fn publish(&self, now: TimeUs, update: &FeedUpdate) {
        let current = self.view.load();
        let is_ready = self.distribution.is_ready();
        let is_reader = self.distribution.is_watching();
        let has_changed = update.lists.is_some()
            || update.hosts.is_some()
            || update.confirmed_age_us.is_some()
            || current.is_ready != is_ready
            || current.is_reader != is_reader;
        if !has_changed {
            return;
        }
        let lists = self.distribution.lists();
        let confirmed_at_us = match update.confirmed_age_us {
            Some(age_us) => Some(now - age_us),
            None => current.confirmed_at_us,
        };
        self.view.store(Arc::new(FeedView {
            is_ready,
            keys: lists.keys().cloned().unwrap_or_default(),
            lists: lists.lists().cloned().unwrap_or_default(),
            hosts: self.distribution.hosts().cloned().unwrap_or_default(),
            confirmed_at_us,
            is_reader,
        }));
    }
}
