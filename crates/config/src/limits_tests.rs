//! Tests of the limits: which of them the only balancer needs at a planned restart.

use super::*;

/// Guards against an only balancer that closes, at a planned restart, connections in whose place clients get
/// none; and against answers that come after the kill.
#[test]
fn the_only_balancer_keeps_its_connections_for_longest() {
    let answer = Duration::from_millis(3500);
    let (only, several) = (drain_keep(1, answer), drain_keep(2, answer));
    assert!(only > several && only < answer, "{only:?} {several:?}");
    assert_eq!(drain_keep(1, Duration::from_millis(500)), drain_keep(2, Duration::from_millis(500)));
}
