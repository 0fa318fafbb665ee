//! Events, deadlines and acknowledgements of the decode stream.

use cuminlead_protocol::{AgentFailure, AgentState, Chunk, DecodeControl, DecodeEvent};
use cuminlead_quarantine::SOUND_AFTER;
use cuminlead_retry::{Evidence, Step};
use cuminlead_types::TimeUs;

use super::ModelCall;
use super::state::{OpenStream, Phase};
use crate::call::{CallAction, CallStreamRef, Delivery};
use crate::cause::Cause;
use crate::turn::Turn;

/// Maximum number of imports of one KV cache; after that it is computed again.
const IMPORTS_MAX_COUNT: u32 = 2;

impl ModelCall {
    pub(super) fn on_stream_event(
        &mut self,
        turn: &mut Turn,
        stream: CallStreamRef,
        event: DecodeEvent,
    ) {
        let Some(open) = self.current_stream(stream) else {
            return;
        };
        open.last_event_at = turn.now;
        match event {
            DecodeEvent::Imported(state) => self.on_imported(turn, &state),
            DecodeEvent::Heartbeat(state) => {
                self.check_incarnation(turn, &state);
            }
            DecodeEvent::Chunk(chunk) => self.on_chunk(turn, chunk),
            DecodeEvent::Failed { state, failure } => self.on_stream_failed(turn, &state, &failure),
        }
    }

    pub(super) fn on_stream_lost(
        &mut self,
        turn: &mut Turn,
        stream: CallStreamRef,
        evidence: Evidence,
    ) {
        if self.current_stream(stream).is_some() {
            self.recover(turn, self.stream_step(), Cause::new(evidence));
        }
    }

    pub(super) fn stream_step(&self) -> Step {
        if self.attempt.is_kv_imported {
            Step::Decode
        } else {
            Step::Transfer
        }
    }

    fn current_stream(&mut self, stream: CallStreamRef) -> Option<&mut OpenStream> {
        match &mut self.phase {
            Phase::Stream(open) if open.stream == stream => Some(open),
            _ => None,
        }
    }

    fn on_imported(&mut self, turn: &mut Turn, state: &AgentState) {
        if self.check_incarnation(turn, state) {
            self.mark_kv_imported(turn);
        }
    }

    /// The decode engine has the KV cache, so the prefill server can release its copy.
    fn mark_kv_imported(&mut self, turn: &mut Turn) {
        if self.attempt.is_kv_imported {
            return;
        }
        self.attempt.is_kv_imported = true;
        let server = self.attempt.prefill_server.clone();
        self.release(turn, &server, self.attempt.number, false);
    }

    /// Whether the agent is still the incarnation that reserved the slot; otherwise the attempt is
    /// lost.
    fn check_incarnation(&mut self, turn: &mut Turn, state: &AgentState) -> bool {
        if state.incarnation == self.attempt.incarnation {
            return true;
        }
        let cause = Cause::new(Evidence::NewIncarnation);
        self.recover(turn, self.stream_step(), cause);
        false
    }

    fn on_chunk(&mut self, turn: &mut Turn, chunk: Chunk) {
        if !self.is_of_current_attempt(&chunk) || chunk.sequence < self.delivered.next_sequence {
            return;
        }
        if chunk.sequence > self.delivered.next_sequence {
            // The agent assumes that the missing chunk was delivered, and sends it again only after
            // a resumption.
            self.recover(turn, Step::Decode, Cause::new(Evidence::Unresponsive));
            return;
        }
        self.mark_kv_imported(turn);
        self.deliver(turn, chunk);
    }

    fn is_of_current_attempt(&self, chunk: &Chunk) -> bool {
        chunk.id.request == self.request.id
            && chunk.id.attempt == self.attempt.number
            && chunk.incarnation == self.attempt.incarnation
    }

    fn deliver(&mut self, turn: &mut Turn, chunk: Chunk) {
        self.delivered.next_sequence = chunk.sequence.next();
        self.delivered.text.push_str(&chunk.text);
        self.delivered.tokens += chunk.tokens;
        self.attempt.has_delivered = true;
        self.attempt.resume_count = 0;
        self.report_output(turn, chunk.finish.is_some());
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

    /// Reports once for an attempt that the engine has generated output for long enough, or all of
    /// it.
    fn report_output(&mut self, turn: &mut Turn, is_last: bool) {
        let first_chunk_at = *self.attempt.first_chunk_at.get_or_insert(turn.now);
        let is_sound = is_last || turn.now.since(first_chunk_at) >= SOUND_AFTER;
        if is_sound && !self.attempt.is_output_reported {
            self.attempt.is_output_reported = true;
            turn.push(CallAction::OutputGenerated {
                prompt_parts: self.prompt_parts.clone(),
            });
        }
    }

    fn on_stream_failed(&mut self, turn: &mut Turn, state: &AgentState, failure: &AgentFailure) {
        let cause = self.stream_failure_cause(state, failure);
        if cause.is_transfer_failure {
            self.on_import_failed(turn, cause);
        } else {
            self.recover(turn, self.stream_step(), cause);
        }
    }

    fn stream_failure_cause(&self, state: &AgentState, failure: &AgentFailure) -> Cause {
        if state.incarnation != self.attempt.incarnation {
            return Cause::new(Evidence::NewIncarnation);
        }
        let cause = Cause::from_failure(failure);
        if cause.is_transfer_failure && self.attempt.is_kv_imported {
            // The prefill server's KV cache was released after the import, so it cannot be imported
            // again.
            return Cause::new(Evidence::EngineFailed);
        }
        cause
    }

    /// Handles a failed import. The agent keeps the decode slot reserved and the prefill server
    /// retains the KV cache, so one more import is cheaper than another prefill.
    fn on_import_failed(&mut self, turn: &mut Turn, cause: Cause) {
        if let Phase::Stream(open) = &self.phase {
            self.attempt.lease_expires_at = Some(open.acknowledged_at + self.attempt.lease_us);
        }
        self.attempt.failed_import_count += 1;
        if self.attempt.failed_import_count >= IMPORTS_MAX_COUNT {
            self.recover(turn, Step::Transfer, cause);
            return;
        }
        self.count_retry(turn, Step::Transfer, cause);
        self.close_stream(turn, false);
        self.open_stream(turn, false);
    }

    pub(super) fn acknowledge(&mut self, turn: &mut Turn) {
        let next = self.delivered.next_sequence;
        if let Phase::Stream(open) = &mut self.phase {
            open.acknowledged_at = turn.now;
            turn.push(CallAction::Control {
                stream: open.stream,
                control: DecodeControl::Acknowledge(next),
            });
        }
    }

    /// Closes the open stream. With `cancel` set, the sequence on it is cancelled first.
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
        let unresponsive_at = open.last_event_at + self.config.unresponsive_timeout_us;
        let acknowledge_at = open.acknowledged_at + self.config.acknowledge_interval_us;
        Some(unresponsive_at.min(acknowledge_at))
    }

    pub(super) fn check_stream_timeouts(&mut self, turn: &mut Turn) {
        let Phase::Stream(open) = self.phase else {
            return;
        };
        if open.last_event_at + self.config.unresponsive_timeout_us <= turn.now {
            self.recover(turn, self.stream_step(), Cause::new(Evidence::Unresponsive));
        } else if open.acknowledged_at + self.config.acknowledge_interval_us <= turn.now {
            self.acknowledge(turn);
        }
    }
}
