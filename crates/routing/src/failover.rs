//! Failover between the pools of a priority list.
//!
//! Each pool has a [`PoolFailover`], a state machine over the share of its nodes that are healthy: it is left at once
//! when that share falls below one bound, and returned to when the share has been above a higher bound for a
//! time that doubles with each fall, key by key over a further time. [`choose_pool`] walks the list with it.

use garnettally_model::Micros;

/// When a pool is left, and how it is returned to.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverRules {
    /// It is left when its healthy share falls below this.
    pub leave_below: f64,
    /// It may be returned to while its healthy share is at least this.
    pub return_above: f64,
    /// For how long it must have been so, after its first fall.
    pub hold_down: Micros,
    /// The most that repeated falls may lengthen that to.
    pub max_hold_down: Micros,
    /// Over how long its keys come back.
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
    Active {
        since: Micros,
    },
    /// It was left; since when it has been well again.
    Left {
        well_since: Option<Micros>,
    },
    Returning {
        since: Micros,
    },
}

/// How much of its traffic a pool gets.
#[derive(Clone, Debug)]
pub struct PoolFailover {
    rules: FailoverRules,
    state: State,
    /// Falls that are not forgiven yet.
    falls: u32,
    share: f64,
}

/// What an update changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The pool is left.
    Left,
    /// It is being returned to.
    Returning,
    /// It has all its traffic again.
    Restored,
}

impl PoolFailover {
    /// A pool is fit until it is seen not to be.
    pub fn new(rules: FailoverRules, now: Micros) -> PoolFailover {
        PoolFailover { rules, state: State::Active { since: now }, falls: 0, share: 1.0 }
    }

    /// Goes on by other rules; where the pool stands, it stays.
    pub fn set_rules(&mut self, rules: FailoverRules, now: Micros) {
        self.rules = rules;
        self.update(now, self.share);
    }

    /// Takes in the healthy share of the moment.
    pub fn update(&mut self, now: Micros, share: f64) -> Option<Transition> {
        self.share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
        let before = self.state;
        match self.state {
            State::Active { .. } | State::Returning { .. } if self.share < self.rules.leave_below => {
                self.falls = self.falls.saturating_add(1);
                self.state = State::Left { well_since: None };
            }
            State::Active { since } => {
                // Who has been fit for ten holds starts over.
                if now - since >= Micros(self.rules.hold_down.0.saturating_mul(10)) {
                    self.falls = 0;
                }
            }
            State::Left { .. } if self.share < self.rules.return_above => {
                self.state = State::Left { well_since: None };
            }
            State::Left { well_since } => {
                let since = well_since.unwrap_or(now);
                self.state = State::Left { well_since: Some(since) };
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
            (State::Left { .. }, State::Left { .. }) => None,
            (_, State::Left { .. }) => Some(Transition::Left),
            (State::Left { .. }, State::Returning { .. }) => Some(Transition::Returning),
            (State::Returning { .. }, State::Active { .. }) => Some(Transition::Restored),
            _ => None,
        }
    }

    fn hold_down(&self) -> Micros {
        let doublings = self.falls.saturating_sub(1).min(32);
        Micros(self.rules.hold_down.0.saturating_mul(1 << doublings))
            .min(self.rules.max_hold_down.max(self.rules.hold_down))
    }

    /// The part of its traffic that it gets now, from 0 to 1.
    pub fn traffic_share(&self, now: Micros) -> f64 {
        match self.state {
            State::Active { .. } => 1.0,
            State::Left { .. } => 0.0,
            State::Returning { since } if self.rules.return_ramp.0 > 0 => {
                ((now - since).0 as f64 / self.rules.return_ramp.0 as f64).clamp(0.0, 1.0)
            }
            State::Returning { .. } => 1.0,
        }
    }

    /// The healthy share as it was last told.
    pub fn healthy_share(&self) -> f64 {
        self.share
    }
}

/// The place in a priority list that a key goes to: the first pool whose part holds the key, else the one with
/// the most healthy nodes in share, the earlier of equals. `None` only for an empty list.
pub fn choose_pool<'f>(list: impl Iterator<Item = &'f PoolFailover>, now: Micros, key: u64) -> Option<usize> {
    let at = crate::unit_interval(crate::stable_hash(1, &key.to_le_bytes()));
    let mut best: Option<(f64, usize)> = None;
    for (i, f) in list.enumerate() {
        if at < f.traffic_share(now) {
            return Some(i);
        }
        if best.is_none_or(|(share, _)| f.share > share) {
            best = Some((f.share, i));
        }
    }
    best.map(|(_, i)| i)
}

#[cfg(test)]
#[path = "failover_tests.rs"]
mod tests;
