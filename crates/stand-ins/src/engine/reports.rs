//! Load reports that lag and cache events that come late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::cache::CacheChange;

/// Every event with this number as divisor is lost.
const GAP_EVERY: u64 = 10;
const EVENTS_KEPT: usize = 10_000;
const SAMPLE_EVERY: Duration = Duration::from_millis(20);

/// Load at one time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct LoadReport {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) free_pieces: u32,
    pub(super) pending_prompt_tokens: u64,
}

/// Change of the prefix cache.
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

/// Reports of an engine.
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

    /// Shows the reports of this moment until released.
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
            .is_none_or(|last| now.duration_since(last.taken_at) >= SAMPLE_EVERY);
        if is_due {
            self.samples.push_back(Sample {
                taken_at: now,
                report,
            });
        }
        while self.samples.len() > 1 && self.is_shown(self.samples[1].taken_at, now) {
            self.samples.pop_front();
        }
    }

    /// Latest load that is old enough to be shown; zero at the start.
    pub(super) fn load(&self, now: Instant) -> LoadReport {
        let mut samples = self.samples.iter().rev();
        samples
            .find(|sample| self.is_shown(sample.taken_at, now))
            .map(|sample| sample.report)
            .unwrap_or_default()
    }

    pub(super) fn add_changes(&mut self, now: Instant, changes: &[CacheChange]) {
        for change in changes {
            self.event_count += 1;
            if self.event_count.is_multiple_of(GAP_EVERY) {
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
        let surplus = self.events.len().saturating_sub(EVENTS_KEPT);
        self.events.drain(..surplus);
    }

    /// Events after a number that are old enough to be shown.
    pub(super) fn events(&self, now: Instant, since: u64) -> Vec<CacheEvent> {
        let is_wanted =
            |event: &&CacheEvent| event.number > since && self.is_shown(event.happened_at, now);
        self.events.iter().filter(is_wanted).cloned().collect()
    }

    fn is_shown(&self, happened_at: Instant, now: Instant) -> bool {
        let seen_at = self.frozen_at.unwrap_or(now);
        seen_at.saturating_duration_since(happened_at) >= self.lag
    }
}
