//! Tests of the exchange of opinions: when a finding is told, renewed and ended, and hearsay.

use super::*;

const AGE: Micros = Micros(20_000_000);

fn opinion(bad: f64, at: i64, ok_at: i64) -> Opinion {
    let (server, since, class) = (ServerId(0), None, None);
    Opinion {
        server,
        since,
        class,
        bad,
        unreachable: false,
        silent: 0.0,
        at: Micros(at),
        ok_at: Micros(ok_at),
    }
}

fn said(e: &mut Exchange, now: i64, o: Opinion, ready: usize) -> Vec<(Claim, i64)> {
    let sayings = e.speak(Micros(now), &[o], ready, AGE, |_| "n");
    sayings.into_iter().map(|(_, v, age)| (Claim::of_value(&v).unwrap(), age.0)).collect()
}

#[test]
fn a_finding_is_said_once_renewed_by_evidence_and_ended_by_a_good_answer() {
    let mut e = Exchange::new("p", &[]);
    let first = said(&mut e, 1_000, opinion(0.8, 900, 0), 10);
    assert_eq!((first.len(), first[0].0.what, first[0].1), (1, What::Sick, 100));
    assert_eq!(said(&mut e, 2_000, opinion(0.8, 900, 0), 10), []);
    // No new evidence: it grows old, whatever time passes.
    assert_eq!(said(&mut e, 10_000_000, opinion(0.8, 900, 0), 10), []);
    assert_eq!(said(&mut e, 10_000_100, opinion(0.8, 10_000_000, 0), 10).len(), 1);
    let well = said(&mut e, 11_000_000, opinion(0.0, 10_900_000, 10_900_000), 10);
    assert_eq!((well.len(), well[0].0.what, well[0].1), (1, What::Well, 100_000));
    assert_eq!(said(&mut e, 12_000_000, opinion(0.0, 10_900_000, 10_900_000), 10), []);
}

#[test]
fn hearsay_is_told_once_taken_back_once_and_never_of_another_life() {
    let mut e = Exchange::new("p", &[]);
    e.meet(1, &|_| "n");
    let subject = Subject { pool: hash("p"), node: hash("n"), since: 5, class: 0 };
    let prior = Prior { subject, bad: 0.9, age: Micros(10), tries: false };
    assert_eq!(e.hear(Micros(100), &[prior], |_| Some(Micros(6))), []);
    let told = e.hear(Micros(100), &[prior], |_| Some(Micros(5)));
    assert_eq!((told.len(), told[0].bad, told[0].at), (1, 0.9, Micros(90)));
    assert_eq!(e.hear(Micros(200), &[Prior { age: Micros(110), ..prior }], |_| Some(Micros(5))), []);
    assert_eq!(e.hear(Micros(200), &[Prior { tries: true, ..prior }], |_| Some(Micros(5))).len(), 1);
    let back = e.hear(Micros(300), &[], |_| Some(Micros(5)));
    assert_eq!((back.len(), back[0].bad), (1, 0.0));
    assert_eq!(e.hear(Micros(300), &[], |_| Some(Micros(5))), []);
}
