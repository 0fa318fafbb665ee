//! Sizes: tokens, KV pieces, bytes and slots.

use crate::macros::number_type;

/// Tokens in one KV piece of engine memory.
pub const KV_PIECE_TOKENS: u64 = 4_096;

number_type!(
    /// Tokens of a prompt or an answer.
    Tokens(u64)
);
number_type!(
    /// Pieces of engine memory that hold KV cache.
    KvPieces(u32)
);
number_type!(
    /// Bytes.
    Bytes(u64)
);
number_type!(
    /// Places in an engine's batch.
    Slots(u32)
);

impl Tokens {
    /// KV pieces that hold this many tokens.
    pub fn kv_pieces(self) -> KvPieces {
        KvPieces(u32::try_from(self.0.div_ceil(KV_PIECE_TOKENS)).unwrap_or(u32::MAX))
    }

    /// Estimate for a text: one token for each four bytes, at least one.
    pub fn estimate(text: &str) -> Self {
        Self((text.len() as u64).div_ceil(4).max(1))
    }
}
