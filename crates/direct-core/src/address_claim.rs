//! Which of the servers that are published at one address has it.
//!
//! Only one server listens at an address. Records of servers that have ended stay published for
//! seconds, and each request to one of them is rejected by the server that now has its address. So a
//! server gets no requests while one that started later is published at its address. But a record
//! proves nothing about the server of another one: it may come from another writer. The doubt ends
//! when records of ended servers have expired, when the later record is removed, or when the server
//! at the address rejects a request for the later one. Only a response of the later server makes it
//! final.
//!
//! A server that rejects a request because it is another incarnation speaks against the one that
//! the request names. An engine also does so while its stage changes, so this doubt ends as well,
//! after a time that doubles with each such rejection.
//!
//! Alternatives: dropping the earlier server loses a sound one for good, because a record that does
//! not change is not read again. Sending to both costs a rejection for each process and ended server,
//! which exceeded the retry budget after a loss of power. Asking a server for its id before the first
//! request costs each process a health check of each server.

use cuminlead_types::{DurationUs, TimeUs};

/// Time for which an unproved later record keeps a server from getting requests. Records expire
/// after three heartbeats of 1.2 s, and their removal is read up to half a second later.
const EXPIRY_PERIOD: DurationUs = DurationUs::from_ms(5_000);
/// Time without requests after the first rejection as another incarnation. Longer than the record of
/// a server that has ended remains published.
const REJECTED_PERIOD_INITIAL: DurationUs = DurationUs::from_ms(5_000);
/// Longest time without requests after such a rejection. Each process then sends one request a
/// minute for a record that stays published without its server.
const REJECTED_PERIOD_MAX: DurationUs = DurationUs::from_ms(60_000);

/// Server that is published at the address of one that started earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Successor {
    /// Published since the given time.
    Published(TimeUs),
    /// Has responded as its incarnation.
    Responded,
}

/// What speaks for and against a server at its published address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AddressClaim {
    successor: Option<Successor>,
    has_responded: bool,
    rejected_until: TimeUs,
    /// Length of the last period without requests; zero if the server has not been rejected.
    rejected_period: DurationUs,
}

impl AddressClaim {
    /// Whether another server is believed to have the address.
    pub(crate) fn is_doubted(&self, now: TimeUs) -> bool {
        let is_succeeded = match self.successor {
            Some(Successor::Published(since)) => now.since(since) < EXPIRY_PERIOD,
            Some(Successor::Responded) => true,
            None => false,
        };
        is_succeeded || now < self.rejected_until
    }

    /// Whether the claim counts against servers that started earlier.
    fn is_upheld(&self) -> bool {
        self.rejected_period == DurationUs::ZERO
    }

    /// Records a response of the server itself; returns whether it is the first one.
    pub(crate) fn record_response(&mut self) -> bool {
        self.rejected_period = DurationUs::ZERO;
        self.rejected_until = TimeUs::ZERO;
        !std::mem::replace(&mut self.has_responded, true)
    }

    /// Records that the server at the address is another incarnation.
    pub(crate) fn record_rejection(&mut self, now: TimeUs) {
        if now < self.rejected_until {
            // Concurrent requests are rejected together.
            return;
        }
        let doubled = self.rejected_period.saturating_add(self.rejected_period);
        self.rejected_period = doubled.clamp(REJECTED_PERIOD_INITIAL, REJECTED_PERIOD_MAX);
        self.rejected_until = now + self.rejected_period;
    }

    /// Forgets rejections, because the server has published another record since.
    pub(crate) fn forget_rejections(&mut self) {
        self.rejected_period = DurationUs::ZERO;
        self.rejected_until = TimeUs::ZERO;
    }

    /// Records the servers at the address that started later and whose records are published;
    /// returns whether the server is in doubt since now.
    pub(crate) fn weigh(&mut self, now: TimeUs, later: &[Self]) -> bool {
        let was_succeeded = self.successor.is_some();
        let mut upheld = later.iter().filter(|claim| claim.is_upheld()).peekable();
        self.successor = if upheld.peek().is_none() {
            None
        } else if upheld.any(|claim| claim.has_responded) {
            Some(Successor::Responded)
        } else {
            Some(self.successor.unwrap_or(Successor::Published(now)))
        };
        self.successor.is_some() && !was_succeeded
    }
}
