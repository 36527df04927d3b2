//! Tests of the memory of left requests: its time and its bound.

use super::*;

#[test]
fn an_id_is_remembered_for_its_time() {
    let mut left = LeftRequests::default();
    left.insert(Micros(5), 7);
    assert!(left.contains(Micros(RETENTION.0 + 4), 7));
    assert!(!left.contains(Micros(RETENTION.0 + 4), 8));
    assert!(!left.contains(Micros(RETENTION.0 + 5), 7));
}

#[test]
fn a_flood_of_ids_is_bounded_and_forgets_the_oldest() {
    let mut left = LeftRequests::default();
    (0..MAX_IDS as u64 + 10).for_each(|id| left.insert(Micros(1), id));
    assert!(!left.contains(Micros(1), 9) && left.contains(Micros(1), 10));
    assert_eq!((left.ids.len(), left.order.len()), (MAX_IDS, MAX_IDS));
}
