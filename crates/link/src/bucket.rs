//! A token bucket that bounds a rate.

use garnettally_model::Micros;

/// Allows `rate` units per second on average and at most `burst` units at once.
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    /// The units available at `updated_at`, in millionths of a unit.
    available: u128,
    updated_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket that starts full.
    pub fn new(rate: u64, burst: u64, now: Micros) -> TokenBucket {
        TokenBucket { rate, burst, available: u128::from(burst) * 1_000_000, updated_at: now }
    }

    /// Removes `units` from the bucket if that many are available, and returns whether it did.
    pub fn try_take(&mut self, now: Micros, units: u64) -> bool {
        let elapsed_us = (now - self.updated_at).0.max(0) as u128;
        self.updated_at = self.updated_at.max(now);
        self.available =
            (self.available + elapsed_us * u128::from(self.rate)).min(u128::from(self.burst) * 1_000_000);
        let requested = u128::from(units) * 1_000_000;
        let is_available = requested <= self.available;
        if is_available {
            self.available -= requested;
        }
        is_available
    }
}

#[cfg(test)]
#[path = "bucket_tests.rs"]
mod tests;
