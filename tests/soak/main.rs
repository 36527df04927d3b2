//! Soak test of restarts and discovery faults: real processes over loopback run a schedule that is drawn from
//! a seed, and rules are checked by what clients, upstreams and discovery observe. The suite runs a few fixed
//! seeds. More seeds are run by hand, with `SOAK_SEEDS=50 SOAK_SIDE_BY_SIDE=8 cargo test --locked --test soak
//! -- --nocapture`, or one seed with `SOAK_SEED=7`.

mod check;
mod play;
mod record;
mod schedule;
#[path = "../support/mod.rs"]
mod support;

use check::{check_run, CheckResult};
use schedule::Schedule;
use std::thread;

/// The number of seeds that the suite runs, counted from 1.
const SUITE_SEEDS: u64 = 4;

/// The number of runs at the same time, unless `SOAK_SIDE_BY_SIDE` gives another one.
const PARALLEL_RUNS: u64 = 4;

/// The largest number of violations of a run that are printed.
const MAX_PRINTED: usize = 5;

/// The number in an environment variable, if it is set to one.
fn number_from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|value| value.parse().ok())
}

/// Runs the schedule of a seed, checks the run, and prints a summary, with the violations if there are any.
fn run_seed(seed: u64) -> (u64, CheckResult) {
    let schedule = Schedule::draw(seed);
    let record = play::run_schedule(&schedule);
    let result = check_run(&schedule, &record);
    println!(
        "seed {seed}: {} instances, deadline {:.2?}, {} events; {} requests, {} violations; served {:.3} before, {:.3} in all, \
         {:.3} after",
        schedule.instances,
        schedule.deadline,
        schedule.events.len(),
        result.requests,
        result.violations.len(),
        result.served_before,
        result.served_all,
        result.served_after,
    );
    if !result.violations.is_empty() {
        result.violations.iter().take(MAX_PRINTED).for_each(|v| println!("  {v}"));
        record.processes.iter().for_each(|p| println!("  log: {}", p.log));
        println!(
            "  run again: SOAK_SEED={seed} cargo test --locked --test soak -- --nocapture\n  {schedule:?}"
        );
    }
    (seed, result)
}

/// Guards against requests to upstreams that have left in fleets of more than 18 instances, in which a
/// process takes refusals of its own calls for an outage.
#[test]
fn the_rules_hold_in_a_large_fleet_whose_discovery_refuses_one_process() {
    const SEED: u64 = 19;
    assert_eq!(run_seed(SEED).1.violations, []);
}

/// Guards against requests to upstreams that have left in a fleet of 990, where calls fail in other ways than
/// by a refusal.
#[test]
fn the_rules_hold_in_a_fleet_of_990_whose_calls_fail_one_by_one() {
    const SEED: u64 = 22;
    assert_eq!(run_seed(SEED).1.violations, []);
}

/// Guards against requests to upstreams that have left in a fleet of 220, where calls fail in other ways than
/// by a refusal.
#[test]
fn the_rules_hold_in_a_fleet_of_220_whose_calls_fail_one_by_one() {
    const SEED: u64 = 25;
    assert_eq!(run_seed(SEED).1.violations, []);
}

/// Guards against requests to upstreams that have left where processes start while connections to discovery
/// are refused: they use the list of their configuration, which may be of any age.
#[test]
fn the_rules_hold_where_processes_start_while_discovery_refuses_connections() {
    const SEED: u64 = 42;
    assert_eq!(run_seed(SEED).1.violations, []);
}

/// Checks the rules over the seeds of the suite, or over those that the environment names.
#[test]
fn the_rules_hold_under_restarts_and_discovery_faults() {
    let seeds: Vec<u64> = match number_from_env("SOAK_SEED") {
        Some(seed) => vec![seed],
        None => (1..=number_from_env("SOAK_SEEDS").unwrap_or(SUITE_SEEDS)).collect(),
    };
    let mut failed_seeds = Vec::new();
    let parallel_runs = number_from_env("SOAK_SIDE_BY_SIDE").unwrap_or(PARALLEL_RUNS) as usize;
    for batch in seeds.chunks(parallel_runs.max(1)) {
        let runs: Vec<_> = batch.iter().map(|&seed| thread::spawn(move || run_seed(seed))).collect();
        let results = runs.into_iter().map(|r| r.join().unwrap());
        failed_seeds.extend(results.filter(|(_, r)| !r.violations.is_empty()).map(|(seed, _)| seed));
    }
    println!("{} of {} seeds without a violation", seeds.len() - failed_seeds.len(), seeds.len());
    assert!(failed_seeds.is_empty(), "seeds with violations: {failed_seeds:?}");
}
