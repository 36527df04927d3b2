//! Tests of the queue of ready connections and of the budget of work.

use super::*;

#[test]
fn an_item_that_is_marked_again_and_again_gets_one_turn() {
    let mut ready = ReadyQueue::default();
    for item in [1, 2, 1, 1, 2, 3] {
        ready.push(item);
    }
    assert_eq!(ready.len(), 3);
    assert_eq!(std::iter::from_fn(|| ready.pop()).collect::<Vec<_>>(), [1, 2, 3]);
}

#[test]
fn an_item_that_has_had_its_turn_goes_to_the_end() {
    let mut ready = ReadyQueue::default();
    [1, 2].into_iter().for_each(|item| ready.push(item));
    let first = ready.pop().unwrap();
    ready.push(first);
    assert_eq!((ready.pop(), ready.pop(), ready.is_empty()), (Some(2), Some(1), true));
}

#[test]
fn short_requests_cost_as_much_as_long_ones() {
    let mut budget = WorkBudget::new(8);
    (0..5).for_each(|_| budget.spend_unit());
    budget.spend_bytes(3 * BYTES_PER_UNIT - 1);
    assert_eq!(budget.left(), 1);
    budget.spend_bytes(1);
    assert!(budget.is_used_up());
}
