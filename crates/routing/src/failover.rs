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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn s(seconds: i64) -> Micros {
        Micros(seconds * 1_000_000)
    }

    #[test]
    fn a_pool_is_left_at_once_and_returned_to_slowly() {
        let mut f = Fitness::new(Rules::default(), s(0));
        assert_eq!(f.update(s(1), 0.5), None, "the bound itself is not below it");
        assert_eq!(f.update(s(2), 0.49), Some(Change::Left));
        assert_eq!(f.part(s(2)), 0.0);
        assert_eq!(f.update(s(3), 0.69), None, "between the bounds nothing changes");
        assert_eq!(f.update(s(4), 0.9), None);
        assert_eq!(f.update(s(10), 0.6), None, "a dip starts the hold over");
        assert_eq!(f.update(s(11), 0.9), None);
        assert_eq!(f.update(s(20), 0.9), None);
        assert_eq!(f.update(s(21), 0.9), Some(Change::Returning));
        assert_eq!((f.part(s(21)), f.part(s(36)), f.part(s(51))), (0.0, 0.5, 1.0));
        assert_eq!(f.update(s(51), 0.9), Some(Change::Fit));
    }

    #[test]
    fn a_flapping_pool_is_held_off_for_longer_each_time_up_to_a_bound() {
        let mut f = Fitness::new(Rules::default(), s(0));
        let mut now = s(0);
        let mut holds = Vec::new();
        for _ in 0..8 {
            f.update(now, 0.0);
            let from = now;
            loop {
                if f.update(now, 1.0) == Some(Change::Returning) {
                    break;
                }
                now += s(1);
            }
            holds.push((now - from).0 / 1_000_000);
            now += s(1);
        }
        assert_eq!(holds, [10, 20, 40, 80, 160, 300, 300, 300]);
        // Fit for long enough, it starts over.
        for _ in 0..200 {
            now += s(1);
            f.update(now, 1.0);
        }
        f.update(now, 0.0);
        f.update(now, 1.0);
        now += s(10);
        assert_eq!(f.update(now, 1.0), Some(Change::Returning));
    }

    #[test]
    fn without_a_fit_pool_the_healthiest_is_taken() {
        let mut list = vec![Fitness::new(Rules::default(), s(0)); 3];
        for (f, share) in list.iter_mut().zip([0.1, 0.3, 0.3]) {
            f.update(s(1), share);
        }
        assert_eq!(choose(list.iter(), s(1), 5), Some(1));
        assert_eq!(choose([].iter(), s(1), 5), None);
    }

    proptest! {
        /// While a pool is returned to, a key that has come back stays, whatever the order of asking.
        #[test]
        fn keys_come_back_once_and_stay(key: u64, times in prop::collection::vec(0i64..60, 1..20)) {
            let mut list = vec![Fitness::new(Rules::default(), s(0)); 2];
            list[0].update(s(0), 0.0);
            list[0].update(s(1), 1.0);
            list[0].update(s(11), 1.0);
            let mut times = times;
            times.sort_unstable();
            let mut back = false;
            for t in times {
                list[0].update(s(11 + t), 1.0);
                let here = choose(list.iter(), s(11 + t), key) == Some(0);
                prop_assert!(here || !back);
                back = here;
            }
        }

        /// Whatever the shares do, a part is a part, and no two changes of one kind follow each other at once.
        #[test]
        fn random_shares_keep_the_machine_sound(shares in prop::collection::vec((0i64..20, 0.0..1.0f64), 1..200)) {
            let rules = Rules::default();
            let mut f = Fitness::new(rules.clone(), s(0));
            let (mut now, mut last, mut left_at) = (s(0), None, s(0));
            for (step, share) in shares {
                now += s(step);
                let change = f.update(now, share);
                prop_assert!((0.0..=1.0).contains(&f.part(now)));
                if change == Some(Change::Left) {
                    prop_assert!(share < rules.leave_below);
                    left_at = now;
                }
                if change == Some(Change::Returning) {
                    prop_assert!(now - left_at >= rules.hold && share >= rules.return_above);
                }
                if change.is_some() {
                    prop_assert_ne!(change, last);
                    last = change;
                }
            }
        }
    }
}
