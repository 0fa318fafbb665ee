//! What a model call has before its run: a place for its answer and the cache of its prompt.

use cuminlead_types::{RegionName, TimeUs};

use crate::action::{CacheRef, Reservation};
use crate::outcome::{StepOutcome, leaves_cache};
use crate::servers::ServerKey;

/// Most prefill calls for one request; each one after the first repeats work.
const PREFILLS_MAX: u32 = 2;

/// Place for an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PlaceState {
    /// A place is needed.
    Needed,
    /// Held at the decode server.
    Held {
        /// Decode server.
        server: ServerKey,
        /// What holds the place.
        reservation: Reservation,
        /// Whether the server agreed to compute the prompt itself.
        computes_prompt: bool,
    },
    /// The request runs without a place.
    Skipped,
}

impl PlaceState {
    /// Whether a held place is one at the chosen server and for what the server is to do. The server
    /// that held it may be left out after a failure of another request, or the prefill has failed.
    pub(crate) fn fits(&self, chosen: ServerKey, computes_prompt: bool) -> bool {
        match self {
            Self::Held {
                server,
                computes_prompt: agreed,
                ..
            } => *server == chosen && (*agreed || !computes_prompt),
            Self::Needed | Self::Skipped => true,
        }
    }

    /// Gives a held place up.
    pub(crate) fn give_up(&mut self) {
        if let Self::Held { .. } = self {
            *self = Self::Needed;
        }
    }

    /// Takes the place for a run.
    pub(crate) fn take(&mut self) -> Option<Reservation> {
        match std::mem::replace(self, Self::Skipped) {
            Self::Held { reservation, .. } => Some(reservation),
            Self::Needed | Self::Skipped => None,
        }
    }
}

/// Who computes the prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PromptState {
    /// A prefill server may be asked.
    Open,
    /// A prefill server has computed it.
    Cached(CacheRef),
    /// The decode server computes it.
    Skipped,
}

/// Prompt of a call.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    state: PromptState,
    prefills_count: u32,
    /// Prefill servers that gave no cache.
    pub(crate) excluded: Vec<ServerKey>,
    /// Cache of the run under way, which a server that turns the request away leaves in place.
    cache_in_use: Option<CacheRef>,
    /// End of the life of the cache, if it is known.
    cache_until: Option<TimeUs>,
}

impl Prompt {
    /// Prompt that nobody has computed; plain requests have none.
    pub(crate) fn new(is_model_call: bool) -> Self {
        Self {
            state: if is_model_call {
                PromptState::Open
            } else {
                PromptState::Skipped
            },
            prefills_count: 0,
            excluded: Vec::new(),
            cache_in_use: None,
            cache_until: None,
        }
    }

    /// Whether a prefill server may be asked, as far as the request goes.
    pub(crate) fn is_open(&self) -> bool {
        self.state == PromptState::Open && self.prefills_count < PREFILLS_MAX
    }

    /// Whether a cache waits.
    pub(crate) fn is_cached(&self) -> bool {
        matches!(self.state, PromptState::Cached(_))
    }

    /// Whether a prefill server was asked.
    pub(crate) fn was_sent(&self) -> bool {
        self.prefills_count > 0
    }

    /// Counts a prefill.
    pub(crate) fn count_prefill(&mut self) {
        self.prefills_count += 1;
    }

    /// Region of the cache that waits.
    pub(crate) fn cache_region(&self) -> Option<RegionName> {
        match &self.state {
            PromptState::Cached(cache) => cache.region.clone(),
            PromptState::Open | PromptState::Skipped => None,
        }
    }

    /// Leaves the prompt to the decode server. A second accepted prefill would count as another
    /// attempt.
    pub(crate) fn skip(&mut self) {
        self.state = PromptState::Skipped;
    }

    /// Gives up a cache whose life is over.
    pub(crate) fn expire_cache(&mut self, now: TimeUs) {
        if self.is_cached() && self.cache_until.is_some_and(|until| now >= until) {
            self.skip();
        }
    }

    /// Records a cache and the end of its life.
    pub(crate) fn cached(&mut self, cache: CacheRef, until: Option<TimeUs>) {
        self.state = PromptState::Cached(cache);
        self.cache_until = until;
    }

    /// Takes the cache for a run.
    pub(crate) fn take_cache(&mut self) -> Option<CacheRef> {
        let taken = match std::mem::replace(&mut self.state, PromptState::Skipped) {
            PromptState::Cached(cache) => Some(cache),
            PromptState::Open | PromptState::Skipped => None,
        };
        self.cache_in_use.clone_from(&taken);
        taken
    }

    /// Has the cache of a failed run wait again if the outcome leaves it in place.
    pub(crate) fn run_failed(&mut self, outcome: StepOutcome) {
        if let Some(cache) = self.cache_in_use.take()
            && leaves_cache(outcome)
        {
            self.state = PromptState::Cached(cache);
        }
    }
}
