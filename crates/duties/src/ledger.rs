//! Who owns what, as the voters have decided it: one entry after the other, the same everywhere.

use omnipaxos::storage::{Entry as Logged, NoSnapshot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The life of a member: another one after each start.
pub type Life = u64;
/// The number of an assignment: it only grows, and no two assignments have the same.
pub type Epoch = u64;
/// The longest name of a duty, in bytes.
pub const DUTY_MOST: usize = 64;
/// Duties that a fleet has at the most.
pub const DUTIES_MOST: usize = 4096;
/// Lives whose last change is remembered, beside those that own something.
const CHANGED_MOST: usize = 4096;

/// What the voters decide.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// From now on this life owns a duty, if nothing has been decided about it since this epoch. 0 as a life: nobody;
    /// 0 as an epoch: the duty is new.
    Assign {
        /// Its name.
        duty: String,
        /// The assignment that this one replaces.
        since: Epoch,
        /// The new owner.
        to: Life,
    },
    /// The duty is given up for good, if nothing has been decided about it since this epoch.
    Forget {
        /// Its name.
        duty: String,
        /// The assignment that stood.
        since: Epoch,
    },
}

impl Logged for Entry {
    /// The log is made short by our own means (`log.rs` says why).
    type Snapshot = NoSnapshot;
}

/// A duty as it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owned {
    /// Who owns it; 0: nobody.
    pub owner: Life,
    /// Since which assignment.
    pub epoch: Epoch,
}

/// What an entry has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Of which duty.
    pub duty: String,
    /// Who owned it before; 0: nobody.
    pub from: Life,
    /// Who owns it now; 0: nobody.
    pub to: Life,
    /// By which entry: the epoch of the new assignment.
    pub at: Epoch,
}

/// All that was decided, as it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    decided: u64,
    duties: BTreeMap<String, Owned>,
    /// By which entry what a life owns has last changed.
    changed: BTreeMap<Life, u64>,
    /// The same for lives that are not remembered one by one.
    changed_others: u64,
}

impl Ledger {
    /// Takes the next entry. `None`: it came too late, or makes no sense, and changes nothing; its number is used up.
    pub fn apply(&mut self, entry: &Entry) -> Option<Change> {
        self.decided += 1;
        let at = self.decided;
        let (duty, since, to) = match entry {
            Entry::Assign { duty, since, to } => (duty, *since, Some(*to)),
            Entry::Forget { duty, since } => (duty, *since, None),
        };
        let held = self.duties.get(duty).copied();
        if held.map_or(0, |h| h.epoch) != since {
            return None;
        }
        let room = held.is_some() || self.duties.len() < DUTIES_MOST;
        if duty.is_empty() || duty.len() > DUTY_MOST || !room || (held.is_none() && to.is_none()) {
            return None;
        }
        let from = held.map_or(0, |h| h.owner);
        match to {
            Some(owner) => self.duties.insert(duty.clone(), Owned { owner, epoch: at }),
            None => self.duties.remove(duty),
        };
        for life in [from, to.unwrap_or(0)].into_iter().filter(|l| *l != 0) {
            self.changed.insert(life, at);
        }
        self.forget_lives();
        Some(Change { duty: duty.clone(), from, to: to.unwrap_or(0), at })
    }

    /// Lives that own nothing are remembered for a while: they may still have to be told so.
    fn forget_lives(&mut self) {
        if self.changed.len() <= 2 * CHANGED_MOST {
            return;
        }
        let owners: std::collections::BTreeSet<Life> = self.duties.values().map(|d| d.owner).collect();
        let mut idle: Vec<(u64, Life)> =
            self.changed.iter().filter(|(l, _)| !owners.contains(l)).map(|(&l, &at)| (at, l)).collect();
        idle.sort_unstable();
        for (at, life) in idle.into_iter().rev().skip(CHANGED_MOST) {
            self.changed.remove(&life);
            self.changed_others = self.changed_others.max(at);
        }
    }

    /// How many entries were taken.
    pub fn decided(&self) -> u64 {
        self.decided
    }

    /// All duties.
    pub fn duties(&self) -> impl Iterator<Item = (&str, Owned)> {
        self.duties.iter().map(|(name, d)| (name.as_str(), *d))
    }

    /// One of them.
    pub fn duty(&self, name: &str) -> Option<Owned> {
        self.duties.get(name).copied()
    }

    /// By which entry what this life owns has last changed, at the latest.
    pub fn changed(&self, life: Life) -> u64 {
        self.changed.get(&life).copied().unwrap_or(self.changed_others)
    }

    /// What a life owns.
    pub fn owned_by(&self, life: Life) -> Vec<(String, Epoch)> {
        self.duties.iter().filter(|(_, d)| d.owner == life).map(|(n, d)| (n.clone(), d.epoch)).collect()
    }
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
