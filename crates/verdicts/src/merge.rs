//! From what all say to what one member is to go by.

use crate::claim::{Claim, NodeCondition, Subject};
use garnettally_model::Micros;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members that try a sick node, of those that found it sick: each of them costs a request a back-off. With one alone a
/// verdict would lose its second voice before a node that stays sick is tried again; with three, 10 balancers lost 0.145%
/// in place of 0.134% while nodes hung (docs/experiments/fleet.md).
pub const PROBERS_PER_NODE: usize = 2;
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
pub struct MemberClaim {
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
pub struct FleetView<'a> {
    /// Its own life.
    pub own_life: u64,
    /// Whether a member is in its zone; `None`: the member is not known.
    pub same_zone: &'a dyn Fn(u64) -> Option<bool>,
    /// Whether another member is alive: who is not tries nothing.
    pub is_alive: &'a dyn Fn(u64) -> bool,
    /// Members that are alive, this one included.
    pub alive_members: usize,
    /// Nodes of this pool.
    pub pool_size: &'a dyn Fn(u64) -> usize,
}

/// What one member is to go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MergedVerdict {
    /// Of what.
    pub subject: Subject,
    /// How bad it is, 0 to 1.
    pub severity: f64,
    /// How old the newest that speaks for it is.
    pub age: Micros,
    /// It is this member that tries whether the node is well again.
    pub probes_node: bool,
}

/// Whether a member calls so many nodes of a pool bad that the fault is its own.
pub(crate) fn own_fault(bad: usize, nodes: usize) -> bool {
    nodes >= OWN_FAULT_NODES && bad * OWN_FAULT > nodes
}

fn members_of(claims: &[&MemberClaim]) -> FxHashSet<u64> {
    claims.iter().map(|s| s.member).collect()
}

/// How many members have to find a node sick or silent: one that is sure, and one for whom it is silent, are two voices.
fn sick_quorum(claims: &[&MemberClaim], quorum: usize) -> usize {
    match claims.iter().any(|s| s.claim.condition == NodeCondition::Sick) {
        true => quorum,
        false => SILENT_QUORUM,
    }
}

/// Merges what all say, this member included. Only others' words make a prior; its own module knows the rest.
pub fn merge_claims(said: &[MemberClaim], view: &FleetView<'_>) -> Vec<MergedVerdict> {
    let mut bad_nodes: FxHashMap<(u64, u64), FxHashSet<u64>> = FxHashMap::default();
    for s in said.iter().filter(|s| s.claim.condition != NodeCondition::Well) {
        bad_nodes.entry((s.member, s.subject.pool)).or_default().insert(s.subject.node);
    }
    let broken: FxHashSet<(u64, u64)> = bad_nodes
        .iter()
        .filter(|((_, pool), nodes)| own_fault(nodes.len(), (view.pool_size)(*pool)))
        .map(|(&key, _)| key)
        .collect();
    let mut subjects: BTreeMap<Subject, Vec<&MemberClaim>> = BTreeMap::new();
    for s in said.iter().filter(|s| !broken.contains(&(s.member, s.subject.pool))) {
        subjects.entry(s.subject).or_default().push(s);
    }
    let quorum = QUORUM.min(view.alive_members.saturating_sub(1)).max(1);
    let mut priors = Vec::new();
    for (subject, all) in subjects {
        // A good answer speaks against everything that was found before it.
        let well = all.iter().filter(|s| s.claim.condition == NodeCondition::Well).map(|s| s.age).min();
        let counts = |s: &&&MemberClaim| {
            let near = s.member == view.own_life || (view.same_zone)(s.member) == Some(true);
            s.claim.condition != NodeCondition::Well
                && (s.claim.condition != NodeCondition::Unreachable || near)
                && well.is_none_or(|well| s.age < well)
        };
        let claims: Vec<&MemberClaim> = all.iter().filter(counts).copied().collect();
        // A way that is broken is no second voice for a node that is sick: they say different things.
        let (unreachable, sick): (Vec<&MemberClaim>, Vec<&MemberClaim>) =
            claims.into_iter().partition(|s| s.claim.condition == NodeCondition::Unreachable);
        let mut claims = Vec::new();
        if members_of(&sick).len() >= sick_quorum(&sick, quorum) {
            claims.extend(sick);
        }
        if members_of(&unreachable).len() >= quorum {
            claims.extend(unreachable);
        }
        let members = members_of(&claims);
        let others = claims.iter().filter(|s| s.member != view.own_life);
        let Some(age) = others.clone().map(|s| s.age).min() else { continue };
        let severity = others.map(|s| s.claim.severity).fold(0.0, f64::max);
        let there = members.iter().filter(|&&m| m == view.own_life || (view.is_alive)(m));
        let mut triers: Vec<(u64, u64)> =
            there.map(|&m| (xxh3_64_with_seed(&m.to_be_bytes(), subject.node), m)).collect();
        triers.sort_unstable();
        let probes_node = triers.iter().take(PROBERS_PER_NODE).any(|&(_, m)| m == view.own_life);
        priors.push(MergedVerdict { subject, severity, age, probes_node });
    }
    priors
}

#[cfg(test)]
#[path = "merge_tests.rs"]
mod tests;
