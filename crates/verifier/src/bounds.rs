//! Time limits of the checks.

use cuminlead_types::DurationUs;

/// Time limits of the checks; the defaults are those of `docs/design.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// P1: from the end of a request until its engine memory is free.
    pub free_us: DurationUs,
    /// P1: from the agent's receipt of a cancel until the engine memory is free.
    pub cancel_us: DurationUs,
    /// P3: from the acceptance of a request until its answer or error.
    pub request_max_us: DurationUs,
    /// P5: time within which a second execution with the same key is a violation.
    pub key_retention_us: DurationUs,
    /// P6: from the first report that a server drains until it accepts no new work.
    pub draining_us: DurationUs,
    /// P8: from the publication of a change until it is in effect at every process.
    pub lists_propagation_us: DurationUs,
    /// Orders: from a change of an engine's assignment until the engine serves it.
    pub assignment_us: DurationUs,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            free_us: DurationUs::from_ms(30_000),
            cancel_us: DurationUs::from_ms(1_000),
            request_max_us: DurationUs::from_ms(100_000),
            key_retention_us: DurationUs::from_ms(600_000),
            draining_us: DurationUs::from_ms(5_000),
            lists_propagation_us: DurationUs::from_ms(9_000),
            // Sum of the times for lists (9 s), the hysteresis of role changes (10 s), the longest
            // request (100 s) and an inventory (2 s).
            assignment_us: DurationUs::from_ms(121_000),
        }
    }
}
