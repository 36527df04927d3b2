//! Tests of the statistics over seeds: confidence intervals against tables, and paired differences.

use super::*;

#[test]
fn confidence_intervals_match_tables_of_students_t() {
    // t for 4 degrees of freedom and 95%: 2.776; deviation of 1..5: 1.5811.
    let m = Mean::from_values(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert_eq!(m.mean, 3.0);
    assert!((m.half - 2.776_445 * 1.581_139 / 5f64.sqrt()).abs() < 1e-4, "{}", m.half);
    assert!(Mean::from_values(&[7.0]).half.is_infinite() && !Mean::from_values(&[7.0]).excludes_zero());
    assert!(Mean::from_values(&[1.0, 1.0, 1.1]).excludes_zero());
}

#[test]
fn differences_are_taken_between_rows_of_the_same_seed() {
    let row = |policy, seed, service| Row {
        case: "c".into(),
        hash: 0,
        policy,
        seed,
        service,
        worst_second: 0.0,
        goodput: 0.0,
        waste: 0.0,
        retry_amplification: 0.0,
        p50_ms: 0.0,
        p99_ms: 0.0,
        imbalance: 0.0,
        broken: 0,
        decisions: 0,
        events: 0,
    };
    let (a, b) = (PolicyKind::Module, PolicyKind::Random);
    let all = [row(a, 1, 0.9), row(a, 2, 0.5), row(b, 1, 0.8), row(b, 2, 0.4), row(b, 3, 0.1)];
    let d = paired(&all, "c", b, a, &FIGURES[0]);
    assert!((d.mean + 0.1).abs() < 1e-12 && d.half < 1e-9 && d.n == 2, "{d:?}");
}
