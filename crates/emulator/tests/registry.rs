//! Tests of the registry's queue: when calls are answered, which calls fail, and what they cost.

use garnettally_emulator::registry::{CallOutcome, RegistryLimits, RegistryQueue};
use garnettally_model::Micros;

const SECOND: i64 = 1_000_000;

/// With these limits a call without lines in its answer takes 0.3 s.
const LIMITS: RegistryLimits = RegistryLimits {
    lines_per_second: 100.0,
    call_lines: 30,
    max_wait: Micros(2 * SECOND),
    max_backlog: Micros(5 * SECOND),
};

fn answered(at: i64) -> CallOutcome {
    CallOutcome::Answered { at: Micros(at) }
}

fn refused(at: i64) -> CallOutcome {
    CallOutcome::Refused { at: Micros(at) }
}

#[test]
fn calls_are_answered_one_after_another_and_cost_their_lines() {
    let mut queue = RegistryQueue::new(LIMITS);
    assert_eq!(queue.call(Micros(0), 0), answered(300_000));
    assert_eq!(queue.call(Micros(100_000), 20), answered(800_000));
    assert_eq!(queue.call(Micros(100_000), 0), answered(1_100_000));
    assert_eq!(queue.backlog(Micros(600_000)), Micros(500_000));
    // After 3 s without calls the backlog is empty.
    assert_eq!(queue.backlog(Micros(3 * SECOND)), Micros(0));
    assert_eq!(queue.call(Micros(3 * SECOND), 0), answered(3_300_000));
    let figures = queue.figures();
    assert_eq!((figures.calls, figures.answered, figures.lines_spent), (4, 4, 140));
    assert_eq!((figures.refused_at_once, figures.refused_after_waiting), (0, 0));
}

#[test]
fn a_call_that_waits_too_long_fails_at_its_time_out_and_still_costs_its_lines() {
    let mut queue = RegistryQueue::new(LIMITS);
    assert_eq!(
        queue.call(Micros(0), 170),
        answered(2 * SECOND),
        "the answer arrives exactly at the time-out"
    );
    assert_eq!(queue.call(Micros(500_000), 0), answered(2_300_000));
    assert_eq!(queue.call(Micros(500_000), 0), refused(2_500_000));
    assert_eq!(queue.backlog(Micros(500_000)), Micros(2_100_000));
    assert_eq!(queue.figures().refused_after_waiting, 1);
    assert_eq!(queue.figures().lines_spent, 260);
}

#[test]
fn calls_beyond_the_backlog_limit_are_rejected_at_once_and_cost_nothing() {
    let mut queue = RegistryQueue::new(LIMITS);
    // 17 calls take 5.1 s to process.
    for n in 0..17 {
        assert_ne!(queue.call(Micros(0), 0), refused(0), "call {n}");
    }
    assert_eq!(queue.call(Micros(0), 0), refused(0));
    assert_eq!(queue.backlog(Micros(0)), Micros(5_100_000));
    assert_eq!(queue.call(Micros(99_999), 0), refused(99_999));
    // With a backlog of 5 s calls are accepted again, but time out.
    assert_eq!(queue.call(Micros(100_000), 0), refused(2_100_000));
    let figures = queue.figures();
    assert_eq!((figures.calls, figures.answered), (20, 6));
    assert_eq!((figures.refused_at_once, figures.refused_after_waiting), (2, 12));
    assert_eq!(figures.lines_spent, 18 * 30);
}

#[test]
fn during_an_outage_every_call_fails_at_its_time_out_and_costs_nothing() {
    let mut queue = RegistryQueue::new(LIMITS);
    queue.set_down(Micros(SECOND), Micros(9 * SECOND));
    assert_eq!(queue.call(Micros(600_000), 0), answered(900_000));
    // The call is accepted, but the outage begins before its answer.
    assert_eq!(queue.call(Micros(800_000), 0), refused(2_800_000));
    let spent = queue.figures().lines_spent;
    assert!(!queue.is_down(Micros(SECOND - 1)) && queue.is_down(Micros(SECOND)));
    assert_eq!(queue.call(Micros(SECOND), 0), refused(3 * SECOND));
    assert_eq!(queue.call(Micros(9 * SECOND - 1), 0), refused(11 * SECOND - 1));
    assert_eq!(queue.figures().lines_spent, spent);
    assert!(!queue.is_down(Micros(9 * SECOND)));
    assert_eq!(queue.call(Micros(9 * SECOND), 0), answered(9_300_000));
}

#[test]
fn work_accepted_before_an_outage_remains_after_it() {
    let mut queue = RegistryQueue::new(LIMITS);
    queue.set_down(Micros(SECOND), Micros(2 * SECOND));
    for _ in 0..10 {
        queue.call(Micros(0), 0);
    }
    assert_eq!(queue.call(Micros(2 * SECOND), 0), answered(3_300_000));
}
