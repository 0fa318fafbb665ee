//! Followers of this process, which get changes immediately and heartbeats in between.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlead_types::{DurationUs, TimeUs};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::action::Action;
use crate::event::{FollowerRef, PartEncoding, Revisions, Update};
use crate::limits::{HEARTBEAT_MAX, HEARTBEAT_MIN};

/// Peers that follow one process, by stream.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    followers: BTreeMap<FollowerRef, Follower>,
}

#[derive(Debug)]
struct Follower {
    /// Revisions of the follower once it has received everything sent so far.
    revisions: Revisions,
    encoding: PartEncoding,
    heartbeat_at: TimeUs,
}

impl Followers {
    /// Adds a follower; its first message is sent at the next step.
    pub(crate) fn join(
        &mut self,
        now: TimeUs,
        id: FollowerRef,
        revisions: Revisions,
        encoding: PartEncoding,
    ) {
        let follower = Follower {
            revisions,
            encoding,
            heartbeat_at: now,
        };
        self.followers.insert(id, follower);
    }

    pub(crate) fn leave(&mut self, id: FollowerRef) {
        self.followers.remove(&id);
    }

    /// Makes the next heartbeat of every follower due now.
    pub(crate) fn expedite_heartbeats(&mut self, now: TimeUs) {
        let followers = self.followers.values_mut();
        followers.for_each(|follower| follower.heartbeat_at = now);
    }

    /// Sends an update to every follower that is behind or due for a heartbeat. `update_since`
    /// builds the update for a follower's revisions and encoding; followers at the same revisions
    /// and encoding share one update.
    pub(crate) fn step(
        &mut self,
        now: TimeUs,
        local: Revisions,
        update_since: impl Fn(Revisions, PartEncoding) -> Update,
        rng: &mut StdRng,
        actions: &mut Vec<Action>,
    ) {
        let mut updates: BTreeMap<(Revisions, PartEncoding), Arc<Update>> = BTreeMap::new();
        for (id, follower) in &mut self.followers {
            let base = follower.revisions;
            let is_behind = base.lists < local.lists || base.hosts < local.hosts;
            if !is_behind && now < follower.heartbeat_at {
                continue;
            }
            let update = updates
                .entry((base, follower.encoding))
                .or_insert_with(|| Arc::new(update_since(base, follower.encoding)));
            follower.revisions.lists = base.lists.max(local.lists);
            follower.revisions.hosts = base.hosts.max(local.hosts);
            follower.heartbeat_at = now + jittered_interval(rng);
            actions.push(Action::SendUpdate {
                follower: *id,
                update: Arc::clone(update),
            });
        }
    }

    /// Time of the earliest due heartbeat.
    pub(crate) fn next_deadline(&self) -> Option<TimeUs> {
        self.followers.values().map(|f| f.heartbeat_at).min()
    }
}

fn jittered_interval(rng: &mut StdRng) -> DurationUs {
    DurationUs(rng.random_range(HEARTBEAT_MIN.get()..HEARTBEAT_MAX.get()))
}
