//! Tests of the exchange of verdicts: when a claim is published, renewed and ended, and when a peer
//! verdict is passed on to the module.

use super::*;

const MAX_AGE: Micros = Micros(20_000_000);

fn observation(bad: f64, at: i64, ok_at: i64) -> ServerObservation {
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

fn local_observations(servers_in_use: usize, observations: &[ServerObservation]) -> LocalObservations {
    LocalObservations { servers_in_use, servers: observations.to_vec() }
}

fn published_claims(
    exchange: &mut VerdictExchange,
    now: i64,
    observation: ServerObservation,
    servers_in_use: usize,
) -> Vec<(Claim, i64)> {
    let claims = exchange.collect_claims(
        Micros(now),
        &local_observations(servers_in_use, &[observation]),
        MAX_AGE,
        |_| "n",
    );
    claims.into_iter().map(|(_, v, age)| (Claim::from_value(&v).unwrap(), age.0)).collect()
}

#[test]
fn a_claim_is_published_once_renewed_by_evidence_and_ended_by_a_good_answer() {
    let mut exchange = VerdictExchange::new("p", &[]);
    let first = published_claims(&mut exchange, 1_000, observation(0.8, 900, 0), 10);
    assert_eq!((first.len(), first[0].0.condition, first[0].1), (1, NodeCondition::Sick, 100));
    assert_eq!(published_claims(&mut exchange, 2_000, observation(0.8, 900, 0), 10), []);
    // Without new evidence the claim is not published again, however much time passes.
    assert_eq!(published_claims(&mut exchange, 10_000_000, observation(0.8, 900, 0), 10), []);
    assert_eq!(published_claims(&mut exchange, 10_000_100, observation(0.8, 10_000_000, 0), 10).len(), 1);
    let well = published_claims(&mut exchange, 11_000_000, observation(0.0, 10_900_000, 10_900_000), 10);
    assert_eq!((well.len(), well[0].0.condition, well[0].1), (1, NodeCondition::Well, 100_000));
    assert_eq!(published_claims(&mut exchange, 12_000_000, observation(0.0, 10_900_000, 10_900_000), 10), []);
}

#[test]
fn remote_reports_are_passed_on_once_withdrawn_once_and_never_for_a_restarted_node() {
    let mut exchange = VerdictExchange::new("p", &[]);
    exchange.register_nodes(1, &|_| "n");
    let subject = Subject { pool: name_hash("p"), node: name_hash("n"), started_at_us: 5, class: 0 };
    let verdict = MergedVerdict { subject, severity: 0.9, age: Micros(10), probes_node: false };
    assert_eq!(exchange.update_verdicts(Micros(100), &[verdict], |_| Some(Micros(6))), []);
    let reports = exchange.update_verdicts(Micros(100), &[verdict], |_| Some(Micros(5)));
    assert_eq!((reports.len(), reports[0].severity, reports[0].found_at), (1, 0.9, Micros(90)));
    assert_eq!(
        exchange.update_verdicts(Micros(200), &[MergedVerdict { age: Micros(110), ..verdict }], |_| Some(
            Micros(5)
        )),
        []
    );
    assert_eq!(
        exchange
            .update_verdicts(Micros(200), &[MergedVerdict { probes_node: true, ..verdict }], |_| Some(
                Micros(5)
            ))
            .len(),
        1
    );
    let withdrawn = exchange.update_verdicts(Micros(300), &[], |_| Some(Micros(5)));
    assert_eq!((withdrawn.len(), withdrawn[0].severity), (1, 0.0));
    assert_eq!(exchange.update_verdicts(Micros(300), &[], |_| Some(Micros(5))), []);
}

/// Guards against a member with broken network paths to most nodes that confirms another member's claim on
/// each of them. It has no answer from these nodes, so it can't distinguish a sick node from a broken path.
/// In drills, m4, which reaches three nodes of nine, claimed that n7 was `silent` and `sick` within 0.2 s of
/// the only member that had ejected n7, by mistake; m3 did the same for n1 and n2, which it never reached.
#[test]
fn a_node_that_never_answered_is_claimed_to_be_unreachable_not_sick() {
    let conditions = |o: ServerObservation| -> Vec<NodeCondition> {
        let claims = published_claims(&mut VerdictExchange::new("p", &[]), 1_000, o, 10);
        claims.into_iter().map(|(claim, _)| claim.condition).collect()
    };
    let silent = ServerObservation { overdue_share: 1.0, ..observation(0.0, 900, 0) };
    let refused = ServerObservation { is_unreachable: true, ..observation(0.8, 900, 0) };
    for (o, answered, never) in [
        (observation(0.8, 900, 0), vec![NodeCondition::Sick], vec![NodeCondition::Unreachable]),
        (silent, vec![NodeCondition::Silent], vec![]),
        (refused, vec![NodeCondition::Unreachable], vec![NodeCondition::Unreachable]),
    ] {
        assert_eq!(conditions(o), answered, "{o:?}");
        assert_eq!(conditions(ServerObservation { has_answered: false, ..o }), never, "{o:?}");
    }
}

/// A member whose network paths to most nodes break later ejects at most a third of the nodes and has few
/// outstanding calls. Its own fault is recognised by the outlier scores, and lasts until these nodes have
/// answered.
#[test]
fn an_own_fault_is_recognised_by_scores_and_lasts_until_nodes_answer() {
    const NODES: u32 = 9;
    let observation_of = |n: u32, score: f64, ejected: bool, ok_at: i64| ServerObservation {
        server: ServerId(n),
        outlier_score: score,
        severity: if ejected { score } else { 0.0 },
        ..observation(0.0, 900, ok_at)
    };
    let names: Vec<String> = (0..NODES).map(|n| format!("n{n}")).collect();
    let claim_count = |exchange: &mut VerdictExchange, now: i64, observations: &[ServerObservation]| {
        let local_observations = local_observations(NODES as usize, observations);
        let claims =
            exchange.collect_claims(Micros(now), &local_observations, MAX_AGE, |id| &names[id.0 as usize]);
        claims.len()
    };
    // Two nodes are ejected, and three more have failed all calls since their latest good answer.
    let doubted: Vec<ServerObservation> = (0..5).map(|n| observation_of(n, 0.6, n < 2, 100)).collect();
    let mut exchange = VerdictExchange::new("p", &[]);
    assert_eq!(claim_count(&mut exchange, 1_000, &doubted), 0);
    // One of them answers: four impaired nodes of nine are not taken for this member's own fault.
    let mut answered = doubted.clone();
    answered[4] = observation_of(4, 0.3, false, 950);
    assert_eq!(claim_count(&mut exchange, 2_000, &answered), 2);
}
