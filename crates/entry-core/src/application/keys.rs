//! Replies about idempotency keys and their owners.

use cuminlead_retry::{Evidence, Step};

use super::ApplicationCall;
use super::state::Phase;
use crate::cause::Cause;
use crate::turn::Turn;

impl ApplicationCall {
    /// A call with this key runs; its outcome is asked for again after a pause.
    pub(super) fn key_running(&mut self, turn: &mut Turn) {
        self.proof.is_key_open = true;
        self.phase = Phase::KeyPause(turn.now + self.config.repeat_pause_us);
    }

    /// The agent's lists name another owner. The revisions on its reply let the side that is behind
    /// catch up, so another route may find the owner.
    pub(super) fn not_owner(&mut self, turn: &mut Turn, step: Step, cause: Cause) {
        if self.may_route(turn) {
            self.count_retry(turn, step, cause);
            self.phase = Phase::RoutePause(turn.now + self.config.repeat_pause_us);
        } else {
            self.fail(turn, cause);
        }
    }

    pub(super) fn key_unknown(&mut self, turn: &mut Turn) {
        self.proof.is_key_open = true;
        self.fail(turn, Cause::new(Evidence::OutcomeUnknown));
    }
}
