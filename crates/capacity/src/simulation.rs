//! Deterministic simulation of the distribution of lists: processes and a platform in simulated
//! time.
//!
//! The processes run the production decision code. A message takes a fixed time that depends on
//! whether it crosses regions. No message is lost. A stopped process becomes unresponsive and
//! refuses new connections.

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

/// Also applies to calls to the platform.
const SAME_REGION_LATENCY: DurationUs = DurationUs(1_500);
const CROSS_REGION_LATENCY: DurationUs = DurationUs::from_ms(20);
const REFUSAL_DELAY: DurationUs = DurationUs::from_ms(5);
const ALLOWANCES: &str = "schema = 1\n";

/// Message or timeout that is due at a process or at the platform.
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
    OpenStream {
        node: usize,
        follow: FollowRef,
        target: usize,
        revisions: Revisions,
    },
    CloseStream {
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

/// Call to the platform that waits for a revision newer than `after`.
#[derive(Clone, Copy)]
struct Watch {
    node: usize,
    call: PlatformCallRef,
    resource: PublishedResource,
    after: Revision,
    wait: DurationUs,
}

/// Open stream from a reader to a follower.
struct Stream {
    node: usize,
    follow: FollowRef,
    target: usize,
}

/// One simulated process.
pub(crate) struct Node {
    pub(crate) distribution: Distribution,
    pub(crate) is_running: bool,
    deadline: Option<TimeUs>,
    lists_active_at: BTreeMap<u64, TimeUs>,
    hosts_active_at: BTreeMap<Revision, TimeUs>,
    /// Bytes of updates that it sent to followers.
    pub(crate) sent_bytes: u64,
}

/// State of all processes, of the platform and of the messages in flight.
pub(crate) struct Simulation {
    pub(crate) now: TimeUs,
    pub(crate) nodes: Vec<Node>,
    pub(crate) hosts: HostList,
    /// Calls to the platform by second of simulated time; a watch that waits for one second counts
    /// as one call.
    pub(crate) calls: BTreeMap<u64, u64>,
    revision: u64,
    node_by_host: HashMap<HostId, usize>,
    queue: BTreeMap<(TimeUs, u64), Delivery>,
    timers: BTreeSet<(TimeUs, usize)>,
    sent_count: u64,
    waiting: Vec<Watch>,
    streams: HashMap<FollowerRef, Stream>,
    followers: HashMap<(usize, FollowRef), FollowerRef>,
}

impl Simulation {
    /// Creates processes that start at the same time.
    pub(crate) fn new(nodes_count: usize) -> Self {
        let hosts = hosts(nodes_count, 0, 1);
        let named = hosts.hosts.iter().enumerate();
        let mut simulation = Self {
            now: TimeUs(1_000_000),
            nodes: Vec::new(),
            calls: BTreeMap::new(),
            revision: 1,
            node_by_host: named.map(|(at, entry)| (entry.host.clone(), at)).collect(),
            hosts,
            queue: BTreeMap::new(),
            timers: BTreeSet::new(),
            sent_count: 0,
            waiting: Vec::new(),
            streams: HashMap::new(),
            followers: HashMap::new(),
        };
        simulation.nodes = (0..nodes_count)
            .map(|number| simulation.node(number))
            .collect();
        (0..nodes_count).for_each(|number| simulation.handle(number, Event::Start));
        simulation
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
            is_running: true,
            deadline: None,
            lists_active_at: BTreeMap::new(),
            hosts_active_at: BTreeMap::new(),
            sent_bytes: 0,
        }
    }

    /// Stops a process without notifying the others.
    pub(crate) fn stop(&mut self, host: &HostId) {
        let number = self.node_by_host[host];
        self.nodes[number].is_running = false;
        if let Some(at) = self.nodes[number].deadline.take() {
            self.timers.remove(&(at, number));
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

    /// Same as [`Simulation::slowest_lists_update`] for the host list.
    pub(crate) fn slowest_hosts_update(&self, since: TimeUs) -> Option<DurationUs> {
        let mut running = self.nodes.iter().filter(|node| node.is_running);
        running.try_fold(DurationUs::ZERO, |last, node| {
            let at = node.hosts_active_at.get(&self.hosts.revision)?;
            Some(last.max(at.since(since)))
        })
    }

    /// Time from `since`, when the newest lists were published, until the last running process put
    /// them into effect; `None` while a running process has not.
    pub(crate) fn slowest_lists_update(&self, since: TimeUs) -> Option<DurationUs> {
        let mut running = self.nodes.iter().filter(|node| node.is_running);
        running.try_fold(DurationUs::ZERO, |last, node| {
            let at = node.lists_active_at.get(&self.revision)?;
            Some(last.max(at.since(since)))
        })
    }

    /// Processes all messages and timers of the next `ms` milliseconds.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + DurationUs::from_ms(ms);
        loop {
            let message = self.queue.first_key_value().map(|(key, _)| key.0);
            let timer = self.timers.first().map(|timer| timer.0);
            let next = message.into_iter().chain(timer).min();
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            self.now = next.max(self.now);
            if message == Some(next) {
                self.deliver_first();
            } else if let Some((_, node)) = self.timers.first().copied() {
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
            Delivery::Watch(watch) => self.answer_watch(watch),
            Delivery::WatchEnd { node, call } => self.end_watch(node, call),
            Delivery::OpenStream {
                node,
                follow,
                target,
                revisions,
            } => {
                self.open_stream(node, follow, target, revisions);
            }
            Delivery::CloseStream { node, follow } => self.close_stream(node, follow),
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
        if !self.nodes[number].is_running {
            return;
        }
        let mut actions = Vec::new();
        let now = self.now;
        let node = &mut self.nodes[number];
        node.distribution.handle(now, event, &mut actions);
        let revision = node.distribution.lists().revision().0;
        node.lists_active_at.entry(revision).or_insert(now);
        let hosts = node.distribution.revisions().hosts;
        node.hosts_active_at.entry(hosts).or_insert(now);
        let deadline = node.distribution.next_deadline();
        if let Some(earlier) = std::mem::replace(&mut node.deadline, deadline) {
            self.timers.remove(&(earlier, number));
        }
        self.timers.extend(deadline.map(|at| (at, number)));
        for action in actions {
            self.perform(number, action);
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
            SAME_REGION_LATENCY
        } else {
            CROSS_REGION_LATENCY
        }
    }

    fn number_of(&self, peer: &Peer) -> usize {
        self.node_by_host[&peer.host]
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::WatchPlatform {
                call,
                resource,
                after,
                wait,
                ..
            } => {
                self.call_platform(Watch {
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
                self.call_platform(Watch {
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
                    Delivery::OpenStream {
                        node,
                        follow,
                        target,
                        revisions,
                    },
                );
            }
            Action::StopFollowing { follow } => {
                self.send(SAME_REGION_LATENCY, Delivery::CloseStream { node, follow })
            }
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
            Action::SendUpdate { follower, update } => self.send_update(node, follower, &update),
            Action::Refused { revision, findings } => panic!("{revision} refused: {findings}"),
            _ => {}
        }
    }

    fn call_platform(&mut self, watch: Watch) {
        *self.calls.entry(self.now.0 / 1_000_000).or_default() += 1;
        self.send(SAME_REGION_LATENCY, Delivery::Watch(watch));
    }

    fn answer_watch(&mut self, watch: Watch) {
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
        self.send(SAME_REGION_LATENCY, delivery);
    }

    fn end_watch(&mut self, node: usize, call: PlatformCallRef) {
        let is_same_call = |watch: &Watch| watch.node == node && watch.call == call;
        let Some(at) = self.waiting.iter().position(is_same_call) else {
            return;
        };
        let watch = self.waiting.swap_remove(at);
        let revision = self.published(watch.resource);
        let answer = PlatformResponse::Unchanged { revision };
        let event = Event::PlatformResponded { call, answer };
        self.send(SAME_REGION_LATENCY, Delivery::Event { node, event });
    }

    fn open_stream(&mut self, node: usize, follow: FollowRef, target: usize, revisions: Revisions) {
        if !self.nodes[target].is_running {
            let event = Event::FollowStreamClosed { follow };
            self.send(REFUSAL_DELAY, Delivery::Event { node, event });
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

    fn close_stream(&mut self, node: usize, follow: FollowRef) {
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
        if !self.nodes[target].is_running {
            let event = Event::PullFailed { pull };
            self.send(REFUSAL_DELAY, Delivery::Event { node, event });
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

    fn send_update(&mut self, node: usize, follower: FollowerRef, update: &Arc<Update>) {
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
