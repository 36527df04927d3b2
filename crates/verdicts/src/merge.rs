//! The derivation of one member's verdicts from the claims of all members.

use crate::claim::{Claim, NodeCondition, Subject};
use garnettally_model::Micros;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of members that probe a sick node, out of those that claim that it is sick. Each of them spends
/// a request per back-off. With only one, the second claim behind a verdict would expire before a node that
/// stays sick is probed again; with three, 10 balancers lost 0.145% of the requests instead of 0.134% while
/// nodes hung (docs/experiments/fleet.md).
pub const PROBERS_PER_NODE: usize = 2;
/// The number of members that have to make the same claim, because a single member may itself be faulty.
const QUORUM: usize = 2;
/// The number of members that have to claim that a node is silent if none claims that it is sick. Response
/// times make this happen by chance once in three million.
const SILENT_QUORUM: usize = 3;
/// A member that claims more than one in this number of a pool's nodes to be impaired is itself at fault.
const OWN_FAULT_DIVISOR: usize = 2;
/// In pools with fewer nodes than this, a member's own fault can't be distinguished from faults of the nodes.
const OWN_FAULT_MIN_NODES: usize = 4;

/// A claim together with the member that published it.
#[derive(Clone, Copy, Debug)]
pub struct MemberClaim {
    /// The life of the member, which identifies one run of its process.
    pub member: u64,
    /// The subject of the claim.
    pub subject: Subject,
    /// The claim about the subject.
    pub claim: Claim,
    /// An upper bound on the age of the evidence for the claim.
    pub age: Micros,
}

/// The fleet and the pools as seen by the member for which claims are merged.
pub struct FleetView<'a> {
    /// The life of the member for which claims are merged.
    pub own_life: u64,
    /// Returns whether the member with a given life is in the same zone, or `None` if it is not known.
    pub same_zone: &'a dyn Fn(u64) -> Option<bool>,
    /// Returns whether another member, given by its life, is alive. Dead members are not chosen to probe
    /// nodes.
    pub is_alive: &'a dyn Fn(u64) -> bool,
    /// The number of members that are alive, this one included.
    pub alive_members: usize,
    /// Returns the number of nodes of the pool whose name has a given hash.
    pub pool_size: &'a dyn Fn(u64) -> usize,
}

/// A verdict about a subject that a member applies because of the claims of others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MergedVerdict {
    /// The subject of the verdict.
    pub subject: Subject,
    /// The largest severity among the claims of the other members, from 0 to 1.
    pub severity: f64,
    /// The age of the newest claim of another member that supports the verdict.
    pub age: Micros,
    /// Whether this member is one of those that probe the node to find out if it is well again.
    pub probes_node: bool,
}

/// Whether a member claims so many nodes of a pool to be impaired that the fault is its own.
pub(crate) fn is_own_fault(impaired: usize, nodes: usize) -> bool {
    nodes >= OWN_FAULT_MIN_NODES && impaired * OWN_FAULT_DIVISOR > nodes
}

fn members_of(claims: &[&MemberClaim]) -> FxHashSet<u64> {
    claims.iter().map(|claim| claim.member).collect()
}

/// The number of members that have to claim that a node is sick or silent. A claim that it is sick and one
/// that it is silent confirm each other.
fn sick_quorum(claims: &[&MemberClaim], quorum: usize) -> usize {
    match claims.iter().any(|claim| claim.claim.condition == NodeCondition::Sick) {
        true => quorum,
        false => SILENT_QUORUM,
    }
}

/// Derives the verdicts of one member from the claims of all, its own included. A verdict needs at least one
/// claim of another member, because the member's module already acts on its own observations.
pub fn merge_claims(claims: &[MemberClaim], view: &FleetView<'_>) -> Vec<MergedVerdict> {
    let mut impaired_nodes: FxHashMap<(u64, u64), FxHashSet<u64>> = FxHashMap::default();
    for claim in claims.iter().filter(|claim| claim.claim.condition != NodeCondition::Well) {
        impaired_nodes.entry((claim.member, claim.subject.pool)).or_default().insert(claim.subject.node);
    }
    let faulty_members: FxHashSet<(u64, u64)> = impaired_nodes
        .iter()
        .filter(|((_, pool), nodes)| is_own_fault(nodes.len(), (view.pool_size)(*pool)))
        .map(|(&key, _)| key)
        .collect();
    let mut subjects: BTreeMap<Subject, Vec<&MemberClaim>> = BTreeMap::new();
    for claim in claims.iter().filter(|claim| !faulty_members.contains(&(claim.member, claim.subject.pool))) {
        subjects.entry(claim.subject).or_default().push(claim);
    }
    let quorum = QUORUM.min(view.alive_members.saturating_sub(1)).max(1);
    let mut verdicts = Vec::new();
    for (subject, all_claims) in subjects {
        // A good answer from the node invalidates all claims based on older evidence.
        let latest_good_answer_age = all_claims
            .iter()
            .filter(|claim| claim.claim.condition == NodeCondition::Well)
            .map(|claim| claim.age)
            .min();
        let is_valid = |claim: &&&MemberClaim| {
            let is_in_zone = claim.member == view.own_life || (view.same_zone)(claim.member) == Some(true);
            claim.claim.condition != NodeCondition::Well
                && (claim.claim.condition != NodeCondition::Unreachable || is_in_zone)
                && latest_good_answer_age.is_none_or(|answer_age| claim.age < answer_age)
        };
        let valid_claims: Vec<&MemberClaim> = all_claims.iter().filter(is_valid).copied().collect();
        // A claim that a node is unreachable does not confirm one that it is sick: they assert different
        // conditions.
        let (unreachable, sick): (Vec<&MemberClaim>, Vec<&MemberClaim>) =
            valid_claims.into_iter().partition(|claim| claim.claim.condition == NodeCondition::Unreachable);
        let mut confirmed = Vec::new();
        if members_of(&sick).len() >= sick_quorum(&sick, quorum) {
            confirmed.extend(sick);
        }
        if members_of(&unreachable).len() >= quorum {
            confirmed.extend(unreachable);
        }
        let members = members_of(&confirmed);
        let others = confirmed.iter().filter(|claim| claim.member != view.own_life);
        let Some(age) = others.clone().map(|claim| claim.age).min() else { continue };
        let severity = others.map(|claim| claim.claim.severity).fold(0.0, f64::max);
        let alive = members.iter().filter(|&&m| m == view.own_life || (view.is_alive)(m));
        let mut probers: Vec<(u64, u64)> =
            alive.map(|&m| (xxh3_64_with_seed(&m.to_be_bytes(), subject.node), m)).collect();
        probers.sort_unstable();
        let probes_node = probers.iter().take(PROBERS_PER_NODE).any(|&(_, m)| m == view.own_life);
        verdicts.push(MergedVerdict { subject, severity, age, probes_node });
    }
    verdicts
}

#[cfg(test)]
#[path = "merge_tests.rs"]
mod tests;
