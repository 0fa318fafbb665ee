//! Measures the updates that a reader sends to its followers.

use std::sync::Arc;

use cuminlead_distribution::{
    Action, Distribution, Event, FollowerRef, Identity, PartEncoding, PlatformCallRef,
    PlatformResponse, PublishedResource, Update,
};
use cuminlead_lists::{Delta, HostList, Part, Snapshot};
use cuminlead_types::{DurationUs, Revision, TimeUs};
use cuminlead_wire::proto;
use prost::Message;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::Report;
use crate::fixture::{DESIGN_LISTS, changed_part, host, snapshot};
use crate::measure::{Timings, measure_heap};

const FOLLOWER_COUNTS: [usize; 3] = [10, 100, 450];
const CHANGES: u64 = 5;
const SECOND: DurationUs = DurationUs::from_ms(1_000);

/// Reader with its followers, and the state of the platform that it watches.
struct Reader {
    distribution: Distribution,
    now: TimeUs,
    revision: u64,
    parts: Vec<Part>,
    calls: Vec<(PlatformCallRef, PublishedResource)>,
    sent: Vec<Arc<Update>>,
}

pub(crate) fn run(report: &mut Report) {
    let mut without_followers = Reader::new();
    let mut base = Timings::default();
    for _ in 0..CHANGES {
        let change = without_followers.publish();
        base.time(|| without_followers.answer(change));
    }
    report.add("reader_change_without_followers", "us", 0, base.median());
    for followers in FOLLOWER_COUNTS {
        changes_with(report, followers);
    }
}

fn changes_with(report: &mut Report, followers: usize) {
    let heap = measure_heap(Reader::new);
    let mut reader = heap.value;
    let followers_heap = measure_heap(|| reader.add_followers(followers));
    report.add(
        "reader_heap_by_followers",
        "bytes",
        followers,
        heap.bytes + followers_heap.bytes,
    );
    let (mut handled, mut encoded) = (Timings::default(), Timings::default());
    let (mut count, mut bytes) = (0, 0);
    for _ in 0..CHANGES {
        let change = reader.publish();
        reader.sent.clear();
        handled.time(|| reader.answer(change));
        let sent = std::mem::take(&mut reader.sent);
        count = sent.len();
        bytes = encoded.time(|| encode(&sent));
    }
    report.add(
        "reader_change_sends_by_followers",
        "messages",
        followers,
        count as f64,
    );
    report.add(
        "reader_change_bytes_by_followers",
        "bytes",
        followers,
        bytes as f64,
    );
    report.add(
        "reader_change_handle_by_followers",
        "us",
        followers,
        handled.median(),
    );
    report.add(
        "reader_change_encode_by_followers",
        "us",
        followers,
        encoded.median(),
    );
    heartbeats(report, &mut reader, followers);
}

/// Measures the heartbeats to the followers over 30 s without a change, and the time of their
/// processing.
fn heartbeats(report: &mut Report, reader: &mut Reader, followers: usize) {
    const SECONDS: u64 = 30;
    reader.sent.clear();
    let end = reader.now + DurationUs::from_ms(SECONDS * 1_000);
    let mut handled = Timings::default();
    let mut ticks = 0.0;
    while let Some(next) = reader.distribution.next_deadline().filter(|at| *at <= end) {
        reader.now = next;
        handled.time(|| reader.tick());
        ticks += 1.0;
        reader.answer_unchanged();
    }
    let seconds = SECONDS as f64;
    let bytes = encode(&reader.sent) as f64;
    let sends = reader.sent.len() as f64;
    report.add(
        "reader_heartbeats_by_followers",
        "messages/s",
        followers,
        sends / seconds,
    );
    report.add(
        "reader_heartbeat_bytes_by_followers",
        "bytes/s",
        followers,
        bytes / seconds,
    );
    let busy_us = handled.mean() * ticks / seconds;
    report.add(
        "reader_heartbeat_time_by_followers",
        "us/s",
        followers,
        busy_us,
    );
}

/// Encodes each message separately, as the feed does, and returns the total size in bytes.
fn encode(sent: &[Arc<Update>]) -> usize {
    let messages = sent
        .iter()
        .map(|update| proto::PeerUpdate::from(update.as_ref()));
    messages.map(|message| message.encode_to_vec().len()).sum()
}

impl Reader {
    fn new() -> Self {
        let entry = host(0, Some(0));
        let own = Identity {
            host: entry.host.clone(),
            region: entry.region.clone(),
            zone: entry.zone.clone(),
        };
        let mut reader = Self {
            distribution: Distribution::new(own, StdRng::seed_from_u64(1)),
            now: TimeUs(1_000_000),
            revision: 1,
            parts: snapshot(DESIGN_LISTS, 1).parts().cloned().collect(),
            calls: Vec::new(),
            sent: Vec::new(),
        };
        reader.handle(Event::Start);
        reader.answer_start(HostList {
            revision: Revision(1),
            hosts: vec![entry],
        });
        assert!(reader.distribution.is_watching());
        reader
    }

    fn answer_start(&mut self, hosts: HostList) {
        for (call, resource) in std::mem::take(&mut self.calls) {
            let answer = match resource {
                PublishedResource::Lists => PlatformResponse::Lists(self.snapshot()),
                PublishedResource::Hosts => PlatformResponse::Hosts(hosts.clone()),
            };
            self.handle(Event::PlatformResponded { call, answer });
        }
        self.now = self.now + SECOND;
        self.tick();
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot::new(Revision(self.revision), self.parts.iter().cloned())
    }

    /// Changes one customer at the platform and returns the delta that answers a watch.
    fn publish(&mut self) -> Delta {
        let previous_revision = Revision(self.revision);
        self.revision += 1;
        let groups = DESIGN_LISTS.parts as u64;
        let group = usize::try_from(self.revision % groups).unwrap_or(0);
        let key = format!("plans/group-{group:03}");
        let mut parts = self.parts.iter_mut();
        let part = parts.find(|part| part.key.as_str() == key).expect("group");
        *part = changed_part(DESIGN_LISTS, part, group, self.revision);
        Delta {
            from_revision: previous_revision,
            revision: Revision(self.revision),
            parts: vec![part.clone()],
            ..Delta::default()
        }
    }

    /// Answers the open watch of the lists with a delta.
    fn answer(&mut self, change: Delta) {
        let open = self
            .calls
            .iter()
            .position(|call| call.1 == PublishedResource::Lists);
        let (call, _) = self.calls.remove(open.expect("open watch"));
        let answer = PlatformResponse::ListChanges(change);
        self.handle(Event::PlatformResponded { call, answer });
        self.now = self.now + SECOND;
        self.tick();
        self.answer_unchanged();
    }

    fn answer_unchanged(&mut self) {
        let hosts =
            |call: &(PlatformCallRef, PublishedResource)| call.1 == PublishedResource::Hosts;
        let Some(at) = self.calls.iter().position(hosts) else {
            return;
        };
        let (call, _) = self.calls.remove(at);
        let revision = Revision(1);
        let answer = PlatformResponse::Unchanged { revision };
        self.handle(Event::PlatformResponded { call, answer });
    }

    fn add_followers(&mut self, followers: usize) {
        for number in 0..followers as u64 {
            let revisions = self.distribution.revisions();
            self.handle(Event::FollowerJoined {
                follower: FollowerRef(number),
                revisions,
                encoding: PartEncoding::Patch,
                peer: None,
            });
        }
    }

    fn tick(&mut self) {
        self.handle(Event::Tick);
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.distribution.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::WatchPlatform { call, resource, .. }
            | Action::QueryPlatform { call, resource, .. } => self.calls.push((call, resource)),
            Action::StopPlatformCall { call } => self.calls.retain(|open| open.0 != call),
            Action::SendUpdate { update, .. } => self.sent.push(update),
            _ => {}
        }
    }
}
