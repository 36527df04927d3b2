//! For how long the list that a process holds may be used while no watch on it is open, and by what evidence.
//!
//! What a registry has binds a process 6 s later, whether or not the process was told, and a registry may tell late: its
//! answers tell what was so before the question, and a watch may end in place of a change that the registry has had for
//! long. So the loss of a watch proves nothing: the list is good for the short time in which the next call is answered
//! (`after_loss`), and never for longer than the whole lease after the last line. Only evidence that nobody can reach the
//! registry moves that, and doubt, where a call may have met an outage or a crowd, does so within a bound.

use garnettally_model::Micros;

/// Before any time of a process's clock, far enough from the least that a lease can be added.
const NEVER: Micros = Micros(i64::MIN / 2);

/// For so long after the list was complete doubt may renew a lease; calls that leave open whether the registry is down renew
/// nothing after that, however many there are.
const DOUBT_MOST: Micros = Micros(90_000_000);

/// How long a list is good by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leases {
    /// After the list was complete, or the registry was out of reach: then what it has to tell binds.
    pub whole: Micros,
    /// After the loss of a watch: the next call is answered within this, as a rule.
    pub after_loss: Micros,
    /// No doubt outlasts the whole lease that began with the last line, and the loss of a connection proves as little as the
    /// end of a watch: so in a small fleet, where each process asks often enough to be answered by a registry that is up.
    pub is_strict: bool,
}

/// How an open watch was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its connection broke: the registry may have gone down.
    Broken,
    /// The registry ended it between two lines: it may have something to tell, or have gone down.
    Ended,
    /// It may have written what has not come.
    Incomplete,
}

/// How a call ended that leaves open whether the registry can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Whoever answers for it turned the call away: it may be down, or have too much to do.
    TurnedAway,
    /// A connection came up, so somebody is there, and brought no byte of an answer. That is no sign of an outage.
    Unanswered,
}

/// By what the list is known to be good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// By nothing: it was there at the start, and may be of any age.
    None,
    /// A watch told of every change until its connection broke.
    Watch,
    /// A watch told of every change but perhaps the one in whose place it ended.
    EndedWatch,
    /// The registry was out of reach when it was last asked.
    OutOfReach,
    /// It may have been out of reach, or had too much to do.
    Doubt,
    /// There may be changes that this process was not told of, though the registry could be reached: only a list helps.
    Incomplete,
}

/// What is known of a list while no watch on it is open.
#[derive(Clone, Copy, Debug)]
pub struct ListKnowledge {
    evidence: Evidence,
    /// Up to then all changes had come, or the registry was known to be out of reach.
    complete_until: Micros,
    /// It may be used until then.
    good_until: Micros,
}

impl ListKnowledge {
    /// Of the list that a process is started with.
    pub fn at_start() -> ListKnowledge {
        ListKnowledge { evidence: Evidence::None, complete_until: NEVER, good_until: NEVER }
    }

    /// A watch that told of all changes up to `since` was lost at `now`.
    pub fn lost(now: Micros, since: Micros, loss: Loss, leases: Leases) -> ListKnowledge {
        let after_loss = now + leases.after_loss;
        let (evidence, until) = match loss {
            Loss::Broken if leases.is_strict => (Evidence::Watch, after_loss),
            Loss::Broken => (Evidence::Watch, since + leases.whole),
            Loss::Ended => (Evidence::EndedWatch, after_loss),
            Loss::Incomplete => (Evidence::Incomplete, after_loss),
        };
        let good_until = until.min(since + leases.whole);
        ListKnowledge { evidence, complete_until: since, good_until }
    }

    /// Nobody could reach the registry at this time.
    pub fn was_out_of_reach(&mut self, at: Micros, leases: Leases) {
        if self.evidence == Evidence::Incomplete {
            return;
        }
        self.evidence = Evidence::OutOfReach;
        self.complete_until = self.complete_until.max(at);
        self.good_until = self.good_until.max(at + leases.whole);
    }

    /// The registry was out of reach at this time, or had too much to do, or did not hear this process. A list that was complete,
    /// and was still good then, has the benefit of the doubt for a bounded time; one that may be of any age, or may lack
    /// something, has none, and one that is stale stays so.
    pub fn may_have_been_out_of_reach(&mut self, at: Micros, doubt: Doubt, leases: Leases) {
        match self.evidence {
            Evidence::None | Evidence::EndedWatch | Evidence::Incomplete => return,
            Evidence::Watch | Evidence::OutOfReach | Evidence::Doubt if at >= self.good_until => return,
            Evidence::Watch | Evidence::OutOfReach | Evidence::Doubt => {}
        }
        let (evidence, most) = match doubt {
            Doubt::TurnedAway if !leases.is_strict => (Evidence::Doubt, DOUBT_MOST),
            Doubt::TurnedAway | Doubt::Unanswered => (Evidence::Watch, Micros(0)),
        };
        self.evidence = evidence;
        let renewed = at.min(self.complete_until + most) + leases.whole;
        self.good_until = self.good_until.max(renewed);
    }

    /// The registry could be reached, and has not told its list.
    pub fn was_reachable(&mut self) {
        self.evidence = Evidence::Incomplete;
    }

    /// Whether it has never been compared with the registry.
    pub fn is_unverified(&self) -> bool {
        self.evidence == Evidence::None
    }

    /// Whether a call that was made at this time, and is out for long, may be taken for one that will fail like the one before.
    pub fn seems_down(&self, asked: Micros, leases: Leases) -> bool {
        match self.evidence {
            _ if leases.is_strict => false,
            Evidence::OutOfReach | Evidence::Doubt => asked < self.complete_until + DOUBT_MOST,
            Evidence::None | Evidence::Watch | Evidence::EndedWatch | Evidence::Incomplete => false,
        }
    }

    /// Whether the list may be used at this time.
    pub fn is_good(&self, now: Micros) -> bool {
        now < self.good_until
    }
}
