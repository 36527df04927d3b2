//! Soak of restarts and discovery faults: real processes over loopback under a schedule drawn from a seed, the rules checked
//! from outside. In the suite a few fixed seeds; by hand more of them:
//! `SOAK_SEEDS=50 SOAK_SIDE_BY_SIDE=8 cargo test --locked --test soak -- --nocapture`, and one alone with `SOAK_SEED=7`.

mod check;
mod play;
mod record;
mod schedule;
#[path = "../support/mod.rs"]
mod support;

use check::{check, Verdict};
use schedule::Schedule;
use std::thread;

/// Seeds of the suite, and how many runs go on side by side.
const SEEDS: u64 = 4;
const SIDE_BY_SIDE: u64 = 4;

/// So many breaks of a run are printed.
const PRINTED: usize = 5;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|value| value.parse().ok())
}

fn run(seed: u64) -> (u64, Verdict) {
    let schedule = Schedule::draw(seed);
    let course = play::play(&schedule);
    let verdict = check(&schedule, &course);
    println!(
        "seed {seed}: {} instances, deadline {:.2?}, {} events; {} requests, {} breaks; served {:.3} before, {:.3} in all, \
         {:.3} after",
        schedule.instances,
        schedule.deadline,
        schedule.events.len(),
        verdict.requests,
        verdict.breaks.len(),
        verdict.served_before,
        verdict.served_all,
        verdict.served_after,
    );
    if !verdict.breaks.is_empty() {
        verdict.breaks.iter().take(PRINTED).for_each(|b| println!("  {b}"));
        course.processes.iter().for_each(|p| println!("  log: {}", p.log));
        println!("  again: SOAK_SEED={seed} cargo test --locked --test soak -- --nocapture\n  {schedule:?}");
    }
    (seed, verdict)
}

/// Fleets of more than 18 instances, in which refusals of one process's calls still pass for an outage.
#[test]
fn the_rules_hold_in_a_large_fleet_whose_discovery_refuses_one_process() {
    const SEED: u64 = 19;
    assert_eq!(run(SEED).1.breaks, []);
}

/// The same by other ways in which calls end, in fleets of 990 and 220.
#[test]
fn the_rules_hold_in_a_fleet_of_990_whose_calls_fail_one_by_one() {
    const SEED: u64 = 22;
    assert_eq!(run(SEED).1.breaks, []);
}

#[test]
fn the_rules_hold_in_a_fleet_of_220_whose_calls_fail_one_by_one() {
    const SEED: u64 = 25;
    assert_eq!(run(SEED).1.breaks, []);
}

/// Processes that start while connections to discovery are refused go by the list of their configuration, of any age.
#[test]
fn the_rules_hold_where_processes_start_while_discovery_refuses_connections() {
    const SEED: u64 = 42;
    assert_eq!(run(SEED).1.breaks, []);
}

#[test]
fn the_rules_hold_under_restarts_and_discovery_faults() {
    let seeds: Vec<u64> = match variable("SOAK_SEED") {
        Some(seed) => vec![seed],
        None => (1..=variable("SOAK_SEEDS").unwrap_or(SEEDS)).collect(),
    };
    let mut breaking = Vec::new();
    let side_by_side = variable("SOAK_SIDE_BY_SIDE").unwrap_or(SIDE_BY_SIDE) as usize;
    for some in seeds.chunks(side_by_side.max(1)) {
        let runs: Vec<_> = some.iter().map(|&seed| thread::spawn(move || run(seed))).collect();
        let verdicts = runs.into_iter().map(|r| r.join().unwrap());
        breaking.extend(verdicts.filter(|(_, v)| !v.breaks.is_empty()).map(|(seed, _)| seed));
    }
    println!("{} of {} seeds without a break", seeds.len() - breaking.len(), seeds.len());
    assert!(breaking.is_empty(), "seeds with breaks: {breaking:?}");
}
