//! Prefix cache of the fake engine with LRU eviction.

use std::collections::BTreeMap;

use cuminlead_types::Tokens;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of one block, and the length of the prompt text that makes one.
const BLOCK_TOKENS: u64 = 256;
const BLOCK_BYTES: usize = 1_024;

/// Hashes of the cached blocks of prompts; the least recently used are evicted first.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    blocks_max: usize,
    clock: u64,
    used_at: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(size: Tokens) -> Self {
        let blocks_max = usize::try_from(size.get() / BLOCK_TOKENS).unwrap_or(usize::MAX);
        Self {
            blocks_max,
            ..Self::default()
        }
    }

    /// Leading tokens of the prompt that are cached. At least the last block is always computed.
    pub(super) fn cached_tokens(&mut self, prompt: &str) -> Tokens {
        let blocks = blocks(prompt);
        let known = blocks.iter().take_while(|b| self.used_at.contains_key(b));
        let count = known.count();
        self.touch(&blocks[..count]);
        let tokens = Tokens(count as u64 * BLOCK_TOKENS);
        let most = Tokens::estimate(prompt).saturating_sub(Tokens(BLOCK_TOKENS));
        tokens.min(most)
    }

    pub(super) fn clear(&mut self) {
        self.used_at.clear();
        self.by_use.clear();
    }

    pub(super) fn store(&mut self, prompt: &str) {
        self.touch(&blocks(prompt));
        while self.used_at.len() > self.blocks_max {
            if let Some((_, block)) = self.by_use.pop_first() {
                self.used_at.remove(&block);
            }
        }
    }

    /// Marks blocks as used in reverse order, so that a prefix is evicted after the blocks that
    /// follow it.
    fn touch(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.clock += 1;
            if let Some(before) = self.used_at.insert(*block, self.clock) {
                self.by_use.remove(&before);
            }
            self.by_use.insert(self.clock, *block);
        }
    }
}

/// Hash of each full leading block, chained over all blocks before it.
fn blocks(prompt: &str) -> Vec<u64> {
    let chunks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let hashes = chunks.scan(0, |hash, block| {
        *hash = xxh3_64_with_seed(block, *hash);
        Some(*hash)
    });
    hashes.collect()
}
