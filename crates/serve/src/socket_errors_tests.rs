//! Tests of the classification of each error that Linux documents for `connect`, `socket` and `accept`.

use super::*;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// Errors of `connect` and `socket` for lack of a resource on this machine.
const LOCAL_SHORTAGES: [Errno; 7] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::AGAIN,
];
/// Errors of `connect` that the peer or the path to it causes.
const PEER_FAILURES: [Errno; 7] = [
    Errno::CONNREFUSED,
    Errno::CONNRESET,
    Errno::HOSTUNREACH,
    Errno::NETUNREACH,
    Errno::TIMEDOUT,
    Errno::PIPE,
    Errno::CONNABORTED,
];

/// Guards against avoiding a peer because this machine lacks a resource, and against trusting a peer that is
/// unreachable.
#[test]
fn local_shortages_are_not_taken_for_failures_of_the_peer() {
    assert!(LOCAL_SHORTAGES.into_iter().all(|errno| is_local_shortage(&error(errno))));
    assert!(!PEER_FAILURES.into_iter().any(|errno| is_local_shortage(&error(errno))));
    assert!(!is_local_shortage(&io::Error::other("no number")));
}

#[test]
fn a_connection_that_is_being_established_has_not_failed() {
    let in_progress = [Errno::INPROGRESS, Errno::ALREADY, Errno::ISCONN];
    assert!(in_progress.into_iter().all(|errno| is_connecting(&error(errno))));
    assert!(!LOCAL_SHORTAGES.into_iter().chain(PEER_FAILURES).any(|errno| is_connecting(&error(errno))));
}

#[test]
fn accept_errors_are_classified_by_queue_connection_shortage_or_listener() {
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
