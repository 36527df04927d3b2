//! Claims about nodes, and their encoding as facts on the fleet link.

use garnettally_model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first byte of the key of a fact that is a claim; facts of other kinds have other first bytes.
const CLAIM_KEY_PREFIX: u8 = b'v';

/// The subject of a claim: a node, or a node for one class of requests. A node that has restarted is another
/// subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Subject {
    /// The hash of the name of the node's pool.
    pub pool: u64,
    /// The hash of the node's name.
    pub node: u64,
    /// The time at which the node started, in microseconds, as given in the list of upstreams; 0 if the list
    /// gives none.
    pub started_at_us: i64,
    /// The hash of the class's name, or 0 for all classes.
    pub class: u64,
}

/// The hash that identifies a name in claims. Members may number the same nodes differently, so claims carry
/// no numbers.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0x6761_726e).max(1)
}

impl Subject {
    /// Encodes the subject as the key of a fact.
    pub fn to_key(self) -> Vec<u8> {
        let mut key = vec![CLAIM_KEY_PREFIX];
        for part in [self.pool, self.node, self.started_at_us as u64, self.class] {
            key.extend(part.to_be_bytes());
        }
        key
    }

    /// Decodes the key of a fact. Returns `None` if it is not the key of a claim.
    pub fn from_key(key: &[u8]) -> Option<Subject> {
        let (&CLAIM_KEY_PREFIX, parts) = key.split_first()? else { return None };
        let mut numbers = parts.chunks_exact(8).map(|c| c.try_into().map(u64::from_be_bytes));
        let mut next = || numbers.next()?.ok();
        let (pool, node, started_at_us, class) = (next()?, next()?, next()? as i64, next()?);
        (parts.len() == 32).then_some(Subject { pool, node, started_at_us, class })
    }

    /// Converts the start time of a node to [`Subject::started_at_us`].
    pub fn encode_start(started_at: Option<Micros>) -> i64 {
        started_at.map_or(0, |time| time.0)
    }
}

/// The condition of a node that a claim asserts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeCondition {
    /// The node fails requests, hangs or is slow, which applies to all members.
    Sick,
    /// The node can't be reached, which may be the fault of the network path from the member.
    Unreachable,
    /// The node was sick or unreachable, and has answered since.
    Well,
    /// The node has not answered for longer than almost any answer takes, but not for long enough that one
    /// member alone could be sure.
    Silent,
}

/// A member's assessment of a subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// The condition of the node.
    pub condition: NodeCondition,
    /// The severity of the condition, from 0 to 1; 0 for a node that is well.
    pub severity: f64,
}

impl Claim {
    /// Encodes the claim as the value of a fact.
    pub fn to_value(self) -> Vec<u8> {
        vec![self.condition as u8, (self.severity.clamp(0.0, 1.0) * 255.0).round() as u8]
    }

    /// Decodes the value of a fact. Returns `None` if it is not the value of a claim.
    pub fn from_value(value: &[u8]) -> Option<Claim> {
        let &[condition, severity] = value else { return None };
        let condition = match condition {
            0 => NodeCondition::Sick,
            1 => NodeCondition::Unreachable,
            2 => NodeCondition::Well,
            3 => NodeCondition::Silent,
            _ => return None,
        };
        Some(Claim { condition, severity: f64::from(severity) / 255.0 })
    }
}

#[cfg(test)]
#[path = "claim_tests.rs"]
mod tests;
