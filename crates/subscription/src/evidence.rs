//! Maps the failure of a call, or of a watch, to what it says about the registry.
//!
//! This is the only place where failures are sorted: nothing else about a failure changes for how long the
//! list may be used.

use crate::list_validity::{UnclearFailure, WatchLoss};
use garnettally_model::CallFailure;

/// What a failed call says about whether the registry could be reached when the call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The registry could be reached, but its current list has not been received.
    Reachable,
    /// No process could reach the registry.
    Unreachable,
    /// The registry may be down or overloaded, or may fail to receive the calls of this process alone.
    Unclear(UnclearFailure),
    /// The failure is local to this process and says nothing about the registry.
    NoEvidence,
}

/// Sorts a failed call.
pub fn reachability_at_failure(failure: CallFailure) -> Reachability {
    match failure {
        CallFailure::NoSocket => Reachability::NoEvidence,
        CallFailure::NoConnection => Reachability::Unreachable,
        CallFailure::Busy => Reachability::Unclear(UnclearFailure::TurnedAway),
        CallFailure::ClosedBeforeAnswer | CallFailure::NoAnswer => {
            Reachability::Unclear(UnclearFailure::Unanswered)
        }
        // Any byte of an answer shows that the registry is running.
        CallFailure::OtherStatus
        | CallFailure::IncompleteAnswer
        | CallFailure::Unreadable
        | CallFailure::WatchSilent
        | CallFailure::WatchCut
        | CallFailure::WatchBroken
        | CallFailure::WatchEnded => Reachability::Reachable,
    }
}

/// Sorts the failure that ended an open watch.
pub fn watch_loss(failure: CallFailure) -> WatchLoss {
    match failure {
        CallFailure::WatchBroken
        // These failures end calls. A host that cannot tell calls and watches apart (the simulator) also
        // reports them for a watch.
        | CallFailure::NoSocket
        | CallFailure::NoConnection
        | CallFailure::ClosedBeforeAnswer
        | CallFailure::NoAnswer
        | CallFailure::Busy => WatchLoss::Broken,
        CallFailure::WatchEnded => WatchLoss::Ended,
        CallFailure::WatchSilent
        | CallFailure::WatchCut
        | CallFailure::Unreadable
        | CallFailure::IncompleteAnswer
        | CallFailure::OtherStatus => WatchLoss::Incomplete,
    }
}
