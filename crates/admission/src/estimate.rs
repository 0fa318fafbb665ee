//! When the engine has computed the prompts that it was given.

use cuminlead_types::{DurationUs, TimeUs, Tokens, TokensPerSecond};

/// Part of the sums that an earlier prefill keeps with each later one; the sums cover about the last
/// sixteen prefills.
const KEPT_SIXTEENTHS: u64 = 15;

/// Tokens of the latest prefills, the latest counting most.
#[derive(Debug, Default)]
struct Measured {
    prompt_tokens: u64,
    computed_tokens: u64,
}

/// Estimate of the engine's work on prompts, as if it computed them one after the other.
#[derive(Debug)]
pub struct Backlog {
    rate: TokensPerSecond,
    latest: Measured,
    running_tokens: Tokens,
    busy_until: TimeUs,
}

impl Backlog {
    /// Backlog of an idle engine.
    pub fn new(rate: TokensPerSecond) -> Self {
        Self {
            rate,
            latest: Measured::default(),
            running_tokens: Tokens::ZERO,
            busy_until: TimeUs::ZERO,
        }
    }

    /// Time that the engine needs for a prompt, when its cache serves as much of it as of the latest
    /// ones.
    pub fn time_for(&self, tokens: Tokens) -> DurationUs {
        self.rate.time_for(self.uncached(tokens))
    }

    /// Tokens of a prompt that the engine probably computes.
    pub fn uncached(&self, tokens: Tokens) -> Tokens {
        let latest = &self.latest;
        if latest.prompt_tokens == 0 {
            return tokens;
        }
        let computed = tokens.get().saturating_mul(latest.computed_tokens);
        Tokens(computed / latest.prompt_tokens)
    }

    /// A prompt was computed, except for the tokens that the engine's cache held.
    pub fn measured(&mut self, prompt_tokens: Tokens, cached_tokens: Tokens) {
        let keep = |sum: u64| sum / 16 * KEPT_SIXTEENTHS;
        let latest = &mut self.latest;
        let computed_tokens = prompt_tokens.saturating_sub(cached_tokens);
        latest.prompt_tokens = keep(latest.prompt_tokens) + prompt_tokens.get();
        latest.computed_tokens = keep(latest.computed_tokens) + computed_tokens.get();
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
