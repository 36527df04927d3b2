//! One pool's opinions out, and hearsay in.

use crate::claim::{name_hash, Claim, NodeCondition, Subject};
use crate::merge::{own_fault, MergedVerdict};
use garnettally_model::{ClassId, LocalObservations, Micros, PeerVerdict, ServerId, ServerObservation};
use rustc_hash::FxHashMap;

/// What is to be said: key, value, and how old it is.
pub type EncodedClaim = (Vec<u8>, Vec<u8>, Micros);

struct Spoken {
    claim: Claim,
    /// By what it was found, and when it was said.
    found: Micros,
    spoken: Micros,
}

/// What one pool's module says and hears.
pub struct VerdictExchange {
    pool: u64,
    classes: Vec<u64>,
    /// The hashes of its nodes' names, by number, and back.
    nodes: Vec<u64>,
    numbers: FxHashMap<u64, ServerId>,
    spoken: FxHashMap<Subject, Spoken>,
    told: FxHashMap<Subject, (ServerId, Option<ClassId>, PeerVerdict)>,
}

/// A call that is out for this part of the time that makes one sure: five times what it was expected to take, where
/// an answer of exponential time takes longer once in 150.
const SILENT: f64 = 0.4;
/// A node whose outlier score is this is ejected, where there are not too many of them.
const DOUBTED: f64 = 0.4;
/// What several such voices come to: enough to be ejected by.
const SILENT_BAD: f64 = 0.6;
/// Evidence that is renewed is said again after this part of the bound on ages.
const RENEWED: i64 = 8;
/// A verdict that changes by less need not be told anew.
const CHANGE: f64 = 0.1;

/// Whether this member has reason to think that a node, or the way there, is bad. More are than are ejected: of these there
/// is a most, and a call that is out is soon called off. It lasts until the node has answered well.
fn is_doubted(o: &ServerObservation) -> bool {
    o.severity > 0.0
        || o.overdue_share >= SILENT
        || (o.outlier_score >= DOUBTED && o.last_ok_at < o.last_ended_at)
}

impl VerdictExchange {
    /// For the pool of this name, with these classes.
    pub fn new(pool: &str, classes: &[String]) -> VerdictExchange {
        VerdictExchange {
            pool: name_hash(pool),
            classes: classes.iter().map(|c| name_hash(c)).collect(),
            nodes: Vec::new(),
            numbers: FxHashMap::default(),
            spoken: FxHashMap::default(),
            told: FxHashMap::default(),
        }
    }

    /// Of how many nodes the names were met.
    pub fn known_node_count(&self) -> usize {
        self.nodes.len()
    }

    /// The hash of the pool's name.
    pub fn pool_hash(&self) -> u64 {
        self.pool
    }

    /// The number of a node, as far as its name was met.
    pub fn server_by_hash(&self, hash: u64) -> Option<ServerId> {
        self.numbers.get(&hash).copied()
    }

    /// What is to be said anew; `name` tells a node's.
    pub fn collect_claims<'n>(
        &mut self,
        now: Micros,
        findings: &LocalObservations,
        max_age: Micros,
        name: impl Fn(ServerId) -> &'n str,
    ) -> Vec<EncodedClaim> {
        let opinions = &findings.servers;
        let mut nodes: Vec<u32> = opinions.iter().filter(|o| is_doubted(o)).map(|o| o.server.0).collect();
        nodes.dedup();
        // Most of them bad: the broken link is this member's own.
        let silent = own_fault(nodes.len(), findings.servers_in_use);
        let mut sayings = Vec::new();
        for o in opinions {
            let subject = self.subject(o, &name);
            let before = self.spoken.get(&subject);
            // Where nothing ever came back, a node that is sick and a way that is broken look the same.
            let is_reached = o.has_answered && !o.is_unreachable;
            let found = match (o.severity > 0.0, is_reached) {
                (true, false) => Some((NodeCondition::Unreachable, o.severity, o.last_ended_at)),
                (true, true) => Some((NodeCondition::Sick, o.severity, o.last_ended_at)),
                // It is silent now.
                (false, _) if o.overdue_share >= SILENT && o.has_answered => {
                    Some((NodeCondition::Silent, SILENT_BAD, now))
                }
                _ => None,
            };
            if let Some((condition, severity, at)) = found.filter(|_| !silent) {
                let claim = Claim { condition, severity };
                let again = before.is_none_or(|b| {
                    b.claim.condition != condition
                        || (b.claim.severity - severity).abs() > CHANGE
                        || (at > b.found && now - b.spoken >= Micros(max_age.0 / RENEWED))
                });
                if again {
                    self.spoken.insert(subject, Spoken { claim, found: at, spoken: now });
                    sayings.push((subject.to_key(), claim.to_value(), now - at));
                }
            } else if before.is_some() {
                // As old as the answer that says so: one that was let back in by hearsay proves nothing.
                self.spoken.remove(&subject);
                let claim = Claim { condition: NodeCondition::Well, severity: 0.0 };
                sayings.push((subject.to_key(), claim.to_value(), now - o.last_ok_at));
            }
        }
        self.spoken.retain(|_, s| now - s.found < max_age + max_age);
        sayings
    }

    /// What the module is to hear anew. `since` tells when a node started, as the list here has it.
    pub fn update_verdicts(
        &mut self,
        now: Micros,
        priors: &[MergedVerdict],
        since: impl Fn(ServerId) -> Option<Micros>,
    ) -> Vec<PeerVerdict> {
        let mut heard = Vec::new();
        let mut left = std::mem::take(&mut self.told);
        for p in priors.iter().filter(|p| p.subject.pool == self.pool) {
            let Some(server) = self.server_by_hash(p.subject.node) else { continue };
            let class = match p.subject.class {
                0 => None,
                c => match self.classes.iter().position(|k| *k == c) {
                    Some(at) => Some(ClassId(at as u32)),
                    None => continue,
                },
            };
            // A node that started anew is not the one that was spoken of.
            if Subject::encode_start(since(server)) != p.subject.started_at_us {
                continue;
            }
            let new = PeerVerdict {
                server,
                class,
                severity: p.severity,
                found_at: now - p.age,
                probes_here: p.probes_node,
            };
            let before = left.remove(&p.subject).map(|(_, _, h)| h);
            let same = before.filter(|b| {
                b.probes_here == new.probes_here
                    && (b.severity - new.severity).abs() <= CHANGE
                    && new.found_at - b.found_at < Micros(100_000)
            });
            if same.is_none() {
                heard.push(new);
            }
            self.told.insert(p.subject, (server, class, same.unwrap_or(new)));
        }
        // What nobody says any more, or not recently enough, is taken back.
        for (server, class, before) in left.into_values() {
            heard.push(PeerVerdict {
                server,
                class,
                severity: 0.0,
                found_at: now,
                probes_here: before.probes_here,
            });
        }
        heard
    }

    /// What the module goes by now, of others' words.
    pub fn active_verdicts(&self) -> impl Iterator<Item = &PeerVerdict> {
        self.told.values().map(|(_, _, h)| h)
    }

    fn subject<'n>(&mut self, o: &ServerObservation, name: &impl Fn(ServerId) -> &'n str) -> Subject {
        self.register_nodes(o.server.0 as usize + 1, name);
        let class = o.class.and_then(|c| self.classes.get(c.0 as usize)).copied().unwrap_or(0);
        let node = self.nodes[o.server.0 as usize];
        Subject { pool: self.pool, node, started_at_us: Subject::encode_start(o.started_at), class }
    }

    /// Learns the names of nodes up to this number; numbers are not given out again.
    pub fn register_nodes<'n>(&mut self, most: usize, name: &impl Fn(ServerId) -> &'n str) {
        for n in self.nodes.len()..most {
            let id = ServerId(n as u32);
            let hash = name_hash(name(id));
            self.nodes.push(hash);
            self.numbers.insert(hash, id);
        }
    }
}

#[cfg(test)]
#[path = "exchange_tests.rs"]
mod tests;
