//! Retries of a model call after a failed step, by the retry table.

use cuminlead_protocol::RefusalReason;
use cuminlead_retry::{CallKind, Decision, Evidence, Step, decide};
use cuminlead_types::{BackendServerId, Tokens};

use super::ModelCall;
use super::completion::needs_new_connection;
use super::state::Phase;
use super::steps::step_of;
use crate::call::CallAction;
use crate::cause::Cause;
use crate::outstanding::MessageKind;
use crate::turn::Turn;

impl ModelCall {
    pub(super) fn recover(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        self.last_cause = Some(cause);
        match decide(CallKind::Model, step, cause.evidence) {
            Decision::RetrySame | Decision::Resume | Decision::QueryOwner => {
                self.resume_stream(turn, step, cause);
            }
            Decision::RetryElsewhere => self.retry_elsewhere(turn, step, cause),
            Decision::ReportNotRun | Decision::ReportUnknown | Decision::Stop => {
                self.report_failure(turn, step, cause);
                self.fail(turn, cause);
            }
        }
    }

    /// Repeats a lost message over a new connection; agents attach the repeat to the work of the
    /// first message. The retry table decides about the step only when the repeats bring no reply
    /// either.
    pub(super) fn on_message_lost(&mut self, turn: &mut Turn, step: Step) {
        let cause = Cause::new(Evidence::Unresponsive);
        if self.attempt.message_repeat_count >= self.config.repeats_max_count {
            self.recover(turn, step, cause);
            return;
        }
        self.attempt.message_repeat_count += 1;
        self.count_retry(turn, step, cause);
        if step == Step::Reserve || self.needs_reservation(turn.now) {
            self.send_reserve(turn, true);
        } else {
            self.send_prefill(turn, true);
        }
    }

    /// Resumes the stream over a new connection. A step that waits for a message is retried
    /// elsewhere, because its message was repeated already.
    fn resume_stream(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
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
        let is_prefill_fault = step == Step::Prefill || cause.is_transfer_failure;
        if is_prefill_fault && self.lease_outlasts_prefill(turn) {
            self.reroute_prefill(turn, step, cause);
        } else {
            self.new_attempt(turn, step, cause);
        }
    }

    /// Whether the lease of the decode slot outlasts another prefill.
    fn lease_outlasts_prefill(&self, turn: &Turn) -> bool {
        let done_at = turn.now + self.prefill_estimate();
        self.attempt
            .lease_expires_at
            .is_some_and(|end| done_at < end)
    }

    fn reroute_prefill(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        if !self.can_route_again(turn) {
            self.fail(turn, cause);
            return;
        }
        self.close_stream(turn, false);
        self.discard_prefill(turn, cause.evidence);
        self.count_retry(turn, step, cause);
        self.route_prefill(turn);
    }

    /// Releases what the prefill server holds, and counts a finished prefill as wasted.
    fn discard_prefill(&mut self, turn: &mut Turn, evidence: Evidence) {
        if let Some(prefilled) = self.attempt.prefilled.take() {
            self.count_wasted_prefill(turn, &prefilled, evidence);
        }
        let server = self.attempt.prefill_server.clone();
        let use_new_connection = needs_new_connection(evidence);
        self.release(turn, &server, self.attempt.number, use_new_connection);
    }

    pub(super) fn new_attempt(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        if self.is_output_complete() {
            self.finish_at_length(turn, cause.evidence);
            return;
        }
        if !self.can_route_again(turn) {
            self.fail(turn, cause);
            return;
        }
        if self.can_reuse_prefill(turn.now, cause) {
            self.leave_decode_server(turn);
        } else {
            self.abandon_attempt(turn, cause.evidence);
        }
        self.count_retry(turn, step, cause);
        self.extend_first_token_target(turn, cause);
        self.route_pair(turn);
    }

    /// Whether the caller has all tokens and lacks only the end of the output.
    fn is_output_complete(&self) -> bool {
        self.delivered.next_sequence.get() > 0 && self.remaining_output() == Tokens::ZERO
    }

    /// Extends the target for the first token after a failure, which has cost time that the request
    /// needs; an agent would refuse the request although it could still be completed. A refusal
    /// before the first chunk leaves the target as it is.
    fn extend_first_token_target(&mut self, turn: &Turn, cause: Cause) {
        let is_refusal = cause.refusal.is_some();
        let is_new = self.delivered.text.is_empty();
        if !is_refusal || !is_new {
            let first_token_due_at = turn.now + self.request.first_token_us;
            self.limits.first_token_due_at = self.limits.first_token_due_at.max(first_token_due_at);
        }
    }

    pub(super) fn can_route_again(&self, turn: &Turn) -> bool {
        self.limits.route_count < self.config.attempts_max_count && turn.now < self.limits.deadline
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
        // An unknown lease is usually one that expired while this entry process was paused; its
        // server is usable.
        let is_usable = cause.refusal == Some(RefusalReason::NoSuchLease);
        if !is_usable && !self.excluded.contains(&server) {
            self.excluded.push(server);
        }
    }

    fn server_at_fault(&self, step: Step, cause: Cause) -> Option<BackendServerId> {
        match step {
            Step::Route => None,
            Step::Prefill => Some(self.attempt.prefill_server.clone()),
            Step::Transfer if cause.is_transfer_failure => {
                Some(self.attempt.prefill_server.clone())
            }
            _ => Some(self.attempt.decode_server.clone()),
        }
    }

    pub(super) fn check_timeouts(&mut self, turn: &mut Turn) {
        self.check_stream_timeouts(turn);
        for message in self.outstanding.take_timed_out(turn.now) {
            if message.kind == MessageKind::Release {
                self.on_release_lost(turn, &message);
            } else if self.is_current(message.send) {
                self.on_message_lost(turn, step_of(message.kind));
            }
        }
        for resource in self.resources.take_due_repeats(turn.now) {
            self.send_release(turn, &resource.server, resource.attempt, true);
        }
    }
}
