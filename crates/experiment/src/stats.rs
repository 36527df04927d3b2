//! Means over seeds, how sure they are, and differences on the same seeds.

use crate::run::Row;
use garnettally_emulator::policy::PolicyKind;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean and the half width of its 95% confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// The half width; infinite for one value.
    pub half: f64,
    /// The number of values.
    pub n: usize,
}

impl Mean {
    /// Of these values.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len();
        if n == 0 {
            return Mean { mean: f64::NAN, half: f64::INFINITY, n };
        }
        let mean = values.iter().sum::<f64>() / n as f64;
        if n == 1 {
            return Mean { mean, half: f64::INFINITY, n };
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
        // Student's t with n - 1 degrees of freedom; the arguments are always lawful.
        let t = StudentsT::new(0.0, 1.0, (n - 1) as f64).map_or(1.96, |t| t.inverse_cdf(0.975));
        Mean { mean, half: t * (variance / n as f64).sqrt(), n }
    }

    /// Whether the interval leaves out 0.
    pub fn is_sure(&self) -> bool {
        self.mean.abs() > self.half
    }
}

/// One figure of a row, and how it is called.
#[derive(Clone, Copy)]
pub struct Figure {
    /// Its name.
    pub name: &'static str,
    /// Where it stands.
    pub of: fn(&Row) -> f64,
    /// More is better.
    pub more_is_better: bool,
}

/// The figures that are told.
pub const FIGURES: [Figure; 7] = [
    Figure { name: "service", of: |r| r.service, more_is_better: true },
    Figure { name: "worst second", of: |r| r.worst_second, more_is_better: true },
    Figure { name: "waste", of: |r| r.waste, more_is_better: false },
    Figure { name: "amplification", of: |r| r.retry_amplification, more_is_better: false },
    Figure { name: "p50 ms", of: |r| r.p50_ms, more_is_better: false },
    Figure { name: "p99 ms", of: |r| r.p99_ms, more_is_better: false },
    Figure { name: "imbalance", of: |r| r.imbalance, more_is_better: false },
];

fn rows<'r>(all: &'r [Row], case: &'r str, policy: PolicyKind) -> impl Iterator<Item = &'r Row> {
    all.iter().filter(move |r| r.case == case && r.policy == policy)
}

/// The mean of a figure for a case and a policy.
pub fn mean(all: &[Row], case: &str, policy: PolicyKind, f: &Figure) -> Mean {
    Mean::of(&rows(all, case, policy).map(f.of).collect::<Vec<_>>())
}

/// The mean difference of a policy from another on the same seeds: on one seed both meet the same clients, work and
/// faults, so most of what varies between seeds falls out.
pub fn paired(all: &[Row], case: &str, policy: PolicyKind, from: PolicyKind, f: &Figure) -> Mean {
    let other = |seed| rows(all, case, from).find(|r| r.seed == seed).map(f.of);
    let differences = rows(all, case, policy).filter_map(|r| Some((f.of)(r) - other(r.seed)?));
    Mean::of(&differences.collect::<Vec<_>>())
}

#[cfg(test)]
#[path = "stats_tests.rs"]
mod tests;
