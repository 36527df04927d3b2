//! Failover between the pools of a priority list.
//!
//! Each pool has a [`PoolFailover`], a state machine over the share of its nodes that are healthy. The pool
//! loses its traffic at once when that share falls below one bound. It gets the traffic back, key by key over
//! a ramp, once the share has been above a higher bound for a hold-down time, which doubles with each further
//! failover. [`choose_pool`] picks the pool of a key from the list.

use garnettally_model::Micros;

/// When traffic leaves a pool, and how it returns.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverRules {
    /// Traffic leaves the pool when its healthy share (0 to 1) falls below this.
    pub leave_below: f64,
    /// Traffic may return while the pool's healthy share (0 to 1) is at least this.
    pub return_above: f64,
    /// For how long the healthy share must have stayed at `return_above` or more, after the first failover.
    pub hold_down: Micros,
    /// The longest hold-down time that repeated failovers may lead to.
    pub max_hold_down: Micros,
    /// The time over which the keys of the pool return to it.
    pub return_ramp: Micros,
}

impl Default for FailoverRules {
    fn default() -> Self {
        FailoverRules {
            leave_below: 0.5,
            return_above: 0.7,
            hold_down: Micros(10_000_000),
            max_hold_down: Micros(300_000_000),
            return_ramp: Micros(30_000_000),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The pool has had all its traffic since this time.
    Active { since: Micros },
    /// Traffic has left the pool; `healthy_since` is when its healthy share last came up to `return_above`,
    /// if it still is there.
    FailedOver { healthy_since: Option<Micros> },
    /// The traffic has been returning, key by key, since this time.
    Returning { since: Micros },
}

/// The part of its traffic that one pool gets, and the state that decides on it.
#[derive(Clone, Debug)]
pub struct PoolFailover {
    rules: FailoverRules,
    state: State,
    /// Number of failovers that still lengthen the hold-down time.
    failovers: u32,
    healthy_share: f64,
}

/// A change of state that an update caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Traffic has left the pool.
    Left,
    /// The hold-down time has ended and traffic begins to return.
    Returning,
    /// The pool gets all its traffic again.
    Restored,
}

impl PoolFailover {
    /// A new pool gets all its traffic until an update shows too few healthy nodes.
    pub fn new(rules: FailoverRules, now: Micros) -> PoolFailover {
        PoolFailover { rules, state: State::Active { since: now }, failovers: 0, healthy_share: 1.0 }
    }

    /// Replaces the rules; the state of the pool is kept.
    pub fn set_rules(&mut self, rules: FailoverRules, now: Micros) {
        self.rules = rules;
        self.update(now, self.healthy_share);
    }

    /// Records the current healthy share, and returns the change of state that follows from it, if any.
    pub fn update(&mut self, now: Micros, share: f64) -> Option<Transition> {
        self.healthy_share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
        let before = self.state;
        match self.state {
            State::Active { .. } | State::Returning { .. } if self.healthy_share < self.rules.leave_below => {
                self.failovers = self.failovers.saturating_add(1);
                self.state = State::FailedOver { healthy_since: None };
            }
            State::Active { since } => {
                // A pool that has been active for ten hold-down times starts over.
                if now - since >= Micros(self.rules.hold_down.0.saturating_mul(10)) {
                    self.failovers = 0;
                }
            }
            State::FailedOver { .. } if self.healthy_share < self.rules.return_above => {
                self.state = State::FailedOver { healthy_since: None };
            }
            State::FailedOver { healthy_since } => {
                let since = healthy_since.unwrap_or(now);
                self.state = State::FailedOver { healthy_since: Some(since) };
                if now - since >= self.hold_down() {
                    self.state = State::Returning { since: now };
                }
            }
            State::Returning { since } => {
                if now - since >= self.rules.return_ramp {
                    self.state = State::Active { since: now };
                }
            }
        }
        match (before, self.state) {
            (State::FailedOver { .. }, State::FailedOver { .. }) => None,
            (_, State::FailedOver { .. }) => Some(Transition::Left),
            (State::FailedOver { .. }, State::Returning { .. }) => Some(Transition::Returning),
            (State::Returning { .. }, State::Active { .. }) => Some(Transition::Restored),
            _ => None,
        }
    }

    fn hold_down(&self) -> Micros {
        let doublings = self.failovers.saturating_sub(1).min(32);
        Micros(self.rules.hold_down.0.saturating_mul(1 << doublings))
            .min(self.rules.max_hold_down.max(self.rules.hold_down))
    }

    /// The part of its traffic that the pool gets now, from 0 to 1.
    pub fn traffic_share(&self, now: Micros) -> f64 {
        match self.state {
            State::Active { .. } => 1.0,
            State::FailedOver { .. } => 0.0,
            State::Returning { since } if self.rules.return_ramp.0 > 0 => {
                ((now - since).0 as f64 / self.rules.return_ramp.0 as f64).clamp(0.0, 1.0)
            }
            State::Returning { .. } => 1.0,
        }
    }

    /// The healthy share as it was last recorded, from 0 to 1.
    pub fn healthy_share(&self) -> f64 {
        self.healthy_share
    }
}

/// The index in a priority list of the pool that a key goes to: the first pool whose part of the traffic
/// includes the key, otherwise the one with the largest healthy share, and the earlier of equals. `None` only
/// for an empty list.
pub fn choose_pool<'f>(list: impl Iterator<Item = &'f PoolFailover>, now: Micros, key: u64) -> Option<usize> {
    let position = crate::unit_interval(crate::stable_hash(1, &key.to_le_bytes()));
    let mut best: Option<(f64, usize)> = None;
    for (index, pool) in list.enumerate() {
        if position < pool.traffic_share(now) {
            return Some(index);
        }
        if best.is_none_or(|(share, _)| pool.healthy_share > share) {
            best = Some((pool.healthy_share, index));
        }
    }
    best.map(|(_, index)| index)
}

#[cfg(test)]
#[path = "failover_tests.rs"]
mod tests;
