//! The pool that a keyed request's first attempt was sent to, for as long as the window of its key lasts.
//!
//! Only the nodes of the same cell of the same pool drop a repeat. If weights change, a pool fails over or a
//! client asks again, the key's next request must still go to that pool, and to no pool at all once that pool
//! has been removed.

use crate::stable_hash;
use garnettally_model::Micros;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::Hash;

/// Identifies a key of a class in all versions of the configuration. A class is known by its name: its number
/// is its place in the table of one version, and another class may have that place in the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PinKey(u64);

impl PinKey {
    /// The identifier of this key of the class with this name. With a secret `seed`, outsiders can't construct
    /// keys that collide.
    pub fn new(seed: u64, class_name: &str, key: &str) -> PinKey {
        PinKey(stable_hash(stable_hash(seed, class_name.as_bytes()), key.as_bytes()))
    }
}

/// The pool of each key whose window has not ended. `P` identifies a pool.
pub struct Pins<P> {
    by_key: FxHashMap<PinKey, Pin<P>>,
    expiries: BinaryHeap<Reverse<(Micros, PinKey)>>,
    capacity: usize,
    last_number: u64,
    /// The pool that has replaced a pool and has the same nodes, by the replaced pool.
    successors: FxHashMap<P, P>,
}

struct Pin<P> {
    pool: P,
    until: Micros,
    /// Number of attempts that are in flight or may have run: the key stays pinned while there are any.
    attempts: u32,
    /// Distinguishes this pin from a later one of the same key.
    number: u64,
}

/// Why an attempt can't be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PinError {
    /// All pins are in use. The request must not be sent where a repeat could go to another pool.
    #[error("all pins of keyed requests are in use")]
    Full,
    /// Another request with the key has, or may have, run in another pool. The request must not be sent.
    #[error("the key is pinned to another pool")]
    OtherPool,
}

impl<P: Copy + Eq + Hash> Pins<P> {
    /// Creates a store for up to `capacity` keys.
    pub fn new(capacity: usize) -> Pins<P> {
        Pins {
            by_key: FxHashMap::default(),
            expiries: BinaryHeap::new(),
            capacity,
            last_number: 0,
            successors: FxHashMap::default(),
        }
    }

    /// The number of keys that are stored.
    pub fn count(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no new key can be stored.
    pub fn is_full(&mut self, now: Micros) -> bool {
        self.expire(now);
        self.by_key.len() >= self.capacity
    }

    /// Changes the capacity; stored keys stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// The pool that a key is pinned to, and the end of its window.
    pub fn get(&self, now: Micros, key: PinKey) -> Option<(P, Micros)> {
        self.by_key.get(&key).filter(|p| p.until > now).map(|p| (p.pool, p.until))
    }

    /// Records an attempt that is about to be sent. The window is that of the first attempt that may have
    /// run: later attempts do not lengthen it. Returns the number of the pin, to be passed to
    /// [`Pins::attempt_never_ran`].
    pub fn record_attempt(
        &mut self,
        now: Micros,
        key: PinKey,
        pool: P,
        until: Micros,
    ) -> Result<u64, PinError> {
        self.expire(now);
        let pool = self.current(pool);
        if let Some(pin) = self.by_key.get_mut(&key) {
            if pin.pool != pool {
                return Err(PinError::OtherPool);
            }
            pin.attempts = pin.attempts.saturating_add(1);
            return Ok(pin.number);
        }
        if self.by_key.len() >= self.capacity {
            return Err(PinError::Full);
        }
        self.last_number += 1;
        self.by_key.insert(key, Pin { pool, until, attempts: 1, number: self.last_number });
        self.expiries.push(Reverse((until, key)));
        Ok(self.last_number)
    }

    /// Pins the keys of a pool to another pool, which replaces it and has the same nodes.
    pub fn rebind(&mut self, from: P, to: P) {
        self.by_key.values_mut().filter(|p| p.pool == from).for_each(|p| p.pool = to);
        self.successors.insert(from, to);
    }

    /// Forgets a pool that gets no attempt any more.
    pub fn forget_pool(&mut self, pool: P) {
        self.successors.remove(&pool);
    }

    /// The pool itself, or the last of those that have replaced it one after the other.
    fn current(&self, mut pool: P) -> P {
        while let Some(&successor) = self.successors.get(&pool) {
            pool = successor;
        }
        pool
    }

    /// Records that an attempt with this pin number has ended without having run. An attempt that outlived
    /// its window must not remove the pin of a later request.
    pub fn attempt_never_ran(&mut self, key: PinKey, number: u64) {
        if let Some(pin) = self.by_key.get_mut(&key).filter(|p| p.number == number) {
            pin.attempts = pin.attempts.saturating_sub(1);
            if pin.attempts == 0 {
                self.by_key.remove(&key);
            }
        }
        // A pin that was removed early leaves its entry in the heap; the entries are removed once there are
        // many.
        if self.expiries.len() > 2 * self.by_key.len() + 64 {
            let by_key = &self.by_key;
            self.expiries.retain(|Reverse((until, key))| by_key.get(key).is_some_and(|p| p.until == *until));
        }
    }

    /// Removes the keys whose windows have ended.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&Reverse((until, key))) = self.expiries.peek().filter(|e| e.0 .0 <= now) {
            self.expiries.pop();
            if self.by_key.get(&key).is_some_and(|p| p.until == until) {
                self.by_key.remove(&key);
            }
        }
    }
}

#[cfg(test)]
#[path = "pins_tests.rs"]
mod tests;
