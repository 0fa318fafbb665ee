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
    /// Whether the finished prefill can be used after the loss of the decode slot.
    pub(super) fn can_reuse_prefill(&self, now: TimeUs, cause: Cause) -> bool {
        let is_retained = self.attempt.prefilled.is_some() && now < self.attempt.kv_retained_until;
        let is_unused = !self.attempt.is_kv_imported && !cause.is_transfer_failure;
        // The `prefill_first` baseline discards what it computed without a decode slot.
        is_retained && is_unused && !self.config.prefill_first
    }

    /// Leaves the decode server and keeps the finished prefill. The old slot is released once the
    /// next server is chosen, because an agent that only lost the lease may be chosen again.
    pub(super) fn leave_decode_server(&mut self, turn: &mut Turn) {
        self.close_stream(turn, false);
        if let Phase::Reserve(send) = self.phase {
            self.outstanding.clear_deadline(send);
        }
        self.attempt.lease_expires_at = None;
        self.attempt.message_repeat_count = 0;
        self.attempt.resume_count = 0;
    }

    /// Continues with the finished prefill at a decode server. False when there is no usable
    /// prefill, or when the server cannot be used with it.
    pub(super) fn use_decode_server(
        &mut self,
        turn: &mut Turn,
        region: &RegionName,
        decode: &BackendServerId,
    ) -> bool {
        let number = self.attempt.number;
        let is_usable = self.attempt.prefilled.is_some()
            && turn.now < self.attempt.kv_retained_until
            && self.attempt.region == *region
            && !self.resources.is_abandoned(decode, number);
        if !is_usable {
            return false;
        }
        let old = std::mem::replace(&mut self.attempt.decode_server, decode.clone());
        if old != *decode {
            self.release(turn, &old, number, true);
        }
        self.start_next_step(turn);
        true
    }

    /// Abandons what is left of the previous attempt before a new one begins.
    pub(super) fn abandon_previous_attempt(&mut self, turn: &mut Turn) {
        let evidence = self.last_cause.map(|cause| cause.evidence);
        self.abandon_attempt(turn, evidence.unwrap_or(Evidence::RefusedNotRun));
    }
}
