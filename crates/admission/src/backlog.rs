//! Estimated time at which the engine has computed the prompts assigned to it.

use cuminlead_types::{DurationUs, TimeUs, Tokens, TokensPerSecond};

/// Estimate of the engine's prefill work, as if it computed prompts one after the other.
#[derive(Debug)]
pub struct PrefillBacklog {
    rate: TokensPerSecond,
    running_tokens: Tokens,
    busy_until: TimeUs,
}

impl PrefillBacklog {
    /// Backlog of an idle engine.
    pub fn new(rate: TokensPerSecond) -> Self {
        Self {
            rate,
            running_tokens: Tokens::ZERO,
            busy_until: TimeUs::ZERO,
        }
    }

    /// Time that the engine needs to compute `tokens` of a prompt.
    pub fn time_for(&self, tokens: Tokens) -> DurationUs {
        self.rate.time_for(tokens)
    }

    /// Time at which the engine would start a prompt assigned to it at `now`.
    pub fn next_start_at(&self, now: TimeUs) -> TimeUs {
        self.busy_until.max(now)
    }

    /// Records that a prompt was assigned to the engine.
    pub fn add_prompt(&mut self, now: TimeUs, tokens: Tokens) {
        self.busy_until = self.next_start_at(now) + self.time_for(tokens);
        self.running_tokens += tokens;
    }

    /// Records that a prompt was computed or cancelled.
    ///
    /// The tokens of the remaining prompts bound the remaining work from above.
    pub fn remove_prompt(&mut self, now: TimeUs, tokens: Tokens) {
        self.running_tokens = self.running_tokens.saturating_sub(tokens);
        let rest = now + self.time_for(self.running_tokens);
        self.busy_until = self.busy_until.min(rest);
    }

    /// Tokens assigned to the engine and not computed yet.
    pub fn pending_tokens(&self, now: TimeUs) -> Tokens {
        let computed = self.tokens_in(self.busy_until.since(now));
        computed.min(self.running_tokens)
    }

    /// Tokens that the engine computes in the given time.
    pub fn tokens_in(&self, time_us: DurationUs) -> Tokens {
        Tokens(time_us.0.saturating_mul(self.rate.0) / 1_000_000)
    }
}
