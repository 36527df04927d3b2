//! Fair turns among connections (deficit round robin): readiness only marks a connection, which then gets a
//! quantum of work when its turn comes. The work of one turn of the event loop is bounded over all connections,
//! so that deadlines, upstreams and decisions never wait for all of them.

use rustc_hash::FxHashSet;
use std::collections::VecDeque;
use std::hash::Hash;

/// This many bytes of input, or one request, are one unit of work.
const BYTES_PER_UNIT: usize = 4 << 10;

/// Items that have work to do, in the order in which they get their turn; each is in the queue at most once.
#[derive(Debug)]
pub struct ReadyQueue<T> {
    order: VecDeque<T>,
    members: FxHashSet<T>,
}

impl<T> Default for ReadyQueue<T> {
    fn default() -> Self {
        ReadyQueue { order: VecDeque::new(), members: FxHashSet::default() }
    }
}

impl<T: Copy + Eq + Hash> ReadyQueue<T> {
    /// Adds an item at the end, unless the queue holds it already.
    pub fn push(&mut self, item: T) {
        if self.members.insert(item) {
            self.order.push_back(item);
        }
    }

    /// Takes the item whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let item = self.order.pop_front()?;
        self.members.remove(&item);
        Some(item)
    }

    /// How many items there are.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no item has work to do.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

/// What is left of a quantum of work, in units: a request is one, and so are each 4 KiB of input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkBudget {
    units: usize,
    /// Bytes that are not a whole unit yet.
    spare_bytes: usize,
}

impl WorkBudget {
    /// A budget of this many units.
    pub fn new(units: usize) -> WorkBudget {
        WorkBudget { units, spare_bytes: 0 }
    }

    /// The units that are left.
    pub fn left(&self) -> usize {
        self.units
    }

    /// Whether nothing is left.
    pub fn is_used_up(&self) -> bool {
        self.units == 0
    }

    /// Takes one unit, for a request or another piece of work that costs as much.
    pub fn spend_unit(&mut self) {
        self.units = self.units.saturating_sub(1);
    }

    /// Takes the units for this many bytes.
    pub fn spend_bytes(&mut self, bytes: usize) {
        let total = self.spare_bytes + bytes;
        self.spare_bytes = total % BYTES_PER_UNIT;
        self.units = self.units.saturating_sub(total / BYTES_PER_UNIT);
    }
}

#[cfg(test)]
#[path = "turns_tests.rs"]
mod tests;
