//! Lists and the watch on discovery: what they say of servers, and for how long. One small test for each failure found.

mod support;

use garnettally_decisions::*;
use support::{server, settings, Bench};

#[test]
fn held_requests_end_at_their_deadline_and_lists_fill_late() {
    let mut t = Bench::new(settings(Effect::Unsafe), 0);
    assert_eq!(t.ask(1, 10_000), None);
    assert_eq!(t.ask(2, 10_000), None);
    t.tell(Event::ClientLeft(RequestId(2)));
    t.acts.clear();
    t.now = Micros(2_000_000);
    t.tell(Event::Timer(1 << 1 | 1));
    t.tell(Event::Timer(2 << 1 | 1));
    let ends: Vec<_> = t.acts.iter().filter(|a| !matches!(a, Action::Timer { .. })).collect();
    assert!(matches!(ends[..], [Action::Refuse { id: RequestId(1), .. }]), "{ends:?}");
    assert_eq!(t.ask(3, 10_000), None);
    t.tell(Event::List { form: ListForm::Full, entries: &[server(4)] });
    t.periods(1);
    assert_eq!(t.sent(), Some(4));
}

/// A fleet that is not small: it asks in cycles of 4 s, and a lost connection keeps its list in use for the whole lease.
const MID_SIZE: u32 = 19;

#[test]
fn discovery_is_asked_at_a_pace_and_again_after_failures() {
    let set = Settings { watch_on_request: true, instances: MID_SIZE, ..settings(Effect::Safe) };
    let mut t = Bench::starting_from(ListForm::Cached, set, 1);
    let watches = |t: &Bench| t.acts.iter().filter(|a| **a == Action::Watch).count();
    t.periods(4);
    assert_eq!(watches(&t), 1);
    for _ in 0..10 {
        t.acts.clear();
        t.refuse_watch();
        // Others wait for the same service: not at once, and again before what it has to tell binds, 6 s later.
        t.periods(10);
        assert_eq!(watches(&t), 0);
        t.periods_until(20, |t| watches(t) > 0);
        assert_eq!(watches(&t), 1);
    }
    t.acts.clear();
    t.tell(Event::List { form: ListForm::Delta, entries: &[] });
    // A watch that was open and ends is asked for again within a second.
    let since = t.now;
    t.tell(Event::WatchFailed { complete_until: since, failure: CallFailure::Busy });
    t.periods(5);
    assert_eq!(watches(&t), 1);
    t.acts.clear();
    t.tell(Event::List { form: ListForm::Delta, entries: &[] });
    t.periods(30);
    assert_eq!(watches(&t), 0);
}

/// Guards against a list that new settings make as good as new: what the module before could not be told of binds the one
/// that takes over.
#[test]
fn a_module_that_takes_over_a_lost_watch_sends_nothing_by_a_stale_list() {
    let set = Settings { watch_on_request: true, instances: MID_SIZE, ..settings(Effect::Safe) };
    let mut before = Bench::new(set.clone(), 3);
    let since = before.now;
    before.tell(Event::WatchFailed { complete_until: since, failure: CallFailure::Busy });
    let now = before.now + Micros(5_000_000);
    let mut after = Bench { b: Balancer::new(set, 11, now), now, acts: Vec::new() };
    after.tell(Event::List { form: ListForm::Cached, entries: &[0, 1, 2].map(server) });
    after.b.take_over_watch(&before.b);
    assert!(after.ask(1, 10_000).is_some(), "the list is good for a second yet");
    after.now += Micros(1_500_000);
    assert_eq!(after.ask(2, 10_000), None);
    // The watch that it goes on waiting for has come.
    after.tell(Event::List { form: ListForm::Delta, entries: &[] });
    assert!(after.sent().is_some());
}

/// Guards against requests to leaving servers by a process that has lost its watch: whatever it was not told of
/// binds 6 s after discovery had it. Only servers that took a call of late are sure to stay; where there is none of
/// these, the list is all there is.
#[test]
fn without_a_watch_only_servers_that_took_a_call_of_late_are_sent_to() {
    let any = settings(Effect::Safe).classes[0].clone();
    let of_kind = |kind| Class { only_kinds: vec![kind], ..any.clone() };
    let classes = vec![of_kind(0), of_kind(1)];
    let mut t = Bench::new(
        Settings { watch_on_request: true, max_attempts: 1, classes, ..settings(Effect::Safe) },
        0,
    );
    // Servers 0 to 5 serve one class, and 6 the other.
    let list: Vec<_> = (0..7).map(|id| ServerEntry { kind: u32::from(id == 6), ..server(id) }).collect();
    t.tell(Event::List { form: ListForm::Full, entries: &list });
    // All of the first have answered on a connection that is idle now.
    let asked: Vec<_> = (0..24).map(|id| (id, t.ask(id, 10_000))).collect();
    asked.iter().filter(|(_, to)| to.is_some()).for_each(|&(id, _)| t.end(id, 0, Code::Ok, 10_000, None));
    let since = t.now;
    t.tell(Event::WatchFailed { complete_until: since, failure: CallFailure::WatchBroken });
    // Servers 0 and 1 drain: they turn away what is new.
    let mut turned_away = 0;
    for id in 100..500 {
        t.periods(1);
        if t.acts.contains(&Action::Watch) {
            t.meet_nobody();
        }
        let Some(to) = t.ask(id, 10_000) else { continue };
        assert!(to >= 2 || t.now - since < Micros(6_000_000), "{to} after {:?}", t.now - since);
        turned_away += u32::from(to < 2);
        t.end(id, 0, if to < 2 { Code::Full } else { Code::Ok }, 10_000, None);
    }
    assert_eq!(turned_away, 2, "each is met once, and then left alone");
    assert_eq!(t.ask_class(1_000, 1, 10_000, 2_000_000), Some(6), "nobody else serves that class");
    // With the watch back, all are sent to again.
    t.tell(Event::List { form: ListForm::Delta, entries: &[] });
    let mut met: Vec<u32> = (2_000..2_100).filter_map(|id| t.ask(id, 10_000)).collect();
    met.sort_unstable();
    met.dedup();
    assert_eq!(met, [0, 1, 2, 3, 4, 5]);
}

/// Guards against a server that turned a request away, and may be leaving, being preferred for its idle connection.
#[test]
fn without_a_watch_who_turned_a_request_away_comes_last() {
    let mut t = Bench::new(
        Settings { watch_on_request: true, instances: MID_SIZE, max_attempts: 1, ..settings(Effect::Safe) },
        2,
    );
    t.refuse_watch();
    for _ in 0..40 {
        t.acts.clear();
        t.periods(1);
        if t.acts.contains(&Action::Watch) {
            t.refuse_watch();
        }
    }
    // Nobody has taken a request of late.
    let first = t.ask(1, 10_000).unwrap();
    t.end(1, 0, Code::Full, 1_000, None);
    for id in 2..6 {
        assert_eq!(t.ask(id, 10_000), Some(1 - first));
        t.end(id, 0, Code::Timeout, 10_000, None);
    }
}

/// A full list, then one that calls all but `left` of ten servers gone or leaves them out.
fn shrunk(left: u32, alone: bool) -> Bench {
    // No connection stays open: what is looked at is whom the list leaves.
    let idle_close = Micros(0);
    let mut t = Bench::new(Settings { removal_is_advisory: alone, idle_close, ..settings(Effect::Safe) }, 10);
    let gone = |id| ServerEntry { state: ListedState::Removed, ..server(id) };
    let list: Vec<_> = (left..10).map(gone).collect();
    t.tell(Event::List { form: ListForm::Delta, entries: &list[1..] });
    let listed: Vec<_> = (0..left).map(server).collect();
    t.tell(Event::List { form: ListForm::Full, entries: &listed });
    t
}

#[test]
fn a_list_that_calls_most_servers_gone_is_doubted_where_it_does_not_bind() {
    for (left, alone, used) in [(1, true, 10), (1, false, 1), (9, true, 9), (0, true, 10)] {
        let mut t = shrunk(left, alone);
        let mut to: Vec<_> = (0..60)
            .filter_map(|id| {
                let to = t.ask(id, 10_000);
                t.end(id, 0, Code::Ok, 10_000, None);
                to
            })
            .collect();
        to.sort();
        to.dedup();
        assert_eq!(to.len(), used, "{left} left, {alone}: {to:?}");
    }
}

#[test]
fn a_server_called_gone_that_takes_no_connection_costs_one_call() {
    let mut t = shrunk(1, true);
    let mut to_dead = 0;
    for id in 0..200 {
        let mut to = t.ask(id, 10_000);
        let mut attempt = 0;
        while to == Some(5) {
            to_dead += 1;
            t.end(id, attempt, Code::ConnectFailed, 1_000, None);
            to = t.sent();
            attempt += 1;
        }
        t.end(id, attempt, Code::Ok, 10_000, None);
        t.now += Micros(20_000);
    }
    assert_eq!(to_dead, 1);
}

#[test]
fn draining_binds_from_when_it_is_seen_also_after_gone() {
    let mut t = shrunk(1, true);
    let drains = ServerEntry { state: ListedState::Draining, ..server(3) };
    t.tell(Event::List { form: ListForm::Delta, entries: &[drains] });
    t.tell(Event::List {
        form: ListForm::Delta,
        entries: &[ServerEntry { state: ListedState::Removed, ..drains }],
    });
    for id in 0..60 {
        assert_ne!(t.ask(id, 10_000), Some(3));
        t.end(id, 0, Code::Ok, 10_000, None);
    }
}

#[test]
fn a_return_to_the_list_is_no_cold_start() {
    // The server has served since its start long ago; the list loses it and finds it again.
    let since = Some(Micros(1));
    let set = Settings { removal_is_advisory: true, ramp_time: Micros(1_000_000), ..settings(Effect::Safe) };
    let mut t = Bench::new(set, 0);
    let list = [ServerEntry { started_at: since, ..server(0) }];
    t.tell(Event::List { form: ListForm::Full, entries: &list });
    t.periods(20);
    t.ask(1, 10_000);
    t.end(1, 0, Code::Ok, 10_000, None);
    let gone = ServerEntry { state: ListedState::Removed, started_at: None, ..server(0) };
    t.tell(Event::List { form: ListForm::Delta, entries: &[gone] });
    t.tell(Event::List { form: ListForm::Full, entries: &list });
    assert_eq!(t.ask(2, 10_000), Some(0));
}
