//! Sizes: tokens, KV pieces, bytes and decode slots.

use crate::macros::number_type;

/// Tokens whose KV cache fits into one KV piece.
pub const KV_PIECE_TOKENS: u64 = 4_096;

number_type!(
    /// Tokens of a prompt or an output.
    Tokens(u64)
);
number_type!(
    /// KV pieces: units of [`KV_PIECE_TOKENS`] tokens in which KV memory is counted.
    KvPieces(u32)
);
number_type!(
    /// Size in bytes.
    Bytes(u64)
);
number_type!(
    /// Decode slots: sequences that an engine can have in its batch at the same time.
    Slots(u32)
);

impl Tokens {
    /// KV pieces needed for the KV cache of this many tokens, rounded up.
    pub fn kv_pieces(self) -> KvPieces {
        KvPieces(u32::try_from(self.0.div_ceil(KV_PIECE_TOKENS)).unwrap_or(u32::MAX))
    }

    /// Estimated tokens of a text: one per four bytes, rounded up, at least one.
    pub fn estimate(text: &str) -> Self {
        Self((text.len() as u64).div_ceil(4).max(1))
    }
}
