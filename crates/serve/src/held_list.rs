//! The list of hosts as discovery has told it so far.

use garnettally_decisions::facade::ListedState;
use garnettally_model::{HostList, Listing, Micros, NOTIFIED_AFTER};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// An older list is believed once this many in a row have come: the service counts its versions anew.
const OLDER_BELIEVED: u32 = 3;

/// What became of a list.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// It is held now, and is to be gone by as it stands here.
    Applied(HostList),
    /// It is older than the one held, which stays, but for the hosts that leave by it: this is the change.
    Older(HostList),
}

/// That a host has left, as it was told.
struct Departure {
    told: Instant,
    /// Which of the services told it, by their number.
    service: u32,
    /// The start of the life that ended.
    born: Option<Micros>,
}

/// The version that was heard last, and the hosts listed up to there.
#[derive(Default)]
pub struct HeldList {
    /// The number of the service that is asked now: another one counts its versions for itself.
    service: u32,
    /// Hosts that left a short while ago.
    departures: BTreeMap<String, Departure>,
    /// Those of them that another service still lists as serving.
    held_back: BTreeMap<String, (Listing, Option<SocketAddr>)>,
    version: u64,
    /// The version that the next call asks from.
    ask_from: u64,
    hosts: BTreeMap<String, (Listing, Option<SocketAddr>)>,
    /// Older lists since the last that was applied.
    older: u32,
}

impl HeldList {
    /// The list that a process was started with, or an empty one.
    pub fn new(known: Option<&HostList>) -> HeldList {
        let mut held = HeldList::default();
        if let Some(known) = known {
            let now = Instant::now();
            held.apply(known, now, now);
            held.departures.clear();
        }
        held
    }

    /// The version from which on the next call asks for changes; 0 asks for the whole list.
    pub fn ask_from(&self) -> u64 {
        self.ask_from
    }

    /// Another service is asked from here on, which counts versions for itself, and may be behind the one before.
    pub fn change_service(&mut self) {
        self.service += 1;
        (self.version, self.ask_from) = (0, 0);
    }

    /// Hosts that were held back, and that the service still lists long enough after they left to know better, as a change.
    pub fn release(&mut self, now: Instant) -> Option<HostList> {
        self.departures.retain(|_, d| now < d.told + NOTIFIED_AFTER);
        let departures = &self.departures;
        let (kept, released): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.held_back)
            .into_iter()
            .partition(|(name, _)| departures.contains_key(name));
        self.held_back = kept;
        self.hosts.extend(released.clone());
        let change = HostList { seq: self.version, whole: false, hosts: released.into_values().collect() };
        Some(change).filter(|c| !c.hosts.is_empty())
    }

    /// Takes a list or a change. Of one that is older than what is held, only the hosts that leave by it count: it may be
    /// late, and bring back hosts that have left since, or the service counts its versions anew, and it is all that will
    /// be told of those that leave. The next call asks for the whole list then. What the list tells was so at `as_of` or later.
    pub fn take(&mut self, list: &HostList, as_of: Instant, now: Instant) -> Taken {
        if list.seq < self.version && !(list.whole && self.older + 1 >= OLDER_BELIEVED) {
            self.older += 1;
            self.ask_from = 0;
            return Taken::Older(self.take_departures(list, now));
        }
        Taken::Applied(self.apply(list, as_of, now))
    }

    /// Has the hosts leave that a list has leave, and returns them as a change.
    fn take_departures(&mut self, list: &HostList, now: Instant) -> HostList {
        let named: BTreeMap<&str, &Listing> =
            list.hosts.iter().map(|(listing, _)| (listing.name.as_str(), listing)).collect();
        let mut left = Vec::new();
        for (name, (listing, dial)) in &mut self.hosts {
            let state = match named.get(name.as_str()) {
                Some(told) => told.state,
                None if list.whole => ListedState::Removed,
                None => continue,
            };
            if listing.state == ListedState::Ready && state != ListedState::Ready {
                listing.state = state;
                left.push((listing.clone(), *dial));
            }
        }
        left.iter().for_each(|(listing, _)| self.note_departure(listing, now));
        self.hosts.retain(|_, (listing, _)| listing.state != ListedState::Removed);
        HostList { seq: self.version, whole: false, hosts: left }
    }

    /// Holds the list, and returns it as it is to be gone by: a host that left by another service stays so for a while.
    fn apply(&mut self, list: &HostList, as_of: Instant, now: Instant) -> HostList {
        (self.version, self.ask_from, self.older) = (list.seq, list.seq, 0);
        if list.whole {
            self.leave_out_all_but(list, now);
        }
        let mut applied = list.clone();
        for (listing, dial) in &mut applied.hosts {
            self.held_back.remove(&listing.name);
            if listing.state != ListedState::Ready {
                self.note_departure(listing, now);
            } else if self.left_elsewhere(listing, as_of) {
                self.held_back.insert(listing.name.clone(), (listing.clone(), *dial));
                listing.state = ListedState::Draining;
            } else {
                self.forget_departure(listing);
            }
            match listing.state {
                ListedState::Removed => self.hosts.remove(&listing.name),
                _ => self.hosts.insert(listing.name.clone(), (listing.clone(), *dial)),
            };
        }
        applied
    }

    /// Hosts that a whole list leaves out have left.
    fn leave_out_all_but(&mut self, list: &HostList, now: Instant) {
        self.held_back.clear();
        let named: BTreeSet<&str> = list.hosts.iter().map(|(listing, _)| listing.name.as_str()).collect();
        for (name, (listing, _)) in std::mem::take(&mut self.hosts) {
            if !named.contains(name.as_str()) {
                self.note_departure(&listing, now);
            }
        }
    }

    /// The earliest time that it was told counts.
    fn note_departure(&mut self, listing: &Listing, now: Instant) {
        let (told, service, born) = (now, self.service, listing.started_at);
        let departure = self.departures.entry(listing.name.clone());
        departure.and_modify(|d| (d.service, d.born) = (service, born)).or_insert(Departure {
            told,
            service,
            born,
        });
    }

    /// The service that told of a host's leave lists the same life of it as serving again.
    fn forget_departure(&mut self, listing: &Listing) {
        let told_here = |d: &Departure| d.service == self.service && d.born == listing.started_at;
        if self.departures.get(&listing.name).is_some_and(told_here) {
            self.departures.remove(&listing.name);
        }
    }

    /// Whether another service told that this life of a host had ended, so short a while ago that the present one need not
    /// know of it: what one had at some time, every one tells after [`NOTIFIED_AFTER`].
    fn left_elsewhere(&self, listing: &Listing, as_of: Instant) -> bool {
        self.departures.get(&listing.name).is_some_and(|d| {
            d.service != self.service && d.born == listing.started_at && as_of < d.told + NOTIFIED_AFTER
        })
    }

    /// The whole list.
    pub fn whole(&self) -> HostList {
        HostList { seq: self.version, whole: true, hosts: self.hosts.values().cloned().collect() }
    }

    /// News that nothing has changed.
    pub fn unchanged(&self) -> HostList {
        HostList { seq: self.version, whole: false, hosts: Vec::new() }
    }
}

#[cfg(test)]
#[path = "held_list_tests.rs"]
mod tests;
