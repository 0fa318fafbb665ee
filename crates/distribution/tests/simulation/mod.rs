//! Simulation of a few processes and a platform, connected by a message queue.
//!
//! The queue can lose messages, interrupt connections and stop processes. The simulation checks at
//! every step that no revision decreases and that the next deadline is in the future.

mod platform;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cuminlead_distribution::{
    Action, Distribution, Event, FollowRef, FollowerRef, Identity, PartEncoding, Peer,
    PublishedResource, PullRef, Revisions, Update,
};
use cuminlead_lists::{HostList, HostState};
use cuminlead_types::{DurationUs, Revision, TimeUs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use platform::PlatformCall;
pub(crate) use platform::host;

const REFUSED_DELAY: DurationUs = DurationUs::from_ms(5);

/// Message in transit to a process or to the platform.
enum Delivery {
    ToNode {
        node: usize,
        incarnation: u32,
        event: Event,
    },
    Service(PlatformCall),
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

/// Open stream between two processes.
struct Stream {
    node: usize,
    follow: FollowRef,
    is_unresponsive: bool,
}

pub(crate) struct Node {
    pub(crate) distribution: Distribution,
    pub(crate) is_up: bool,
    incarnation: u32,
    /// Time of the next tick, unless the process is paused then.
    deadline: Option<TimeUs>,
    /// Time until which the process is paused.
    resumes_at: TimeUs,
    pub(crate) queries: Vec<TimeUs>,
    pub(crate) watches: Vec<TimeUs>,
    /// Times of regular reads of the host list, without single queries.
    pub(crate) host_readings: Vec<TimeUs>,
}

impl Node {
    fn next_deadline(&self) -> Option<TimeUs> {
        self.deadline.map(|deadline| deadline.max(self.resumes_at))
    }
}

/// Processes, platform and message queue.
pub(crate) struct Simulation {
    pub(crate) now: TimeUs,
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss: f64,
    pub(crate) lists_revision: u64,
    /// Lists revisions that a stale replica serves, by process.
    pub(crate) stale_revisions: BTreeMap<usize, u64>,
    pub(crate) hosts: HostList,
    /// Earlier host lists, from which the platform computes changes.
    earlier_hosts: Vec<HostList>,
    /// Host lists that a stale replica serves, by process.
    stale_hosts: BTreeMap<usize, HostList>,
    pub(crate) is_lists_down: bool,
    /// Revisions of the lists whose snapshot is invalid.
    pub(crate) invalid: BTreeSet<u64>,
    pub(crate) refused_count: usize,
    /// Processes that cannot reach the platform.
    pub(crate) cut_from_platform: BTreeSet<usize>,
    /// Processes that cannot reach other processes or be reached by them.
    pub(crate) cut_from_peers: BTreeSet<usize>,
    rng: StdRng,
    queue: BTreeMap<(TimeUs, u64), Delivery>,
    sent_count: u64,
    streams: BTreeMap<FollowerRef, Stream>,
}

impl Simulation {
    /// Starts all processes at the same time; the platform serves revision 1.
    pub(crate) fn new(nodes_count: usize, zones_count: usize, seed: u64) -> Self {
        let hosts = (0..nodes_count).map(|number| host(number, zones_count));
        let mut simulation = Self {
            now: TimeUs(1_000_000),
            nodes: Vec::new(),
            loss: 0.0,
            lists_revision: 1,
            stale_revisions: BTreeMap::new(),
            hosts: HostList {
                revision: Revision(1),
                hosts: hosts.collect(),
            },
            earlier_hosts: Vec::new(),
            stale_hosts: BTreeMap::new(),
            is_lists_down: false,
            invalid: BTreeSet::new(),
            refused_count: 0,
            cut_from_platform: BTreeSet::new(),
            cut_from_peers: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sent_count: 0,
            streams: BTreeMap::new(),
        };
        for number in 0..nodes_count {
            let distribution = simulation.new_distribution(number);
            simulation.nodes.push(Node {
                distribution,
                is_up: true,
                incarnation: 0,
                deadline: None,
                resumes_at: TimeUs::ZERO,
                queries: Vec::new(),
                watches: Vec::new(),
                host_readings: Vec::new(),
            });
        }
        (0..nodes_count).for_each(|number| simulation.handle(number, Event::Start));
        simulation
    }

    fn new_distribution(&mut self, number: usize) -> Distribution {
        let entry = &self.hosts.hosts[number];
        let local = Identity {
            host: entry.host.clone(),
            region: entry.region.clone(),
            zone: entry.zone.clone(),
        };
        Distribution::new(local, StdRng::seed_from_u64(self.rng.random()))
    }

    /// Stops a process without notice: open connections become unresponsive, new ones are refused.
    pub(crate) fn stop(&mut self, number: usize) {
        self.nodes[number].is_up = false;
    }

    /// Pauses a process; messages to it wait until it resumes.
    pub(crate) fn pause(&mut self, number: usize, ms: u64) {
        self.nodes[number].resumes_at = self.now + DurationUs::from_ms(ms);
    }

    /// Replaces a process by a newly started one.
    pub(crate) fn restart(&mut self, number: usize) {
        let distribution = self.new_distribution(number);
        let node = &mut self.nodes[number];
        node.distribution = distribution;
        node.is_up = true;
        node.incarnation += 1;
        node.queries.clear();
        self.handle(number, Event::Start);
    }

    /// Makes a replica that stays at the current revisions serve these processes.
    pub(crate) fn serve_stale(&mut self, numbers: &[usize]) {
        let revision = self.lists_revision;
        let stale = numbers.iter().map(|number| (*number, revision));
        self.stale_revisions.extend(stale);
        let hosts = numbers.iter().map(|number| (*number, self.hosts.clone()));
        self.stale_hosts.extend(hosts);
    }

    /// Publishes the next revision of the lists; waiting watches see it when they next check.
    pub(crate) fn publish(&mut self) {
        self.lists_revision += 1;
    }

    /// Publishes the next host list, in which these hosts are leaving.
    pub(crate) fn publish_leaving(&mut self, numbers: &[usize]) {
        self.earlier_hosts.push(self.hosts.clone());
        for number in numbers {
            self.hosts.hosts[*number].state = HostState::Leaving;
        }
        self.hosts.revision = Revision(self.hosts.revision.get() + 1);
    }

    /// Running processes whose host list is not the newest.
    pub(crate) fn nodes_behind_on_hosts(&self) -> Vec<usize> {
        let newest = self.hosts.revision;
        let is_behind = |node: &Node| node.distribution.revisions().hosts < newest;
        let numbers = 0..self.nodes.len();
        let up = numbers.filter(|number| self.nodes[*number].is_up);
        up.filter(|number| is_behind(&self.nodes[*number]))
            .collect()
    }

    /// Running processes that watch the platform.
    pub(crate) fn watching_nodes(&self) -> Vec<usize> {
        let is_watching = |node: &Node| node.is_up && node.distribution.is_watching();
        let numbers = 0..self.nodes.len();
        numbers
            .filter(|number| is_watching(&self.nodes[*number]))
            .collect()
    }

    /// Number of running processes that read the host list.
    pub(crate) fn hosts_readers_count(&self) -> usize {
        let is_reading = |node: &&Node| node.is_up && node.distribution.is_reading_hosts();
        self.nodes.iter().filter(is_reading).count()
    }

    /// Revision of the active lists at a process.
    pub(crate) fn revision(&self, number: usize) -> u64 {
        self.nodes[number].distribution.lists().revision().get()
    }

    /// Running processes whose lists are not the newest.
    pub(crate) fn nodes_behind(&self) -> Vec<usize> {
        let numbers = 0..self.nodes.len();
        let up = numbers.filter(|number| self.nodes[*number].is_up);
        up.filter(|number| self.revision(*number) < self.lists_revision)
            .collect()
    }

    /// Advances the simulation by `ms` milliseconds.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + DurationUs::from_ms(ms);
        while let Some(next) = self.next_time().filter(|next| *next <= end) {
            assert!(next >= self.now, "next event is in the past");
            self.now = next;
            if self
                .queue
                .first_key_value()
                .is_some_and(|(key, _)| key.0 <= next)
            {
                let (_, delivery) = self.queue.pop_first().expect("first");
                self.deliver(delivery);
            } else {
                self.tick_due();
            }
        }
        self.now = end;
    }

    fn next_time(&self) -> Option<TimeUs> {
        let up = self.nodes.iter().filter(|node| node.is_up);
        let deadlines = up.filter_map(Node::next_deadline);
        deadlines.chain(self.queue.keys().map(|key| key.0)).min()
    }

    fn tick_due(&mut self) {
        for number in 0..self.nodes.len() {
            let node = &self.nodes[number];
            let due = node.next_deadline();
            if node.is_up && due.is_some_and(|due| due <= self.now) {
                self.handle(number, Event::Tick);
                let next = self.nodes[number].distribution.next_deadline();
                assert!(
                    next.is_none_or(|next| next > self.now),
                    "next deadline is not in the future"
                );
            }
        }
    }

    fn handle(&mut self, number: usize, event: Event) {
        let mut actions = Vec::new();
        let distribution = &mut self.nodes[number].distribution;
        let before = distribution.revisions();
        distribution.handle(self.now, event, &mut actions);
        let after = distribution.revisions();
        self.nodes[number].deadline = self.nodes[number].distribution.next_deadline();
        assert!(
            before.lists <= after.lists && before.hosts <= after.hosts,
            "active revision decreased"
        );
        actions
            .into_iter()
            .for_each(|action| self.execute(number, action));
    }

    fn send(&mut self, delay: DurationUs, delivery: Delivery) {
        self.sent_count += 1;
        self.queue
            .insert((self.now + delay, self.sent_count), delivery);
    }

    fn latency(&mut self) -> DurationUs {
        DurationUs(self.rng.random_range(1_500..20_000))
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }

    fn can_reach(&self, one: usize, other: usize) -> bool {
        !self.cut_from_peers.contains(&one) && !self.cut_from_peers.contains(&other)
    }

    fn number_of(&self, peer: &Peer) -> usize {
        let mut hosts = self.hosts.hosts.iter();
        hosts
            .position(|entry| entry.address == peer.address)
            .expect("known peer")
    }

    fn reply(&mut self, node: usize, event: Event) {
        let incarnation = self.nodes[node].incarnation;
        let delay = self.latency();
        self.send(
            delay,
            Delivery::ToNode {
                node,
                incarnation,
                event,
            },
        );
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::WatchPlatform {
                call,
                resource,
                after,
                active_revision,
                wait,
            } => {
                if resource == PublishedResource::Hosts {
                    self.nodes[node].host_readings.push(self.now);
                }
                self.nodes[node].watches.push(self.now);
                let until = self.now + wait;
                self.call_platform(PlatformCall {
                    node,
                    call,
                    resource,
                    after,
                    active_revision,
                    until,
                });
            }
            Action::QueryPlatform {
                call,
                resource,
                after,
                active_revision,
            } => {
                self.nodes[node].queries.push(self.now);
                let until = self.now;
                self.call_platform(PlatformCall {
                    node,
                    call,
                    resource,
                    after,
                    active_revision,
                    until,
                });
            }
            Action::FollowPeer {
                follow,
                peer,
                revisions,
            } => {
                let target = self.number_of(&peer);
                self.send_to_peer(
                    node,
                    Delivery::Open {
                        node,
                        follow,
                        target,
                        revisions,
                    },
                );
            }
            Action::StopFollowing { follow } => {
                self.send_to_peer(node, Delivery::Close { node, follow });
            }
            Action::PullFromPeer {
                pull,
                peer,
                since,
                encoding,
            } => {
                let target = self.number_of(&peer);
                self.send_to_peer(
                    node,
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
            Action::Refused { revision, findings } => {
                let is_expected = self.invalid.contains(&revision.get());
                assert!(is_expected, "{revision} refused: {findings}");
                self.refused_count += 1;
            }
            _ => {}
        }
    }

    fn call_platform(&mut self, platform_call: PlatformCall) {
        if !self.is_lost() && !self.cut_from_platform.contains(&platform_call.node) {
            let delay = self.latency();
            self.send(delay, Delivery::Service(platform_call));
        }
    }

    fn send_to_peer(&mut self, _node: usize, delivery: Delivery) {
        if !self.is_lost() {
            let delay = self.latency();
            self.send(delay, delivery);
        }
    }

    /// A lost message makes its stream unresponsive for good, as can happen to an open connection.
    fn update(&mut self, node: usize, follower: FollowerRef, update: &Arc<Update>) {
        let is_lost = self.is_lost();
        let Some(stream) = self.streams.get_mut(&follower) else {
            return;
        };
        stream.is_unresponsive |= is_lost;
        let (target, follow) = (stream.node, stream.follow);
        if stream.is_unresponsive || !self.can_reach(node, target) {
            return;
        }
        let update = Update::clone(update);
        self.reply(target, Event::FollowUpdate { follow, update });
    }

    fn deliver(&mut self, delivery: Delivery) {
        let receiver = match &delivery {
            Delivery::ToNode { node, .. } => Some(*node),
            Delivery::Open { target, .. } | Delivery::Pull { target, .. } => Some(*target),
            Delivery::Service(_) | Delivery::Close { .. } => None,
        };
        let resumes_at = receiver.map_or(TimeUs::ZERO, |node| self.nodes[node].resumes_at);
        if self.now < resumes_at {
            self.send(resumes_at.since(self.now), delivery);
            return;
        }
        match delivery {
            Delivery::ToNode {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].is_up && self.nodes[node].incarnation == incarnation {
                    self.handle(node, event);
                }
            }
            Delivery::Service(platform_call) => self.serve_call(platform_call),
            Delivery::Open {
                node,
                follow,
                target,
                revisions,
            } => {
                self.open(node, follow, target, revisions);
            }
            Delivery::Close { node, follow } => {
                let is_closed = |stream: &Stream| stream.node == node && stream.follow == follow;
                self.streams.retain(|_, stream| !is_closed(stream));
            }
            Delivery::Pull {
                node,
                pull,
                target,
                since,
                encoding,
            } => self.pull(node, pull, target, since, encoding),
        }
    }

    fn open(&mut self, node: usize, follow: FollowRef, target: usize, revisions: Revisions) {
        if !self.can_reach(node, target) {
            return;
        }
        if !self.nodes[target].is_up {
            let incarnation = self.nodes[node].incarnation;
            let event = Event::FollowStreamClosed { follow };
            self.send(
                REFUSED_DELAY,
                Delivery::ToNode {
                    node,
                    incarnation,
                    event,
                },
            );
            return;
        }
        let follower = FollowerRef(self.sent_count);
        self.sent_count += 1;
        let stream = Stream {
            node,
            follow,
            is_unresponsive: false,
        };
        self.streams.insert(follower, stream);
        let peer = self.nodes[target]
            .distribution
            .peer_on(&self.hosts.hosts[node].host);
        self.handle(
            target,
            Event::FollowerJoined {
                follower,
                revisions,
                encoding: PartEncoding::Patch,
                peer,
            },
        );
    }

    fn pull(
        &mut self,
        node: usize,
        pull: PullRef,
        target: usize,
        since: Revisions,
        encoding: PartEncoding,
    ) {
        if !self.can_reach(node, target) || !self.nodes[target].is_up || self.is_lost() {
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
        self.reply(node, Event::PullReply { pull, update });
    }
}
