//! What each kind of failure proves, and what follows for the list: the table of docs/design/discovery.md.

use garnettally_model::{CallFailure, Micros};
use garnettally_subscription::{ListStanding, Registry, Subscription};

const SECOND: i64 = 1_000_000;
const LEASE: Micros = Micros(6 * SECOND);

fn starting() -> Subscription {
    Subscription::new(Registry::Shared { instances: 10 }, 1, Micros(0)).with_list_lease(Some(LEASE))
}

/// Lets time pass until the watch is asked for.
fn next_ask(subscription: &mut Subscription) -> Micros {
    let at = subscription.next_timeout().expect("it waits");
    assert!(subscription.poll(at));
    at
}

/// One whose watch, on which all has come up to the time that is returned, ended like this one second later.
fn lost(how: CallFailure) -> (Subscription, Micros) {
    let mut subscription = starting();
    next_ask(&mut subscription);
    subscription.heard();
    let complete = Micros(100 * SECOND);
    subscription.failed(complete + Micros(SECOND), complete, how);
    (subscription, complete)
}

fn standing(subscription: &Subscription, at: Micros) -> ListStanding {
    subscription.list_report(at).standing
}

const UP: [CallFailure; 3] =
    [CallFailure::IncompleteAnswer, CallFailure::Unreadable, CallFailure::OtherStatus];
const DOWN: [CallFailure; 1] = [CallFailure::NoConnection];
const UNCLEAR: [CallFailure; 3] = [CallFailure::Busy, CallFailure::ClosedBeforeAnswer, CallFailure::NoAnswer];

/// A call that fails so two seconds after it was made; when it was made.
fn fail_call(subscription: &mut Subscription, failure: CallFailure) -> Micros {
    let asked = next_ask(subscription);
    subscription.failed(asked + Micros(2 * SECOND), asked, failure);
    asked
}

#[test]
fn the_list_of_the_start_is_used_only_once_nobody_can_reach_the_registry() {
    let after = |failure| {
        let mut subscription = starting();
        assert_eq!(standing(&subscription, Micros(0)), ListStanding::Unverified);
        let asked = fail_call(&mut subscription, failure);
        standing(&subscription, asked + Micros(2 * SECOND))
    };
    for failure in DOWN {
        assert_eq!(after(failure), ListStanding::Leased, "{failure:?}");
    }
    for failure in UP {
        assert_eq!(after(failure), ListStanding::Stale, "{failure:?}");
    }
    for failure in UNCLEAR {
        assert_eq!(after(failure), ListStanding::Unverified, "{failure:?}");
    }
    assert_eq!(after(CallFailure::NoSocket), ListStanding::Unverified);
}

/// Guards against a crowd that lasts, and refuses all calls alike, passing for an outage.
#[test]
fn no_number_of_refusals_lets_the_list_of_the_start_into_use() {
    for failure in UNCLEAR {
        let mut subscription = starting();
        for call in 0..50 {
            let asked = fail_call(&mut subscription, failure);
            let found = standing(&subscription, asked + Micros(2 * SECOND));
            assert_eq!(found, ListStanding::Unverified, "{failure:?}, call {call}");
        }
        fail_call(&mut subscription, CallFailure::NoConnection);
        assert_eq!(subscription.list_report(Micros(0)).standing, ListStanding::Leased, "{failure:?}");
    }
}

#[test]
fn a_call_that_meets_a_registry_out_of_reach_renews_the_lease() {
    for failure in DOWN.into_iter().chain(UNCLEAR) {
        let (mut subscription, _) = lost(CallFailure::WatchEnded);
        let asked = fail_call(&mut subscription, failure);
        let good = asked + LEASE - Micros(1);
        assert_eq!(standing(&subscription, good), ListStanding::Leased, "{failure:?}");
        assert_eq!(standing(&subscription, asked + LEASE), ListStanding::Stale, "{failure:?}");
    }
}

/// Guards against an answer that was begun, or that cannot be used, passing for an outage.
#[test]
fn a_call_that_meets_a_registry_in_reach_renews_no_lease_and_neither_do_later_ones() {
    for failure in UP {
        let (mut subscription, complete) = lost(CallFailure::WatchEnded);
        fail_call(&mut subscription, failure);
        assert_eq!(standing(&subscription, complete + LEASE), ListStanding::Stale, "{failure:?}");
        for later in DOWN.into_iter().chain(UNCLEAR).chain([CallFailure::NoSocket]) {
            let asked = fail_call(&mut subscription, later);
            let ended = (asked + Micros(2 * SECOND)).max(complete + LEASE);
            assert_eq!(standing(&subscription, ended), ListStanding::Stale, "{failure:?}, {later:?}");
        }
        next_ask(&mut subscription);
        subscription.heard();
        assert_eq!(standing(&subscription, complete + LEASE), ListStanding::Watched);
    }
}

/// Guards against calls that fail after a silence, or behind half a line, and renew the lease of a list that lacks changes.
#[test]
fn what_an_open_watch_may_have_missed_binds_whatever_later_calls_meet() {
    for how in [CallFailure::WatchSilent, CallFailure::WatchCut, CallFailure::Unreadable] {
        for later in DOWN.into_iter().chain(UNCLEAR) {
            let (mut subscription, complete) = lost(how);
            let good = complete + LEASE - Micros(1);
            assert_eq!(standing(&subscription, good), ListStanding::Leased, "{how:?}");
            let mut asked = fail_call(&mut subscription, later);
            while asked < complete + LEASE {
                asked = fail_call(&mut subscription, later);
            }
            assert_eq!(standing(&subscription, asked), ListStanding::Stale, "{how:?}, {later:?}");
            // Nor does a call that is out for long.
            let again = next_ask(&mut subscription);
            let long_out = again + Micros(3 * SECOND);
            assert_eq!(standing(&subscription, long_out), ListStanding::Stale, "{how:?}, {later:?}");
        }
    }
}

#[test]
fn a_call_that_is_out_for_long_is_taken_for_failed_until_its_answer_begins() {
    let (mut subscription, _) = lost(CallFailure::WatchEnded);
    fail_call(&mut subscription, CallFailure::Busy);
    // Past the lease of the one before.
    let asked = next_ask(&mut subscription);
    let late = asked + Micros(5 * SECOND);
    assert_eq!(standing(&subscription, late), ListStanding::Leased);
    subscription.answering();
    assert_eq!(standing(&subscription, late), ListStanding::Stale);
}

/// Guards against a move of discovery that gives a list a new life.
#[test]
fn a_move_of_the_registry_renews_no_lease() {
    for how in [CallFailure::WatchEnded, CallFailure::WatchSilent] {
        let (mut subscription, complete) = lost(how);
        for moves in 1..=5 {
            subscription.moved(complete + Micros(moves * SECOND));
        }
        assert_eq!(standing(&subscription, complete + LEASE - Micros(1)), ListStanding::Leased);
        assert_eq!(standing(&subscription, complete + LEASE), ListStanding::Stale);
    }
    let mut subscription = starting();
    subscription.moved(Micros(SECOND));
    assert_eq!(standing(&subscription, Micros(SECOND)), ListStanding::Unverified);
}

/// New settings make a new instance: what is known of the list is as good as it was.
#[test]
fn whoever_goes_on_from_another_knows_what_that_one_knew() {
    let (mut before, complete) = lost(CallFailure::WatchSilent);
    fail_call(&mut before, CallFailure::NoConnection);
    let mut after = starting();
    after.go_on_from(&before);
    assert_eq!(standing(&after, complete + LEASE - Micros(1)), ListStanding::Leased);
    assert_eq!(standing(&after, complete + LEASE), ListStanding::Stale);
    let mut after = starting();
    after.go_on_from(&starting());
    assert_eq!(standing(&after, Micros(0)), ListStanding::Unverified);
}

/// However large the fleet, a process asks soon: until then it has no list that it may use.
#[test]
fn the_first_call_comes_soon_in_a_fleet_of_any_size() {
    for instances in [1, 66, 220, 990, 3_200] {
        for seed in 0..50 {
            let subscription = Subscription::new(Registry::Shared { instances }, seed, Micros(0));
            let first = subscription.next_timeout().expect("it waits");
            assert!(first <= Micros(5_600_000), "{instances}: {first:?}");
        }
    }
}
