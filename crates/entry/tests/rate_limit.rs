//! Rate limits of customers at one entry.

#![allow(clippy::unwrap_used, reason = "test data is valid")]

use cuminlead_entry::rate_limit::{PlanRate, RateLimits};
use cuminlead_types::{CustomerId, RequestsPerSecond, TimeUs};
use yare::parameterized;

/// Requests sent at the same time, and how many of them are to be admitted.
struct Burst {
    at_ms: u64,
    requests: u32,
    admitted: u32,
}

/// Guards against a customer that gets more than its rate over all entries, and against a customer
/// that gets nothing because the entry's share of its burst is below one request.
#[parameterized(
    burst_then_refill = { 10, 5, 1, &[
        Burst { at_ms: 0, requests: 8, admitted: 5 },
        Burst { at_ms: 100, requests: 3, admitted: 1 },
        Burst { at_ms: 10_000, requests: 8, admitted: 5 },
    ] },
    share_of_two_entries = { 10, 8, 2, &[
        Burst { at_ms: 0, requests: 8, admitted: 4 },
        Burst { at_ms: 1_000, requests: 8, admitted: 4 },
    ] },
    share_below_one = { 1, 1, 4, &[
        Burst { at_ms: 0, requests: 2, admitted: 1 },
        Burst { at_ms: 3_900, requests: 1, admitted: 0 },
        Burst { at_ms: 4_000, requests: 1, admitted: 1 },
    ] },
)]
fn requests_within_the_rate_are_admitted(
    rate: u32,
    burst_requests: u32,
    entries_count: u32,
    bursts: &[Burst],
) {
    let plan = PlanRate {
        rate: RequestsPerSecond(rate),
        burst_requests,
        entries_count,
    };
    let customer: CustomerId = "kiosks".parse().unwrap();
    let mut limits = RateLimits::default();
    for burst in bursts {
        let now = TimeUs(burst.at_ms * 1_000);
        let admitted = (0..burst.requests)
            .filter(|_| limits.admit(now, &customer, plan))
            .count();
        assert_eq!(admitted, burst.admitted as usize, "at {} ms", burst.at_ms);
    }
}
