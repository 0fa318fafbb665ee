//! Rates: amounts per second.

use crate::macros::number_type;
use crate::time::DurationUs;

const US_PER_SECOND: u64 = 1_000_000;

number_type!(
    /// Requests per second.
    RequestsPerSecond(u32)
);
number_type!(
    /// Thousandths of a request per second.
    MillirequestsPerSecond(u64)
);
number_type!(
    /// Tokens per second.
    TokensPerSecond(u64)
);
number_type!(
    /// Bits per second.
    BitsPerSecond(u64)
);

impl TokensPerSecond {
    /// Time to process `tokens` at this rate; the largest duration if the rate is zero.
    pub fn time_for(self, tokens: crate::Tokens) -> DurationUs {
        if self.0 == 0 {
            return DurationUs(u64::MAX);
        }
        DurationUs(tokens.0.saturating_mul(US_PER_SECOND) / self.0)
    }
}

impl BitsPerSecond {
    /// Time to transfer `size` at this rate; the largest duration if the rate is zero.
    pub fn time_for(self, size: crate::Bytes) -> DurationUs {
        if self.0 == 0 {
            return DurationUs(u64::MAX);
        }
        DurationUs(size.0.saturating_mul(8 * US_PER_SECOND) / self.0)
    }
}
