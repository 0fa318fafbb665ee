//! Followers of this process: changes at once, heartbeats in between.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlead_types::{DurationUs, TimeUs};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::action::Action;
use crate::event::{FollowerRef, PartEncoding, Revisions, Update};
use crate::limits::{HEARTBEAT_MAX, HEARTBEAT_MIN};

/// Followers of one process.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    followers: BTreeMap<FollowerRef, Follower>,
}

#[derive(Debug)]
struct Follower {
    /// Revisions that the follower has once everything sent has arrived.
    revisions: Revisions,
    form: PartEncoding,
    heartbeat_at: TimeUs,
}

impl Followers {
    /// Adds a follower, which gets its first message at the next step.
    pub(crate) fn join(
        &mut self,
        now: TimeUs,
        id: FollowerRef,
        revisions: Revisions,
        form: PartEncoding,
    ) {
        let follower = Follower {
            revisions,
            form,
            heartbeat_at: now,
        };
        self.followers.insert(id, follower);
    }

    pub(crate) fn leave(&mut self, id: FollowerRef) {
        self.followers.remove(&id);
    }

    /// Makes the next heartbeats due.
    pub(crate) fn hurry(&mut self, now: TimeUs) {
        let followers = self.followers.values_mut();
        followers.for_each(|follower| follower.heartbeat_at = now);
    }

    /// Sends to every follower that is behind or due for a heartbeat. `update_since` makes the
    /// message for a follower at some revisions; those at the same ones that take the same form share
    /// it.
    pub(crate) fn step(
        &mut self,
        now: TimeUs,
        own: Revisions,
        update_since: impl Fn(Revisions, PartEncoding) -> Update,
        rng: &mut StdRng,
        actions: &mut Vec<Action>,
    ) {
        let mut updates: BTreeMap<(Revisions, PartEncoding), Arc<Update>> = BTreeMap::new();
        for (id, follower) in &mut self.followers {
            let base = follower.revisions;
            let is_behind = base.lists < own.lists || base.hosts < own.hosts;
            if !is_behind && now < follower.heartbeat_at {
                continue;
            }
            let update = updates
                .entry((base, follower.form))
                .or_insert_with(|| Arc::new(update_since(base, follower.form)));
            follower.revisions.lists = base.lists.max(own.lists);
            follower.revisions.hosts = base.hosts.max(own.hosts);
            follower.heartbeat_at = now + jittered_interval(rng);
            actions.push(Action::SendUpdate {
                follower: *id,
                update: Arc::clone(update),
            });
        }
    }

    /// Time of the next heartbeat.
    pub(crate) fn next_deadline(&self) -> Option<TimeUs> {
        self.followers.values().map(|f| f.heartbeat_at).min()
    }
}

fn jittered_interval(rng: &mut StdRng) -> DurationUs {
    DurationUs(rng.random_range(HEARTBEAT_MIN.get()..HEARTBEAT_MAX.get()))
}
