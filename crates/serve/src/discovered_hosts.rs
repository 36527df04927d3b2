//! The list of hosts as received from discovery so far, and the rules for lists that are older, or that come
//! from another service.

use garnettally_decisions::facade::ListedState;
use garnettally_model::{HostList, Listing, Micros, CHANGE_ASSUMED_KNOWN_AFTER};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// An older whole list is applied when it is the third older list in a row: by then the service has started
/// to count its versions anew.
const OLDER_LISTS_TO_ACCEPT: u32 = 3;

/// The outcome of receiving a list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListOutcome {
    /// The list has been stored; the module is to use it as it stands here.
    Applied(HostList),
    /// The list is older than the stored one, which stays, except for the hosts that leave according to the
    /// older list: they are in this change.
    Older(HostList),
}

/// The departure of a host, as a service reported it.
struct Departure {
    /// When the departure was first reported.
    first_reported_at: Instant,
    /// The number of the service that reported the departure last.
    service: u32,
    /// The start time of the host's process that left; a later start is a new process under the same name.
    started_at: Option<Micros>,
}

/// The version received last, and the hosts listed at that version.
#[derive(Default)]
pub struct DiscoveredHosts {
    /// The number of the present service, counted from 0: each service counts its versions independently.
    service: u32,
    /// Hosts that left less than `CHANGE_ASSUMED_KNOWN_AFTER` ago, by name.
    departures: BTreeMap<String, Departure>,
    /// The departed hosts that another service still lists as ready; the module gets them as draining for
    /// now.
    withheld: BTreeMap<String, (Listing, Option<SocketAddr>)>,
    /// The version of the list applied last.
    version: u64,
    /// The version since which the next call requests changes; 0 requests the whole list.
    next_request_version: u64,
    /// The hosts listed, by name, with the address to connect to where the list has one.
    hosts: BTreeMap<String, (Listing, Option<SocketAddr>)>,
    /// How many older lists have been received in a row since the last list that was applied.
    older_in_a_row: u32,
}

impl DiscoveredHosts {
    /// Starts from the list that the process was started with, or from an empty one.
    pub fn new(known: Option<&HostList>) -> DiscoveredHosts {
        let mut stored = DiscoveredHosts::default();
        if let Some(known) = known {
            let now = Instant::now();
            stored.apply(known, now, now);
            stored.departures.clear();
        }
        stored
    }

    /// The version since which the next call requests changes; 0 requests the whole list.
    pub fn next_request_version(&self) -> u64 {
        self.next_request_version
    }

    /// Switches to another service, which counts its own versions and may be behind the one before.
    pub fn change_service(&mut self) {
        self.service += 1;
        (self.version, self.next_request_version) = (0, 0);
    }

    /// Returns, as a change, the withheld hosts that the service still lists although by now it must know of
    /// their departure.
    pub fn release_withheld(&mut self, now: Instant) -> Option<HostList> {
        self.departures.retain(|_, d| now < d.first_reported_at + CHANGE_ASSUMED_KNOWN_AFTER);
        let departures = &self.departures;
        let (kept, released): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.withheld)
            .into_iter()
            .partition(|(name, _)| departures.contains_key(name));
        self.withheld = kept;
        self.hosts.extend(released.clone());
        let change = HostList { seq: self.version, whole: false, hosts: released.into_values().collect() };
        Some(change).filter(|c| !c.hosts.is_empty())
    }

    /// Receives a list or a change that describes the state at `as_of` or later. If the list is older than
    /// the stored version, only the departures in it count: either the list is late, and would bring back
    /// hosts that have left since, or the service counts its versions anew, and then nothing else would
    /// report these departures. After an older list the next call requests the whole list.
    pub fn receive_list(&mut self, list: &HostList, as_of: Instant, now: Instant) -> ListOutcome {
        if list.seq < self.version && !(list.whole && self.older_in_a_row + 1 >= OLDER_LISTS_TO_ACCEPT) {
            self.older_in_a_row += 1;
            self.next_request_version = 0;
            return ListOutcome::Older(self.apply_departures(list, now));
        }
        ListOutcome::Applied(self.apply(list, as_of, now))
    }

    /// Applies only the departures that a list implies, and returns them as a change.
    fn apply_departures(&mut self, list: &HostList, now: Instant) -> HostList {
        let named: BTreeMap<&str, &Listing> =
            list.hosts.iter().map(|(listing, _)| (listing.name.as_str(), listing)).collect();
        let mut left = Vec::new();
        for (name, (listing, dial)) in &mut self.hosts {
            let state = match named.get(name.as_str()) {
                Some(listed) => listed.state,
                None if list.whole => ListedState::Removed,
                None => continue,
            };
            if listing.state == ListedState::Ready && state != ListedState::Ready {
                listing.state = state;
                left.push((listing.clone(), *dial));
            }
        }
        left.iter().for_each(|(listing, _)| self.record_departure(listing, now));
        self.hosts.retain(|_, (listing, _)| listing.state != ListedState::Removed);
        HostList { seq: self.version, whole: false, hosts: left }
    }

    /// Stores the list and returns it as the module is to use it: a host that left according to another
    /// service stays draining for a while.
    fn apply(&mut self, list: &HostList, as_of: Instant, now: Instant) -> HostList {
        (self.version, self.next_request_version, self.older_in_a_row) = (list.seq, list.seq, 0);
        if list.whole {
            self.remove_unlisted(list, now);
        }
        let mut applied = list.clone();
        for (listing, dial) in &mut applied.hosts {
            self.withheld.remove(&listing.name);
            if listing.state != ListedState::Ready {
                self.record_departure(listing, now);
            } else if self.departed_by_other_service(listing, as_of) {
                self.withheld.insert(listing.name.clone(), (listing.clone(), *dial));
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

    /// Records the departure of the hosts that a whole list leaves out, and empties the stored list.
    fn remove_unlisted(&mut self, list: &HostList, now: Instant) {
        self.withheld.clear();
        let named: BTreeSet<&str> = list.hosts.iter().map(|(listing, _)| listing.name.as_str()).collect();
        for (name, (listing, _)) in std::mem::take(&mut self.hosts) {
            if !named.contains(name.as_str()) {
                self.record_departure(&listing, now);
            }
        }
    }

    /// Records a departure. A repeated report keeps the time of the first one.
    fn record_departure(&mut self, listing: &Listing, now: Instant) {
        let (first_reported_at, service, started_at) = (now, self.service, listing.started_at);
        let departure = self.departures.entry(listing.name.clone());
        departure.and_modify(|d| (d.service, d.started_at) = (service, started_at)).or_insert(Departure {
            first_reported_at,
            service,
            started_at,
        });
    }

    /// Forgets a departure when the service that reported it lists the same process of the host as ready
    /// again.
    fn forget_departure(&mut self, listing: &Listing) {
        let is_same_report = |d: &Departure| d.service == self.service && d.started_at == listing.started_at;
        if self.departures.get(&listing.name).is_some_and(is_same_report) {
            self.departures.remove(&listing.name);
        }
    }

    /// Whether another service reported the departure of this process of the host so recently that the
    /// present service need not know of it: [`CHANGE_ASSUMED_KNOWN_AFTER`] after a change at one service,
    /// every service lists it.
    fn departed_by_other_service(&self, listing: &Listing, as_of: Instant) -> bool {
        self.departures.get(&listing.name).is_some_and(|d| {
            d.service != self.service
                && d.started_at == listing.started_at
                && as_of < d.first_reported_at + CHANGE_ASSUMED_KNOWN_AFTER
        })
    }

    /// The whole list at the version received last.
    pub fn full_list(&self) -> HostList {
        HostList { seq: self.version, whole: true, hosts: self.hosts.values().cloned().collect() }
    }

    /// A change without hosts, which confirms the stored list.
    pub fn empty_change(&self) -> HostList {
        HostList { seq: self.version, whole: false, hosts: Vec::new() }
    }
}

#[cfg(test)]
#[path = "discovered_hosts_tests.rs"]
mod tests;
