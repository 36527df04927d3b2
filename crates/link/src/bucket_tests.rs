//! Tests of the rate bound: over any time no more passes than rate and burst allow.

use super::*;

#[test]
fn over_any_time_no_more_passes_than_rate_and_burst() {
    let mut b = TokenBucket::new(100, 10, Micros(0));
    let mut passed = 0;
    for ms in 0..5_000 {
        passed += u64::from(b.try_take(Micros(ms * 1_000), 1));
    }
    assert!((500..=510).contains(&passed), "{passed}");
    // Long silence saves up no more than the burst, and a clock that stands gives nothing.
    let now = Micros(1_000_000_000);
    assert_eq!((0..100).filter(|_| b.try_take(now, 1)).count(), 10);
}
