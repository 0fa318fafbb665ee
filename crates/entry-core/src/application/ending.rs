//! The one ending of an application call.

use cuminlead_protocol::HttpResponse;
use cuminlead_retry::Evidence;

use super::ApplicationCall;
use super::state::Phase;
use crate::call::CallAction;
use crate::cause::Cause;
use crate::error::{CallOutcome, CallerError, ErrorCode};
use crate::turn::Turn;

impl ApplicationCall {
    pub(super) fn respond(&mut self, turn: &mut Turn, http: HttpResponse) {
        turn.report(&self.server, None);
        turn.push(CallAction::Respond(http));
        self.phase = Phase::Ended;
    }

    pub(super) fn fail(&mut self, turn: &mut Turn, cause: Cause) {
        if self.phase == Phase::Ended {
            return;
        }
        turn.push(CallAction::Fail(self.caller_error(cause)));
        self.phase = Phase::Ended;
    }

    /// Ends without an answer. A call that was sent cannot be undone; one that was not is not sent.
    pub(super) fn caller_gone(&mut self) {
        self.phase = Phase::Ended;
    }

    fn caller_error(&self, cause: Cause) -> CallerError {
        if self.proof.may_have_run() {
            return CallerError {
                code: ErrorCode::OutcomeUnknown,
                outcome: CallOutcome::Unknown,
                message: cause.message(),
            };
        }
        CallerError {
            code: cause.error_code(),
            outcome: CallOutcome::NotRun,
            message: cause.message(),
        }
    }

    pub(super) fn is_running(&self) -> bool {
        !matches!(self.phase, Phase::Created | Phase::Ended)
    }

    pub(super) fn check_time_limit(&mut self, turn: &mut Turn) {
        if self.is_running() && self.limits.ends_at <= turn.now {
            self.fail(turn, Cause::new(Evidence::TimedOut));
        }
    }
}
