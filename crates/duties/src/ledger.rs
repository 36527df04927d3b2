//! The owners of all duties. Every voter applies the decided log entries in the same order and so has the
//! same ledger.

use omnipaxos::storage::{Entry as Logged, NoSnapshot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identifies one run of a member's process: a member has a new life after each start. 0 stands for no
/// member.
pub type Life = u64;
/// The number of an assignment, which is the number of its log entry: epochs only grow and are never reused.
pub type Epoch = u64;
/// The maximum length of a duty's name, in bytes.
pub const MAX_DUTY_NAME_BYTES: usize = 64;
/// The maximum number of duties in a fleet.
pub const MAX_DUTIES: usize = 4096;
/// The number of lives without duties whose last change is remembered.
const MAX_IDLE_LIVES: usize = 4096;

/// An entry of the log on which the voters agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Assigns a duty to a life, provided that the duty is still in the expected epoch. Life 0 stands for no
    /// owner; epoch 0 for a new duty.
    Assign {
        /// The name of the duty to assign.
        duty: String,
        /// The epoch of the assignment that this entry replaces.
        expected_epoch: Epoch,
        /// The life of the new owner.
        to: Life,
    },
    /// Removes a duty from the fleet, provided that the duty is still in the expected epoch.
    Remove {
        /// The name of the duty to remove.
        duty: String,
        /// The epoch of the assignment that this entry ends.
        expected_epoch: Epoch,
    },
}

impl Logged for Entry {
    /// Snapshots of the library are not used: the log is compacted by other means, for the reason given in
    /// `log.rs`.
    type Snapshot = NoSnapshot;
}

/// The present assignment of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The life of the owner; 0 if the duty has no owner.
    pub owner: Life,
    /// The epoch of this assignment.
    pub epoch: Epoch,
}

/// The change of owner that a log entry has caused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The name of the duty.
    pub duty: String,
    /// The life of the owner before the change; 0 if there was none.
    pub from: Life,
    /// The life of the owner after the change; 0 if there is none.
    pub to: Life,
    /// The number of the log entry, which is the epoch of the new assignment.
    pub epoch: Epoch,
}

/// The assignments that result from all decided log entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The number of log entries applied so far.
    decided_entries: u64,
    duties: BTreeMap<String, Assignment>,
    /// For each remembered life, the number of the entry that last changed the duties it owns.
    last_changes: BTreeMap<Life, u64>,
    /// An upper bound of the same number for the lives that are no longer remembered one by one.
    last_change_of_forgotten: u64,
}

impl Ledger {
    /// Applies the next log entry. Returns `None` if the entry changes nothing because its expected epoch is
    /// outdated or it is invalid; the entry's number is used up in any case.
    pub fn apply(&mut self, entry: &Entry) -> Option<Change> {
        self.decided_entries += 1;
        let epoch = self.decided_entries;
        let (duty, expected_epoch, to) = match entry {
            Entry::Assign { duty, expected_epoch, to } => (duty, *expected_epoch, Some(*to)),
            Entry::Remove { duty, expected_epoch } => (duty, *expected_epoch, None),
        };
        let current = self.duties.get(duty).copied();
        if current.map_or(0, |h| h.epoch) != expected_epoch {
            return None;
        }
        let room = current.is_some() || self.duties.len() < MAX_DUTIES;
        if duty.is_empty() || duty.len() > MAX_DUTY_NAME_BYTES || !room || (current.is_none() && to.is_none())
        {
            return None;
        }
        let from = current.map_or(0, |h| h.owner);
        match to {
            Some(owner) => self.duties.insert(duty.clone(), Assignment { owner, epoch }),
            None => self.duties.remove(duty),
        };
        for life in [from, to.unwrap_or(0)].into_iter().filter(|l| *l != 0) {
            self.last_changes.insert(life, epoch);
        }
        self.forget_idle_lives();
        Some(Change { duty: duty.clone(), from, to: to.unwrap_or(0), epoch })
    }

    /// Limits the number of remembered lives that own nothing. The latest are kept, since such a life may
    /// still have to learn that it has lost its duties.
    fn forget_idle_lives(&mut self) {
        if self.last_changes.len() <= 2 * MAX_IDLE_LIVES {
            return;
        }
        let owners: std::collections::BTreeSet<Life> = self.duties.values().map(|d| d.owner).collect();
        let mut idle: Vec<(u64, Life)> =
            self.last_changes.iter().filter(|(l, _)| !owners.contains(l)).map(|(&l, &at)| (at, l)).collect();
        idle.sort_unstable();
        for (at, life) in idle.into_iter().rev().skip(MAX_IDLE_LIVES) {
            self.last_changes.remove(&life);
            self.last_change_of_forgotten = self.last_change_of_forgotten.max(at);
        }
    }

    /// Returns the number of log entries applied so far.
    pub fn decided_entries(&self) -> u64 {
        self.decided_entries
    }

    /// Returns all duties with their present assignments.
    pub fn duties(&self) -> impl Iterator<Item = (&str, Assignment)> {
        self.duties.iter().map(|(name, d)| (name.as_str(), *d))
    }

    /// Returns the present assignment of a duty, or `None` if there is no duty of this name.
    pub fn duty(&self, name: &str) -> Option<Assignment> {
        self.duties.get(name).copied()
    }

    /// Returns the number of the last entry that can have changed the duties owned by this life: exact for
    /// remembered lives, an upper bound for others.
    pub fn last_change(&self, life: Life) -> u64 {
        self.last_changes.get(&life).copied().unwrap_or(self.last_change_of_forgotten)
    }

    /// Returns the duties that a life owns, with their epochs.
    pub fn owned_by(&self, life: Life) -> Vec<(String, Epoch)> {
        self.duties.iter().filter(|(_, d)| d.owner == life).map(|(n, d)| (n.clone(), d.epoch)).collect()
    }
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
