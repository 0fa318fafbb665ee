//! Single questions to peers.

use std::collections::BTreeMap;

use cuminlead_types::{DurationUs, TimeUs};

use crate::action::Action;
use crate::election::Peer;
use crate::event::{PartEncoding, PullRef, Revisions};
use crate::limits::{PULL_INTERVAL_MIN, PULL_TIMEOUT};

/// Pulls of one process.
#[derive(Debug, Default)]
pub(crate) struct Pulls {
    open: BTreeMap<PullRef, Pull>,
    next_pull: u64,
    next_at: TimeUs,
}

#[derive(Clone, Debug)]
pub(crate) struct Pull {
    pub(crate) peer: Peer,
    /// Time after which the answer was made.
    pub(crate) sent_at: TimeUs,
}

impl Pulls {
    /// Asks a peer that is ahead, unless another question is open or was asked just now; a newer
    /// peer tells its revision again and again.
    pub(crate) fn ask(
        &mut self,
        now: TimeUs,
        peer: &Peer,
        since: Revisions,
        form: PartEncoding,
        actions: &mut Vec<Action>,
    ) {
        if self.is_open() || now < self.next_at {
            return;
        }
        self.begin(now, peer, since, form, actions);
    }

    /// Asks a peer now.
    pub(crate) fn begin(
        &mut self,
        now: TimeUs,
        peer: &Peer,
        since: Revisions,
        form: PartEncoding,
        actions: &mut Vec<Action>,
    ) {
        self.next_pull += 1;
        self.next_at = now + PULL_INTERVAL_MIN;
        let pull = PullRef(self.next_pull);
        let peer = peer.clone();
        actions.push(Action::PullFromPeer {
            pull,
            peer: peer.clone(),
            since,
            form,
        });
        self.open.insert(pull, Pull { peer, sent_at: now });
    }

    /// Whether a question is open.
    pub(crate) fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Takes the end of a pull.
    pub(crate) fn finish(&mut self, pull: PullRef) -> Option<Pull> {
        self.open.remove(&pull)
    }

    /// Drops the pulls that took too long.
    pub(crate) fn expire(&mut self, now: TimeUs) {
        self.open
            .retain(|_, pull| now.since(pull.sent_at) <= PULL_TIMEOUT);
    }

    /// Time of the next expiry.
    pub(crate) fn next_deadline(&self) -> Option<TimeUs> {
        let sent = self.open.values().map(|pull| pull.sent_at).min();
        sent.map(|at| at + PULL_TIMEOUT + DurationUs(1))
    }
}
