//! Waiting times after failed orders.
//!
//! Each order waits for itself, so that one model that cannot be loaded holds back nothing else.
//! The waiting time has a part that differs between agents, so that agents that were refused by the
//! weight store at the same time do not return at the same time.

use cuminlead_protocol::EngineOrder;
use cuminlead_types::{DurationUs, TimeUs};

use crate::config::OrdersConfig;

/// Shares of the waiting time that the varying part is chosen from; it is less than a half.
const JITTER_SHARES: u64 = 64;

#[derive(Clone, Debug)]
struct Waiting {
    order: EngineOrder,
    failures: u32,
    until: TimeUs,
}

/// Orders that have failed and wait.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    waiting: Vec<Waiting>,
}

impl Backoff {
    /// Notes a failure and returns how often the order has failed.
    pub fn fail(&mut self, now: TimeUs, order: &EngineOrder, config: &OrdersConfig) -> u32 {
        let found = self.waiting.iter().position(|w| w.order == *order);
        let index = found.unwrap_or_else(|| {
            self.waiting.push(Waiting {
                order: order.clone(),
                failures: 0,
                until: now,
            });
            self.waiting.len() - 1
        });
        let waiting = &mut self.waiting[index];
        waiting.failures = waiting.failures.saturating_add(1);
        waiting.until = now + delay(waiting.failures, config);
        waiting.failures
    }

    /// Forgets failures of orders that are no longer needed.
    pub fn retain(&mut self, needed: &[EngineOrder]) {
        self.waiting.retain(|w| needed.contains(&w.order));
    }

    /// Until when an order waits.
    pub fn until(&self, order: &EngineOrder) -> Option<TimeUs> {
        let waiting = self.waiting.iter().find(|w| w.order == *order)?;
        Some(waiting.until)
    }
}

fn delay(failures: u32, config: &OrdersConfig) -> DurationUs {
    let doublings = failures.saturating_sub(1).min(32);
    let time = config.backoff_min_us.get().saturating_mul(1 << doublings);
    let time = time.min(config.backoff_max_us.get());
    DurationUs(time + time / (2 * JITTER_SHARES) * jitter_share(failures, config))
}

/// Share that depends on the agent and the failure only.
fn jitter_share(failures: u32, config: &OrdersConfig) -> u64 {
    /// Multiplier that spreads neighbouring numbers over 64 bits (2^64 divided by the golden ratio).
    const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    let number = config.incarnation.get().wrapping_add(u64::from(failures));
    (number.wrapping_mul(SPREAD) >> 32) % JITTER_SHARES
}
