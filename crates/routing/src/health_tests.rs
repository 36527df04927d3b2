//! Tests of the failure records of nodes: when a node counts as down, and when it counts as healthy again.

use super::*;

#[test]
fn a_node_is_down_after_failures_in_a_row_until_it_serves_or_the_record_expires() {
    let (a, b) = (ServerId(0), ServerId(1));
    let mut nodes = NodeHealth::default();
    assert_eq!(nodes.healthy_share(Micros(0)), 0.0);
    nodes.set_listed(a, ListedState::Ready);
    nodes.set_listed(b, ListedState::Ready);
    for code in [Code::Error, Code::Full, Code::Reset, Code::Cancelled] {
        nodes.attempt_ended(Micros(1), a, code);
    }
    assert_eq!(nodes.healthy_share(Micros(1)), 1.0, "two failures are not enough");
    nodes.attempt_ended(Micros(1), a, Code::ConnectFailed);
    assert_eq!(nodes.healthy_share(Micros(1)), 0.5);
    assert_eq!(nodes.healthy_share(Micros(2) + FAILURE_MEMORY), 1.0, "the record has expired");
    nodes.attempt_ended(Micros(2), a, Code::Ok);
    assert_eq!(nodes.healthy_share(Micros(2)), 1.0);
    nodes.set_listed(b, ListedState::Draining);
    assert_eq!((nodes.ready_count(), nodes.healthy_share(Micros(2))), (1, 0.5));
    nodes.set_listed(b, ListedState::Removed);
    nodes.set_listed(b, ListedState::Removed);
    assert_eq!((nodes.ready_count(), nodes.healthy_share(Micros(2))), (1, 1.0));
    assert_eq!(nodes.retain_listed(|_| false), [a]);
    assert_eq!((nodes.ready_count(), nodes.healthy_share(Micros(2))), (0, 0.0));
}
