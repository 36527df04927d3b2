//! The order of things in virtual time.

use garnettally_model::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, o: &Self) -> bool {
        self.number == o.number
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl<E> Ord for Entry<E> {
    /// The earliest is the greatest; at one instant, the one that was asked for first.
    fn cmp(&self, o: &Self) -> Ordering {
        (o.at, o.number).cmp(&(self.at, self.number))
    }
}

/// Events that are yet to come. At one instant they come in the order in which they were asked for.
pub struct Events<E> {
    heap: BinaryHeap<Entry<E>>,
    now: Micros,
    number: u64,
}

impl<E> Default for Events<E> {
    fn default() -> Self {
        Events { heap: BinaryHeap::new(), now: Micros(0), number: 0 }
    }
}

impl<E> Events<E> {
    /// The time of the last event that came.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Asks for an event; what lies in the past comes now.
    pub fn at(&mut self, at: Micros, event: E) {
        self.number += 1;
        self.heap.push(Entry { at: at.max(self.now), number: self.number, event });
    }

    /// Asks for an event after this long.
    pub fn after(&mut self, wait: Micros, event: E) {
        self.at(self.now + wait, event);
    }

    /// The next event, if one comes before `end`.
    pub fn next(&mut self, end: Micros) -> Option<E> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }

    /// How many are yet to come.
    pub fn waiting(&self) -> usize {
        self.heap.len()
    }

    /// How many were asked for.
    pub fn asked(&self) -> u64 {
        self.number
    }
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
