//! Monotonic time, wall-clock time and durations.
//!
//! Decision code never reads a clock; it gets the current time as an argument. [`TimeUs`] counts
//! from an arbitrary origin in one process and is meaningless in another, so messages carry
//! durations.

use std::ops::{Add, Sub};

use crate::macros::number_type;

number_type!(
    /// Monotonic time in microseconds since the origin of one process's clock.
    TimeUs(u64)
);
number_type!(
    /// Length of time in microseconds.
    DurationUs(u64)
);
number_type!(
    /// Wall-clock time in Unix milliseconds.
    UnixMs(u64)
);

impl DurationUs {
    /// Duration of `ms` milliseconds; the largest value on overflow.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Whole milliseconds, rounded down.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }
}

impl From<DurationUs> for std::time::Duration {
    fn from(duration: DurationUs) -> Self {
        Self::from_micros(duration.0)
    }
}

impl TimeUs {
    /// Time since `earlier`; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> DurationUs {
        DurationUs(self.0.saturating_sub(earlier.0))
    }
}

impl Add<DurationUs> for TimeUs {
    type Output = Self;

    fn add(self, duration: DurationUs) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<DurationUs> for TimeUs {
    type Output = Self;

    fn sub(self, duration: DurationUs) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

/// Current time on both clocks, for decisions that also need wall-clock time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time of the process.
    pub mono_us: TimeUs,
    /// Wall-clock time.
    pub unix_ms: UnixMs,
}
