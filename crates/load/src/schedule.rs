//! When requests are meant to be sent.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// A stretch of time over which the rate goes evenly from one figure to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// Requests a second at its beginning.
    pub from: f64,
    /// And at its end.
    pub to: f64,
    /// How long it is.
    pub lasts: Duration,
}

/// The intended times of an open loop: independent arrivals at the rate of the phases.
pub struct Schedule {
    phases: Vec<Phase>,
    rng: ChaCha8Rng,
    /// The time of the last arrival, in seconds from the start.
    at: f64,
}

impl Schedule {
    /// The schedule of these phases under a seed.
    pub fn new(phases: Vec<Phase>, seed: u64) -> Schedule {
        Schedule { phases, rng: ChaCha8Rng::seed_from_u64(seed), at: 0.0 }
    }

    /// How long all phases are.
    pub fn lasts(&self) -> Duration {
        self.phases.iter().map(|p| p.lasts).sum()
    }

    /// The rate at a time, and the largest one there is.
    fn rate(&self, at: f64) -> Option<f64> {
        let mut from = 0.0;
        for p in &self.phases {
            let length = p.lasts.as_secs_f64();
            if at < from + length {
                return Some(p.from + (p.to - p.from) * (at - from) / length);
            }
            from += length;
        }
        None
    }
}

impl Iterator for Schedule {
    type Item = Duration;

    /// The next intended time from the start; the end of the phases ends it.
    fn next(&mut self) -> Option<Duration> {
        let most = self.phases.iter().map(|p| p.from.max(p.to)).fold(0.0, f64::max);
        if most <= 0.0 {
            return None;
        }
        // Thinning: arrivals at the largest rate, each kept with the part that the rate of its time is of it.
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.at += gap / most;
            let rate = self.rate(self.at)?;
            let unit = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            if unit * most < rate {
                return Some(Duration::from_secs_f64(self.at));
            }
        }
    }
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
