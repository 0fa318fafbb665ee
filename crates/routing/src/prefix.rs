//! Table of the prompt prefixes that each server has recently computed.
//!
//! Engines report their cache events late and with gaps, so the router records its own decisions.
//! The table has a fixed size, and each pair of server and prefix has one bucket, in which it
//! overwrites an older pair: losing a pair only makes an estimate less accurate.

use cuminlead_types::{DurationUs, TimeUs};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const BUCKET_COUNT: usize = 1 << 17;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tag: u64,
    at: TimeUs,
}

/// Fixed-size hash table of pairs of server and prompt prefix.
#[derive(Clone, Debug)]
pub struct PrefixTable {
    buckets: Vec<Bucket>,
    retention_us: DurationUs,
}

impl PrefixTable {
    /// Creates an empty table that retains a prefix for `retention_us`.
    pub fn new(retention_us: DurationUs) -> Self {
        Self {
            buckets: vec![Bucket::default(); BUCKET_COUNT],
            retention_us,
        }
    }

    /// Records that a server computes the prompt with these block hashes.
    pub fn record(&mut self, now: TimeUs, server_salt: u64, prefix_hashes: &[u64]) {
        for length in recorded_lengths(prefix_hashes.len()) {
            let tag = tag(server_salt, prefix_hashes[length - 1]);
            self.buckets[bucket_index(tag)] = Bucket { tag, at: now };
        }
    }

    /// Number of leading blocks that the server has recently computed, as far as recorded.
    ///
    /// The first block is looked up first, because most candidates do not have it and need no
    /// further look-ups.
    pub fn cached_blocks(&self, now: TimeUs, server_salt: u64, prefix_hashes: &[u64]) -> usize {
        let is_recorded = |hash: &u64| {
            let tag = tag(server_salt, *hash);
            let bucket = self.buckets[bucket_index(tag)];
            bucket.tag == tag && now.since(bucket.at) < self.retention_us
        };
        if !prefix_hashes.first().is_some_and(is_recorded) {
            return 0;
        }
        recorded_lengths(prefix_hashes.len())
            .find(|length| is_recorded(&prefix_hashes[*length - 1]))
            .unwrap_or(0)
    }
}

/// Prefix lengths that are recorded, in blocks, longest first: the whole prompt and all powers of
/// two below, so that the work grows with the logarithm of the prompt length.
fn recorded_lengths(blocks: usize) -> impl Iterator<Item = usize> {
    let all = (blocks > 0 && !blocks.is_power_of_two()).then_some(blocks);
    let powers = (0..usize::BITS).rev().map(|shift| 1_usize << shift);
    all.into_iter()
        .chain(powers.filter(move |length| *length <= blocks))
}

fn tag(server_salt: u64, prefix_hash: u64) -> u64 {
    xxh3_64_with_seed(&prefix_hash.to_le_bytes(), server_salt)
}

fn bucket_index(tag: u64) -> usize {
    usize::try_from(tag % BUCKET_COUNT as u64).unwrap_or(0)
}
