//! Random numbers, all from one seed. Each purpose has a stream of its own, so that what one part of the world draws
//! does not depend on how often another did: two policies meet the same clients, work and faults.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use serde::Deserialize;

/// A stream of random numbers.
#[derive(Clone)]
pub struct Stream(ChaCha8Rng);

impl Stream {
    /// The stream of this purpose and number under a seed.
    pub fn new(seed: u64, purpose: &str, number: u64) -> Stream {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Streams of one seed do not meet; names are told apart by a stable hash of theirs.
        let name = purpose
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
        rng.set_stream(name ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Stream(rng)
    }

    /// A number from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether something of this chance happens.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// A place among so many, which must be some.
    pub fn place(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// An exponential time with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let x: f64 = Exp1.sample(&mut self.0);
        x * mean
    }

    /// Some of so many places, without repetition, in order.
    pub fn some(&mut self, n: usize, of: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        for i in 0..n.min(of) {
            let j = i + self.place(of - i);
            all.swap(i, j);
        }
        all.truncate(n.min(of));
        all.sort_unstable();
        all
    }
}

/// How work is spread about its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// Always the mean.
    Fixed,
    /// Exponential: a coefficient of variation of 1.
    #[default]
    Exponential,
    /// Log-normal with a coefficient of variation of 1.5: most is light, some is heavy.
    Lognormal,
    /// Pareto with an index of 2.2: the heavy tail.
    Pareto,
}

impl Shape {
    /// A draw with this mean.
    pub fn draw(self, mean: f64, s: &mut Stream) -> f64 {
        match self {
            Shape::Fixed => mean,
            Shape::Exponential => s.exponential(mean),
            Shape::Lognormal => {
                let variance = (1.0f64 + 1.5 * 1.5).ln();
                // The parameters are finite and above 0, so this can't fail; the mean is the honest fallback.
                let d = LogNormal::new(mean.max(1e-9).ln() - variance / 2.0, variance.sqrt());
                d.map_or(mean, |d| d.sample(&mut s.0))
            }
            Shape::Pareto => {
                const INDEX: f64 = 2.2;
                let d = Pareto::new(mean.max(1e-9) * (INDEX - 1.0) / INDEX, INDEX);
                d.map_or(mean, |d| d.sample(&mut s.0))
            }
        }
    }
}

#[cfg(test)]
#[path = "draw_tests.rs"]
mod tests;
