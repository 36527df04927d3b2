//! The exchange of verdicts for one pool: observations of the decision module become claims, and merged
//! verdicts become peer verdicts for the module.

use crate::claim::{name_hash, Claim, NodeCondition, Subject};
use crate::merge::{is_own_fault, MergedVerdict};
use garnettally_model::{ClassId, LocalObservations, Micros, PeerVerdict, ServerId, ServerObservation};
use rustc_hash::FxHashMap;

/// An encoded claim to publish: the key and value of the fact, and the age of the evidence.
pub type EncodedClaim = (Vec<u8>, Vec<u8>, Micros);

struct PublishedClaim {
    claim: Claim,
    /// The time of the latest evidence for the claim.
    evidence_at: Micros,
    published_at: Micros,
}

/// The claims that this member published about one pool, and the verdicts that the pool's module received.
pub struct VerdictExchange {
    pool: u64,
    classes: Vec<u64>,
    /// The hashes of the names of the pool's nodes by their numbers, and the numbers by the hashes.
    nodes: Vec<u64>,
    numbers: FxHashMap<u64, ServerId>,
    published: FxHashMap<Subject, PublishedClaim>,
    active: FxHashMap<Subject, (ServerId, Option<ClassId>, PeerVerdict)>,
}

/// A node is claimed to be silent if a call to it has been outstanding for this fraction of the time after
/// which one member alone is sure. This is five times the expected duration, which an exponentially
/// distributed response time exceeds once in 150 calls.
const SILENT_THRESHOLD: f64 = 0.4;
/// The outlier score from which a node is ejected, unless too many nodes are.
const DOUBT_SCORE: f64 = 0.4;
/// The severity of a claim that a node is silent. If enough members make the claim, it suffices for an
/// ejection.
const SILENT_SEVERITY: f64 = 0.6;
/// A claim with new evidence is published again after the maximum age divided by this number.
const REPUBLISH_DIVISOR: i64 = 8;
/// A change of the severity by no more than this is not published or passed on.
const MIN_SEVERITY_CHANGE: f64 = 0.1;

/// Whether this member has reason to believe that a node, or the network path to it, is impaired. This
/// applies to more nodes than are ejected, because the number of ejected nodes is bounded and an outstanding
/// call is soon cancelled. It lasts until the node has answered successfully.
fn is_doubted(observation: &ServerObservation) -> bool {
    observation.severity > 0.0
        || observation.overdue_share >= SILENT_THRESHOLD
        || (observation.outlier_score >= DOUBT_SCORE && observation.last_ok_at < observation.last_ended_at)
}

impl VerdictExchange {
    /// Creates the exchange for the pool with this name and these classes.
    pub fn new(pool: &str, classes: &[String]) -> VerdictExchange {
        VerdictExchange {
            pool: name_hash(pool),
            classes: classes.iter().map(|c| name_hash(c)).collect(),
            nodes: Vec::new(),
            numbers: FxHashMap::default(),
            published: FxHashMap::default(),
            active: FxHashMap::default(),
        }
    }

    /// The number of nodes whose names are registered.
    pub fn known_node_count(&self) -> usize {
        self.nodes.len()
    }

    /// The hash of the pool's name.
    pub fn pool_hash(&self) -> u64 {
        self.pool
    }

    /// The number of the node whose name has this hash, or `None` if the name is not registered.
    pub fn server_by_hash(&self, hash: u64) -> Option<ServerId> {
        self.numbers.get(&hash).copied()
    }

    /// Returns the claims that have to be published because they are new, changed or renewed. `name` returns
    /// the name of a node.
    pub fn collect_claims<'n>(
        &mut self,
        now: Micros,
        local: &LocalObservations,
        max_age: Micros,
        name: impl Fn(ServerId) -> &'n str,
    ) -> Vec<EncodedClaim> {
        let observations = &local.servers;
        let mut nodes: Vec<u32> =
            observations.iter().filter(|one| is_doubted(one)).map(|one| one.server.0).collect();
        nodes.dedup();
        // If most nodes of the pool appear impaired, the fault is this member's own, and it makes no claims.
        let has_own_fault = is_own_fault(nodes.len(), local.servers_in_use);
        let mut claims = Vec::new();
        for observation in observations {
            let subject = self.subject(observation, &name);
            let before = self.published.get(&subject);
            // If no answer ever arrived from a node, a sick node can't be distinguished from a broken network
            // path.
            let is_reached = observation.has_answered && !observation.is_unreachable;
            let found = match (observation.severity > 0.0, is_reached) {
                (true, false) => {
                    Some((NodeCondition::Unreachable, observation.severity, observation.last_ended_at))
                }
                (true, true) => Some((NodeCondition::Sick, observation.severity, observation.last_ended_at)),
                // The node is silent at this moment, so the evidence has no age.
                (false, _) if observation.overdue_share >= SILENT_THRESHOLD && observation.has_answered => {
                    Some((NodeCondition::Silent, SILENT_SEVERITY, now))
                }
                _ => None,
            };
            if let Some((condition, severity, at)) = found.filter(|_| !has_own_fault) {
                let claim = Claim { condition, severity };
                let has_changed = before.is_none_or(|published| {
                    published.claim.condition != condition
                        || (published.claim.severity - severity).abs() > MIN_SEVERITY_CHANGE
                        || (at > published.evidence_at
                            && now - published.published_at >= Micros(max_age.0 / REPUBLISH_DIVISOR))
                });
                if has_changed {
                    self.published
                        .insert(subject, PublishedClaim { claim, evidence_at: at, published_at: now });
                    claims.push((subject.to_key(), claim.to_value(), now - at));
                }
            } else if before.is_some() {
                // The age is that of the node's latest good answer, because the readmission of a node by
                // peer verdicts does not show that it is well.
                self.published.remove(&subject);
                let claim = Claim { condition: NodeCondition::Well, severity: 0.0 };
                claims.push((subject.to_key(), claim.to_value(), now - observation.last_ok_at));
            }
        }
        self.published.retain(|_, published| now - published.evidence_at < max_age + max_age);
        claims
    }

    /// Returns the peer verdicts that the module has to receive because they are new, changed or withdrawn.
    /// `started_at` returns the time at which a node started, as given in this member's list of upstreams.
    pub fn update_verdicts(
        &mut self,
        now: Micros,
        verdicts: &[MergedVerdict],
        started_at: impl Fn(ServerId) -> Option<Micros>,
    ) -> Vec<PeerVerdict> {
        let mut updates = Vec::new();
        let mut remaining = std::mem::take(&mut self.active);
        for verdict in verdicts.iter().filter(|verdict| verdict.subject.pool == self.pool) {
            let Some(server) = self.server_by_hash(verdict.subject.node) else { continue };
            let class = match verdict.subject.class {
                0 => None,
                hash => match self.classes.iter().position(|class| *class == hash) {
                    Some(index) => Some(ClassId(index as u32)),
                    None => continue,
                },
            };
            // The verdict does not apply to a node that has restarted since.
            if Subject::encode_start(started_at(server)) != verdict.subject.started_at_us {
                continue;
            }
            let new = PeerVerdict {
                server,
                class,
                severity: verdict.severity,
                found_at: now - verdict.age,
                probes_here: verdict.probes_node,
            };
            let before = remaining.remove(&verdict.subject).map(|(_, _, verdict)| verdict);
            let same = before.filter(|b| {
                b.probes_here == new.probes_here
                    && (b.severity - new.severity).abs() <= MIN_SEVERITY_CHANGE
                    && new.found_at - b.found_at < Micros(100_000)
            });
            if same.is_none() {
                updates.push(new);
            }
            self.active.insert(verdict.subject, (server, class, same.unwrap_or(new)));
        }
        // Verdicts that are no longer supported by recent claims are withdrawn.
        for (server, class, before) in remaining.into_values() {
            updates.push(PeerVerdict {
                server,
                class,
                severity: 0.0,
                found_at: now,
                probes_here: before.probes_here,
            });
        }
        updates
    }

    /// The verdicts of other members that the module currently applies.
    pub fn active_verdicts(&self) -> impl Iterator<Item = &PeerVerdict> {
        self.active.values().map(|(_, _, verdict)| verdict)
    }

    fn subject<'n>(
        &mut self,
        observation: &ServerObservation,
        name: &impl Fn(ServerId) -> &'n str,
    ) -> Subject {
        self.register_nodes(observation.server.0 as usize + 1, name);
        let class = observation.class.and_then(|c| self.classes.get(c.0 as usize)).copied().unwrap_or(0);
        let node = self.nodes[observation.server.0 as usize];
        Subject { pool: self.pool, node, started_at_us: Subject::encode_start(observation.started_at), class }
    }

    /// Registers the names of the nodes with numbers below `count`. Numbers are never reused.
    pub fn register_nodes<'n>(&mut self, count: usize, name: &impl Fn(ServerId) -> &'n str) {
        for number in self.nodes.len()..count {
            let id = ServerId(number as u32);
            let hash = name_hash(name(id));
            self.nodes.push(hash);
            self.numbers.insert(hash, id);
        }
    }
}

#[cfg(test)]
#[path = "exchange_tests.rs"]
mod tests;
