//! Tests of what each kind of failure says about the registry, and what follows for the list: the table of
//! docs/design/discovery.md.

use garnettally_model::{CallFailure, Micros};
use garnettally_subscription::{ListFreshness, Registry, Subscription};

const SECOND: i64 = 1_000_000;
const LEASE: Micros = Micros(6 * SECOND);

/// For how long the list may be used after the loss of a watch in a small fleet.
const AFTER_LOSS: Micros = Micros(2 * SECOND);

/// The sizes of a small fleet, and of one that may overload its registry.
const SMALL: u32 = 10;
const LARGE: u32 = 100;

fn starting_in(instances: u32) -> Subscription {
    Subscription::new(Registry::Shared { instances }, 1, Micros(0)).with_list_lease(Some(LEASE))
}

fn starting() -> Subscription {
    starting_in(SMALL)
}

/// Advances to the time of the next call, and makes the call.
fn make_next_call(subscription: &mut Subscription) -> Micros {
    let at = subscription.next_timeout().expect("a call is planned");
    assert!(subscription.poll(at));
    at
}

/// A subscription whose watch received all changes up to the returned time, and ended with this failure one
/// second later.
fn with_lost_watch(failure: CallFailure) -> (Subscription, Micros) {
    with_lost_watch_in(SMALL, failure)
}

fn with_lost_watch_in(instances: u32, failure: CallFailure) -> (Subscription, Micros) {
    let mut subscription = starting_in(instances);
    make_next_call(&mut subscription);
    subscription.update_received();
    let complete = Micros(100 * SECOND);
    subscription.call_or_watch_failed(complete + Micros(SECOND), complete, failure);
    (subscription, complete)
}

fn freshness(subscription: &Subscription, at: Micros) -> ListFreshness {
    subscription.list_report(at).freshness
}

const REACHABLE: [CallFailure; 3] =
    [CallFailure::IncompleteAnswer, CallFailure::Unreadable, CallFailure::OtherStatus];
const UNREACHABLE: [CallFailure; 1] = [CallFailure::NoConnection];
const UNCLEAR: [CallFailure; 3] = [CallFailure::Busy, CallFailure::ClosedBeforeAnswer, CallFailure::NoAnswer];

/// Lets the next call fail two seconds after it was made. Returns the time when it was made.
fn fail_call(subscription: &mut Subscription, failure: CallFailure) -> Micros {
    let asked = make_next_call(subscription);
    subscription.call_or_watch_failed(asked + Micros(2 * SECOND), asked, failure);
    asked
}

#[test]
fn the_initial_list_is_used_only_once_the_registry_is_unreachable() {
    let after = |failure| {
        let mut subscription = starting();
        assert_eq!(freshness(&subscription, Micros(0)), ListFreshness::Unverified);
        let asked = fail_call(&mut subscription, failure);
        freshness(&subscription, asked + Micros(2 * SECOND))
    };
    for failure in UNREACHABLE {
        assert_eq!(after(failure), ListFreshness::Leased, "{failure:?}");
    }
    for failure in REACHABLE {
        assert_eq!(after(failure), ListFreshness::Stale, "{failure:?}");
    }
    for failure in UNCLEAR {
        assert_eq!(after(failure), ListFreshness::Unverified, "{failure:?}");
    }
    assert_eq!(after(CallFailure::NoSocket), ListFreshness::Unverified);
}

/// Guards against a lasting overload, in which all calls are refused alike, being taken for an outage.
#[test]
fn refusals_never_make_the_initial_list_usable() {
    for failure in UNCLEAR {
        let mut subscription = starting();
        for call in 0..50 {
            let asked = fail_call(&mut subscription, failure);
            let found = freshness(&subscription, asked + Micros(2 * SECOND));
            assert_eq!(found, ListFreshness::Unverified, "{failure:?}, call {call}");
        }
        fail_call(&mut subscription, CallFailure::NoConnection);
        assert_eq!(subscription.list_report(Micros(0)).freshness, ListFreshness::Leased, "{failure:?}");
    }
}

/// Guards against taking the end of a watch as evidence that no change was missed: the watch may end in place
/// of a change.
#[test]
fn after_a_lost_watch_the_list_is_usable_until_the_next_answer_is_due() {
    let usable_tenths = |instances, failure| {
        let (subscription, complete) = with_lost_watch_in(instances, failure);
        let now = complete + Micros(SECOND);
        let is_stale = |after: &i64| subscription.is_stale(now + Micros(after * SECOND / 10));
        (0..100).find(is_stale).expect("the lease ends")
    };
    let incomplete =
        [CallFailure::WatchEnded, CallFailure::WatchSilent, CallFailure::WatchCut, CallFailure::Unreadable];
    for failure in incomplete {
        assert_eq!((usable_tenths(SMALL, failure), usable_tenths(LARGE, failure)), (20, 22), "{failure:?}");
        // The list is never used for longer than the lease after the last line.
        assert_eq!(usable_tenths(300, failure), 50, "{failure:?}");
    }
    let broken = CallFailure::WatchBroken;
    assert_eq!((usable_tenths(SMALL, broken), usable_tenths(LARGE, broken)), (20, 50));
}

#[test]
fn a_call_that_finds_the_registry_unreachable_renews_the_lease() {
    for (instances, failure) in [(SMALL, CallFailure::WatchEnded), (LARGE, CallFailure::WatchBroken)] {
        let (mut subscription, _) = with_lost_watch_in(instances, failure);
        for _ in 0..50 {
            let asked = fail_call(&mut subscription, UNREACHABLE[0]);
            let good = asked + LEASE - Micros(1);
            assert_eq!(freshness(&subscription, good), ListFreshness::Leased, "{failure:?}");
            assert_eq!(freshness(&subscription, asked + LEASE), ListFreshness::Stale, "{failure:?}");
        }
    }
}

/// Guards against unclear failures renewing a lease without end: a registry that is up but refuses this
/// process alone would be taken for one that is down.
#[test]
fn unclear_failures_extend_no_lease_in_a_small_fleet_and_none_past_90_s_in_any() {
    const MAX_UNCLEAR_RENEWAL: Micros = Micros(90 * SECOND);
    for failure in UNCLEAR {
        let (mut subscription, complete) = with_lost_watch(CallFailure::WatchBroken);
        fail_call(&mut subscription, failure);
        assert_eq!(freshness(&subscription, complete + LEASE - Micros(1)), ListFreshness::Leased);
        for _ in 0..20 {
            let asked = fail_call(&mut subscription, failure).max(complete + LEASE);
            assert_eq!(freshness(&subscription, asked), ListFreshness::Stale, "{failure:?}");
        }
        // The registry was up when it ended the watch.
        let (mut subscription, complete) = with_lost_watch_in(LARGE, CallFailure::WatchEnded);
        let asked = fail_call(&mut subscription, failure).max(complete + LEASE);
        assert_eq!(freshness(&subscription, asked), ListFreshness::Stale, "{failure:?}");
    }
    let (mut subscription, complete) = with_lost_watch_in(LARGE, CallFailure::WatchBroken);
    for _ in 0..50 {
        let asked = fail_call(&mut subscription, CallFailure::Busy);
        let good = asked.min(complete + MAX_UNCLEAR_RENEWAL) + LEASE;
        assert_eq!(freshness(&subscription, good - Micros(1)), ListFreshness::Leased);
        let ended = good.max(asked);
        assert_eq!(freshness(&subscription, ended), ListFreshness::Stale, "{asked:?}");
    }
    // A call in flight renews no more than a failed one.
    let in_flight_for_long = make_next_call(&mut subscription) + Micros(3 * SECOND);
    assert_eq!(freshness(&subscription, in_flight_for_long), ListFreshness::Stale);
}

/// Guards against taking calls that connect but bring no byte for an outage: something accepts them, but does
/// not receive what this process sends.
#[test]
fn a_call_without_any_answer_extends_no_lease_in_a_fleet_of_any_size() {
    for failure in [CallFailure::ClosedBeforeAnswer, CallFailure::NoAnswer] {
        for instances in [SMALL, LARGE, 300, 990] {
            let (mut subscription, complete) = with_lost_watch_in(instances, CallFailure::WatchBroken);
            for _ in 0..20 {
                let asked = fail_call(&mut subscription, failure).max(complete + LEASE);
                assert_eq!(freshness(&subscription, asked), ListFreshness::Stale, "{failure:?}, {instances}");
                // A call that has been in flight for long renews the lease no more than a failed one.
                let in_flight_for_long = asked + Micros(3 * SECOND);
                assert_eq!(freshness(&subscription, in_flight_for_long), ListFreshness::Stale, "{failure:?}");
            }
        }
    }
}

/// Guards against a stale list becoming usable again through a refused call, which brings no new evidence
/// about the list.
#[test]
fn refused_calls_do_not_make_a_stale_list_usable() {
    let (mut subscription, complete) = with_lost_watch_in(990, CallFailure::WatchBroken);
    let mut asked = make_next_call(&mut subscription);
    while asked < complete + LEASE {
        subscription.call_or_watch_failed(asked + Micros(2 * SECOND), asked, CallFailure::ClosedBeforeAnswer);
        asked = make_next_call(&mut subscription);
    }
    subscription.call_or_watch_failed(asked + Micros(2 * SECOND), asked, CallFailure::Busy);
    assert_eq!(freshness(&subscription, asked + Micros(2 * SECOND)), ListFreshness::Stale);
}

/// Guards against taking a call in flight, which therefore has a connection, for one that reaches no registry
/// in a small fleet.
#[test]
fn in_a_small_fleet_a_call_in_flight_extends_no_lease() {
    let (mut subscription, _) = with_lost_watch(CallFailure::WatchBroken);
    let asked = fail_call(&mut subscription, CallFailure::NoConnection);
    let out = make_next_call(&mut subscription);
    let late = (out + Micros(3 * SECOND)).max(asked + LEASE);
    assert_eq!(freshness(&subscription, late), ListFreshness::Stale);
}

/// Guards against taking an answer that was begun, or that cannot be used, for an outage.
#[test]
fn after_a_call_reached_the_registry_no_failed_call_renews_the_lease() {
    for failure in REACHABLE {
        let (mut subscription, complete) = with_lost_watch(CallFailure::WatchEnded);
        fail_call(&mut subscription, failure);
        assert_eq!(freshness(&subscription, complete + LEASE), ListFreshness::Stale, "{failure:?}");
        for later in UNREACHABLE.into_iter().chain(UNCLEAR).chain([CallFailure::NoSocket]) {
            let asked = fail_call(&mut subscription, later);
            let ended = (asked + Micros(2 * SECOND)).max(complete + LEASE);
            assert_eq!(freshness(&subscription, ended), ListFreshness::Stale, "{failure:?}, {later:?}");
        }
        make_next_call(&mut subscription);
        subscription.update_received();
        assert_eq!(freshness(&subscription, complete + LEASE), ListFreshness::Watched);
    }
}

/// Guards against calls that fail after a watch went without data or ended with half a line, and renew the
/// lease of a list that lacks changes.
#[test]
fn after_a_watch_that_may_have_missed_changes_no_failed_call_renews_the_lease() {
    for failure in [CallFailure::WatchSilent, CallFailure::WatchCut, CallFailure::Unreadable] {
        for later in UNREACHABLE.into_iter().chain(UNCLEAR) {
            let (mut subscription, complete) = with_lost_watch(failure);
            let mut asked = fail_call(&mut subscription, later);
            while asked < complete + LEASE {
                asked = fail_call(&mut subscription, later);
            }
            assert_eq!(freshness(&subscription, asked), ListFreshness::Stale, "{failure:?}, {later:?}");
            // A call that has been in flight for long renews the lease no more than a failed one.
            let again = make_next_call(&mut subscription);
            let in_flight_for_long = again + Micros(3 * SECOND);
            assert_eq!(
                freshness(&subscription, in_flight_for_long),
                ListFreshness::Stale,
                "{failure:?}, {later:?}"
            );
        }
    }
}

#[test]
fn a_call_in_flight_for_long_counts_as_failed_until_its_answer_begins() {
    let (mut subscription, _) = with_lost_watch_in(LARGE, CallFailure::WatchBroken);
    fail_call(&mut subscription, CallFailure::Busy);
    // The time is past the lease that the call before renewed.
    let asked = make_next_call(&mut subscription);
    let late = asked + Micros(5 * SECOND);
    assert_eq!(freshness(&subscription, late), ListFreshness::Leased);
    subscription.answer_started();
    assert_eq!(freshness(&subscription, late), ListFreshness::Stale);
}

/// Guards against an address change of discovery renewing the lease of a list.
#[test]
fn an_address_change_of_the_registry_renews_no_lease() {
    for failure in [CallFailure::WatchEnded, CallFailure::WatchSilent] {
        let (mut subscription, complete) = with_lost_watch(failure);
        for moves in 1..=5 {
            subscription.registry_moved(complete + Micros(moves * SECOND));
        }
        let good = complete + Micros(SECOND) + AFTER_LOSS;
        assert_eq!(freshness(&subscription, good - Micros(1)), ListFreshness::Leased);
        assert_eq!(freshness(&subscription, good), ListFreshness::Stale);
    }
    let mut subscription = starting();
    subscription.registry_moved(Micros(SECOND));
    assert_eq!(freshness(&subscription, Micros(SECOND)), ListFreshness::Unverified);
}

/// Guards against a call that is postponed for as long as new configurations follow one another.
#[test]
fn a_series_of_address_changes_does_not_postpone_the_call() {
    for instances in [9, 300] {
        let (mut subscription, complete) = with_lost_watch_in(instances, CallFailure::WatchBroken);
        let lost_at = complete + Micros(SECOND);
        let (mut now, mut asked) = (lost_at, None);
        while asked.is_none() && now < lost_at + Micros(30 * SECOND) {
            now += Micros(SECOND / 10);
            asked = subscription.poll(now).then_some(now);
            if asked.is_none() {
                subscription.registry_moved(now);
            }
        }
        assert!(asked.is_some_and(|at| at <= lost_at + Micros(6_200_000)), "{instances}: {asked:?}");
    }
}

/// New settings create a new instance, for which the list stays valid exactly as long as before.
#[test]
fn a_subscription_that_continues_another_keeps_its_list_validity() {
    let (mut before, complete) = with_lost_watch(CallFailure::WatchSilent);
    fail_call(&mut before, CallFailure::NoConnection);
    let mut after = starting();
    after.continue_from(&before);
    let good = complete + Micros(SECOND) + AFTER_LOSS;
    assert_eq!(freshness(&after, good - Micros(1)), ListFreshness::Leased);
    assert_eq!(freshness(&after, good), ListFreshness::Stale);
    let mut after = starting();
    after.continue_from(&starting());
    assert_eq!(freshness(&after, Micros(0)), ListFreshness::Unverified);
}

/// A process calls soon after its start in a fleet of any size: until the answer it has no list that it may
/// use.
#[test]
fn the_first_call_comes_soon_in_a_fleet_of_any_size() {
    for instances in [1, 66, 220, 990, 3_200] {
        for seed in 0..50 {
            let subscription = Subscription::new(Registry::Shared { instances }, seed, Micros(0));
            let first = subscription.next_timeout().expect("a call is planned");
            assert!(first <= Micros(5_600_000), "{instances}: {first:?}");
        }
    }
}
