//! Tests of the token bucket: over any period it grants no more than its rate and burst allow.

use super::*;

#[test]
fn granted_units_never_exceed_rate_and_burst() {
    let mut bucket = TokenBucket::new(100, 10, Micros(0));
    let mut granted = 0;
    for ms in 0..5_000 {
        granted += u64::from(bucket.try_take(Micros(ms * 1_000), 1));
    }
    assert!((500..=510).contains(&granted), "{granted}");
    // A long idle period accumulates no more than the burst, and a clock that does not advance adds nothing.
    let now = Micros(1_000_000_000);
    assert_eq!((0..100).filter(|_| bucket.try_take(now, 1)).count(), 10);
}
