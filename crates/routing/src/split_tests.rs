//! Tests of the weighted split: the keys of each part follow the weights, and few keys move when weights
//! change.

use super::*;
use proptest::prelude::*;

fn split(weights: &[f64]) -> Split {
    let names: Vec<String> = (0..weights.len()).map(|i| format!("pool-{i}")).collect();
    Split::new(weights.iter().enumerate().map(|(i, &w)| (i, &*names[i], w)))
}

#[test]
fn parts_get_keys_in_proportion_to_their_weights() {
    let s = split(&[1.0, 0.0, 3.0]);
    let mut got = [0.0; 3];
    for key in 0..40_000 {
        got[s.choose(key).unwrap()] += 1.0 / 40_000.0;
    }
    assert_eq!(got[1], 0.0);
    assert!((got[0] - 0.25f64).abs() < 0.01, "{got:?}");
    assert_eq!(split(&[0.0, f64::NAN]).choose(1), None);
}

proptest! {
    /// Keys leave only a part that lost weight, and go only to a part that gained weight.
    #[test]
    fn a_changed_weight_moves_keys_only_from_or_to_that_part(
        weights in prop::collection::vec(0.0..10.0f64, 2..6),
        at in 0usize..6,
        to in 0.0..10.0f64,
    ) {
        let at = at % weights.len();
        let mut changed = weights.clone();
        changed[at] = to;
        let (old, new) = (split(&weights), split(&changed));
        for key in 0..500 {
            let (was, is) = (old.choose(key), new.choose(key));
            if was != is {
                let moved = if to > weights[at] { is } else { was };
                prop_assert_eq!(moved, Some(at));
            }
        }
    }
}
