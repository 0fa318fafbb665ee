//! Timeouts and delays of engine orders.

use cuminlead_types::{DurationUs, Incarnation};

/// Timeouts and delays of engine orders; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrdersConfig {
    /// Incarnation of the agent; the more significant part of its fencing numbers.
    pub incarnation: Incarnation,
    /// Time for which the assigned role must stay the same before the engine's role is changed.
    pub role_hysteresis_us: DurationUs,
    /// Retry delay after the first failure of an order, without jitter; doubles with each further
    /// failure.
    pub backoff_min_us: DurationUs,
    /// Upper bound of the retry delay, without jitter.
    pub backoff_max_us: DurationUs,
    /// Timeout of an order that the engine does not answer.
    pub order_timeout_us: DurationUs,
    /// Timeout of the first order, which only announces the fencing number.
    pub fence_timeout_us: DurationUs,
}

impl OrdersConfig {
    /// Default timeouts for an incarnation.
    ///
    /// The order timeout is long enough for loading weights. The shortest retry delay exceeds the
    /// polling interval of inventories (2 s), so an inventory that was read before an order was
    /// executed does not cause a second load.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            role_hysteresis_us: DurationUs::from_ms(10_000),
            backoff_min_us: DurationUs::from_ms(3_000),
            backoff_max_us: DurationUs::from_ms(96_000),
            order_timeout_us: DurationUs::from_ms(300_000),
            fence_timeout_us: DurationUs::from_ms(2_000),
        }
    }
}
