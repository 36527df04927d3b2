//! Random numbers, all from one seed. Each purpose has its own stream, so that the numbers of one part of the
//! world do not depend on how often another part draws: two policies get the same clients, work and faults.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use serde::Deserialize;

/// A stream of random numbers.
#[derive(Clone)]
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// Creates the stream for a purpose and a number (of a balancer, for instance) under a seed.
    pub fn new(seed: u64, purpose: &str, number: u64) -> RandomStream {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Streams of one seed do not overlap; the stream number comes from a stable hash of the purpose.
        let name = purpose
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
        rng.set_stream(name ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        RandomStream(rng)
    }

    /// Draws a number from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws whether an event with this probability happens.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Draws an index below `n`, which must be above 0.
    pub fn index(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// Draws 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Draws an exponentially distributed number with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let x: f64 = Exp1.sample(&mut self.0);
        x * mean
    }

    /// Draws `n` distinct indices below `bound`, in ascending order; all of them if `n` is larger.
    pub fn sample_indices(&mut self, n: usize, bound: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..bound).collect();
        for i in 0..n.min(bound) {
            let j = i + self.index(bound - i);
            all.swap(i, j);
        }
        all.truncate(n.min(bound));
        all.sort_unstable();
        all
    }
}

/// The distribution of work about its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkDistribution {
    /// The work is always the mean.
    Fixed,
    /// An exponential distribution: its coefficient of variation is 1.
    #[default]
    Exponential,
    /// A log-normal distribution with a coefficient of variation of 1.5: most requests are light, some are
    /// heavy.
    Lognormal,
    /// A Pareto distribution with an index of 2.2, which has a heavy tail.
    Pareto,
}

impl WorkDistribution {
    /// Draws a value from the distribution with this mean.
    pub fn draw(self, mean: f64, stream: &mut RandomStream) -> f64 {
        match self {
            WorkDistribution::Fixed => mean,
            WorkDistribution::Exponential => stream.exponential(mean),
            WorkDistribution::Lognormal => {
                let variance = (1.0f64 + 1.5 * 1.5).ln();
                // The parameters are finite and above 0, so this can't fail; the fallback is the mean.
                let d = LogNormal::new(mean.max(1e-9).ln() - variance / 2.0, variance.sqrt());
                d.map_or(mean, |d| d.sample(&mut stream.0))
            }
            WorkDistribution::Pareto => {
                const INDEX: f64 = 2.2;
                let d = Pareto::new(mean.max(1e-9) * (INDEX - 1.0) / INDEX, INDEX);
                d.map_or(mean, |d| d.sample(&mut stream.0))
            }
        }
    }
}

#[cfg(test)]
#[path = "draw_tests.rs"]
mod tests;
