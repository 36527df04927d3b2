//! Tests of the random streams: moments of each distribution, and independent, repeatable streams.

use super::*;

fn moments(shape: Shape, n: usize) -> (f64, f64) {
    let mut s = Stream::new(7, "moments", 0);
    let all: Vec<f64> = (0..n).map(|_| shape.draw(10.0, &mut s)).collect();
    let mean = all.iter().sum::<f64>() / n as f64;
    (mean, (all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / n as f64).sqrt() / mean)
}

#[test]
fn shapes_have_their_moments() {
    assert_eq!(moments(Shape::Fixed, 10), (10.0, 0.0));
    let (mean, cv) = moments(Shape::Exponential, 200_000);
    assert!((mean - 10.0).abs() < 0.1 && (cv - 1.0).abs() < 0.02, "{mean} {cv}");
    let (mean, cv) = moments(Shape::Lognormal, 200_000);
    assert!((mean - 10.0).abs() < 0.2 && (cv - 1.5).abs() < 0.1, "{mean} {cv}");
    // The Pareto's variance hardly converges; its mean does.
    let (mean, _) = moments(Shape::Pareto, 400_000);
    assert!((mean - 10.0).abs() < 0.3, "{mean}");
}

#[test]
fn streams_are_apart_and_the_same_each_time() {
    let first = |seed, purpose, n| Stream::new(seed, purpose, n).bits();
    assert_eq!(first(1, "a", 0), first(1, "a", 0));
    let all = [first(1, "a", 0), first(1, "a", 1), first(1, "b", 0), first(2, "a", 0)];
    let apart: std::collections::BTreeSet<_> = all.iter().collect();
    assert_eq!(apart.len(), 4);
    let some = Stream::new(3, "some", 0).some(5, 9);
    assert!(some.len() == 5 && some.windows(2).all(|w| w[0] < w[1]) && some[4] < 9);
    assert_eq!(Stream::new(3, "some", 0).some(9, 3), [0, 1, 2]);
}
