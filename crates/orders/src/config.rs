//! Times of orders.

use cuminlead_types::{DurationUs, Incarnation};

/// Times of orders; the defaults are those of `docs/design.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrdersConfig {
    /// Life of the agent, the first part of its fencing numbers.
    pub incarnation: Incarnation,
    /// Time that a wanted role must stay the same before the role is changed.
    pub role_hysteresis_us: DurationUs,
    /// Waiting time after the first failure of an order; doubles with each further one.
    pub backoff_min_us: DurationUs,
    /// Longest waiting time after a failure.
    pub backoff_max_us: DurationUs,
    /// Time after which an order without answer has failed.
    pub order_timeout_us: DurationUs,
    /// Time after which the first order, which only shows the fencing number, is given up.
    pub fence_timeout_us: DurationUs,
}

impl OrdersConfig {
    /// Defaults for an incarnation.
    ///
    /// The time limit of an order leaves room for a load of weights. The shortest back-off exceeds
    /// the 2 s between inventories, so that an inventory read before an order was done does not
    /// cause a second load.
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
