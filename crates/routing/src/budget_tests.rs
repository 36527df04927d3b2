//! Tests of the shared capacity: guaranteed minimums, borrowing, and random histories in which no unit leaks.

use super::*;
use proptest::prelude::*;

#[test]
fn a_flooded_holder_leaves_the_others_their_minimums() {
    let mut budget = Budget::new(10);
    let (flooded, other) = (budget.add_holder(Share::default()), budget.add_holder(Share { min: 3, max: 5 }));
    let mut permits: Vec<_> = std::iter::from_fn(|| budget.acquire(&[Some(flooded)]).ok()).collect();
    assert_eq!(permits.len(), 7);
    for _ in 0..3 {
        permits.push(budget.acquire(&[Some(other)]).unwrap());
    }
    assert_eq!(budget.acquire(&[Some(other)]), Err(Refusal::SharedInUse));
    budget.release(permits.remove(0));
    permits.push(budget.acquire(&[Some(other)]).unwrap());
    budget.release(permits.remove(0));
    permits.push(budget.acquire(&[Some(other)]).unwrap());
    budget.release(permits.remove(0));
    assert_eq!(budget.acquire(&[Some(other)]), Err(Refusal::HolderAtMaximum(other)));
}

#[test]
fn a_removed_holder_frees_its_minimum_at_once_and_its_number_with_its_last_unit() {
    let mut budget = Budget::new(4);
    let (removed, other) = (budget.add_holder(Share { min: 2, max: 4 }), budget.add_holder(Share::default()));
    let permit = budget.acquire(&[Some(removed), Some(other)]).unwrap();
    budget.remove_holder(removed);
    assert_eq!(budget.acquire(&[Some(removed)]), Err(Refusal::HolderAtMaximum(removed)));
    let more: Vec<_> = std::iter::from_fn(|| budget.acquire(&[Some(other)]).ok()).collect();
    assert_eq!(
        more.len(),
        3,
        "the unit still in use was charged to a minimum, and counts as shared since its holder was removed"
    );
    budget.release(permit);
    assert_eq!(budget.add_holder(Share::default()), removed);
}

#[test]
fn only_holders_that_borrow_can_exceed_their_share() {
    let share = |min, max| Share { min, max };
    let holders = [(share(30, 100), 30), (share(0, 100), 71), (share(0, 50), 0)];
    assert!(!exceeds_share(100, &holders, 0));
    assert!(exceeds_share(100, &holders, 1), "it uses 71 of the 70 shared units");
    assert!(!exceeds_share(101, &holders, 1));
    assert!(exceeds_share(1_000, &[(share(0, 50), 51)], 0), "its maximum is 50");
    assert!(!exceeds_share(0, &holders, 9));
}

#[derive(Clone, Debug)]
enum Operation {
    Acquire(usize, usize),
    Release(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => (0usize..4, 4usize..7).prop_map(|(a, b)| Operation::Acquire(a, b)),
        2 => any::<usize>().prop_map(Operation::Release),
    ]
}

proptest! {
    /// In random histories no unit leaks, the capacity is not exceeded, and a minimum is always available.
    #[test]
    fn minimums_stay_available_and_no_unit_leaks(
        mins in prop::collection::vec(0usize..4, 7),
        room in 0usize..10,
        operations in prop::collection::vec(operation(), 1..300),
    ) {
        let capacity = mins.iter().sum::<usize>() + room;
        let mut budget = Budget::new(capacity);
        let ids: Vec<_> = mins.iter().map(|&min| budget.add_holder(Share { min, max: usize::MAX })).collect();
        let mut permits: Vec<Permit> = Vec::new();
        for operation in operations {
            match operation {
                Operation::Acquire(x, y) => {
                    let has_minimum_left =
                        |i: usize| budget.holders[i].as_ref().is_some_and(|h| h.min_in_use < mins[i]);
                    let must_succeed = has_minimum_left(x) || has_minimum_left(y);
                    match budget.acquire(&[Some(ids[x]), Some(ids[y])]) {
                        Ok(permit) => permits.push(permit),
                        Err(why) => {
                            prop_assert!(!must_succeed, "a minimum was refused: {why}");
                            prop_assert_eq!(budget.shared_in_use, room);
                        }
                    }
                }
                Operation::Release(at) if !permits.is_empty() => {
                    let permit = permits.swap_remove(at % permits.len());
                    budget.release(permit);
                }
                Operation::Release(_) => {}
            }
            prop_assert_eq!(budget.in_use(), permits.len());
            prop_assert!(budget.in_use() <= capacity);
            let in_use: usize = ids.iter().map(|&id| budget.units_held(id)).sum();
            prop_assert_eq!(in_use, 2 * permits.len());
        }
        for permit in permits {
            budget.release(permit);
        }
        prop_assert_eq!((budget.in_use(), budget.shared_in_use), (0, 0));
    }
}
