//! Tests of the schedule: arrivals follow the rates of the phases.

use super::*;

#[test]
fn arrivals_follow_the_rates_of_the_phases() {
    let s = Duration::from_secs;
    let phases = vec![
        Phase { from: 0.0, to: 1_000.0, lasts: s(10) },
        Phase { from: 1_000.0, to: 1_000.0, lasts: s(10) },
        Phase { from: 0.0, to: 0.0, lasts: s(5) },
        Phase { from: 100.0, to: 100.0, lasts: s(10) },
    ];
    let schedule = Schedule::new(phases, 3);
    assert_eq!(schedule.lasts(), s(35));
    let all: Vec<Duration> = schedule.collect();
    let within = |a: u64, b: u64| all.iter().filter(|t| **t >= s(a) && **t < s(b)).count() as f64;
    for (seen, meant) in [
        (within(0, 5), 1_250.0),
        (within(5, 10), 3_750.0),
        (within(10, 20), 10_000.0),
        (within(25, 35), 1_000.0),
    ] {
        assert!((seen - meant).abs() < 5.0 * f64::sqrt(meant), "{seen} for {meant}");
    }
    assert_eq!(within(20, 25), 0.0);
    assert!(all.windows(2).all(|w| w[0] <= w[1]));
    assert_eq!(Schedule::new(Vec::new(), 1).next(), None);
}
