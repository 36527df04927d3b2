//! Tests of the random streams: moments of each distribution, and independent, repeatable streams.

use super::*;

fn moments(shape: WorkDistribution, n: usize) -> (f64, f64) {
    let mut stream = RandomStream::new(7, "moments", 0);
    let all: Vec<f64> = (0..n).map(|_| shape.draw(10.0, &mut stream)).collect();
    let mean = all.iter().sum::<f64>() / n as f64;
    (mean, (all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / n as f64).sqrt() / mean)
}

#[test]
fn work_distributions_have_the_expected_moments() {
    assert_eq!(moments(WorkDistribution::Fixed, 10), (10.0, 0.0));
    let (mean, cv) = moments(WorkDistribution::Exponential, 200_000);
    assert!((mean - 10.0).abs() < 0.1 && (cv - 1.0).abs() < 0.02, "{mean} {cv}");
    let (mean, cv) = moments(WorkDistribution::Lognormal, 200_000);
    assert!((mean - 10.0).abs() < 0.2 && (cv - 1.5).abs() < 0.1, "{mean} {cv}");
    // The variance of the Pareto distribution converges too slowly to be checked; its mean converges.
    let (mean, _) = moments(WorkDistribution::Pareto, 400_000);
    assert!((mean - 10.0).abs() < 0.3, "{mean}");
}

#[test]
fn streams_are_independent_and_repeatable() {
    let first = |seed, purpose, n| RandomStream::new(seed, purpose, n).bits();
    assert_eq!(first(1, "a", 0), first(1, "a", 0));
    let all = [first(1, "a", 0), first(1, "a", 1), first(1, "b", 0), first(2, "a", 0)];
    let distinct: std::collections::BTreeSet<_> = all.iter().collect();
    assert_eq!(distinct.len(), 4);
    let indices = RandomStream::new(3, "some", 0).sample_indices(5, 9);
    assert!(indices.len() == 5 && indices.windows(2).all(|w| w[0] < w[1]) && indices[4] < 9);
    assert_eq!(RandomStream::new(3, "some", 0).sample_indices(9, 3), [0, 1, 2]);
}
