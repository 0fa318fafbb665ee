//! Events, deadlines and acknowledgements of the decode stream.

use cuminlead_protocol::{AgentFailure, AgentState, Chunk, DecodeControl, DecodeEvent};
use cuminlead_retry::{Evidence, Step};
use cuminlead_types::TimeUs;

use super::ModelCall;
use super::state::{OpenStream, Phase};
use crate::call::{CallAction, CallStreamRef, Delivery};
use crate::cause::Cause;
use crate::turn::Turn;

/// Imports of one KV cache before it is computed anew.
const IMPORTS_MAX_COUNT: u32 = 2;

impl ModelCall {
    pub(super) fn stream_event(
        &mut self,
        turn: &mut Turn,
        stream: CallStreamRef,
        event: DecodeEvent,
    ) {
        let Some(open) = self.open_of(stream) else {
            return;
        };
        open.heard_at = turn.now;
        match event {
            DecodeEvent::Imported(state) => self.imported(turn, &state),
            DecodeEvent::Heartbeat(state) => {
                self.check_incarnation(turn, &state);
            }
            DecodeEvent::Chunk(chunk) => self.chunk(turn, chunk),
            DecodeEvent::Failed { state, failure } => self.stream_failed(turn, &state, &failure),
        }
    }

    pub(super) fn stream_lost(
        &mut self,
        turn: &mut Turn,
        stream: CallStreamRef,
        evidence: Evidence,
    ) {
        if self.open_of(stream).is_some() {
            self.recover(turn, self.stream_step(), Cause::new(evidence));
        }
    }

    pub(super) fn stream_step(&self) -> Step {
        if self.attempt.is_imported {
            Step::Decode
        } else {
            Step::Transfer
        }
    }

    fn open_of(&mut self, stream: CallStreamRef) -> Option<&mut OpenStream> {
        match &mut self.phase {
            Phase::Stream(open) if open.stream == stream => Some(open),
            _ => None,
        }
    }

    fn imported(&mut self, turn: &mut Turn, state: &AgentState) {
        if self.check_incarnation(turn, state) {
            self.set_imported(turn);
        }
    }

    /// The decode engine has the KV cache, so the prefill engine may free it.
    fn set_imported(&mut self, turn: &mut Turn) {
        if self.attempt.is_imported {
            return;
        }
        self.attempt.is_imported = true;
        let server = self.attempt.prefill.clone();
        self.release(turn, &server, self.attempt.number, false);
    }

    /// Whether the agent is still the one that granted the place; otherwise the attempt is lost.
    fn check_incarnation(&mut self, turn: &mut Turn, state: &AgentState) -> bool {
        if state.incarnation == self.attempt.incarnation {
            return true;
        }
        let cause = Cause::new(Evidence::NewIncarnation);
        self.recover(turn, self.stream_step(), cause);
        false
    }

    fn chunk(&mut self, turn: &mut Turn, chunk: Chunk) {
        if !self.is_of_attempt(&chunk) || chunk.sequence < self.answer.next {
            return;
        }
        if chunk.sequence > self.answer.next {
            // The agent believes that the missing chunk was delivered; only a resumption brings it.
            self.recover(turn, Step::Decode, Cause::new(Evidence::Silent));
            return;
        }
        self.set_imported(turn);
        self.accept(turn, chunk);
    }

    fn is_of_attempt(&self, chunk: &Chunk) -> bool {
        chunk.id.request == self.request.id
            && chunk.id.attempt == self.attempt.number
            && chunk.incarnation == self.attempt.incarnation
    }

    fn accept(&mut self, turn: &mut Turn, chunk: Chunk) {
        self.answer.next = chunk.sequence.next();
        self.answer.text.push_str(&chunk.text);
        self.answer.tokens += chunk.tokens;
        self.attempt.has_delivered = true;
        self.attempt.resume_count = 0;
        turn.push(CallAction::Deliver(Delivery {
            sequence: chunk.sequence,
            text: chunk.text,
            tokens: chunk.tokens,
            finish: chunk.finish,
        }));
        if chunk.finish.is_some() {
            self.finish(turn);
        }
    }

    fn stream_failed(&mut self, turn: &mut Turn, state: &AgentState, failure: &AgentFailure) {
        let cause = self.stream_cause(state, failure);
        if cause.is_transfer {
            self.import_failed(turn, cause);
        } else {
            self.recover(turn, self.stream_step(), cause);
        }
    }

    fn stream_cause(&self, state: &AgentState, failure: &AgentFailure) -> Cause {
        if state.incarnation != self.attempt.incarnation {
            return Cause::new(Evidence::NewIncarnation);
        }
        let cause = Cause::from_failure(failure);
        if cause.is_transfer && self.attempt.is_imported {
            // The prefill was released after its import, so there is nothing to import again.
            return Cause::new(Evidence::EngineFailed);
        }
        cause
    }

    /// The agent has returned the place to reserved. The KV cache is still held, so one more import
    /// is cheaper than another prefill.
    fn import_failed(&mut self, turn: &mut Turn, cause: Cause) {
        if let Phase::Stream(open) = &self.phase {
            self.attempt.lease_ends_at = Some(open.acknowledged_at + self.attempt.lease_us);
        }
        self.attempt.import_failed_count += 1;
        if self.attempt.import_failed_count >= IMPORTS_MAX_COUNT {
            self.recover(turn, Step::Transfer, cause);
            return;
        }
        self.count_retry(turn, Step::Transfer, cause);
        self.close_stream(turn, false);
        self.open_stream(turn, false);
    }

    pub(super) fn acknowledge(&mut self, turn: &mut Turn) {
        let next = self.answer.next;
        if let Phase::Stream(open) = &mut self.phase {
            open.acknowledged_at = turn.now;
            turn.push(CallAction::Control {
                stream: open.stream,
                control: DecodeControl::Acknowledge(next),
            });
        }
    }

    /// Closes the open stream, cancelling what it carries when `cancel` is set.
    pub(super) fn close_stream(&mut self, turn: &mut Turn, cancel: bool) {
        let Phase::Stream(open) = &self.phase else {
            return;
        };
        let stream = open.stream;
        if cancel {
            turn.push(CallAction::Control {
                stream,
                control: DecodeControl::Cancel,
            });
        }
        turn.push(CallAction::CloseStream { stream });
    }

    pub(super) fn stream_deadline(&self) -> Option<TimeUs> {
        let Phase::Stream(open) = &self.phase else {
            return None;
        };
        let silent_at = open.heard_at + self.config.silence_us;
        let acknowledge_at = open.acknowledged_at + self.config.acknowledge_us;
        Some(silent_at.min(acknowledge_at))
    }

    pub(super) fn check_stream(&mut self, turn: &mut Turn) {
        let Phase::Stream(open) = self.phase else {
            return;
        };
        if open.heard_at + self.config.silence_us <= turn.now {
            self.recover(turn, self.stream_step(), Cause::new(Evidence::Silent));
        } else if open.acknowledged_at + self.config.acknowledge_us <= turn.now {
            self.acknowledge(turn);
        }
    }
}
