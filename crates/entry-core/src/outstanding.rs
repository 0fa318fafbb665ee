//! Messages that were sent to agents and have not been answered.
//!
//! A message stays in the table after its deadline, because a late reply may still report a
//! resource that has to be released. The first reply removes the message; any further reply to it
//! is dropped.

use cuminlead_types::{Attempt, BackendServerId, TimeUs};

use crate::call::SendRef;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    Reserve,
    Prefill,
    Release,
    Permit,
    Run,
    Query,
}

#[derive(Clone, Debug)]
pub(crate) struct SentMessage {
    pub(crate) send: SendRef,
    pub(crate) kind: MessageKind,
    pub(crate) server: BackendServerId,
    pub(crate) attempt: Attempt,
    /// When the message counts as lost; `None` once it was returned as timed out or the call
    /// stopped waiting for it.
    pub(crate) deadline: Option<TimeUs>,
}

/// Messages of one call without a reply.
#[derive(Debug, Default)]
pub(crate) struct OutstandingMessages {
    sent_count: u64,
    messages: Vec<SentMessage>,
}

impl OutstandingMessages {
    /// Records a new message and returns its number.
    pub(crate) fn add(
        &mut self,
        kind: MessageKind,
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

    /// Removes the message that a reply belongs to; `None` when it was answered before.
    pub(crate) fn remove(&mut self, send: SendRef) -> Option<SentMessage> {
        let index = self.messages.iter().position(|m| m.send == send)?;
        Some(self.messages.remove(index))
    }

    /// Messages whose deadline has passed. Each is returned once and stays recorded for a late
    /// reply.
    pub(crate) fn take_timed_out(&mut self, now: TimeUs) -> Vec<SentMessage> {
        let mut overdue = Vec::new();
        for message in &mut self.messages {
            if message.deadline.is_some_and(|deadline| deadline <= now) {
                message.deadline = None;
                overdue.push(message.clone());
            }
        }
        overdue
    }

    /// Stops waiting for a message; a late reply is still recognised.
    pub(crate) fn clear_deadline(&mut self, send: SendRef) {
        for message in &mut self.messages {
            if message.send == send {
                message.deadline = None;
            }
        }
    }

    /// Waits until `deadline` for late replies to messages of the given kinds.
    pub(crate) fn await_late_replies(&mut self, kinds: &[MessageKind], deadline: TimeUs) {
        for message in &mut self.messages {
            if kinds.contains(&message.kind) {
                message.deadline = Some(deadline);
            }
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<TimeUs> {
        self.messages.iter().filter_map(|m| m.deadline).min()
    }
}
