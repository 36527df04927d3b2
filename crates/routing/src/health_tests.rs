//! Tests of the health marks of nodes: when a node counts as down, and when it counts as well again.

use super::*;

#[test]
fn a_node_is_down_after_failures_in_a_row_until_it_serves_or_the_mark_is_old() {
    let (a, b) = (ServerId(0), ServerId(1));
    let mut n = NodeHealth::default();
    assert_eq!(n.healthy_share(Micros(0)), 0.0);
    n.set_listed(a, ListedState::Ready);
    n.set_listed(b, ListedState::Ready);
    for code in [Code::Error, Code::Full, Code::Reset, Code::Cancelled] {
        n.attempt_ended(Micros(1), a, code);
    }
    assert_eq!(n.healthy_share(Micros(1)), 1.0, "two failures are not enough");
    n.attempt_ended(Micros(1), a, Code::ConnectFailed);
    assert_eq!(n.healthy_share(Micros(1)), 0.5);
    assert_eq!(n.healthy_share(Micros(2) + MEMORY), 1.0, "the mark is old");
    n.attempt_ended(Micros(2), a, Code::Ok);
    assert_eq!(n.healthy_share(Micros(2)), 1.0);
    n.set_listed(b, ListedState::Draining);
    assert_eq!((n.ready_count(), n.healthy_share(Micros(2))), (1, 0.5));
    n.set_listed(b, ListedState::Removed);
    n.set_listed(b, ListedState::Removed);
    assert_eq!((n.ready_count(), n.healthy_share(Micros(2))), (1, 1.0));
    assert_eq!(n.retain_listed(|_| false), [a]);
    assert_eq!((n.ready_count(), n.healthy_share(Micros(2))), (0, 0.0));
}
