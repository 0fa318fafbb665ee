//! Event queue, ordered by time and, at equal times, by insertion.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cuminlead_types::TimeUs;

use super::event::Event;

/// Pending events.
#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    pushed_count: u64,
}

#[derive(Debug)]
struct Entry {
    at: TimeUs,
    number: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

impl Entry {
    fn key(&self) -> [u64; 2] {
        [self.at.get(), self.number]
    }
}

impl Queue {
    /// Adds an event that is due at a time.
    pub fn push(&mut self, at: TimeUs, event: Event) {
        let number = self.pushed_count;
        self.pushed_count += 1;
        self.heap.push(Reverse(Entry { at, number, event }));
    }

    /// Time of the next event; none when the queue is empty.
    pub fn next_at(&self) -> Option<TimeUs> {
        self.heap.peek().map(|entry| entry.0.at)
    }

    /// Removes the next event.
    pub fn pop(&mut self) -> Option<Event> {
        self.heap.pop().map(|entry| entry.0.event)
    }

    /// Number of events added so far.
    pub fn pushed_count(&self) -> u64 {
        self.pushed_count
    }
}
