//! Tests of the sink: late, repeated and conflicting epochs are told apart.

use super::*;
use serde_json::json;

/// The sink's checks have to be able to fail.
#[test]
fn what_comes_late_twice_or_from_two_is_told_apart() {
    let mut met = Met::default();
    let told =
        |epoch: u64, sequence: u64, life: &str| json!({ "epoch": epoch, "sequence": sequence, "life": life });
    assert_eq!(met.take(&told(3, 1, "a")), "204 Taken");
    assert_eq!(met.take(&told(3, 1, "a")), "204 Taken");
    assert_eq!(met.take(&told(5, 1, "b")), "204 Taken");
    assert_eq!(met.take(&told(5, 2, "c")), "204 Taken");
    assert_eq!(met.take(&told(3, 2, "a")), "409 No");
    assert_eq!(met.take(&json!({})), "400 No");
    assert_eq!((met.taken, met.refused, met.twice, met.shared), (4, 1, 1, 1));
}
