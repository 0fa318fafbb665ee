//! Hashes of the prompt's leading blocks, for prefix-aware routing, and the prefixes that are blamed
//! for crashes of engines.

use std::iter;

use cuminlead_types::{PromptPartId, Tokens};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Bytes per token, as assumed by `Tokens::estimate`.
const TOKEN_BYTES: u64 = 4;
/// Number of blocks up to which each prefix is a part; of longer ones only those with a power of two
/// blocks are.
const PARTS_BLOCKS_COUNT: usize = 8;

/// Hash of each full leading block. Each hash covers all blocks before it as well. Entries with the
/// same settings compute the same hashes.
pub(super) fn hashes(prompt: &str, block_tokens: Tokens) -> Vec<u64> {
    let block_bytes = block_tokens.get().saturating_mul(TOKEN_BYTES).max(1);
    let block_bytes = usize::try_from(block_bytes).unwrap_or(usize::MAX);
    let mut hasher = Xxh3::new();
    let mut hashes = Vec::new();
    for block in prompt.as_bytes().chunks_exact(block_bytes) {
        hasher.update(block);
        hashes.push(hasher.digest());
    }
    hashes
}

/// Prefixes that other prompts may share, shortest first; the last one is the whole prompt. Their
/// number grows with the logarithm of the prompt length.
pub(super) fn parts(prompt: &str, prefix_hashes: &[u64]) -> Vec<PromptPartId> {
    let is_part = |blocks: usize| blocks <= PARTS_BLOCKS_COUNT || blocks.is_power_of_two();
    let prefixes = prefix_hashes
        .iter()
        .enumerate()
        .filter(|(index, _)| is_part(index + 1));
    prefixes
        .map(|(_, hash)| *hash)
        .chain(iter::once(xxh3_64(prompt.as_bytes())))
        .filter_map(|hash| format!("{hash:016x}").parse().ok())
        .collect()
}
