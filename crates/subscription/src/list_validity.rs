//! For how long the list that a process has may be used while no watch on it is open, and on what evidence.
//!
//! A change in the registry is binding for a process 6 s later, whether or not the process was notified. The
//! registry may notify late: its answers give the state before the call was made, and a watch may end in
//! place of a change that was made long before. So the loss of a watch is no evidence that the list is
//! current: the list may be used for the short time in which the next call is answered (`after_loss`), and
//! never for longer than the full lease after the last line was received. Only evidence that no process can
//! reach the registry extends that; a failure that may be due to an outage or to overload extends it up to a
//! bound.

use garnettally_model::Micros;

/// Earlier than any time of a process's clock, but far enough above the smallest value that a lease can be
/// added.
const NEVER: Micros = Micros(i64::MIN / 2);

/// For this time after the list was last complete, calls that leave open whether the registry is down may
/// renew a lease. After that they renew nothing, whatever their number.
const MAX_UNCLEAR_RENEWAL: Micros = Micros(90_000_000);

/// For how long a list may be used without an open watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leases {
    /// Lease counted from when the list was complete, or the registry was unreachable. At its end, changes
    /// that the list may lack are binding.
    pub full: Micros,
    /// Lease after the loss of a watch: the next call is normally answered within this time.
    pub after_loss: Micros,
    /// Whether unclear failures never extend the full lease that began with the last line, and a broken
    /// connection is no better evidence than the end of a watch. This holds in a small fleet, where each
    /// process calls often enough to be answered by a registry that is up.
    pub is_strict: bool,
}

/// How an open watch was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLoss {
    /// The connection of the watch broke: the registry may have gone down.
    Broken,
    /// The registry ended the watch between two lines: it may have a change to report, or may have gone down.
    Ended,
    /// The registry may have written changes that were not received.
    Incomplete,
}

/// A call failure that leaves open whether the registry can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnclearFailure {
    /// The registry, or a proxy in front of it, refused the call: the registry may be down or overloaded.
    TurnedAway,
    /// A connection was set up but brought no byte of an answer. Something accepted it, so this is no sign of
    /// an outage.
    Unanswered,
}

/// The evidence that the list is still current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// There is none: the list was there at the start of the process and may be of any age.
    None,
    /// A watch reported every change until its connection broke.
    Watch,
    /// A watch reported every change, except perhaps the one in place of which it ended.
    EndedWatch,
    /// The registry was unreachable when it was last called.
    Unreachable,
    /// The registry may have been unreachable, or overloaded, when it was last called.
    MaybeUnreachable,
    /// The list may lack changes although the registry could be reached: only a new list helps.
    Incomplete,
}

/// Until when the list may be used while no watch is open, and why.
#[derive(Clone, Copy, Debug)]
pub struct ListValidity {
    evidence: Evidence,
    /// Up to this time all changes had been received, or the registry was known to be unreachable.
    complete_until: Micros,
    /// The list may be used until this time.
    usable_until: Micros,
}

impl ListValidity {
    /// The validity of a list that a process is started with.
    pub fn at_start() -> ListValidity {
        ListValidity { evidence: Evidence::None, complete_until: NEVER, usable_until: NEVER }
    }

    /// The validity of a list after a watch was lost at `now` that had reported all changes up to `complete_until`.
    pub fn after_watch_loss(
        now: Micros,
        complete_until: Micros,
        loss: WatchLoss,
        leases: Leases,
    ) -> ListValidity {
        let after_loss = now + leases.after_loss;
        let (evidence, until) = match loss {
            WatchLoss::Broken if leases.is_strict => (Evidence::Watch, after_loss),
            WatchLoss::Broken => (Evidence::Watch, complete_until + leases.full),
            WatchLoss::Ended => (Evidence::EndedWatch, after_loss),
            WatchLoss::Incomplete => (Evidence::Incomplete, after_loss),
        };
        let usable_until = until.min(complete_until + leases.full);
        ListValidity { evidence, complete_until, usable_until }
    }

    /// Records that no process could reach the registry at this time.
    pub fn registry_was_unreachable(&mut self, at: Micros, leases: Leases) {
        if self.evidence == Evidence::Incomplete {
            return;
        }
        self.evidence = Evidence::Unreachable;
        self.complete_until = self.complete_until.max(at);
        self.usable_until = self.usable_until.max(at + leases.full);
    }

    /// Records that the registry, at this time, was unreachable or overloaded, or did not receive the calls
    /// of this process. A list that was complete, and was still valid then, has its lease renewed for a
    /// bounded time. A list that may be of any age, or may lack changes, does not, and a list that is already
    /// stale stays stale.
    pub fn registry_may_have_been_unreachable(
        &mut self,
        at: Micros,
        failure: UnclearFailure,
        leases: Leases,
    ) {
        match self.evidence {
            Evidence::None | Evidence::EndedWatch | Evidence::Incomplete => return,
            Evidence::Watch | Evidence::Unreachable | Evidence::MaybeUnreachable
                if at >= self.usable_until =>
            {
                return
            }
            Evidence::Watch | Evidence::Unreachable | Evidence::MaybeUnreachable => {}
        }
        let (evidence, max_renewal) = match failure {
            UnclearFailure::TurnedAway if !leases.is_strict => {
                (Evidence::MaybeUnreachable, MAX_UNCLEAR_RENEWAL)
            }
            UnclearFailure::TurnedAway | UnclearFailure::Unanswered => (Evidence::Watch, Micros(0)),
        };
        self.evidence = evidence;
        let renewed_until = at.min(self.complete_until + max_renewal) + leases.full;
        self.usable_until = self.usable_until.max(renewed_until);
    }

    /// Records that the registry could be reached but that its current list has not been received.
    pub fn registry_was_reachable(&mut self) {
        self.evidence = Evidence::Incomplete;
    }

    /// Whether the list has never been confirmed by the registry.
    pub fn is_unverified(&self) -> bool {
        self.evidence == Evidence::None
    }

    /// Whether a call that was made at `asked`, and has been unanswered for a while, may be expected to fail
    /// like the one before it.
    pub fn is_registry_presumed_down(&self, asked: Micros, leases: Leases) -> bool {
        match self.evidence {
            _ if leases.is_strict => false,
            Evidence::Unreachable | Evidence::MaybeUnreachable => {
                asked < self.complete_until + MAX_UNCLEAR_RENEWAL
            }
            Evidence::None | Evidence::Watch | Evidence::EndedWatch | Evidence::Incomplete => false,
        }
    }

    /// Whether the list may be used at this time.
    pub fn is_usable(&self, now: Micros) -> bool {
        now < self.usable_until
    }
}
