//! Tests of the shared capacity: guaranteed minimums, borrowing, and random histories in which nothing leaks.

use super::*;
use proptest::prelude::*;

#[test]
fn a_flooded_holder_leaves_the_others_their_minimum() {
    let mut b = Budget::new(10);
    let (flooded, other) = (b.add_holder(Share::default()), b.add_holder(Share { min: 3, max: 5 }));
    let mut out: Vec<_> = std::iter::from_fn(|| b.acquire(&[Some(flooded)]).ok()).collect();
    assert_eq!(out.len(), 7);
    for _ in 0..3 {
        out.push(b.acquire(&[Some(other)]).unwrap());
    }
    assert_eq!(b.acquire(&[Some(other)]), Err(Refusal::SharedInUse));
    b.release(out.remove(0));
    out.push(b.acquire(&[Some(other)]).unwrap());
    b.release(out.remove(0));
    out.push(b.acquire(&[Some(other)]).unwrap());
    b.release(out.remove(0));
    assert_eq!(b.acquire(&[Some(other)]), Err(Refusal::HolderAtMaximum(other)));
}

#[test]
fn a_holder_that_leaves_gives_its_minimum_up_and_its_number_once_it_is_empty() {
    let mut b = Budget::new(4);
    let (a, c) = (b.add_holder(Share { min: 2, max: 4 }), b.add_holder(Share::default()));
    let held = b.acquire(&[Some(a), Some(c)]).unwrap();
    b.remove_holder(a);
    assert_eq!(b.acquire(&[Some(a)]), Err(Refusal::HolderAtMaximum(a)));
    let more: Vec<_> = std::iter::from_fn(|| b.acquire(&[Some(c)]).ok()).collect();
    assert_eq!(more.len(), 3, "the one still out was a's own, and counts as shared since a has left");
    b.release(held);
    assert_eq!(b.add_holder(Share::default()), a);
}

#[test]
fn who_borrows_exceeds_and_who_keeps_to_its_minimum_never_does() {
    let share = |min, max| Share { min, max };
    let holders = [(share(30, 100), 30), (share(0, 100), 71), (share(0, 50), 0)];
    assert!(!exceeds_share(100, &holders, 0));
    assert!(exceeds_share(100, &holders, 1), "71 of the 70 that are shared");
    assert!(!exceeds_share(101, &holders, 1));
    assert!(exceeds_share(1_000, &[(share(0, 50), 51)], 0), "its maximum");
    assert!(!exceeds_share(0, &holders, 9));
}

#[derive(Clone, Debug)]
enum Op {
    Take(usize, usize),
    Release(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0usize..4, 4usize..7).prop_map(|(a, b)| Op::Take(a, b)),
        2 => any::<usize>().prop_map(Op::Release),
    ]
}

proptest! {
    /// Under random histories no unit leaks, the capacity holds, and a minimum can always be had.
    #[test]
    fn guarantees_hold_and_nothing_leaks(
        mins in prop::collection::vec(0usize..4, 7),
        room in 0usize..10,
        ops in prop::collection::vec(op(), 1..300),
    ) {
        let capacity = mins.iter().sum::<usize>() + room;
        let mut b = Budget::new(capacity);
        let ids: Vec<_> = mins.iter().map(|&min| b.add_holder(Share { min, max: usize::MAX })).collect();
        let mut out: Vec<Permit> = Vec::new();
        for op in ops {
            match op {
                Op::Take(x, y) => {
                    let free = |i: usize| b.holders[i].as_ref().is_some_and(|h| h.own < mins[i]);
                    let sure = free(x) || free(y);
                    match b.acquire(&[Some(ids[x]), Some(ids[y])]) {
                        Ok(permit) => out.push(permit),
                        Err(why) => {
                            prop_assert!(!sure, "a minimum was refused: {why}");
                            prop_assert_eq!(b.shared_out, room);
                        }
                    }
                }
                Op::Release(at) if !out.is_empty() => {
                    let permit = out.swap_remove(at % out.len());
                    b.release(permit);
                }
                Op::Release(_) => {}
            }
            prop_assert_eq!(b.in_use(), out.len());
            prop_assert!(b.in_use() <= capacity);
            let held: usize = ids.iter().map(|&id| b.units_held(id)).sum();
            prop_assert_eq!(held, 2 * out.len());
        }
        for permit in out {
            b.release(permit);
        }
        prop_assert_eq!((b.in_use(), b.shared_out), (0, 0));
    }
}
