//! The reasons for closed connections and refused requests that log lines and `/stats` report.

use std::fmt;

/// Why this process closed a connection, or found it closed by the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer has closed or reset the connection, or a write to it failed.
    PeerLeft,
    /// The connection was between requests for longer than the idle limit.
    Idle,
    /// The last response was sent, and the peer had time to close the connection itself.
    Finished,
    /// The connection was idle, and its place in the limits was needed for another connection.
    Displaced,
    /// The client did not read its response, and the memory for responses was needed.
    OutOfMemory,
    /// The client has read nothing of its response for too long.
    NotReading,
    /// The response, which nobody is given, is too long to be read for the sake of its connection.
    TooLong,
    /// The attempt on the connection was cancelled.
    Cancelled,
    /// The attempt got no response in time, or the connection was not established in time.
    TimedOut,
    /// The connection failed, or the peer sent bytes that are not a valid response.
    Broken,
    /// The upstream was removed, changed its address, or closed the connection after a response.
    UpstreamLeft,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::PeerLeft => "the peer left",
            CloseReason::Idle => "idle",
            CloseReason::Finished => "finished",
            CloseReason::Displaced => "displaced by another connection",
            CloseReason::OutOfMemory => "no memory for the unread response",
            CloseReason::NotReading => "the response is not read",
            CloseReason::TooLong => "a response that is not needed is too long",
            CloseReason::Cancelled => "cancelled",
            CloseReason::TimedOut => "timed out",
            CloseReason::Broken => "broken",
            CloseReason::UpstreamLeft => "the upstream left",
        })
    }
}

/// Why a request that was accepted was later refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The list of upstreams is stale: changes that the balancer has to obey may be missing from it.
    StaleList,
    /// The memory for messages had no room for the request.
    NoMemory,
    /// No upstream had room for the request in time.
    NoRoom,
    /// The request was attempted, and another attempt is not allowed or does not fit before the deadline.
    AttemptsFailed,
}

impl RefusalReason {
    /// All reasons, in the order in which `/stats` lists them.
    pub const ALL: [RefusalReason; 4] = [
        RefusalReason::StaleList,
        RefusalReason::NoMemory,
        RefusalReason::NoRoom,
        RefusalReason::AttemptsFailed,
    ];

    /// The last part of the reason's metric name; the log uses the same word.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::StaleList => "stale_list",
            RefusalReason::NoMemory => "no_memory",
            RefusalReason::NoRoom => "no_room",
            RefusalReason::AttemptsFailed => "attempts_failed",
        }
    }
}
