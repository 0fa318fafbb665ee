//! Installation of the revisions that responses and messages carry.

use std::sync::Arc;

use cuminlead_lists::{Delta, InstallOutcome, PartPatch, Snapshot, patched_parts};
use cuminlead_types::{DurationUs, Findings, Revision, TimeUs};

use super::{Distribution, RevisionNotice};
use crate::action::{Action, PublishedResource};
use crate::election::{Peer, candidates};
use crate::event::{PartEncoding, PlatformCallRef, PlatformResponse, PullRef, Revisions, Update};
use crate::peer_selection::Sender;
use crate::platform_calls::PlatformCallOutcome;

impl Distribution {
    pub(super) fn on_answer(
        &mut self,
        now: TimeUs,
        call: PlatformCallRef,
        answer: PlatformResponse,
        actions: &mut Vec<Action>,
    ) {
        let outcome = match answer {
            PlatformResponse::Unreadable(_) => PlatformCallOutcome::Failed,
            _ => PlatformCallOutcome::Answered,
        };
        let finished = self.platform_calls.finish(now, call, outcome);
        let served = match answer {
            PlatformResponse::Lists(snapshot) => {
                let revision = snapshot.revision();
                self.install_lists(snapshot, actions);
                revision
            }
            PlatformResponse::Hosts(list) => {
                let revision = list.revision;
                let is_newer = self.hosts.install_if_newer(list);
                self.activate_hosts(now, is_newer, actions);
                revision
            }
            PlatformResponse::ListChanges(delta) => {
                let delta = delta.rebased_onto(self.lists.revision());
                let revision = delta.revision;
                self.apply_delta(delta, &[], actions);
                revision
            }
            PlatformResponse::HostChanges(delta) => {
                let delta = delta.rebased_onto(self.hosts.revision());
                let is_newer = self.hosts.apply(&delta).is_ok();
                self.activate_hosts(now, is_newer, actions);
                delta.revision
            }
            PlatformResponse::Unreadable(findings) => {
                report_refusal(Revision::ZERO, findings, actions);
                return;
            }
            PlatformResponse::Unchanged { revision } => revision,
        };
        // A stale replica of the platform serves an earlier revision and confirms nothing.
        let Some(finished_call) = finished else {
            return;
        };
        if finished_call.resource == PublishedResource::Hosts && served == self.hosts.revision() {
            self.hosts_fresh_at = self.hosts_fresh_at.max(finished_call.sent_at);
        }
        if finished_call.resource == PublishedResource::Lists && self.is_active_or_refused(served) {
            self.watch_fresh_at = self.watch_fresh_at.max(finished_call.sent_at);
            self.record_confirmation(now, finished_call.sent_at, actions);
        }
    }

    pub(super) fn on_pull_reply(
        &mut self,
        now: TimeUs,
        pull: PullRef,
        update: &Update,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pull) = self.pulls.finish(pull) {
            let sender = Sender {
                peer: pull.peer,
                created_after: Some(pull.sent_at),
            };
            self.apply_update(now, &sender, update, actions);
        }
    }

    /// Pulls if the sender's revisions are newer; if they are older, the sender pulls. A refused
    /// revision is not requested again.
    pub(super) fn on_revisions(
        &mut self,
        now: TimeUs,
        seen: Revisions,
        peer: Option<&Peer>,
        actions: &mut Vec<Action>,
    ) {
        let known = self.known_revisions();
        if seen.lists <= known.lists && seen.hosts <= known.hosts {
            return;
        }
        let since = self.revisions();
        if let Some(peer) = peer.or(self.peer_selection.peer_to_query()) {
            self.pulls
                .begin_if_idle(now, peer, since, self.encoding, actions);
        }
    }

    /// Whether a revision is active, or was refused so that the last valid one stays active.
    fn is_active_or_refused(&self, lists: Revision) -> bool {
        lists == self.lists.revision() || Some(lists) == self.lists.refused_revision()
    }

    /// Revisions that need not be sent to this process again: the active ones, or a refused newer
    /// one.
    pub(super) fn known_revisions(&self) -> Revisions {
        let local = self.revisions();
        let refused = self.lists.refused_revision().unwrap_or_default();
        Revisions {
            lists: local.lists.max(refused),
            hosts: local.hosts,
        }
    }

    pub(super) fn apply_update(
        &mut self,
        now: TimeUs,
        sender: &Sender,
        update: &Update,
        actions: &mut Vec<Action>,
    ) {
        self.apply_delta(update.lists.clone(), &update.patches, actions);
        let is_newer = self.hosts.apply(&update.hosts).is_ok();
        self.activate_hosts(now, is_newer, actions);
        self.apply_confirmation(now, sender, update, actions);
        let seen = Revisions {
            lists: update.lists.revision,
            hosts: update.hosts.revision,
        };
        self.on_revisions(now, seen, Some(&sender.peer), actions);
        let local = self.revisions();
        if seen.lists < local.lists || seen.hosts < local.hosts {
            self.send_notice(now, &sender.peer, actions);
        }
    }

    /// Only a message created after a known time confirms. Any other message may have been in
    /// flight for an unknown time.
    fn apply_confirmation(
        &mut self,
        now: TimeUs,
        sender: &Sender,
        update: &Update,
        actions: &mut Vec<Action>,
    ) {
        let is_active_or_refused = self.is_active_or_refused(update.lists.revision);
        let Some(created_after) = sender.created_after.filter(|_| is_active_or_refused) else {
            return;
        };
        if update.confirmed_age <= DurationUs(created_after.get()) {
            self.record_confirmation(now, created_after - update.confirmed_age, actions);
        }
    }

    /// Informs a peer of the active revisions by a pull, so that it pulls in turn; not if the last
    /// notice was the same or a pull is open.
    fn send_notice(&mut self, now: TimeUs, peer: &Peer, actions: &mut Vec<Action>) {
        let notice = RevisionNotice {
            host: peer.host.clone(),
            revisions: self.revisions(),
        };
        if self.last_notice.as_ref() != Some(&notice) && !self.pulls.is_open() {
            let since = notice.revisions;
            self.pulls.begin(now, peer, since, self.encoding, actions);
            self.last_notice = Some(notice);
        }
    }

    fn apply_delta(&mut self, mut delta: Delta, patches: &[PartPatch], actions: &mut Vec<Action>) {
        let initial = Snapshot::default();
        let base = self.lists.snapshot().unwrap_or(&initial);
        let is_applicable = delta.is_full || delta.from_revision == base.revision();
        if delta.revision <= base.revision() || !is_applicable {
            return;
        }
        match patched_parts(base, patches) {
            Ok(parts) => delta.parts.extend(parts),
            Err(_) => {
                self.encoding = PartEncoding::Full;
                return;
            }
        }
        if let Ok(snapshot) = base.apply(&delta) {
            self.install_lists(snapshot, actions);
        }
    }

    fn install_lists(&mut self, snapshot: Snapshot, actions: &mut Vec<Action>) {
        let revision = snapshot.revision();
        let is_known = self.lists.refused_revision() == Some(revision);
        self.encoding = PartEncoding::Patch;
        let mut patches = self.patches.clone();
        if let Some(earlier) = self.lists.snapshot() {
            patches.record(earlier, &snapshot);
        }
        match self.lists.install_if_newer(snapshot) {
            InstallOutcome::Applied => {
                self.patches = patches;
                if let (Some(lists), Some(keys)) = (self.lists.lists(), self.lists.keys()) {
                    actions.push(Action::ApplyLists {
                        lists: Arc::clone(lists),
                        keys: Arc::clone(keys),
                    });
                }
            }
            InstallOutcome::Invalid(findings) if !is_known => {
                report_refusal(revision, findings, actions)
            }
            InstallOutcome::Invalid(_) | InstallOutcome::Older => {}
        }
    }

    fn activate_hosts(&mut self, now: TimeUs, is_newer: bool, actions: &mut Vec<Action>) {
        let Some(list) = self.hosts.list().filter(|_| is_newer) else {
            return;
        };
        self.peer_selection
            .set_candidates(now, candidates(list, &self.local));
        actions.push(Action::ApplyHosts(Arc::clone(list)));
    }

    fn record_confirmation(&mut self, now: TimeUs, at: TimeUs, actions: &mut Vec<Action>) {
        if self.lists.has_lists() && self.confirmed_at < Some(at) {
            self.confirmed_at = Some(at);
            actions.push(Action::Confirmed { age: now.since(at) });
        }
    }
}

fn report_refusal(revision: Revision, findings: Findings, actions: &mut Vec<Action>) {
    actions.push(Action::Refused { revision, findings });
}
