//! Request rate limits of customers, as token buckets.
//!
//! The rate of a plan applies to the whole fleet, and entries share no state. Each entry therefore
//! admits the rate divided by the number of live entries. This relies on the balancer spreading
//! requests evenly: a customer whose requests all reach one entry gets only that entry's share of
//! the rate, never more than the rate.

use std::collections::HashMap;

use cuminlead_types::{CustomerId, RequestsPerSecond, TimeUs};

const US_PER_SECOND: f64 = 1_000_000.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    available_requests: f64,
    refilled_at_us: TimeUs,
}

/// Token buckets of the customers that sent requests to this entry.
#[derive(Debug, Default)]
pub struct RateLimits {
    buckets: HashMap<CustomerId, Bucket>,
}

/// Rate of a plan and the number of entries that share it.
#[derive(Clone, Copy, Debug)]
pub struct PlanRate {
    /// Sustained rate of the whole fleet.
    pub rate: RequestsPerSecond,
    /// Bucket capacity of the whole fleet; each entry has at least one request.
    pub burst_requests: u32,
    /// Number of live entries; 0 counts as 1.
    pub entries_count: u32,
}

impl RateLimits {
    /// Returns whether a request of the customer is within its rate, and counts it if so.
    pub fn admit(&mut self, now: TimeUs, customer: &CustomerId, plan: PlanRate) -> bool {
        let share = 1.0 / f64::from(plan.entries_count.max(1));
        let rate = f64::from(plan.rate.0) * share;
        let capacity = (f64::from(plan.burst_requests) * share).max(1.0);
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket {
            available_requests: capacity,
            refilled_at_us: now,
        });
        let elapsed_us = now.since(bucket.refilled_at_us).0;
        let refill = rate * elapsed_us as f64 / US_PER_SECOND;
        bucket.available_requests = (bucket.available_requests + refill).min(capacity);
        bucket.refilled_at_us = now;
        if bucket.available_requests < 1.0 {
            return false;
        }
        bucket.available_requests -= 1.0;
        true
    }

    /// Drops the buckets of customers for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&CustomerId) -> bool) {
        self.buckets.retain(|customer, _| is_known(customer));
    }
}
