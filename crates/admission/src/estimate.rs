//! Estimated time at which the engine has computed the prompts assigned to it.

use cuminlead_types::{DurationUs, TimeUs, Tokens, TokensPerSecond};

/// Estimate of the engine's work on prompts, as if it computed them one after the other.
#[derive(Debug)]
pub struct Backlog {
    rate: TokensPerSecond,
    running_tokens: Tokens,
    busy_until: TimeUs,
}

impl Backlog {
    /// Backlog of an idle engine.
    pub fn new(rate: TokensPerSecond) -> Self {
        Self {
            rate,
            running_tokens: Tokens::ZERO,
            busy_until: TimeUs::ZERO,
        }
    }

    /// Time that the engine needs for a prompt.
    pub fn time_for(&self, tokens: Tokens) -> DurationUs {
        self.rate.time_for(tokens)
    }

    /// Time at which a prompt given to the engine now would be started.
    pub fn start_at(&self, now: TimeUs) -> TimeUs {
        self.busy_until.max(now)
    }

    /// A prompt was given to the engine.
    pub fn started(&mut self, now: TimeUs, tokens: Tokens) {
        self.busy_until = self.start_at(now) + self.time_for(tokens);
        self.running_tokens += tokens;
    }

    /// A prompt is computed or was cancelled; the rest bounds what is still to be done.
    pub fn ended(&mut self, now: TimeUs, tokens: Tokens) {
        self.running_tokens = self.running_tokens.saturating_sub(tokens);
        let rest = now + self.time_for(self.running_tokens);
        self.busy_until = self.busy_until.min(rest);
    }

    /// Tokens given to the engine and not yet computed.
    pub fn pending_tokens(&self, now: TimeUs) -> Tokens {
        let computed = self.tokens_in(self.busy_until.since(now));
        computed.min(self.running_tokens)
    }

    /// Tokens that the engine computes in a time.
    pub fn tokens_in(&self, time_us: DurationUs) -> Tokens {
        Tokens(time_us.0.saturating_mul(self.rate.0) / 1_000_000)
    }
}
