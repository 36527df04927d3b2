//! Tests of the limits: how long a single balancer keeps connections at a planned restart.

use super::*;

/// At a planned restart, a single balancer that closes connections early leaves its clients without any, and
/// one that closes them too late sends responses after SIGKILL. It keeps them for longer than one of several
/// does, but not until the last response is due.
#[test]
fn a_single_balancer_keeps_connections_longest_during_drain() {
    let response_time = Duration::from_millis(3500);
    let (single, several) = (drain_keepalive(1, response_time), drain_keepalive(2, response_time));
    assert!(single > several && single < response_time, "{single:?} {several:?}");
    assert_eq!(
        drain_keepalive(1, Duration::from_millis(500)),
        drain_keepalive(2, Duration::from_millis(500))
    );
}
