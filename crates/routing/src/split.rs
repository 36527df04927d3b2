//! A weighted split by rendezvous hashing: every part draws a score from key and name, and the highest wins.
//!
//! Sticky: one key always goes to the same part. Least movement: when one weight grows, keys move to that part
//! alone, and when it shrinks, away from it alone; a part that is added or removed moves its own share. Names
//! and not places count, so the order of the parts does not matter.

use crate::{stable_hash, unit_interval};

/// One part of a split.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPart {
    /// What goes there, as the caller numbers it.
    pub target: usize,
    /// Its weight, from 0; only ratios count.
    pub weight: f64,
    seed: u64,
}

/// A weighted split.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    parts: Vec<SplitPart>,
}

impl Split {
    /// A split among these: what goes there, its name, and its weight. Parts without weight get nothing.
    pub fn new<'n>(parts: impl IntoIterator<Item = (usize, &'n str, f64)>) -> Split {
        let parts = parts.into_iter().map(|(to, name, weight)| {
            let weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
            SplitPart { target: to, weight, seed: stable_hash(0, name.as_bytes()) }
        });
        Split { parts: parts.collect() }
    }

    /// The parts.
    pub fn parts(&self) -> &[SplitPart] {
        &self.parts
    }

    /// Where a key goes; `None` where nothing has weight.
    pub fn choose(&self, key: u64) -> Option<usize> {
        // -weight / ln(u) with u in (0, 1) from key and part: the maximum is at a part in proportion to weight.
        let score = |p: &SplitPart| {
            let u = unit_interval(stable_hash(p.seed, &key.to_le_bytes()));
            -p.weight / (u + f64::EPSILON / 4.0).ln()
        };
        let live = self.parts.iter().filter(|p| p.weight > 0.0);
        let best = live.map(|p| (score(p), p.target)).reduce(|a, b| if b.0 > a.0 { b } else { a });
        best.map(|(_, to)| to)
    }
}

#[cfg(test)]
#[path = "split_tests.rs"]
mod tests;
