//! What is known of the list that a process holds: up to when it is complete, and by what evidence.
//!
//! A change binds a process soon after the registry had it and could be reached, whether or not the process was told. So
//! a list that is complete up to some time is good for a while longer (the lease). Only evidence moves that time: a list or
//! a line on a watch, or a call that met a registry which was out of reach. Silence, half an answer, and the list that a
//! process is started with prove nothing.

use garnettally_model::Micros;

/// Before any time of a process's clock, far enough from the least that a lease can be added.
const NEVER: Micros = Micros(i64::MIN / 2);

/// By what the list is known to be complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// By nothing: it was there at the start, and may be of any age.
    None,
    /// A watch told of every change until then.
    Watch,
    /// The registry was out of reach then, or seemed to be: what it has to tell binds later.
    OutOfReach,
    /// A watch told of every change until then, but not of those after it, though the registry could be reached: only a list
    /// helps.
    Incomplete,
}

/// What is known of a list while no watch on it is open.
#[derive(Clone, Copy, Debug)]
pub struct ListKnowledge {
    evidence: Evidence,
    complete_until: Micros,
}

impl ListKnowledge {
    /// Of the list that a process is started with.
    pub fn at_start(now: Micros) -> ListKnowledge {
        ListKnowledge { evidence: Evidence::None, complete_until: now }
    }

    /// A watch that told of all changes up to this time has ended between two lines.
    pub fn watched_until(until: Micros) -> ListKnowledge {
        ListKnowledge { evidence: Evidence::Watch, complete_until: until }
    }

    /// A watch that told of all changes up to this time may have missed later ones.
    pub fn missing_since(until: Micros) -> ListKnowledge {
        ListKnowledge { evidence: Evidence::Incomplete, complete_until: until }
    }

    /// The registry was out of reach at this time.
    pub fn was_out_of_reach(&mut self, at: Micros) {
        if self.evidence == Evidence::Incomplete {
            return;
        }
        self.evidence = Evidence::OutOfReach;
        self.complete_until = self.complete_until.max(at);
    }

    /// The registry was out of reach at this time, or had too much to do. A list that was complete has the benefit of the
    /// doubt; one that may be of any age has none, as changes that it lacks may bind already.
    pub fn may_have_been_out_of_reach(&mut self, at: Micros) {
        if self.evidence != Evidence::None {
            self.was_out_of_reach(at);
        }
    }

    /// The registry could be reached, and has not told its list.
    pub fn was_reachable(&mut self) {
        if self.evidence == Evidence::None {
            self.complete_until = NEVER;
        }
        self.evidence = Evidence::Incomplete;
    }

    /// Whether it has never been compared with the registry.
    pub fn is_unverified(&self) -> bool {
        self.evidence == Evidence::None
    }

    /// Whether the registry was out of reach when it was last asked, or seemed to be.
    pub fn seems_down(&self) -> bool {
        self.evidence == Evidence::OutOfReach
    }

    /// Whether the list is good by itself, for so long after it was complete.
    pub fn is_good(&self, now: Micros, lease: Micros) -> bool {
        match self.evidence {
            Evidence::None => false,
            Evidence::Watch | Evidence::OutOfReach | Evidence::Incomplete => {
                now < self.complete_until + lease
            }
        }
    }
}
