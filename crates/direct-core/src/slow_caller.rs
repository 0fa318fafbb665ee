//! Whether a caller reads so slowly that the response of its server stays unread.
//!
//! Bytes that the caller has not taken are bounded, so a slow caller stops this process from reading
//! the server's response. A server aborts a response that remains unread for a few seconds, and
//! keeps a slot occupied until then.

use cuminlead_types::{DurationUs, TimeUs};

/// Bytes that a caller must take within the limit while its server's data wait. A caller that takes
/// a few bytes at a time makes no progress: the server's data wait for as long as without them.
pub const PROGRESS_BYTES: u64 = 16 * 1024;
/// Time without data of the server after which the caller has caught up with it.
pub const CAUGHT_UP_AFTER: DurationUs = DurationUs::from_ms(20);

/// Progress of a caller that reads a response.
#[derive(Clone, Copy, Debug)]
pub struct CallerProgress {
    limit: DurationUs,
    /// Time and total of taken bytes from which the present period counts; `None` while no data of
    /// the server wait.
    behind: Option<(TimeUs, u64)>,
    taken_bytes: u64,
}

impl CallerProgress {
    /// Progress of a caller that may take no less than [`PROGRESS_BYTES`] in each `limit` while
    /// data of its server wait.
    pub fn new(limit: DurationUs) -> Self {
        Self {
            limit,
            behind: None,
            taken_bytes: 0,
        }
    }

    /// Records that data of the server wait until the caller takes bytes.
    pub fn blocked(&mut self, now: TimeUs) {
        self.behind.get_or_insert((now, self.taken_bytes));
    }

    /// Records that the caller has taken this many bytes in total.
    pub fn taken(&mut self, now: TimeUs, total_bytes: u64) {
        self.taken_bytes = total_bytes;
        if let Some((_, before)) = self.behind
            && total_bytes.saturating_sub(before) >= PROGRESS_BYTES
        {
            self.behind = Some((now, total_bytes));
        }
    }

    /// Records that the server sent nothing for a while, with all of its data passed on.
    pub fn waited_for_server(&mut self, waited: DurationUs) {
        if waited >= CAUGHT_UP_AFTER {
            self.behind = None;
        }
    }

    /// Time at which the caller is too slow without further progress; `None` while no data wait.
    pub fn deadline(&self) -> Option<TimeUs> {
        self.behind.map(|(since, _)| since + self.limit)
    }

    /// Whether the connection of the caller must be closed.
    pub fn is_too_slow(&self, now: TimeUs) -> bool {
        self.deadline().is_some_and(|deadline| now >= deadline)
    }
}
