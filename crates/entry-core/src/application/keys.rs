//! Replies about idempotency keys.

use cuminlead_retry::Evidence;

use super::ApplicationCall;
use super::state::Phase;
use crate::cause::Cause;
use crate::turn::Turn;

impl ApplicationCall {
    /// A call with this key runs; its outcome is asked for again after a pause.
    pub(super) fn key_running(&mut self, turn: &mut Turn) {
        self.proof.is_other_open = true;
        self.phase = Phase::KeyPause(turn.now + self.config.repeat_pause_us);
    }

    pub(super) fn key_unknown(&mut self, turn: &mut Turn) {
        self.proof.is_other_open = true;
        self.fail(turn, Cause::new(Evidence::OutcomeUnknown));
    }
}
