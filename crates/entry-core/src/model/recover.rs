//! Retries of a model call after a failed step, by the retry table.

use cuminlead_protocol::RefusalReason;
use cuminlead_retry::{CallKind, Decision, Evidence, Step, decide};
use cuminlead_types::{BackendServerId, Tokens};

use super::ModelCall;
use super::ending::is_connection_doubtful;
use super::state::Phase;
use super::steps::step_of;
use crate::call::CallAction;
use crate::cause::Cause;
use crate::sends::SendKind;
use crate::turn::Turn;

impl ModelCall {
    pub(super) fn recover(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        self.last_cause = Some(cause);
        match decide(CallKind::Model, step, cause.evidence) {
            Decision::RetrySame | Decision::Resume | Decision::AskOwner => {
                self.resume(turn, step, cause);
            }
            Decision::RetryElsewhere => self.retry_elsewhere(turn, step, cause),
            Decision::ReportNotRun | Decision::ReportUnknown | Decision::Stop => {
                self.report_failure(turn, step, cause);
                self.fail(turn, cause);
            }
        }
    }

    /// Repeats a lost message over a fresh connection, where agents join it with the first one.
    /// Only when that brings no answer either is the step itself judged by the table.
    pub(super) fn message_lost(&mut self, turn: &mut Turn, step: Step) {
        let cause = Cause::new(Evidence::Silent);
        if self.attempt.repeat_count >= self.config.repeats_max_count {
            self.recover(turn, step, cause);
            return;
        }
        self.attempt.repeat_count += 1;
        self.count_retry(turn, step, cause);
        if step == Step::Reserve || self.must_reserve(turn.now) {
            self.send_reserve(turn, true);
        } else {
            self.send_prefill(turn, true);
        }
    }

    /// Opens the stream again over a fresh connection. A message was repeated before already.
    fn resume(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        let is_stream = matches!(self.phase, Phase::Stream(_));
        if !is_stream || self.attempt.resume_count >= self.config.repeats_max_count {
            self.retry_elsewhere(turn, step, cause);
            return;
        }
        self.attempt.resume_count += 1;
        self.count_retry(turn, step, cause);
        self.close_stream(turn, false);
        self.open_stream(turn, true);
    }

    fn retry_elsewhere(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        self.report_failure(turn, step, cause);
        let is_prefill_fault = step == Step::Prefill || cause.is_transfer;
        if is_prefill_fault && self.lease_lasts(turn) {
            self.other_prefill(turn, step, cause);
        } else {
            self.new_attempt(turn, step, cause);
        }
    }

    /// Whether the decode place outlasts another prefill.
    fn lease_lasts(&self, turn: &Turn) -> bool {
        let done_at = turn.now + self.prefill_estimate();
        self.attempt.lease_ends_at.is_some_and(|end| done_at < end)
    }

    fn other_prefill(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        if !self.may_route(turn) {
            self.fail(turn, cause);
            return;
        }
        self.close_stream(turn, false);
        self.discard_prefill(turn, cause.evidence);
        self.count_retry(turn, step, cause);
        self.route_prefill(turn);
    }

    /// Gives up what the prefill server holds.
    fn discard_prefill(&mut self, turn: &mut Turn, evidence: Evidence) {
        if let Some(prefilled) = self.attempt.prefilled.take() {
            self.count_waste(turn, &prefilled, evidence);
        }
        let server = self.attempt.prefill.clone();
        let fresh = is_connection_doubtful(evidence);
        self.release(turn, &server, self.attempt.number, fresh);
    }

    pub(super) fn new_attempt(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        if self.is_answer_whole() {
            self.finish_at_length(turn, cause.evidence);
            return;
        }
        if !self.may_route(turn) {
            self.fail(turn, cause);
            return;
        }
        if self.can_reuse_prefill(turn.now, cause) {
            self.leave_decode(turn);
        } else {
            self.abandon(turn, cause.evidence);
        }
        self.count_retry(turn, step, cause);
        self.renew_due(turn, cause);
        self.route_pair(turn);
    }

    /// Whether the caller has all tokens and only lacks the end.
    fn is_answer_whole(&self) -> bool {
        self.answer.next.get() > 0 && self.output_left() == Tokens::ZERO
    }

    /// A refusal leaves the first token due as before. A fault has cost time that the request
    /// needs, and an agent would refuse it although it could still be completed.
    fn renew_due(&mut self, turn: &Turn, cause: Cause) {
        let is_refusal = cause.refusal.is_some();
        let is_new = self.answer.text.is_empty();
        if !is_refusal || !is_new {
            let due_at = turn.now + self.request.first_token_us;
            self.limits.due_at = self.limits.due_at.max(due_at);
        }
    }

    pub(super) fn may_route(&self, turn: &Turn) -> bool {
        self.limits.route_count < self.config.attempts_max_count && turn.now < self.limits.ends_at
    }

    pub(super) fn count_retry(&self, turn: &mut Turn, step: Step, cause: Cause) {
        turn.push(CallAction::Retried {
            kind: CallKind::Model,
            step,
            evidence: cause.evidence,
        });
    }

    fn report_failure(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        let Some(server) = self.server_at_fault(step, cause) else {
            return;
        };
        turn.report(&server, Some(cause.evidence));
        // An unknown lease is mostly one that ran out while this entry paused; its server is fine.
        let is_usable = cause.refusal == Some(RefusalReason::NoSuchLease);
        if !is_usable && !self.excluded.contains(&server) {
            self.excluded.push(server);
        }
    }

    fn server_at_fault(&self, step: Step, cause: Cause) -> Option<BackendServerId> {
        match step {
            Step::Route => None,
            Step::Prefill => Some(self.attempt.prefill.clone()),
            Step::Transfer if cause.is_transfer => Some(self.attempt.prefill.clone()),
            _ => Some(self.attempt.decode.clone()),
        }
    }

    pub(super) fn check_deadlines(&mut self, turn: &mut Turn) {
        self.check_stream(turn);
        for message in self.sends.take_overdue(turn.now) {
            if message.kind == SendKind::Release {
                self.release_lost(turn, &message);
            } else if self.is_current(message.send) {
                self.message_lost(turn, step_of(message.kind));
            }
        }
        for hold in self.holds.take_repeats(turn.now) {
            self.send_release(turn, &hold.server, hold.attempt, true);
        }
    }
}
