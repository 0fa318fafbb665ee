//! Hashes of the prompt's leading blocks, for prefix-aware routing.
//!
//! The hashes are compared only with those of earlier requests of the same entry process, so the
//! standard library's hasher is sufficient although its algorithm may change between releases.

use std::hash::{DefaultHasher, Hasher};

use cuminlead_types::Tokens;

/// Bytes per token, as assumed by `Tokens::estimate`.
const TOKEN_BYTES: u64 = 4;

/// Hash of each full leading block. Each hash covers all blocks before it as well.
pub(super) fn hashes(prompt: &str, block_tokens: Tokens) -> Vec<u64> {
    let block_bytes = block_tokens.get().saturating_mul(TOKEN_BYTES).max(1);
    let block_bytes = usize::try_from(block_bytes).unwrap_or(usize::MAX);
    let mut hasher = DefaultHasher::new();
    let mut hashes = Vec::new();
    for block in prompt.as_bytes().chunks_exact(block_bytes) {
        hasher.write(block);
        hashes.push(hasher.finish());
    }
    hashes
}
