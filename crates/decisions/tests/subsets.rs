//! Subsets and kinds of servers: who sends where. One small test for each failure found.

mod support;

use garnettally_decisions::*;
use support::{server, settings, Bench};

#[test]
fn equal_weights_are_spread_by_each_instance_in_its_own_order() {
    let firsts: Vec<u32> = (0..20)
        .map(|seed| {
            let mut b = Balancer::new(settings(Effect::Safe), seed, Micros(0));
            let (mut acts, list) = (Vec::new(), [0, 1, 2, 3].map(server));
            b.handle(Micros(0), Event::List { form: ListForm::Full, entries: &list }, &mut acts);
            let mut bench = Bench { b, now: Micros(0), acts };
            bench.ask(1, 10_000).unwrap()
        })
        .collect();
    assert!((0..4).all(|s| firsts.iter().filter(|&&f| f == s).count() < 12), "a herd: {firsts:?}");
    assert!((0..4).all(|s| firsts.contains(&s)), "{firsts:?}");
}

/// Many callers of many servers, each with one call: where the calls went.
fn crowd(callers: u32, servers: u32) -> Vec<usize> {
    let mut sent = vec![0; servers as usize];
    for me in 0..callers {
        let set = Settings {
            instances: callers,
            instance_index: me,
            idle_close: Micros(0),
            ..settings(Effect::Safe)
        };
        let mut b = Balancer::new(set, u64::from(me), Micros(0));
        let list: Vec<_> = (0..servers)
            .map(|id| ServerEntry {
                ring_key: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                ..server(id)
            })
            .collect();
        let mut acts = Vec::new();
        b.handle(Micros(0), Event::List { form: ListForm::Full, entries: &list }, &mut acts);
        let mut t = Bench { b, now: Micros(0), acts };
        for id in 0..40 {
            sent[t.ask(id, 10_000).unwrap() as usize] += 1;
            t.end(id, 0, Code::Ok, 10_000, None);
            t.periods(4);
        }
    }
    sent
}

#[test]
fn subsets_of_many_callers_load_all_servers_alike() {
    // 100 callers, 100 servers: each caller meets few of them, and no server is met by few callers.
    let sent = crowd(100, 100);
    assert!(sent.iter().all(|&n| (20..=65).contains(&n)), "{sent:?}");
}

#[test]
fn one_caller_of_many_keeps_to_a_subset() {
    let mut t = Bench::new(Settings { instances: 100, idle_close: Micros(0), ..settings(Effect::Safe) }, 100);
    let mut met: Vec<u32> = (0..200)
        .map(|id| {
            let to = t.ask(id, 10_000).unwrap();
            t.end(id, 0, Code::Ok, 10_000, None);
            t.periods(5);
            to
        })
        .collect();
    met.sort();
    met.dedup();
    assert!((10..=30).contains(&met.len()), "{} of 100 servers were met", met.len());
}

#[test]
fn a_bound_class_waits_for_its_kind_and_takes_no_other() {
    let class = Class { only_kinds: vec![1], late_worth: 0.5, ..Class::default() };
    let set = Settings { classes: vec![class], ..Settings::default() };
    let mut t = Bench::new(set, 3);
    assert_eq!(t.ask(1, 10_000), None);
    t.acts.clear();
    let own = ServerEntry { kind: 1, ..server(3) };
    t.tell(Event::List { form: ListForm::Delta, entries: &[own] });
    t.periods(1);
    assert_eq!(t.sent(), Some(3));
    // Failed there, it goes nowhere else, also when its kind is gone.
    t.acts.clear();
    t.tell(Event::List {
        form: ListForm::Delta,
        entries: &[ServerEntry { state: ListedState::Removed, ..own }],
    });
    t.end(1, 0, Code::Error, 5_000, None);
    assert_eq!(t.sent(), None);
}

#[test]
fn a_full_kind_does_not_close_the_others() {
    // Class 0 is bound to kind 1, whose one server never answers; class 1 goes anywhere.
    let bound = Class { only_kinds: vec![1], effect: Effect::Unsafe, ..Class::default() };
    let set = Settings { classes: vec![bound, Class::default()], ..Settings::default() };
    let mut t = Bench::new(set, 2);
    t.tell(Event::List { form: ListForm::Delta, entries: &[ServerEntry { kind: 1, ..server(2) }] });
    for id in 0..60 {
        t.ask(id, 10_000);
    }
    t.acts.clear();
    let (class, hint, expires) = (ClassId(1), Some(Micros(10_000)), Micros(900_000));
    let new = NewRequest { id: RequestId(99), class, tenant: None, expires, hint, repeat: false, key: None };
    t.tell(Event::Request(new));
    assert!(t.sent().is_some_and(|s| s != 2));
}

#[test]
fn an_idle_connection_is_joined_before_a_new_one_is_opened() {
    // One call at a time: two servers have an idle connection, then boards choose between those two.
    let mut t = Bench::new(settings(Effect::Safe), 10);
    let to: Vec<u32> = (0..60)
        .map(|id| {
            let to = t.ask(id, 10_000).unwrap();
            t.end(id, 0, Code::Ok, 10_000, None);
            t.periods(1);
            to
        })
        .collect();
    let mut met = to.clone();
    met.sort();
    met.dedup();
    assert_eq!(met.len(), 2, "{to:?}");
    assert!(met.iter().all(|s| to.iter().filter(|t| *t == s).count() > 15), "{to:?}");
    // Those in use are not joined: a call that waits there says nothing of its server yet.
    let four: Vec<u32> = (100..104).filter_map(|id| t.ask(id, 10_000)).collect();
    assert!(four.iter().any(|s| !met.contains(s)), "{four:?}");
}

#[test]
fn another_zone_is_left_alone_while_crossing_costs_and_the_own_one_has_room() {
    for (crossing_price, most) in [(0.0, 40), (0.04, 4)] {
        let set = Settings { crossing_price, idle_close: Micros(0), ..settings(Effect::Safe) };
        let mut t = Bench::new(set, 0);
        let list: Vec<_> = (0..8).map(|id| ServerEntry { zone: id / 4, ..server(id) }).collect();
        t.tell(Event::List { form: ListForm::Full, entries: &list });
        let to: Vec<u32> = (0..60)
            .map(|id| {
                let to = t.ask(id, 10_000).unwrap();
                t.end(id, 0, Code::Ok, 10_000, None);
                t.periods(1);
                to
            })
            .collect();
        let away = to.iter().filter(|&&s| s > 3).count();
        assert!(away <= most && (most < 40 || away > 15), "{away} of 60 crossed at {crossing_price}");
    }
}
