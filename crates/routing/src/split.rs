//! A weighted split by rendezvous hashing: every part gets a score from the key and its own name, and the
//! highest score wins.
//!
//! The split is sticky: a key always goes to the same part. It moves as few keys as possible: when one weight
//! grows, keys move only to that part, and when it shrinks, only away from that part; a part that is added or
//! removed moves only its own share. Names count and positions do not, so the order of the parts has no
//! effect.

use crate::{stable_hash, unit_interval};

/// One part of a split.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPart {
    /// The destination of the part, as numbered by the caller.
    pub target: usize,
    /// The weight, 0 or more; only the ratios of weights matter.
    pub weight: f64,
    seed: u64,
}

/// A weighted split.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    parts: Vec<SplitPart>,
}

impl Split {
    /// Creates a split of parts, each given by its destination, name and weight. Parts with a weight of 0, or
    /// one that is not finite, get no keys.
    pub fn new<'n>(parts: impl IntoIterator<Item = (usize, &'n str, f64)>) -> Split {
        let parts = parts.into_iter().map(|(target, name, weight)| {
            let weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
            SplitPart { target, weight, seed: stable_hash(0, name.as_bytes()) }
        });
        Split { parts: parts.collect() }
    }

    /// The parts, in the order in which they were given.
    pub fn parts(&self) -> &[SplitPart] {
        &self.parts
    }

    /// The destination of a key; `None` if no part has a weight.
    pub fn choose(&self, key: u64) -> Option<usize> {
        // With u in (0, 1) drawn from key and part, -weight / ln(u) is largest at each part with a
        // probability in proportion to its weight.
        let score = |p: &SplitPart| {
            let u = unit_interval(stable_hash(p.seed, &key.to_le_bytes()));
            -p.weight / (u + f64::EPSILON / 4.0).ln()
        };
        let weighted = self.parts.iter().filter(|p| p.weight > 0.0);
        let best = weighted.map(|p| (score(p), p.target)).reduce(|a, b| if b.0 > a.0 { b } else { a });
        best.map(|(_, target)| target)
    }
}

#[cfg(test)]
#[path = "split_tests.rs"]
mod tests;
