//! Measures execution times and heap use.
//!
//! Heap bytes are the requested bytes, without the allocator's own overhead. They are counted by
//! `stats_alloc`, which the executable has to install as its global allocator.

use std::time::Instant;

use stats_alloc::INSTRUMENTED_SYSTEM;

/// Value with the heap memory that it occupies.
#[derive(Debug)]
pub(crate) struct HeapUse<T> {
    /// Measured value; it stays allocated while others are measured.
    pub(crate) value: T,
    /// Growth of the heap during its construction, in bytes.
    pub(crate) bytes: f64,
}

/// Heap bytes in use by the executable.
pub(crate) fn heap_bytes() -> f64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Constructs a value and measures the heap memory that it occupies.
pub(crate) fn measure_heap<T>(make: impl FnOnce() -> T) -> HeapUse<T> {
    let before = heap_bytes();
    let value = make();
    let bytes = heap_bytes() - before;
    HeapUse { value, bytes }
}

/// Execution times of repeated steps, in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timings {
    us: Vec<f64>,
}

impl Timings {
    /// Executes a step and records its time.
    pub(crate) fn time<T>(&mut self, step: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = step();
        self.us.push(start.elapsed().as_secs_f64() * 1e6);
        result
    }

    /// Time below which this percentage of the recorded times lies; 0 if nothing is recorded.
    pub(crate) fn percentile(&self, percent: usize) -> f64 {
        let mut sorted = self.us.clone();
        sorted.sort_by(f64::total_cmp);
        let index = sorted.len() * percent / 100;
        let last = sorted.len().saturating_sub(1);
        sorted.get(index.min(last)).copied().unwrap_or_default()
    }

    pub(crate) fn median(&self) -> f64 {
        self.percentile(50)
    }

    pub(crate) fn mean(&self) -> f64 {
        self.us.iter().sum::<f64>() / self.us.len().max(1) as f64
    }
}
