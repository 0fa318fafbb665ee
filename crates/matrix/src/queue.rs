//! The event queue: events in order of time, and of arrival at the same time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cuminlead_types::TimeUs;

use super::event::Event;

/// Events that are still to come.
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
    /// Adds an event.
    pub fn push(&mut self, at: TimeUs, event: Event) {
        let number = self.pushed_count;
        self.pushed_count += 1;
        self.heap.push(Reverse(Entry { at, number, event }));
    }

    /// Time of the next event.
    pub fn next_at(&self) -> Option<TimeUs> {
        self.heap.peek().map(|entry| entry.0.at)
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<Event> {
        self.heap.pop().map(|entry| entry.0.event)
    }

    /// Events added so far.
    pub fn pushed_count(&self) -> u64 {
        self.pushed_count
    }
}
