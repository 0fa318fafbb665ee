//! Processes and a platform on virtual time.
//!
//! The decision code of all processes is the product's; messages take a fixed time by distance.
//! Nothing is lost; a stopped process falls silent and refuses new connections.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use cuminlead_distribution::{
    Action, Distribution, Event, FollowRef, FollowerRef, Identity, PartEncoding, Peer,
    PlatformCallRef, PlatformResponse, PublishedResource, PullRef, Revisions, Update,
};
use cuminlead_lists::{HostList, HostState, Snapshot};
use cuminlead_types::{DurationUs, HostId, Revision, TimeUs};
use cuminlead_wire::proto;
use prost::Message;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fixture::{hosts, part, plans_text};

const NEAR: DurationUs = DurationUs(1_500);
const FAR: DurationUs = DurationUs::from_ms(20);
const REFUSED_AFTER: DurationUs = DurationUs::from_ms(5);
const ALLOWANCES: &str = "schema = 1\n";

/// What arrives at a process or at the platform.
enum Delivery {
    Event {
        node: usize,
        event: Event,
    },
    Hosts {
        node: usize,
        call: PlatformCallRef,
    },
    Lists {
        node: usize,
        call: PlatformCallRef,
    },
    Watch(Watch),
    WatchEnd {
        node: usize,
        call: PlatformCallRef,
    },
    Open {
        node: usize,
        follow: FollowRef,
        target: usize,
        revisions: Revisions,
    },
    Close {
        node: usize,
        follow: FollowRef,
    },
    Pull {
        node: usize,
        pull: PullRef,
        target: usize,
        since: Revisions,
        encoding: PartEncoding,
    },
}

/// Call to the platform.
#[derive(Clone, Copy)]
struct Watch {
    node: usize,
    call: PlatformCallRef,
    resource: PublishedResource,
    after: Revision,
    wait: DurationUs,
}

/// Open stream between two processes.
struct Stream {
    node: usize,
    follow: FollowRef,
    target: usize,
}

/// One process.
pub(crate) struct Node {
    pub(crate) distribution: Distribution,
    pub(crate) is_up: bool,
    deadline: Option<TimeUs>,
    in_force_at: BTreeMap<u64, TimeUs>,
    hosts_in_use_at: BTreeMap<Revision, TimeUs>,
    /// Bytes of updates that it sent.
    pub(crate) sent_bytes: u64,
}

/// Processes, platform and messages under way.
pub(crate) struct World {
    pub(crate) now: TimeUs,
    pub(crate) nodes: Vec<Node>,
    pub(crate) hosts: HostList,
    /// Calls to the platform by second; a waiting watch of one second is one call.
    pub(crate) calls: BTreeMap<u64, u64>,
    revision: u64,
    by_host: HashMap<HostId, usize>,
    queue: BTreeMap<(TimeUs, u64), Delivery>,
    ticks: BTreeSet<(TimeUs, usize)>,
    sent_count: u64,
    waiting: Vec<Watch>,
    streams: HashMap<FollowerRef, Stream>,
    followers: HashMap<(usize, FollowRef), FollowerRef>,
}

impl World {
    /// Processes that start together.
    pub(crate) fn new(nodes_count: usize) -> Self {
        let hosts = hosts(nodes_count, 0, 1);
        let named = hosts.hosts.iter().enumerate();
        let mut world = Self {
            now: TimeUs(1_000_000),
            nodes: Vec::new(),
            calls: BTreeMap::new(),
            revision: 1,
            by_host: named.map(|(at, entry)| (entry.host.clone(), at)).collect(),
            hosts,
            queue: BTreeMap::new(),
            ticks: BTreeSet::new(),
            sent_count: 0,
            waiting: Vec::new(),
            streams: HashMap::new(),
            followers: HashMap::new(),
        };
        world.nodes = (0..nodes_count).map(|number| world.node(number)).collect();
        (0..nodes_count).for_each(|number| world.handle(number, Event::Start));
        world
    }

    fn node(&self, number: usize) -> Node {
        let entry = &self.hosts.hosts[number];
        let own = Identity {
            host: entry.host.clone(),
            region: entry.region.clone(),
            zone: entry.zone.clone(),
        };
        Node {
            distribution: Distribution::new(own, StdRng::seed_from_u64(number as u64)),
            is_up: true,
            deadline: None,
            in_force_at: BTreeMap::new(),
            hosts_in_use_at: BTreeMap::new(),
            sent_bytes: 0,
        }
    }

    /// Stops a process without a word.
    pub(crate) fn stop(&mut self, host: &HostId) {
        let number = self.by_host[host];
        self.nodes[number].is_up = false;
        if let Some(at) = self.nodes[number].deadline.take() {
            self.ticks.remove(&(at, number));
        }
    }

    /// Publishes the next revision of the lists and answers the waiting watches.
    pub(crate) fn publish(&mut self) {
        self.revision += 1;
        let (lists, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|watch| watch.resource == PublishedResource::Lists);
        self.waiting = others;
        for watch in lists {
            self.answer_changed(watch);
        }
    }

    /// Publishes the next host list, in which the last host changes between live and leaving.
    pub(crate) fn publish_hosts(&mut self) {
        self.hosts.revision = Revision(self.hosts.revision.0 + 1);
        if let Some(last) = self.hosts.hosts.last_mut() {
            last.state = match last.state {
                HostState::Live => HostState::Leaving,
                HostState::Leaving => HostState::Live,
            };
        }
    }

    /// The same as [`World::last_in_force`] for the host list.
    pub(crate) fn last_with_hosts(&self, since: TimeUs) -> Option<DurationUs> {
        let mut up = self.nodes.iter().filter(|node| node.is_up);
        up.try_fold(DurationUs::ZERO, |last, node| {
            let at = node.hosts_in_use_at.get(&self.hosts.revision)?;
            Some(last.max(at.since(since)))
        })
    }

    /// Time from now back to when the newest lists came in force at the last running process, or
    /// nothing while one of them is behind; `since` is the time of publishing.
    pub(crate) fn last_in_force(&self, since: TimeUs) -> Option<DurationUs> {
        let mut up = self.nodes.iter().filter(|node| node.is_up);
        up.try_fold(DurationUs::ZERO, |last, node| {
            let at = node.in_force_at.get(&self.revision)?;
            Some(last.max(at.since(since)))
        })
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + DurationUs::from_ms(ms);
        loop {
            let message = self.queue.first_key_value().map(|(key, _)| key.0);
            let tick = self.ticks.first().map(|tick| tick.0);
            let next = message.into_iter().chain(tick).min();
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            self.now = next.max(self.now);
            if message == Some(next) {
                self.deliver_first();
            } else if let Some((_, node)) = self.ticks.first().copied() {
                self.handle(node, Event::Tick);
            }
        }
        self.now = end;
    }

    fn deliver_first(&mut self) {
        let Some((_, delivery)) = self.queue.pop_first() else {
            return;
        };
        match delivery {
            Delivery::Event { node, event } => self.handle(node, event),
            Delivery::Hosts { node, call } => {
                let answer = PlatformResponse::Hosts(self.hosts.clone());
                self.handle(node, Event::PlatformResponded { call, answer });
            }
            Delivery::Lists { node, call } => {
                let answer = PlatformResponse::Lists(self.snapshot());
                self.handle(node, Event::PlatformResponded { call, answer });
            }
            Delivery::Watch(watch) => self.serve(watch),
            Delivery::WatchEnd { node, call } => self.end_watch(node, call),
            Delivery::Open {
                node,
                follow,
                target,
                revisions,
            } => {
                self.open(node, follow, target, revisions);
            }
            Delivery::Close { node, follow } => self.close(node, follow),
            Delivery::Pull {
                node,
                pull,
                target,
                since,
                encoding,
            } => self.pull(node, pull, target, since, encoding),
        }
    }

    fn snapshot(&self) -> Snapshot {
        let plans = part("plans/base", self.revision, plans_text());
        let allowances = part("allowances/base", 1, ALLOWANCES.to_string());
        Snapshot::new(Revision(self.revision), [plans, allowances])
    }

    fn handle(&mut self, number: usize, event: Event) {
        if !self.nodes[number].is_up {
            return;
        }
        let mut actions = Vec::new();
        let now = self.now;
        let node = &mut self.nodes[number];
        node.distribution.handle(now, event, &mut actions);
        let revision = node.distribution.lists().revision().0;
        node.in_force_at.entry(revision).or_insert(now);
        let hosts = node.distribution.revisions().hosts;
        node.hosts_in_use_at.entry(hosts).or_insert(now);
        let deadline = node.distribution.next_deadline();
        if let Some(earlier) = std::mem::replace(&mut node.deadline, deadline) {
            self.ticks.remove(&(earlier, number));
        }
        self.ticks.extend(deadline.map(|at| (at, number)));
        for action in actions {
            self.act(number, action);
        }
    }

    fn send(&mut self, delay: DurationUs, delivery: Delivery) {
        self.sent_count += 1;
        self.queue
            .insert((self.now + delay, self.sent_count), delivery);
    }

    fn latency(&self, one: usize, other: usize) -> DurationUs {
        let region = |number: usize| &self.hosts.hosts[number].region;
        if region(one) == region(other) {
            NEAR
        } else {
            FAR
        }
    }

    fn number_of(&self, peer: &Peer) -> usize {
        self.by_host[&peer.host]
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::WatchPlatform {
                call,
                resource,
                after,
                wait,
                ..
            } => {
                self.call(Watch {
                    node,
                    call,
                    resource,
                    after,
                    wait,
                });
            }
            Action::QueryPlatform {
                call,
                resource,
                after,
                ..
            } => {
                let wait = DurationUs::ZERO;
                self.call(Watch {
                    node,
                    call,
                    resource,
                    after,
                    wait,
                });
            }
            Action::StopPlatformCall { call } => {
                self.waiting
                    .retain(|watch| watch.node != node || watch.call != call);
            }
            Action::FollowPeer {
                follow,
                peer,
                revisions,
            } => {
                let target = self.number_of(&peer);
                let delay = self.latency(node, target);
                self.send(
                    delay,
                    Delivery::Open {
                        node,
                        follow,
                        target,
                        revisions,
                    },
                );
            }
            Action::StopFollowing { follow } => self.send(NEAR, Delivery::Close { node, follow }),
            Action::PullFromPeer {
                pull,
                peer,
                since,
                encoding,
            } => {
                let target = self.number_of(&peer);
                let delay = self.latency(node, target);
                self.send(
                    delay,
                    Delivery::Pull {
                        node,
                        pull,
                        target,
                        since,
                        encoding,
                    },
                );
            }
            Action::SendUpdate { follower, update } => self.update(node, follower, &update),
            Action::Refused { revision, findings } => panic!("{revision} refused: {findings}"),
            _ => {}
        }
    }

    fn call(&mut self, watch: Watch) {
        *self.calls.entry(self.now.0 / 1_000_000).or_default() += 1;
        self.send(NEAR, Delivery::Watch(watch));
    }

    fn serve(&mut self, watch: Watch) {
        let revision = self.published(watch.resource);
        if revision > watch.after {
            self.answer_changed(watch);
            return;
        }
        let Watch {
            node, call, wait, ..
        } = watch;
        self.waiting.push(watch);
        self.send(wait, Delivery::WatchEnd { node, call });
    }

    fn published(&self, resource: PublishedResource) -> Revision {
        match resource {
            PublishedResource::Lists => Revision(self.revision),
            PublishedResource::Hosts => self.hosts.revision,
        }
    }

    fn answer_changed(&mut self, watch: Watch) {
        let Watch { node, call, .. } = watch;
        let delivery = match watch.resource {
            PublishedResource::Lists => Delivery::Lists { node, call },
            PublishedResource::Hosts => Delivery::Hosts { node, call },
        };
        self.send(NEAR, delivery);
    }

    fn end_watch(&mut self, node: usize, call: PlatformCallRef) {
        let is_it = |watch: &Watch| watch.node == node && watch.call == call;
        let Some(at) = self.waiting.iter().position(is_it) else {
            return;
        };
        let watch = self.waiting.swap_remove(at);
        let revision = self.published(watch.resource);
        let answer = PlatformResponse::Unchanged { revision };
        let event = Event::PlatformResponded { call, answer };
        self.send(NEAR, Delivery::Event { node, event });
    }

    fn open(&mut self, node: usize, follow: FollowRef, target: usize, revisions: Revisions) {
        if !self.nodes[target].is_up {
            let event = Event::FollowStreamClosed { follow };
            self.send(REFUSED_AFTER, Delivery::Event { node, event });
            return;
        }
        self.sent_count += 1;
        let follower = FollowerRef(self.sent_count);
        self.streams.insert(
            follower,
            Stream {
                node,
                follow,
                target,
            },
        );
        self.followers.insert((node, follow), follower);
        let peer = self.nodes[target]
            .distribution
            .peer_on(&self.hosts.hosts[node].host);
        let joined = Event::FollowerJoined {
            follower,
            revisions,
            encoding: PartEncoding::Patch,
            peer,
        };
        self.handle(target, joined);
    }

    fn close(&mut self, node: usize, follow: FollowRef) {
        let follower = self.followers.remove(&(node, follow));
        let Some(follower) = follower else {
            return;
        };
        if let Some(stream) = self.streams.remove(&follower) {
            self.handle(stream.target, Event::FollowerLeft { follower });
        }
    }

    fn pull(
        &mut self,
        node: usize,
        pull: PullRef,
        target: usize,
        since: Revisions,
        encoding: PartEncoding,
    ) {
        if !self.nodes[target].is_up {
            let event = Event::PullFailed { pull };
            self.send(REFUSED_AFTER, Delivery::Event { node, event });
            return;
        }
        let distribution = &self.nodes[target].distribution;
        let update = distribution.update_since(self.now, since, encoding);
        let peer = distribution.peer_on(&self.hosts.hosts[node].host);
        let seen = Event::RevisionsSeen {
            revisions: since,
            peer,
        };
        self.handle(target, seen);
        let delay = self.latency(node, target);
        let event = Event::PullReply { pull, update };
        self.send(delay, Delivery::Event { node, event });
    }

    fn update(&mut self, node: usize, follower: FollowerRef, update: &Arc<Update>) {
        let size = proto::PeerUpdate::from(update.as_ref()).encoded_len();
        self.nodes[node].sent_bytes += size as u64;
        let Some(stream) = self.streams.get(&follower) else {
            return;
        };
        let (target, follow) = (stream.node, stream.follow);
        let update = Update::clone(update);
        let delay = self.latency(node, target);
        let event = Event::FollowUpdate { follow, update };
        self.send(
            delay,
            Delivery::Event {
                node: target,
                event,
            },
        );
    }
}
