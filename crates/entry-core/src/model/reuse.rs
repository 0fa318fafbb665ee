//! Use of a finished prefill at another decode server.
//!
//! A prefill costs as much as many tens of output tokens. When the decode slot is lost before the
//! KV cache was imported, the prefill server still retains the cache for a while, so the attempt
//! continues with a decode slot at another server of the same region. The attempt keeps its number,
//! because the cache is retained under that number.

use cuminlead_retry::Evidence;
use cuminlead_types::{BackendServerId, RegionName, TimeUs};

use super::ModelCall;
use super::state::Phase;
use crate::cause::Cause;
use crate::turn::Turn;

impl ModelCall {
    /// Whether a finished prefill outlives the loss of the decode place.
    pub(super) fn can_reuse_prefill(&self, now: TimeUs, cause: Cause) -> bool {
        let is_held = self.attempt.prefilled.is_some() && now < self.attempt.prefill_held_until;
        let is_unused = !self.attempt.is_imported && !cause.is_transfer;
        // The baseline gives up whatever it computed without a place.
        is_held && is_unused && !self.config.prefill_first
    }

    /// Gives up the decode place and keeps the prefill. The old place is released when the next
    /// one is known, because an agent that only lost the lease may be chosen again.
    pub(super) fn leave_decode(&mut self, turn: &mut Turn) {
        self.close_stream(turn, false);
        if let Phase::Reserve(send) = self.phase {
            self.sends.give_up(send);
        }
        self.attempt.lease_ends_at = None;
        self.attempt.repeat_count = 0;
        self.attempt.resume_count = 0;
    }

    /// Continues with the kept prefill at another decode server; false when there is none, or the
    /// server cannot be used with it.
    pub(super) fn use_decode(
        &mut self,
        turn: &mut Turn,
        region: &RegionName,
        decode: &BackendServerId,
    ) -> bool {
        let number = self.attempt.number;
        let is_usable = self.attempt.prefilled.is_some()
            && turn.now < self.attempt.prefill_held_until
            && self.attempt.region == *region
            && !self.holds.is_given_up(decode, number);
        if !is_usable {
            return false;
        }
        let old = std::mem::replace(&mut self.attempt.decode, decode.clone());
        if old != *decode {
            self.release(turn, &old, number, true);
        }
        self.advance(turn);
        true
    }

    /// Gives up what is kept of the attempt before a new one begins.
    pub(super) fn discard_kept(&mut self, turn: &mut Turn) {
        let evidence = self.last_cause.map(|cause| cause.evidence);
        self.abandon(turn, evidence.unwrap_or(Evidence::RefusedNotRun));
    }
}
