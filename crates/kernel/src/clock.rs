//! The clock that processes pass to decision code.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cuminlead_types::{Now, TimeUs, UnixMs};

/// Source of the present time in a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Clock whose monotonic time starts at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Present time on both clocks.
    pub fn now(&self) -> Now {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Now {
            mono_us: self.mono(),
            unix_ms: UnixMs(unix_ms),
        }
    }

    /// Present monotonic time.
    pub fn mono(&self) -> TimeUs {
        TimeUs(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Instant of the operating system for a monotonic time.
    pub fn instant(&self, time: TimeUs) -> Instant {
        self.start + std::time::Duration::from_micros(time.0)
    }
}
