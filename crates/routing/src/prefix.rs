//! Table of the prompt prefixes that each server has recently computed.
//!
//! Engines report their cache events late and with gaps, so the router records its own decisions.
//! The table has a fixed size and each prefix has one index in it, where a new entry overwrites an
//! older one: losing an entry only makes an estimate less accurate.

use cuminlead_types::{DurationUs, TimeUs};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SLOT_COUNT: usize = 1 << 17;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    tag: u64,
    at: TimeUs,
}

/// Memory of prefixes and servers.
#[derive(Clone, Debug)]
pub struct PrefixMemory {
    slots: Vec<Slot>,
    hold_us: DurationUs,
}

impl PrefixMemory {
    /// Empty memory that trusts an entry for `hold_us`.
    pub fn new(hold_us: DurationUs) -> Self {
        Self {
            slots: vec![Slot::default(); SLOT_COUNT],
            hold_us,
        }
    }

    /// Notes that a server computes a prompt.
    pub fn note(&mut self, now: TimeUs, server_salt: u64, prefix_hashes: &[u64]) {
        for length in levels(prefix_hashes.len()) {
            let tag = tag(server_salt, prefix_hashes[length - 1]);
            self.slots[place(tag)] = Slot { tag, at: now };
        }
    }

    /// Number of leading blocks that the server has computed lately.
    ///
    /// A server without the first block has none; most candidates are done after this look-up.
    pub fn cached_blocks(&self, now: TimeUs, server_salt: u64, prefix_hashes: &[u64]) -> usize {
        let is_known = |hash: &u64| {
            let tag = tag(server_salt, *hash);
            let slot = self.slots[place(tag)];
            slot.tag == tag && now.since(slot.at) < self.hold_us
        };
        if !prefix_hashes.first().is_some_and(is_known) {
            return 0;
        }
        levels(prefix_hashes.len())
            .find(|length| is_known(&prefix_hashes[*length - 1]))
            .unwrap_or(0)
    }
}

/// Prefix lengths that are remembered, longest first: all blocks, then powers of two, so that the
/// work grows with the logarithm of the prompt.
fn levels(blocks: usize) -> impl Iterator<Item = usize> {
    let all = (blocks > 0 && !blocks.is_power_of_two()).then_some(blocks);
    let powers = (0..usize::BITS).rev().map(|shift| 1_usize << shift);
    all.into_iter()
        .chain(powers.filter(move |length| *length <= blocks))
}

fn tag(server_salt: u64, prefix_hash: u64) -> u64 {
    xxh3_64_with_seed(&prefix_hash.to_le_bytes(), server_salt)
}

fn place(tag: u64) -> usize {
    usize::try_from(tag % SLOT_COUNT as u64).unwrap_or(0)
}
