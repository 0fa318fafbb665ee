//! Replies about idempotency keys and their owners.

use cuminlead_retry::{Evidence, Step};

use super::ApplicationCall;
use super::state::Phase;
use crate::cause::Cause;
use crate::turn::Turn;

impl ApplicationCall {
    /// Handles a key whose call is running: the permit is requested again after a pause.
    pub(super) fn on_key_running(&mut self, turn: &mut Turn) {
        self.unresolved_runs.same_key = true;
        self.phase = Phase::KeyPause(turn.now + self.config.repeat_pause_us);
    }

    /// Handles an agent whose lists name another owner of the key. The revisions in its reply let
    /// the side with the older lists catch up, so another route request may find the owner.
    pub(super) fn on_not_owner(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        if self.can_route_again(turn) {
            self.count_retry(turn, step, cause);
            self.phase = Phase::RoutePause(turn.now + self.config.repeat_pause_us);
        } else {
            self.fail(turn, cause);
        }
    }

    pub(super) fn on_key_unknown(&mut self, turn: &mut Turn) {
        self.unresolved_runs.same_key = true;
        self.fail(turn, Cause::new(Evidence::OutcomeUnknown));
    }
}
