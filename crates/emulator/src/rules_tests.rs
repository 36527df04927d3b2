//! Tests of the rule checker: a course of events that keeps the rules passes, and each violation is detected.

use super::*;

fn ms(n: i64) -> Micros {
    Micros(n * 1_000)
}

/// Returns the rules that a course of events breaks.
fn broken_rules(run: impl FnOnce(&mut RuleChecker)) -> Vec<Rule> {
    let mut checker = RuleChecker::default();
    run(&mut checker);
    checker.violations().iter().map(|b| b.rule).collect()
}

#[test]
fn a_course_that_keeps_the_rules_has_no_violations() {
    let none = broken_rules(|c| {
        c.request_accepted(1, ms(1_000), AllowedRepeats::InCell(ms(500)), 3, false);
        c.attempt_sent(ms(0), 1, 4);
        c.attempt_ended(1, 0, Execution::Never);
        c.attempt_sent(ms(10), 1, 5);
        c.attempt_ended(1, 1, Execution::Possible);
        c.attempt_sent(ms(20), 1, 5);
        c.request_answered(ms(30), 1);
        c.attempt_ended(1, 2, Execution::Possible);
        c.request_accepted(2, ms(100), AllowedRepeats::None, 3, false);
        c.client_left(2);
        c.node_state_notified(ms(0), 0, 7, false);
        c.node_sent_to(ms(500), 0, 7);
        c.node_state_notified(ms(600), 0, 7, true);
        c.node_sent_to(ms(2_000), 0, 7);
        c.node_sent_to(ms(2_000), 1, 7);
        c.finish(ms(10_000));
    });
    assert_eq!(none, []);
}

#[test]
fn every_violation_is_detected() {
    let accept = |c: &mut RuleChecker, allows| c.request_accepted(1, ms(100), allows, 2, false);
    assert_eq!(
        broken_rules(|c| {
            accept(c, AllowedRepeats::Any);
            c.finish(ms(200))
        }),
        [Rule::OneAnswer]
    );
    assert_eq!(
        broken_rules(|c| {
            accept(c, AllowedRepeats::Any);
            c.request_answered(ms(151), 1)
        }),
        [Rule::OneAnswer]
    );
    assert_eq!(
        broken_rules(|c| {
            accept(c, AllowedRepeats::Any);
            c.client_gave_up(ms(150), 1)
        }),
        [Rule::OneAnswer]
    );
    assert_eq!(
        broken_rules(|c| {
            accept(c, AllowedRepeats::Any);
            c.client_gave_up(ms(90), 1)
        }),
        []
    );
    assert_eq!(
        broken_rules(|c| {
            accept(c, AllowedRepeats::Any);
            c.request_answered(ms(1), 1);
            c.request_answered(ms(2), 1)
        }),
        [Rule::OneAnswer]
    );
    let twice = |allows, cells: [usize; 2], first: Execution| {
        broken_rules(move |c| {
            accept(c, allows);
            c.attempt_sent(ms(0), 1, cells[0]);
            c.attempt_ended(1, 0, first);
            c.attempt_sent(ms(50), 1, cells[1]);
        })
    };
    assert_eq!(twice(AllowedRepeats::None, [1, 1], Execution::Possible), [Rule::Repeats]);
    assert_eq!(twice(AllowedRepeats::None, [1, 1], Execution::Never), []);
    assert_eq!(twice(AllowedRepeats::InCell(ms(100)), [1, 2], Execution::Possible), [Rule::Repeats]);
    assert_eq!(twice(AllowedRepeats::InCell(ms(50)), [1, 1], Execution::Possible), [Rule::Repeats]);
    assert_eq!(twice(AllowedRepeats::InCell(ms(51)), [1, 1], Execution::Possible), []);
    assert_eq!(
        broken_rules(|c| {
            accept(c, AllowedRepeats::Any);
            c.attempt_sent(ms(0), 1, 1);
            c.attempt_sent(ms(1), 1, 1)
        }),
        [Rule::Repeats]
    );
    assert_eq!(
        broken_rules(|c| {
            accept(c, AllowedRepeats::Any);
            for i in 0..3 {
                c.attempt_sent(ms(i), 1, 1);
                c.attempt_ended(1, i as u32, Execution::Never);
            }
        }),
        [Rule::Repeats]
    );
    assert_eq!(
        broken_rules(|c| {
            c.node_state_notified(ms(0), 3, 7, false);
            c.node_sent_to(ms(501), 3, 7)
        }),
        [Rule::Drained]
    );
    let cold = |work: f64| {
        broken_rules(move |c| {
            c.node_started(5, 3.0, ms(2_000));
            for i in 0..30 {
                c.work_sent(ms(i * 100), 5, work, 1.0);
            }
        })
    };
    // At capacity 1 the node does a second of work a second. The 20 requests in a window of 2 s may carry 6 s
    // of work.
    assert_eq!(cold(250_000.0), []);
    assert_eq!(cold(400_000.0), [Rule::ColdNode]);
}
