//! Synthetic requests: prompts, arrival times and cancellations.
//!
//! A prompt consists of a guide that many callers share, the history of one kiosk or court, and
//! tokens of its own. The first two are prefixes that an engine may have cached. Prompt lengths are
//! lognormal. The gaps between arrivals are exponential, with a burst in each period.

use cuminlead_types::{DurationUs, TimeUs, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::site::as_f64;

/// Bytes per token according to `Tokens::estimate`.
const BYTES_PER_TOKEN: u64 = 4;
const OUTPUT_MIN_TOKENS: u64 = 20;
const OUTPUT_MAX_TOKENS: u64 = 120;
/// There is one burst at the end of each period.
const BURST_DURATION_US: u64 = 1_000_000;
const BURST_PERIOD_US: u64 = 10_000_000;
/// Arrival rate within a burst, as a multiple of the mean rate.
const BURST_FACTOR: f64 = 1.8;
/// Share of model calls whose caller disconnects.
const CANCEL_SHARE: f64 = 0.01;
/// Callers that disconnect do so within this time after the arrival.
const CANCEL_AFTER_MAX_US: u64 = 4_000_000;
/// Ratio of calls of the plain service to model calls.
const SERVICE_CALLS_PER_MODEL_CALL: f64 = 0.1;
const US_PER_SECOND: f64 = 1_000_000.0;

/// Distribution of the prompts and the callers of a deployment.
#[derive(Clone, Debug)]
pub struct WorkloadShape {
    /// Median prompt length in tokens.
    pub median_tokens: f64,
    /// Standard deviation of the natural logarithm of the prompt length.
    pub sigma: f64,
    /// Shortest prompt.
    pub min_tokens: u64,
    /// Longest prompt.
    pub max_tokens: u64,
    /// Number of different guides.
    pub guides_count: u64,
    /// Length of a guide in tokens, unless `guide_percent` limits it.
    pub guide_tokens: u64,
    /// Upper limit of the guide's share of a prompt, in percent.
    pub guide_percent: u64,
    /// Number of kiosks or courts that have a history.
    pub histories_count: u64,
    /// Length of a history in tokens, unless `history_percent` limits it.
    pub history_tokens: u64,
    /// Upper limit of the history's share of a prompt, in percent.
    pub history_percent: u64,
    /// Share of callers in the first region, in percent.
    pub first_region_percent: u64,
}

impl WorkloadShape {
    /// Repair notes: prompts with a long shared guide and the history of a kiosk.
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

/// Request with its arrival time, not yet sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Arrival time on the clock of the `start` given to [`arrivals`].
    pub at: TimeUs,
    /// Whether the caller is in the region with the most engines.
    pub is_in_first_region: bool,
    /// Model call or service call.
    pub kind: RequestKind,
}

/// Kind of a request, with its parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Call of the model.
    Model {
        /// Composition of the prompt.
        prompt: Prompt,
        /// Length of the output.
        output_tokens: Tokens,
        /// Time from the arrival until the caller disconnects; `None` if it stays connected.
        cancel_after_us: Option<DurationUs>,
    },
    /// Non-idempotent call of the plain service.
    Service,
}

/// Composition of a prompt: guide, history and unique tokens, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of the guide.
    pub guide: u64,
    /// Tokens of the guide, possibly only its beginning.
    pub guide_tokens: u64,
    /// Number of the kiosk or court.
    pub history: u64,
    /// Tokens of the history; 0 after an incomplete guide.
    pub history_tokens: u64,
    /// Tokens that no other prompt shares.
    pub unique_tokens: u64,
}

/// Means over many sampled requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkloadMeans {
    /// Prompt length in tokens.
    pub prompt_tokens: f64,
    /// Prompt tokens after the guide.
    pub unshared_tokens: f64,
    /// Output length in tokens.
    pub output_tokens: f64,
}

impl Prompt {
    /// Length of the prompt in tokens.
    pub fn tokens(&self) -> u64 {
        self.guide_tokens + self.history_tokens + self.unique_tokens
    }

    /// Renders the prompt as text; `number` makes its unique part differ from those of all other
    /// requests.
    pub fn render(&self, number: u64) -> String {
        let mut text = String::new();
        append_repeated(
            &mut text,
            &format!("guide-{}-", self.guide),
            self.guide_tokens,
        );
        let history = format!("history-{}-", self.history);
        append_repeated(&mut text, &history, self.history_tokens);
        append_repeated(&mut text, &format!("own-{number}-"), self.unique_tokens);
        text
    }
}

/// Appends `unit` repeatedly until `tokens` tokens are added; the last repetition may be cut.
fn append_repeated(text: &mut String, unit: &str, tokens: u64) {
    let bytes = usize::try_from(tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let end = text.len() + bytes;
    while text.len() < end {
        text.push_str(unit);
    }
    text.truncate(end);
}

/// Computes the means over `count` requests sampled with `seed`.
pub fn means(shape: &WorkloadShape, seed: u64, count: u64) -> WorkloadMeans {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut prompt, mut unshared, mut output) = (0, 0, 0);
    for _ in 0..count {
        let sampled = sample_prompt(shape, &mut random);
        prompt += sampled.tokens();
        unshared += sampled.tokens() - sampled.guide_tokens;
        output += sample_output_tokens(&mut random);
    }
    let of = |sum: u64| as_f64(sum) / as_f64(count);
    WorkloadMeans {
        prompt_tokens: of(prompt),
        unshared_tokens: of(unshared),
        output_tokens: of(output),
    }
}

/// Generates arrivals within `length` from `start`, in order of time. `calls_per_second` is the
/// mean rate of model calls; service calls come on top.
pub fn arrivals(
    shape: &WorkloadShape,
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
        let rate =
            calls_per_second * burst_factor(at.since(start)) * (1.0 + SERVICE_CALLS_PER_MODEL_CALL);
        let wait_s = -(1.0 - random.random::<f64>()).ln() / rate;
        at = at + round_down_us(wait_s * US_PER_SECOND);
        if at >= end {
            return arrivals;
        }
        arrivals.push(sample_arrival(shape, &mut random, at));
    }
}

/// Arrival rate at a time as a multiple of the mean rate. Its mean over a period is 1.
fn burst_factor(since_start: DurationUs) -> f64 {
    let is_burst = since_start.get() % BURST_PERIOD_US >= BURST_PERIOD_US - BURST_DURATION_US;
    let burst_share = as_f64(BURST_DURATION_US) / as_f64(BURST_PERIOD_US);
    match is_burst {
        true => BURST_FACTOR,
        false => (1.0 - BURST_FACTOR * burst_share) / (1.0 - burst_share),
    }
}

fn sample_arrival(shape: &WorkloadShape, random: &mut StdRng, at: TimeUs) -> Arrival {
    let is_in_first_region = random.random_range(0..100) < shape.first_region_percent;
    let is_service = random.random::<f64>()
        < SERVICE_CALLS_PER_MODEL_CALL / (1.0 + SERVICE_CALLS_PER_MODEL_CALL);
    let kind = match is_service {
        true => RequestKind::Service,
        false => sample_model_call(shape, random),
    };
    Arrival {
        at,
        is_in_first_region,
        kind,
    }
}

fn sample_model_call(shape: &WorkloadShape, random: &mut StdRng) -> RequestKind {
    let prompt = sample_prompt(shape, random);
    let output_tokens = Tokens(sample_output_tokens(random));
    let is_cancelled = random.random::<f64>() < CANCEL_SHARE;
    let after = DurationUs(random.random_range(0..CANCEL_AFTER_MAX_US));
    RequestKind::Model {
        prompt,
        output_tokens,
        cancel_after_us: is_cancelled.then_some(after),
    }
}

fn sample_output_tokens(random: &mut StdRng) -> u64 {
    random.random_range(OUTPUT_MIN_TOKENS..=OUTPUT_MAX_TOKENS)
}

fn sample_prompt(shape: &WorkloadShape, random: &mut StdRng) -> Prompt {
    let length = (shape.median_tokens.ln() + shape.sigma * sample_standard_normal(random)).exp();
    let tokens = round_down_us(length)
        .get()
        .clamp(shape.min_tokens, shape.max_tokens);
    let history = sample_skewed(random, shape.histories_count);
    let guide_tokens = shape.guide_tokens.min(tokens * shape.guide_percent / 100);
    let history_max_tokens = tokens * shape.history_percent / 100;
    // A history follows only a complete guide, so that it starts at the same offset in each prompt
    // and can be found in a prefix cache.
    let has_history = guide_tokens == shape.guide_tokens;
    let history_tokens = if has_history {
        shape.history_tokens.min(history_max_tokens)
    } else {
        0
    };
    Prompt {
        guide: history % shape.guides_count,
        guide_tokens,
        history,
        history_tokens,
        unique_tokens: tokens - guide_tokens - history_tokens,
    }
}

/// Samples a number below `count`; smaller numbers are more frequent.
fn sample_skewed(random: &mut StdRng, count: u64) -> u64 {
    let uniform = random.random::<f64>();
    round_down_us(uniform * uniform * as_f64(count))
        .get()
        .min(count - 1)
}

/// Samples the standard normal distribution with the Box-Muller transform.
fn sample_standard_normal(random: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

/// Rounds a non-negative number down; negative numbers become 0. Used for microseconds and for
/// token counts.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_down_us(value: f64) -> DurationUs {
    DurationUs(value.max(0.0) as u64)
}
