//! Processes that have lost their watch on discovery send nothing to upstreams that have left since.
//!
//! Each schedule is played in virtual time with real instances of the decision module. What counts as told is worked out
//! by `told` from the operators' pages and from what the bed wrote and when, never from what a module believes.

mod directory;
mod play;
mod schedule;
mod told;

use garnettally_model::Micros;
use play::{play, Course};
use schedule::{FailureMode, LeavingMode, Schedule, WatchLoss, SECOND};
use std::collections::BTreeMap;

fn seconds(at: Option<Micros>) -> String {
    at.map_or("never".to_string(), |at| format!("{:.1}", at.0 as f64 / SECOND as f64))
}

fn report(title: &str, schedule: &Schedule, course: &Course) {
    let mut causes: BTreeMap<String, usize> = BTreeMap::new();
    for b in &course.breaches {
        let watch = if b.watched { "watched" } else { "no watch" };
        *causes.entry(format!("{:?}, {watch}, {:?}", b.ground, b.mode)).or_default() += 1;
    }
    let worst = course.breaches.iter().map(|b| b.late_by).max();
    println!(
        "{title}, seed {}: {} breaches by {} of {} processes, up to {} s late {causes:?}; watches after {}, {}, {} s \
         (p50, p90, all); {} calls; served {:.4} of {}",
        schedule.seed,
        course.breaches.len(),
        course.breaking_processes(),
        schedule.processes,
        seconds(worst),
        seconds(course.watched(0.5)),
        seconds(course.watched(0.9)),
        seconds(course.watched(1.0)),
        course.calls,
        course.served_share(),
        course.asked,
    );
}

/// Plays a schedule, prints what came of it, and returns it.
fn look(title: &str, schedule: &Schedule) -> Course {
    let course = play(schedule);
    report(title, schedule, &course);
    course
}

/// A fleet that the service can answer within 6 s, if it is asked without a gap.
const PROCESSES: u32 = 300;

/// Guards against processes that ask the more rarely the longer discovery is down, and take every listed upstream for
/// one that stays once it has been down for a minute. What leaves turns new requests away.
#[test]
fn after_an_outage_of_any_length_nothing_goes_to_upstreams_that_have_left() {
    let mut breaches = 0;
    for failure in [FailureMode::RefusesLate, FailureMode::NoConnection] {
        for length in [8, 60] {
            let outage = Micros(length * SECOND);
            let schedule = Schedule::outage(1, PROCESSES, outage, failure, LeavingMode::Declines);
            breaches += look(&format!("outage of {length} s, {failure:?}"), &schedule).breaches.len();
        }
    }
    assert_eq!(breaches, 0);
}

/// Guards against processes that learn too late that a watch has fallen silent. What leaves goes on serving.
#[test]
fn when_watches_are_lost_nothing_goes_to_upstreams_that_have_left() {
    let mut breaches = 0;
    for how in [WatchLoss::Ended, WatchLoss::Silent] {
        let schedule = Schedule::lost_watches(1, PROCESSES, how, LeavingMode::GoesOnServing);
        breaches += look(&format!("watches {how:?}"), &schedule).breaches.len();
    }
    assert_eq!(breaches, 0);
}

/// How many drawn schedules the sweep plays: `STALE_LISTS_SEEDS=200 cargo test --release -p garnettally-emulator
/// --test stale_lists drawn -- --nocapture` plays many.
const SEEDS_VARIABLE: &str = "STALE_LISTS_SEEDS";

#[test]
fn under_drawn_faults_nothing_goes_to_upstreams_that_have_left() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|n| n.parse().ok()).unwrap_or(2);
    let mut breaches = 0;
    for seed in 1..=seeds {
        let schedule = Schedule::any(seed, PROCESSES);
        breaches += look(&schedule.to_string(), &schedule).breaches.len();
    }
    assert_eq!(breaches, 0);
}
