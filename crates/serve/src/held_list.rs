//! The list of hosts as discovery has told it so far.

use garnettally_decisions::facade::Listed;
use garnettally_model::{HostList, Listing};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An older list is believed once this many in a row have come: the service counts its versions anew.
const OLDER_BELIEVED: u32 = 3;

/// What became of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is held now.
    Applied,
    /// It is older than the one held, which stays.
    Older,
}

/// The version that was heard last, and the hosts listed up to there.
#[derive(Default)]
pub struct HeldList {
    version: u64,
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

    /// The version held.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Versions are counted anew from here on: another service tells them.
    pub fn forget_version(&mut self) {
        self.version = 0;
    }

    /// Takes a list or a change, unless it is older than what is held: hosts that it would bring back may have left.
    pub fn take(&mut self, list: &HostList) -> Taken {
        if list.seq < self.version && !(list.whole && self.older + 1 >= OLDER_BELIEVED) {
            self.older += 1;
            return Taken::Older;
        }
        self.apply(list);
        Taken::Applied
    }

    fn apply(&mut self, list: &HostList) {
        (self.version, self.older) = (list.seq, 0);
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
