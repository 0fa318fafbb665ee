//! Selection of the peer to follow.
//!
//! At most two streams are open. The *active* one supplies updates. While there is no active peer,
//! or it is unresponsive, cannot confirm the lists or is not a primary (a preferred peer, usually a
//! reader of the same zone), other peers are tried one after another on a second stream, the
//! *probe*, so that no update is missed during the search. A probe whose peer is better replaces
//! the active stream.

use std::collections::{BTreeSet, VecDeque};

use cuminlead_types::{HostId, TimeUs};

use crate::action::Action;
use crate::election::{Candidates, Peer};
use crate::event::{FollowRef, Revisions, Update};
use crate::limits::{
    CONFIRM_AGE_MAX, FOLLOW_OPEN_INTERVAL_MIN, FOLLOW_OPEN_TIMEOUT, FOLLOW_SILENCE_TIMEOUT,
    HOSTS_PEER_AGE_MAX, PRIMARY_RETRY_INTERVAL, SEARCH_PAUSE, SEARCH_PAUSE_WITHOUT_PEER,
};

/// Kind of peer that a process searches for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PeerRequirement {
    /// A confirmed primary or none; the process's own watch confirms the lists as well.
    #[default]
    Primary,
    /// Any confirmed peer, preferably a primary.
    AnyConfirmed,
}

/// Streams on which one process follows peers, and the state of its search for a better peer.
#[derive(Debug, Default)]
pub(crate) struct PeerSelection {
    candidates: Candidates,
    requirement: PeerRequirement,
    active: Option<Stream>,
    probe: Option<Stream>,
    /// Peers left to try in the current search.
    queue: VecDeque<Peer>,
    /// Hosts of peers that were unresponsive or unconfirmed when last tried.
    failed: BTreeSet<HostId>,
    next_follow: u64,
    next_open_at: TimeUs,
    next_search_at: TimeUs,
    primary_retry_at: TimeUs,
}

#[derive(Clone, Debug)]
struct Stream {
    id: FollowRef,
    peer: Peer,
    opened_at: TimeUs,
    last_message: Option<LastMessage>,
}

/// State taken from the last message on a stream.
#[derive(Clone, Copy, Debug)]
struct LastMessage {
    at: TimeUs,
    is_confirmed: bool,
    /// Time at which the sender's host list was read as the newest; absent if it is unconfirmed.
    hosts_confirmed_at: Option<TimeUs>,
}

/// Sender of a message on a stream or of a reply to a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Sender {
    pub(crate) peer: Peer,
    /// Lower bound on the time at which the message was created, if known: the first message on a
    /// stream is created after the stream was opened.
    pub(crate) created_after: Option<TimeUs>,
}

impl Stream {
    fn is_confirmed(&self) -> bool {
        self.last_message
            .is_some_and(|last_message| last_message.is_confirmed)
    }

    /// Time at which the stream counts as unresponsive.
    fn unresponsive_at(&self) -> TimeUs {
        match self.last_message {
            Some(last_message) => last_message.at + FOLLOW_SILENCE_TIMEOUT,
            None => self.opened_at + FOLLOW_OPEN_TIMEOUT,
        }
    }
}

impl PeerSelection {
    /// Replaces the candidates, for a new host list, and lets the search for a primary start now.
    /// The next step closes streams to processes whose address changed.
    pub(crate) fn set_candidates(&mut self, now: TimeUs, candidates: Candidates) {
        self.candidates = candidates;
        self.queue.clear();
        self.primary_retry_at = now;
        let hosts: BTreeSet<&HostId> = self.candidates.peers.iter().map(|p| &p.host).collect();
        self.failed.retain(|host| hosts.contains(host));
    }

    /// Current candidates.
    pub(crate) fn candidates(&self) -> &Candidates {
        &self.candidates
    }

    /// Requirement of the last step.
    pub(crate) fn requirement(&self) -> PeerRequirement {
        self.requirement
    }

    /// Whether the active peer is confirmed, so that its messages can confirm the lists here.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.active.as_ref().is_some_and(Stream::is_confirmed)
    }

    /// Time at which the host list of the active peer was read as the newest; `None` if that is
    /// unconfirmed.
    pub(crate) fn hosts_confirmed_at(&self) -> Option<TimeUs> {
        self.active.as_ref()?.last_message?.hosts_confirmed_at
    }

    /// Whether every preferred peer was unresponsive or unconfirmed when last tried.
    pub(crate) fn have_primaries_failed(&self) -> bool {
        let mut primaries = self.candidates.primaries().iter();
        primaries.all(|peer| self.failed.contains(&peer.host))
    }

    /// Peer to pull from when a newer revision was seen at an unknown sender.
    pub(crate) fn peer_to_query(&self) -> Option<&Peer> {
        let active = self.active.as_ref().map(|stream| &stream.peer);
        active.or_else(|| self.candidates.peers.first())
    }

    /// Handles a message and returns its sender, or `None` if the stream is no longer open. A
    /// message on an unresponsive stream is ignored, because it may be old: it may have waited
    /// while this process was paused.
    pub(crate) fn on_message(
        &mut self,
        now: TimeUs,
        id: FollowRef,
        update: &Update,
        actions: &mut Vec<Action>,
    ) -> Option<Sender> {
        let is_confirmed = update.confirmed_age <= CONFIRM_AGE_MAX;
        let hosts_age = update.hosts_confirmed_age;
        let mut streams = self.active.iter_mut().chain(self.probe.iter_mut());
        let stream = streams.find(|stream| stream.id == id && now < stream.unresponsive_at())?;
        let was_confirmed = stream.is_confirmed();
        let is_first = stream.last_message.is_none();
        let sender = Sender {
            peer: stream.peer.clone(),
            created_after: is_first.then_some(stream.opened_at),
        };
        stream.last_message = Some(LastMessage {
            at: now,
            is_confirmed,
            hosts_confirmed_at: (hosts_age <= HOSTS_PEER_AGE_MAX).then(|| now - hosts_age),
        });
        if is_confirmed {
            self.failed.remove(&sender.peer.host);
        } else {
            self.failed.insert(sender.peer.host.clone());
        }
        if self.probe.as_ref().is_some_and(|probe| probe.id == id) {
            self.end_probe(now, is_confirmed, actions);
        } else if was_confirmed && !is_confirmed {
            self.restart_search(now);
        } else if is_confirmed && !was_confirmed {
            self.end_search(now);
        }
        Some(sender)
    }

    /// Makes the probe the active stream if its peer is better than the active one; otherwise
    /// closes it.
    fn end_probe(&mut self, now: TimeUs, is_confirmed: bool, actions: &mut Vec<Action>) {
        let is_better = is_confirmed
            || (self.active.is_none() && self.requirement == PeerRequirement::AnyConfirmed);
        if !is_better {
            close(&mut self.probe, actions);
            return;
        }
        close(&mut self.active, actions);
        self.active = self.probe.take();
        if is_confirmed {
            self.end_search(now);
        }
    }

    fn end_search(&mut self, now: TimeUs) {
        self.queue.clear();
        self.primary_retry_at = now + PRIMARY_RETRY_INTERVAL;
    }

    /// Handles the end of a stream.
    pub(crate) fn on_stream_lost(&mut self, now: TimeUs, id: FollowRef) {
        let is_id = |stream: &Stream| stream.id == id;
        if let Some(active) = self.active.take_if(|stream| is_id(stream)) {
            self.failed.insert(active.peer.host);
            self.restart_search(now);
        }
        if let Some(probe) = self.probe.take_if(|stream| is_id(stream)) {
            self.failed.insert(probe.peer.host);
        }
    }

    fn restart_search(&mut self, now: TimeUs) {
        self.queue.clear();
        self.next_search_at = now;
    }

    /// Closes unresponsive and obsolete streams and opens the next probe if it is due.
    pub(crate) fn step(
        &mut self,
        now: TimeUs,
        requirement: PeerRequirement,
        revisions: Revisions,
        actions: &mut Vec<Action>,
    ) {
        self.requirement = requirement;
        self.close_unresponsive(now, actions);
        self.close_obsolete(actions);
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

    fn close_unresponsive(&mut self, now: TimeUs, actions: &mut Vec<Action>) {
        let mut is_lost = false;
        for slot in [&mut self.active, &mut self.probe] {
            if let Some(stream) = slot.take_if(|stream| now >= stream.unresponsive_at()) {
                is_lost |= stream.last_message.is_some();
                actions.push(Action::StopFollowing { follow: stream.id });
                self.failed.insert(stream.peer.host);
            }
        }
        if is_lost {
            self.restart_search(now);
        }
    }

    fn close_obsolete(&mut self, actions: &mut Vec<Action>) {
        let peers = &self.candidates.peers;
        for slot in [&mut self.active, &mut self.probe] {
            let is_replaced = |stream: &Stream| {
                let same_host = peers.iter().find(|peer| peer.host == stream.peer.host);
                same_host.is_some_and(|peer| peer.address != stream.peer.address)
            };
            if slot.as_ref().is_some_and(is_replaced) {
                close(slot, actions);
            }
        }
        if self.requirement == PeerRequirement::Primary
            && !(self.is_confirmed() && self.follows_primary())
        {
            close(&mut self.active, actions);
        }
    }

    fn follows_primary(&self) -> bool {
        let active = self.active.as_ref();
        active.is_some_and(|stream| self.candidates.primaries().contains(&stream.peer))
    }

    /// Whether the search accepts any confirmed peer, and not only a primary.
    fn needs_confirmed_peer(&self) -> bool {
        self.requirement == PeerRequirement::AnyConfirmed && !self.is_confirmed()
    }

    /// Time at which the next probe is to be opened; `None` if no search is needed or a probe is
    /// open.
    fn open_due_at(&self) -> Option<TimeUs> {
        let is_settled = self.is_confirmed() && self.follows_primary();
        if self.probe.is_some() || is_settled {
            return None;
        }
        let due_at = if self.has_queued() {
            TimeUs::ZERO
        } else if self.needs_confirmed_peer() {
            self.next_search_at
        } else {
            self.primary_retry_at
        };
        Some(due_at.max(self.next_open_at))
    }

    /// Whether a peer other than the active one is left to try.
    fn has_queued(&self) -> bool {
        let active = self.active.as_ref().map(|stream| &stream.peer);
        self.queue.iter().any(|peer| active != Some(peer))
    }

    /// Peers that failed come last, as they may have recovered.
    fn fill_queue(&mut self, now: TimeUs) {
        if !self.needs_confirmed_peer() {
            self.primary_retry_at = now + PRIMARY_RETRY_INTERVAL;
            self.queue
                .extend(self.candidates.primaries().iter().cloned());
            return;
        }
        let pause = match self.active {
            Some(_) => SEARCH_PAUSE,
            None => SEARCH_PAUSE_WITHOUT_PEER,
        };
        self.next_search_at = now + pause;
        let peers = self.candidates.peers.iter();
        let (failed, others): (Vec<_>, Vec<_>) =
            peers.partition(|peer| self.failed.contains(&peer.host));
        self.queue.extend(others.into_iter().chain(failed).cloned());
    }

    fn next_peer(&mut self) -> Option<Peer> {
        let active = self.active.as_ref().map(|stream| &stream.peer);
        while let Some(peer) = self.queue.pop_front() {
            if active != Some(&peer) {
                return Some(peer);
            }
        }
        None
    }

    fn open(&mut self, now: TimeUs, peer: Peer, revisions: Revisions, actions: &mut Vec<Action>) {
        self.next_follow += 1;
        self.next_open_at = now + FOLLOW_OPEN_INTERVAL_MIN;
        let id = FollowRef(self.next_follow);
        actions.push(Action::FollowPeer {
            follow: id,
            peer: peer.clone(),
            revisions,
        });
        self.probe = Some(Stream {
            id,
            peer,
            opened_at: now,
            last_message: None,
        });
    }

    /// Time at which the next step is due.
    pub(crate) fn next_deadline(&self) -> Option<TimeUs> {
        let streams = self.active.iter().chain(self.probe.iter());
        let unresponsive_at = streams.map(Stream::unresponsive_at);
        unresponsive_at.chain(self.open_due_at()).min()
    }
}

fn close(slot: &mut Option<Stream>, actions: &mut Vec<Action>) {
    if let Some(stream) = slot.take() {
        actions.push(Action::StopFollowing { follow: stream.id });
    }
}
