//! A queue of events in virtual time.

use garnettally_model::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    /// The heap pops its greatest entry: the earliest one, and at one instant the one that was scheduled
    /// first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Scheduled events. Events at the same instant occur in the order in which they were scheduled.
pub struct Events<E> {
    heap: BinaryHeap<Entry<E>>,
    now: Micros,
    /// The number of events scheduled so far.
    scheduled: u64,
}

impl<E> Default for Events<E> {
    fn default() -> Self {
        Events { heap: BinaryHeap::new(), now: Micros(0), scheduled: 0 }
    }
}

impl<E> Events<E> {
    /// The current virtual time: that of the event that was taken last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules an event; a time in the past is replaced by the current time.
    pub fn schedule_at(&mut self, at: Micros, event: E) {
        self.scheduled += 1;
        self.heap.push(Entry { at: at.max(self.now), number: self.scheduled, event });
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, wait: Micros, event: E) {
        self.schedule_at(self.now + wait, event);
    }

    /// Takes the next event and advances the time to it, if it is due before `end`.
    pub fn next_before(&mut self, end: Micros) -> Option<E> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }

    /// The number of events that have not occurred yet.
    pub fn pending(&self) -> usize {
        self.heap.len()
    }

    /// The number of events scheduled so far, including those that have occurred.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
