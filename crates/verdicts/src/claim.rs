//! What is said of what, as it goes over the link.

use garnettally_model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first byte of a key: other kinds of news have others.
const KIND: u8 = b'v';

/// A node, or a node for one class. A node that started anew is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Subject {
    /// The hash of its pool's name.
    pub pool: u64,
    /// The hash of its name.
    pub node: u64,
    /// When it started, in microseconds, as its list says; 0: the list does not say.
    pub started_at_us: i64,
    /// The hash of the class's name; 0: all classes.
    pub class: u64,
}

/// The hash that stands for a name. Members need not have the same numbers.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0x6761_726e).max(1)
}

impl Subject {
    /// As the key of a fact.
    pub fn to_key(self) -> Vec<u8> {
        let mut key = vec![KIND];
        for part in [self.pool, self.node, self.started_at_us as u64, self.class] {
            key.extend(part.to_be_bytes());
        }
        key
    }

    /// `None`: the key is not one of a verdict.
    pub fn from_key(key: &[u8]) -> Option<Subject> {
        let (&KIND, parts) = key.split_first()? else { return None };
        let mut numbers = parts.chunks_exact(8).map(|c| c.try_into().map(u64::from_be_bytes));
        let mut next = || numbers.next()?.ok();
        let (pool, node, started_at_us, class) = (next()?, next()?, next()? as i64, next()?);
        (parts.len() == 32).then_some(Subject { pool, node, started_at_us, class })
    }

    /// The start of a node as it is written here.
    pub fn encode_start(told: Option<Micros>) -> i64 {
        told.map_or(0, |t| t.0)
    }
}

/// What is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeCondition {
    /// It errs, hangs or is slow: that holds wherever one stands.
    Sick,
    /// It can't be reached, which may be the fault of the way there.
    Unreachable,
    /// It was sick, and has answered since.
    Well,
    /// It has not answered for longer than nearly any answer takes, though not for long enough to be sure by oneself.
    Silent,
}

/// What a member says of a subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// What.
    pub condition: NodeCondition,
    /// How bad it was found, 0 to 1.
    pub severity: f64,
}

impl Claim {
    /// As the value of a fact.
    pub fn to_value(self) -> Vec<u8> {
        vec![self.condition as u8, (self.severity.clamp(0.0, 1.0) * 255.0).round() as u8]
    }

    /// `None`: the value is not one of a verdict.
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
