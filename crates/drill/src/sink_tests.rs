//! Tests of the sink: outdated, repeated and conflicting exports are counted separately.

use super::*;
use serde_json::json;

/// Guards against a sink that misses faulty exports, with which the drill's checks could not fail.
#[test]
fn outdated_repeated_and_conflicting_exports_are_counted_separately() {
    let mut record = SinkRecord::default();
    let export =
        |epoch: u64, sequence: u64, life: &str| json!({ "epoch": epoch, "sequence": sequence, "life": life });
    assert_eq!(record.record(&export(3, 1, "a")), "204 Taken");
    assert_eq!(record.record(&export(3, 1, "a")), "204 Taken");
    assert_eq!(record.record(&export(5, 1, "b")), "204 Taken");
    assert_eq!(record.record(&export(5, 2, "c")), "204 Taken");
    assert_eq!(record.record(&export(3, 2, "a")), "409 No");
    assert_eq!(record.record(&json!({})), "400 No");
    assert_eq!((record.accepted, record.refused, record.repeated, record.conflicting), (4, 1, 1, 1));
}
