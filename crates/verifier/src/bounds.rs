//! Times within which the promises must hold.

use cuminlead_types::DurationUs;

/// Times within which the promises must hold; the defaults are those of `docs/design.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// P1: until engine memory of a request that is gone is free.
    pub free_us: DurationUs,
    /// P1: until engine memory is free after its agent received a cancel.
    pub cancel_us: DurationUs,
    /// P3: longest time that a request may stay without an ending.
    pub request_max_us: DurationUs,
    /// P5: time for which a key must not run again.
    pub key_retention_us: DurationUs,
    /// P6: until a leaving server gets no new work.
    pub leaving_us: DurationUs,
    /// P8: until a change is in force everywhere.
    pub lists_us: DurationUs,
    /// Orders: until an engine serves what the newest lists want.
    pub duty_us: DurationUs,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            free_us: DurationUs::from_ms(30_000),
            cancel_us: DurationUs::from_ms(1_000),
            request_max_us: DurationUs::from_ms(100_000),
            key_retention_us: DurationUs::from_ms(600_000),
            leaving_us: DurationUs::from_ms(5_000),
            lists_us: DurationUs::from_ms(9_000),
            // Lists (9 s), hysteresis of the role (10 s), the longest request (100 s) and an
            // inventory (2 s).
            duty_us: DurationUs::from_ms(121_000),
        }
    }
}
