//! Single queries to peers.

use std::collections::BTreeMap;

use cuminlead_types::{DurationUs, TimeUs};

use crate::action::Action;
use crate::election::Peer;
use crate::event::{PartEncoding, PullRef, Revisions};
use crate::limits::{PULL_INTERVAL_MIN, PULL_TIMEOUT};

/// Open pulls of one process.
#[derive(Debug, Default)]
pub(crate) struct Pulls {
    open: BTreeMap<PullRef, Pull>,
    next_pull: u64,
    next_allowed_at: TimeUs,
}

#[derive(Clone, Debug)]
pub(crate) struct Pull {
    pub(crate) peer: Peer,
    /// The reply was created after this time.
    pub(crate) sent_at: TimeUs,
}

impl Pulls {
    /// Queries a peer with newer revisions, unless a pull is open or one began within
    /// [`PULL_INTERVAL_MIN`]: every message of such a peer carries its revisions again.
    pub(crate) fn begin_if_idle(
        &mut self,
        now: TimeUs,
        peer: &Peer,
        since: Revisions,
        encoding: PartEncoding,
        actions: &mut Vec<Action>,
    ) {
        if self.is_open() || now < self.next_allowed_at {
            return;
        }
        self.begin(now, peer, since, encoding, actions);
    }

    /// Queries a peer immediately.
    pub(crate) fn begin(
        &mut self,
        now: TimeUs,
        peer: &Peer,
        since: Revisions,
        encoding: PartEncoding,
        actions: &mut Vec<Action>,
    ) {
        self.next_pull += 1;
        self.next_allowed_at = now + PULL_INTERVAL_MIN;
        let pull = PullRef(self.next_pull);
        let peer = peer.clone();
        actions.push(Action::PullFromPeer {
            pull,
            peer: peer.clone(),
            since,
            encoding,
        });
        self.open.insert(pull, Pull { peer, sent_at: now });
    }

    /// Whether any pull waits for a reply.
    pub(crate) fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Removes a pull that ended; `None` if it has expired before.
    pub(crate) fn finish(&mut self, pull: PullRef) -> Option<Pull> {
        self.open.remove(&pull)
    }

    /// Removes the pulls without a reply within [`PULL_TIMEOUT`].
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
