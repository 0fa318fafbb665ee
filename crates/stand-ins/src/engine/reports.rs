//! Load reports and cache events, both delayed; some cache events are lost.
//!
//! Engines publish both asynchronously, so a router must work with stale and incomplete reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::cache::CacheChange;

/// Events whose number is a multiple of this are lost.
const LOST_EVENT_PERIOD: u64 = 10;
/// Events retained for readers.
const EVENTS_MAX: usize = 10_000;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Load of an engine at one time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct LoadReport {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) free_pieces: u32,
    pub(super) pending_prompt_tokens: u64,
}

/// Change of the prefix cache, as published.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    number: u64,
    kind: &'static str,
    block: String,
    #[serde(skip)]
    happened_at: Instant,
}

struct Sample {
    taken_at: Instant,
    report: LoadReport,
}

/// Reports of an engine that become visible after a lag.
pub(super) struct Reports {
    lag: Duration,
    frozen_at: Option<Instant>,
    samples: VecDeque<Sample>,
    events: VecDeque<CacheEvent>,
    event_count: u64,
}

impl Reports {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            frozen_at: None,
            samples: VecDeque::new(),
            events: VecDeque::new(),
            event_count: 0,
        }
    }

    /// Keeps the reports at what is visible now, until called with false.
    pub(super) fn freeze(&mut self, is_frozen: bool) {
        self.frozen_at = is_frozen.then(Instant::now);
    }

    pub(super) fn record(&mut self, now: Instant, report: LoadReport) {
        if self.frozen_at.is_some() {
            return;
        }
        let is_due = self
            .samples
            .back()
            .is_none_or(|last| now.duration_since(last.taken_at) >= SAMPLE_INTERVAL);
        if is_due {
            self.samples.push_back(Sample {
                taken_at: now,
                report,
            });
        }
        while self.samples.len() > 1 && self.is_visible(self.samples[1].taken_at, now) {
            self.samples.pop_front();
        }
    }

    /// Latest load report that is at least as old as the lag; zeros when there is none.
    pub(super) fn load(&self, now: Instant) -> LoadReport {
        let mut samples = self.samples.iter().rev();
        samples
            .find(|sample| self.is_visible(sample.taken_at, now))
            .map(|sample| sample.report)
            .unwrap_or_default()
    }

    pub(super) fn add_changes(&mut self, now: Instant, changes: &[CacheChange]) {
        for change in changes {
            self.event_count += 1;
            if self.event_count.is_multiple_of(LOST_EVENT_PERIOD) {
                continue;
            }
            self.events.push_back(CacheEvent {
                number: self.event_count,
                kind: if change.is_stored {
                    "stored"
                } else {
                    "evicted"
                },
                block: format!("{:016x}", change.block),
                happened_at: now,
            });
        }
        let surplus = self.events.len().saturating_sub(EVENTS_MAX);
        self.events.drain(..surplus);
    }

    /// Events with a higher number than `since` that are at least as old as the lag.
    pub(super) fn events(&self, now: Instant, since: u64) -> Vec<CacheEvent> {
        let is_selected =
            |event: &&CacheEvent| event.number > since && self.is_visible(event.happened_at, now);
        self.events.iter().filter(is_selected).cloned().collect()
    }

    fn is_visible(&self, happened_at: Instant, now: Instant) -> bool {
        let observed_at = self.frozen_at.unwrap_or(now);
        observed_at.saturating_duration_since(happened_at) >= self.lag
    }
}
