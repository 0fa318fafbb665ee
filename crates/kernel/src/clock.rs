//! Clock of a process. Decision code does not read it; it gets the current time as an argument.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cuminlead_types::{Now, TimeUs, UnixMs};

/// Monotonic and wall clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock; its monotonic time counts from this call.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Current time on both clocks.
    pub fn now(&self) -> Now {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Now {
            mono_us: self.monotonic(),
            unix_ms: UnixMs(unix_ms),
        }
    }

    /// Current monotonic time.
    pub fn monotonic(&self) -> TimeUs {
        TimeUs(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Converts a monotonic time of this clock to an [`Instant`].
    pub fn instant(&self, time: TimeUs) -> Instant {
        self.start + std::time::Duration::from_micros(time.0)
    }
}
