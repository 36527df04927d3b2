//! The schedule of an open loop: the times at which requests are meant to be sent.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::time::Duration;

/// A time span over which the rate changes linearly from one value to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// The rate at the beginning of the phase, in requests per second.
    pub from: f64,
    /// The rate at the end of the phase, in requests per second.
    pub to: f64,
    /// The length of the phase.
    pub lasts: Duration,
}

/// The intended times of an open loop: independent (Poisson) arrivals at the rates of the phases.
pub struct Schedule {
    phases: Vec<Phase>,
    rng: ChaCha8Rng,
    /// The time of the last arrival, in seconds from the start.
    at: f64,
}

impl Schedule {
    /// Makes the schedule of these phases; `seed` determines all times.
    pub fn new(phases: Vec<Phase>, seed: u64) -> Schedule {
        Schedule { phases, rng: ChaCha8Rng::seed_from_u64(seed), at: 0.0 }
    }

    /// The length of all phases together.
    pub fn lasts(&self) -> Duration {
        self.phases.iter().map(|p| p.lasts).sum()
    }

    /// The rate at a time, in seconds from the start; `None` after the last phase.
    fn rate(&self, at: f64) -> Option<f64> {
        let mut phase_start = 0.0;
        for p in &self.phases {
            let length = p.lasts.as_secs_f64();
            if at < phase_start + length {
                return Some(p.from + (p.to - p.from) * (at - phase_start) / length);
            }
            phase_start += length;
        }
        None
    }
}

impl Iterator for Schedule {
    type Item = Duration;

    /// The next intended time, counted from the start; `None` once the phases are over.
    fn next(&mut self) -> Option<Duration> {
        let max_rate = self.phases.iter().map(|p| p.from.max(p.to)).fold(0.0, f64::max);
        if max_rate <= 0.0 {
            return None;
        }
        // Thinning: arrivals are drawn at the largest rate, and each is accepted with the probability of the
        // rate at its time divided by the largest rate.
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.at += gap / max_rate;
            let rate = self.rate(self.at)?;
            let unit = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            if unit * max_rate < rate {
                return Some(Duration::from_secs_f64(self.at));
            }
        }
    }
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
