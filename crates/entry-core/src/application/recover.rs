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
        if matches!(step, Step::Run | Step::Ask) {
            self.proof.is_last_open &= may_have_run(self.kind(), step, cause.evidence);
        }
        if cause.refusal == Some(RefusalReason::NotOwner) {
            self.not_owner(turn, step, cause);
            return;
        }
        match decide(self.kind(), step, cause.evidence) {
            Decision::RetryElsewhere | Decision::RetrySame => {
                self.retry_elsewhere(turn, step, cause)
            }
            Decision::AskOwner | Decision::Resume => self.ask_owner(turn, step, cause),
            Decision::ReportNotRun | Decision::ReportUnknown | Decision::Stop => {
                self.report_failure(turn, cause);
                self.fail(turn, cause);
            }
        }
    }

    /// Repeats a lost request for a permit when no other server may take the call. A permit that
    /// was issued and never arrived expires unused.
    pub(super) fn permit_lost(&mut self, turn: &mut Turn) {
        let cause = Cause::new(Evidence::Silent);
        let has_repeats = self.limits.repeat_count < self.config.repeats_max_count;
        if self.owned_key().is_none() || !has_repeats {
            self.recover(turn, Step::Permit, cause);
            return;
        }
        self.limits.repeat_count += 1;
        self.count_retry(turn, Step::Permit, cause);
        self.send_permit(turn, true);
    }

    fn retry_elsewhere(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        if self.must_ask() {
            self.ask_owner(turn, step, cause);
            return;
        }
        self.report_failure(turn, cause);
        // Only the owner of a key may take a call with this key.
        let is_owner_fixed = self.owned_key().is_some();
        if is_owner_fixed || !self.may_route(turn) {
            self.fail(turn, cause);
            return;
        }
        if !self.excluded.contains(&self.server) {
            self.excluded.push(self.server.clone());
        }
        self.count_retry(turn, step, cause);
        self.route(turn);
    }

    /// Whether a call that may not be repeated was sent and its fate is not proven.
    fn must_ask(&self) -> bool {
        self.kind() == CallKind::NonIdempotent && self.proof.is_last_open
    }

    /// Asks about the call at once after its answer was lost, and after a pause from then on.
    fn ask_owner(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        match self.phase {
            Phase::Run(run) if self.permit.is_some() => {
                self.count_retry(turn, step, cause);
                self.send_ask(turn, run, true);
            }
            Phase::Ask { run, .. } => {
                self.report_unreachable(turn, cause);
                let at = turn.now + self.ask_pause(cause);
                // An owner that answers does so over a live connection.
                let fresh = cause.evidence != Evidence::StillRunning;
                self.phase = Phase::AskPause { at, run, fresh };
            }
            _ => self.fail(turn, cause),
        }
    }

    /// A call that runs is asked about less often than one whose owner did not answer.
    fn ask_pause(&self, cause: Cause) -> DurationUs {
        if cause.evidence == Evidence::StillRunning {
            self.config.acknowledge_us
        } else {
            self.config.repeat_pause_us
        }
    }

    pub(super) fn may_route(&self, turn: &Turn) -> bool {
        self.limits.route_count < self.config.attempts_max_count && turn.now < self.limits.ends_at
    }

    pub(super) fn count_retry(&self, turn: &mut Turn, step: Step, cause: Cause) {
        turn.push(CallAction::Retried {
            kind: self.kind(),
            step,
            evidence: cause.evidence,
        });
    }

    /// Reports a failure that made the call give up the server. Silence that a repeat or a question
    /// may still resolve is not reported, because a slow service is not a failed one.
    fn report_failure(&self, turn: &mut Turn, cause: Cause) {
        let is_of_call = matches!(
            cause.evidence,
            Evidence::Voided | Evidence::StillRunning | Evidence::OutcomeUnknown
        );
        if !is_of_call {
            turn.report(&self.server, Some(cause.evidence));
        }
    }

    fn report_unreachable(&self, turn: &mut Turn, cause: Cause) {
        if cause.evidence == Evidence::ConnectFailed {
            turn.report(&self.server, Some(cause.evidence));
        }
    }

    pub(super) fn check_deadlines(&mut self, turn: &mut Turn) {
        self.check_pause(turn);
        for message in self.sends.take_overdue(turn.now) {
            self.overdue(turn, message.send);
        }
    }

    fn overdue(&mut self, turn: &mut Turn, send: SendRef) {
        let cause = Cause::new(Evidence::Silent);
        match self.phase {
            Phase::Permit(current) if current == send => self.permit_lost(turn),
            Phase::Run(current) if current == send => self.recover(turn, Step::Run, cause),
            Phase::Ask { ask, .. } if ask == send => self.recover(turn, Step::Ask, cause),
            _ => {}
        }
    }

    fn check_pause(&mut self, turn: &mut Turn) {
        match self.phase {
            Phase::RoutePause(at) if at <= turn.now => self.route(turn),
            Phase::KeyPause(at) if at <= turn.now => self.send_permit(turn, false),
            Phase::AskPause { at, run, fresh } if at <= turn.now => self.send_ask(turn, run, fresh),
            _ => {}
        }
    }
}
