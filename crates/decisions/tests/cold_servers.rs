//! Tests of how many requests servers get while they are cold after a start. There is one small test for each
//! failure found.

mod support;

use garnettally_decisions::*;
use support::{one_class_settings, server, Harness};

/// Lets 20 instances send 20 requests a second each to 10 servers, of which one restarts half-way. A request
/// takes 40 ms of work on average, times `work_factor`. The sum of what all instances send must neither
/// overload the cold server nor leave it idle.
fn check_load_of_a_cold_server(work_factor: i64) {
    let settings = Settings { instances: 20, cold_share: 0.2, ..one_class_settings(Effect::Safe) };
    let (mut cold, mut warm) = (vec![0.0; 50], vec![0.0; 50]);
    for seed in 0..20 {
        let balancer = Balancer::new(settings.clone(), seed, Micros(0));
        let mut harness = Harness { balancer, now: Micros(0), actions: Vec::new() };
        let mut list: Vec<_> = (0..10).map(server).collect();
        harness.handle(Event::List { form: ListForm::Full, entries: &list });
        for step in 0..1_000u64 {
            if step == 500 {
                list[0].started_at = Some(harness.now);
                harness.handle(Event::List { form: ListForm::Full, entries: &list });
            }
            if step % 4 == 0 {
                harness.handle(Event::Timer(0));
            }
            let heavy = step % 10 == 9;
            let work = work_factor * if heavy { 220_000 } else { 20_000 };
            if let Some(target) = harness.submit(step, work) {
                if step >= 500 {
                    let slot = (step - 500) as usize / 10;
                    let side = if target == 0 { &mut cold } else { &mut warm };
                    side[slot] += work as f64;
                }
            }
            harness.end_attempt(step, 0, Code::Ok, work, None);
            harness.now += Micros(50_000);
        }
    }
    // In each window of 3 s (6 slots of half a second) the work sent to the cold server is at most three
    // times, and at least 0.3 times, the share of a warm peer's work that the ramp allows.
    for from in 0..14 {
        let cold_work: f64 = cold[from..from + 6].iter().sum();
        let warm_work: f64 = warm[from..from + 6].iter().sum::<f64>() / 9.0;
        let share = 0.2 + 0.8 * (from as f64 / 20.0);
        assert!(
            cold_work <= 3.0 * share * warm_work,
            "window {from}: the cold server got {cold_work} us, warm ones {warm_work} us, share {share}"
        );
        assert!(
            cold_work >= 0.3 * share * warm_work,
            "window {from}: the cold server got only {cold_work} us, warm ones {warm_work} us, share {share}"
        );
    }
}

#[test]
fn a_cold_server_gets_a_ramped_share_from_many_equal_instances() {
    check_load_of_a_cold_server(1);
}

/// Guards against a ramp that is bounded by an assumed price of a request, for servers that work on six
/// requests at once.
#[test]
fn a_cold_server_gets_a_ramped_share_of_heavy_requests() {
    check_load_of_a_cold_server(4);
}

#[test]
fn a_new_instance_sends_no_first_requests_to_a_cold_server() {
    let balancer = Balancer::new(one_class_settings(Effect::Safe), 3, Micros(0));
    let mut harness = Harness { balancer, now: Micros(0), actions: Vec::new() };
    let cold = ServerEntry { started_at: Some(Micros(-1)), ..server(0) };
    harness.handle(Event::List { form: ListForm::Cached, entries: &[cold, server(1)] });
    assert!((0..6).all(|id| harness.submit(id, 10_000) != Some(0)));
}

/// Counts how many of 400 requests go to a server that has just started, among nine warm ones. The list dates
/// its start `start_offset` microseconds after the present time, and the wall clock is `wall_ahead`
/// microseconds ahead.
fn sent_to_a_cold_server(start_offset: i64, wall_ahead: i64) -> usize {
    const HOUR_US: i64 = 3_600_000_000;
    let settings = Settings { ramp_time: Micros(20_000_000), ..one_class_settings(Effect::Safe) };
    let mut harness = Harness::new(settings, 9);
    harness.now = Micros(2 * HOUR_US);
    harness.handle(Event::List { form: ListForm::Delta, entries: &[] });
    for id in 0..200 {
        harness.submit(id, 10_000);
        harness.end_attempt(id, 0, Code::Ok, 10_000, None);
        harness.advance_periods(i64::from(id % 4 == 0));
    }
    harness.handle(Event::WallClock { ahead: Micros(wall_ahead) });
    let started_at = Some(harness.now + Micros(start_offset));
    harness
        .handle(Event::List { form: ListForm::Delta, entries: &[ServerEntry { started_at, ..server(9) }] });
    let mut sent = 0;
    for id in 1_000..1_400 {
        sent += usize::from(harness.submit(id, 10_000) == Some(9));
        harness.end_attempt(id, 0, Code::Ok, 10_000, None);
        harness.advance_periods(i64::from(id % 4 == 0));
    }
    sent
}

/// Guards against a cold server that counts as warm, or as not started yet, because the wall clock was
/// stepped: lists date starts by the wall clock.
#[test]
fn a_step_of_the_wall_clock_does_not_change_the_share_of_a_cold_server() {
    let without_step = sent_to_a_cold_server(0, 0);
    for step in [2_000_000, 3_600_000_000] {
        for step in [step, -step] {
            let sent = sent_to_a_cold_server(step, step);
            assert!(
                sent.abs_diff(without_step) <= 8,
                "{sent} requests after a step of {step} us, {without_step} without one"
            );
        }
    }
    // The start is dated in the future, although no step of the clock was reported.
    assert!(sent_to_a_cold_server(3_600_000_000, 0).abs_diff(without_step) <= 8);
}

/// Guards against missing a restart because the wall clock was stepped back before it.
#[test]
fn a_start_dated_before_the_last_known_start_counts_as_a_restart() {
    let mut harness = Harness::new(one_class_settings(Effect::Safe), 2);
    harness.now = Micros(100_000_000);
    for started_at in [90_000_000, 50_000_000, 50_000_000] {
        let entry = ServerEntry { started_at: Some(Micros(started_at)), ..server(1) };
        harness.handle(Event::List { form: ListForm::Delta, entries: &[entry] });
        assert_eq!(harness.balancer.servers()[1].started_at, Some(Micros(started_at)));
    }
    // An entry without a start time means no restart: the last known start stays.
    harness.handle(Event::List { form: ListForm::Delta, entries: &[server(1)] });
    assert_eq!(harness.balancer.servers()[1].started_at, Some(Micros(50_000_000)));
}
