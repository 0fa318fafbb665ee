//! Retry delays of failed orders.
//!
//! Each order has its own delay, so one model that cannot be loaded does not delay other orders.
//! The delay includes jitter that differs between agents, so agents that the weight store rejected
//! at the same time do not retry at the same time.

use cuminlead_protocol::EngineOrder;
use cuminlead_types::{DurationUs, TimeUs};

use crate::config::OrdersConfig;

/// Number of jitter steps. Each adds 1/128 of the delay, so the jitter is less than half the delay.
const JITTER_STEPS: u64 = 64;

#[derive(Clone, Debug)]
struct FailedOrder {
    order: EngineOrder,
    failures: u32,
    retry_at: TimeUs,
}

/// Failed orders and the times at which they may be retried.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failed: Vec<FailedOrder>,
}

impl Backoff {
    /// Records a failure and returns the number of failures of the order so far.
    pub fn record_failure(
        &mut self,
        now: TimeUs,
        order: &EngineOrder,
        config: &OrdersConfig,
    ) -> u32 {
        let found = self.failed.iter().position(|failed| failed.order == *order);
        let index = found.unwrap_or_else(|| {
            self.failed.push(FailedOrder {
                order: order.clone(),
                failures: 0,
                retry_at: now,
            });
            self.failed.len() - 1
        });
        let failed = &mut self.failed[index];
        failed.failures = failed.failures.saturating_add(1);
        failed.retry_at = now + delay(failed.failures, config);
        failed.failures
    }

    /// Drops the failures of orders that are no longer needed.
    pub fn retain(&mut self, needed: &[EngineOrder]) {
        self.failed.retain(|failed| needed.contains(&failed.order));
    }

    /// Time from which the order may be retried; `None` if it has not failed.
    pub fn retry_at(&self, order: &EngineOrder) -> Option<TimeUs> {
        let failed = self.failed.iter().find(|failed| failed.order == *order)?;
        Some(failed.retry_at)
    }
}

fn delay(failures: u32, config: &OrdersConfig) -> DurationUs {
    let doublings = failures.saturating_sub(1).min(32);
    let delay_us = config.backoff_min_us.get().saturating_mul(1 << doublings);
    let delay_us = delay_us.min(config.backoff_max_us.get());
    DurationUs(delay_us + delay_us / (2 * JITTER_STEPS) * jitter_step(failures, config))
}

/// Jitter step, determined by the incarnation of the agent and the number of failures.
fn jitter_step(failures: u32, config: &OrdersConfig) -> u64 {
    /// Multiplier of Fibonacci hashing (2^64 divided by the golden ratio), which spreads
    /// consecutive seeds over 64 bits.
    const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let seed = config.incarnation.get().wrapping_add(u64::from(failures));
    (seed.wrapping_mul(FIBONACCI_MULTIPLIER) >> 32) % JITTER_STEPS
}
