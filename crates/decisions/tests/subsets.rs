//! Tests of subsets and of kinds of servers: which instance sends to which servers. There is one small test
//! for each failure found.

mod support;

use garnettally_decisions::*;
use support::{one_class_settings, server, Harness};

#[test]
fn each_instance_chooses_among_equal_servers_in_its_own_order() {
    let first_targets: Vec<u32> = (0..20)
        .map(|seed| {
            let mut balancer = Balancer::new(one_class_settings(Effect::Safe), seed, Micros(0));
            let (mut actions, list) = (Vec::new(), [0, 1, 2, 3].map(server));
            balancer.handle(Micros(0), Event::List { form: ListForm::Full, entries: &list }, &mut actions);
            let mut harness = Harness { balancer, now: Micros(0), actions };
            harness.submit(1, 10_000).unwrap()
        })
        .collect();
    assert!(
        (0..4).all(|s| first_targets.iter().filter(|&&f| f == s).count() < 12),
        "most instances choose the same server: {first_targets:?}"
    );
    assert!((0..4).all(|s| first_targets.contains(&s)), "{first_targets:?}");
}

/// Lets each of many callers send 40 requests, one at a time, and returns the number of requests that each
/// server got.
fn requests_per_server(callers: u32, servers: u32) -> Vec<usize> {
    let mut sent = vec![0; servers as usize];
    for instance_index in 0..callers {
        let settings = Settings {
            instances: callers,
            instance_index,
            idle_close: Micros(0),
            ..one_class_settings(Effect::Safe)
        };
        let mut balancer = Balancer::new(settings, u64::from(instance_index), Micros(0));
        let list: Vec<_> = (0..servers)
            .map(|id| ServerEntry {
                ring_key: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                ..server(id)
            })
            .collect();
        let mut actions = Vec::new();
        balancer.handle(Micros(0), Event::List { form: ListForm::Full, entries: &list }, &mut actions);
        let mut harness = Harness { balancer, now: Micros(0), actions };
        for id in 0..40 {
            sent[harness.submit(id, 10_000).unwrap() as usize] += 1;
            harness.end_attempt(id, 0, Code::Ok, 10_000, None);
            harness.advance_periods(4);
        }
    }
    sent
}

#[test]
fn subsets_of_many_callers_load_all_servers_evenly() {
    // There are 100 callers and 100 servers. Each caller uses only a few servers, and each server is used by
    // many callers.
    let sent = requests_per_server(100, 100);
    assert!(sent.iter().all(|&n| (20..=65).contains(&n)), "{sent:?}");
}

#[test]
fn one_caller_of_many_uses_only_a_subset_of_the_servers() {
    let mut harness = Harness::new(
        Settings { instances: 100, idle_close: Micros(0), ..one_class_settings(Effect::Safe) },
        100,
    );
    let mut used: Vec<u32> = (0..200)
        .map(|id| {
            let target = harness.submit(id, 10_000).unwrap();
            harness.end_attempt(id, 0, Code::Ok, 10_000, None);
            harness.advance_periods(5);
            target
        })
        .collect();
    used.sort();
    used.dedup();
    assert!((10..=30).contains(&used.len()), "{} of 100 servers were used", used.len());
}

#[test]
fn a_class_bound_to_a_kind_waits_for_it_and_uses_no_other() {
    let class = Class { only_kinds: vec![1], late_worth: 0.5, ..Class::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let mut harness = Harness::new(settings, 3);
    assert_eq!(harness.submit(1, 10_000), None);
    harness.actions.clear();
    let of_kind = ServerEntry { kind: 1, ..server(3) };
    harness.handle(Event::List { form: ListForm::Delta, entries: &[of_kind] });
    harness.advance_periods(1);
    assert_eq!(harness.first_target(), Some(3));
    // A request that failed there is not sent elsewhere, even after the only server of its kind was removed.
    harness.actions.clear();
    harness.handle(Event::List {
        form: ListForm::Delta,
        entries: &[ServerEntry { state: ListedState::Removed, ..of_kind }],
    });
    harness.end_attempt(1, 0, Code::Error, 5_000, None);
    assert_eq!(harness.first_target(), None);
}

#[test]
fn a_kind_at_its_concurrency_limit_does_not_block_the_others() {
    // Class 0 is bound to kind 1, whose one server never answers. Class 1 may use every server.
    let bound = Class { only_kinds: vec![1], effect: Effect::Unsafe, ..Class::default() };
    let settings = Settings { classes: vec![bound, Class::default()], ..Settings::default() };
    let mut harness = Harness::new(settings, 2);
    harness.handle(Event::List { form: ListForm::Delta, entries: &[ServerEntry { kind: 1, ..server(2) }] });
    for id in 0..60 {
        harness.submit(id, 10_000);
    }
    harness.actions.clear();
    let (class, hint, expires) = (ClassId(1), Some(Micros(10_000)), Micros(900_000));
    let request =
        NewRequest { id: RequestId(99), class, tenant: None, expires, hint, repeat: false, key: None };
    harness.handle(Event::Request(request));
    assert!(harness.first_target().is_some_and(|s| s != 2));
}

#[test]
fn an_idle_connection_is_used_before_a_new_one_is_opened() {
    // Requests are sent one at a time. Once two servers have an idle connection, their cost boards decide
    // between these two.
    let mut harness = Harness::new(one_class_settings(Effect::Safe), 10);
    let targets: Vec<u32> = (0..60)
        .map(|id| {
            let target = harness.submit(id, 10_000).unwrap();
            harness.end_attempt(id, 0, Code::Ok, 10_000, None);
            harness.advance_periods(1);
            target
        })
        .collect();
    let mut used = targets.clone();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2, "{targets:?}");
    assert!(used.iter().all(|s| targets.iter().filter(|target| *target == s).count() > 15), "{targets:?}");
    // Connections in use are not shared: the request in flight there gives no information on its server yet.
    let four: Vec<u32> = (100..104).filter_map(|id| harness.submit(id, 10_000)).collect();
    assert!(four.iter().any(|s| !used.contains(s)), "{four:?}");
}

#[test]
fn other_zones_are_avoided_while_crossing_has_a_price_and_the_own_zone_has_capacity() {
    for (crossing_price, max_crossings) in [(0.0, 40), (0.04, 4)] {
        let settings = Settings { crossing_price, idle_close: Micros(0), ..one_class_settings(Effect::Safe) };
        let mut harness = Harness::new(settings, 0);
        let list: Vec<_> = (0..8).map(|id| ServerEntry { zone: id / 4, ..server(id) }).collect();
        harness.handle(Event::List { form: ListForm::Full, entries: &list });
        let targets: Vec<u32> = (0..60)
            .map(|id| {
                let target = harness.submit(id, 10_000).unwrap();
                harness.end_attempt(id, 0, Code::Ok, 10_000, None);
                harness.advance_periods(1);
                target
            })
            .collect();
        let crossings = targets.iter().filter(|&&s| s > 3).count();
        assert!(
            crossings <= max_crossings && (max_crossings < 40 || crossings > 15),
            "{crossings} of 60 requests crossed zones at a crossing price of {crossing_price}"
        );
    }
}
