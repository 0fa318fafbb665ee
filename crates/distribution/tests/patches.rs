//! Tests of patches between two processes, and of the full part where a patch does not match.

use cuminlead_distribution::{
    Action, Distribution, Event, FollowerRef, Identity, PartEncoding, Peer, PlatformCallRef,
    PlatformResponse, PullRef, Revisions,
};
use cuminlead_lists::{Part, PartKey, Snapshot};
use cuminlead_types::{DurationUs, Revision, TimeUs};
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// Time between two events, longer than the shortest interval between pulls.
const STEP: DurationUs = DurationUs::from_ms(1_000);

fn snapshot(revision: u64, comment: &str) -> Snapshot {
    let part = |key: &str, revision: u64, text: String| Part {
        key: PartKey::new(key),
        revision: Revision(revision),
        text,
    };
    let text = format!("schema = 1\n# {}\n# {comment}\n", "unchanged ".repeat(9));
    let allowances = part("allowances/base", 1, "schema = 1\n".to_string());
    let parts = [part("plans/base", revision, text), allowances];
    Snapshot::new(Revision(revision), parts)
}

/// Process with its own clock, started with the given lists.
struct Process {
    distribution: Distribution,
    now: TimeUs,
}

impl Process {
    fn new(lists: Snapshot) -> Self {
        let local = Identity::default();
        let mut process = Self {
            distribution: Distribution::new(local, StdRng::seed_from_u64(1)),
            now: TimeUs(1_000_000),
        };
        process.publish(lists);
        process
    }

    fn publish(&mut self, lists: Snapshot) {
        let answer = PlatformResponse::Lists(lists);
        let call = PlatformCallRef(0);
        self.handle(Event::PlatformResponded { call, answer });
    }

    /// Returns the pulls that an event causes.
    fn handle(&mut self, event: Event) -> Vec<(PullRef, Revisions, PartEncoding)> {
        let pulls = self
            .actions(event)
            .into_iter()
            .filter_map(|action| match action {
                Action::PullFromPeer {
                    pull,
                    since,
                    encoding,
                    ..
                } => Some((pull, since, encoding)),
                _ => None,
            });
        pulls.collect()
    }

    fn actions(&mut self, event: Event) -> Vec<Action> {
        self.now = self.now + STEP;
        let mut actions = Vec::new();
        self.distribution.handle(self.now, event, &mut actions);
        actions
    }
}

/// Guards against lists that differ from the published ones because a patch was applied to another
/// text, and against a process that stays behind after a patch did not match.
#[parameterized(
    same_base = { "1", &[PartEncoding::Patch] },
    other_base = { "other", &[PartEncoding::Patch, PartEncoding::Full] },
)]
fn full_part_is_pulled_after_patch_mismatch(base_comment: &str, expected: &[PartEncoding]) {
    let mut reader = Process::new(snapshot(1, "1"));
    reader.publish(snapshot(2, "2"));
    let mut follower = Process::new(snapshot(1, base_comment));
    let peer = Peer {
        host: "reader".parse().expect("host"),
        address: "127.0.0.1:1".to_string(),
    };
    let mut pulls = follower.handle(Event::RevisionsSeen {
        revisions: reader.distribution.revisions(),
        peer: Some(peer),
    });
    let mut forms = Vec::new();
    while let Some((pull, since, encoding)) = pulls.pop() {
        forms.push(encoding);
        let update = reader
            .distribution
            .update_since(reader.now, since, encoding);
        let is_patched = encoding == PartEncoding::Patch;
        assert_eq!(update.patches.len(), usize::from(is_patched));
        assert_eq!(update.lists.parts.len(), usize::from(!is_patched));
        pulls = follower.handle(Event::PullReply { pull, update });
    }
    assert_eq!(forms, expected);
    let active = follower.distribution.lists().snapshot();
    assert_eq!(active, Some(&snapshot(2, "2")));
}

/// Guards against a follower of a version without patches that gets patches, ignores them and
/// treats the update as complete.
#[parameterized(
    takes_patches = { PartEncoding::Patch, 1 },
    full_parts_only = { PartEncoding::Full, 0 },
)]
fn follower_receives_supported_encoding(encoding: PartEncoding, patches_count: usize) {
    let mut reader = Process::new(snapshot(1, "1"));
    let joined = Event::FollowerJoined {
        follower: FollowerRef(1),
        revisions: reader.distribution.revisions(),
        encoding,
        peer: None,
    };
    reader.handle(joined);
    let answer = PlatformResponse::Lists(snapshot(2, "2"));
    let call = PlatformCallRef(0);
    let update = reader
        .actions(Event::PlatformResponded { call, answer })
        .into_iter()
        .find_map(|action| match action {
            Action::SendUpdate { update, .. } => Some(update),
            _ => None,
        })
        .expect("update");
    assert_eq!(update.patches.len(), patches_count);
    assert_eq!(update.lists.parts.len(), 1 - patches_count);
}
