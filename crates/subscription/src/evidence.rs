//! What the end of a call, or of a watch, proves of the registry.
//!
//! The one table that sorts it. Whatever is not named here moves nothing.

use crate::knowledge::{Doubt, Loss};
use garnettally_model::CallFailure;

/// What a failure proves of the registry at the time of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// It could be reached, and what it has to tell has not come.
    Up,
    /// Nobody could reach it.
    Down,
    /// It may be down, or have too much to do, or this process alone is not heard.
    Unclear(Doubt),
    /// Nothing: the failure is of this process.
    Nothing,
}

/// What a call that failed proves.
pub fn proof_of_call(failure: CallFailure) -> Proof {
    match failure {
        CallFailure::NoSocket => Proof::Nothing,
        CallFailure::NoConnection => Proof::Down,
        CallFailure::Busy => Proof::Unclear(Doubt::TurnedAway),
        CallFailure::ClosedBeforeAnswer | CallFailure::NoAnswer => Proof::Unclear(Doubt::Unanswered),
        // Any byte of an answer shows that the registry is there.
        CallFailure::OtherStatus
        | CallFailure::IncompleteAnswer
        | CallFailure::Unreadable
        | CallFailure::WatchSilent
        | CallFailure::WatchCut
        | CallFailure::WatchBroken
        | CallFailure::WatchEnded => Proof::Up,
    }
}

/// What the end of a watch that was open proves.
pub fn loss_of_watch(failure: CallFailure) -> Loss {
    match failure {
        CallFailure::WatchBroken
        // How a call ends. A host that cannot tell calls and watches apart (the simulator) says so of a watch.
        | CallFailure::NoSocket
        | CallFailure::NoConnection
        | CallFailure::ClosedBeforeAnswer
        | CallFailure::NoAnswer
        | CallFailure::Busy => Loss::Broken,
        CallFailure::WatchEnded => Loss::Ended,
        CallFailure::WatchSilent
        | CallFailure::WatchCut
        | CallFailure::Unreadable
        | CallFailure::IncompleteAnswer
        | CallFailure::OtherStatus => Loss::Incomplete,
    }
}
