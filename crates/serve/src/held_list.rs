//! The list of hosts as discovery has told it so far.

use garnettally_decisions::facade::Listed;
use garnettally_model::{HostList, Listing};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An older list is believed once this many in a row have come: the service counts its versions anew.
const OLDER_BELIEVED: u32 = 3;

/// What became of a list.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// It is held now.
    Applied,
    /// It is older than the one held, which stays, but for the hosts that leave by it: this is the change.
    Older(HostList),
}

/// The version that was heard last, and the hosts listed up to there.
#[derive(Default)]
pub struct HeldList {
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
            held.apply(known);
        }
        held
    }

    /// The version from which on the next call asks for changes; 0 asks for the whole list.
    pub fn ask_from(&self) -> u64 {
        self.ask_from
    }

    /// Versions are counted anew from here on: another service tells them.
    pub fn forget_version(&mut self) {
        (self.version, self.ask_from) = (0, 0);
    }

    /// Takes a list or a change. Of one that is older than what is held, only the hosts that leave by it count: it may be
    /// late, and bring back hosts that have left since, or the service counts its versions anew, and it is all that will
    /// be told of those that leave. The next call asks for the whole list then.
    pub fn take(&mut self, list: &HostList) -> Taken {
        if list.seq < self.version && !(list.whole && self.older + 1 >= OLDER_BELIEVED) {
            self.older += 1;
            self.ask_from = 0;
            return Taken::Older(self.take_departures(list));
        }
        self.apply(list);
        Taken::Applied
    }

    /// Has the hosts leave that a list has leave, and returns them as a change.
    fn take_departures(&mut self, list: &HostList) -> HostList {
        let named: BTreeMap<&str, &Listing> =
            list.hosts.iter().map(|(listing, _)| (listing.name.as_str(), listing)).collect();
        let mut left = Vec::new();
        for (name, (listing, dial)) in &mut self.hosts {
            let state = match named.get(name.as_str()) {
                Some(told) => told.state,
                None if list.whole => Listed::Gone,
                None => continue,
            };
            if listing.state == Listed::Ready && state != Listed::Ready {
                listing.state = state;
                left.push((listing.clone(), *dial));
            }
        }
        self.hosts.retain(|_, (listing, _)| listing.state != Listed::Gone);
        HostList { seq: self.version, whole: false, hosts: left }
    }

    fn apply(&mut self, list: &HostList) {
        (self.version, self.ask_from, self.older) = (list.seq, list.seq, 0);
        if list.whole {
            self.hosts.clear();
        }
        for (listing, dial) in &list.hosts {
            match listing.state {
                Listed::Gone => self.hosts.remove(&listing.name),
                _ => self.hosts.insert(listing.name.clone(), (listing.clone(), *dial)),
            };
        }
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
