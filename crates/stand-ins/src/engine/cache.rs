//! Prefix cache of prompt blocks with limited capacity and LRU eviction.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes in one block: 64 tokens of four bytes.
pub const BLOCK_BYTES: usize = 256;
const BLOCK_TOKENS: u64 = 64;

/// Block that was stored or evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CacheChange {
    /// False when the block was evicted.
    pub(super) is_stored: bool,
    /// Hash of the prompt prefix that ends with this block.
    pub(super) block: u64,
}

pub(super) struct PrefixCache {
    /// In blocks.
    capacity: usize,
    /// Counts lookups and stores, to order blocks by their last use.
    clock: u64,
    /// Clock of the last use of each block.
    used_at: HashMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used_at: HashMap::new(),
        }
    }

    /// Tokens in the longest cached prefix of the prompt; marks its blocks as used.
    pub(super) fn cached_tokens(&mut self, prompt: &str) -> u64 {
        self.clock += 1;
        let mut tokens = 0;
        for block in blocks(prompt) {
            let Some(used_at) = self.used_at.get_mut(&block) else {
                break;
            };
            *used_at = self.clock;
            tokens += BLOCK_TOKENS;
        }
        tokens
    }

    /// Stores the blocks of a computed prompt; returns the blocks stored and evicted.
    pub(super) fn store(&mut self, prompt: &str) -> Vec<CacheChange> {
        self.clock += 1;
        let mut changes = Vec::new();
        for block in blocks(prompt).take(self.capacity) {
            if self.used_at.insert(block, self.clock).is_none() {
                changes.push(CacheChange {
                    is_stored: true,
                    block,
                });
            }
        }
        self.evict(&mut changes);
        changes
    }

    fn evict(&mut self, changes: &mut Vec<CacheChange>) {
        let surplus = self.used_at.len().saturating_sub(self.capacity);
        if surplus == 0 {
            return;
        }
        let mut blocks: Vec<u64> = self.used_at.keys().copied().collect();
        blocks.sort_unstable_by_key(|block| (self.used_at[block], *block));
        for block in blocks.into_iter().take(surplus) {
            self.used_at.remove(&block);
            changes.push(CacheChange {
                is_stored: false,
                block,
            });
        }
    }
}

/// Chained hashes of the full blocks of a prompt.
fn blocks(prompt: &str) -> impl Iterator<Item = u64> + '_ {
    let chunks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    chunks.scan(0, |seed, bytes| {
        *seed = xxh3_64_with_seed(bytes, *seed);
        Some(*seed)
    })
}
