//! Completion, failure and cancellation of a model call.
//!
//! Every path ends here, so the caller gets one final result, and all resources that agents may
//! hold for the call are released.

use cuminlead_protocol::{FinishReason, Prefilled};
use cuminlead_retry::Evidence;
use cuminlead_types::{TimeUs, Tokens};

use super::ModelCall;
use super::state::Phase;
use crate::call::{CallAction, Delivery};
use crate::cause::Cause;
use crate::error::{CallOutcome, CallerError};
use crate::outstanding::MessageKind;
use crate::turn::Turn;

impl ModelCall {
    /// Completes the call after its last chunk was delivered.
    pub(super) fn finish(&mut self, turn: &mut Turn) {
        self.acknowledge(turn);
        self.close_stream(turn, false);
        turn.report(&self.attempt.decode_server, None);
        // The engine has finished the sequence, and the acknowledgement releases the output that
        // the agent retains.
        self.resources
            .mark_released(&self.attempt.decode_server, self.attempt.number);
        self.attempt.prefilled = None;
        self.release_all(turn, false);
        self.end(turn);
    }

    /// Completes an output of full length whose last chunk was lost with its attempt.
    pub(super) fn finish_at_length(&mut self, turn: &mut Turn, evidence: Evidence) {
        self.abandon_attempt(turn, evidence);
        turn.push(CallAction::Deliver(Delivery {
            sequence: self.delivered.next_sequence,
            text: String::new(),
            tokens: Tokens::ZERO,
            finish: Some(FinishReason::Length),
        }));
        self.end(turn);
    }

    /// Ends the call with an error for the caller.
    pub(super) fn fail(&mut self, turn: &mut Turn, cause: Cause) {
        if self.phase == Phase::Ended {
            return;
        }
        self.abandon_attempt(turn, cause.evidence);
        turn.push(CallAction::Fail(self.caller_error(cause)));
        self.end(turn);
    }

    pub(super) fn on_caller_disconnected(&mut self, turn: &mut Turn) {
        if self.phase == Phase::Ended {
            return;
        }
        self.abandon_attempt(turn, Evidence::Cancelled);
        self.end(turn);
    }

    fn end(&mut self, turn: &mut Turn) {
        self.phase = Phase::Ended;
        let late_until = turn.now + self.config.message_timeout_us;
        self.outstanding
            .await_late_replies(&[MessageKind::Reserve, MessageKind::Prefill], late_until);
    }

    /// Abandons the attempt and releases whatever agents may hold for the call.
    pub(super) fn abandon_attempt(&mut self, turn: &mut Turn, evidence: Evidence) {
        self.close_stream(turn, true);
        if let Phase::Reserve(send) | Phase::Prefill(send) = self.phase {
            self.outstanding.clear_deadline(send);
        }
        if let Some(prefilled) = self.attempt.prefilled.take() {
            let is_used = self.attempt.has_delivered && evidence == Evidence::Cancelled;
            if !is_used {
                self.count_wasted_prefill(turn, &prefilled, evidence);
            }
        }
        self.release_all(turn, needs_new_connection(evidence));
    }

    fn release_all(&mut self, turn: &mut Turn, use_new_connection: bool) {
        for resource in self.resources.in_use() {
            self.release(turn, &resource.server, resource.attempt, use_new_connection);
        }
    }

    pub(super) fn count_wasted_prefill(
        &self,
        turn: &mut Turn,
        prefilled: &Prefilled,
        cause: Evidence,
    ) {
        let tokens = prefilled
            .prompt_tokens
            .saturating_sub(prefilled.cached_tokens);
        if tokens.get() > 0 {
            turn.push(CallAction::WastedPrefill { tokens, cause });
        }
    }

    fn caller_error(&self, cause: Cause) -> CallerError {
        let outcome = if self.delivered.next_sequence.get() == 0 {
            CallOutcome::NotRun
        } else {
            CallOutcome::Incomplete
        };
        CallerError {
            code: cause.error_code(),
            outcome,
            message: cause.message(),
        }
    }

    pub(super) fn request_deadline(&self) -> Option<TimeUs> {
        let is_running = !matches!(self.phase, Phase::Created | Phase::Ended);
        is_running.then_some(self.limits.deadline)
    }

    pub(super) fn check_request_deadline(&mut self, turn: &mut Turn) {
        if self.request_deadline().is_some_and(|end| end <= turn.now) {
            self.fail(turn, Cause::new(Evidence::TimedOut));
        }
    }
}

/// Whether the next message to the server needs a new connection, because the current one may be
/// unresponsive.
pub(super) fn needs_new_connection(evidence: Evidence) -> bool {
    matches!(evidence, Evidence::Unresponsive | Evidence::TimedOut)
}
