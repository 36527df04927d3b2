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
