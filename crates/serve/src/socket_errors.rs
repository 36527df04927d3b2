//! Classifies the errors of system calls on sockets.

use rustix::io::Errno;
use std::io;

/// Whether a socket could not be created or connected because this machine lacks a resource (descriptors,
/// memory, ports). Such an error says nothing about the peer.
pub fn is_local_shortage(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::ADDRNOTAVAIL
                | Errno::ADDRINUSE
                | Errno::AGAIN
        )
    )
}

/// Whether the connection is being established although `connect` returned this error.
pub fn is_connecting(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::INPROGRESS | Errno::ALREADY | Errno::ISCONN))
}

/// What a failed `accept` says about the connection, the machine or the listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The listener's queue holds no connection.
    Empty,
    /// The call was interrupted, or the queued connection has failed; the next one may succeed. Linux reports
    /// here errors that already happened on the connection, and a refusal by the firewall.
    Connection,
    /// Descriptors, memory or a similar resource are exhausted: some have to be freed before the next
    /// `accept`.
    Shortage,
    /// The listener itself can't be used at present.
    Listener,
}

/// Classifies the errors of `accept` (accept(2), "Error handling").
pub fn accept_failure(error: &io::Error) -> AcceptFailure {
    match Errno::from_io_error(error) {
        Some(Errno::AGAIN) => AcceptFailure::Empty,
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::CONNRESET
            | Errno::NETDOWN
            | Errno::PROTO
            | Errno::NOPROTOOPT
            | Errno::HOSTDOWN
            | Errno::NONET
            | Errno::HOSTUNREACH
            | Errno::OPNOTSUPP
            | Errno::NETUNREACH
            | Errno::TIMEDOUT
            | Errno::PERM,
        ) => AcceptFailure::Connection,
        _ if is_local_shortage(error) => AcceptFailure::Shortage,
        _ => AcceptFailure::Listener,
    }
}

#[cfg(test)]
#[path = "socket_errors_tests.rs"]
mod tests;
