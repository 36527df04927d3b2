//! Leases: what a voter has promised about whom, and what an owner may still do by it.
//!
//! A voter promises a life, for a time by the voter's clock, that it grants what this life owns to nobody else. When it
//! learns that a duty has a new owner, it remembers until when the one before may act, and holds its grant back until
//! then; or until the one before says that it knows. An owner acts on a duty while a majority of voters that know of
//! its assignment have granted it, counted from when it asked, by its own clock, and shortened by the margin for clocks
//! that run apart. Two majorities have a voter in common, so that no two owners of a duty act at a time.

use crate::ledger::{Change, Epoch, Life};
use crate::log::majority;
use garnettally_model::Micros;
use std::collections::BTreeMap;

/// By how much a clock may run fast or slow against true time, in parts of a thousand: a hundred times what a bad
/// oscillator does, and what a virtual machine that is slewed hard may show.
pub const DRIFT_PER_MILLE: i64 = 100;

/// How long an owner may act by a lease that voters hold for so long: of two clocks, the owner's may be slow and a
/// voter's fast.
pub fn shortened(lease: Micros) -> Micros {
    Micros(lease.0 * (1000 - DRIFT_PER_MILLE) / (1000 + DRIFT_PER_MILLE))
}

/// Somebody who owned a duty and may still act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Former {
    life: Life,
    until: Micros,
    /// By which entry it lost the duty.
    lost: u64,
}

/// What one voter has promised. It is not stored: a voter that starts anew keeps silent for as long as a promise holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Promises {
    lease: Micros,
    silent_until: Micros,
    /// Until when what was promised to each life holds.
    sessions: BTreeMap<Life, Micros>,
    formers: BTreeMap<String, Vec<Former>>,
}

impl Promises {
    /// Of a voter that has just started, or can't know what it has promised.
    pub fn new(now: Micros, lease: Micros) -> Promises {
        Promises { lease, silent_until: now + lease, sessions: BTreeMap::new(), formers: BTreeMap::new() }
    }

    /// Whether it may promise anything yet.
    pub fn speaks(&self, now: Micros) -> bool {
        now >= self.silent_until
    }

    /// A life asks, and says up to which entry it knows what it owns. Until when it has this voter's promise, by the
    /// voter's clock; `None`: not yet.
    pub fn renew(&mut self, now: Micros, life: Life, seen: u64) -> Option<Micros> {
        self.learn(life, seen);
        if !self.speaks(now) {
            return None;
        }
        let until = now + self.lease;
        self.sessions.insert(life, until);
        Some(until)
    }

    /// A life knows what was decided up to here, and acts on nothing that it has lost by then.
    fn learn(&mut self, life: Life, seen: u64) {
        self.formers.retain(|_, all| {
            all.retain(|f| f.life != life || f.lost > seen);
            !all.is_empty()
        });
    }

    /// An entry was decided.
    pub fn changed(&mut self, now: Micros, change: &Change) {
        let until = self.sessions.get(&change.from).copied();
        if let Some(until) =
            until.filter(|&until| until > now && change.from != 0 && change.from != change.to)
        {
            let former = Former { life: change.from, until, lost: change.at };
            self.formers.entry(change.duty.clone()).or_default().push(former);
        }
    }

    /// Whether somebody else may still act on a duty.
    pub fn is_held_back(&self, now: Micros, duty: &str, owner: Life) -> bool {
        let all = self.formers.get(duty).map_or(&[][..], Vec::as_slice);
        all.iter().any(|f| f.life != owner && f.until > now)
    }

    /// Whether a life has this voter's promise now.
    pub fn has(&self, now: Micros, life: Life) -> bool {
        self.sessions.get(&life).is_some_and(|&until| until > now)
    }

    /// Who has.
    pub fn lives(&self, now: Micros) -> impl Iterator<Item = Life> + '_ {
        self.sessions.iter().filter(move |(_, &until)| until > now).map(|(&life, _)| life)
    }

    /// A life ends in good order: it acts on nothing any more.
    pub fn ended(&mut self, life: Life) {
        self.sessions.remove(&life);
        self.formers.retain(|_, all| {
            all.retain(|f| f.life != life);
            !all.is_empty()
        });
    }

    /// Gives up what is over.
    pub fn expire(&mut self, now: Micros) {
        self.sessions.retain(|_, until| *until > now);
        self.formers.retain(|_, all| {
            all.retain(|f| f.until > now);
            !all.is_empty()
        });
    }
}

/// One voter's grant, as its owner counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    /// When it was asked for, by the owner's clock.
    asked: Micros,
    /// Up to which entry the voter knew.
    upto: u64,
    /// It holds back what was assigned after this.
    clear: Epoch,
}

/// What one life may do by the grants of voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    lease: Micros,
    voters: usize,
    grants: BTreeMap<u64, Grant>,
    /// What it owns, as of this entry.
    duties: BTreeMap<String, Epoch>,
    seen: u64,
}

impl Held {
    /// Of a life that has just begun.
    pub fn new(lease: Micros, voters: usize) -> Held {
        Held::with_time(shortened(lease), voters)
    }

    /// The same that acts for so long by its own clock, whatever the margin would say.
    pub fn with_time(lease: Micros, voters: usize) -> Held {
        Held { lease, voters, grants: BTreeMap::new(), duties: BTreeMap::new(), seen: 0 }
    }

    /// Up to which entry it knows what it owns.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// A voter has answered what it was asked at this time. `upto`: what the voter knew; `owned`, if anything has changed
    /// since what was seen; `clear`: what was assigned after this is held back; `None`: it may promise nothing yet.
    pub fn granted(
        &mut self,
        voter: u64,
        asked: Micros,
        upto: u64,
        clear: Option<Epoch>,
        owned: Option<Vec<(String, Epoch)>>,
    ) {
        if upto >= self.seen {
            if let Some(owned) = owned {
                self.duties = owned.into_iter().collect();
            }
            self.seen = upto;
        }
        let Some(clear) = clear else { return };
        let grant = Grant { asked, upto, clear };
        let held = self.grants.entry(voter).or_insert(grant);
        if held.asked <= asked {
            *held = grant;
        }
    }

    /// The epoch under which it may act on a duty now; to be read right before each effect.
    pub fn may_act(&self, now: Micros, duty: &str) -> Option<Epoch> {
        let epoch = *self.duties.get(duty)?;
        (self.until(epoch)? > now).then_some(epoch)
    }

    /// Until when a majority has granted what was assigned by this.
    fn until(&self, epoch: Epoch) -> Option<Micros> {
        let counts = self.grants.values().filter(|g| g.upto >= epoch && g.clear >= epoch);
        let mut ends: Vec<Micros> = counts.map(|g| g.asked + self.lease).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(majority(self.voters) - 1).copied()
    }

    /// What it owns, and until when it may act on it.
    pub fn duties(&self) -> impl Iterator<Item = (&str, Epoch, Option<Micros>)> {
        self.duties.iter().map(|(name, &epoch)| (name.as_str(), epoch, self.until(epoch)))
    }

    /// It ends: from now on it may do nothing.
    pub fn end(&mut self) {
        self.grants.clear();
        self.duties.clear();
        self.seen = 0;
    }
}

/// What a receiver of effects remembers: the highest epoch of each duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<String, Epoch>,
}

impl Fence {
    /// Whether an effect under this epoch is taken: not below one that was, and not of more duties than there can be.
    pub fn admits(&mut self, duty: &str, epoch: Epoch) -> bool {
        if !self.highest.contains_key(duty) && self.highest.len() >= crate::ledger::DUTIES_MOST {
            return false;
        }
        let highest = self.highest.entry(duty.to_string()).or_insert(epoch);
        let admitted = epoch >= *highest;
        *highest = epoch.max(*highest);
        admitted
    }

    /// The highest epoch of a duty that was met.
    pub fn highest(&self, duty: &str) -> Option<Epoch> {
        self.highest.get(duty).copied()
    }
}
