//! Messages that were sent to agents and have not been answered.
//!
//! A message stays in the table after its deadline, because a late reply may still report a
//! resource that has to be released. The first reply removes the message; any further reply to it
//! is dropped.

use cuminlead_types::{Attempt, BackendServerId, TimeUs};

use crate::call::SendRef;

/// Kind of a sent message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendKind {
    Reserve,
    Prefill,
    Release,
    Permit,
    Run,
    Ask,
}

/// A message without an answer.
#[derive(Clone, Debug)]
pub(crate) struct SentMessage {
    pub(crate) send: SendRef,
    pub(crate) kind: SendKind,
    pub(crate) server: BackendServerId,
    pub(crate) attempt: Attempt,
    /// When the message counts as lost; `None` once that was decided.
    pub(crate) deadline: Option<TimeUs>,
}

/// All messages of one call without an answer.
#[derive(Debug, Default)]
pub(crate) struct Sends {
    sent_count: u64,
    messages: Vec<SentMessage>,
}

impl Sends {
    /// Lists a new message and numbers it.
    pub(crate) fn add(
        &mut self,
        kind: SendKind,
        server: &BackendServerId,
        attempt: Attempt,
        deadline: TimeUs,
    ) -> SendRef {
        let send = SendRef(self.sent_count);
        self.sent_count += 1;
        self.messages.push(SentMessage {
            send,
            kind,
            server: server.clone(),
            attempt,
            deadline: Some(deadline),
        });
        send
    }

    /// Takes the message that an answer belongs to.
    pub(crate) fn settle(&mut self, send: SendRef) -> Option<SentMessage> {
        let index = self.messages.iter().position(|m| m.send == send)?;
        Some(self.messages.remove(index))
    }

    /// Messages whose deadline has passed; each is returned once and stays listed.
    pub(crate) fn take_overdue(&mut self, now: TimeUs) -> Vec<SentMessage> {
        let mut overdue = Vec::new();
        for message in &mut self.messages {
            if message.deadline.is_some_and(|deadline| deadline <= now) {
                message.deadline = None;
                overdue.push(message.clone());
            }
        }
        overdue
    }

    /// Stops waiting for a message; a late answer is still recognised.
    pub(crate) fn give_up(&mut self, send: SendRef) {
        for message in &mut self.messages {
            if message.send == send {
                message.deadline = None;
            }
        }
    }

    /// Waits until `deadline` for late answers to messages of the given kinds.
    pub(crate) fn linger(&mut self, kinds: &[SendKind], deadline: TimeUs) {
        for message in &mut self.messages {
            if kinds.contains(&message.kind) {
                message.deadline = Some(deadline);
            }
        }
    }

    /// Earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<TimeUs> {
        self.messages.iter().filter_map(|m| m.deadline).min()
    }
}
