//! Generated text: a function of the prompt, so that receivers can verify an answer.
//!
//! Token `i` of the answer to a prompt is ` w<hash8>-<i>`, where `hash8` is the hash of the
//! original prompt in hexadecimal. When a prompt ends with the first tokens of its own answer, as
//! on a retry after a partial answer, the output continues with the next token. The hash also
//! determines the length of the answer.

use xxhash_rust::xxh3::xxh3_64;

const SHORTEST_TOKENS: u64 = 20;
const LENGTH_SPREAD: u64 = 41;
const HASH_DIGITS: usize = 8;

/// Output for one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Hash of the original prompt.
    pub hash: u32,
    /// Index in the answer of the first token to generate.
    pub first: u64,
    /// Number of tokens to generate.
    pub count: u64,
    /// Whether the answer ends before or at the output limit, with finish reason `stop`.
    pub stops: bool,
}

impl Generation {
    /// Output for a prompt, of at most `output_max` tokens.
    pub fn of(prompt: &str, output_max: u64) -> Self {
        let (hash, first) = find_start(prompt);
        let left = length(hash).saturating_sub(first);
        Self {
            hash,
            first,
            count: left.min(output_max),
            stops: left <= output_max,
        }
    }

    /// Output of exactly `output_max` tokens, without regard to the length from the hash.
    pub fn to_limit(prompt: &str, output_max: u64) -> Self {
        Self {
            count: output_max,
            stops: false,
            ..Self::of(prompt, output_max)
        }
    }

    /// Text of the tokens `start..end`, counted from the first token of this output.
    pub fn text(&self, start: u64, end: u64) -> String {
        (start..end)
            .map(|index| token(self.hash, self.first + index))
            .collect()
    }

    /// Finish reason: `stop` or `length`.
    pub fn finish(&self) -> &'static str {
        if self.stops { "stop" } else { "length" }
    }
}

/// Complete answer to a prompt, of at most `output_max` tokens.
pub fn answer(prompt: &str, output_max: u64) -> String {
    let generation = Generation::of(prompt, output_max);
    generation.text(0, generation.count)
}

/// Complete answer of exactly `output_max` tokens, from an engine with `answers_to_limit`.
pub fn answer_to_limit(prompt: &str, output_max: u64) -> String {
    let generation = Generation::to_limit(prompt, output_max);
    generation.text(0, generation.count)
}

/// Whether a text is one complete answer, with the limit `output_max`, to any prompt.
pub fn is_whole(text: &str, output_max: u64) -> bool {
    let Some(hash) = text.strip_prefix(" w").and_then(leading_hash) else {
        return false;
    };
    let expected: String = (0..length(hash).min(output_max))
        .map(|index| token(hash, index))
        .collect();
    text == expected
}

fn token(hash: u32, index: u64) -> String {
    format!(" w{hash:08x}-{index}")
}

fn length(hash: u32) -> u64 {
    SHORTEST_TOKENS + u64::from(hash) % LENGTH_SPREAD
}

fn hash_of(prompt: &str) -> u32 {
    let bytes = xxh3_64(prompt.as_bytes()).to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

fn leading_hash(text: &str) -> Option<u32> {
    u32::from_str_radix(text.get(..HASH_DIGITS)?, 16).ok()
}

/// Hash of the original prompt, and how many tokens of its answer end `prompt`.
fn find_start(prompt: &str) -> (u32, u64) {
    let last = prompt.rfind(" w").and_then(|at| prompt.get(at + 2..));
    if let Some(hash) = last.and_then(leading_hash) {
        let (original, count) = strip_tokens(prompt, hash);
        if count > 0 && hash_of(original) == hash {
            return (hash, count);
        }
    }
    (hash_of(prompt), 0)
}

/// Removes the tokens 0, 1, 2... of this hash from the end of `prompt` and counts them.
fn strip_tokens(prompt: &str, hash: u32) -> (&str, u64) {
    let first = token(hash, 0);
    let Some(at) = prompt.rfind(&first) else {
        return (prompt, 0);
    };
    let mut rest = &prompt[at..];
    let mut count = 0;
    while let Some(after) = rest.strip_prefix(token(hash, count).as_str()) {
        rest = after;
        count += 1;
    }
    if rest.is_empty() {
        (&prompt[..at], count)
    } else {
        (prompt, 0)
    }
}
