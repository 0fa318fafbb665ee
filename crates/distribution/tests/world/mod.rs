//! A few processes and a platform, joined by a plain queue of messages.
//!
//! The queue can lose messages, cut links and stop processes. It checks at every step that no
//! revision goes back and that no deadline stays in the past.

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

use platform::Asked;
pub(crate) use platform::host;

const REFUSED_AFTER: DurationUs = DurationUs::from_ms(5);

/// What arrives at a process or at the platform.
enum Delivery {
    ToNode {
        node: usize,
        life: u32,
        event: Event,
    },
    Service(Asked),
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
        form: PartEncoding,
    },
}

/// Open stream between two processes.
struct Stream {
    node: usize,
    follow: FollowRef,
    is_silent: bool,
}

/// One process.
pub(crate) struct Node {
    pub(crate) distribution: Distribution,
    pub(crate) is_up: bool,
    life: u32,
    /// Time of the next tick, while it is not paused.
    deadline: Option<TimeUs>,
    /// Time until which the process is paused.
    resumes_at: TimeUs,
    pub(crate) queries: Vec<TimeUs>,
    pub(crate) watches: Vec<TimeUs>,
    /// Readings of the host list other than single questions.
    pub(crate) host_readings: Vec<TimeUs>,
}

impl Node {
    fn next_deadline(&self) -> Option<TimeUs> {
        self.deadline.map(|deadline| deadline.max(self.resumes_at))
    }
}

/// Processes, platform and queue.
pub(crate) struct World {
    pub(crate) now: TimeUs,
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss: f64,
    pub(crate) lists_revision: u64,
    /// Revisions that a stale replica serves to processes.
    pub(crate) stale: BTreeMap<usize, u64>,
    pub(crate) hosts: HostList,
    /// Earlier host lists, from which the platform tells what changed.
    earlier_hosts: Vec<HostList>,
    /// Host lists that a stale replica serves to processes.
    stale_hosts: BTreeMap<usize, HostList>,
    pub(crate) is_lists_down: bool,
    /// Revisions whose snapshot is invalid.
    pub(crate) invalid: BTreeSet<u64>,
    pub(crate) refused_count: usize,
    /// Processes that do not reach the platform.
    pub(crate) cut_from_platform: BTreeSet<usize>,
    /// Processes that neither reach others nor are reached by them.
    pub(crate) cut_from_peers: BTreeSet<usize>,
    rng: StdRng,
    queue: BTreeMap<(TimeUs, u64), Delivery>,
    sent_count: u64,
    streams: BTreeMap<FollowerRef, Stream>,
}

impl World {
    /// Processes that start together; the platform serves revision 1.
    pub(crate) fn new(nodes_count: usize, zones_count: usize, seed: u64) -> Self {
        let hosts = (0..nodes_count).map(|number| host(number, zones_count));
        let mut world = Self {
            now: TimeUs(1_000_000),
            nodes: Vec::new(),
            loss: 0.0,
            lists_revision: 1,
            stale: BTreeMap::new(),
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
            let distribution = world.fresh(number);
            world.nodes.push(Node {
                distribution,
                is_up: true,
                life: 0,
                deadline: None,
                resumes_at: TimeUs::ZERO,
                queries: Vec::new(),
                watches: Vec::new(),
                host_readings: Vec::new(),
            });
        }
        (0..nodes_count).for_each(|number| world.handle(number, Event::Start));
        world
    }

    fn fresh(&mut self, number: usize) -> Distribution {
        let entry = &self.hosts.hosts[number];
        let own = Identity {
            host: entry.host.clone(),
            region: entry.region.clone(),
            zone: entry.zone.clone(),
        };
        Distribution::new(own, StdRng::seed_from_u64(self.rng.random()))
    }

    /// Stops a process without a word: open connections go silent, new ones are refused.
    pub(crate) fn stop(&mut self, number: usize) {
        self.nodes[number].is_up = false;
    }

    /// Pauses a process; what is sent to it waits until it resumes.
    pub(crate) fn pause(&mut self, number: usize, ms: u64) {
        self.nodes[number].resumes_at = self.now + DurationUs::from_ms(ms);
    }

    /// Starts a fresh process in place of the earlier one.
    pub(crate) fn restart(&mut self, number: usize) {
        let distribution = self.fresh(number);
        let node = &mut self.nodes[number];
        node.distribution = distribution;
        node.is_up = true;
        node.life += 1;
        node.queries.clear();
        self.handle(number, Event::Start);
    }

    /// Lets a replica that stays at the present revision serve these processes.
    pub(crate) fn serve_stale(&mut self, numbers: &[usize]) {
        let revision = self.lists_revision;
        let stale = numbers.iter().map(|number| (*number, revision));
        self.stale.extend(stale);
        let hosts = numbers.iter().map(|number| (*number, self.hosts.clone()));
        self.stale_hosts.extend(hosts);
    }

    /// Publishes the next revision of the lists; waiting watches see it at their next step.
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
    pub(crate) fn behind_on_hosts(&self) -> Vec<usize> {
        let newest = self.hosts.revision;
        let is_behind = |node: &Node| node.distribution.revisions().hosts < newest;
        let numbers = 0..self.nodes.len();
        let up = numbers.filter(|number| self.nodes[*number].is_up);
        up.filter(|number| is_behind(&self.nodes[*number]))
            .collect()
    }

    /// Numbers of the processes that watch the platform.
    pub(crate) fn watching(&self) -> Vec<usize> {
        let is_watching = |node: &Node| node.is_up && node.distribution.is_watching();
        let numbers = 0..self.nodes.len();
        numbers
            .filter(|number| is_watching(&self.nodes[*number]))
            .collect()
    }

    /// Number of the processes that read the host list.
    pub(crate) fn reading_hosts(&self) -> usize {
        let is_reading = |node: &&Node| node.is_up && node.distribution.is_reading_hosts();
        self.nodes.iter().filter(is_reading).count()
    }

    /// Revision in force at a process.
    pub(crate) fn revision(&self, number: usize) -> u64 {
        self.nodes[number].distribution.lists().revision().get()
    }

    /// Running processes that are not at the newest revision.
    pub(crate) fn behind(&self) -> Vec<usize> {
        let numbers = 0..self.nodes.len();
        let up = numbers.filter(|number| self.nodes[*number].is_up);
        up.filter(|number| self.revision(*number) < self.lists_revision)
            .collect()
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + DurationUs::from_ms(ms);
        while let Some(next) = self.next_time().filter(|next| *next <= end) {
            assert!(next >= self.now, "deadline stays in the past");
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
                    "deadline stays in the past"
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
            "revision goes back"
        );
        actions
            .into_iter()
            .for_each(|action| self.act(number, action));
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

    fn reach(&self, one: usize, other: usize) -> bool {
        !self.cut_from_peers.contains(&one) && !self.cut_from_peers.contains(&other)
    }

    fn number_of(&self, peer: &Peer) -> usize {
        let mut hosts = self.hosts.hosts.iter();
        hosts
            .position(|entry| entry.address == peer.address)
            .expect("known peer")
    }

    fn answer(&mut self, node: usize, event: Event) {
        let life = self.nodes[node].life;
        let delay = self.latency();
        self.send(delay, Delivery::ToNode { node, life, event });
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::WatchService {
                call,
                source,
                after,
                held,
                wait,
            } => {
                if source == PublishedResource::Hosts {
                    self.nodes[node].host_readings.push(self.now);
                }
                self.nodes[node].watches.push(self.now);
                let until = self.now + wait;
                self.call(Asked {
                    node,
                    call,
                    source,
                    after,
                    held,
                    until,
                });
            }
            Action::QueryService {
                call,
                source,
                after,
                held,
            } => {
                self.nodes[node].queries.push(self.now);
                let until = self.now;
                self.call(Asked {
                    node,
                    call,
                    source,
                    after,
                    held,
                    until,
                });
            }
            Action::FollowPeer {
                follow,
                peer,
                revisions,
            } => {
                let target = self.number_of(&peer);
                self.peer_message(
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
                self.peer_message(node, Delivery::Close { node, follow });
            }
            Action::PullFromPeer {
                pull,
                peer,
                since,
                form,
            } => {
                let target = self.number_of(&peer);
                self.peer_message(
                    node,
                    Delivery::Pull {
                        node,
                        pull,
                        target,
                        since,
                        form,
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

    fn call(&mut self, asked: Asked) {
        if !self.is_lost() && !self.cut_from_platform.contains(&asked.node) {
            let delay = self.latency();
            self.send(delay, Delivery::Service(asked));
        }
    }

    fn peer_message(&mut self, _node: usize, delivery: Delivery) {
        if !self.is_lost() {
            let delay = self.latency();
            self.send(delay, delivery);
        }
    }

    /// A lost message makes its stream silent for good, as an open connection may become.
    fn update(&mut self, node: usize, follower: FollowerRef, update: &Arc<Update>) {
        let is_lost = self.is_lost();
        let Some(stream) = self.streams.get_mut(&follower) else {
            return;
        };
        stream.is_silent |= is_lost;
        let (target, follow) = (stream.node, stream.follow);
        if stream.is_silent || !self.reach(node, target) {
            return;
        }
        let update = Update::clone(update);
        self.answer(target, Event::FollowUpdate { follow, update });
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
            Delivery::ToNode { node, life, event } => {
                if self.nodes[node].is_up && self.nodes[node].life == life {
                    self.handle(node, event);
                }
            }
            Delivery::Service(asked) => self.serve_call(asked),
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
                form,
            } => self.pull(node, pull, target, since, form),
        }
    }

    fn open(&mut self, node: usize, follow: FollowRef, target: usize, revisions: Revisions) {
        if !self.reach(node, target) {
            return;
        }
        if !self.nodes[target].is_up {
            let life = self.nodes[node].life;
            let event = Event::FollowLost { follow };
            self.send(REFUSED_AFTER, Delivery::ToNode { node, life, event });
            return;
        }
        let follower = FollowerRef(self.sent_count);
        self.sent_count += 1;
        let stream = Stream {
            node,
            follow,
            is_silent: false,
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
                form: PartEncoding::Patch,
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
        form: PartEncoding,
    ) {
        if !self.reach(node, target) || !self.nodes[target].is_up || self.is_lost() {
            return;
        }
        let distribution = &self.nodes[target].distribution;
        let update = distribution.update_since(self.now, since, form);
        let peer = distribution.peer_on(&self.hosts.hosts[node].host);
        let seen = Event::RevisionsSeen {
            revisions: since,
            peer,
        };
        self.handle(target, seen);
        self.answer(node, Event::PullReply { pull, update });
    }
}
