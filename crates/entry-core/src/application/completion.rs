//! Completion and failure of an application call.

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

    /// Ends the call without a response. A `RunCall` that was sent cannot be undone, and none is
    /// sent after this.
    pub(super) fn on_caller_disconnected(&mut self) {
        self.phase = Phase::Ended;
    }

    fn caller_error(&self, cause: Cause) -> CallerError {
        if self.unresolved_runs.may_have_run() {
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

    pub(super) fn check_request_deadline(&mut self, turn: &mut Turn) {
        if self.is_running() && self.limits.deadline <= turn.now {
            self.fail(turn, Cause::new(Evidence::TimedOut));
        }
    }
}
