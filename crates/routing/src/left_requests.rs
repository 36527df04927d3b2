//! The ids of requests that may have run, whose clients have left without an answer, and that may not be run
//! again: a client that sends such an id anew would have its request run twice.

use garnettally_model::Micros;
use std::collections::{BTreeSet, VecDeque};

/// How long an id is remembered.
const RETENTION: Micros = Micros(60_000_000);
/// How many ids are remembered at the most; the oldest are forgotten first.
const MAX_IDS: usize = 16_384;

/// The remembered ids, by a seeded hash.
#[derive(Debug, Default)]
pub struct LeftRequests {
    ids: BTreeSet<u64>,
    /// The ids and when they are forgotten, the oldest first.
    order: VecDeque<(Micros, u64)>,
}

impl LeftRequests {
    /// Remembers the hash of an id from now on.
    pub fn insert(&mut self, now: Micros, id: u64) {
        self.expire(now);
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back((Micros(now.0 + RETENTION.0), id));
        if self.order.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Whether the hash of an id is remembered.
    pub fn contains(&mut self, now: Micros, id: u64) -> bool {
        self.expire(now);
        self.ids.contains(&id)
    }

    /// Forgets the ids whose time is over.
    fn expire(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
#[path = "left_requests_tests.rs"]
mod tests;
