//! When a watch is asked for: by one process, and by many that share a registry.

use garnettally_model::{Micros, Settings};
use garnettally_subscription::{Registry, Subscription};

const SECOND: i64 = 1_000_000;

fn shared(instances: u32, seed: u64) -> Subscription {
    Subscription::new(Registry::Shared { instances }, seed, Micros(0))
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
    let pushed = Settings { must_ask: false, ..Settings::default() };
    assert!(Subscription::of(&pushed, 1, Micros(0)).is_none());
    let own = Settings { must_ask: true, ask_within: Micros(0), ..Settings::default() };
    let own = Subscription::of(&own, 1, Micros(7)).expect("it asks");
    assert_eq!(own.next_timeout(), Some(Micros(7)));
    let asked = Settings { must_ask: true, instances: 100, ..Settings::default() };
    let firsts = (0..50).map(|seed| Subscription::of(&asked, seed, Micros(0)).expect("it asks"));
    let firsts: Vec<i64> = firsts.map(|s| s.next_timeout().expect("it waits").0).collect();
    assert!(firsts.iter().any(|&at| at < SECOND / 2) && firsts.iter().any(|&at| at > SECOND), "{firsts:?}");
    assert!(firsts.iter().all(|&at| at <= 400_000 + 100 * 18_000), "{firsts:?}");
}

#[test]
fn nothing_is_asked_twice_while_a_call_is_out_or_a_watch_is_open() {
    let mut subscription = shared(1, 1);
    next_ask(&mut subscription);
    assert_eq!(subscription.next_timeout(), None);
    assert!(!subscription.poll(Micros(i64::MAX)));
    subscription.heard();
    assert!(subscription.is_open());
    assert_eq!(subscription.next_timeout(), None);
}

#[test]
fn a_failed_call_is_repeated_once_in_a_cycle_however_soon_it_failed() {
    for wait in [0, 2 * SECOND] {
        let mut subscription = shared(10, 3);
        let mut asked = next_ask(&mut subscription);
        for _ in 0..3 {
            subscription.failed(asked + Micros(wait), true);
            // More failures of the same call change nothing.
            let next = subscription.next_timeout();
            subscription.failed(asked + Micros(wait), true);
            assert_eq!(subscription.next_timeout(), next);
            let again = next_ask(&mut subscription);
            let cycle = (again - asked).0;
            assert!((3 * SECOND..=6 * SECOND + SECOND / 2).contains(&cycle), "{cycle}");
            asked = again;
        }
    }
}

#[test]
fn a_call_that_fails_late_leaves_a_pause() {
    let mut subscription = shared(10, 3);
    let asked = next_ask(&mut subscription);
    let failed = asked + Micros(20 * SECOND);
    subscription.failed(failed, true);
    let pause = (next_ask(&mut subscription) - failed).0;
    assert!((SECOND / 10..=SECOND / 5).contains(&pause), "{pause}");
}

#[test]
fn cycles_lengthen_up_to_a_bound_and_shorten_with_success() {
    let mut subscription = shared(10, 5);
    let mut asked = next_ask(&mut subscription);
    let mut cycles = Vec::new();
    for _ in 0..20 {
        subscription.failed(asked, true);
        let again = next_ask(&mut subscription);
        cycles.push((again - asked).0);
        asked = again;
    }
    let last = cycles[cycles.len() - 1];
    assert!((25 * SECOND..=39 * SECOND).contains(&last), "{cycles:?}");
    for _ in 0..10 {
        subscription.heard();
        subscription.failed(asked, true);
        asked = next_ask(&mut subscription);
    }
    subscription.failed(asked, true);
    let cycle = (next_ask(&mut subscription) - asked).0;
    assert!(cycle <= 6 * SECOND, "{cycle}");
}

#[test]
fn a_larger_fleet_asks_less_often() {
    let cycle = |instances| {
        let mut subscription = shared(instances, 9);
        let asked = next_ask(&mut subscription);
        subscription.failed(asked, true);
        (next_ask(&mut subscription) - asked).0
    };
    assert!(cycle(1_000) > 12 * SECOND, "{}", cycle(1_000));
    let mut subscription = shared(1, 9);
    subscription.set_instances(1_000);
    let asked = next_ask(&mut subscription);
    subscription.failed(asked, true);
    assert!((next_ask(&mut subscription) - asked).0 > 12 * SECOND);
}

#[test]
fn a_registry_of_its_own_is_asked_again_at_once() {
    let mut subscription = Subscription::new(Registry::Own, 1, Micros(0));
    let asked = next_ask(&mut subscription);
    assert_eq!(asked, Micros(0));
    subscription.failed(Micros(SECOND), true);
    assert!((next_ask(&mut subscription).0 - SECOND) <= SECOND / 5);
    subscription.heard();
    assert!(subscription.failed(Micros(2 * SECOND), true));
    assert_eq!(next_ask(&mut subscription), Micros(2 * SECOND));
}

#[test]
fn a_process_is_blind_without_a_watch_for_a_minute() {
    let mut subscription = shared(1, 1);
    assert!(subscription.is_blind(Micros(0)));
    next_ask(&mut subscription);
    subscription.heard();
    assert!(!subscription.is_blind(Micros(0)));
    assert!(subscription.failed(Micros(SECOND), true), "a watch was open");
    assert!(!subscription.failed(Micros(SECOND), true), "none was");
    assert!(subscription.is_blind(Micros(2 * SECOND)));
    assert!(!subscription.is_blind(Micros(62 * SECOND)));
    // A watch that somebody else opened counts as well.
    subscription.heard();
    assert!(subscription.is_open() && subscription.next_timeout().is_none());
}

#[test]
fn a_call_that_was_not_refused_is_soon_repeated_but_not_for_ever() {
    let mut subscription = shared(300, 4);
    let mut asked = next_ask(&mut subscription);
    for _ in 0..2 {
        subscription.failed(asked + Micros(SECOND), false);
        let again = next_ask(&mut subscription);
        assert!((again - asked).0 <= 2 * SECOND, "{asked:?} {again:?}");
        asked = again;
    }
    subscription.failed(asked, false);
    assert!((next_ask(&mut subscription) - asked).0 >= 3 * SECOND);
}
