//! Servers that start: what they are sent while they are cold. One small test for each failure found.

mod support;

use garnettally_decisions::*;
use support::{server, settings, Bench};

/// 20 instances send 20 calls a second each to 10 servers, one of them just started: 40 ms of work a call, times
/// `heavier`. The sum of all must neither push it over nor leave it idle.
fn many_meet_a_cold_server(heavier: i64) {
    let set = Settings { instances: 20, cold_share: 0.2, ..settings(Effect::Safe) };
    let (mut cold, mut warm) = (vec![0.0; 50], vec![0.0; 50]);
    for seed in 0..20 {
        let b = Balancer::new(set.clone(), seed, Micros(0));
        let mut t = Bench { b, now: Micros(0), acts: Vec::new() };
        let mut list: Vec<_> = (0..10).map(server).collect();
        t.tell(Event::List { form: ListForm::Full, entries: &list });
        for step in 0..1_000u64 {
            if step == 500 {
                list[0].started_at = Some(t.now);
                t.tell(Event::List { form: ListForm::Full, entries: &list });
            }
            if step % 4 == 0 {
                t.tell(Event::Timer(0));
            }
            let heavy = step % 10 == 9;
            let work = heavier * if heavy { 220_000 } else { 20_000 };
            if let Some(to) = t.ask(step, work) {
                if step >= 500 {
                    let slot = (step - 500) as usize / 10;
                    let side = if to == 0 { &mut cold } else { &mut warm };
                    side[slot] += work as f64;
                }
            }
            t.end(step, 0, Code::Ok, work, None);
            t.now += Micros(50_000);
        }
    }
    // Windows of 3 s (6 steps of half a second): the work against the ramp's share of a warm peer's, thrice.
    for from in 0..14 {
        let c: f64 = cold[from..from + 6].iter().sum();
        let w: f64 = warm[from..from + 6].iter().sum::<f64>() / 9.0;
        let share = 0.2 + 0.8 * (from as f64 / 20.0);
        assert!(c <= 3.0 * share * w, "window {from}: cold {c} of warm {w}, share {share}");
        assert!(c >= 0.3 * share * w, "window {from}: cold {c} idles beside warm {w}, share {share}");
    }
}

#[test]
fn a_cold_server_gets_a_ramped_share_even_from_many_alike() {
    many_meet_a_cold_server(1);
}

/// Guards against a ramp that is bounded by what a price is thought to be: servers of six calls' work at once.
#[test]
fn a_cold_server_ramps_with_its_peers_where_calls_are_heavy() {
    many_meet_a_cold_server(4);
}

#[test]
fn a_newborn_sends_a_cold_server_nothing_at_once() {
    let b = Balancer::new(settings(Effect::Safe), 3, Micros(0));
    let mut t = Bench { b, now: Micros(0), acts: Vec::new() };
    let cold = ServerEntry { started_at: Some(Micros(-1)), ..server(0) };
    t.tell(Event::List { form: ListForm::Cached, entries: &[cold, server(1)] });
    assert!((0..6).all(|id| t.ask(id, 10_000) != Some(0)));
}

/// How many of 400 requests a server gets that has just started, among nine that are warm, where its start is dated so far
/// from the time, and the wall clock is so far ahead.
fn sent_to_a_cold_server(dated: i64, wall_ahead: i64) -> usize {
    const HOUR: i64 = 3_600_000_000;
    let set = Settings { ramp_time: Micros(20_000_000), ..settings(Effect::Safe) };
    let mut t = Bench::new(set, 9);
    t.now = Micros(2 * HOUR);
    t.tell(Event::List { form: ListForm::Delta, entries: &[] });
    for id in 0..200 {
        t.ask(id, 10_000);
        t.end(id, 0, Code::Ok, 10_000, None);
        t.periods(i64::from(id % 4 == 0));
    }
    t.tell(Event::WallClock { ahead: Micros(wall_ahead) });
    let since = Some(t.now + Micros(dated));
    t.tell(Event::List { form: ListForm::Delta, entries: &[ServerEntry { started_at: since, ..server(9) }] });
    let mut sent = 0;
    for id in 1_000..1_400 {
        sent += usize::from(t.ask(id, 10_000) == Some(9));
        t.end(id, 0, Code::Ok, 10_000, None);
        t.periods(i64::from(id % 4 == 0));
    }
    sent
}

/// Guards against a cold server that passes for a warm one, or for one that is yet to start, because the wall clock was
/// stepped: lists date starts by it.
#[test]
fn a_step_of_the_wall_clock_makes_no_server_warmer_or_colder() {
    let step_free = sent_to_a_cold_server(0, 0);
    for step in [2_000_000, 3_600_000_000] {
        for step in [step, -step] {
            let sent = sent_to_a_cold_server(step, step);
            assert!(sent.abs_diff(step_free) <= 8, "{sent}, not {step_free}, after {step}");
        }
    }
    // Dated in the future, and no step is known.
    assert!(sent_to_a_cold_server(3_600_000_000, 0).abs_diff(step_free) <= 8);
}

/// Guards against a restart that goes unseen because the wall clock was stepped back before it.
#[test]
fn a_start_that_is_dated_before_the_last_one_is_a_restart() {
    let mut t = Bench::new(settings(Effect::Safe), 2);
    t.now = Micros(100_000_000);
    for since in [90_000_000, 50_000_000, 50_000_000] {
        let entry = ServerEntry { started_at: Some(Micros(since)), ..server(1) };
        t.tell(Event::List { form: ListForm::Delta, entries: &[entry] });
        assert_eq!(t.b.servers()[1].started_at, Some(Micros(since)));
    }
    // Nothing is said of its start: it goes on.
    t.tell(Event::List { form: ListForm::Delta, entries: &[server(1)] });
    assert_eq!(t.b.servers()[1].started_at, Some(Micros(50_000_000)));
}
