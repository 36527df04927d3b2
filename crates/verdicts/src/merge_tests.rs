//! Tests of merged verdicts: how many voices are needed, where they hold, and whose are not heard.

use super::*;
use proptest::prelude::*;

fn subject(node: u64) -> Subject {
    Subject { pool: 1, node, started_at_us: 0, class: 0 }
}

fn said(member: u64, node: u64, what: NodeCondition, age: i64) -> MemberClaim {
    MemberClaim {
        member,
        subject: subject(node),
        claim: Claim { condition: what, severity: 0.8 },
        age: Micros(age),
    }
}

/// As member 1 of ten, in the zone of the odd ones, with twenty nodes.
fn heard(all: &[MemberClaim]) -> Vec<u64> {
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
fn one_voice_is_none_and_two_are_a_verdict() {
    assert_eq!(heard(&[said(2, 7, NodeCondition::Sick, 5)]), []);
    assert_eq!(heard(&[said(2, 7, NodeCondition::Sick, 5), said(2, 7, NodeCondition::Sick, 4)]), []);
    assert_eq!(heard(&[said(2, 7, NodeCondition::Sick, 5), said(3, 7, NodeCondition::Sick, 5)]), [7]);
    // One's own finding is a voice; without another's there is nothing to be told.
    assert_eq!(heard(&[said(2, 7, NodeCondition::Sick, 5), said(1, 7, NodeCondition::Sick, 5)]), [7]);
    assert_eq!(heard(&[said(1, 7, NodeCondition::Sick, 5)]), []);
}

/// Guards against waiting until each is sure by itself, and against a pause that two happen to meet.
#[test]
fn silence_takes_three_voices_or_one_that_is_sure() {
    let silent = [2, 3, 4].map(|m| said(m, 7, NodeCondition::Silent, 5));
    assert_eq!(heard(&silent[..2]), []);
    assert_eq!(heard(&silent), [7]);
    assert_eq!(heard(&[silent[0], said(5, 7, NodeCondition::Sick, 5)]), [7]);
    assert_eq!(heard(&[silent[0], silent[1], silent[2], said(6, 7, NodeCondition::Well, 1)]), []);
}

#[test]
fn unreachable_holds_for_the_zone_of_who_saw_it() {
    assert_eq!(
        heard(&[said(2, 7, NodeCondition::Unreachable, 5), said(4, 7, NodeCondition::Unreachable, 5)]),
        []
    );
    assert_eq!(
        heard(&[said(3, 7, NodeCondition::Unreachable, 5), said(5, 7, NodeCondition::Unreachable, 5)]),
        [7]
    );
    // Nor does that of one whose zone is not known.
    assert_eq!(
        heard(&[said(101, 7, NodeCondition::Unreachable, 5), said(103, 7, NodeCondition::Unreachable, 5)]),
        []
    );
}

/// Guards against a member whose way to a node is broken, and makes a verdict of another's mistake.
#[test]
fn one_that_cannot_reach_a_node_is_no_second_voice_for_it_being_sick() {
    let unreachable = said(3, 7, NodeCondition::Unreachable, 5);
    assert_eq!(heard(&[said(2, 7, NodeCondition::Sick, 5), unreachable]), []);
    assert_eq!(
        heard(&[said(2, 7, NodeCondition::Silent, 5), unreachable, said(5, 7, NodeCondition::Silent, 5)]),
        []
    );
    assert_eq!(
        heard(&[said(2, 7, NodeCondition::Sick, 5), unreachable, said(5, 7, NodeCondition::Unreachable, 5)]),
        [7]
    );
    assert_eq!(
        heard(&[said(2, 7, NodeCondition::Sick, 5), unreachable, said(4, 7, NodeCondition::Silent, 5)]),
        [7]
    );
}

#[test]
fn a_good_answer_ends_what_was_found_before_it() {
    let sick = [said(2, 7, NodeCondition::Sick, 50), said(3, 7, NodeCondition::Sick, 60)];
    assert_eq!(heard(&[sick[0], sick[1], said(4, 7, NodeCondition::Well, 40)]), []);
    assert_eq!(heard(&[sick[0], sick[1], said(4, 7, NodeCondition::Well, 70)]), [7]);
}

/// Guards against a liar, or a member whose own link is broken, that takes nodes from all others.
#[test]
fn who_finds_most_nodes_bad_is_not_heard() {
    let liar: Vec<MemberClaim> = (0..20).map(|n| said(2, n, NodeCondition::Sick, 1)).collect();
    let mut all = liar.clone();
    all.push(said(3, 7, NodeCondition::Sick, 5));
    assert_eq!(heard(&all), [], "the liar's voice makes no second one");
    all.push(said(4, 7, NodeCondition::Sick, 5));
    assert_eq!(heard(&all), [7]);
}

/// A node that is let back in gets a few trials in all, and somebody makes them.
#[test]
fn a_few_of_those_that_found_it_sick_try_it() {
    let all: Vec<MemberClaim> = (10..60).map(|m| said(m, 7, NodeCondition::Sick, 5)).collect();
    let triers = |dead: &[u64]| {
        let tries = |me: &u64| {
            let lives = |m| !dead.contains(&m);
            let view = FleetView {
                own_life: *me,
                same_zone: &|_| Some(true),
                is_alive: &lives,
                alive_members: 100,
                pool_size: &|_| 20,
            };
            merge_claims(&all, &view).iter().any(|p| p.probes_node)
        };
        (0..100).filter(|m| !dead.contains(m)).filter(tries).collect::<Vec<u64>>()
    };
    let first = triers(&[]);
    assert!(first.len() == PROBERS_PER_NODE && first.iter().all(|m| (10..60).contains(m)), "{first:?}");
    // Those that die hand it on, and who is left of them goes on.
    let next = triers(&first[..1]);
    assert!(
        next.len() == PROBERS_PER_NODE && next.contains(&first[1]) && !next.contains(&first[0]),
        "{next:?}"
    );
}

proptest! {
    /// Whatever is said, no prior rests on fewer than two members, on one that calls most nodes bad, or on
    /// something older than a good answer.
    #[test]
    fn no_prior_without_two_sound_voices(
        raw in proptest::collection::vec((1u64..8, 0u64..20, 0u8..3, 0i64..100), 0..120)
    ) {
        let whats = [NodeCondition::Sick, NodeCondition::Unreachable, NodeCondition::Well];
        let all: Vec<MemberClaim> = raw.iter().map(|&(m, n, w, age)| said(m, n, whats[w as usize], age)).collect();
        for node in heard(&all) {
            let on: Vec<&MemberClaim> = all.iter().filter(|s| s.subject.node == node).collect();
            let sound = |m: u64| {
                let mine = all.iter().filter(|s| s.member == m && s.claim.condition != NodeCondition::Well);
                mine.map(|s| s.subject.node).collect::<FxHashSet<u64>>().len() <= 10
            };
            let well = on.iter().filter(|s| s.claim.condition == NodeCondition::Well && sound(s.member));
            let well = well.map(|s| s.age).min();
            let voices: FxHashSet<u64> = on.iter()
                .filter(|s| s.claim.condition != NodeCondition::Well && sound(s.member))
                .filter(|s| well.is_none_or(|w| s.age < w))
                .map(|s| s.member).collect();
            prop_assert!(voices.len() >= 2, "node {node}: {voices:?}");
        }
    }
}
