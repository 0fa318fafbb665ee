//! Limit on the retries sent to one backend server or service.
//!
//! Retries are limited to a share of the requests in a sliding window, so that a failing server or
//! a network partition does not multiply the load of the other servers. A minimum number of retries
//! is always allowed, because the share of a server with little traffic rounds down to zero.

use cuminlead_types::TimeUs;

/// Length of the sliding window over which requests and retries are counted, in seconds.
pub const WINDOW_S: u64 = 10;
/// Requests in the window for each allowed retry.
pub const REQUESTS_PER_RETRY: u32 = 10;
/// Retries allowed in the window regardless of the number of requests.
pub const RETRIES_MIN: u32 = 3;

const BUCKET_US: u64 = 1_000_000;

/// One bucket more than the seconds of the window, because the oldest bucket is only partly inside
/// the window. Retries are counted over all buckets, so that the limit holds in every window.
const BUCKET_COUNT: usize = 11;

/// Limits on the retries in the window of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// Requests in the window for each allowed retry; zero is treated as one.
    pub requests_per_retry: u32,
    /// Retries allowed regardless of the number of requests.
    pub retries_min_count: u32,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            requests_per_retry: REQUESTS_PER_RETRY,
            retries_min_count: RETRIES_MIN,
        }
    }
}

/// Retry budget of one backend server or service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RetryBudget {
    limits: RetryLimits,
    requests: SlidingCounter,
    retries: SlidingCounter,
}

impl RetryBudget {
    /// Creates a budget with the given limits and no counted requests.
    pub fn with_limits(limits: RetryLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Replaces the limits and keeps the counts.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a first attempt, which adds to the share that retries may use.
    pub fn count_request(&mut self, now: TimeUs) {
        self.requests.add(now);
    }

    /// Whether [`Self::try_retry`] would allow a retry.
    pub fn allows(&self, now: TimeUs) -> bool {
        self.left(now) > 0
    }

    /// Number of further retries allowed at this time.
    pub fn left(&self, now: TimeUs) -> u32 {
        let requests = self.requests.count(now, BUCKET_COUNT - 1);
        let earned = requests / self.limits.requests_per_retry.max(1);
        let allowed = earned.max(self.limits.retries_min_count);
        allowed.saturating_sub(self.retries.count(now, BUCKET_COUNT))
    }

    /// Counts a retry and returns true if the budget allows it; otherwise returns false.
    pub fn try_retry(&mut self, now: TimeUs) -> bool {
        let is_allowed = self.allows(now);
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }
}

/// Ring of counts per second; `newest_second` is the second of the latest bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct SlidingCounter {
    newest_second: u64,
    counts: [u32; BUCKET_COUNT],
}

impl SlidingCounter {
    fn add(&mut self, now: TimeUs) {
        self.advance(now);
        let index = bucket_index(self.newest_second);
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Sum over the latest `buckets` seconds.
    fn count(&self, now: TimeUs, buckets: usize) -> u32 {
        let second = (now.get() / BUCKET_US).max(self.newest_second);
        (0..buckets as u64)
            .filter_map(|age| second.checked_sub(age))
            .filter(|second| *second <= self.newest_second)
            .map(|second| self.counts[bucket_index(second)])
            .fold(0, u32::saturating_add)
    }

    fn advance(&mut self, now: TimeUs) {
        let second = now.get() / BUCKET_US;
        let elapsed = second
            .saturating_sub(self.newest_second)
            .min(BUCKET_COUNT as u64);
        for age in 0..elapsed {
            self.counts[bucket_index(second - age)] = 0;
        }
        self.newest_second = self.newest_second.max(second);
    }
}

fn bucket_index(second: u64) -> usize {
    usize::try_from(second % BUCKET_COUNT as u64).unwrap_or(0)
}
