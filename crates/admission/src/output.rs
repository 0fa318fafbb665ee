//! Output buffer of an attempt: chunks that the entry has not acknowledged.
//!
//! Chunks are numbered without gaps and retained until they are acknowledged, so a new stream can
//! resume at any sequence number that the entry has not acknowledged.

use std::collections::VecDeque;

use cuminlead_protocol::{Chunk, FinishReason};
use cuminlead_types::{AttemptId, Incarnation, SequenceNumber, Tokens};

/// Tokens that the engine generated, with their text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Generated {
    /// Index of the first token in the output, from 0.
    pub first_token: u64,
    /// Text of the tokens.
    pub text: String,
    /// Number of tokens in `text`.
    pub tokens: Tokens,
    /// Why the output ended; set with the last token only.
    pub finish: Option<FinishReason>,
}

impl Generated {
    fn is_empty(&self) -> bool {
        self.tokens.0 == 0 && self.text.is_empty() && self.finish.is_none()
    }
}

/// Result of [`OutputBuffer::accept`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The tokens were retained as the next chunk.
    Chunk(Chunk),
    /// The tokens were received before, there are none, or the output is complete.
    Duplicate,
    /// Earlier tokens are missing, or only some of the tokens were received before.
    OutOfOrder,
}

/// Unacknowledged output of one attempt.
#[derive(Debug)]
pub struct OutputBuffer {
    id: AttemptId,
    incarnation: Incarnation,
    first_retained: SequenceNumber,
    chunks: VecDeque<Chunk>,
    received_tokens: u64,
    is_complete: bool,
}

impl OutputBuffer {
    /// Empty buffer whose first chunk gets the number `first`.
    pub fn new(id: AttemptId, incarnation: Incarnation, first: SequenceNumber) -> Self {
        Self {
            id,
            incarnation,
            first_retained: first,
            chunks: VecDeque::new(),
            received_tokens: 0,
            is_complete: false,
        }
    }

    /// Number of tokens received from the engine.
    pub fn received_tokens(&self) -> Tokens {
        Tokens(self.received_tokens)
    }

    /// Sequence number of the next chunk.
    pub fn next_sequence(&self) -> SequenceNumber {
        SequenceNumber(self.first_retained.0 + self.chunks.len() as u64)
    }

    /// Whether the engine has generated the last token.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Whether the complete output has been acknowledged.
    pub fn is_delivered(&self) -> bool {
        self.is_complete && self.chunks.is_empty()
    }

    /// Whether delivery can resume at `next`: a retained chunk or the next one.
    pub fn can_resume_at(&self, next: SequenceNumber) -> bool {
        self.first_retained <= next && next <= self.next_sequence()
    }

    /// Retains generated tokens as the next chunk.
    pub fn accept(&mut self, generated: Generated) -> AcceptOutcome {
        let end = generated.first_token.saturating_add(generated.tokens.0);
        let is_duplicate =
            generated.first_token < self.received_tokens && end <= self.received_tokens;
        if self.is_complete || is_duplicate || generated.is_empty() {
            return AcceptOutcome::Duplicate;
        }
        if generated.first_token != self.received_tokens {
            return AcceptOutcome::OutOfOrder;
        }
        let chunk = self.next_chunk(generated);
        self.received_tokens = end;
        self.is_complete = chunk.finish.is_some();
        self.chunks.push_back(chunk.clone());
        AcceptOutcome::Chunk(chunk)
    }

    /// Drops all chunks before `next`; a number beyond the next chunk is ignored.
    pub fn acknowledge(&mut self, next: SequenceNumber) {
        if next > self.next_sequence() {
            return;
        }
        while self.first_retained < next {
            self.chunks.pop_front();
            self.first_retained = self.first_retained.next();
        }
    }

    /// Retained chunks, in order.
    pub fn retained(&self) -> impl Iterator<Item = &Chunk> {
        self.chunks.iter()
    }

    fn next_chunk(&self, generated: Generated) -> Chunk {
        Chunk {
            id: self.id,
            incarnation: self.incarnation,
            sequence: self.next_sequence(),
            text: generated.text,
            tokens: generated.tokens,
            finish: generated.finish,
        }
    }
}
