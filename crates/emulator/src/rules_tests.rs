//! Tests of the rule checker: a lawful course of events passes, and every mutant of it is caught.

use super::*;

fn ms(n: i64) -> Micros {
    Micros(n * 1_000)
}

/// What each course of events breaks. Each but the first is a mutant of a lawful one.
fn breaks(run: impl FnOnce(&mut Checker)) -> Vec<Rule> {
    let mut c = Checker::default();
    run(&mut c);
    c.breaks().iter().map(|b| b.rule).collect()
}

#[test]
fn a_lawful_course_breaks_nothing() {
    let none = breaks(|c| {
        c.taken(1, ms(1_000), Allows::InCell(ms(500)), 3, false);
        c.sent(ms(0), 1, 4);
        c.ended(1, 0, Ran::Never);
        c.sent(ms(10), 1, 5);
        c.ended(1, 1, Ran::Perhaps);
        c.sent(ms(20), 1, 5);
        c.answered(ms(30), 1);
        c.ended(1, 2, Ran::Perhaps);
        c.taken(2, ms(100), Allows::None, 3, false);
        c.left(2);
        c.told(ms(0), 0, 7, false);
        c.sent_to(ms(500), 0, 7);
        c.told(ms(600), 0, 7, true);
        c.sent_to(ms(2_000), 0, 7);
        c.sent_to(ms(2_000), 1, 7);
        c.finish(ms(10_000));
    });
    assert_eq!(none, []);
}

#[test]
fn every_mutant_is_caught() {
    let take = |c: &mut Checker, allows| c.taken(1, ms(100), allows, 2, false);
    assert_eq!(
        breaks(|c| {
            take(c, Allows::Any);
            c.finish(ms(200))
        }),
        [Rule::OneAnswer]
    );
    assert_eq!(
        breaks(|c| {
            take(c, Allows::Any);
            c.answered(ms(151), 1)
        }),
        [Rule::OneAnswer]
    );
    assert_eq!(
        breaks(|c| {
            take(c, Allows::Any);
            c.gave_up(ms(150), 1)
        }),
        [Rule::OneAnswer]
    );
    assert_eq!(
        breaks(|c| {
            take(c, Allows::Any);
            c.gave_up(ms(90), 1)
        }),
        []
    );
    assert_eq!(
        breaks(|c| {
            take(c, Allows::Any);
            c.answered(ms(1), 1);
            c.answered(ms(2), 1)
        }),
        [Rule::OneAnswer]
    );
    let twice = |allows, cells: [usize; 2], first: Ran| {
        breaks(move |c| {
            take(c, allows);
            c.sent(ms(0), 1, cells[0]);
            c.ended(1, 0, first);
            c.sent(ms(50), 1, cells[1]);
        })
    };
    assert_eq!(twice(Allows::None, [1, 1], Ran::Perhaps), [Rule::Repeats]);
    assert_eq!(twice(Allows::None, [1, 1], Ran::Never), []);
    assert_eq!(twice(Allows::InCell(ms(100)), [1, 2], Ran::Perhaps), [Rule::Repeats]);
    assert_eq!(twice(Allows::InCell(ms(50)), [1, 1], Ran::Perhaps), [Rule::Repeats]);
    assert_eq!(twice(Allows::InCell(ms(51)), [1, 1], Ran::Perhaps), []);
    assert_eq!(
        breaks(|c| {
            take(c, Allows::Any);
            c.sent(ms(0), 1, 1);
            c.sent(ms(1), 1, 1)
        }),
        [Rule::Repeats]
    );
    assert_eq!(
        breaks(|c| {
            take(c, Allows::Any);
            for i in 0..3 {
                c.sent(ms(i), 1, 1);
                c.ended(1, i as u32, Ran::Never);
            }
        }),
        [Rule::Repeats]
    );
    assert_eq!(
        breaks(|c| {
            c.told(ms(0), 3, 7, false);
            c.sent_to(ms(501), 3, 7)
        }),
        [Rule::Drained]
    );
    let cold = |work: f64| {
        breaks(move |c| {
            c.started(5, 3.0, ms(2_000));
            for i in 0..30 {
                c.work_sent(ms(i * 100), 5, work, 1.0);
            }
        })
    };
    // Capacity 1: a second of work a second. 20 in a window of 2 s may bring 6 s of work.
    assert_eq!(cold(250_000.0), []);
    assert_eq!(cold(400_000.0), [Rule::ColdNode]);
}
