//! Lists and host list of this process, kept current from the platform and peers.
//!
//! The feed is owned by the control thread and performs the actions that `Distribution` returns.
//! Calls to the platform block on pool threads; streams between processes run on the tokio runtime.
//! Both report their results as [`FeedEvent`]s. The current state is also published as a
//! [`FeedView`], so that traffic threads check plans without a query to the control thread.

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

/// Threads for calls to the platform: two watches, and abandoned calls that have not returned yet.
const PLATFORM_THREADS: usize = 8;

/// Updates queued for one follower. A follower that falls further behind is disconnected and
/// reconnects.
pub const FOLLOWER_QUEUE_UPDATES: usize = 16;

/// Event that the feed handles on the control thread.
#[derive(Debug)]
pub enum FeedEvent {
    /// Input of `Distribution`.
    Distribution(Event),
    /// A peer opened a stream to follow this process.
    FollowerConnected {
        /// Host of the peer.
        host: String,
        /// Revisions that the peer has.
        revisions: Revisions,
        /// Encoding of changed parts that the peer accepts.
        encoding: PartEncoding,
        /// Queue of updates for the stream.
        updates: mpsc::Sender<proto::PeerUpdate>,
    },
    /// A peer requests the changes since its revisions.
    Pull {
        /// Host of the peer.
        host: String,
        /// Revisions that the peer has.
        revisions: Revisions,
        /// Requested encoding of changed parts.
        encoding: PartEncoding,
        /// Channel for the reply.
        reply: oneshot::Sender<proto::PeerUpdate>,
    },
}

/// Callback that sends the feed's events to the control thread.
pub type FeedSender = Arc<dyn Fn(FeedEvent) + Send + Sync>;

/// Changes caused by one event.
#[derive(Clone, Debug, Default)]
pub struct FeedUpdate {
    /// Lists that became active.
    pub lists: Option<Arc<Lists>>,
    /// Host list that became current.
    pub hosts: Option<Arc<HostList>>,
    /// Staleness of the active lists (time since they were the newest on the platform); set when
    /// they are confirmed as the newest again.
    pub confirmed_age_us: Option<DurationUs>,
    /// Findings of an invalid snapshot that was not installed.
    pub refused: Option<Findings>,
}

/// State of the feed for other threads.
#[derive(Clone, Debug, Default)]
pub struct FeedView {
    /// Whether the process has the newest lists that it can obtain and may accept requests.
    pub is_ready: bool,
    /// Customer keys of the active lists.
    pub keys: Arc<CustomerKeys>,
    /// Active lists; empty before the first snapshot.
    pub lists: Arc<Lists>,
    /// Current host list; empty before the first one.
    pub hosts: Arc<HostList>,
    /// Time at which the lists were last confirmed as the newest; `None` before the first
    /// confirmation.
    pub confirmed_at_us: Option<TimeUs>,
    /// Whether this process watches the platform for its zone.
    pub is_reader: bool,
}

/// Arguments of [`Feed::new`].
pub struct FeedParts {
    /// Host, region and availability zone of this process.
    pub identity: Identity,
    /// Seed of the jitter in the distribution's timing.
    pub seed: u64,
    /// Interval at which a follower requests a confirmation that its lists are the newest.
    pub confirm_interval_us: DurationUs,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Client of other processes.
    pub peers: PeerClient,
    /// Runtime of the streams between processes.
    pub runtime: Handle,
    /// Callback for the feed's events.
    pub sender: FeedSender,
    /// Metrics that the feed updates.
    pub metrics: CommonMetrics,
}

/// Keeps the lists and the host list of this process current.
pub struct Feed {
    parts: FeedParts,
    pool: WorkerPool,
    distribution: Distribution,
    follow_tasks: HashMap<FollowRef, AbortHandle>,
    followers: HashMap<FollowerRef, mpsc::Sender<proto::PeerUpdate>>,
    next_follower_number: u64,
    /// Followers whose stream is closed or whose queue is full, not yet reported to `distribution`.
    disconnected: Vec<FollowerRef>,
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
    /// Feed without lists and hosts.
    pub fn new(parts: FeedParts) -> Self {
        let rng = StdRng::seed_from_u64(parts.seed);
        Self {
            pool: WorkerPool::new("platform", PLATFORM_THREADS),
            distribution: Distribution::new(parts.identity.clone(), rng)
                .with_confirm_interval(parts.confirm_interval_us),
            follow_tasks: HashMap::new(),
            followers: HashMap::new(),
            next_follower_number: 0,
            disconnected: Vec::new(),
            view: Arc::default(),
            parts,
        }
    }

    /// Published state, updated after each event that changes it.
    pub fn view(&self) -> Arc<ArcSwap<FeedView>> {
        Arc::clone(&self.view)
    }

    /// Starts to fetch lists and hosts.
    pub fn start(&mut self, now: TimeUs) -> FeedUpdate {
        self.dispatch(now, Event::Start)
    }

    /// Handles an event and returns the changes that it caused.
    pub fn handle(&mut self, now: TimeUs, event: FeedEvent) -> FeedUpdate {
        match event {
            FeedEvent::Distribution(event) => self.dispatch(now, event),
            FeedEvent::FollowerConnected {
                host,
                revisions,
                encoding,
                updates,
            } => {
                let follower = FollowerRef(self.next_follower_number);
                self.next_follower_number += 1;
                self.followers.insert(follower, updates);
                let peer = self.peer_at_host(&host);
                self.dispatch(
                    now,
                    Event::FollowerJoined {
                        follower,
                        revisions,
                        encoding,
                        peer,
                    },
                )
            }
            FeedEvent::Pull {
                host,
                revisions,
                encoding,
                reply,
            } => {
                let update = self.distribution.update_since(now, revisions, encoding);
                // Fails if the requesting peer has disconnected.
                let _ = reply.send(self.to_wire(&update));
                // The requesting peer may have a newer revision.
                let peer = self.peer_at_host(&host);
                self.dispatch(now, Event::RevisionsSeen { revisions, peer })
            }
        }
    }

    /// Handles timers that are due.
    pub fn tick(&mut self, now: TimeUs) -> FeedUpdate {
        self.dispatch(now, Event::Tick)
    }

    /// Latest time for the next call of `tick`; `None` without timers.
    pub fn next_deadline(&self) -> Option<TimeUs> {
        self.distribution.next_deadline()
    }

    /// Staleness of the active lists: time since they were confirmed as the newest.
    pub fn confirmed_age(&self, now: TimeUs) -> DurationUs {
        self.distribution.confirmed_age(now)
    }

    fn peer_at_host(&self, host: &str) -> Option<Peer> {
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

    fn dispatch(&mut self, now: TimeUs, event: Event) -> FeedUpdate {
        let mut actions = Vec::new();
        self.distribution.handle(now, event, &mut actions);
        let mut update = FeedUpdate::default();
        for action in actions {
            self.apply_action(action, &mut update);
        }
        for follower in std::mem::take(&mut self.disconnected) {
            // The removal of a follower causes no action that could fail in turn.
            self.distribution
                .handle(now, Event::FollowerLeft { follower }, &mut Vec::new());
        }
        let age_ms = i64::try_from(self.confirmed_age(now).as_ms()).unwrap_or(i64::MAX);
        self.parts.metrics.confirmed_age_ms.set(age_ms);
        self.publish(now, &update);
        update
    }

    fn apply_action(&mut self, action: Action, update: &mut FeedUpdate) {
        match action {
            Action::WatchPlatform {
                call,
                resource,
                after,
                active_revision,
                wait,
            } => {
                self.call_platform(call, resource, after, active_revision, wait);
            }
            Action::QueryPlatform {
                call,
                resource,
                after,
                active_revision,
            } => {
                self.call_platform(call, resource, after, active_revision, DurationUs::ZERO);
            }
            // The blocking call cannot be cancelled; `Distribution` ignores its result.
            Action::StopPlatformCall { .. } => {}
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
                self.follow_tasks.insert(follow, handle);
            }
            Action::StopFollowing { follow } => {
                if let Some(task) = self.follow_tasks.remove(&follow) {
                    task.abort();
                }
            }
            Action::PullFromPeer {
                pull,
                peer,
                since,
                encoding,
            } => {
                let sender = Arc::clone(&self.parts.sender);
                let pending_reply = self.parts.peers.pull(
                    peer.address,
                    since,
                    encoding,
                    self.parts.metrics.clone(),
                );
                self.parts.runtime.spawn(async move {
                    let event = match pending_reply.await {
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
        resource: PublishedResource,
        after: Revision,
        active_revision: Revision,
        wait: DurationUs,
    ) {
        let platform = self.parts.platform.clone();
        let sender = Arc::clone(&self.parts.sender);
        self.parts.metrics.platform_calls.inc();
        self.pool.execute(move || {
            let answer = match resource {
                PublishedResource::Lists => platform.lists(after, active_revision, wait.into()),
                PublishedResource::Hosts => platform.hosts(active_revision),
            };
            let event = match answer {
                Ok(answer) => Event::PlatformResponded { call, answer },
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
            self.disconnected.push(follower);
        }
    }

    fn to_wire(&self, update: &Update) -> proto::PeerUpdate {
        let message = proto::PeerUpdate::from(update);
        let sent_bytes = self
            .parts
            .metrics
            .control_bytes
            .get_or_create_owned(&Label::new("direction", "sent"));
        sent_bytes.inc_by(message.encoded_len() as u64);
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
