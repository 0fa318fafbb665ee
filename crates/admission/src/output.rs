//! Output buffer of an attempt: chunks that the entry has not acknowledged.
//!
//! Chunks are numbered without gaps and retained until they are acknowledged, so a new stream can
//! resume at any sequence number that the entry has not acknowledged.

use std::collections::VecDeque;

use cuminlead_protocol::{Chunk, FinishReason};
use cuminlead_types::{AttemptId, Incarnation, SequenceNumber, Tokens};

/// Text that the engine generated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Generated {
    /// Number of the first token.
    pub first_token: u64,
    /// Text.
    pub text: String,
    /// Tokens in `text`.
    pub tokens: Tokens,
    /// Set with the last token.
    pub finish: Option<FinishReason>,
}

impl Generated {
    fn is_empty(&self) -> bool {
        self.tokens.0 == 0 && self.text.is_empty() && self.finish.is_none()
    }
}

/// What became of generated text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// It is the next chunk.
    Chunk(Chunk),
    /// It had arrived before, or it is empty.
    Repeat,
    /// Tokens before it are missing, or it repeats only a part.
    OutOfOrder,
}

/// Retained output of one attempt.
#[derive(Debug)]
pub struct Output {
    id: AttemptId,
    incarnation: Incarnation,
    first_retained: SequenceNumber,
    chunks: VecDeque<Chunk>,
    received_tokens: u64,
    is_complete: bool,
}

impl Output {
    /// Output whose first chunk has the number `first`.
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

    /// Tokens received from the engine.
    pub fn received_tokens(&self) -> Tokens {
        Tokens(self.received_tokens)
    }

    /// Number of the next chunk.
    pub fn next_sequence(&self) -> SequenceNumber {
        SequenceNumber(self.first_retained.0 + self.chunks.len() as u64)
    }

    /// Whether the last chunk has been made.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Whether the whole answer has been acknowledged.
    pub fn is_delivered(&self) -> bool {
        self.is_complete && self.chunks.is_empty()
    }

    /// Whether delivery can resume at `next`.
    pub fn can_resume_at(&self, next: SequenceNumber) -> bool {
        self.first_retained <= next && next <= self.next_sequence()
    }

    /// Retains generated text as the next chunk.
    pub fn accept(&mut self, generated: Generated) -> Accepted {
        let end = generated.first_token.saturating_add(generated.tokens.0);
        let is_repeat = generated.first_token < self.received_tokens && end <= self.received_tokens;
        if self.is_complete || is_repeat || generated.is_empty() {
            return Accepted::Repeat;
        }
        if generated.first_token != self.received_tokens {
            return Accepted::OutOfOrder;
        }
        let chunk = self.chunk_of(generated);
        self.received_tokens = end;
        self.is_complete = chunk.finish.is_some();
        self.chunks.push_back(chunk.clone());
        Accepted::Chunk(chunk)
    }

    /// Drops all chunks before `next`; numbers not yet made are ignored.
    pub fn acknowledge(&mut self, next: SequenceNumber) {
        if next > self.next_sequence() {
            return;
        }
        while self.first_retained < next {
            self.chunks.pop_front();
            self.first_retained = self.first_retained.next();
        }
    }

    /// Chunks that are retained, in order.
    pub fn retained(&self) -> impl Iterator<Item = &Chunk> {
        self.chunks.iter()
    }

    fn chunk_of(&self, generated: Generated) -> Chunk {
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
