//! Tests of when calls are made: by one process, and by many that share a registry.

use garnettally_model::{CallFailure, Micros, Settings};
use garnettally_subscription::{Registry, Subscription};

const SECOND: i64 = 1_000_000;

/// The sizes of a fleet that is not small, and whose calls fit the shortest cycle of such fleets, and of a
/// small fleet.
const MID_SIZE: u32 = 20;
const SMALL: u32 = 10;

fn shared(instances: u32, seed: u64) -> Subscription {
    Subscription::new(Registry::Shared { instances }, seed, Micros(0))
}

/// Refuses the call, or ends the watch, at this time.
fn refuse(subscription: &mut Subscription, at: Micros) -> bool {
    subscription.call_or_watch_failed(at, at, CallFailure::Busy)
}

/// Advances to the time of the next call, and makes the call.
fn make_next_call(subscription: &mut Subscription) -> Micros {
    let at = subscription.next_timeout().expect("a call is planned");
    assert!(!subscription.poll(Micros(at.0 - 1)));
    assert!(subscription.poll(at));
    at
}

#[test]
fn settings_decide_whether_and_when_the_registry_is_called() {
    let pushed = Settings { watch_on_request: false, ..Settings::default() };
    assert!(Subscription::from_settings(&pushed, 1, Micros(0)).is_none());
    let own = Settings { watch_on_request: true, watch_request_within: Micros(0), ..Settings::default() };
    let own = Subscription::from_settings(&own, 1, Micros(7)).expect("discovery must be called");
    assert_eq!(own.next_timeout(), Some(Micros(7)));
    let asked = Settings { watch_on_request: true, instances: 100, ..Settings::default() };
    let firsts = (0..50)
        .map(|seed| Subscription::from_settings(&asked, seed, Micros(0)).expect("discovery must be called"));
    let firsts: Vec<i64> = firsts.map(|s| s.next_timeout().expect("a call is planned").0).collect();
    assert!(firsts.iter().any(|&at| at < SECOND / 2) && firsts.iter().any(|&at| at > SECOND), "{firsts:?}");
    assert!(firsts.iter().all(|&at| at <= 400_000 + 100 * 22_000), "{firsts:?}");
}

#[test]
fn no_call_is_due_while_one_is_in_flight_or_a_watch_is_open() {
    let mut subscription = shared(1, 1);
    make_next_call(&mut subscription);
    assert_eq!(subscription.next_timeout(), None);
    assert!(!subscription.poll(Micros(i64::MAX)));
    subscription.update_received();
    assert!(subscription.is_open());
    assert_eq!(subscription.next_timeout(), None);
}

#[test]
fn a_failed_call_is_repeated_after_one_cycle_however_soon_it_failed() {
    for wait in [0, 2 * SECOND] {
        let mut subscription = shared(MID_SIZE, 3);
        let mut asked = make_next_call(&mut subscription);
        for call in 0..20 {
            refuse(&mut subscription, asked + Micros(wait));
            // Further reports of the same failed call change nothing.
            let next = subscription.next_timeout();
            refuse(&mut subscription, asked + Micros(wait));
            assert_eq!(subscription.next_timeout(), next);
            let again = make_next_call(&mut subscription);
            let cycle = (again - asked).0;
            // The first cycle has a larger jitter, because many processes may have made their first calls at
            // the same moment.
            let least = if call == 0 { 2 * SECOND } else { 3_600_000 };
            assert!((least..=4 * SECOND).contains(&cycle), "{cycle}");
            asked = again;
        }
    }
}

/// Guards against a small fleet that waits for seconds though its registry has capacity: even if only one
/// call in four is answered, that answer has to come before the change it reports becomes binding.
#[test]
fn a_small_fleet_calls_every_second_and_every_four_seconds_under_overload() {
    let mut subscription = shared(SMALL, 3);
    let mut asked = make_next_call(&mut subscription);
    for call in 0..20 {
        refuse(&mut subscription, asked);
        let again = make_next_call(&mut subscription);
        let cycle = (again - asked).0;
        let least = if call == 0 { SECOND / 2 } else { 900_000 };
        assert!((least..=SECOND).contains(&cycle), "{cycle}");
        asked = again;
    }
    for call in 0..20 {
        refuse(&mut subscription, asked + Micros(call % 2 * 2 * SECOND));
        let again = make_next_call(&mut subscription);
        assert!((again - asked).0 <= 4 * SECOND, "{asked:?} {again:?}");
        asked = again;
    }
    subscription.update_received();
    refuse(&mut subscription, asked);
    asked = make_next_call(&mut subscription);
    subscription.update_received();
    refuse(&mut subscription, asked);
    let again = make_next_call(&mut subscription);
    assert!((again - asked).0 <= 2 * SECOND, "{asked:?} {again:?}");
}

#[test]
fn a_pause_follows_a_call_that_fails_late() {
    let mut subscription = shared(MID_SIZE, 3);
    let asked = make_next_call(&mut subscription);
    let failed = asked + Micros(20 * SECOND);
    refuse(&mut subscription, failed);
    let pause = (make_next_call(&mut subscription) - failed).0;
    assert!((SECOND / 10..=SECOND / 5).contains(&pause), "{pause}");
}

/// An overloaded registry refuses some calls at once and others after they have waited.
#[test]
fn overload_lengthens_cycles_up_to_a_bound_and_success_shortens_them() {
    let mut subscription = shared(MID_SIZE, 5);
    let mut asked = make_next_call(&mut subscription);
    let mut cycles = Vec::new();
    for call in 1..21 {
        refuse(&mut subscription, asked + Micros(call % 2 * 2 * SECOND));
        let again = make_next_call(&mut subscription);
        cycles.push((again - asked).0);
        asked = again;
    }
    assert!(cycles[0] <= 4 * SECOND && cycles[1] >= 7 * SECOND, "{cycles:?}");
    let last = cycles[cycles.len() - 1];
    assert!((28 * SECOND..=32 * SECOND).contains(&last), "{cycles:?}");
    for _ in 0..10 {
        subscription.update_received();
        refuse(&mut subscription, asked);
        asked = make_next_call(&mut subscription);
    }
    refuse(&mut subscription, asked);
    let cycle = (make_next_call(&mut subscription) - asked).0;
    assert!(cycle <= 4 * SECOND, "{cycle}");
}

/// Guards against a fleet that keeps calling slowly when an outage follows an overload.
#[test]
fn cycles_shorten_again_once_a_registry_is_down() {
    let overloaded = || {
        let mut subscription = shared(MID_SIZE, 5);
        let mut asked = make_next_call(&mut subscription);
        for call in 1..7 {
            refuse(&mut subscription, asked + Micros(call % 2 * 2 * SECOND));
            asked = make_next_call(&mut subscription);
        }
        (subscription, asked)
    };
    // The registry refuses all calls in the same manner.
    let (mut subscription, mut asked) = overloaded();
    let mut cycle = Micros(0);
    for _ in 0..25 {
        refuse(&mut subscription, asked + Micros(2 * SECOND));
        let again = make_next_call(&mut subscription);
        (cycle, asked) = (again - asked, again);
    }
    assert!(cycle <= Micros(4 * SECOND), "{cycle:?}");
    // The registry cannot be reached.
    let (mut subscription, mut asked) = overloaded();
    for _ in 0..4 {
        subscription.call_or_watch_failed(asked, asked, CallFailure::NoConnection);
        let again = make_next_call(&mut subscription);
        (cycle, asked) = (again - asked, again);
    }
    assert!(cycle <= Micros(4 * SECOND), "{cycle:?}");
}

/// Guards against a small fleet, or one larger than the settings say, whose processes all keep calling at the
/// same moment.
#[test]
fn processes_that_call_at_the_same_time_spread_out_within_a_cycle() {
    let mut second: Vec<i64> = (0..100)
        .map(|seed| {
            let mut subscription = shared(MID_SIZE, seed);
            let asked = make_next_call(&mut subscription);
            refuse(&mut subscription, asked);
            make_next_call(&mut subscription).0
        })
        .collect();
    second.sort_unstable();
    assert!(second[90] - second[10] >= 1_500_000, "{second:?}");
}

#[test]
fn a_larger_fleet_calls_less_often() {
    let cycle = |instances| {
        let mut subscription = shared(instances, 9);
        let asked = make_next_call(&mut subscription);
        refuse(&mut subscription, asked);
        (make_next_call(&mut subscription) - asked).0
    };
    assert!(cycle(1_000) > 12 * SECOND, "{}", cycle(1_000));
    let mut subscription = shared(1, 9);
    subscription.set_instances(1_000);
    let asked = make_next_call(&mut subscription);
    refuse(&mut subscription, asked);
    assert!((make_next_call(&mut subscription) - asked).0 > 12 * SECOND);
}

#[test]
fn an_exclusive_registry_is_called_again_at_once() {
    let mut subscription = Subscription::new(Registry::Exclusive, 1, Micros(0));
    let asked = make_next_call(&mut subscription);
    assert_eq!(asked, Micros(0));
    refuse(&mut subscription, Micros(SECOND));
    assert!((make_next_call(&mut subscription).0 - SECOND) <= SECOND / 5);
    subscription.update_received();
    assert!(refuse(&mut subscription, Micros(2 * SECOND)));
    assert_eq!(make_next_call(&mut subscription), Micros(2 * SECOND));
}

/// After a lost watch or an address change of the registry the call is made early enough that the answer
/// comes before the change it reports becomes binding, 6 s later, if the calls of the whole fleet fit.
#[test]
fn a_lost_watch_is_requested_again_in_time() {
    for instances in [1, 10, 100, 300] {
        for seed in 0..100 {
            let mut subscription = shared(instances, seed);
            make_next_call(&mut subscription);
            subscription.update_received();
            let lost = Micros(100 * SECOND);
            assert!(refuse(&mut subscription, lost), "a watch was open");
            assert!(!refuse(&mut subscription, lost), "no watch was open");
            assert!(make_next_call(&mut subscription) - lost <= Micros(5_600_000));
            subscription.update_received();
            subscription.registry_moved(lost);
            assert!(!subscription.is_open());
            assert!(make_next_call(&mut subscription) - lost <= Micros(5_600_000));
        }
    }
}

/// A subscription without an open watch, which received all changes up to the returned time.
fn without_watch() -> (Subscription, Micros) {
    let mut subscription = shared(MID_SIZE, 1).with_list_lease(Some(Micros(6 * SECOND)));
    make_next_call(&mut subscription);
    subscription.update_received();
    let lost = Micros(100 * SECOND);
    subscription.call_or_watch_failed(lost + Micros(3 * SECOND), lost, CallFailure::NoConnection);
    (subscription, lost)
}

#[test]
fn a_list_is_stale_from_when_missed_changes_are_binding_until_an_update_comes() {
    let (subscription, lost) = without_watch();
    let stale_at = |after: i64| subscription.is_stale(lost + Micros(after * SECOND));
    assert_eq!([0, 5, 6, 15, 16, 600].map(stale_at), [false, false, true, true, true, true]);
    let (mut subscription, lost) = without_watch();
    // A watch that was opened by another party counts as well.
    subscription.update_received();
    assert!(!subscription.is_stale(lost + Micros(10 * SECOND)) && subscription.is_open());
}

#[test]
fn without_a_lease_no_list_is_stale() {
    let (subscription, lost) = without_watch();
    let subscription = subscription.with_list_lease(None);
    assert!((0..100).all(|after| !subscription.is_stale(lost + Micros(after * SECOND))));
}

#[test]
fn a_call_refused_after_waiting_or_without_connection_renews_the_lease() {
    for failure in [CallFailure::Busy, CallFailure::NoConnection] {
        let (mut subscription, _) = without_watch();
        let asked = make_next_call(&mut subscription);
        subscription.call_or_watch_failed(asked + Micros(2 * SECOND), asked, failure);
        assert!(!subscription.is_stale(asked + Micros(6 * SECOND - 1)), "{failure:?}");
        assert!(subscription.is_stale(asked + Micros(6 * SECOND)), "{failure:?}");
        // The next call has been in flight for longer than an answer takes.
        let again = make_next_call(&mut subscription);
        assert!(!subscription.is_stale(again + Micros(2 * SECOND)), "{failure:?}");
    }
}

#[test]
fn an_overloaded_registry_renews_no_lease() {
    let (mut subscription, _) = without_watch();
    let first = make_next_call(&mut subscription);
    refuse(&mut subscription, first + Micros(2 * SECOND));
    let second = make_next_call(&mut subscription);
    refuse(&mut subscription, second);
    assert!(subscription.is_stale(first + Micros(6 * SECOND)));
}

/// Guards against using an old list because this process had no socket to call with.
#[test]
fn a_call_without_a_socket_renews_no_lease_and_is_soon_repeated() {
    let (mut subscription, lost) = without_watch();
    let mut asked = make_next_call(&mut subscription);
    for _ in 0..20 {
        subscription.call_or_watch_failed(asked, asked, CallFailure::NoSocket);
        let again = make_next_call(&mut subscription);
        assert!((again - asked).0 <= SECOND, "{asked:?} {again:?}");
        asked = again;
    }
    assert!(subscription.is_stale(lost + Micros(6 * SECOND)));
}

#[test]
fn a_call_that_reached_no_registry_is_soon_repeated_but_only_twice() {
    let mut subscription = shared(180, 4);
    let mut asked = make_next_call(&mut subscription);
    for _ in 0..2 {
        subscription.call_or_watch_failed(asked + Micros(SECOND), asked, CallFailure::NoConnection);
        let again = make_next_call(&mut subscription);
        assert!((again - asked).0 <= 2 * SECOND, "{asked:?} {again:?}");
        asked = again;
    }
    subscription.call_or_watch_failed(asked, asked, CallFailure::NoConnection);
    assert!((make_next_call(&mut subscription) - asked).0 >= 3 * SECOND);
}

/// Guards against early repeats of a large fleet coinciding when the registry returns.
#[test]
fn in_a_large_fleet_a_call_that_reached_no_registry_is_repeated_a_cycle_later() {
    let mut subscription = shared(300, 4);
    let asked = make_next_call(&mut subscription);
    subscription.call_or_watch_failed(asked + Micros(SECOND), asked, CallFailure::NoConnection);
    assert!((make_next_call(&mut subscription) - asked).0 >= 5 * SECOND);
}
