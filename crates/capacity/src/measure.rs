//! Times and heap bytes.
//!
//! Heap bytes are those asked for, without the allocator's own overhead. They are counted by
//! `stats_alloc`, which the executable has to install as its global allocator.

use std::time::Instant;

use stats_alloc::INSTRUMENTED_SYSTEM;

/// Value with the heap bytes that it holds.
#[derive(Debug)]
pub(crate) struct Held<T> {
    /// Value, to be kept while others are measured.
    pub(crate) value: T,
    /// Heap bytes.
    pub(crate) bytes: f64,
}

/// Heap bytes in use by the executable.
pub(crate) fn heap_bytes() -> f64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Makes a value and counts the heap bytes that it holds.
pub(crate) fn hold<T>(make: impl FnOnce() -> T) -> Held<T> {
    let before = heap_bytes();
    let value = make();
    let bytes = heap_bytes() - before;
    Held { value, bytes }
}

/// Times of single runs, in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Times {
    us: Vec<f64>,
}

impl Times {
    /// Runs and times one step.
    pub(crate) fn time<T>(&mut self, step: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = step();
        self.us.push(start.elapsed().as_secs_f64() * 1e6);
        result
    }

    /// Value below which this percentage of the times lies.
    pub(crate) fn percentile(&self, percent: usize) -> f64 {
        let mut sorted = self.us.clone();
        sorted.sort_by(f64::total_cmp);
        let index = sorted.len() * percent / 100;
        let last = sorted.len().saturating_sub(1);
        sorted.get(index.min(last)).copied().unwrap_or_default()
    }

    /// Median.
    pub(crate) fn median(&self) -> f64 {
        self.percentile(50)
    }

    /// Mean.
    pub(crate) fn mean(&self) -> f64 {
        self.us.iter().sum::<f64>() / self.us.len().max(1) as f64
    }
}
