//! Failover between the pools of a priority list.
//!
//! Each pool has a [`Fitness`], a state machine over the share of its nodes that are healthy: it is left at once
//! when that share falls below one bound, and returned to when the share has been above a higher bound for a
//! time that doubles with each fall, key by key over a further time. [`choose`] walks the list with it.

use garnettally_model::Micros;

/// When a pool is left, and how it is returned to.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// It is left when its healthy share falls below this.
    pub leave_below: f64,
    /// It may be returned to while its healthy share is at least this.
    pub return_above: f64,
    /// For how long it must have been so, after its first fall.
    pub hold: Micros,
    /// The most that repeated falls may lengthen that to.
    pub hold_most: Micros,
    /// Over how long its keys come back.
    pub return_over: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            leave_below: 0.5,
            return_above: 0.7,
            hold: Micros(10_000_000),
            hold_most: Micros(300_000_000),
            return_over: Micros(30_000_000),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Fit {
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
pub struct Fitness {
    rules: Rules,
    state: State,
    /// Falls that are not forgiven yet.
    falls: u32,
    share: f64,
}

/// What an update changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The pool is left.
    Left,
    /// It is being returned to.
    Returning,
    /// It has all its traffic again.
    Fit,
}

impl Fitness {
    /// A pool is fit until it is seen not to be.
    pub fn new(rules: Rules, now: Micros) -> Fitness {
        Fitness { rules, state: State::Fit { since: now }, falls: 0, share: 1.0 }
    }

    /// Goes on by other rules; where the pool stands, it stays.
    pub fn change(&mut self, rules: Rules, now: Micros) {
        self.rules = rules;
        self.update(now, self.share);
    }

    /// Takes in the healthy share of the moment.
    pub fn update(&mut self, now: Micros, share: f64) -> Option<Change> {
        self.share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
        let before = self.state;
        match self.state {
            State::Fit { .. } | State::Returning { .. } if self.share < self.rules.leave_below => {
                self.falls = self.falls.saturating_add(1);
                self.state = State::Left { well_since: None };
            }
            State::Fit { since } => {
                // Who has been fit for ten holds starts over.
                if now - since >= Micros(self.rules.hold.0.saturating_mul(10)) {
                    self.falls = 0;
                }
            }
            State::Left { .. } if self.share < self.rules.return_above => {
                self.state = State::Left { well_since: None };
            }
            State::Left { well_since } => {
                let since = well_since.unwrap_or(now);
                self.state = State::Left { well_since: Some(since) };
                if now - since >= self.hold() {
                    self.state = State::Returning { since: now };
                }
            }
            State::Returning { since } => {
                if now - since >= self.rules.return_over {
                    self.state = State::Fit { since: now };
                }
            }
        }
        match (before, self.state) {
            (State::Left { .. }, State::Left { .. }) => None,
            (_, State::Left { .. }) => Some(Change::Left),
            (State::Left { .. }, State::Returning { .. }) => Some(Change::Returning),
            (State::Returning { .. }, State::Fit { .. }) => Some(Change::Fit),
            _ => None,
        }
    }

    fn hold(&self) -> Micros {
        let doublings = self.falls.saturating_sub(1).min(32);
        Micros(self.rules.hold.0.saturating_mul(1 << doublings))
            .min(self.rules.hold_most.max(self.rules.hold))
    }

    /// The part of its traffic that it gets now, from 0 to 1.
    pub fn part(&self, now: Micros) -> f64 {
        match self.state {
            State::Fit { .. } => 1.0,
            State::Left { .. } => 0.0,
            State::Returning { since } if self.rules.return_over.0 > 0 => {
                ((now - since).0 as f64 / self.rules.return_over.0 as f64).clamp(0.0, 1.0)
            }
            State::Returning { .. } => 1.0,
        }
    }

    /// The healthy share as it was last told.
    pub fn share(&self) -> f64 {
        self.share
    }
}

/// The place in a priority list that a key goes to: the first pool whose part holds the key, else the one with
/// the most healthy nodes in share, the earlier of equals. `None` only for an empty list.
pub fn choose<'f>(list: impl Iterator<Item = &'f Fitness>, now: Micros, key: u64) -> Option<usize> {
    let at = crate::unit(crate::stable_hash(1, &key.to_le_bytes()));
    let mut best: Option<(f64, usize)> = None;
    for (i, f) in list.enumerate() {
        if at < f.part(now) {
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
