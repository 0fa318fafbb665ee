//! Requests, their prompts, arrival times and cancels.
//!
//! A prompt is a guide that many callers share, the history of one kiosk or court, and a part of
//! its own. Lengths are lognormal. Arrivals are random, with a burst in each period.

use cuminlead_types::{DurationUs, TimeUs, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::site::as_f64;

/// Bytes that `Tokens::estimate` takes for one token.
const TOKEN_BYTES: u64 = 4;
const OUTPUT_MIN_TOKENS: u64 = 20;
const OUTPUT_MAX_TOKENS: u64 = 120;
/// Length of a burst and of the period in which there is one.
const BURST_US: u64 = 1_000_000;
const PERIOD_US: u64 = 10_000_000;
/// Rate within a burst, as a multiple of the mean rate.
const BURST_FACTOR: f64 = 1.8;
/// Model calls whose caller goes away.
const CANCEL_SHARE: f64 = 0.01;
/// Longest time after which such a caller goes away.
const CANCEL_AFTER_MAX_US: u64 = 4_000_000;
/// Calls of the plain service for each model call.
const SERVICE_SHARE: f64 = 0.1;
const US_PER_SECOND: f64 = 1_000_000.0;

/// Prompts of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Median prompt length.
    pub median_tokens: f64,
    /// Standard deviation of the logarithm of the length.
    pub sigma: f64,
    /// Shortest and longest prompt.
    pub min_tokens: u64,
    /// Longest prompt.
    pub max_tokens: u64,
    /// Guides.
    pub guides_count: u64,
    /// Length of a guide.
    pub guide_tokens: u64,
    /// Most of a prompt that is guide, in percent.
    pub guide_percent: u64,
    /// Kiosks or courts with a history.
    pub histories_count: u64,
    /// Length of a history.
    pub history_tokens: u64,
    /// Most of a prompt that is history, in percent.
    pub history_percent: u64,
    /// Callers in the first region, in percent.
    pub first_region_percent: u64,
}

impl Shape {
    /// Repair notes: a shared guide and a kiosk's history.
    pub fn relojeria() -> Self {
        Self {
            median_tokens: 4_000.0,
            sigma: 0.9,
            min_tokens: 300,
            max_tokens: 30_000,
            guides_count: 8,
            guide_tokens: 3_000,
            guide_percent: 40,
            histories_count: 200,
            history_tokens: 2_000,
            history_percent: 30,
            first_region_percent: 65,
        }
    }

    /// Case briefs: long manifests with a short common form.
    pub fn bucaramanga() -> Self {
        Self {
            median_tokens: 6_000.0,
            sigma: 0.9,
            min_tokens: 500,
            max_tokens: 40_000,
            guides_count: 12,
            guide_tokens: 768,
            guide_percent: 15,
            histories_count: 400,
            history_tokens: 1_024,
            history_percent: 10,
            first_region_percent: 65,
        }
    }
}

/// A request before it is given to the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time.
    pub at: TimeUs,
    /// Whether the caller is in the first region.
    pub is_in_first_region: bool,
    /// What is asked for.
    pub work: Work,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Model call.
    Model {
        /// Prompt.
        prompt: Prompt,
        /// Tokens of the answer.
        output_tokens: Tokens,
        /// Time after which the caller goes away.
        leaves_after_us: Option<DurationUs>,
    },
    /// Non-idempotent call of the plain service.
    Service,
}

/// Parts of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Guide.
    pub guide: u64,
    /// Tokens of the guide.
    pub guide_tokens: u64,
    /// Kiosk or court.
    pub history: u64,
    /// Tokens of its history.
    pub history_tokens: u64,
    /// Tokens of its own.
    pub own_tokens: u64,
}

/// Means over many prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// Tokens of a prompt.
    pub prompt_tokens: f64,
    /// Tokens after the guide.
    pub unshared_tokens: f64,
    /// Tokens of an answer.
    pub output_tokens: f64,
}

impl Prompt {
    /// All tokens.
    pub fn tokens(&self) -> u64 {
        self.guide_tokens + self.history_tokens + self.own_tokens
    }

    /// Text; `number` makes its own part differ from all others.
    pub fn text(&self, number: u64) -> String {
        let mut text = String::new();
        fill(
            &mut text,
            &format!("guide-{}-", self.guide),
            self.guide_tokens,
        );
        let history = format!("history-{}-", self.history);
        fill(&mut text, &history, self.history_tokens);
        fill(&mut text, &format!("own-{number}-"), self.own_tokens);
        text
    }
}

/// Appends repeats of a unit that make this many tokens.
fn fill(text: &mut String, unit: &str, tokens: u64) {
    let bytes = usize::try_from(tokens * TOKEN_BYTES).unwrap_or(usize::MAX);
    let end = text.len() + bytes;
    while text.len() < end {
        text.push_str(unit);
    }
    text.truncate(end);
}

/// Means of the shape.
pub fn mean(shape: &Shape, seed: u64, count: u64) -> Mean {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut prompt, mut unshared, mut output) = (0, 0, 0);
    for _ in 0..count {
        let drawn = draw_prompt(shape, &mut random);
        prompt += drawn.tokens();
        unshared += drawn.tokens() - drawn.guide_tokens;
        output += draw_output(&mut random);
    }
    let of = |sum: u64| as_f64(sum) / as_f64(count);
    Mean {
        prompt_tokens: of(prompt),
        unshared_tokens: of(unshared),
        output_tokens: of(output),
    }
}

/// Arrivals at a mean rate of model calls, in order of time.
pub fn arrivals(
    shape: &Shape,
    seed: u64,
    calls_per_second: f64,
    start: TimeUs,
    length: DurationUs,
) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let end = start + length;
    let mut arrivals = Vec::new();
    let mut at = start;
    loop {
        let rate = calls_per_second * burst_factor(at.since(start)) * (1.0 + SERVICE_SHARE);
        let wait_s = -(1.0 - random.random::<f64>()).ln() / rate;
        at = at + to_us(wait_s * US_PER_SECOND);
        if at >= end {
            return arrivals;
        }
        arrivals.push(draw_arrival(shape, &mut random, at));
    }
}

/// Rate at a time as a multiple of the mean; the mean over a period is one.
fn burst_factor(since_start: DurationUs) -> f64 {
    let is_burst = since_start.get() % PERIOD_US >= PERIOD_US - BURST_US;
    let burst_share = as_f64(BURST_US) / as_f64(PERIOD_US);
    match is_burst {
        true => BURST_FACTOR,
        false => (1.0 - BURST_FACTOR * burst_share) / (1.0 - burst_share),
    }
}

fn draw_arrival(shape: &Shape, random: &mut StdRng, at: TimeUs) -> Arrival {
    let is_in_first_region = random.random_range(0..100) < shape.first_region_percent;
    let is_service = random.random::<f64>() < SERVICE_SHARE / (1.0 + SERVICE_SHARE);
    let work = match is_service {
        true => Work::Service,
        false => draw_model(shape, random),
    };
    Arrival {
        at,
        is_in_first_region,
        work,
    }
}

fn draw_model(shape: &Shape, random: &mut StdRng) -> Work {
    let prompt = draw_prompt(shape, random);
    let output_tokens = Tokens(draw_output(random));
    let leaves = random.random::<f64>() < CANCEL_SHARE;
    let after = DurationUs(random.random_range(0..CANCEL_AFTER_MAX_US));
    Work::Model {
        prompt,
        output_tokens,
        leaves_after_us: leaves.then_some(after),
    }
}

fn draw_output(random: &mut StdRng) -> u64 {
    random.random_range(OUTPUT_MIN_TOKENS..=OUTPUT_MAX_TOKENS)
}

fn draw_prompt(shape: &Shape, random: &mut StdRng) -> Prompt {
    let length = (shape.median_tokens.ln() + shape.sigma * normal(random)).exp();
    let tokens = to_us(length)
        .get()
        .clamp(shape.min_tokens, shape.max_tokens);
    let history = skewed(random, shape.histories_count);
    let guide_tokens = shape.guide_tokens.min(tokens * shape.guide_percent / 100);
    let most = tokens * shape.history_percent / 100;
    // A history follows a whole guide only, so that it begins at the same place in each prompt.
    let has_history = guide_tokens == shape.guide_tokens;
    let history_tokens = if has_history {
        shape.history_tokens.min(most)
    } else {
        0
    };
    Prompt {
        guide: history % shape.guides_count,
        guide_tokens,
        history,
        history_tokens,
        own_tokens: tokens - guide_tokens - history_tokens,
    }
}

/// Number below `count`, small ones more often.
fn skewed(random: &mut StdRng, count: u64) -> u64 {
    let uniform = random.random::<f64>();
    to_us(uniform * uniform * as_f64(count))
        .get()
        .min(count - 1)
}

/// Standard normal by the method of Box and Muller.
fn normal(random: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

/// A positive number, rounded down.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_us(value: f64) -> DurationUs {
    DurationUs(value.max(0.0) as u64)
}
