//! Means over seeds with their confidence intervals, and differences on the same seeds.

use crate::run::Row;
use garnettally_emulator::policy::PolicyKind;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean and the half width of its 95% confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Mean {
    /// The arithmetic mean; NaN without values.
    pub mean: f64,
    /// The half width of the interval; infinite for fewer than two values.
    pub half: f64,
    /// The number of values that the mean is taken of.
    pub n: usize,
}

impl Mean {
    /// The mean of these values, with its interval by Student's t.
    pub fn from_values(values: &[f64]) -> Mean {
        let n = values.len();
        if n == 0 {
            return Mean { mean: f64::NAN, half: f64::INFINITY, n };
        }
        let mean = values.iter().sum::<f64>() / n as f64;
        if n == 1 {
            return Mean { mean, half: f64::INFINITY, n };
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
        // Student's t with n - 1 degrees of freedom; the arguments are always valid.
        let t = StudentsT::new(0.0, 1.0, (n - 1) as f64).map_or(1.96, |t| t.inverse_cdf(0.975));
        Mean { mean, half: t * (variance / n as f64).sqrt(), n }
    }

    /// Whether the confidence interval excludes 0.
    pub fn excludes_zero(&self) -> bool {
        self.mean.abs() > self.half
    }
}

/// One figure of a row, with its name.
#[derive(Clone, Copy)]
pub struct Figure {
    /// The name of the figure, as shown in tables and charts.
    pub name: &'static str,
    /// Reads the figure from a row.
    pub value: fn(&Row) -> f64,
    /// Whether a larger value is better.
    pub more_is_better: bool,
}

/// The figures that are published.
pub const FIGURES: [Figure; 7] = [
    Figure { name: "service", value: |r| r.service, more_is_better: true },
    Figure { name: "worst second", value: |r| r.worst_second, more_is_better: true },
    Figure { name: "waste", value: |r| r.waste, more_is_better: false },
    Figure { name: "amplification", value: |r| r.retry_amplification, more_is_better: false },
    Figure { name: "p50 ms", value: |r| r.p50_ms, more_is_better: false },
    Figure { name: "p99 ms", value: |r| r.p99_ms, more_is_better: false },
    Figure { name: "imbalance", value: |r| r.imbalance, more_is_better: false },
];

/// The rows of a case and a policy.
fn rows<'r>(all: &'r [Row], case: &'r str, policy: PolicyKind) -> impl Iterator<Item = &'r Row> {
    all.iter().filter(move |r| r.case == case && r.policy == policy)
}

/// The mean of a figure for a case and a policy, over all seeds.
pub fn mean(all: &[Row], case: &str, policy: PolicyKind, figure: &Figure) -> Mean {
    Mean::from_values(&rows(all, case, policy).map(figure.value).collect::<Vec<_>>())
}

/// The mean difference of a policy from another on the same seeds. On one seed both get the same clients,
/// work and faults, so that most of the variation between seeds cancels out.
pub fn paired(all: &[Row], case: &str, policy: PolicyKind, reference: PolicyKind, figure: &Figure) -> Mean {
    let on_seed = |seed| rows(all, case, reference).find(|r| r.seed == seed).map(figure.value);
    let differences = rows(all, case, policy).filter_map(|r| Some((figure.value)(r) - on_seed(r.seed)?));
    Mean::from_values(&differences.collect::<Vec<_>>())
}

#[cfg(test)]
#[path = "stats_tests.rs"]
mod tests;
