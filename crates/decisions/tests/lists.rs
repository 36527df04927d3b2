//! Tests of discovery's lists and of the watch on discovery: how they decide which servers are used, and for
//! how long. There is one small test for each failure found.

mod support;

use garnettally_decisions::*;
use support::{one_class_settings, server, Harness};

#[test]
fn queued_requests_end_at_their_deadline_and_are_sent_when_a_list_arrives_late() {
    let mut harness = Harness::new(one_class_settings(Effect::Unsafe), 0);
    assert_eq!(harness.submit(1, 10_000), None);
    assert_eq!(harness.submit(2, 10_000), None);
    harness.handle(Event::ClientLeft(RequestId(2)));
    harness.actions.clear();
    harness.now = Micros(2_000_000);
    harness.handle(Event::Timer(1 << 1 | 1));
    harness.handle(Event::Timer(2 << 1 | 1));
    let answers: Vec<_> = harness.actions.iter().filter(|a| !matches!(a, Action::Timer { .. })).collect();
    assert!(matches!(answers[..], [Action::Refuse { id: RequestId(1), .. }]), "{answers:?}");
    assert_eq!(harness.submit(3, 10_000), None);
    harness.handle(Event::List { form: ListForm::Full, entries: &[server(4)] });
    harness.advance_periods(1);
    assert_eq!(harness.first_target(), Some(4));
}

/// The size of a fleet that is not small: its instances call discovery in cycles of 4 s, and after a lost
/// connection they use their list for the whole lease.
const MID_SIZE_FLEET: u32 = 19;

#[test]
fn calls_to_discovery_are_paced_and_repeated_after_failures() {
    let settings =
        Settings { watch_on_request: true, instances: MID_SIZE_FLEET, ..one_class_settings(Effect::Safe) };
    let mut harness = Harness::starting_from(ListForm::Cached, settings, 1);
    let watches = |harness: &Harness| harness.actions.iter().filter(|a| **a == Action::Watch).count();
    harness.advance_periods(4);
    assert_eq!(watches(&harness), 1);
    for _ in 0..10 {
        harness.actions.clear();
        harness.fail_watch_as_busy();
        // Other instances call the same service, so the next call is not made at once. It is made before
        // discovery's changes become binding for this instance, 6 s later.
        harness.advance_periods(10);
        assert_eq!(watches(&harness), 0);
        harness.advance_periods_until(20, |harness| watches(harness) > 0);
        assert_eq!(watches(&harness), 1);
    }
    harness.actions.clear();
    harness.handle(Event::List { form: ListForm::Delta, entries: &[] });
    // A watch that was open and ended is requested again within a second.
    let complete_until = harness.now;
    harness.handle(Event::WatchFailed { complete_until, failure: CallFailure::Busy });
    harness.advance_periods(5);
    assert_eq!(watches(&harness), 1);
    harness.actions.clear();
    harness.handle(Event::List { form: ListForm::Delta, entries: &[] });
    harness.advance_periods(30);
    assert_eq!(watches(&harness), 0);
}

/// Guards against counting an old list as fresh after a change of settings: changes that the previous module
/// may have missed are binding for the module that replaces it.
#[test]
fn a_module_that_takes_over_a_lost_watch_sends_nothing_to_servers_of_a_stale_list() {
    let settings =
        Settings { watch_on_request: true, instances: MID_SIZE_FLEET, ..one_class_settings(Effect::Safe) };
    let mut before = Harness::new(settings.clone(), 3);
    let complete_until = before.now;
    before.handle(Event::WatchFailed { complete_until, failure: CallFailure::Busy });
    let now = before.now + Micros(5_000_000);
    let mut after = Harness { balancer: Balancer::new(settings, 11, now), now, actions: Vec::new() };
    after.handle(Event::List { form: ListForm::Cached, entries: &[0, 1, 2].map(server) });
    after.balancer.take_over_watch(&before.balancer);
    assert!(after.submit(1, 10_000).is_some(), "the list may be used for another second");
    after.now += Micros(1_500_000);
    assert_eq!(after.submit(2, 10_000), None);
    // The watch that it is waiting for is open now.
    after.handle(Event::List { form: ListForm::Delta, entries: &[] });
    assert!(after.first_target().is_some());
}

/// Guards against requests to departing servers from a process that has lost its watch: a change is binding 6
/// s after it reached discovery, whether or not the process received it. Only servers that accepted a request
/// recently are known to stay. Where there are none of these, the list is all that the process can go by.
#[test]
fn without_a_watch_only_servers_that_recently_accepted_a_request_are_used() {
    let any = one_class_settings(Effect::Safe).classes[0].clone();
    let of_kind = |kind| Class { only_kinds: vec![kind], ..any.clone() };
    let classes = vec![of_kind(0), of_kind(1)];
    let mut harness = Harness::new(
        Settings { watch_on_request: true, max_attempts: 1, classes, ..one_class_settings(Effect::Safe) },
        0,
    );
    // Servers 0 to 5 serve one class, and server 6 serves the other.
    let list: Vec<_> = (0..7).map(|id| ServerEntry { kind: u32::from(id == 6), ..server(id) }).collect();
    harness.handle(Event::List { form: ListForm::Full, entries: &list });
    // Each of servers 0 to 5 has answered on a connection that is idle now.
    let submitted: Vec<_> = (0..24).map(|id| (id, harness.submit(id, 10_000))).collect();
    submitted
        .iter()
        .filter(|(_, target)| target.is_some())
        .for_each(|&(id, _)| harness.end_attempt(id, 0, Code::Ok, 10_000, None));
    let watch_lost = harness.now;
    harness.handle(Event::WatchFailed { complete_until: watch_lost, failure: CallFailure::WatchBroken });
    // Servers 0 and 1 are draining and turn new requests away.
    let mut turned_away = 0;
    for id in 100..500 {
        harness.advance_periods(1);
        if harness.actions.contains(&Action::Watch) {
            harness.fail_watch_without_connection();
        }
        let Some(target) = harness.submit(id, 10_000) else { continue };
        let lost_for = harness.now - watch_lost;
        assert!(
            target >= 2 || lost_for < Micros(6_000_000),
            "server {target} got a request after {lost_for:?}"
        );
        turned_away += u32::from(target < 2);
        harness.end_attempt(id, 0, if target < 2 { Code::Full } else { Code::Ok }, 10_000, None);
    }
    assert_eq!(turned_away, 2, "each draining server gets one request, and then none");
    assert_eq!(
        harness.submit_to_class(1_000, 1, 10_000, 2_000_000),
        Some(6),
        "no other server serves that class"
    );
    // Once the watch is open again, all servers are used.
    harness.handle(Event::List { form: ListForm::Delta, entries: &[] });
    let mut targets: Vec<u32> = (2_000..2_100).filter_map(|id| harness.submit(id, 10_000)).collect();
    targets.sort_unstable();
    targets.dedup();
    assert_eq!(targets, [0, 1, 2, 3, 4, 5]);
}

/// Guards against preferring a server for its idle connection after it turned a request away: it may be
/// departing.
#[test]
fn without_a_watch_a_server_that_turned_a_request_away_is_used_last() {
    let mut harness = Harness::new(
        Settings {
            watch_on_request: true,
            instances: MID_SIZE_FLEET,
            max_attempts: 1,
            ..one_class_settings(Effect::Safe)
        },
        2,
    );
    harness.fail_watch_as_busy();
    for _ in 0..40 {
        harness.actions.clear();
        harness.advance_periods(1);
        if harness.actions.contains(&Action::Watch) {
            harness.fail_watch_as_busy();
        }
    }
    // Neither server has accepted a request recently.
    let first = harness.submit(1, 10_000).unwrap();
    harness.end_attempt(1, 0, Code::Full, 1_000, None);
    for id in 2..6 {
        assert_eq!(harness.submit(id, 10_000), Some(1 - first));
        harness.end_attempt(id, 0, Code::Timeout, 10_000, None);
    }
}

/// Starts with a full list of ten servers, and then hands in lists that keep only the first `kept` of them:
/// the others are listed as removed, or left out.
fn after_list_shrinks(kept: u32, removal_is_advisory: bool) -> Harness {
    // No connection stays open, so that the choice of servers depends on the list alone.
    let idle_close = Micros(0);
    let mut harness =
        Harness::new(Settings { removal_is_advisory, idle_close, ..one_class_settings(Effect::Safe) }, 10);
    let removed = |id| ServerEntry { state: ListedState::Removed, ..server(id) };
    let list: Vec<_> = (kept..10).map(removed).collect();
    harness.handle(Event::List { form: ListForm::Delta, entries: &list[1..] });
    let listed: Vec<_> = (0..kept).map(server).collect();
    harness.handle(Event::List { form: ListForm::Full, entries: &listed });
    harness
}

#[test]
fn a_list_that_removes_most_servers_is_not_followed_where_removal_is_advisory() {
    for (kept, removal_is_advisory, used) in [(1, true, 10), (1, false, 1), (9, true, 9), (0, true, 10)] {
        let mut harness = after_list_shrinks(kept, removal_is_advisory);
        let mut targets: Vec<_> = (0..60)
            .filter_map(|id| {
                let target = harness.submit(id, 10_000);
                harness.end_attempt(id, 0, Code::Ok, 10_000, None);
                target
            })
            .collect();
        targets.sort();
        targets.dedup();
        assert_eq!(
            targets.len(),
            used,
            "{kept} servers kept, removal advisory: {removal_is_advisory}, used: {targets:?}"
        );
    }
}

#[test]
fn a_removed_server_that_accepts_no_connection_costs_one_attempt() {
    let mut harness = after_list_shrinks(1, true);
    let mut to_unreachable = 0;
    for id in 0..200 {
        let mut target = harness.submit(id, 10_000);
        let mut attempt = 0;
        while target == Some(5) {
            to_unreachable += 1;
            harness.end_attempt(id, attempt, Code::ConnectFailed, 1_000, None);
            target = harness.first_target();
            attempt += 1;
        }
        harness.end_attempt(id, attempt, Code::Ok, 10_000, None);
        harness.now += Micros(20_000);
    }
    assert_eq!(to_unreachable, 1);
}

#[test]
fn draining_stays_binding_after_the_server_is_listed_as_removed() {
    let mut harness = after_list_shrinks(1, true);
    let draining = ServerEntry { state: ListedState::Draining, ..server(3) };
    harness.handle(Event::List { form: ListForm::Delta, entries: &[draining] });
    harness.handle(Event::List {
        form: ListForm::Delta,
        entries: &[ServerEntry { state: ListedState::Removed, ..draining }],
    });
    for id in 0..60 {
        assert_ne!(harness.submit(id, 10_000), Some(3));
        harness.end_attempt(id, 0, Code::Ok, 10_000, None);
    }
}

#[test]
fn a_server_that_returns_to_the_list_does_not_count_as_cold() {
    // The server has served requests since its start long ago. It is removed from the list and returns to it.
    let started_at = Some(Micros(1));
    let settings = Settings {
        removal_is_advisory: true,
        ramp_time: Micros(1_000_000),
        ..one_class_settings(Effect::Safe)
    };
    let mut harness = Harness::new(settings, 0);
    let list = [ServerEntry { started_at, ..server(0) }];
    harness.handle(Event::List { form: ListForm::Full, entries: &list });
    harness.advance_periods(20);
    harness.submit(1, 10_000);
    harness.end_attempt(1, 0, Code::Ok, 10_000, None);
    let removed = ServerEntry { state: ListedState::Removed, started_at: None, ..server(0) };
    harness.handle(Event::List { form: ListForm::Delta, entries: &[removed] });
    harness.handle(Event::List { form: ListForm::Full, entries: &list });
    assert_eq!(harness.submit(2, 10_000), Some(0));
}
