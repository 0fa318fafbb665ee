//! The rates of customers.
//!
//! A plan's rate is for the whole fleet, and entries share no state, so each entry admits its part:
//! the rate divided by the number of live entries. The balancer spreads requests evenly; a customer
//! whose requests all reach one entry is held to a part of the rate, never above it.

use std::collections::HashMap;

use cuminlead_types::{CustomerId, RequestsPerSecond, TimeUs};

const US_PER_SECOND: f64 = 1_000_000.0;

/// Bucket of one customer.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled_at_us: TimeUs,
}

/// Buckets of all customers at one entry.
#[derive(Debug, Default)]
pub struct RateLimits {
    buckets: HashMap<CustomerId, Bucket>,
}

/// Rate of a plan at one entry.
#[derive(Clone, Copy, Debug)]
pub struct PlanRate {
    /// Sustained rate over all entries.
    pub rate: RequestsPerSecond,
    /// Requests above the sustained rate that may come at once.
    pub burst_requests: u32,
    /// Live entries.
    pub entries_count: u32,
}

impl RateLimits {
    /// Whether a request of the customer is within its rate; counts it if so.
    pub fn admit(&mut self, now: TimeUs, customer: &CustomerId, plan: PlanRate) -> bool {
        let share = 1.0 / f64::from(plan.entries_count.max(1));
        let rate = f64::from(plan.rate.0) * share;
        let capacity = (f64::from(plan.burst_requests) * share).max(1.0);
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket {
            tokens: capacity,
            filled_at_us: now,
        });
        let elapsed_us = now.since(bucket.filled_at_us).0;
        let refill = rate * elapsed_us as f64 / US_PER_SECOND;
        bucket.tokens = (bucket.tokens + refill).min(capacity);
        bucket.filled_at_us = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Forgets customers that are not in the lists any more.
    pub fn retain(&mut self, is_known: impl Fn(&CustomerId) -> bool) {
        self.buckets.retain(|customer, _| is_known(customer));
    }
}
