//! Tests of failover between pools: leaving, returning, flapping, and random shares of healthy nodes.

use super::*;
use proptest::prelude::*;

fn s(seconds: i64) -> Micros {
    Micros(seconds * 1_000_000)
}

#[test]
fn a_pool_is_left_at_once_and_returned_to_slowly() {
    let mut f = PoolFailover::new(FailoverRules::default(), s(0));
    assert_eq!(f.update(s(1), 0.5), None, "the bound itself is not below it");
    assert_eq!(f.update(s(2), 0.49), Some(Transition::Left));
    assert_eq!(f.traffic_share(s(2)), 0.0);
    assert_eq!(f.update(s(3), 0.69), None, "between the bounds nothing changes");
    assert_eq!(f.update(s(4), 0.9), None);
    assert_eq!(f.update(s(10), 0.6), None, "a dip starts the hold over");
    assert_eq!(f.update(s(11), 0.9), None);
    assert_eq!(f.update(s(20), 0.9), None);
    assert_eq!(f.update(s(21), 0.9), Some(Transition::Returning));
    assert_eq!((f.traffic_share(s(21)), f.traffic_share(s(36)), f.traffic_share(s(51))), (0.0, 0.5, 1.0));
    assert_eq!(f.update(s(51), 0.9), Some(Transition::Restored));
}

#[test]
fn a_flapping_pool_is_held_off_for_longer_each_time_up_to_a_bound() {
    let mut f = PoolFailover::new(FailoverRules::default(), s(0));
    let mut now = s(0);
    let mut holds = Vec::new();
    for _ in 0..8 {
        f.update(now, 0.0);
        let from = now;
        loop {
            if f.update(now, 1.0) == Some(Transition::Returning) {
                break;
            }
            now += s(1);
        }
        holds.push((now - from).0 / 1_000_000);
        now += s(1);
    }
    assert_eq!(holds, [10, 20, 40, 80, 160, 300, 300, 300]);
    // Fit for long enough, it starts over.
    for _ in 0..200 {
        now += s(1);
        f.update(now, 1.0);
    }
    f.update(now, 0.0);
    f.update(now, 1.0);
    now += s(10);
    assert_eq!(f.update(now, 1.0), Some(Transition::Returning));
}

#[test]
fn without_a_fit_pool_the_healthiest_is_taken() {
    let mut list = vec![PoolFailover::new(FailoverRules::default(), s(0)); 3];
    for (f, share) in list.iter_mut().zip([0.1, 0.3, 0.3]) {
        f.update(s(1), share);
    }
    assert_eq!(choose_pool(list.iter(), s(1), 5), Some(1));
    assert_eq!(choose_pool([].iter(), s(1), 5), None);
}

proptest! {
    /// While a pool is returned to, a key that has come back stays, whatever the order of asking.
    #[test]
    fn keys_come_back_once_and_stay(key: u64, times in prop::collection::vec(0i64..60, 1..20)) {
        let mut list = vec![PoolFailover::new(FailoverRules::default(), s(0)); 2];
        list[0].update(s(0), 0.0);
        list[0].update(s(1), 1.0);
        list[0].update(s(11), 1.0);
        let mut times = times;
        times.sort_unstable();
        let mut back = false;
        for t in times {
            list[0].update(s(11 + t), 1.0);
            let here = choose_pool(list.iter(), s(11 + t), key) == Some(0);
            prop_assert!(here || !back);
            back = here;
        }
    }

    /// Whatever the shares do, a part is a part, and no two changes of one kind follow each other at once.
    #[test]
    fn random_shares_keep_the_machine_sound(shares in prop::collection::vec((0i64..20, 0.0..1.0f64), 1..200)) {
        let rules = FailoverRules::default();
        let mut f = PoolFailover::new(rules.clone(), s(0));
        let (mut now, mut last, mut left_at) = (s(0), None, s(0));
        for (step, share) in shares {
            now += s(step);
            let change = f.update(now, share);
            prop_assert!((0.0..=1.0).contains(&f.traffic_share(now)));
            if change == Some(Transition::Left) {
                prop_assert!(share < rules.leave_below);
                left_at = now;
            }
            if change == Some(Transition::Returning) {
                prop_assert!(now - left_at >= rules.hold_down && share >= rules.return_above);
            }
            if change.is_some() {
                prop_assert_ne!(change, last);
                last = change;
            }
        }
    }
}
