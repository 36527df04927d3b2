//! Tests of failover between pools: losing traffic, getting it back, flapping, and random shares of healthy
//! nodes.

use super::*;
use proptest::prelude::*;

fn seconds(count: i64) -> Micros {
    Micros(count * 1_000_000)
}

#[test]
fn traffic_leaves_a_pool_at_once_and_returns_slowly() {
    let mut pool = PoolFailover::new(FailoverRules::default(), seconds(0));
    assert_eq!(pool.update(seconds(1), 0.5), None, "the bound itself is not below it");
    assert_eq!(pool.update(seconds(2), 0.49), Some(Transition::Left));
    assert_eq!(pool.traffic_share(seconds(2)), 0.0);
    assert_eq!(pool.update(seconds(3), 0.69), None, "between the bounds nothing changes");
    assert_eq!(pool.update(seconds(4), 0.9), None);
    assert_eq!(pool.update(seconds(10), 0.6), None, "a dip restarts the hold-down time");
    assert_eq!(pool.update(seconds(11), 0.9), None);
    assert_eq!(pool.update(seconds(20), 0.9), None);
    assert_eq!(pool.update(seconds(21), 0.9), Some(Transition::Returning));
    assert_eq!(
        (pool.traffic_share(seconds(21)), pool.traffic_share(seconds(36)), pool.traffic_share(seconds(51))),
        (0.0, 0.5, 1.0)
    );
    assert_eq!(pool.update(seconds(51), 0.9), Some(Transition::Restored));
}

#[test]
fn the_hold_down_time_of_a_flapping_pool_doubles_up_to_a_bound() {
    let mut pool = PoolFailover::new(FailoverRules::default(), seconds(0));
    let mut now = seconds(0);
    let mut hold_downs = Vec::new();
    for _ in 0..8 {
        pool.update(now, 0.0);
        let from = now;
        loop {
            if pool.update(now, 1.0) == Some(Transition::Returning) {
                break;
            }
            now += seconds(1);
        }
        hold_downs.push((now - from).0 / 1_000_000);
        now += seconds(1);
    }
    assert_eq!(hold_downs, [10, 20, 40, 80, 160, 300, 300, 300]);
    // After it has been active for long enough, the pool starts over with the first hold-down time.
    for _ in 0..200 {
        now += seconds(1);
        pool.update(now, 1.0);
    }
    pool.update(now, 0.0);
    pool.update(now, 1.0);
    now += seconds(10);
    assert_eq!(pool.update(now, 1.0), Some(Transition::Returning));
}

#[test]
fn without_an_active_pool_the_healthiest_is_chosen() {
    let mut list = vec![PoolFailover::new(FailoverRules::default(), seconds(0)); 3];
    for (pool, share) in list.iter_mut().zip([0.1, 0.3, 0.3]) {
        pool.update(seconds(1), share);
    }
    assert_eq!(choose_pool(list.iter(), seconds(1), 5), Some(1));
    assert_eq!(choose_pool([].iter(), seconds(1), 5), None);
}

proptest! {
    /// While traffic returns to a pool, a key that has returned stays there, whenever and however often it is
    /// looked up.
    #[test]
    fn keys_return_once_and_stay(key: u64, times in prop::collection::vec(0i64..60, 1..20)) {
        let mut list = vec![PoolFailover::new(FailoverRules::default(), seconds(0)); 2];
        list[0].update(seconds(0), 0.0);
        list[0].update(seconds(1), 1.0);
        list[0].update(seconds(11), 1.0);
        let mut times = times;
        times.sort_unstable();
        let mut has_returned = false;
        for elapsed in times {
            list[0].update(seconds(11 + elapsed), 1.0);
            let is_first = choose_pool(list.iter(), seconds(11 + elapsed), key) == Some(0);
            prop_assert!(is_first || !has_returned);
            has_returned = is_first;
        }
    }

    /// For random healthy shares, the part of the traffic stays within 0 to 1, and no transition follows
    /// itself.
    #[test]
    fn random_shares_lead_to_valid_transitions_only(
        shares in prop::collection::vec((0i64..20, 0.0..1.0f64), 1..200),
    ) {
        let rules = FailoverRules::default();
        let mut pool = PoolFailover::new(rules.clone(), seconds(0));
        let (mut now, mut last, mut left_at) = (seconds(0), None, seconds(0));
        for (step, share) in shares {
            now += seconds(step);
            let change = pool.update(now, share);
            prop_assert!((0.0..=1.0).contains(&pool.traffic_share(now)));
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
