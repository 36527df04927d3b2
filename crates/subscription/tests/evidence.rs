//! What each kind of failure proves, and what follows for the list: the table of docs/design/discovery.md.

use garnettally_model::{CallFailure, Micros};
use garnettally_subscription::{ListFreshness, Registry, Subscription};

const SECOND: i64 = 1_000_000;
const LEASE: Micros = Micros(6 * SECOND);

/// The loss of a watch is good for so long in a small fleet.
const AFTER_LOSS: Micros = Micros(2 * SECOND);

/// A small fleet, and one that may crowd its registry.
const SMALL: u32 = 10;
const LARGE: u32 = 100;

fn starting_in(instances: u32) -> Subscription {
    Subscription::new(Registry::Shared { instances }, 1, Micros(0)).with_list_lease(Some(LEASE))
}

fn starting() -> Subscription {
    starting_in(SMALL)
}

/// Lets time pass until the watch is asked for.
fn next_ask(subscription: &mut Subscription) -> Micros {
    let at = subscription.next_timeout().expect("it waits");
    assert!(subscription.poll(at));
    at
}

/// One whose watch, on which all has come up to the time that is returned, ended like this one second later.
fn lost(how: CallFailure) -> (Subscription, Micros) {
    lost_in(SMALL, how)
}

fn lost_in(instances: u32, how: CallFailure) -> (Subscription, Micros) {
    let mut subscription = starting_in(instances);
    next_ask(&mut subscription);
    subscription.update_received();
    let complete = Micros(100 * SECOND);
    subscription.call_or_watch_failed(complete + Micros(SECOND), complete, how);
    (subscription, complete)
}

fn standing(subscription: &Subscription, at: Micros) -> ListFreshness {
    subscription.list_report(at).freshness
}

const UP: [CallFailure; 3] =
    [CallFailure::IncompleteAnswer, CallFailure::Unreadable, CallFailure::OtherStatus];
const DOWN: [CallFailure; 1] = [CallFailure::NoConnection];
const UNCLEAR: [CallFailure; 3] = [CallFailure::Busy, CallFailure::ClosedBeforeAnswer, CallFailure::NoAnswer];

/// A call that fails so two seconds after it was made; when it was made.
fn fail_call(subscription: &mut Subscription, failure: CallFailure) -> Micros {
    let asked = next_ask(subscription);
    subscription.call_or_watch_failed(asked + Micros(2 * SECOND), asked, failure);
    asked
}

#[test]
fn the_list_of_the_start_is_used_only_once_nobody_can_reach_the_registry() {
    let after = |failure| {
        let mut subscription = starting();
        assert_eq!(standing(&subscription, Micros(0)), ListFreshness::Unverified);
        let asked = fail_call(&mut subscription, failure);
        standing(&subscription, asked + Micros(2 * SECOND))
    };
    for failure in DOWN {
        assert_eq!(after(failure), ListFreshness::Leased, "{failure:?}");
    }
    for failure in UP {
        assert_eq!(after(failure), ListFreshness::Stale, "{failure:?}");
    }
    for failure in UNCLEAR {
        assert_eq!(after(failure), ListFreshness::Unverified, "{failure:?}");
    }
    assert_eq!(after(CallFailure::NoSocket), ListFreshness::Unverified);
}

/// Guards against a crowd that lasts, and refuses all calls alike, passing for an outage.
#[test]
fn no_number_of_refusals_lets_the_list_of_the_start_into_use() {
    for failure in UNCLEAR {
        let mut subscription = starting();
        for call in 0..50 {
            let asked = fail_call(&mut subscription, failure);
            let found = standing(&subscription, asked + Micros(2 * SECOND));
            assert_eq!(found, ListFreshness::Unverified, "{failure:?}, call {call}");
        }
        fail_call(&mut subscription, CallFailure::NoConnection);
        assert_eq!(subscription.list_report(Micros(0)).freshness, ListFreshness::Leased, "{failure:?}");
    }
}

/// Guards against the end of a watch that passes for proof that nothing was missed: it may end in place of a change.
#[test]
fn the_loss_of_a_watch_is_good_for_the_time_of_the_next_answer() {
    let good_for = |instances, how| {
        let (subscription, complete) = lost_in(instances, how);
        let now = complete + Micros(SECOND);
        let is_stale = |after: &i64| subscription.is_stale(now + Micros(after * SECOND / 10));
        (0..100).find(is_stale).expect("it ends")
    };
    let incomplete =
        [CallFailure::WatchEnded, CallFailure::WatchSilent, CallFailure::WatchCut, CallFailure::Unreadable];
    for how in incomplete {
        assert_eq!((good_for(SMALL, how), good_for(LARGE, how)), (20, 22), "{how:?}");
        // Never for longer than the lease after the last line.
        assert_eq!(good_for(300, how), 50, "{how:?}");
    }
    let broken = CallFailure::WatchBroken;
    assert_eq!((good_for(SMALL, broken), good_for(LARGE, broken)), (20, 50));
}

#[test]
fn a_call_that_meets_nobody_renews_the_lease() {
    for (instances, how) in [(SMALL, CallFailure::WatchEnded), (LARGE, CallFailure::WatchBroken)] {
        let (mut subscription, _) = lost_in(instances, how);
        for _ in 0..50 {
            let asked = fail_call(&mut subscription, DOWN[0]);
            let good = asked + LEASE - Micros(1);
            assert_eq!(standing(&subscription, good), ListFreshness::Leased, "{how:?}");
            assert_eq!(standing(&subscription, asked + LEASE), ListFreshness::Stale, "{how:?}");
        }
    }
}

/// Guards against doubt without end: a registry that is up and refuses this process alone passes for one that is down.
#[test]
fn doubt_ends_with_the_lease_in_a_small_fleet_and_after_90_s_in_any() {
    const DOUBT_MOST: Micros = Micros(90 * SECOND);
    for failure in UNCLEAR {
        let (mut subscription, complete) = lost(CallFailure::WatchBroken);
        fail_call(&mut subscription, failure);
        assert_eq!(standing(&subscription, complete + LEASE - Micros(1)), ListFreshness::Leased);
        for _ in 0..20 {
            let asked = fail_call(&mut subscription, failure).max(complete + LEASE);
            assert_eq!(standing(&subscription, asked), ListFreshness::Stale, "{failure:?}");
        }
        // In whose place the watch ended, a registry was up.
        let (mut subscription, complete) = lost_in(LARGE, CallFailure::WatchEnded);
        let asked = fail_call(&mut subscription, failure).max(complete + LEASE);
        assert_eq!(standing(&subscription, asked), ListFreshness::Stale, "{failure:?}");
    }
    let (mut subscription, complete) = lost_in(LARGE, CallFailure::WatchBroken);
    for _ in 0..50 {
        let asked = fail_call(&mut subscription, CallFailure::Busy);
        let good = asked.min(complete + DOUBT_MOST) + LEASE;
        assert_eq!(standing(&subscription, good - Micros(1)), ListFreshness::Leased);
        let ended = good.max(asked);
        assert_eq!(standing(&subscription, ended), ListFreshness::Stale, "{asked:?}");
    }
    // A call that is out does no more than one that has failed.
    let out_for_long = next_ask(&mut subscription) + Micros(3 * SECOND);
    assert_eq!(standing(&subscription, out_for_long), ListFreshness::Stale);
}

/// Guards against calls that come up and bring no byte passing for an outage: somebody is there, and does not hear this process.
#[test]
fn a_call_without_a_byte_keeps_no_list_past_the_lease_in_a_fleet_of_any_size() {
    for failure in [CallFailure::ClosedBeforeAnswer, CallFailure::NoAnswer] {
        for instances in [SMALL, LARGE, 300, 990] {
            let (mut subscription, complete) = lost_in(instances, CallFailure::WatchBroken);
            for _ in 0..20 {
                let asked = fail_call(&mut subscription, failure).max(complete + LEASE);
                assert_eq!(standing(&subscription, asked), ListFreshness::Stale, "{failure:?}, {instances}");
                // Nor does a call that is out for long.
                let out_for_long = asked + Micros(3 * SECOND);
                assert_eq!(standing(&subscription, out_for_long), ListFreshness::Stale, "{failure:?}");
            }
        }
    }
}

/// Guards against a list that was stale, and comes into use again by a call that was turned away: nothing new is known of it.
#[test]
fn a_list_that_is_stale_stays_so_whatever_calls_are_turned_away() {
    let (mut subscription, complete) = lost_in(990, CallFailure::WatchBroken);
    let mut asked = next_ask(&mut subscription);
    while asked < complete + LEASE {
        subscription.call_or_watch_failed(asked + Micros(2 * SECOND), asked, CallFailure::ClosedBeforeAnswer);
        asked = next_ask(&mut subscription);
    }
    subscription.call_or_watch_failed(asked + Micros(2 * SECOND), asked, CallFailure::Busy);
    assert_eq!(standing(&subscription, asked + Micros(2 * SECOND)), ListFreshness::Stale);
}

/// Guards against a call that is out, and so has a connection, passing for one that meets nobody in a small fleet.
#[test]
fn in_a_small_fleet_a_call_that_is_out_keeps_no_list_in_use() {
    let (mut subscription, _) = lost(CallFailure::WatchBroken);
    let asked = fail_call(&mut subscription, CallFailure::NoConnection);
    let out = next_ask(&mut subscription);
    let late = (out + Micros(3 * SECOND)).max(asked + LEASE);
    assert_eq!(standing(&subscription, late), ListFreshness::Stale);
}

/// Guards against an answer that was begun, or that cannot be used, passing for an outage.
#[test]
fn a_call_that_meets_a_registry_in_reach_renews_no_lease_and_neither_do_later_ones() {
    for failure in UP {
        let (mut subscription, complete) = lost(CallFailure::WatchEnded);
        fail_call(&mut subscription, failure);
        assert_eq!(standing(&subscription, complete + LEASE), ListFreshness::Stale, "{failure:?}");
        for later in DOWN.into_iter().chain(UNCLEAR).chain([CallFailure::NoSocket]) {
            let asked = fail_call(&mut subscription, later);
            let ended = (asked + Micros(2 * SECOND)).max(complete + LEASE);
            assert_eq!(standing(&subscription, ended), ListFreshness::Stale, "{failure:?}, {later:?}");
        }
        next_ask(&mut subscription);
        subscription.update_received();
        assert_eq!(standing(&subscription, complete + LEASE), ListFreshness::Watched);
    }
}

/// Guards against calls that fail after a silence, or behind half a line, and renew the lease of a list that lacks changes.
#[test]
fn what_an_open_watch_may_have_missed_binds_whatever_later_calls_meet() {
    for how in [CallFailure::WatchSilent, CallFailure::WatchCut, CallFailure::Unreadable] {
        for later in DOWN.into_iter().chain(UNCLEAR) {
            let (mut subscription, complete) = lost(how);
            let mut asked = fail_call(&mut subscription, later);
            while asked < complete + LEASE {
                asked = fail_call(&mut subscription, later);
            }
            assert_eq!(standing(&subscription, asked), ListFreshness::Stale, "{how:?}, {later:?}");
            // Nor does a call that is out for long.
            let again = next_ask(&mut subscription);
            let long_out = again + Micros(3 * SECOND);
            assert_eq!(standing(&subscription, long_out), ListFreshness::Stale, "{how:?}, {later:?}");
        }
    }
}

#[test]
fn a_call_that_is_out_for_long_is_taken_for_failed_until_its_answer_begins() {
    let (mut subscription, _) = lost_in(LARGE, CallFailure::WatchBroken);
    fail_call(&mut subscription, CallFailure::Busy);
    // Past the lease of the one before.
    let asked = next_ask(&mut subscription);
    let late = asked + Micros(5 * SECOND);
    assert_eq!(standing(&subscription, late), ListFreshness::Leased);
    subscription.answer_started();
    assert_eq!(standing(&subscription, late), ListFreshness::Stale);
}

/// Guards against a move of discovery that gives a list a new life.
#[test]
fn a_move_of_the_registry_renews_no_lease() {
    for how in [CallFailure::WatchEnded, CallFailure::WatchSilent] {
        let (mut subscription, complete) = lost(how);
        for moves in 1..=5 {
            subscription.registry_moved(complete + Micros(moves * SECOND));
        }
        let good = complete + Micros(SECOND) + AFTER_LOSS;
        assert_eq!(standing(&subscription, good - Micros(1)), ListFreshness::Leased);
        assert_eq!(standing(&subscription, good), ListFreshness::Stale);
    }
    let mut subscription = starting();
    subscription.registry_moved(Micros(SECOND));
    assert_eq!(standing(&subscription, Micros(SECOND)), ListFreshness::Unverified);
}

/// Guards against a process that is put off for as long as new configurations come one behind the other.
#[test]
fn a_series_of_moves_does_not_put_the_call_off() {
    for instances in [9, 300] {
        let (mut subscription, complete) = lost_in(instances, CallFailure::WatchBroken);
        let lost = complete + Micros(SECOND);
        let (mut now, mut asked) = (lost, None);
        while asked.is_none() && now < lost + Micros(30 * SECOND) {
            now += Micros(SECOND / 10);
            asked = subscription.poll(now).then_some(now);
            if asked.is_none() {
                subscription.registry_moved(now);
            }
        }
        assert!(asked.is_some_and(|at| at <= lost + Micros(6_200_000)), "{instances}: {asked:?}");
    }
}

/// New settings make a new instance: what is known of the list is as good as it was.
#[test]
fn whoever_goes_on_from_another_knows_what_that_one_knew() {
    let (mut before, complete) = lost(CallFailure::WatchSilent);
    fail_call(&mut before, CallFailure::NoConnection);
    let mut after = starting();
    after.continue_from(&before);
    let good = complete + Micros(SECOND) + AFTER_LOSS;
    assert_eq!(standing(&after, good - Micros(1)), ListFreshness::Leased);
    assert_eq!(standing(&after, good), ListFreshness::Stale);
    let mut after = starting();
    after.continue_from(&starting());
    assert_eq!(standing(&after, Micros(0)), ListFreshness::Unverified);
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
