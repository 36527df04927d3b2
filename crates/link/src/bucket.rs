//! A bound on a rate.

use garnettally_model::Micros;

/// So much a second, and so much at once.
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    /// What may be taken now, in millionths.
    level: u128,
    at: Micros,
}

impl TokenBucket {
    /// Full at first.
    pub fn new(rate: u64, burst: u64, now: Micros) -> TokenBucket {
        TokenBucket { rate, burst, level: u128::from(burst) * 1_000_000, at: now }
    }

    /// Takes this much, if it is there.
    pub fn try_take(&mut self, now: Micros, n: u64) -> bool {
        let passed = (now - self.at).0.max(0) as u128;
        self.at = self.at.max(now);
        self.level = (self.level + passed * u128::from(self.rate)).min(u128::from(self.burst) * 1_000_000);
        let wanted = u128::from(n) * 1_000_000;
        let there = wanted <= self.level;
        if there {
            self.level -= wanted;
        }
        there
    }
}

#[cfg(test)]
#[path = "bucket_tests.rs"]
mod tests;
