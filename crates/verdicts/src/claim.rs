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
    pub since: i64,
    /// The hash of the class's name; 0: all classes.
    pub class: u64,
}

/// The hash that stands for a name. Members need not have the same numbers.
pub fn hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0x6761_726e).max(1)
}

impl Subject {
    /// As the key of a fact.
    pub fn to_key(self) -> Vec<u8> {
        let mut key = vec![KIND];
        for part in [self.pool, self.node, self.since as u64, self.class] {
            key.extend(part.to_be_bytes());
        }
        key
    }

    /// `None`: the key is not one of a verdict.
    pub fn of_key(key: &[u8]) -> Option<Subject> {
        let (&KIND, parts) = key.split_first()? else { return None };
        let mut numbers = parts.chunks_exact(8).map(|c| c.try_into().map(u64::from_be_bytes));
        let mut next = || numbers.next()?.ok();
        let (pool, node, since, class) = (next()?, next()?, next()? as i64, next()?);
        (parts.len() == 32).then_some(Subject { pool, node, since, class })
    }

    /// The start of a node as it is written here.
    pub fn since(told: Option<Micros>) -> i64 {
        told.map_or(0, |t| t.0)
    }
}

/// What is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
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
    pub what: What,
    /// How bad it was found, 0 to 1.
    pub bad: f64,
}

impl Claim {
    /// As the value of a fact.
    pub fn to_value(self) -> Vec<u8> {
        vec![self.what as u8, (self.bad.clamp(0.0, 1.0) * 255.0).round() as u8]
    }

    /// `None`: the value is not one of a verdict.
    pub fn of_value(value: &[u8]) -> Option<Claim> {
        let &[what, bad] = value else { return None };
        let what = match what {
            0 => What::Sick,
            1 => What::Unreachable,
            2 => What::Well,
            3 => What::Silent,
            _ => return None,
        };
        Some(Claim { what, bad: f64::from(bad) / 255.0 })
    }
}

#[cfg(test)]
#[path = "claim_tests.rs"]
mod tests;
