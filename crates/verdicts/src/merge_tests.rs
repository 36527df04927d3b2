//! Tests of merged verdicts: how many claims a verdict needs, in which zones it applies, and whose claims are
//! ignored.

use super::*;
use proptest::prelude::*;

fn subject(node: u64) -> Subject {
    Subject { pool: 1, node, started_at_us: 0, class: 0 }
}

fn claim(member: u64, node: u64, condition: NodeCondition, age: i64) -> MemberClaim {
    MemberClaim {
        member,
        subject: subject(node),
        claim: Claim { condition, severity: 0.8 },
        age: Micros(age),
    }
}

/// Returns the nodes with verdicts at member 1 of ten, which is in the zone of the odd members, for a pool of
/// twenty nodes.
fn nodes_with_verdicts(all: &[MemberClaim]) -> Vec<u64> {
    let same_zone = |m: u64| (m < 100).then_some(m % 2 == 1);
    let view = FleetView {
        own_life: 1,
        same_zone: &same_zone,
        is_alive: &|_| true,
        alive_members: 10,
        pool_size: &|_| 20,
    };
    merge_claims(all, &view).iter().map(|p| p.subject.node).collect()
}

#[test]
fn a_verdict_needs_claims_of_two_members() {
    assert_eq!(nodes_with_verdicts(&[claim(2, 7, NodeCondition::Sick, 5)]), []);
    assert_eq!(
        nodes_with_verdicts(&[claim(2, 7, NodeCondition::Sick, 5), claim(2, 7, NodeCondition::Sick, 4)]),
        []
    );
    assert_eq!(
        nodes_with_verdicts(&[claim(2, 7, NodeCondition::Sick, 5), claim(3, 7, NodeCondition::Sick, 5)]),
        [7]
    );
    // The member's own claim counts towards the quorum, but a verdict needs a claim of another member.
    assert_eq!(
        nodes_with_verdicts(&[claim(2, 7, NodeCondition::Sick, 5), claim(1, 7, NodeCondition::Sick, 5)]),
        [7]
    );
    assert_eq!(nodes_with_verdicts(&[claim(1, 7, NodeCondition::Sick, 5)]), []);
}

/// Guards against waiting until each member alone is sure, and against a verdict on a pause that two members
/// observe by chance.
#[test]
fn a_verdict_needs_three_silent_claims_or_a_silent_and_a_sick_one() {
    let silent = [2, 3, 4].map(|m| claim(m, 7, NodeCondition::Silent, 5));
    assert_eq!(nodes_with_verdicts(&silent[..2]), []);
    assert_eq!(nodes_with_verdicts(&silent), [7]);
    assert_eq!(nodes_with_verdicts(&[silent[0], claim(5, 7, NodeCondition::Sick, 5)]), [7]);
    assert_eq!(
        nodes_with_verdicts(&[silent[0], silent[1], silent[2], claim(6, 7, NodeCondition::Well, 1)]),
        []
    );
}

#[test]
fn unreachable_claims_count_only_within_the_zone_of_the_claiming_members() {
    assert_eq!(
        nodes_with_verdicts(&[
            claim(2, 7, NodeCondition::Unreachable, 5),
            claim(4, 7, NodeCondition::Unreachable, 5)
        ]),
        []
    );
    assert_eq!(
        nodes_with_verdicts(&[
            claim(3, 7, NodeCondition::Unreachable, 5),
            claim(5, 7, NodeCondition::Unreachable, 5)
        ]),
        [7]
    );
    // Claims of members whose zone is not known do not count, either.
    assert_eq!(
        nodes_with_verdicts(&[
            claim(101, 7, NodeCondition::Unreachable, 5),
            claim(103, 7, NodeCondition::Unreachable, 5)
        ]),
        []
    );
}

/// Guards against a member with a broken network path to a node that turns another member's mistake into a
/// verdict.
#[test]
fn an_unreachable_claim_does_not_confirm_a_sick_claim() {
    let unreachable = claim(3, 7, NodeCondition::Unreachable, 5);
    assert_eq!(nodes_with_verdicts(&[claim(2, 7, NodeCondition::Sick, 5), unreachable]), []);
    assert_eq!(
        nodes_with_verdicts(&[
            claim(2, 7, NodeCondition::Silent, 5),
            unreachable,
            claim(5, 7, NodeCondition::Silent, 5)
        ]),
        []
    );
    assert_eq!(
        nodes_with_verdicts(&[
            claim(2, 7, NodeCondition::Sick, 5),
            unreachable,
            claim(5, 7, NodeCondition::Unreachable, 5)
        ]),
        [7]
    );
    assert_eq!(
        nodes_with_verdicts(&[
            claim(2, 7, NodeCondition::Sick, 5),
            unreachable,
            claim(4, 7, NodeCondition::Silent, 5)
        ]),
        [7]
    );
}

#[test]
fn a_good_answer_invalidates_older_claims() {
    let sick = [claim(2, 7, NodeCondition::Sick, 50), claim(3, 7, NodeCondition::Sick, 60)];
    assert_eq!(nodes_with_verdicts(&[sick[0], sick[1], claim(4, 7, NodeCondition::Well, 40)]), []);
    assert_eq!(nodes_with_verdicts(&[sick[0], sick[1], claim(4, 7, NodeCondition::Well, 70)]), [7]);
}

/// Guards against a member that makes false claims, or whose own link is broken, and deprives all others of
/// nodes.
#[test]
fn claims_of_a_member_that_finds_most_nodes_impaired_are_ignored() {
    let faulty: Vec<MemberClaim> = (0..20).map(|n| claim(2, n, NodeCondition::Sick, 1)).collect();
    let mut all = faulty.clone();
    all.push(claim(3, 7, NodeCondition::Sick, 5));
    assert_eq!(nodes_with_verdicts(&all), [], "the claims of the faulty member do not count");
    all.push(claim(4, 7, NodeCondition::Sick, 5));
    assert_eq!(nodes_with_verdicts(&all), [7]);
}

/// A sick node is probed by a few members in total, and by at least one.
#[test]
fn a_few_of_the_members_that_found_a_node_sick_probe_it() {
    let all: Vec<MemberClaim> = (10..60).map(|m| claim(m, 7, NodeCondition::Sick, 5)).collect();
    let probers = |dead: &[u64]| {
        let probes = |me: &u64| {
            let is_alive = |m| !dead.contains(&m);
            let view = FleetView {
                own_life: *me,
                same_zone: &|_| Some(true),
                is_alive: &is_alive,
                alive_members: 100,
                pool_size: &|_| 20,
            };
            merge_claims(&all, &view).iter().any(|p| p.probes_node)
        };
        (0..100).filter(|m| !dead.contains(m)).filter(probes).collect::<Vec<u64>>()
    };
    let first = probers(&[]);
    assert!(first.len() == PROBERS_PER_NODE && first.iter().all(|m| (10..60).contains(m)), "{first:?}");
    // A prober that dies is replaced, and the remaining ones continue.
    let next = probers(&first[..1]);
    assert!(
        next.len() == PROBERS_PER_NODE && next.contains(&first[1]) && !next.contains(&first[0]),
        "{next:?}"
    );
}

proptest! {
    /// For any claims, no verdict is based on fewer than two members, on a member that claims most nodes to
    /// be impaired, or on claims older than a good answer.
    #[test]
    fn no_verdict_without_claims_of_two_members_without_own_fault(
        raw in proptest::collection::vec((1u64..8, 0u64..20, 0u8..3, 0i64..100), 0..120)
    ) {
        let conditions = [NodeCondition::Sick, NodeCondition::Unreachable, NodeCondition::Well];
        let all: Vec<MemberClaim> =
            raw.iter().map(|&(m, n, w, age)| claim(m, n, conditions[w as usize], age)).collect();
        for node in nodes_with_verdicts(&all) {
            let on: Vec<&MemberClaim> = all.iter().filter(|s| s.subject.node == node).collect();
            let has_no_own_fault = |m: u64| {
                let mine = all.iter().filter(|s| s.member == m && s.claim.condition != NodeCondition::Well);
                mine.map(|s| s.subject.node).collect::<FxHashSet<u64>>().len() <= 10
            };
            let well = on.iter()
                .filter(|s| s.claim.condition == NodeCondition::Well && has_no_own_fault(s.member));
            let well = well.map(|s| s.age).min();
            let members: FxHashSet<u64> = on.iter()
                .filter(|s| s.claim.condition != NodeCondition::Well && has_no_own_fault(s.member))
                .filter(|s| well.is_none_or(|w| s.age < w))
                .map(|s| s.member).collect();
            prop_assert!(members.len() >= 2, "node {node}: {members:?}");
        }
    }
}
