//! What errors of system calls on sockets tell.

use rustix::io::Errno;
use std::io;

/// Whether a socket could not be made or connected for want of something on this machine (descriptors, memory, ports):
/// that tells nothing of the peer.
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

/// Whether a connection is being made, though the call that began it failed.
pub fn is_connecting(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::INPROGRESS | Errno::ALREADY | Errno::ISCONN))
}

/// What a failed `accept` tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// No connection waits.
    Empty,
    /// Interrupted, or the connection that waited is gone: the next one may be well. Linux reports errors that a connection
    /// has met already here, and a refusal by the firewall.
    Connection,
    /// Descriptors, memory or the like are used up: room has to be made before the next one.
    Shortage,
    /// The listener can't be used at present.
    Listener,
}

/// Sorts the errors of `accept` (accept(2), "Error handling").
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
