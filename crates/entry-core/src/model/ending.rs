//! The one ending of a model call.

use cuminlead_protocol::{FinishReason, Prefilled};
use cuminlead_retry::Evidence;
use cuminlead_types::{TimeUs, Tokens};

use super::ModelCall;
use super::state::Phase;
use crate::call::{CallAction, Delivery};
use crate::cause::Cause;
use crate::error::{CallOutcome, CallerError};
use crate::sends::SendKind;
use crate::turn::Turn;

impl ModelCall {
    /// Ends the call after its last chunk was delivered.
    pub(super) fn finish(&mut self, turn: &mut Turn) {
        self.acknowledge(turn);
        self.close_stream(turn, false);
        turn.report(&self.attempt.decode, None);
        // The engine has ended the sequence, and the acknowledgement frees the retained answer.
        self.holds.settle(&self.attempt.decode, self.attempt.number);
        self.attempt.prefilled = None;
        self.release_all(turn, false);
        self.end(turn);
    }

    /// Ends an answer that has its full length but lost its last chunk with its attempt.
    pub(super) fn finish_at_length(&mut self, turn: &mut Turn, evidence: Evidence) {
        self.abandon(turn, evidence);
        turn.push(CallAction::Deliver(Delivery {
            sequence: self.answer.next,
            text: String::new(),
            tokens: Tokens::ZERO,
            finish: Some(FinishReason::Length),
        }));
        self.end(turn);
    }

    /// Ends the call with an error.
    pub(super) fn fail(&mut self, turn: &mut Turn, cause: Cause) {
        if self.phase == Phase::Ended {
            return;
        }
        self.abandon(turn, cause.evidence);
        turn.push(CallAction::Fail(self.caller_error(cause)));
        self.end(turn);
    }

    pub(super) fn caller_gone(&mut self, turn: &mut Turn) {
        if self.phase == Phase::Ended {
            return;
        }
        self.abandon(turn, Evidence::Cancelled);
        self.end(turn);
    }

    fn end(&mut self, turn: &mut Turn) {
        self.phase = Phase::Ended;
        let late_until = turn.now + self.config.message_timeout_us;
        self.sends
            .linger(&[SendKind::Reserve, SendKind::Prefill], late_until);
    }

    /// Gives up the attempt and frees whatever it may hold anywhere.
    pub(super) fn abandon(&mut self, turn: &mut Turn, evidence: Evidence) {
        self.close_stream(turn, true);
        if let Phase::Reserve(send) | Phase::Prefill(send) = self.phase {
            self.sends.give_up(send);
        }
        if let Some(prefilled) = self.attempt.prefilled.take() {
            let is_used = self.attempt.has_delivered && evidence == Evidence::Cancelled;
            if !is_used {
                self.count_waste(turn, &prefilled, evidence);
            }
        }
        self.release_all(turn, is_connection_doubtful(evidence));
    }

    fn release_all(&mut self, turn: &mut Turn, fresh: bool) {
        for hold in self.holds.in_use() {
            self.release(turn, &hold.server, hold.attempt, fresh);
        }
    }

    pub(super) fn count_waste(&self, turn: &mut Turn, prefilled: &Prefilled, cause: Evidence) {
        let tokens = prefilled
            .prompt_tokens
            .saturating_sub(prefilled.cached_tokens);
        if tokens.get() > 0 {
            turn.push(CallAction::WastedPrefill { tokens, cause });
        }
    }

    fn caller_error(&self, cause: Cause) -> CallerError {
        let outcome = if self.answer.next.get() == 0 {
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

    pub(super) fn time_limit(&self) -> Option<TimeUs> {
        let is_running = !matches!(self.phase, Phase::Created | Phase::Ended);
        is_running.then_some(self.limits.ends_at)
    }

    pub(super) fn check_time_limit(&mut self, turn: &mut Turn) {
        if self.time_limit().is_some_and(|end| end <= turn.now) {
            self.fail(turn, Cause::new(Evidence::TimedOut));
        }
    }
}

/// Whether a message should not go out on the present connection to the server.
pub(super) fn is_connection_doubtful(evidence: Evidence) -> bool {
    matches!(evidence, Evidence::Silent | Evidence::TimedOut)
}
