//! Limit on the retries sent to one backend server or service.
//!
//! Retries are limited to a share of the requests in a sliding window, so that a failing server or
//! a network partition does not multiply the load of the other servers. A minimum number of retries
//! is always allowed, because the share of a server with little traffic rounds down to zero.

use cuminlead_types::TimeUs;

/// Window over which requests and retries are counted, in seconds.
pub const WINDOW_S: u64 = 10;
/// One retry is allowed for this many requests of the window.
pub const REQUESTS_PER_RETRY: u32 = 10;
/// Retries allowed in the window whatever the requests.
pub const RETRIES_MIN: u32 = 3;

const SLOT_US: u64 = 1_000_000;

/// One slot more than the window, because the oldest slot is only partly inside it. Counting it
/// whole for retries keeps the bound in every window.
const SLOTS: usize = 11;

/// How many retries a budget allows in its window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// One retry is allowed for this many requests.
    pub requests_per_retry: u32,
    /// Retries allowed whatever the requests.
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

/// Token bucket of retries for one backend server or service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RetryBudget {
    limits: RetryLimits,
    requests: Window,
    retries: Window,
}

impl RetryBudget {
    /// Empty budget with limits of its own.
    pub fn with_limits(limits: RetryLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Replaces the limits; what was counted stays.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a request that is not a retry.
    pub fn count_request(&mut self, now: TimeUs) {
        self.requests.add(now);
    }

    /// Whether a retry would be allowed.
    pub fn allows(&self, now: TimeUs) -> bool {
        self.left(now) > 0
    }

    /// Retries that would be allowed.
    pub fn left(&self, now: TimeUs) -> u32 {
        let requests = self.requests.count(now, SLOTS - 1);
        let earned = requests / self.limits.requests_per_retry.max(1);
        let allowed = earned.max(self.limits.retries_min_count);
        allowed.saturating_sub(self.retries.count(now, SLOTS))
    }

    /// Takes one retry from the budget; false when none is left.
    pub fn try_retry(&mut self, now: TimeUs) -> bool {
        let is_allowed = self.allows(now);
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }
}

/// Counts in slots of one second; `newest` is the second of the latest slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Window {
    newest: u64,
    counts: [u32; SLOTS],
}

impl Window {
    fn add(&mut self, now: TimeUs) {
        self.advance(now);
        let index = slot_index(self.newest);
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Counts of the latest `slots` seconds.
    fn count(&self, now: TimeUs, slots: usize) -> u32 {
        let second = (now.get() / SLOT_US).max(self.newest);
        (0..slots as u64)
            .filter_map(|age| second.checked_sub(age))
            .filter(|second| *second <= self.newest)
            .map(|second| self.counts[slot_index(second)])
            .fold(0, u32::saturating_add)
    }

    fn advance(&mut self, now: TimeUs) {
        let second = now.get() / SLOT_US;
        let passed = second.saturating_sub(self.newest).min(SLOTS as u64);
        for age in 0..passed {
            self.counts[slot_index(second - age)] = 0;
        }
        self.newest = self.newest.max(second);
    }
}

fn slot_index(second: u64) -> usize {
    usize::try_from(second % SLOTS as u64).unwrap_or(0)
}
