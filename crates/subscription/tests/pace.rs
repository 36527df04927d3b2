//! When a watch is asked for: by one process, and by many that share a registry.

use garnettally_model::{CallFailure, Micros, Settings};
use garnettally_subscription::{Registry, Subscription};

const SECOND: i64 = 1_000_000;

/// A fleet that is not small, and whose calls fit the shortest cycle of such fleets; and a small one.
const MID_SIZE: u32 = 20;
const SMALL: u32 = 10;

fn shared(instances: u32, seed: u64) -> Subscription {
    Subscription::new(Registry::Shared { instances }, seed, Micros(0))
}

/// A call is refused, or the watch ends.
fn refuse(subscription: &mut Subscription, at: Micros) -> bool {
    subscription.call_or_watch_failed(at, at, CallFailure::Busy)
}

/// Lets time pass until the watch is asked for.
fn next_ask(subscription: &mut Subscription) -> Micros {
    let at = subscription.next_timeout().expect("it waits");
    assert!(!subscription.poll(Micros(at.0 - 1)));
    assert!(subscription.poll(at));
    at
}

#[test]
fn settings_tell_whether_and_whom_to_ask() {
    let pushed = Settings { watch_on_request: false, ..Settings::default() };
    assert!(Subscription::from_settings(&pushed, 1, Micros(0)).is_none());
    let own = Settings { watch_on_request: true, watch_request_within: Micros(0), ..Settings::default() };
    let own = Subscription::from_settings(&own, 1, Micros(7)).expect("it asks");
    assert_eq!(own.next_timeout(), Some(Micros(7)));
    let asked = Settings { watch_on_request: true, instances: 100, ..Settings::default() };
    let firsts = (0..50).map(|seed| Subscription::from_settings(&asked, seed, Micros(0)).expect("it asks"));
    let firsts: Vec<i64> = firsts.map(|s| s.next_timeout().expect("it waits").0).collect();
    assert!(firsts.iter().any(|&at| at < SECOND / 2) && firsts.iter().any(|&at| at > SECOND), "{firsts:?}");
    assert!(firsts.iter().all(|&at| at <= 400_000 + 100 * 22_000), "{firsts:?}");
}

#[test]
fn nothing_is_asked_twice_while_a_call_is_out_or_a_watch_is_open() {
    let mut subscription = shared(1, 1);
    next_ask(&mut subscription);
    assert_eq!(subscription.next_timeout(), None);
    assert!(!subscription.poll(Micros(i64::MAX)));
    subscription.update_received();
    assert!(subscription.is_open());
    assert_eq!(subscription.next_timeout(), None);
}

#[test]
fn a_failed_call_is_repeated_once_in_a_cycle_however_soon_it_failed() {
    for wait in [0, 2 * SECOND] {
        let mut subscription = shared(MID_SIZE, 3);
        let mut asked = next_ask(&mut subscription);
        for call in 0..20 {
            refuse(&mut subscription, asked + Micros(wait));
            // More failures of the same call change nothing.
            let next = subscription.next_timeout();
            refuse(&mut subscription, asked + Micros(wait));
            assert_eq!(subscription.next_timeout(), next);
            let again = next_ask(&mut subscription);
            let cycle = (again - asked).0;
            // Many may have met in the first.
            let least = if call == 0 { 2 * SECOND } else { 3_600_000 };
            assert!((least..=4 * SECOND).contains(&cycle), "{cycle}");
            asked = again;
        }
    }
}

/// Guards against a small fleet that waits for seconds though its registry has room: one call in four that is answered has to
/// be heard before what it tells binds.
#[test]
fn a_small_fleet_asks_every_second_and_every_four_under_overload() {
    let mut subscription = shared(SMALL, 3);
    let mut asked = next_ask(&mut subscription);
    for call in 0..20 {
        refuse(&mut subscription, asked);
        let again = next_ask(&mut subscription);
        let cycle = (again - asked).0;
        let least = if call == 0 { SECOND / 2 } else { 900_000 };
        assert!((least..=SECOND).contains(&cycle), "{cycle}");
        asked = again;
    }
    for call in 0..20 {
        refuse(&mut subscription, asked + Micros(call % 2 * 2 * SECOND));
        let again = next_ask(&mut subscription);
        assert!((again - asked).0 <= 4 * SECOND, "{asked:?} {again:?}");
        asked = again;
    }
    subscription.update_received();
    refuse(&mut subscription, asked);
    asked = next_ask(&mut subscription);
    subscription.update_received();
    refuse(&mut subscription, asked);
    let again = next_ask(&mut subscription);
    assert!((again - asked).0 <= 2 * SECOND, "{asked:?} {again:?}");
}

#[test]
fn a_call_that_fails_late_leaves_a_pause() {
    let mut subscription = shared(MID_SIZE, 3);
    let asked = next_ask(&mut subscription);
    let failed = asked + Micros(20 * SECOND);
    refuse(&mut subscription, failed);
    let pause = (next_ask(&mut subscription) - failed).0;
    assert!((SECOND / 10..=SECOND / 5).contains(&pause), "{pause}");
}

/// A registry that is overloaded refuses some calls at once and others after they have waited.
#[test]
fn overload_lengthens_cycles_up_to_a_bound_and_success_shortens_them() {
    let mut subscription = shared(MID_SIZE, 5);
    let mut asked = next_ask(&mut subscription);
    let mut cycles = Vec::new();
    for call in 1..21 {
        refuse(&mut subscription, asked + Micros(call % 2 * 2 * SECOND));
        let again = next_ask(&mut subscription);
        cycles.push((again - asked).0);
        asked = again;
    }
    assert!(cycles[0] <= 4 * SECOND && cycles[1] >= 7 * SECOND, "{cycles:?}");
    let last = cycles[cycles.len() - 1];
    assert!((28 * SECOND..=32 * SECOND).contains(&last), "{cycles:?}");
    for _ in 0..10 {
        subscription.update_received();
        refuse(&mut subscription, asked);
        asked = next_ask(&mut subscription);
    }
    refuse(&mut subscription, asked);
    let cycle = (next_ask(&mut subscription) - asked).0;
    assert!(cycle <= 4 * SECOND, "{cycle}");
}

/// Guards against a fleet that stays slow when an outage follows an overload.
#[test]
fn cycles_shorten_again_once_a_registry_is_down() {
    let overloaded = || {
        let mut subscription = shared(MID_SIZE, 5);
        let mut asked = next_ask(&mut subscription);
        for call in 1..7 {
            refuse(&mut subscription, asked + Micros(call % 2 * 2 * SECOND));
            asked = next_ask(&mut subscription);
        }
        (subscription, asked)
    };
    // It refuses all in the same manner.
    let (mut subscription, mut asked) = overloaded();
    let mut cycle = Micros(0);
    for _ in 0..25 {
        refuse(&mut subscription, asked + Micros(2 * SECOND));
        let again = next_ask(&mut subscription);
        (cycle, asked) = (again - asked, again);
    }
    assert!(cycle <= Micros(4 * SECOND), "{cycle:?}");
    // Or nobody is there.
    let (mut subscription, mut asked) = overloaded();
    for _ in 0..4 {
        subscription.call_or_watch_failed(asked, asked, CallFailure::NoConnection);
        let again = next_ask(&mut subscription);
        (cycle, asked) = (again - asked, again);
    }
    assert!(cycle <= Micros(4 * SECOND), "{cycle:?}");
}

/// Guards against a small fleet, or one larger than it is told, all of which asks in one moment for ever.
#[test]
fn processes_that_met_once_part_within_a_cycle() {
    let mut second: Vec<i64> = (0..100)
        .map(|seed| {
            let mut subscription = shared(MID_SIZE, seed);
            let asked = next_ask(&mut subscription);
            refuse(&mut subscription, asked);
            next_ask(&mut subscription).0
        })
        .collect();
    second.sort_unstable();
    assert!(second[90] - second[10] >= 1_500_000, "{second:?}");
}

#[test]
fn a_larger_fleet_asks_less_often() {
    let cycle = |instances| {
        let mut subscription = shared(instances, 9);
        let asked = next_ask(&mut subscription);
        refuse(&mut subscription, asked);
        (next_ask(&mut subscription) - asked).0
    };
    assert!(cycle(1_000) > 12 * SECOND, "{}", cycle(1_000));
    let mut subscription = shared(1, 9);
    subscription.set_instances(1_000);
    let asked = next_ask(&mut subscription);
    refuse(&mut subscription, asked);
    assert!((next_ask(&mut subscription) - asked).0 > 12 * SECOND);
}

#[test]
fn a_registry_of_its_own_is_asked_again_at_once() {
    let mut subscription = Subscription::new(Registry::Exclusive, 1, Micros(0));
    let asked = next_ask(&mut subscription);
    assert_eq!(asked, Micros(0));
    refuse(&mut subscription, Micros(SECOND));
    assert!((next_ask(&mut subscription).0 - SECOND) <= SECOND / 5);
    subscription.update_received();
    assert!(refuse(&mut subscription, Micros(2 * SECOND)));
    assert_eq!(next_ask(&mut subscription), Micros(2 * SECOND));
}

/// A watch that is lost, and a registry that moves, are asked for early enough that the answer comes before what it
/// tells binds, 6 s later, where the calls of all fit.
#[test]
fn a_lost_watch_is_asked_for_in_time() {
    for instances in [1, 10, 100, 300] {
        for seed in 0..100 {
            let mut subscription = shared(instances, seed);
            next_ask(&mut subscription);
            subscription.update_received();
            let lost = Micros(100 * SECOND);
            assert!(refuse(&mut subscription, lost), "a watch was open");
            assert!(!refuse(&mut subscription, lost), "none was");
            assert!(next_ask(&mut subscription) - lost <= Micros(5_600_000));
            subscription.update_received();
            subscription.registry_moved(lost);
            assert!(!subscription.is_open());
            assert!(next_ask(&mut subscription) - lost <= Micros(5_600_000));
        }
    }
}

/// A process that has an open watch no more, since the time that is returned.
fn without_watch() -> (Subscription, Micros) {
    let mut subscription = shared(MID_SIZE, 1).with_list_lease(Some(Micros(6 * SECOND)));
    next_ask(&mut subscription);
    subscription.update_received();
    let lost = Micros(100 * SECOND);
    subscription.call_or_watch_failed(lost + Micros(3 * SECOND), lost, CallFailure::NoConnection);
    (subscription, lost)
}

#[test]
fn a_list_is_stale_from_when_what_was_missed_binds_until_a_list_comes() {
    let (subscription, lost) = without_watch();
    let stale_at = |after: i64| subscription.is_stale(lost + Micros(after * SECOND));
    assert_eq!([0, 5, 6, 15, 16, 600].map(stale_at), [false, false, true, true, true, true]);
    let (mut subscription, lost) = without_watch();
    // A watch that somebody else opened counts as well.
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
fn a_registry_that_was_out_of_reach_when_it_was_asked_has_told_nothing() {
    for failure in [CallFailure::Busy, CallFailure::NoConnection] {
        let (mut subscription, _) = without_watch();
        let asked = next_ask(&mut subscription);
        subscription.call_or_watch_failed(asked + Micros(2 * SECOND), asked, failure);
        assert!(!subscription.is_stale(asked + Micros(6 * SECOND - 1)), "{failure:?}");
        assert!(subscription.is_stale(asked + Micros(6 * SECOND)), "{failure:?}");
        // The next call has been out for too long to be answered.
        let again = next_ask(&mut subscription);
        assert!(!subscription.is_stale(again + Micros(2 * SECOND)), "{failure:?}");
    }
}

#[test]
fn an_overloaded_registry_may_have_told_others() {
    let (mut subscription, _) = without_watch();
    let first = next_ask(&mut subscription);
    refuse(&mut subscription, first + Micros(2 * SECOND));
    let second = next_ask(&mut subscription);
    refuse(&mut subscription, second);
    assert!(subscription.is_stale(first + Micros(6 * SECOND)));
}

/// Guards against trust in an old list because this process had no socket to ask with.
#[test]
fn a_call_without_a_socket_tells_nothing_of_the_registry_and_is_soon_repeated() {
    let (mut subscription, lost) = without_watch();
    let mut asked = next_ask(&mut subscription);
    for _ in 0..20 {
        subscription.call_or_watch_failed(asked, asked, CallFailure::NoSocket);
        let again = next_ask(&mut subscription);
        assert!((again - asked).0 <= SECOND, "{asked:?} {again:?}");
        asked = again;
    }
    assert!(subscription.is_stale(lost + Micros(6 * SECOND)));
}

#[test]
fn a_call_that_reached_nobody_is_soon_repeated_but_not_for_ever() {
    let mut subscription = shared(180, 4);
    let mut asked = next_ask(&mut subscription);
    for _ in 0..2 {
        subscription.call_or_watch_failed(asked + Micros(SECOND), asked, CallFailure::NoConnection);
        let again = next_ask(&mut subscription);
        assert!((again - asked).0 <= 2 * SECOND, "{asked:?} {again:?}");
        asked = again;
    }
    subscription.call_or_watch_failed(asked, asked, CallFailure::NoConnection);
    assert!((next_ask(&mut subscription) - asked).0 >= 3 * SECOND);
}

/// Guards against repeats of a large fleet that meet when the registry returns.
#[test]
fn in_a_large_fleet_a_call_that_reached_nobody_is_repeated_a_cycle_later() {
    let mut subscription = shared(300, 4);
    let asked = next_ask(&mut subscription);
    subscription.call_or_watch_failed(asked + Micros(SECOND), asked, CallFailure::NoConnection);
    assert!((next_ask(&mut subscription) - asked).0 >= 5 * SECOND);
}
