//! Retries of an application call after a failed step, by the retry table.

use cuminlead_protocol::RefusalReason;
use cuminlead_retry::{CallKind, Decision, Evidence, Step, decide, may_have_run};
use cuminlead_types::DurationUs;

use super::ApplicationCall;
use super::state::Phase;
use crate::call::{CallAction, SendRef};
use crate::cause::Cause;
use crate::turn::Turn;

impl ApplicationCall {
    pub(super) fn recover(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        self.last_cause = Some(cause);
        if matches!(step, Step::Run | Step::QueryOutcome) {
            self.unresolved_runs.last &= may_have_run(self.kind(), step, cause.evidence);
        }
        if cause.refusal == Some(RefusalReason::NotOwner) {
            self.on_not_owner(turn, step, cause);
            return;
        }
        match decide(self.kind(), step, cause.evidence) {
            Decision::RetryElsewhere | Decision::RetrySame => {
                self.retry_elsewhere(turn, step, cause)
            }
            Decision::QueryOwner | Decision::Resume => self.query_owner(turn, step, cause),
            Decision::ReportNotRun | Decision::ReportUnknown | Decision::Stop => {
                self.report_failure(turn, cause);
                self.fail(turn, cause);
            }
        }
    }

    /// Repeats a lost permit request when no other server may handle the call. A permit whose reply
    /// was lost expires unused.
    pub(super) fn on_permit_lost(&mut self, turn: &mut Turn) {
        let cause = Cause::new(Evidence::Unresponsive);
        let has_repeats = self.limits.message_repeat_count < self.config.repeats_max_count;
        if self.owned_key().is_none() || !has_repeats {
            self.recover(turn, Step::Permit, cause);
            return;
        }
        self.limits.message_repeat_count += 1;
        self.count_retry(turn, Step::Permit, cause);
        self.send_permit_request(turn, true);
    }

    fn retry_elsewhere(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        if self.must_query_owner() {
            self.query_owner(turn, step, cause);
            return;
        }
        self.report_failure(turn, cause);
        // Only the owner of a key may handle a call with this key.
        let is_owner_fixed = self.owned_key().is_some();
        if is_owner_fixed || !self.can_route_again(turn) {
            self.fail(turn, cause);
            return;
        }
        if !self.excluded.contains(&self.server) {
            self.excluded.push(self.server.clone());
        }
        self.count_retry(turn, step, cause);
        self.route(turn);
    }

    /// Whether the last `RunCall` of a non-idempotent call may have run.
    fn must_query_owner(&self) -> bool {
        self.kind() == CallKind::NonIdempotent && self.unresolved_runs.last
    }

    /// Queries the owner of the permit: at once when the reply to `RunCall` was lost, and after a
    /// pause from then on.
    fn query_owner(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        match self.phase {
            Phase::Run(run) if self.permit.is_some() => {
                self.count_retry(turn, step, cause);
                self.send_query(turn, run, true);
            }
            Phase::Query { run, .. } => {
                self.report_unreachable(turn, cause);
                let at = turn.now + self.query_interval(cause);
                // The reply that the call is still running shows that the connection works.
                let use_new_connection = cause.evidence != Evidence::StillRunning;
                self.phase = Phase::QueryPause {
                    at,
                    run,
                    use_new_connection,
                };
            }
            _ => self.fail(turn, cause),
        }
    }

    /// A call that is still running is queried less often than an owner that did not reply.
    fn query_interval(&self, cause: Cause) -> DurationUs {
        if cause.evidence == Evidence::StillRunning {
            self.config.acknowledge_interval_us
        } else {
            self.config.repeat_pause_us
        }
    }

    pub(super) fn can_route_again(&self, turn: &Turn) -> bool {
        self.limits.route_count < self.config.attempts_max_count && turn.now < self.limits.deadline
    }

    pub(super) fn count_retry(&self, turn: &mut Turn, step: Step, cause: Cause) {
        turn.push(CallAction::Retried {
            kind: self.kind(),
            step,
            evidence: cause.evidence,
        });
    }

    /// Reports a failure that made the call abandon the server. A missing reply that a repeat or a
    /// query may still resolve is not reported, because a slow service has not failed.
    fn report_failure(&self, turn: &mut Turn, cause: Cause) {
        let is_about_call = matches!(
            cause.evidence,
            Evidence::Voided | Evidence::StillRunning | Evidence::OutcomeUnknown
        );
        if !is_about_call {
            turn.report(&self.server, Some(cause.evidence));
        }
    }

    fn report_unreachable(&self, turn: &mut Turn, cause: Cause) {
        if cause.evidence == Evidence::ConnectFailed {
            turn.report(&self.server, Some(cause.evidence));
        }
    }

    pub(super) fn check_timeouts(&mut self, turn: &mut Turn) {
        self.check_pauses(turn);
        for message in self.outstanding.take_timed_out(turn.now) {
            self.on_message_timeout(turn, message.send);
        }
    }

    fn on_message_timeout(&mut self, turn: &mut Turn, send: SendRef) {
        let cause = Cause::new(Evidence::Unresponsive);
        match self.phase {
            Phase::Permit(current) if current == send => self.on_permit_lost(turn),
            Phase::Run(current) if current == send => self.recover(turn, Step::Run, cause),
            Phase::Query { query, .. } if query == send => {
                self.recover(turn, Step::QueryOutcome, cause)
            }
            _ => {}
        }
    }

    fn check_pauses(&mut self, turn: &mut Turn) {
        match self.phase {
            Phase::RoutePause(at) if at <= turn.now => self.route(turn),
            Phase::KeyPause(at) if at <= turn.now => self.send_permit_request(turn, false),
            Phase::QueryPause {
                at,
                run,
                use_new_connection,
            } if at <= turn.now => self.send_query(turn, run, use_new_connection),
            _ => {}
        }
    }
}
