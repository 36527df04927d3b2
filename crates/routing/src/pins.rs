//! Which pool a keyed request's first attempt went to, for as long as its key's window lasts.
//!
//! Only the nodes of one cell of one pool drop a repeat. Where weights change, a pool is left or a client asks
//! again, the key's next request must go to that pool all the same, and nowhere once it is gone.

use garnettally_model::Micros;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The keys whose windows are open. `P` names a pool.
pub struct Pins<P> {
    by_key: FxHashMap<u64, Pin<P>>,
    ends: BinaryHeap<Reverse<(Micros, u64)>>,
    most: usize,
    next: u64,
}

struct Pin<P> {
    pool: P,
    until: Micros,
    /// Attempts out, and those that may have run: while there are any, the pin holds.
    attempts: u32,
    /// Told apart from a later pin of the same key.
    number: u64,
}

/// No pin is free: a key that can't be remembered must not be sent where a repeat could go elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all pins of keyed requests are in use")]
pub struct PinsFull;

impl<P: Copy + PartialEq> Pins<P> {
    /// Room for so many keys.
    pub fn new(most: usize) -> Pins<P> {
        Pins { by_key: FxHashMap::default(), ends: BinaryHeap::new(), most, next: 0 }
    }

    /// The number of keys held.
    pub fn count(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no new key can be taken.
    pub fn is_full(&mut self, now: Micros) -> bool {
        self.expire(now);
        self.by_key.len() >= self.most
    }

    /// Changes the room; keys that are held stay.
    pub fn set_capacity(&mut self, most: usize) {
        self.most = most;
    }

    /// The pool that a key is bound to, and until when.
    pub fn get(&self, now: Micros, key: u64) -> Option<(P, Micros)> {
        self.by_key.get(&key).filter(|p| p.until > now).map(|p| (p.pool, p.until))
    }

    /// Notes an attempt that is about to be sent. The window is that of the first attempt that may have run: a
    /// later one does not lengthen it. The number names the pin to [`Pins::attempt_never_ran`].
    pub fn record_attempt(&mut self, now: Micros, key: u64, pool: P, until: Micros) -> Result<u64, PinsFull> {
        self.expire(now);
        if let Some(pin) = self.by_key.get_mut(&key) {
            pin.attempts = pin.attempts.saturating_add(1);
            return Ok(pin.number);
        }
        if self.by_key.len() >= self.most {
            return Err(PinsFull);
        }
        self.next += 1;
        self.by_key.insert(key, Pin { pool, until, attempts: 1, number: self.next });
        self.ends.push(Reverse((until, key)));
        Ok(self.next)
    }

    /// A pool has given way to one with the same nodes: its keys are bound to that one.
    pub fn rebind(&mut self, from: P, to: P) {
        self.by_key.values_mut().filter(|p| p.pool == from).for_each(|p| p.pool = to);
    }

    /// An attempt that was noted under this number has ended, and never ran. One that outlived its window must not
    /// give up the pin of a later request.
    pub fn attempt_never_ran(&mut self, key: u64, number: u64) {
        if let Some(pin) = self.by_key.get_mut(&key).filter(|p| p.number == number) {
            pin.attempts = pin.attempts.saturating_sub(1);
            if pin.attempts == 0 {
                self.by_key.remove(&key);
            }
        }
        // What was given up early leaves its end behind; many of those are swept at once.
        if self.ends.len() > 2 * self.by_key.len() + 64 {
            let by_key = &self.by_key;
            self.ends.retain(|Reverse((until, key))| by_key.get(key).is_some_and(|p| p.until == *until));
        }
    }

    /// Lets go of the keys whose windows have ended.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&Reverse((until, key))) = self.ends.peek().filter(|e| e.0 .0 <= now) {
            self.ends.pop();
            if self.by_key.get(&key).is_some_and(|p| p.until == until) {
                self.by_key.remove(&key);
            }
        }
    }
}

#[cfg(test)]
#[path = "pins_tests.rs"]
mod tests;
