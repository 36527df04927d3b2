//! Each error that Linux documents for a call, and what it is taken for.

use super::*;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// Errors of `connect` and `socket` by what they are about.
const OF_THIS_MACHINE: [Errno; 7] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::AGAIN,
];
const OF_THE_PEER: [Errno; 7] = [
    Errno::CONNREFUSED,
    Errno::CONNRESET,
    Errno::HOSTUNREACH,
    Errno::NETUNREACH,
    Errno::TIMEDOUT,
    Errno::PIPE,
    Errno::CONNABORTED,
];

/// Guards against a peer that is avoided for what this machine lacks, and against one that is trusted though it is gone.
#[test]
fn what_this_machine_lacks_tells_nothing_of_the_peer() {
    assert!(OF_THIS_MACHINE.into_iter().all(|errno| is_local_shortage(&error(errno))));
    assert!(!OF_THE_PEER.into_iter().any(|errno| is_local_shortage(&error(errno))));
    assert!(!is_local_shortage(&io::Error::other("no number")));
}

#[test]
fn a_connection_that_is_being_made_has_not_failed() {
    let under_way = [Errno::INPROGRESS, Errno::ALREADY, Errno::ISCONN];
    assert!(under_way.into_iter().all(|errno| is_connecting(&error(errno))));
    assert!(!OF_THIS_MACHINE.into_iter().chain(OF_THE_PEER).any(|errno| is_connecting(&error(errno))));
}

#[test]
fn a_failed_accept_is_about_the_connection_this_machine_or_the_listener() {
    let cases: [(AcceptFailure, &[Errno]); 4] = [
        (AcceptFailure::Empty, &[Errno::AGAIN]),
        (
            AcceptFailure::Connection,
            &[
                Errno::INTR,
                Errno::CONNABORTED,
                Errno::NETDOWN,
                Errno::PROTO,
                Errno::NOPROTOOPT,
                Errno::HOSTDOWN,
                Errno::NONET,
                Errno::HOSTUNREACH,
                Errno::OPNOTSUPP,
                Errno::NETUNREACH,
                Errno::PERM,
            ],
        ),
        (AcceptFailure::Shortage, &[Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM]),
        (AcceptFailure::Listener, &[Errno::BADF, Errno::FAULT, Errno::INVAL, Errno::NOTSOCK]),
    ];
    for (failure, errors) in cases {
        for &errno in errors {
            assert_eq!(accept_failure(&error(errno)), failure, "{errno:?}");
        }
    }
}
