//! Tests of the health marks of nodes: when a node counts as down, and when it counts as well again.

use super::*;

#[test]
fn a_node_is_down_after_failures_in_a_row_until_it_serves_or_the_mark_is_old() {
    let (a, b) = (ServerId(0), ServerId(1));
    let mut n = Nodes::default();
    assert_eq!(n.healthy_share(Micros(0)), 0.0);
    n.list(a, ListedState::Ready);
    n.list(b, ListedState::Ready);
    for code in [Code::Error, Code::Full, Code::Reset, Code::Cancelled] {
        n.ended(Micros(1), a, code);
    }
    assert_eq!(n.healthy_share(Micros(1)), 1.0, "two failures are not enough");
    n.ended(Micros(1), a, Code::ConnectFailed);
    assert_eq!(n.healthy_share(Micros(1)), 0.5);
    assert_eq!(n.healthy_share(Micros(2) + MEMORY), 1.0, "the mark is old");
    n.ended(Micros(2), a, Code::Ok);
    assert_eq!(n.healthy_share(Micros(2)), 1.0);
    n.list(b, ListedState::Draining);
    assert_eq!((n.ready(), n.healthy_share(Micros(2))), (1, 0.5));
    n.list(b, ListedState::Removed);
    n.list(b, ListedState::Removed);
    assert_eq!((n.ready(), n.healthy_share(Micros(2))), (1, 1.0));
    assert_eq!(n.keep_listed(|_| false), [a]);
    assert_eq!((n.ready(), n.healthy_share(Micros(2))), (0, 0.0));
}
