//! From what all say to what one member is to go by.

use crate::claim::{Claim, Subject, What};
use garnettally_model::Micros;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members that try a sick node, of those that found it sick: each of them costs a request a back-off. With one alone a
/// verdict would lose its second voice before a node that stays sick is tried again; with three, 10 balancers lost 0.145%
/// in place of 0.134% while nodes hung (docs/experiments/fleet.md).
pub const TRIERS: usize = 2;
/// So many members have to say the same: one alone may be the one that is broken.
const QUORUM: usize = 2;
/// Or so many that it is silent: by chance, once in three million.
const SILENT_QUORUM: usize = 3;
/// Whoever finds more than one in so many nodes of a pool bad has a broken link of its own.
const OWN_FAULT: usize = 2;
/// In pools of fewer nodes than this, that can't be told.
const OWN_FAULT_NODES: usize = 4;

/// What a member said.
#[derive(Clone, Copy, Debug)]
pub struct Said {
    /// The life of the member.
    pub member: u64,
    /// Of what.
    pub subject: Subject,
    /// What.
    pub claim: Claim,
    /// How old what it was found by is, at the most.
    pub age: Micros,
}

/// Where the one stands who is to go by it.
pub struct View<'a> {
    /// Its own life.
    pub me: u64,
    /// Whether a member is in its zone; `None`: the member is not known.
    pub same_zone: &'a dyn Fn(u64) -> Option<bool>,
    /// Whether another member is alive: who is not tries nothing.
    pub lives: &'a dyn Fn(u64) -> bool,
    /// Members that are alive, this one included.
    pub alive: usize,
    /// Nodes of this pool.
    pub nodes: &'a dyn Fn(u64) -> usize,
}

/// What one member is to go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prior {
    /// Of what.
    pub subject: Subject,
    /// How bad it is, 0 to 1.
    pub bad: f64,
    /// How old the newest that speaks for it is.
    pub age: Micros,
    /// It is this member that tries whether the node is well again.
    pub tries: bool,
}

/// Whether a member calls so many nodes of a pool bad that the fault is its own.
pub(crate) fn own_fault(bad: usize, nodes: usize) -> bool {
    nodes >= OWN_FAULT_NODES && bad * OWN_FAULT > nodes
}

/// Merges what all say, this member included. Only others' words make a prior; its own module knows the rest.
pub fn merge(said: &[Said], view: &View<'_>) -> Vec<Prior> {
    let mut bad_nodes: FxHashMap<(u64, u64), FxHashSet<u64>> = FxHashMap::default();
    for s in said.iter().filter(|s| s.claim.what != What::Well) {
        bad_nodes.entry((s.member, s.subject.pool)).or_default().insert(s.subject.node);
    }
    let broken: FxHashSet<(u64, u64)> = bad_nodes
        .iter()
        .filter(|((_, pool), nodes)| own_fault(nodes.len(), (view.nodes)(*pool)))
        .map(|(&key, _)| key)
        .collect();
    let mut subjects: BTreeMap<Subject, Vec<&Said>> = BTreeMap::new();
    for s in said.iter().filter(|s| !broken.contains(&(s.member, s.subject.pool))) {
        subjects.entry(s.subject).or_default().push(s);
    }
    let quorum = QUORUM.min(view.alive.saturating_sub(1)).max(1);
    let mut priors = Vec::new();
    for (subject, all) in subjects {
        // A good answer speaks against everything that was found before it.
        let well = all.iter().filter(|s| s.claim.what == What::Well).map(|s| s.age).min();
        let counts = |s: &&&Said| {
            let near = s.member == view.me || (view.same_zone)(s.member) == Some(true);
            s.claim.what != What::Well
                && (s.claim.what != What::Unreachable || near)
                && well.is_none_or(|well| s.age < well)
        };
        let claims: Vec<&&Said> = all.iter().filter(counts).collect();
        let members: FxHashSet<u64> = claims.iter().map(|s| s.member).collect();
        let others = claims.iter().filter(|s| s.member != view.me);
        let Some(age) = others.clone().map(|s| s.age).min() else { continue };
        // One that is sure, and one for whom it is silent, are two voices.
        let sure: FxHashSet<u64> =
            claims.iter().filter(|s| s.claim.what != What::Silent).map(|s| s.member).collect();
        let silent_quorum = if sure.is_empty() { SILENT_QUORUM } else { quorum };
        if members.len() < silent_quorum {
            continue;
        }
        let bad = others.map(|s| s.claim.bad).fold(0.0, f64::max);
        let there = members.iter().filter(|&&m| m == view.me || (view.lives)(m));
        let mut triers: Vec<(u64, u64)> =
            there.map(|&m| (xxh3_64_with_seed(&m.to_be_bytes(), subject.node), m)).collect();
        triers.sort_unstable();
        let tries = triers.iter().take(TRIERS).any(|&(_, m)| m == view.me);
        priors.push(Prior { subject, bad, age, tries });
    }
    priors
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn subject(node: u64) -> Subject {
        Subject { pool: 1, node, since: 0, class: 0 }
    }

    fn said(member: u64, node: u64, what: What, age: i64) -> Said {
        Said { member, subject: subject(node), claim: Claim { what, bad: 0.8 }, age: Micros(age) }
    }

    /// As member 1 of ten, in the zone of the odd ones, with twenty nodes.
    fn heard(all: &[Said]) -> Vec<u64> {
        let same_zone = |m: u64| (m < 100).then_some(m % 2 == 1);
        let view = View { me: 1, same_zone: &same_zone, lives: &|_| true, alive: 10, nodes: &|_| 20 };
        merge(all, &view).iter().map(|p| p.subject.node).collect()
    }

    #[test]
    fn one_voice_is_none_and_two_are_a_verdict() {
        assert_eq!(heard(&[said(2, 7, What::Sick, 5)]), []);
        assert_eq!(heard(&[said(2, 7, What::Sick, 5), said(2, 7, What::Sick, 4)]), []);
        assert_eq!(heard(&[said(2, 7, What::Sick, 5), said(3, 7, What::Sick, 5)]), [7]);
        // One's own finding is a voice; without another's there is nothing to be told.
        assert_eq!(heard(&[said(2, 7, What::Sick, 5), said(1, 7, What::Sick, 5)]), [7]);
        assert_eq!(heard(&[said(1, 7, What::Sick, 5)]), []);
    }

    /// Guards against waiting until each is sure by itself, and against a pause that two happen to meet.
    #[test]
    fn silence_takes_three_voices_or_one_that_is_sure() {
        let silent = [2, 3, 4].map(|m| said(m, 7, What::Silent, 5));
        assert_eq!(heard(&silent[..2]), []);
        assert_eq!(heard(&silent), [7]);
        assert_eq!(heard(&[silent[0], said(5, 7, What::Sick, 5)]), [7]);
        assert_eq!(heard(&[silent[0], silent[1], silent[2], said(6, 7, What::Well, 1)]), []);
    }

    #[test]
    fn unreachable_holds_for_the_zone_of_who_saw_it() {
        assert_eq!(heard(&[said(2, 7, What::Unreachable, 5), said(4, 7, What::Unreachable, 5)]), []);
        assert_eq!(heard(&[said(3, 7, What::Unreachable, 5), said(5, 7, What::Unreachable, 5)]), [7]);
        // Nor does that of one whose zone is not known.
        assert_eq!(heard(&[said(101, 7, What::Unreachable, 5), said(103, 7, What::Unreachable, 5)]), []);
    }

    #[test]
    fn a_good_answer_ends_what_was_found_before_it() {
        let sick = [said(2, 7, What::Sick, 50), said(3, 7, What::Sick, 60)];
        assert_eq!(heard(&[sick[0], sick[1], said(4, 7, What::Well, 40)]), []);
        assert_eq!(heard(&[sick[0], sick[1], said(4, 7, What::Well, 70)]), [7]);
    }

    /// Guards against a liar, or a member whose own link is broken, that takes nodes from all others.
    #[test]
    fn who_finds_most_nodes_bad_is_not_heard() {
        let liar: Vec<Said> = (0..20).map(|n| said(2, n, What::Sick, 1)).collect();
        let mut all = liar.clone();
        all.push(said(3, 7, What::Sick, 5));
        assert_eq!(heard(&all), [], "the liar's voice makes no second one");
        all.push(said(4, 7, What::Sick, 5));
        assert_eq!(heard(&all), [7]);
    }

    /// A node that is let back in gets a few trials in all, and somebody makes them.
    #[test]
    fn a_few_of_those_that_found_it_sick_try_it() {
        let all: Vec<Said> = (10..60).map(|m| said(m, 7, What::Sick, 5)).collect();
        let triers = |dead: &[u64]| {
            let tries = |me: &u64| {
                let lives = |m| !dead.contains(&m);
                let view =
                    View { me: *me, same_zone: &|_| Some(true), lives: &lives, alive: 100, nodes: &|_| 20 };
                merge(&all, &view).iter().any(|p| p.tries)
            };
            (0..100).filter(|m| !dead.contains(m)).filter(tries).collect::<Vec<u64>>()
        };
        let first = triers(&[]);
        assert!(first.len() == TRIERS && first.iter().all(|m| (10..60).contains(m)), "{first:?}");
        // Those that die hand it on, and who is left of them goes on.
        let next = triers(&first[..1]);
        assert!(next.len() == TRIERS && next.contains(&first[1]) && !next.contains(&first[0]), "{next:?}");
    }

    proptest! {
        /// Whatever is said, no prior rests on fewer than two members, on one that calls most nodes bad, or on
        /// something older than a good answer.
        #[test]
        fn no_prior_without_two_sound_voices(
            raw in proptest::collection::vec((1u64..8, 0u64..20, 0u8..3, 0i64..100), 0..120)
        ) {
            let whats = [What::Sick, What::Unreachable, What::Well];
            let all: Vec<Said> = raw.iter().map(|&(m, n, w, age)| said(m, n, whats[w as usize], age)).collect();
            for node in heard(&all) {
                let on: Vec<&Said> = all.iter().filter(|s| s.subject.node == node).collect();
                let sound = |m: u64| {
                    let mine = all.iter().filter(|s| s.member == m && s.claim.what != What::Well);
                    mine.map(|s| s.subject.node).collect::<FxHashSet<u64>>().len() <= 10
                };
                let well = on.iter().filter(|s| s.claim.what == What::Well && sound(s.member));
                let well = well.map(|s| s.age).min();
                let voices: FxHashSet<u64> = on.iter()
                    .filter(|s| s.claim.what != What::Well && sound(s.member))
                    .filter(|s| well.is_none_or(|w| s.age < w))
                    .map(|s| s.member).collect();
                prop_assert!(voices.len() >= 2, "node {node}: {voices:?}");
            }
        }
    }
}
