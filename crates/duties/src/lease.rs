//! Leases: the promises that a voter has made to members, and the duties on which an owner may act because of
//! them.
//!
//! A voter promises a life, for one lease by the voter's clock, to grant the duties of this life to no other
//! life. When the voter learns that a duty has a new owner, it remembers until when the former owner may act,
//! and holds its grant to the new owner back until then, or until the former owner reports that it knows of
//! the change. An owner acts on a duty while a majority of the voters, each knowing of the assignment, have
//! granted it. The owner measures each grant by its own clock from the time of its request, and shortens the
//! grant by a margin for clock drift. Any two majorities have a voter in common, so that two owners of a duty
//! never act at the same time.

use crate::ledger::{Change, Epoch, Life};
use crate::log::majority;
use garnettally_model::Micros;
use std::collections::BTreeMap;

/// The maximum drift of a clock against true time, fast or slow, in parts per thousand. This is a hundred
/// times the drift of a bad oscillator, and as much as a virtual machine whose clock is slewed hard may show.
pub const DRIFT_PER_MILLE: i64 = 100;

/// Returns how long an owner may act, by its own clock, on a lease that lasts `lease` by the voters' clocks.
/// The owner's clock may be slow while a voter's is fast, each by [`DRIFT_PER_MILLE`].
pub fn owner_lease(lease: Micros) -> Micros {
    Micros(lease.0 * (1000 - DRIFT_PER_MILLE) / (1000 + DRIFT_PER_MILLE))
}

/// A former owner of a duty that may still act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FormerOwner {
    life: Life,
    /// The end of the promise to this life, by the voter's clock.
    until: Micros,
    /// The number of the log entry by which the life lost the duty.
    lost_at_entry: u64,
}

/// The promises of one voter. They are not stored: a restarted voter makes no promises for the length of one
/// lease, until all promises of its previous life have expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Promises {
    lease: Micros,
    /// No promises are made before this time.
    no_promise_until: Micros,
    /// The end of the promise to each life, by the voter's clock.
    promised_until: BTreeMap<Life, Micros>,
    /// For each duty, the former owners that may still act on it.
    former_owners: BTreeMap<String, Vec<FormerOwner>>,
}

impl Promises {
    /// Creates the state of a voter that has just started, and so does not know its earlier promises.
    pub fn new(now: Micros, lease: Micros) -> Promises {
        Promises {
            lease,
            no_promise_until: now + lease,
            promised_until: BTreeMap::new(),
            former_owners: BTreeMap::new(),
        }
    }

    /// Whether this voter may make promises: all promises from before its start have expired.
    pub fn may_promise(&self, now: Micros) -> bool {
        now >= self.no_promise_until
    }

    /// Renews the promise to a life that knows its duties up to the given log entry. Returns the end of the
    /// promise by the voter's clock, or `None` if the voter may not promise anything yet.
    pub fn renew(&mut self, now: Micros, life: Life, known_upto: u64) -> Option<Micros> {
        self.forget_former_owner(life, known_upto);
        if !self.may_promise(now) {
            return None;
        }
        let until = now + self.lease;
        self.promised_until.insert(life, until);
        Some(until)
    }

    /// Records that a life knows the log up to the given entry, and so no longer acts on duties that it had
    /// lost by then.
    fn forget_former_owner(&mut self, life: Life, known_upto: u64) {
        self.former_owners.retain(|_, all| {
            all.retain(|f| f.life != life || f.lost_at_entry > known_upto);
            !all.is_empty()
        });
    }

    /// Records a change of owner that was decided. A former owner with a valid promise may still act until it
    /// ends.
    pub fn record_change(&mut self, now: Micros, change: &Change) {
        let until = self.promised_until.get(&change.from).copied();
        if let Some(until) =
            until.filter(|&until| until > now && change.from != 0 && change.from != change.to)
        {
            let former = FormerOwner { life: change.from, until, lost_at_entry: change.epoch };
            self.former_owners.entry(change.duty.clone()).or_default().push(former);
        }
    }

    /// Whether a former owner other than `owner` may still act on the duty, so that the grant has to be held
    /// back.
    pub fn is_held_back(&self, now: Micros, duty: &str, owner: Life) -> bool {
        let all = self.former_owners.get(duty).map_or(&[][..], Vec::as_slice);
        all.iter().any(|f| f.life != owner && f.until > now)
    }

    /// Whether a promise to this life is valid now.
    pub fn has_promise(&self, now: Micros, life: Life) -> bool {
        self.promised_until.get(&life).is_some_and(|&until| until > now)
    }

    /// Returns the lives to which a promise is valid now.
    pub fn promised_lives(&self, now: Micros) -> impl Iterator<Item = Life> + '_ {
        self.promised_until.iter().filter(move |(_, &until)| until > now).map(|(&life, _)| life)
    }

    /// Removes a life that has left in an orderly way and no longer acts on any duty.
    pub fn remove_life(&mut self, life: Life) {
        self.promised_until.remove(&life);
        self.former_owners.retain(|_, all| {
            all.retain(|f| f.life != life);
            !all.is_empty()
        });
    }

    /// Removes promises and former owners whose time is over.
    pub fn remove_expired(&mut self, now: Micros) {
        self.promised_until.retain(|_, until| *until > now);
        self.former_owners.retain(|_, all| {
            all.retain(|f| f.until > now);
            !all.is_empty()
        });
    }
}

/// One voter's grant, as recorded by the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    /// When the owner sent the request, by the owner's clock.
    requested_at: Micros,
    /// The number of the last decided log entry that the voter knew.
    decided_upto: u64,
    /// The grant covers assignments up to this epoch; later ones are held back.
    effective_upto: Epoch,
}

/// The duties that one life owns, and the grants of the voters that let it act on them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnerGrants {
    /// How long a grant lasts from its request, by the owner's clock.
    lease: Micros,
    /// The number of voters, of which a majority has to grant.
    voters: usize,
    /// The latest grant of each voter, by voter number.
    grants: BTreeMap<u64, Grant>,
    /// The duties that the life owns according to the log up to the entry `known_upto`, with their epochs.
    duties: BTreeMap<String, Epoch>,
    known_upto: u64,
}

impl OwnerGrants {
    /// Creates the state of a life that has just started; `lease` is measured by the voters' clocks.
    pub fn new(lease: Micros, voters: usize) -> OwnerGrants {
        OwnerGrants::with_owner_lease(owner_lease(lease), voters)
    }

    /// Like [`OwnerGrants::new`], but `lease` is measured by the owner's clock and no margin for drift is
    /// subtracted.
    pub fn with_owner_lease(lease: Micros, voters: usize) -> OwnerGrants {
        OwnerGrants { lease, voters, grants: BTreeMap::new(), duties: BTreeMap::new(), known_upto: 0 }
    }

    /// Returns the number of the last log entry up to which the life knows its duties.
    pub fn known_upto(&self) -> u64 {
        self.known_upto
    }

    /// Records a voter's answer to a request sent at `requested_at`. `decided_upto` is the last log entry
    /// that the voter knew. `effective_upto` is the last epoch that the grant covers; `None` means that the
    /// voter may not promise anything yet. `owned` has all duties of this life if they have changed since the
    /// entry given in the request.
    pub fn record_grant(
        &mut self,
        voter: u64,
        requested_at: Micros,
        decided_upto: u64,
        effective_upto: Option<Epoch>,
        owned: Option<Vec<(String, Epoch)>>,
    ) {
        if decided_upto >= self.known_upto {
            if let Some(owned) = owned {
                self.duties = owned.into_iter().collect();
            }
            self.known_upto = decided_upto;
        }
        let Some(effective_upto) = effective_upto else { return };
        let grant = Grant { requested_at, decided_upto, effective_upto };
        let latest = self.grants.entry(voter).or_insert(grant);
        if latest.requested_at <= requested_at {
            *latest = grant;
        }
    }

    /// Returns the epoch under which this life may act on a duty now, or `None` if it may not act. The caller
    /// has to read it right before each effect.
    pub fn may_act(&self, now: Micros, duty: &str) -> Option<Epoch> {
        let epoch = *self.duties.get(duty)?;
        (self.granted_until(epoch)? > now).then_some(epoch)
    }

    /// Returns the time until which a majority of the voters grants the assignment with this epoch.
    fn granted_until(&self, epoch: Epoch) -> Option<Micros> {
        let counts = self.grants.values().filter(|g| g.decided_upto >= epoch && g.effective_upto >= epoch);
        let mut ends: Vec<Micros> = counts.map(|g| g.requested_at + self.lease).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(majority(self.voters) - 1).copied()
    }

    /// Returns the duties that this life owns, with the epoch and the time until which it may act on each.
    pub fn duties(&self) -> impl Iterator<Item = (&str, Epoch, Option<Micros>)> {
        self.duties.iter().map(|(name, &epoch)| (name.as_str(), epoch, self.granted_until(epoch)))
    }

    /// Drops all duties and grants when the member leaves: it may no longer act on any duty.
    pub fn release_all(&mut self) {
        self.grants.clear();
        self.duties.clear();
        self.known_upto = 0;
    }
}

/// The highest epoch seen for each duty, by which a receiver of effects refuses those of former owners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<String, Epoch>,
}

impl Fence {
    /// Whether an effect with this epoch is accepted. It is refused if a higher epoch was seen for the duty,
    /// or if the duty is unknown and the maximum number of duties is already recorded.
    pub fn admits(&mut self, duty: &str, epoch: Epoch) -> bool {
        if !self.highest.contains_key(duty) && self.highest.len() >= crate::ledger::MAX_DUTIES {
            return false;
        }
        let highest = self.highest.entry(duty.to_string()).or_insert(epoch);
        let admitted = epoch >= *highest;
        *highest = epoch.max(*highest);
        admitted
    }

    /// Returns the highest epoch that was seen for a duty.
    pub fn highest(&self, duty: &str) -> Option<Epoch> {
        self.highest.get(duty).copied()
    }
}
