//! Preparation of a model call: the reservation of its decode slot and the KV cache of its prompt.

use cuminlead_types::{DurationUs, RegionName, TimeUs, Tokens};

use crate::action::{CacheRef, Reservation};
use crate::outcome::{StepOutcome, retains_cache};
use crate::servers::{ServerKey, ServerTable};

/// Most prefill calls for one request; each one after the first repeats work.
const PREFILL_ATTEMPTS_MAX: u32 = 2;

/// Rate at which a loaded engine computes prompts, in tokens per millisecond; half of that of an
/// idle one.
const PREFILL_TOKENS_PER_MS: u64 = 25;

/// Decode slot of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SlotState {
    /// No slot is reserved yet.
    Needed,
    Reserved {
        server: ServerKey,
        reservation: Reservation,
        /// Whether the server agreed to compute the prompt itself.
        computes_prompt: bool,
    },
    /// The request runs without a reservation.
    Skipped,
}

impl SlotState {
    /// Whether a reservation is at the chosen server and covers what that server is to do. It does
    /// not if the server that made it is excluded after a failure of another request, or if the
    /// prefill has failed.
    pub(crate) fn covers(&self, chosen: ServerKey, computes_prompt: bool) -> bool {
        match self {
            Self::Reserved {
                server,
                computes_prompt: agreed,
                ..
            } => *server == chosen && (*agreed || !computes_prompt),
            Self::Needed | Self::Skipped => true,
        }
    }

    pub(crate) fn discard_reservation(&mut self) {
        if let Self::Reserved { .. } = self {
            *self = Self::Needed;
        }
    }

    /// Returns the reservation for a run; the call then has none.
    pub(crate) fn take_reservation(&mut self) -> Option<Reservation> {
        match std::mem::replace(self, Self::Skipped) {
            Self::Reserved { reservation, .. } => Some(reservation),
            Self::Needed | Self::Skipped => None,
        }
    }
}

/// Who computes the prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PromptState {
    /// A prefill server may compute it.
    Pending,
    /// A prefill server has computed it.
    Cached(CacheRef),
    /// The decode server computes it.
    Skipped,
}

/// Prompt of a call.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    state: PromptState,
    prefill_attempts_count: u32,
    /// Prefill servers that returned no cache.
    pub(crate) excluded: Vec<ServerKey>,
    /// Cache offered with the current run; a server that rejects the request leaves it in place.
    cache_in_use: Option<CacheRef>,
    /// When the prefill server discards the cache, if that is known.
    cache_expires_at: Option<TimeUs>,
}

impl Prompt {
    /// Prompt that is not computed yet. Plain requests have no prompt to compute.
    pub(crate) fn new(is_model_call: bool) -> Self {
        Self {
            state: if is_model_call {
                PromptState::Pending
            } else {
                PromptState::Skipped
            },
            prefill_attempts_count: 0,
            excluded: Vec::new(),
            cache_in_use: None,
            cache_expires_at: None,
        }
    }

    /// Whether the request itself permits another prefill.
    pub(crate) fn allows_prefill(&self) -> bool {
        self.state == PromptState::Pending && self.prefill_attempts_count < PREFILL_ATTEMPTS_MAX
    }

    pub(crate) fn is_cached(&self) -> bool {
        matches!(self.state, PromptState::Cached(_))
    }

    pub(crate) fn was_prefill_sent(&self) -> bool {
        self.prefill_attempts_count > 0
    }

    pub(crate) fn count_prefill_attempt(&mut self) {
        self.prefill_attempts_count += 1;
    }

    /// Takes back the count of an attempt that was not sent.
    pub(crate) fn uncount_prefill_attempt(&mut self) {
        self.prefill_attempts_count = self.prefill_attempts_count.saturating_sub(1);
    }

    pub(crate) fn cache_region(&self) -> Option<RegionName> {
        match &self.state {
            PromptState::Cached(cache) => cache.region.clone(),
            PromptState::Pending | PromptState::Skipped => None,
        }
    }

    /// Leaves the prompt to the decode server. A second accepted prefill would count as another
    /// attempt.
    pub(crate) fn skip_prefill(&mut self) {
        self.state = PromptState::Skipped;
    }

    /// Discards a cache that has expired or whose server has ended. A server that follows at the
    /// address or under the id of another one may give the same name to another request's cache.
    pub(crate) fn discard_unusable_cache(&mut self, now: TimeUs, servers: &ServerTable) {
        let PromptState::Cached(cache) = &self.state else {
            return;
        };
        let is_expired = self.cache_expires_at.is_some_and(|until| now >= until);
        let server = servers.get(cache.server);
        if is_expired || server.is_none_or(|server| server.is_displaced(now)) {
            self.skip_prefill();
        }
    }

    pub(crate) fn set_cache(&mut self, cache: CacheRef, until: Option<TimeUs>) {
        self.state = PromptState::Cached(cache);
        self.cache_expires_at = until;
    }

    /// Returns the cache for a run; it is kept for [`Self::restore_cache`].
    pub(crate) fn take_cache(&mut self) -> Option<CacheRef> {
        let taken = match std::mem::replace(&mut self.state, PromptState::Skipped) {
            PromptState::Cached(cache) => Some(cache),
            PromptState::Pending | PromptState::Skipped => None,
        };
        self.cache_in_use.clone_from(&taken);
        taken
    }

    /// Makes the cache of a failed run available again if the outcome leaves it in place.
    pub(crate) fn restore_cache(&mut self, outcome: StepOutcome) {
        if let Some(cache) = self.cache_in_use.take()
            && retains_cache(outcome)
        {
            self.state = PromptState::Cached(cache);
        }
    }
}

/// Duration of a prefill at a loaded engine.
pub(crate) fn prefill_time(prompt: Tokens) -> DurationUs {
    DurationUs::from_ms(prompt.0 / PREFILL_TOKENS_PER_MS)
}
