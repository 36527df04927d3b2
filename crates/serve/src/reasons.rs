//! Why a connection was closed, and why a request was refused: what log lines and `/stats` say of it.

use std::fmt;

/// Why this process ended a connection, or found it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its peer has closed or reset it, or cannot be written to.
    PeerLeft,
    /// It was between requests for too long.
    Idle,
    /// It has had its last answer, and its peer had time to end it.
    Finished,
    /// Its place is wanted for another connection.
    Displaced,
    /// What it carried was called off.
    Cancelled,
    /// Its attempt had no answer in time, or the connection did not come up in time.
    TimedOut,
    /// It broke, or brought bytes that make no answer.
    Broken,
    /// Its upstream left, moved, or ended the connection after an answer.
    UpstreamLeft,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::PeerLeft => "the peer left",
            CloseReason::Idle => "idle",
            CloseReason::Finished => "finished",
            CloseReason::Displaced => "its place was wanted",
            CloseReason::Cancelled => "cancelled",
            CloseReason::TimedOut => "timed out",
            CloseReason::Broken => "broken",
            CloseReason::UpstreamLeft => "the upstream left",
        })
    }
}

/// Why a request that was taken was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The list of upstreams may lack changes that bind already.
    StaleList,
    /// No upstream had room for it in time.
    NoRoom,
    /// It was tried, and may not be tried again, or not in time.
    AttemptsFailed,
}

impl RefusalReason {
    /// All of them, in the order of the figures.
    pub const ALL: [RefusalReason; 3] =
        [RefusalReason::StaleList, RefusalReason::NoRoom, RefusalReason::AttemptsFailed];

    /// The last part of its figure's name.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::StaleList => "stale_list",
            RefusalReason::NoRoom => "no_room",
            RefusalReason::AttemptsFailed => "attempts_failed",
        }
    }
}
