//! The choice of a peer to follow.
//!
//! One stream is *held*; its updates are taken. When the held peer is silent, cannot confirm or is
//! not a reader of the own zone, others are tried one after another on a second stream, the
//! *trial*, so that no update is missed while a better peer is looked for.

use std::collections::{BTreeSet, VecDeque};

use cuminlead_types::{HostId, TimeUs};

use crate::action::Action;
use crate::election::{Candidates, Peer};
use crate::event::{FollowRef, Revisions, Update};
use crate::limits::{
    CONFIRM_LIMIT, HOSTS_HEARD_LIMIT, OPEN_INTERVAL_MIN, OPEN_TIMEOUT, RETURN_INTERVAL, SILENCE,
    SWEEP_PAUSE, SWEEP_PAUSE_ALONE,
};

/// What a process looks for among its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Need {
    /// A confirmed primary; its own watch confirms as well.
    #[default]
    Primary,
    /// A confirmed peer.
    Anyone,
}

/// Streams on which one process follows others.
#[derive(Debug, Default)]
pub(crate) struct Following {
    candidates: Candidates,
    need: Need,
    held: Option<Stream>,
    trial: Option<Stream>,
    /// Peers still to be tried.
    queue: VecDeque<Peer>,
    /// Peers that were silent or could not confirm when last heard.
    failed: BTreeSet<HostId>,
    next_follow: u64,
    open_at: TimeUs,
    sweep_at: TimeUs,
    return_at: TimeUs,
}

#[derive(Clone, Debug)]
struct Stream {
    id: FollowRef,
    peer: Peer,
    opened_at: TimeUs,
    heard: Option<Heard>,
}

/// Last message on a stream.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: TimeUs,
    is_confirmed: bool,
    /// Time of the reading of the sender's host list, unless it is unconfirmed.
    hosts_confirmed_at: Option<TimeUs>,
}

/// Sender of a message on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Sender {
    pub(crate) peer: Peer,
    /// Time after which the message was made, when it is known: the first message answers the
    /// opening of the stream.
    pub(crate) made_after: Option<TimeUs>,
}

impl Stream {
    fn is_confirmed(&self) -> bool {
        self.heard.is_some_and(|heard| heard.is_confirmed)
    }

    /// Time at which the stream counts as silent.
    fn silent_at(&self) -> TimeUs {
        match self.heard {
            Some(heard) => heard.at + SILENCE,
            None => self.opened_at + OPEN_TIMEOUT,
        }
    }
}

impl Following {
    /// Takes other candidates; streams to processes that are not listed as before end.
    pub(crate) fn set_candidates(&mut self, now: TimeUs, candidates: Candidates) {
        self.candidates = candidates;
        self.queue.clear();
        self.return_at = now;
        let hosts: BTreeSet<&HostId> = self.candidates.peers.iter().map(|p| &p.host).collect();
        self.failed.retain(|host| hosts.contains(host));
    }

    /// Candidates in use.
    pub(crate) fn candidates(&self) -> &Candidates {
        &self.candidates
    }

    /// What was looked for at the last step.
    pub(crate) fn need(&self) -> Need {
        self.need
    }

    /// Whether the held peer is a source of confirmation.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.held.as_ref().is_some_and(Stream::is_confirmed)
    }

    /// Time of the reading of the host list that the held peer relies on.
    pub(crate) fn hosts_confirmed_at(&self) -> Option<TimeUs> {
        self.held.as_ref()?.heard?.hosts_confirmed_at
    }

    /// Whether no reader of the own zone was heard as confirmed when last tried.
    pub(crate) fn have_primaries_failed(&self) -> bool {
        let mut primaries = self.candidates.primaries().iter();
        primaries.all(|peer| self.failed.contains(&peer.host))
    }

    /// Peer to ask when a newer revision was seen somewhere else.
    pub(crate) fn peer_to_ask(&self) -> Option<&Peer> {
        let held = self.held.as_ref().map(|stream| &stream.peer);
        held.or_else(|| self.candidates.peers.first())
    }

    /// Takes a message; returns who sent it unless the stream is not open any more. A message on a
    /// silent stream is not taken, because it may have waited for a paused process to resume.
    pub(crate) fn hear(
        &mut self,
        now: TimeUs,
        id: FollowRef,
        update: &Update,
        actions: &mut Vec<Action>,
    ) -> Option<Sender> {
        let is_confirmed = update.confirmed_age <= CONFIRM_LIMIT;
        let hosts_age = update.hosts_confirmed_age;
        let mut streams = self.held.iter_mut().chain(self.trial.iter_mut());
        let stream = streams.find(|stream| stream.id == id && now < stream.silent_at())?;
        let was_confirmed = stream.is_confirmed();
        let is_first = stream.heard.is_none();
        let sender = Sender {
            peer: stream.peer.clone(),
            made_after: is_first.then_some(stream.opened_at),
        };
        stream.heard = Some(Heard {
            at: now,
            is_confirmed,
            hosts_confirmed_at: (hosts_age <= HOSTS_HEARD_LIMIT).then(|| now - hosts_age),
        });
        if is_confirmed {
            self.failed.remove(&sender.peer.host);
        } else {
            self.failed.insert(sender.peer.host.clone());
        }
        if self.trial.as_ref().is_some_and(|trial| trial.id == id) {
            self.end_trial(now, is_confirmed, actions);
        } else if was_confirmed && !is_confirmed {
            self.start_over(now);
        } else if is_confirmed && !was_confirmed {
            self.settle_on_held(now);
        }
        Some(sender)
    }

    /// Holds the peer on trial if it is better than the held one, which it replaces.
    fn end_trial(&mut self, now: TimeUs, is_confirmed: bool, actions: &mut Vec<Action>) {
        let is_better = is_confirmed || (self.held.is_none() && self.need == Need::Anyone);
        if !is_better {
            stop(&mut self.trial, actions);
            return;
        }
        stop(&mut self.held, actions);
        self.held = self.trial.take();
        if is_confirmed {
            self.settle_on_held(now);
        }
    }

    fn settle_on_held(&mut self, now: TimeUs) {
        self.queue.clear();
        self.return_at = now + RETURN_INTERVAL;
    }

    /// A stream ended.
    pub(crate) fn lose(&mut self, now: TimeUs, id: FollowRef) {
        let is_id = |stream: &Stream| stream.id == id;
        if let Some(held) = self.held.take_if(|stream| is_id(stream)) {
            self.failed.insert(held.peer.host);
            self.start_over(now);
        }
        if let Some(trial) = self.trial.take_if(|stream| is_id(stream)) {
            self.failed.insert(trial.peer.host);
        }
    }

    fn start_over(&mut self, now: TimeUs) {
        self.queue.clear();
        self.sweep_at = now;
    }

    /// Ends silent streams and opens the next one that is due.
    pub(crate) fn step(
        &mut self,
        now: TimeUs,
        need: Need,
        revisions: Revisions,
        actions: &mut Vec<Action>,
    ) {
        self.need = need;
        self.drop_silent(now, actions);
        self.drop_unneeded(actions);
        let is_due = self.open_due_at().is_some_and(|at| now >= at);
        if !is_due {
            return;
        }
        if !self.has_queued() {
            self.fill_queue(now);
        }
        if let Some(peer) = self.next_peer() {
            self.open(now, peer, revisions, actions);
        }
    }

    fn drop_silent(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let mut is_lost = false;
        for slot in [&mut self.held, &mut self.trial] {
            if let Some(stream) = slot.take_if(|stream| now >= stream.silent_at()) {
                is_lost |= stream.heard.is_some();
                actions.push(Action::StopFollowing { follow: stream.id });
                self.failed.insert(stream.peer.host);
            }
        }
        if is_lost {
            self.start_over(now);
        }
    }

    fn drop_unneeded(&mut self, actions: &mut Vec<Action>) {
        let peers = &self.candidates.peers;
        for slot in [&mut self.held, &mut self.trial] {
            let is_replaced = |stream: &Stream| {
                let same_host = peers.iter().find(|peer| peer.host == stream.peer.host);
                same_host.is_some_and(|peer| peer.address != stream.peer.address)
            };
            if slot.as_ref().is_some_and(is_replaced) {
                stop(slot, actions);
            }
        }
        if self.need == Need::Primary && !(self.is_confirmed() && self.holds_primary()) {
            stop(&mut self.held, actions);
        }
    }

    fn holds_primary(&self) -> bool {
        let held = self.held.as_ref();
        held.is_some_and(|stream| self.candidates.primaries().contains(&stream.peer))
    }

    /// Whether any confirmed peer is looked for, and not only a reader of the own zone.
    fn is_seeking(&self) -> bool {
        self.need == Need::Anyone && !self.is_confirmed()
    }

    /// Time at which the next peer is to be tried.
    fn open_due_at(&self) -> Option<TimeUs> {
        let is_settled = self.is_confirmed() && self.holds_primary();
        if self.trial.is_some() || is_settled {
            return None;
        }
        let due_at = if self.has_queued() {
            TimeUs::ZERO
        } else if self.is_seeking() {
            self.sweep_at
        } else {
            self.return_at
        };
        Some(due_at.max(self.open_at))
    }

    /// Whether a peer other than the held one is still to be tried.
    fn has_queued(&self) -> bool {
        let held = self.held.as_ref().map(|stream| &stream.peer);
        self.queue.iter().any(|peer| held != Some(peer))
    }

    /// Peers that failed come last, as they may have recovered.
    fn fill_queue(&mut self, now: TimeUs) {
        if !self.is_seeking() {
            self.return_at = now + RETURN_INTERVAL;
            self.queue
                .extend(self.candidates.primaries().iter().cloned());
            return;
        }
        let pause = match self.held {
            Some(_) => SWEEP_PAUSE,
            None => SWEEP_PAUSE_ALONE,
        };
        self.sweep_at = now + pause;
        let peers = self.candidates.peers.iter();
        let (failed, others): (Vec<_>, Vec<_>) =
            peers.partition(|peer| self.failed.contains(&peer.host));
        self.queue.extend(others.into_iter().chain(failed).cloned());
    }

    fn next_peer(&mut self) -> Option<Peer> {
        let held = self.held.as_ref().map(|stream| &stream.peer);
        while let Some(peer) = self.queue.pop_front() {
            if held != Some(&peer) {
                return Some(peer);
            }
        }
        None
    }

    fn open(&mut self, now: TimeUs, peer: Peer, revisions: Revisions, actions: &mut Vec<Action>) {
        self.next_follow += 1;
        self.open_at = now + OPEN_INTERVAL_MIN;
        let id = FollowRef(self.next_follow);
        actions.push(Action::FollowPeer {
            follow: id,
            peer: peer.clone(),
            revisions,
        });
        self.trial = Some(Stream {
            id,
            peer,
            opened_at: now,
            heard: None,
        });
    }

    /// Time of the next step.
    pub(crate) fn next_deadline(&self) -> Option<TimeUs> {
        let streams = self.held.iter().chain(self.trial.iter());
        let silent_at = streams.map(Stream::silent_at);
        silent_at.chain(self.open_due_at()).min()
    }
}

fn stop(slot: &mut Option<Stream>, actions: &mut Vec<Action>) {
    if let Some(stream) = slot.take() {
        actions.push(Action::StopFollowing { follow: stream.id });
    }
}
