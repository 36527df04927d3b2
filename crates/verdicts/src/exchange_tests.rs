//! Tests of the exchange of opinions: when a finding is told, renewed and ended, and hearsay.

use super::*;

const AGE: Micros = Micros(20_000_000);

fn opinion(bad: f64, at: i64, ok_at: i64) -> ServerObservation {
    let (server, since, class) = (ServerId(0), None, None);
    ServerObservation {
        server,
        started_at: since,
        class,
        severity: bad,
        outlier_score: bad,
        has_answered: true,
        is_unreachable: false,
        overdue_share: 0.0,
        last_ended_at: Micros(at),
        last_ok_at: Micros(ok_at),
    }
}

fn findings(sends_to: usize, opinions: &[ServerObservation]) -> LocalObservations {
    LocalObservations { servers_in_use: sends_to, servers: opinions.to_vec() }
}

fn said(e: &mut VerdictExchange, now: i64, o: ServerObservation, sends_to: usize) -> Vec<(Claim, i64)> {
    let sayings = e.collect_claims(Micros(now), &findings(sends_to, &[o]), AGE, |_| "n");
    sayings.into_iter().map(|(_, v, age)| (Claim::from_value(&v).unwrap(), age.0)).collect()
}

#[test]
fn a_finding_is_said_once_renewed_by_evidence_and_ended_by_a_good_answer() {
    let mut e = VerdictExchange::new("p", &[]);
    let first = said(&mut e, 1_000, opinion(0.8, 900, 0), 10);
    assert_eq!((first.len(), first[0].0.condition, first[0].1), (1, NodeCondition::Sick, 100));
    assert_eq!(said(&mut e, 2_000, opinion(0.8, 900, 0), 10), []);
    // No new evidence: it grows old, whatever time passes.
    assert_eq!(said(&mut e, 10_000_000, opinion(0.8, 900, 0), 10), []);
    assert_eq!(said(&mut e, 10_000_100, opinion(0.8, 10_000_000, 0), 10).len(), 1);
    let well = said(&mut e, 11_000_000, opinion(0.0, 10_900_000, 10_900_000), 10);
    assert_eq!((well.len(), well[0].0.condition, well[0].1), (1, NodeCondition::Well, 100_000));
    assert_eq!(said(&mut e, 12_000_000, opinion(0.0, 10_900_000, 10_900_000), 10), []);
}

#[test]
fn hearsay_is_told_once_taken_back_once_and_never_of_another_life() {
    let mut e = VerdictExchange::new("p", &[]);
    e.register_nodes(1, &|_| "n");
    let subject = Subject { pool: name_hash("p"), node: name_hash("n"), started_at_us: 5, class: 0 };
    let prior = MergedVerdict { subject, severity: 0.9, age: Micros(10), probes_node: false };
    assert_eq!(e.update_verdicts(Micros(100), &[prior], |_| Some(Micros(6))), []);
    let told = e.update_verdicts(Micros(100), &[prior], |_| Some(Micros(5)));
    assert_eq!((told.len(), told[0].severity, told[0].found_at), (1, 0.9, Micros(90)));
    assert_eq!(
        e.update_verdicts(Micros(200), &[MergedVerdict { age: Micros(110), ..prior }], |_| Some(Micros(5))),
        []
    );
    assert_eq!(
        e.update_verdicts(Micros(200), &[MergedVerdict { probes_node: true, ..prior }], |_| Some(Micros(5)))
            .len(),
        1
    );
    let back = e.update_verdicts(Micros(300), &[], |_| Some(Micros(5)));
    assert_eq!((back.len(), back[0].severity), (1, 0.0));
    assert_eq!(e.update_verdicts(Micros(300), &[], |_| Some(Micros(5))), []);
}

/// Guards against a member with a broken way to most nodes that is a second voice against each: it has no answer from these,
/// so it can't tell a node that is sick from a way that is broken. In drills m4, which reaches three nodes of nine, said
/// `silent` and `sick` of n7 within 0.2 s of the only member that had ejected it, by mistake; and so did m3 of n1 and n2,
/// which it never reached.
#[test]
fn a_node_that_never_answered_is_no_sick_one_but_one_that_cannot_be_reached() {
    let what = |o: ServerObservation| -> Vec<NodeCondition> {
        let said = said(&mut VerdictExchange::new("p", &[]), 1_000, o, 10);
        said.into_iter().map(|(claim, _)| claim.condition).collect()
    };
    let silent = ServerObservation { overdue_share: 1.0, ..opinion(0.0, 900, 0) };
    let refused = ServerObservation { is_unreachable: true, ..opinion(0.8, 900, 0) };
    for (o, answered, never) in [
        (opinion(0.8, 900, 0), vec![NodeCondition::Sick], vec![NodeCondition::Unreachable]),
        (silent, vec![NodeCondition::Silent], vec![]),
        (refused, vec![NodeCondition::Unreachable], vec![NodeCondition::Unreachable]),
    ] {
        assert_eq!(what(o), answered, "{o:?}");
        assert_eq!(what(ServerObservation { has_answered: false, ..o }), never, "{o:?}");
    }
}

/// A member whose way to most nodes breaks later ejects a third of them at the most, and has few calls out: its own fault
/// shows in the scores, and lasts until these nodes have answered.
#[test]
fn a_fault_of_ones_own_shows_in_scores_and_lasts_until_nodes_answer() {
    const NODES: u32 = 9;
    let of = |n: u32, score: f64, ejected: bool, ok_at: i64| ServerObservation {
        server: ServerId(n),
        outlier_score: score,
        severity: if ejected { score } else { 0.0 },
        ..opinion(0.0, 900, ok_at)
    };
    let names: Vec<String> = (0..NODES).map(|n| format!("n{n}")).collect();
    let say = |e: &mut VerdictExchange, now: i64, opinions: &[ServerObservation]| {
        let findings = findings(NODES as usize, opinions);
        let said = e.collect_claims(Micros(now), &findings, AGE, |id| &names[id.0 as usize]);
        said.len()
    };
    // Two ejected, three more that have failed all that they got since they answered last.
    let doubted: Vec<ServerObservation> = (0..5).map(|n| of(n, 0.6, n < 2, 100)).collect();
    let mut e = VerdictExchange::new("p", &[]);
    assert_eq!(say(&mut e, 1_000, &doubted), 0);
    // One of them answers: four of nine are no fault of this member's.
    let mut answered = doubted.clone();
    answered[4] = of(4, 0.3, false, 950);
    assert_eq!(say(&mut e, 2_000, &answered), 2);
}
